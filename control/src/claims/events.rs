//! The log events of the claims thread (CB1800 to CB1899).

cicadabend_daemon::events! {
    /// The journals of claims were read at the start; the retention of every record starts anew.
    1800 Info Recovered { records: usize } "claims recovered";
    /// The disk is full; new claims are answered with "unavailable" until there is room.
    1801 Error DiskFull {} "the disk is full; claims are refused";
    /// A write or sync failed; this daemon answers no more claims until it is restarted.
    1802 Error Stopped { reason: String } "claims are no longer answered";
    /// A claim was refused, because another attempt holds the claim for the same key. `holder`
    /// names an entry daemon and the number of its attempt.
    1804 Info HeldByOther {
        claimant: String,
        holder: String,
    } "claim held by another attempt";
    /// Log lines about single claims were suppressed by the limit on lines per second.
    1805 Warn ClaimLinesLeftOut { lines: u64 } "log lines about claims suppressed";
    /// The oldest journal held only claims whose retention had ended, and was emptied.
    1803 Debug JournalEmptied { journal: usize } "expired claims removed from the disk";
}
