//! The decision logic of cicadabend, without I/O.
//!
//! Each module takes a state, an event and the time, and returns the actions that the caller
//! must carry out. No module opens a socket, reads a clock, accesses a disk or generates a random
//! number itself. Tests can therefore replay every race, and each module can be embedded in
//! another program.
//!
//! - [`ids`], [`units`] and [`time`]: types that all modules share.
//! - [`fleet`]: the accepted configuration, and how an intent becomes a plan.
//! - [`agreement`]: the replicated log among control daemons.
//! - [`chart`]: state charts that are read from files.
//! - [`domain`]: the lease, the group table and the reports of one failure domain.
//! - [`routes`]: the table of routes.
//! - [`registry`]: the upstreams that report to daemons.
//! - [`grouping`]: groups that one leader forms of registered engines.
//! - [`cluster`]: cluster members that find each other by seeds.
//! - [`discovery`]: how daemons forward the reports of upstreams to each other.
//! - [`dispatch`]: the choice of an upstream for a routed request.
//! - [`rates`]: the rates that upstreams name, and the permits that keep daemons within them.
//! - [`reach`]: which upstreams a daemon reaches itself, and which daemons relay its requests.
//! - [`breaker`]: circuit breakers that follow upstreams' own refusals.
//! - [`quarantine`]: requests that crash the upstreams which run them.
//! - [`routing`], [`admission`], [`claims`], [`request`]: the handling of one request.
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
pub mod reach;
mod rebroadcast_queue;
pub mod registry;
pub mod request;
pub mod retry_budget;
pub mod routes;
pub mod routing;
mod signed_timestamp;
pub mod time;
pub mod units;
pub mod upstream_api;
