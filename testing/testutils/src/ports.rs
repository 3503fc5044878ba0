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
    let ip = own_loopback_ip();
    Ok(SocketAddr::new(ip, reserve_port(&[ip])?))
}

/// Returns a port that is free at all of these loopback IPs and was handed out at none of them.
///
/// The system offers a port again that was released just before, one time in 4,000. A daemon
/// that was given one port for two listeners then ended as it started.
///
/// # Errors
///
/// Returns the operating system's error if no port can be bound.
pub fn reserve_port(ips: &[IpAddr]) -> io::Result<u16> {
    let Some((first, others)) = ips.split_first() else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    loop {
        let listener = TcpListener::bind((*first, 0))?;
        let port = listener.local_addr()?.port();
        let is_free = |ip: &IpAddr| TcpListener::bind((*ip, port)).is_ok();
        let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = ips.iter().map(|ip| SocketAddr::new(*ip, port));
        let is_new = addresses
            .clone()
            .all(|address| !reserved.contains(&address));
        if is_new && others.iter().all(is_free) {
            reserved.extend(addresses);
            return Ok(port);
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
