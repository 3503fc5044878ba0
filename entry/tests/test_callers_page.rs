//! Checks that `docs/callers.md` lists every error code with its status, and every header.

use cicadabend::caller_api::{
    self,
    ErrorCode, //
};

const PAGE: &str = include_str!("../../docs/callers.md");

#[test]
fn the_page_lists_every_error_code() {
    for code in ErrorCode::ALL {
        let not_run = if code.promises_not_run() { "yes" } else { "no" };
        let row = format!("| `{}` | {} | {not_run} |", code.name(), code.http_status());
        assert!(PAGE.contains(&row), "{row} is missing");
    }
}

#[test]
fn the_page_lists_every_header() {
    let headers = [
        caller_api::HEADER_REQUEST_ID,
        caller_api::HEADER_IDEMPOTENCY_KEY,
        caller_api::HEADER_NOT_REPEATABLE,
        caller_api::HEADER_PRIORITY,
        caller_api::HEADER_DEADLINE_MS,
        caller_api::HEADER_SESSION,
        caller_api::HEADER_SERVICE,
        caller_api::HEADER_POLICY,
        caller_api::HEADER_GROUP,
        caller_api::HEADER_REVISION,
        caller_api::HEADER_REPLAYED,
    ];
    for header in headers {
        assert!(PAGE.contains(&format!("`{header}")), "{header} is missing");
    }
}
