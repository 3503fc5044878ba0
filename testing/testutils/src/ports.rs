//! Addresses that nothing else on the machine uses.

use std::{
    collections::BTreeSet,
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    process,
    sync::{
        Mutex,
        PoisonError, //
    },
};

/// Addresses handed out already; the system offers a released port again before long.
static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Returns an address with a port from the operating system, on a loopback IP of this process.
///
/// The port is released again before it is returned. Outgoing connections on
/// loopback have the source 127.0.0.1, so they cannot take a port of another
/// loopback IP, and each test process has its own IP; otherwise a daemon would
/// now and then find its port taken when it restarts.
///
/// # Errors
///
/// Returns the operating system's error if no port can be bound.
pub fn reserve_address() -> io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind((own_loopback_ip(), 0))?;
        let address = listener.local_addr()?;
        let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
        if reserved.insert(address) {
            return Ok(address);
        }
    }
}

fn own_loopback_ip() -> IpAddr {
    IpAddr::V4(loopback_ip_of(process::id()))
}

/// Returns the loopback IP of the process with this id; no two processes share one.
pub fn loopback_ip_of(process_id: u32) -> Ipv4Addr {
    // The first byte of the id is always zero on Linux (ids end at 4,194,304); the offset
    // keeps clear of 127.0.0.1. Every last byte is a host's on loopback, 0 and 255 too.
    let [_, high, middle, low] = process_id.to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(64), middle, low)
}
