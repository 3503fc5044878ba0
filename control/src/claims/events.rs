//! The log events of the claims thread (CB1800 to CB1899).

cicadabend_daemon::events! {
    /// The journals of claims were read; every record counts for the whole retention again.
    1800 Info Recovered { records: usize } "claims recovered";
    /// No room on the disk: new claims are answered with "unavailable" until there is.
    1801 Error DiskFull {} "the disk is full; claims are refused";
    /// A write or sync failed; nothing more is answered until the daemon is started anew.
    1802 Error Stopped { reason: String } "claims are no longer answered";
    /// A request's claim is held by another attempt here; the holder is an entry daemon and the
    /// number of its attempt.
    1804 Info HeldByOther {
        claimant: String,
        holder: String,
    } "claim held by another attempt";
    /// Lines on claims were left out because there were more than the bound in a second.
    1805 Warn ClaimLinesLeftOut { lines: u64 } "lines on claims left out";
    /// The oldest journal held only claims whose retention has ended, and was emptied.
    1803 Debug JournalEmptied { journal: usize } "expired claims removed from the disk";
}
