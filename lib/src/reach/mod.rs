//! Which upstreams a daemon reaches by its own links, and which other daemons relay its requests.
//!
//! Upstreams' reports come by way of control daemons, so they tell nothing about this daemon's own
//! links to upstreams. Those it learns from its connections and requests alone:
//!
//! - [`ReachTracker`]: the state of each link, and of all links to one service in one failure
//!   domain.
//! - [`SilenceCheck`]: whether a timer shows that the other side is silent, or that this daemon was not
//!   running.
//! - [`RelayTable`]: the choice of another entry daemon that sends a request on.
//! - [`relays_for`]: which relays a control daemon names to an entry daemon.
//!
//! `docs/design/relays.md` weighs the alternatives.

mod link;
mod offers;
mod relays;
mod silence;
mod tracker;

pub use link::{
    LinkChange,
    LinkGroup,
    LinkUse,
    LossEvidence, //
};
pub use offers::{
    Relay,
    RelayHello,
    RelayKey,
    RelayOffer,
    RelayUpdate,
    relays_for, //
};
pub use relays::{
    RelayFailure,
    RelayTable, //
};
pub use silence::SilenceCheck;
pub use tracker::ReachTracker;
