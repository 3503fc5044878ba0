//! Claims on idempotency keys, for requests that must run at most once.
//!
//! Before an entry daemon sends such a request to an upstream, it claims the team's
//! idempotency key with a majority of the voting control daemons. The protocol has no
//! leader: each control daemon decides alone with a [`ClaimReplica`], and the entry
//! daemon combines their answers with a [`ClaimCoordinator`].
//!
//! An attempt first probes the voters, which records nothing, and claims the key only
//! after a majority has answered the probe. An entry daemon that cannot reach a majority
//! therefore leaves no record behind that would block the key.
//!
//! Two attempts for one key cannot both be granted. Their majorities share a replica,
//! and a replica that has answered `Held` to one attempt answers `Held` to another only
//! after the first was released. An entry daemon releases an attempt only once the
//! attempt will never run.

mod attempt;
mod coordinator;
mod key_state;
mod output;
mod record;
mod replica;
mod tally;
mod voter_status;

pub use coordinator::ClaimCoordinator;
pub use output::{
    ClaimOutput,
    ClaimRefusal,
    ClaimTiming,
    VoterAnswer, //
};
pub use record::{
    ClaimRecord,
    ClaimRecordError,
    NumberedRecord, //
};
pub use replica::{
    ClaimReplica,
    ReplicaBounds, //
    UnsyncedVerdict,
};
