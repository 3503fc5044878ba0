//! What upstreams' answers say of when they may be sent requests.

use cicadabend::registry::InstanceId;

use super::{
    events::LogEvent,
    server::Server, //
};
use crate::edge::{
    AnswerWords,
    Named, //
};

/// Takes note of what an upstream's answer says of its availability.
pub(super) fn note(server: &Server, request: &str, id: &InstanceId, words: &AnswerWords) {
    let unreadable = |what: &'static str, why: &String| {
        server.log(&LogEvent::AvailabilityUnreadable {
            request: request.to_owned(),
            instance: id.clone(),
            what,
            why: why.clone(),
        });
    };
    match &words.backoff {
        Named::Unsaid => {}
        Named::Named(backoff) => server.log(&LogEvent::BackoffAsked {
            request: request.to_owned(),
            instance: id.clone(),
            backoff_ms: backoff.0.as_millis(),
        }),
        Named::Unreadable(why) => unreadable("backoff", why),
    }
    match &words.leaving {
        Named::Unsaid | Named::Named(false) => {}
        Named::Named(true) => server.log(&LogEvent::LeavingTold {
            request: request.to_owned(),
            instance: id.clone(),
        }),
        Named::Unreadable(why) => unreadable("leaving", why),
    }
}
