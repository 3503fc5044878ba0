//! A stand-in for model engines and plain services, for tests and benchmarks.
//!
//! One process holds one or several VMs, each with a listener of its own. A VM
//! announces itself as a real upstream does, obeys commands, batches requests,
//! streams deterministic tokens at a set pace and keeps an account of what ran.
//!
//! - [`settings`]: the JSON settings.
//! - [`process`]: starts the VMs and ends them gracefully.
//! - [`vm`]: the state of one VM, shared by its tasks.
//! - [`announce`]: announcements, which are heartbeat and load report as well.
//! - [`command`]: membership of a group, as commanded by a domain leader.
//! - [`fellow`]: whether the other members of the group are alive.
//! - [`batch`]: slots and the queue in front of them.
//! - [`cache`]: the prefix cache and its events.
//! - [`text`]: the tokens, each of which names its request and position.
//! - [`run`]: the account of what ran.
//! - [`generate`]: one generation, from its slot to its last token.
//! - [`serve`], [`completion`], [`plain`], [`admin`]: HTTP.
//! - [`fault`]: what a test can make a VM do wrong.

pub mod admin;
pub mod announce;
pub mod batch;
pub mod cache;
pub mod command;
pub mod completion;
pub mod fault;
pub mod fellow;
pub mod generate;
pub mod plain;
pub mod process;
pub mod run;
pub mod serve;
pub mod settings;
pub mod text;
pub mod vm;
