//! The route table: maps requests to services, keys to teams, and sets deadlines and limits.
//!
//! A table is replaced as a whole and carries a version set by the operator; the highest
//! version is in force. These types are independent of the wire formats of requests and
//! operator calls, which an edge translates into them.

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
