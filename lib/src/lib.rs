//! Coordination parts of cicadabend.
//!
//! Everything here is a decision: it takes a state, an event and the time, and
//! returns what is to be done. No module opens a socket, reads a clock, touches
//! a disk or draws a random number of its own, so each race can be replayed in a
//! test and each part can be embedded elsewhere.
//!
//! - [`ids`], [`units`] and [`time`]: the shared vocabulary.
//! - [`fleet`]: the accepted configuration, and how an intent becomes a plan.
//! - [`agreement`]: the replicated log among control daemons.
//! - [`chart`]: state charts that stand in files.
//! - [`domain`]: what the daemons of one failure domain decide together.
//! - [`routes`], [`registry`], [`grouping`], [`cluster`]: tables of routes, upstreams that
//!   report to any daemon, groups formed from them by one leader, membership by seeds.
//! - [`discovery`]: how daemons share what upstreams report.
//! - [`dispatch`]: which upstream a routed request goes to.
//! - [`breaker`]: whether a daemon may send to an upstream, by the upstream's own answers.
//! - [`quarantine`]: requests that end the upstreams which run them.
//! - [`routing`], [`admission`], [`claims`], [`request`]: the life of one request.
//! - [`upstream_api`], [`peer_api`], [`operator_api`], [`caller_api`]: the messages
//!   between processes.

pub mod admission;
pub mod agreement;
pub mod breaker;
pub mod caller_api;
pub mod chart;
pub mod claims;
pub mod cluster;
pub mod discovery;
pub mod dispatch;
pub mod domain;
pub mod fleet;
pub mod grouping;
pub mod ids;
pub mod operator_api;
pub mod peer_api;
pub mod prelude;
pub mod quarantine;
pub mod rates;
mod rebroadcast_queue;
pub mod registry;
pub mod request;
pub mod routes;
pub mod routing;
mod signed_timestamp;
pub mod time;
pub mod units;
pub mod upstream_api;
