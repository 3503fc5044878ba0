//! Checks the heads of upstreams' responses.
//!
//! HTTP libraries read more heads than are sound: statuses that HTTP does not have, or one of two
//! lengths; and a body of an unknown transfer coding goes on to the end of its connection, with the
//! bytes that frame it. Such a body would look whole to its caller.

mod lines;

use std::ops::RangeInclusive;

use displaydoc::Display;
use http::{
    HeaderMap,
    HeaderValue,
    StatusCode,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    response::Parts, //
};
use thiserror::Error;

pub use self::lines::HeadLines;

crate::counters! {
    /// What is wrong with the head of an upstream's response.
    #[derive(Display, Error)]
    pub enum HeadFault = "upstream_broken_heads" {
        /// a status that is none of a final response, or that rules out the body
        Status,
        /// a length of the body that is no number, or is told more than once
        Length,
        /// an unknown transfer coding of the body
        TransferCoding,
        /// a line that ends without a carriage return
        LineEnd,
        /// bytes that are no head
        Unreadable,
    }
}

/// The statuses of final responses; those below are followed by a final one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The only transfer coding whose end is told.
const CHUNKED: &str = "chunked";

/// Checks that a response is a final one, and that the end of its body is certain.
///
/// # Errors
///
/// Returns what is wrong with the head; nothing of such a response may be used.
pub fn check_head(head: &Parts) -> Result<(), HeadFault> {
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(HeadFault::Status);
    }
    if head.status == StatusCode::NO_CONTENT && announces_body(&head.headers) {
        return Err(HeadFault::Status);
    }
    check_length(&head.headers)
}

/// Returns whether a response's head announces a body of at least one byte.
fn announces_body(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length != "0")
}

fn check_length(headers: &HeaderMap) -> Result<(), HeadFault> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let codings = headers.get_all(TRANSFER_ENCODING);
    match (lengths.iter().count(), codings.iter().count()) {
        (0, 0) => Ok(()),
        (1, 0) if lengths.iter().all(is_number) => Ok(()),
        (0, 1) if codings.iter().all(is_chunked) => Ok(()),
        (0, _) => Err(HeadFault::TransferCoding),
        (_, _) => Err(HeadFault::Length),
    }
}

/// Returns whether a response's head tells where its body ends; if not, the body ends with its connection.
pub fn tells_length(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(CHUNKED.as_bytes())
}
