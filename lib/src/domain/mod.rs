//! What the daemons of one failure domain decide together.
//!
//! - [`lease`]: which of them leads.
//! - [`membership`]: which upstreams are alive.
//! - [`group`]: where a group stands.
//! - [`leader`]: what the leader does with them.
//! - [`admission_gate`]: which groups may be routed to.
//! - [`placement`]: which groups there should be.
//! - [`recovery`]: what becomes of groups that lost a member.
//! - [`spread_tree`]: how a configuration comes to all of them.
//! - [`config_spread`]: which configuration is in force here and below.
//! - [`relays`]: who passes announcements on to whom.
//! - [`report`]: what other domains learn.
//! - [`coordinator`]: one daemon's part in all of this.

pub mod admission_gate;
pub mod config_spread;
pub mod coordinator;
pub mod group;
pub mod leader;
pub mod lease;
pub mod membership;
pub mod parameters;
pub mod placement;
pub mod recovery;
pub mod relays;
pub mod report;
pub mod spread_tree;
