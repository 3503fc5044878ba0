//! The control daemon: stores the accepted configuration and sends it to the other daemons.
//!
//! The daemon has these threads, which are connected by bounded rings:
//!
//! - `operators`: the operators' HTTP listener (module `operators`); if an [`edge`] is given,
//!   also the calls of operators and upstreams that the edge translates (module `calls`).
//! - `agreement`: the replicated log and the fleet's state (module `replication`).
//! - `inbox`: passes each message from another process to the thread that handles its kind
//!   (module `inbox`).
//! - `spread`: sends the configuration and handles the reports of failure domains (module
//!   `spread`).
//! - `members`: runs only if daemons find each other by seeds. Tracks the live daemons and the
//!   upstreams' reports and, on the leader, manages the groups (module `members`).
//! - `orders`: sends commands to engines (module `engine_commands`).
//! - `peers`: exchanges messages with other processes.

mod calls;
mod claims;
mod counters;
pub mod edge;
mod engine_commands;
mod events;
mod inbox;
mod members;
mod operators;
mod replication;
mod run;
mod spread;
mod view;

pub use run::{
    RunError,
    run,
    run_with_edge, //
};
