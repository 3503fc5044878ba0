//! Checks the heads of upstreams' responses.
//!
//! HTTP libraries read more heads than are sound: of two lengths they take one, and a body of an unknown
//! transfer coding goes on to the end of its connection, with the bytes that frame it. Such a body would
//! look whole to its caller.

use displaydoc::Display;
use http::{
    HeaderValue,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    response::Parts, //
};
use thiserror::Error;

crate::counters! {
    /// What is wrong with the head of an upstream's response.
    #[derive(Display, Error)]
    pub enum HeadFault = "upstream_broken_heads" {
        /// a length of the body that is no number, or is told more than once
        Length,
        /// an unknown transfer coding of the body
        TransferCoding,
        /// bytes that are no head
        Unreadable,
    }
}

/// The only transfer coding whose end is told.
const CHUNKED: &str = "chunked";

/// Checks a response's head, so that the end of its body is certain.
///
/// # Errors
///
/// Returns what is wrong with the head; nothing of such a response may be used.
pub fn check_head(head: &Parts) -> Result<(), HeadFault> {
    let lengths = head.headers.get_all(CONTENT_LENGTH);
    let codings = head.headers.get_all(TRANSFER_ENCODING);
    match (lengths.iter().count(), codings.iter().count()) {
        (0, 0) => Ok(()),
        (1, 0) if lengths.iter().all(is_number) => Ok(()),
        (0, 1) if codings.iter().all(is_chunked) => Ok(()),
        (0, _) => Err(HeadFault::TransferCoding),
        (_, _) => Err(HeadFault::Length),
    }
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(CHUNKED.as_bytes())
}
