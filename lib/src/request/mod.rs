//! State of one request, and checks of its streamed answer.
//!
//! - `life`: the request's state machine, which maps events to actions.
//! - `event`: parsing of the server-sent events that engines stream.
//! - `stream`: checks that the events passed on are the complete answer to one request, in order.

mod event;
mod life;
mod stream;

pub use event::{
    EventIdentity,
    StreamEvent,
    first_event_len, //
};
pub use life::{
    Permit,
    RequestLife,
    RequestTraits, //
};
pub use stream::{
    EventVerdict,
    StreamFault,
    StreamTracker, //
};
