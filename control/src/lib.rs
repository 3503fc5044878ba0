//! The control daemon: keeps the accepted configuration on disk and spreads it.
//!
//! Threads, joined by bounded rings:
//!
//! - `operators`: the operators' HTTP listener (module `operators`); where an [`edge`] is given
//!   also the calls of operators and upstreams that the edge translates (module `calls`).
//! - `agreement`: the replicated log and the fleet's state (module `replication`).
//! - `inbox`: sorts messages from other processes by who handles them (module `inbox`).
//! - `spread`: sends the configuration and takes in what domains report (module `spread`).
//! - `members`: where daemons find each other by seeds: who is there, what upstreams
//!   report, and, on the leader, which groups there are (module `members`).
//! - `orders`: gives orders to engines (module `engine_commands`).
//! - `peers`: hears other processes.

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
