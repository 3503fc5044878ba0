//! Reserved addresses are never handed out twice.

use std::collections::BTreeSet;

use cicadabend_testutils::ports::reserve_address;

/// The system offers a released port again. Once, two of 24 fake VMs of a
/// demonstration got the same address and one of them could not start.
#[test]
fn no_address_is_reserved_twice() {
    const COUNT: usize = 4_000;

    let addresses: BTreeSet<_> = (0..COUNT).map(|_| reserve_address().unwrap()).collect();

    assert_eq!(addresses.len(), COUNT);
}
