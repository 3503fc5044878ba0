//! The faults that other tests rely on really happen.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
    thread,
    time::Duration,
};

use cicadabend_testutils::{
    fault_proxy::{
        Direction,
        Fault,
        FaultProxy, //
    },
    wait::eventually, //
};

const LIMIT: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(300);

/// Starts a server that sends back every byte.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
}

fn exchange(stream: &mut TcpStream, text: &str) -> io::Result<String> {
    stream.write_all(text.as_bytes())?;
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[test]
fn bytes_pass_without_a_fault() {
    let proxy = FaultProxy::start(echo_server()).unwrap();
    let mut stream = connect(proxy.address());

    let answer = exchange(&mut stream, "hello").unwrap();

    assert_eq!(answer, "hello");
}

#[test]
fn a_cut_ends_open_connections_and_refuses_new_ones_until_healed() {
    let mut proxy = FaultProxy::start(echo_server()).unwrap();
    let mut stream = connect(proxy.address());
    exchange(&mut stream, "before").unwrap();

    proxy.cut();

    assert!(exchange(&mut stream, "during").is_err());
    assert!(TcpStream::connect(proxy.address()).is_err());
    proxy.heal().unwrap();
    let answer = exchange(&mut connect(proxy.address()), "after").unwrap();
    assert_eq!(answer, "after");
}

#[test]
fn a_stall_of_the_answers_holds_them_back() {
    let mut proxy = FaultProxy::start(echo_server()).unwrap();
    let mut stream = connect(proxy.address());
    exchange(&mut stream, "before").unwrap();
    proxy.inject(Fault::Stall, Direction::FromTarget);
    stream.set_read_timeout(Some(SILENCE)).unwrap();

    let answer = exchange(&mut stream, "during");

    let kind = answer.unwrap_err().kind();
    assert!(matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    ));
}

/// Starts a server that says on a channel what it received and answers nothing.
fn listening_server() -> (SocketAddr, mpsc::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut part = [0; 16];
            while let Ok(length @ 1..) = stream.read(&mut part) {
                let _ = sender.send(part[..length].to_vec());
            }
        }
    });
    (address, receiver)
}

#[test]
fn a_stall_of_the_answers_lets_the_request_of_a_new_connection_through() {
    let (server, received) = listening_server();
    let mut proxy = FaultProxy::start(server).unwrap();
    proxy.inject(Fault::Stall, Direction::FromTarget);
    let mut stream = connect(proxy.address());

    stream.write_all(b"request").unwrap();

    assert_eq!(received.recv_timeout(LIMIT).unwrap(), b"request");
}

#[test]
fn a_connection_ends_after_the_given_number_of_bytes() {
    let mut proxy = FaultProxy::start(echo_server()).unwrap();
    proxy.inject(Fault::CutAfter { bytes: 4 }, Direction::FromTarget);
    let mut stream = connect(proxy.address());
    stream.write_all(b"0123456789").unwrap();
    let mut received = Vec::new();

    let ended = eventually("the connection ends", LIMIT, || {
        let mut part = [0; 16];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => Some(true),
            Ok(length) => {
                received.extend_from_slice(&part[..length]);
                None
            }
        }
    });

    assert!(ended);
    assert_eq!(received, b"0123");
}
