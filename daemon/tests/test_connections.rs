//! The open connections of a listener, within a limit.

use std::{
    future::Future,
    pin::pin,
    task::{
        Context,
        Waker, //
    },
    thread,
    time::Duration,
};

use cicadabend_daemon::connections::{
    ConnectionTable,
    OpenConnection, //
};

/// Longer than a connection is kept for the next request of its client.
const LONG_IDLE: Duration = Duration::from_millis(1_100);

fn must_close(connection: &OpenConnection) -> bool {
    let gives_way = pin!(connection.gives_way());
    let mut context = Context::from_waker(Waker::noop());
    gives_way.poll(&mut context).is_ready()
}

fn serve_one(connection: &OpenConnection) {
    connection.request().begin();
}

/// Guards against clients that connect and say nothing, and so shut out all others.
#[test]
fn the_oldest_connection_without_a_request_gives_way() {
    let table = ConnectionTable::new(2);
    let first = table.open().unwrap();
    let second = table.open().unwrap();

    let third = table.open();

    assert!(third.is_some());
    assert!(must_close(&first));
    assert!(!must_close(&second));
    assert_eq!(table.count(), 2);
}

/// Guards against requests that lose their connection to a new one.
#[test]
fn connections_at_work_or_with_bytes_to_write_do_not_give_way() {
    let table = ConnectionTable::new(2);
    let working = table.open().unwrap();
    let request = working.request();
    request.begin();
    let writing = table.open().unwrap();
    writing.set_writing(true);

    let refused = table.open();
    drop(request);
    writing.set_writing(false);
    let admitted = table.open();

    assert!(refused.is_none());
    assert!(admitted.is_some());
    assert!(must_close(&writing));
    assert!(!must_close(&working));
}

/// Guards against a request whose body never comes and which counts as being served.
#[test]
fn a_connection_whose_request_is_incomplete_gives_way() {
    let table = ConnectionTable::new(1);
    let reading = table.open().unwrap();
    let _request = reading.request();

    let admitted = table.open();

    assert!(admitted.is_some());
    assert!(must_close(&reading));
}

/// Guards against clients that lose their connection between two requests.
#[test]
fn a_connection_gives_way_only_a_while_after_it_has_served() {
    let table = ConnectionTable::new(1);
    let served = table.open().unwrap();
    serve_one(&served);

    let at_once = table.open();
    thread::sleep(LONG_IDLE);
    let later = table.open();

    assert!(at_once.is_none());
    assert!(later.is_some());
    assert!(must_close(&served));
}

#[test]
fn a_closed_connection_frees_its_place() {
    let table = ConnectionTable::new(1);
    let first = table.open().unwrap();
    serve_one(&first);
    drop(first);

    let second = table.open();

    assert!(second.is_some());
}
