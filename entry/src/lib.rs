//! The entry daemon: callers' requests to whole groups, and its failure domain's coordination.
//!
//! - [`serve`]: the thread that answers callers.
//! - [`process`]: starts the daemon's threads and stops them in order.

pub mod process;
pub mod serve;
