//! The life of one request.
//!
//! - `life`: where a request stands, and what an event means for it.
//! - `event`: server-sent events as engines stream them.
//! - `stream`: whether events are the whole answer to one request, in order.

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
