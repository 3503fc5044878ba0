//! The retries that the leader grants.

use cicadabend::{
    prelude::*,
    retry_budget::{
        GrantAnswer,
        GrantClient,
        GrantDemand,
        GrantIssuer,
        GrantRequest,
        GrantStore,
        GrantUpdate,
        RoutedRetryReason, //
    },
};

use crate::world::{
    SETTINGS,
    service, //
};

const BROKEN: RoutedRetryReason = RoutedRetryReason::Broken;

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn request(sent_ms: u64, reason: RoutedRetryReason, waiting: u32) -> GrantRequest {
    GrantRequest {
        sent_ms,
        slack: SETTINGS.slack,
        window_ms: 10_000,
        demands: vec![GrantDemand {
            service: service(),
            reason,
            waiting,
        }],
    }
}

/// Returns how many retries the leader grants to a request at a time.
fn granted(issuer: &mut GrantIssuer, reason: RoutedRetryReason, waiting: u32, at_ms: u64) -> u32 {
    let request = request(at_ms, reason, waiting);
    let update = issuer.handle_request(&daemon("entry-1"), &request, 9, Timestamp(at_ms));
    update.answers[0].granted
}

#[test]
fn a_new_leader_grants_nothing_until_its_predecessors_grants_have_left_the_window() {
    // Guards against a leader that forgets what the one before it has granted.
    let mut issuer = GrantIssuer::new(2, true, Timestamp(0));

    let early = granted(&mut issuer, BROKEN, 1, 12_000);
    let later = granted(&mut issuer, BROKEN, 1, 14_000);

    assert_eq!((early, later), (0, 1));
}

#[test]
fn the_first_leader_of_a_cluster_grants_at_once() {
    let mut issuer = GrantIssuer::new(1, false, Timestamp(0));

    assert_eq!(granted(&mut issuer, BROKEN, 3, 10), 3);
}

#[test]
fn one_daemon_in_need_may_get_all_that_is_granted() {
    let mut issuer = GrantIssuer::new(1, false, Timestamp(0));

    let late = granted(&mut issuer, RoutedRetryReason::Late, 1_000, 100);
    let broken = granted(&mut issuer, BROKEN, 1_000, 100);
    let none = granted(&mut issuer, BROKEN, 1, 11_400);
    let again = granted(&mut issuer, BROKEN, 1, 11_700);

    assert!(late > 0 && late < broken);
    assert!(late + broken >= 70, "{late} and {broken}");
    assert_eq!((none, again), (0, 1));
}

#[test]
fn a_slack_that_is_used_up_is_reported_with_those_who_used_it() {
    let mut issuer = GrantIssuer::new(1, false, Timestamp(0));
    granted(&mut issuer, BROKEN, 40, 100);
    let other = request(200, BROKEN, 1_000);
    issuer.handle_request(&daemon("entry-2"), &other, 9, Timestamp(200));

    let reports = issuer.take_reports();

    let most_granted = &reports[0].most_granted;
    assert_eq!(most_granted[0], (daemon("entry-1"), 40));
    assert_eq!(reports[0].granted, reports[0].limit);
}

#[test]
fn a_duplicate_or_outdated_answer_grants_nothing() {
    // Guards against a grant that counts twice when its message does.
    let mut client = GrantClient::new(SETTINGS);
    let update = |term, number| GrantUpdate {
        term,
        number,
        echo_ms: 10,
        ..GrantUpdate::default()
    };
    let mut is_taken = |term, number| {
        let from = daemon("control-1");
        client
            .handle_update(&from, &update(term, number), Timestamp(20))
            .is_some()
    };

    assert!(is_taken(2, 5));
    assert!(!is_taken(2, 5));
    assert!(!is_taken(2, 4));
    assert!(!is_taken(1, 9));
    assert!(is_taken(3, 1));
}

#[test]
fn a_grant_expires_a_fixed_time_after_its_request_was_sent() {
    let mut client = GrantClient::new(SETTINGS);
    let mut store = GrantStore::default();
    let update = GrantUpdate {
        term: 1,
        number: 1,
        echo_ms: 100,
        daemons: Some(9),
        answers: vec![GrantAnswer {
            service: service(),
            reason: BROKEN,
            granted: 2,
            denied: 0,
        }],
    };
    let from = daemon("control-1");

    let expires_at = client
        .handle_update(&from, &update, Timestamp(400))
        .unwrap();
    store.handle_update(update, expires_at, Timestamp(400));

    assert!(store.consume(&service(), Timestamp(550)).is_some());
    assert!(store.consume(&service(), Timestamp(600)).is_none());
}

#[test]
fn no_request_waits_while_the_leader_does_not_answer() {
    // Guards against broken requests that are all held back while control is out of reach.
    let mut client = GrantClient::new(SETTINGS);
    let controls = vec![daemon("control-1")];
    client.request(Vec::new(), controls.clone(), Timestamp(1_000));

    let is_in_reach = client.is_leader_in_reach(Timestamp(1_300));

    assert!(!is_in_reach);
    assert!(!client.is_request_due(true, Timestamp(1_400)));
    assert!(client.is_request_due(false, Timestamp(2_000)));
}

#[test]
fn requests_that_granted_retries_will_serve_are_not_asked_for_again() {
    let mut store = GrantStore::default();
    let answers = vec![GrantAnswer {
        service: service(),
        reason: BROKEN,
        granted: 2,
        denied: 0,
    }];
    let update = GrantUpdate {
        answers,
        ..GrantUpdate::default()
    };
    (0..3).for_each(|_| store.begin_wait(&service(), BROKEN));
    store.handle_update(update, Timestamp(1_000), Timestamp(10));

    let demands = store.demands(Timestamp(20));

    assert_eq!(demands[0].waiting, 1);
}
