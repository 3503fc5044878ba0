//! Messages between processes while connections are made, lost, closed and mute.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    collections::BTreeSet,
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::TcpListener,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use cicadabend::{
    ids::Address,
    peer_api::PeerMessage,
    prelude::*, //
};
use cicadabend_daemon::{
    peers::{
        Incoming,
        PeerIdentity,
        Peers, //
    },
    ring::{
        self,
        Receiver, //
    },
};

/// How long a condition may take; only a broken program takes so long.
const LIMIT: Duration = Duration::from_secs(20);

struct Process {
    peers: Peers,
    inbox: Receiver<Incoming>,
    address: Address,
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        cluster: "tests".parse().unwrap(),
        daemon: name.parse().unwrap(),
        boot: BootId::default(),
    }
}

/// Returns an address on which nothing listens.
fn unused_address() -> Address {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn process_at(name: &str, address: Address) -> Process {
    let (sender, inbox) = ring::bounded("test-inbox", 1_024);
    let peers = Peers::start(address, identity(name), &[], sender).unwrap();
    Process {
        peers,
        inbox,
        address,
    }
}

fn process(name: &str) -> Process {
    process_at(name, unused_address())
}

/// Returns a process that knows a peer of this name and address.
fn sender_to(name: &str, address: Address) -> Process {
    let sender = process("sender");
    sender.peers.sender().know(&daemon(name), address);
    sender
}

/// A message that needs nothing else; which one it is does not matter here.
fn message() -> PeerMessage {
    PeerMessage::Heard(BTreeSet::new())
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

/// Sends until something arrives, as every protocol above repeats itself.
fn send_until_heard(from: &Process, to: &DaemonId, inbox: &mut Receiver<Incoming>) -> Incoming {
    let began = Instant::now();
    while began.elapsed() < LIMIT {
        from.peers.sender().send(to, message());
        thread::sleep(Duration::from_millis(20));
        if let Some(incoming) = inbox.try_next() {
            return incoming;
        }
    }
    panic!("nothing was heard within {LIMIT:?}");
}

#[test]
fn a_message_arrives_with_its_sender() {
    let mut receiver = process("receiver");
    let sender = sender_to("receiver", receiver.address);

    let heard = send_until_heard(&sender, &daemon("receiver"), &mut receiver.inbox);

    assert_eq!(heard.from, daemon("sender"));
}

/// The peer's process ends and starts again at its address. What is sent meanwhile may be
/// lost; what is sent afterwards arrives over a new connection, without anybody's help.
#[test]
fn a_peer_that_starts_again_is_reached_again() {
    let mut receiver = process("receiver");
    let at = receiver.address;
    let sender = sender_to("receiver", receiver.address);
    send_until_heard(&sender, &daemon("receiver"), &mut receiver.inbox);
    drop(receiver);

    let mut receiver = process_at("receiver", at);
    let heard = send_until_heard(&sender, &daemon("receiver"), &mut receiver.inbox);

    assert_eq!(heard.from, daemon("sender"));
}

/// A connection goes silent without being closed: the peer's system takes in bytes, nobody
/// reads them. Without a limit of its own the sender would write into it for ever. It must
/// be given up for a new one.
#[test]
fn a_connection_that_goes_mute_is_made_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mute = listener.local_addr().unwrap();
    let sender = sender_to("mute", mute);
    let (first, _) = listener.accept().unwrap();

    listener.set_nonblocking(true).unwrap();
    let began = Instant::now();
    let second = loop {
        assert!(began.elapsed() < LIMIT, "no second connection");
        sender.peers.sender().send(&daemon("mute"), message());
        thread::sleep(Duration::from_millis(20));
        if let Ok((second, _)) = listener.accept() {
            break second;
        }
    };

    drop((first, second));
}

/// Guards against an end of the daemon by a thread that sends while a connection closes: the
/// processes of several peers die again and again, each time with messages on the way.
#[test]
fn sending_while_connections_close_ends_no_process() {
    // A library that had this fault was found out by 4,000 connections, and not by 40.
    const PEERS: usize = 20;
    const CONNECTIONS_EACH: u64 = 200;

    let peers: Vec<_> = (0..PEERS)
        .map(|_| thread::spawn(|| send_while_connections_close(CONNECTIONS_EACH)))
        .collect();
    let connections = peers.into_iter().map(|peer| peer.join().unwrap());

    for connections in connections {
        assert!(connections >= CONNECTIONS_EACH, "{connections} connections");
    }
}

/// Sends by several threads to a peer that ends each connection; returns how many were made.
fn send_while_connections_close(count: u64) -> u64 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dying = listener.local_addr().unwrap();
    let sender = sender_to("dying", dying);
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..4)
        .map(|_| {
            let (sender, is_over) = (sender.peers.sender(), Arc::clone(&is_over));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    sender.send(&daemon("dying"), message());
                    // Tests of other processes run beside this one.
                    thread::yield_now();
                }
            })
        })
        .collect();

    for _ in 0..count {
        let (mut connection, _) = listener.accept().unwrap();
        let mut some = [0; 256];
        let _ = connection.read(&mut some);
    }
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().unwrap();
    }

    let sender = sender.peers.sender();
    sender.counters().connected.load(Ordering::Relaxed)
}

/// Somebody connects and sends bytes that are no messages, or the beginning of a huge one.
/// The connection is closed; others go on.
#[test]
fn bytes_that_are_no_messages_are_dropped_with_their_connection() {
    let mut receiver = process("receiver");
    let sender = sender_to("receiver", receiver.address);
    let at = receiver.address;
    let mut stranger = std::net::TcpStream::connect(at).unwrap();
    stranger.set_read_timeout(Some(LIMIT)).unwrap();

    stranger.write_all(&[0xff; 64]).unwrap();

    let closed = stranger.read_to_end(&mut Vec::new());
    let is_timeout = closed.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    assert!(!is_timeout, "the connection is still open");
    send_until_heard(&sender, &daemon("receiver"), &mut receiver.inbox);
}
