//! The log events of the replicated log (CB1700 to CB1799).

cicadabend_daemon::events! {
    /// The journal was read; this daemon knows what it knew before its restart.
    1700 Info Recovered {
        disk: u64,
        snapshot: cicadabend::agreement::LogIndex,
        entries: usize,
    } "the log was read";
    /// Bytes after the last whole record were cut; they had never been synced or answered.
    1701 Warn TornTail { cut_bytes: u64 } "the log's torn tail was cut";
    /// This daemon leads from now on.
    1702 Info Leads { term: cicadabend::agreement::Term } "leading";
    /// This daemon does not lead any more.
    1703 Info LeadsNoMore { term: cicadabend::agreement::Term } "not leading any more";
    /// All control daemons are new; this one makes the first set of voters.
    1704 Info Founded { voters: usize } "the first set of voters is made";
    /// A control daemon has an empty disk and is no voter under its number yet.
    1705 Warn NewDisk {
        daemon: cicadabend::prelude::DaemonId,
        disk: u64,
    } "a control daemon has an empty disk";
    /// The voters have changed.
    1706 Info VotersChanged { number: u64, voters: usize } "the set of voters changed";
    /// The log's entries were replaced by the state they led to.
    1707 Info Compacted { through: cicadabend::agreement::LogIndex } "the log was compacted";
    /// The state is larger than one message may be; a daemon that lacks compacted entries
    /// cannot catch up until it is smaller.
    1708 Error SnapshotTooLarge { bytes: usize } "a snapshot cannot be sent";
    /// The disk is full; nothing is acknowledged until there is room.
    1710 Error DiskFull { reason: String } "the disk is full";
    /// There is room on the disk again.
    1711 Info DiskHasRoom {} "the disk has room again";
    /// A write or sync failed; the daemon stops, because only a restart shows what is stored.
    1712 Error StorageFailed { reason: String } "the log cannot be stored";
    /// A committed command cannot be read; the daemon stops rather than skip it.
    1713 Error CommandUnreadable {
        index: cicadabend::agreement::LogIndex,
        reason: String,
    } "a committed command cannot be read";
}
