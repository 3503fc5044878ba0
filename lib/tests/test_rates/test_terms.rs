//! Permits of leaders whose term ends and comes back.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cicadabend::{
    prelude::*,
    rates::{
        IssuerView,
        PermitClient,
        PermitIssuer,
        RateTable, //
    },
};

#[test]
fn daemons_take_the_updates_of_a_leader_that_regains_its_term() {
    // Guards against permits that are ignored for minutes after a leader's lease came back.
    let (control, entry): (DaemonId, DaemonId) =
        ("control-1".parse().unwrap(), "entry-1".parse().unwrap());
    let mut client = PermitClient::new(entry.clone());
    let mut is_taken = |issuer: &mut PermitIssuer, at: Timestamp| {
        let (_, request) = client.permit_request(Vec::new(), Vec::new(), at);
        issuer.handle_permit_request(&entry, &request, at);
        let view = IssuerView {
            rates: &RateTable::default(),
            pools: &BTreeMap::new(),
            mixed: &BTreeSet::new(),
            live_entries: 1,
            known_entries: 1,
            now: at,
        };
        let (_, update) = issuer.tick(view).remove(0);
        client
            .handle_permit_update(&control, update, at)
            .shares
            .is_some()
    };
    let mut before = PermitIssuer::new(3, Timestamp(1_000));
    let mut after = PermitIssuer::new(3, Timestamp(9_000));

    let taken_before = (1..=20).all(|step| is_taken(&mut before, Timestamp(1_000 + step * 400)));
    let is_taken_after = is_taken(&mut after, Timestamp(9_400));

    assert!(taken_before);
    assert!(is_taken_after);
}
