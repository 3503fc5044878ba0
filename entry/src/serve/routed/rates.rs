//! The rates of requests that upstreams name in their answers.

use std::collections::HashMap;

use cicadabend::{
    prelude::*,
    registry::InstanceId, //
};

use super::{
    events::LogEvent,
    server::Server, //
};
use crate::edge::NamedRate;

/// What each upstream named in its last answer here; those that name nothing are left out.
pub(super) type HeardRates = HashMap<InstanceId, RequestRate>;

/// Takes note of what an upstream's answer says of the rate that it takes.
pub(super) fn note(server: &Server, request: &str, id: &InstanceId, named: &NamedRate) {
    let rate = match named {
        NamedRate::Unsaid => None,
        NamedRate::Named(rate) => Some(*rate),
        NamedRate::Unreadable(why) => {
            server.log(&LogEvent::RateUnreadable {
                request: request.to_owned(),
                instance: id.clone(),
                why: why.clone(),
            });
            return;
        }
    };
    let before = replace(&mut server.rates.borrow_mut(), id, rate);
    if before != rate {
        server.log(&LogEvent::RateNamed {
            request: request.to_owned(),
            instance: id.clone(),
            rate: text(rate),
            before: text(before),
        });
    }
}

fn replace(
    rates: &mut HeardRates,
    id: &InstanceId,
    rate: Option<RequestRate>,
) -> Option<RequestRate> {
    match rate {
        Some(rate) => rates.insert(id.clone(), rate),
        None => rates.remove(id),
    }
}

fn text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
