//! The entry daemon: forwards callers' requests to upstreams and coordinates its failure domain.
//!
//! - [`domain`]: the thread that coordinates the failure domain.
//! - [`upstreams`]: the thread that receives upstreams' announcements.
//! - [`commands`]: the thread that sends commands to engines.
//! - [`serve`]: the thread that answers callers.
//! - [`members`]: if daemons find each other by seeds, the thread that stores the state which
//!   control daemons send.
//! - [`edge`]: translates the HTTP headers of callers and upstreams.
//! - [`process`]: starts the daemon's threads and stops them in order.

pub mod commands;
pub mod domain;
pub mod edge;
pub mod members;
pub mod upstreams;

pub mod process;
pub mod serve;
