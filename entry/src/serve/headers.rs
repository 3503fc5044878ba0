//! Which headers pass through, and which end at each hop.

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    header, //
};

/// Headers that belong to one connection, not to the request (RFC 9110, 7.6.1).
///
/// `te` and `trailer` stay: trailers pass through unchanged.
const HOP_BY_HOP: [HeaderName; 4] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const HOP_BY_HOP_UNREGISTERED: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes what belongs to one connection, and what `connection` names as such.
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

/// Sets a header to a text made by this process.
///
/// Names and numbers hold only visible ASCII, so a value that does not fit cannot occur.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the size of all headers as HTTP/1.1 would send them.
pub(super) fn size_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS_BYTES: usize = 4;
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + SEPARATORS_BYTES
    };
    headers.iter().map(line).sum()
}

/// Returns a header's text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the bytes in hexadecimal.
pub(super) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing into a String cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
