//! Coordination of the entry daemons of one failure domain: pure decision logic, without input
//! and output.
//!
//! - [`lease`]: the lease by which one daemon leads.
//! - [`membership`]: the upstreams, and whether they are alive.
//! - [`group`]: the state of a group by its state chart.
//! - [`leader`]: the leader's table of groups and its commands to engines.
//! - [`admission_gate`]: the groups to which a daemon may route.
//! - [`placement`]: the groups that the configuration demands.
//! - [`recovery`]: repairs of groups that lost a member.
//! - [`spread_tree`]: the tree in which messages are distributed to the daemons.
//! - [`config_spread`]: the configuration applied at this daemon and below it in the tree.
//! - [`relays`]: relaying of announcements between daemons.
//! - [`report`]: reports to other domains and to control.
//! - [`coordinator`]: the state of one daemon, which combines all of these.

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
