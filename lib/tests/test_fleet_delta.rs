//! Deltas between configurations.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::BTreeMap;

use cicadabend::{
    fleet::{
        FleetConfig,
        PlainService,
        RoutingArm,
        RoutingPolicy,
        Service,
        Team,
        delta::{
            ConfigDelta,
            DeltaError, //
        }, //
    },
    prelude::*,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

fn team(weight: u32) -> Team {
    Team {
        api_key_sha256: "0".repeat(64),
        weight,
        requests_per_second: RatePerSecond(100),
        max_concurrent_requests: 10,
    }
}

fn service(share: u8) -> Service {
    Service::Plain(PlainService {
        routing: vec![RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(share),
        }],
        unsafe_methods_are_repeatable: false,
    })
}

fn config() -> impl Strategy<Value = FleetConfig> {
    let teams = prop::collection::btree_map(0..6_u8, 1..4_u32, 0..6);
    let services = prop::collection::btree_map(0..4_u8, 1..4_u8, 0..4);
    let drained = prop::collection::btree_set(0..6_u8, 0..6);
    (teams, services, drained, 1..3_u32).prop_map(|(teams, services, drained, weight)| {
        let mut config = FleetConfig::default();
        for (name, weight) in teams {
            let name = format!("team-{name}").parse().unwrap();
            config.teams.insert(name, team(weight));
        }
        for (name, share) in services {
            let name = format!("service-{name}").parse().unwrap();
            config.services.insert(name, service(share));
        }
        let vms = drained.iter().map(|vm| format!("vm-{vm}").parse().unwrap());
        config.drained_vms = vms.collect();
        config.recovery.group_downtime_weight = weight;
        config
    })
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn a_delta_leads_from_any_configuration_to_any_other(before in config(), after in config()) {
        let bytes = ConfigDelta::between(&before, &after).unwrap().to_bytes().unwrap();

        let result = ConfigDelta::from_bytes(&bytes).unwrap().apply(&before).unwrap();

        prop_assert_eq!(result, after);
    }
}

/// Two daemons have different configurations under one revision, which should never happen. The
/// next delta is refused, so that the daemon asks for the whole configuration; otherwise the two
/// would differ for ever.
#[test]
fn a_delta_for_another_configuration_is_refused() {
    let before = FleetConfig::default();
    let after = FleetConfig {
        teams: BTreeMap::from([("a".parse().unwrap(), team(1))]),
        ..FleetConfig::default()
    };
    let other = FleetConfig {
        teams: BTreeMap::from([("b".parse().unwrap(), team(1))]),
        ..FleetConfig::default()
    };
    let delta = ConfigDelta::between(&before, &after).unwrap();

    let refused = delta.apply(&other);

    assert!(matches!(refused, Err(DeltaError::OtherBase)));
}

#[test]
fn bytes_that_are_no_delta_are_refused() {
    assert!(matches!(
        ConfigDelta::from_bytes(&[1, 2, 3]),
        Err(DeltaError::Decode(_))
    ));
}
