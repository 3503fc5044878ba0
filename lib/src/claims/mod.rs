//! Requests that must run at most once.
//!
//! Before such a request is sent to an upstream, its entry daemon claims the team's
//! idempotency key with a majority of the voting control daemons. There is no leader:
//! [`ClaimReplica`] is what each control daemon decides alone, and
//! [`ClaimCoordinator`] is how an entry daemon adds their answers up.
//!
//! A claim is asked for only after a majority was reached by a probe, which records nothing: a
//! daemon that cannot hear a majority leaves nothing behind that would block the key.
//!
//! Two attempts for one key cannot both be granted: their majorities share a replica,
//! and a replica that has said `Held` to one says so to another only after the first
//! was released, which its entry daemon asks for only once it will never run.

mod attempt;
mod coordinator;
mod key_state;
mod output;
mod record;
mod replica;
mod standing;
mod tally;

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
