//! Crowds of clients of the product's own listener that stay open with large requests.
//!
//! The step of its own in `./run test` runs these tests, one at a time.

use cicadabend::prelude::*;
use cicadabend_testutils::{
    caller,
    crowd::{
        Crowd,
        Sending, //
    },
    deployment::{
        API_KEY,
        Deployment,
        Shape, //
    },
    process_use::ProcessUse,
};
use rstest::rstest;

const ENTRY: &str = "cumbaya-entry-1";
/// Memory of the smallest machine of an entry daemon.
const ENTRY_MEMORY: ByteCount = ByteCount(160_000_000);
/// Descriptors that a process may have for sockets.
const DESCRIPTORS: usize = 3_896;
/// The default limit on one body.
const BODY_BYTES: usize = 16 * 1024 * 1024;
const LARGE_CHUNK_BYTES: usize = 64 * 1024;
const CROWD: usize = 24;
const TOKENS: u32 = 20;

/// Guards against bodies that together fill the entry daemon's memory.
#[rstest]
#[case::that_stop_short(Sending::Whole { announced: BODY_BYTES, sent: BODY_BYTES - 1 })]
#[case::in_large_chunks(Sending::Chunks { chunk: LARGE_CHUNK_BYTES, sent: BODY_BYTES - LARGE_CHUNK_BYTES })]
#[ignore = "runs alone; `./run test` starts it"]
fn unruly_callers_leave_the_entry_daemon_its_memory(#[case] sending: Sending) {
    let mut deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let address = deployment.entry_address(ENTRY);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: example.test\r\n\
         Authorization: Bearer {API_KEY}\r\n"
    );

    let _crowd = Crowd::press(address, CROWD, &head, sending);

    let process = deployment.process(ENTRY);
    let held = ProcessUse::settled(process.id(), address.ip());
    assert!(held.memory().0 <= ENTRY_MEMORY.0, "{held:?}");
    assert!(held.descriptors <= DESCRIPTORS, "{held:?}");
    assert!(!process.has_exited());
    let ordinary = caller::stream(address, TOKENS).expect("an answer");
    assert_eq!(caller::check_whole(&ordinary, TOKENS), Ok(()));
}
