//! Removes hop-by-hop headers, and reads and sets others.

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    header, //
};

/// Headers that belong to one connection, not to the request (RFC 9110, 7.6.1).
///
/// `te` and `trailer` are not among them here, since trailers pass through unchanged.
const HOP_BY_HOP: [HeaderName; 4] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop headers that have no constant in the `http` crate.
const HOP_BY_HOP_UNREGISTERED: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, and those that the `connection` header names.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| name != header::TE && name != header::TRAILER)
        .collect();
    for name in named.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_UNREGISTERED {
        headers.remove(name);
    }
}

/// Sets a header to a value that this process made.
///
/// The values are names and numbers in visible ASCII, so an invalid one, which would be ignored,
/// cannot occur.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the size in bytes that all headers have in HTTP/1.1.
pub(super) fn size_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS_BYTES: usize = 4;
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + SEPARATORS_BYTES
    };
    headers.iter().map(line).sum()
}

/// Returns a header's value; `None` if it is missing or not visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the bytes as lowercase hexadecimal digits.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing into a String cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
