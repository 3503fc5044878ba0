//! Tests of route tables: validation, look-up of routes and teams, and replacement by version.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;

use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetState, //
    },
    prelude::*,
    routes::{
        KeyedTeam,
        Matched,
        Route,
        RouteDocument,
        RouteIndex,
        RouteKind,
        RouteTable,
        RouteTableError,
        RouteTarget,
        RouteVersion,
        RoutedService, //
    },
};
use rstest::rstest;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: None,
        priority: 1,
        targets: vec![RouteTarget {
            service: "portal".parse().unwrap(),
            weight: 1,
        }],
        most_attempts: 2,
        is_public: false,
    }
}

fn team(name: &str, key: &str) -> KeyedTeam {
    KeyedTeam {
        name: name.parse().unwrap(),
        keys: vec![key.to_owned()],
        priority: None,
    }
}

fn table() -> RouteTable {
    RouteTable {
        version: RouteVersion(3),
        routes: vec![
            route("a.test", "/x/"),
            route("a.test", "/x/y/"),
            route("b.test", "/x/"),
        ],
        services: [("portal".parse().unwrap(), RoutedService::default())].into(),
        teams: Some(vec![team("one", "k1"), team("two", "k2")]),
        ..RouteTable::default()
    }
}

#[rstest]
#[case("a.test", "/x/1", Some("a.test/x/"))]
#[case("A.Test:8080", "/x/y/1", Some("a.test/x/y/"))]
#[case("b.test", "/x/y/1", Some("b.test/x/"))]
#[case("a.test", "/xy", None)]
#[case("c.test", "/x/1", None)]
fn the_route_with_the_longest_prefix_of_the_host_is_used(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let index = RouteIndex::new(Arc::new(table()));

    let found = index.route(host, path).map(|route| route.name.as_str());

    assert_eq!(found, expected);
}

#[test]
fn a_key_selects_its_team() {
    let index = RouteIndex::new(Arc::new(table()));

    assert!(matches!(index.caller(Some("k2")), Matched::Team(team) if team.name.as_str() == "two"));
    assert_eq!(index.caller(Some("k3")), Matched::Nobody);
    assert_eq!(index.caller(None), Matched::Nobody);
}

#[test]
fn check_returns_the_rule_that_a_table_violates() {
    let mut unknown = table();
    unknown.routes[0].targets[0].service = "none".parse().unwrap();
    let mut duplicate_route = table();
    duplicate_route.routes.push(route("a.test", "/x/"));
    let mut no_weight = table();
    no_weight.routes[0].targets[0].weight = 0;
    let mut no_timeout = table();
    no_timeout.routes[0].timeout_ms = 0;
    let mut shared_key = table();
    shared_key.teams = Some(vec![team("one", "k"), team("two", "k")]);

    assert_eq!(table().check(), Ok(()));
    assert!(matches!(
        unknown.check(),
        Err(RouteTableError::UnknownService { .. })
    ));
    assert!(matches!(
        duplicate_route.check(),
        Err(RouteTableError::DuplicateRoute { .. })
    ));
    assert!(matches!(
        no_weight.check(),
        Err(RouteTableError::NoWeight { .. })
    ));
    assert!(matches!(
        no_timeout.check(),
        Err(RouteTableError::NoTimeout { .. })
    ));
    assert!(matches!(
        shared_key.check(),
        Err(RouteTableError::SharedKey { .. })
    ));
}

#[test]
fn target_splits_requests_by_weight() {
    let mut split = route("a.test", "/x/");
    split.targets = vec![
        RouteTarget {
            service: "old".parse().unwrap(),
            weight: 90,
        },
        RouteTarget {
            service: "new".parse().unwrap(),
            weight: 10,
        },
    ];

    let services = (0..100).filter_map(|random| RouteIndex::target(&split, random));

    let new: ServiceName = "new".parse().unwrap();
    assert_eq!(services.filter(|service| **service == new).count(), 10);
}

#[test]
fn the_highest_version_stays_in_force_whatever_arrives_later() {
    // Two operators send tables at once, and an older table arrives again. In whatever order they
    // arrive, the state must then hold the highest version, as its operator sent the table.
    let document = |version: u64, text: &str| RouteDocument {
        version: RouteVersion(version),
        text: text.as_bytes().to_vec(),
        table: table(),
    };
    let mut state = FleetState::default();
    let sent = [
        (7, "first"),
        (5, "older"),
        (7, "other content"),
        (6, "late"),
    ];

    for (version, text) in sent {
        let command = FleetCommand::ReplaceRoutes(Box::new(document(version, text)));
        let answer = state.apply(command);
        assert_eq!(
            answer,
            FleetAnswer::RoutesHeld {
                version: RouteVersion(7)
            }
        );
    }
    let restored = FleetState::from_bytes(&state.to_bytes().unwrap()).unwrap();

    assert_eq!(restored.routes().unwrap().text, b"first");
}
