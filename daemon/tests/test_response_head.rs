//! Heads of upstreams' responses, as an HTTP library has read them.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cicadabend_daemon::response_head::{
    HeadFault,
    HeadLines,
    check_head, //
};
use http::{
    Response,
    response::Parts, //
};
use rstest::rstest;

/// Returns the head of a response of this status with these fields.
fn head_of(status: u16, fields: &[(&str, &str)]) -> Parts {
    let fields = fields.iter();
    let builder = fields.fold(Response::builder().status(status), |head, (name, value)| {
        head.header(*name, *value)
    });
    builder.body(()).unwrap().into_parts().0
}

#[rstest]
#[case::to_the_connections_end(&[])]
#[case::length(&[("content-length", "12")])]
#[case::no_bytes(&[("content-length", "0")])]
#[case::chunks(&[("transfer-encoding", "chunked")])]
#[case::chunks_in_capitals(&[("transfer-encoding", "CHUNKED")])]
fn a_body_with_one_certain_end_is_sound(#[case] fields: &[(&str, &str)]) {
    assert_eq!(check_head(&head_of(200, fields)), Ok(()));
}

/// Guards against a body that is read to a wrong end and looks whole.
#[rstest]
#[case::no_number(&[("content-length", "x")], HeadFault::Length)]
#[case::a_sign(&[("content-length", "+12")], HeadFault::Length)]
#[case::empty(&[("content-length", "")], HeadFault::Length)]
#[case::a_list(&[("content-length", "12, 12")], HeadFault::Length)]
#[case::twice(&[("content-length", "12"), ("content-length", "12")], HeadFault::Length)]
#[case::both(&[("content-length", "12"), ("transfer-encoding", "chunked")], HeadFault::Length)]
#[case::unknown(&[("transfer-encoding", "xhunked")], HeadFault::TransferCoding)]
#[case::no_coding(&[("transfer-encoding", "")], HeadFault::TransferCoding)]
#[case::a_coding_before(&[("transfer-encoding", "gzip, chunked")], HeadFault::TransferCoding)]
#[case::a_coding_after(&[("transfer-encoding", "chunked, gzip")], HeadFault::TransferCoding)]
#[case::coded_twice(
    &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")],
    HeadFault::TransferCoding
)]
fn a_body_whose_end_is_uncertain_is_broken(
    #[case] fields: &[(&str, &str)],
    #[case] fault: HeadFault,
) {
    assert_eq!(check_head(&head_of(200, fields)), Err(fault));
}

#[rstest]
#[case::no_content(204, &[])]
#[case::no_content_of_no_length(204, &[("content-length", "0")])]
#[case::not_modified_of_a_body(304, &[("content-length", "12")])]
#[case::the_last(599, &[])]
fn a_final_status_is_sound(#[case] status: u16, #[case] fields: &[(&str, &str)]) {
    assert_eq!(check_head(&head_of(status, fields)), Ok(()));
}

/// Guards against an answer with a status that its caller can't understand.
#[rstest]
#[case::interim(100, &[])]
#[case::switched_protocols(101, &[])]
#[case::above_the_last(600, &[])]
#[case::the_librarys_last(999, &[])]
#[case::no_content_with_a_length(204, &[("content-length", "12")])]
#[case::no_content_in_chunks(204, &[("transfer-encoding", "chunked")])]
fn a_status_of_no_final_response_is_broken(#[case] status: u16, #[case] fields: &[(&str, &str)]) {
    assert_eq!(check_head(&head_of(status, fields)), Err(HeadFault::Status));
}

/// Follows bytes that arrive in parts of this length, after a request was sent.
fn follow(bytes: &[u8], part: usize) -> Result<(), HeadFault> {
    let mut lines = HeadLines::of_next_response();
    bytes.chunks(part).try_for_each(|part| lines.follow(part))
}

#[rstest]
#[case::without_a_body(b"HTTP/1.1 204 No Content\r\n\r\n")]
#[case::any_bytes_in_the_body(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n\n\r\n\rc\n")]
#[case::after_interim_ones(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nc\n"
)]
fn lines_that_end_as_they_must_are_sound(
    #[case] bytes: &[u8],
    #[values(1, 2, 3, 7, 1_000)] part: usize,
) {
    assert_eq!(follow(bytes, part), Ok(()));
}

/// Guards against a head that ends early, so that the rest of it is taken for the body.
#[rstest]
#[case::a_field(b"HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n")]
#[case::the_first_line(b"HTTP/1.1 200 OK\nA: b\r\n\r\n")]
#[case::an_empty_line(b"HTTP/1.1 200 OK\r\nA: b\r\n\nC: d\r\n\r\n")]
#[case::the_last_line(b"HTTP/1.1 200 OK\r\nA: b\r\n\n")]
#[case::an_empty_first_line(b"\r\nHTTP/1.1 200 OK\r\n\r\n")]
#[case::after_an_interim_one(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\n\r\n")]
fn a_line_without_a_carriage_return_is_broken(
    #[case] bytes: &[u8],
    #[values(1, 2, 3, 7, 1_000)] part: usize,
) {
    assert_eq!(follow(bytes, part), Err(HeadFault::LineEnd));
}
