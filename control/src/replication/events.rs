//! The log events of the replicated log (CB1700 to CB1799).

cicadabend_daemon::events! {
    /// The journal was read at the start; this daemon has the state that it had synced before.
    1700 Info Recovered {
        disk: u64,
        snapshot: cicadabend::agreement::LogIndex,
        entries: usize,
    } "the log was read";
    /// The journal ended with an incomplete record, which was cut off. Its bytes had never been
    /// synced, so no answer depended on them.
    1701 Warn TornTail { cut_bytes: u64 } "the log's torn tail was cut";
    /// This daemon has become the leader.
    1702 Info Leads { term: cicadabend::agreement::Term } "leading";
    /// This daemon is no longer the leader.
    1703 Info LeadsNoMore { term: cicadabend::agreement::Term } "no longer leading";
    /// No control daemon has stored state yet; this daemon creates the first set of voters.
    1704 Info Founded { voters: usize } "first set of voters created";
    /// A control daemon has announced an empty disk, whose number is not yet among the voters.
    1705 Warn NewDisk {
        daemon: cicadabend::prelude::DaemonId,
        disk: u64,
    } "a control daemon has an empty disk";
    /// The set of voters has changed; `number` counts the sets.
    1706 Info VotersChanged { number: u64, voters: usize } "the set of voters changed";
    /// The log's entries up to `through` were replaced by a snapshot of the state.
    1707 Info Compacted { through: cicadabend::agreement::LogIndex } "the log was compacted";
    /// The snapshot is larger than one message may be; a daemon that lacks compacted entries
    /// cannot catch up until the state is smaller.
    1708 Error SnapshotTooLarge { bytes: usize } "a snapshot cannot be sent";
    /// The disk is full; this daemon acknowledges nothing until there is room.
    1710 Error DiskFull { reason: String } "the disk is full";
    /// A write has succeeded again after the disk was full.
    1711 Info DiskHasRoom {} "the disk has room again";
    /// A write or sync failed; the daemon stops, because only reading the journal at a restart
    /// shows which records are stored.
    1712 Error StorageFailed { reason: String } "the log cannot be stored";
    /// A committed command cannot be decoded. The daemon stops, since skipping the command would
    /// make its state differ from that of the other daemons.
    1713 Error CommandUnreadable {
        index: cicadabend::agreement::LogIndex,
        reason: String,
    } "a committed command cannot be decoded";
}
