//! The life of an upstream as the daemons of its failure domain see it.

use super::names::chart_names;

chart_names! {
    /// What is known of an upstream.
    UpstreamState {
        /// It has not announced itself to this daemon yet.
        Unknown = "unknown",
        /// It announces in time.
        Alive = "alive",
        /// Announcements are overdue; it keeps its place but gets no new one.
        Suspect = "suspect",
        /// Its lease has ended.
        Dead = "dead",
        /// It has said that it is leaving.
        Leaving = "leaving",
        /// The configuration keeps it out of groups.
        Drained = "drained",
        /// Two upstreams announce its id.
        Conflict = "conflict",
    }
}
