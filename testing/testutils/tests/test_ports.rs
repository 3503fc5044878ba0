//! Reserved addresses are never handed out twice.

use std::collections::BTreeSet;

use cicadabend_testutils::ports::{
    loopback_ip_of,
    reserve_address,
    reserve_port, //
};

/// The system offers a released port again. Once, two of 24 fake VMs of a
/// demonstration got the same address and one of them could not start.
#[test]
fn no_address_is_reserved_twice() {
    const COUNT: usize = 4_000;

    let addresses: BTreeSet<_> = (0..COUNT).map(|_| reserve_address().unwrap()).collect();

    assert_eq!(addresses.len(), COUNT);
}

#[test]
fn no_port_is_reserved_twice_at_one_ip() {
    // A daemon got one port for its peers and for its callers, and ended as it started; its test
    // waited 30 s for it to be ready. Drawn by the system alone that is one time in 4,000.
    const COUNT: usize = 4_000;
    let ips = [[127, 0, 1, 1], [127, 0, 1, 2]].map(|ip| ip.into());

    let ports: BTreeSet<_> = (0..COUNT).map(|_| reserve_port(&ips).unwrap()).collect();

    assert_eq!(ports.len(), COUNT);
}

#[test]
fn no_two_processes_share_a_loopback_ip() {
    // Two test processes whose ids ended in 0 and 2 had one IP. A port that one had reserved
    // and released was taken by the other, and a daemon ended with "address already in use";
    // its test then waited 40 s for a majority.
    let ids = (0..=0x20_0000_u32).step_by(0x101).chain(0x1600..0x1800);

    let ips: Vec<_> = ids.map(|id| (id, loopback_ip_of(id))).collect();

    let distinct: std::collections::BTreeMap<_, _> =
        ips.iter().map(|(id, ip)| (*ip, *id)).collect();
    for (id, ip) in ips {
        assert_eq!(distinct.get(&ip), Some(&id), "{ip}");
        assert_ne!(ip.octets()[..3], [127, 0, 0]);
    }
}
