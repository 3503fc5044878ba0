//! Routes: which requests go to which service, who may send them, and on which terms.
//!
//! A table is replaced as a whole and carries the operator's own version; the highest
//! version wins. Nothing here knows how a request or an operator's call is written on
//! the wire: an edge translates into these types.

mod check;
mod matching;
mod table;

pub use check::RouteTableError;
pub use matching::{
    Matched,
    RouteIndex, //
};
pub use table::{
    CallerLimits,
    EngineTraits,
    KeyedTeam,
    ModelTraits,
    Route,
    RouteDocument,
    RouteKind,
    RouteTable,
    RouteTarget,
    RouteVersion,
    RoutedService,
    Timing,
    ZoneDelay, //
};
