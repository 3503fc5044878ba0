//! The load and experiment tool: open-loop load, an account of every request, benchmarks.
//!
//! - [`workload`]: what is asked for: rates, teams, lengths, shares.
//! - [`schedule`]: the workload drawn out into single requests, from a seed.
//! - [`balancer`]: which entry daemon a request goes to.
//! - [`exchange`]: one attempt of one request over HTTP.
//! - [`answer`]: whether an answer is the whole answer to its own request.
//! - [`drive`]: sends each request at its time, whatever became of the others.
//! - [`account`]: compares what callers were told with what upstreams ran.
//! - [`statistics`]: latencies and rates of a run.
//! - [`table`]: results as text.
//! - [`mod@bench`]: benchmarks with real processes.
//! - [`commands`]: the command line.

pub mod account;
pub mod answer;
pub mod balancer;
pub mod bench;
pub mod commands;
pub mod drive;
pub mod exchange;
pub mod http_client;
pub mod schedule;
pub mod statistics;
pub mod table;
pub mod workload;
