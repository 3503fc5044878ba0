//! What every cicadabend process shares, around the pure decisions of the library.
//!
//! - [`program`]: command line, settings, logs and signals of every program.
//! - [`stop`]: the graceful stop.
//! - [`logs`] and [`mod@events`]: numbered log events; [`metrics`]: counters and timers.
//! - [`settings`]: JSON settings, validated before anything starts.
//! - [`ring`]: the bounded rings that join a process's threads.
//! - [`bodies`]: bodies of requests that are held in memory, within a limit.
//! - [`connections`]: the open connections of a listener, within a limit.
//! - [`response_head`]: checks of the heads of upstreams' responses.
//! - [`duty`]: one named thread with its own single-threaded runtime for each duty.
//! - [`peers`]: messages between the cluster's own processes, over TCP.
//! - [`storage`]: the data folder, its journals and the disk's identity.
//! - [`clock`]: the process's monotonic clock.

pub mod bodies;
pub mod clock;
pub mod connections;
pub mod daemon_events;
pub mod duty;
pub mod events;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod program;
pub mod response_head;
pub mod ring;
pub mod seeds;
pub mod settings;
pub mod stop;
pub mod storage;
