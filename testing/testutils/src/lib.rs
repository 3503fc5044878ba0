//! Fixtures for tests with real processes and injected faults.
//!
//! - [`deployment`]: starts a small cluster in a temporary folder and ends it when dropped.
//! - [`process`]: one process of it: pause, resume, terminate, kill, its log.
//! - [`fault_proxy`]: a TCP proxy in the path, from the library noxious.
//! - [`caller`] and [`client`]: what callers ask, and whether they got all of it.
//! - [`crowd`]: clients that send part of a request and stay open.
//! - [`process_use`]: the memory and descriptors that a process holds.
//! - [`operator`]: an operator over HTTP.
//! - [`upstream_links`]: the links from one daemon to all upstreams, which can be cut.
//! - [`wait`]: waiting on a condition with a deadline.

pub mod caller;
pub mod client;
pub mod crowd;
pub mod deployment;
pub mod fault_proxy;
pub mod operator;
pub mod ports;
pub mod process;
pub mod process_use;
pub mod upstream_links;
pub mod wait;
