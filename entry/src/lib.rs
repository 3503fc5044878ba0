//! The entry daemon: callers' requests to whole groups, and its failure domain's coordination.
//!
//! - [`domain`]: the thread that coordinates the failure domain.
//! - [`upstreams`]: the thread that hears announcements.
//! - [`commands`]: the thread that sends commands to engines.
//! - [`serve`]: the thread that answers callers.
//! - [`members`]: where daemons find each other by seeds, the thread that keeps what
//!   control daemons tell.
//! - [`edge`]: how callers and upstreams write what they say.
//! - [`process`]: starts the daemon's threads and stops them in order.

pub mod commands;
pub mod domain;
pub mod edge;
pub mod members;
pub mod upstreams;

pub mod process;
pub mod serve;
