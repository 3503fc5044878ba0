//! The entry daemon: callers' requests to whole groups, and its failure domain's coordination.
//!
//! - [`domain`]: the thread that coordinates the failure domain.
//! - [`upstreams`]: the thread that hears announcements.
//! - [`commands`]: the thread that sends commands to engines.
//! - [`serve`]: the thread that answers callers.
//! - [`process`]: starts the daemon's threads and stops them in order.

pub mod commands;
pub mod domain;
pub mod upstreams;

pub mod process;
pub mod serve;
