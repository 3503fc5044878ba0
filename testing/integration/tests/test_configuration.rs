//! "An accepted configuration is in force everywhere within seconds and never reverts".

use std::time::Duration;

use cicadabend::{
    fleet::{
        FleetConfig,
        Service, //
    },
    prelude::*,
};
use cicadabend_testutils::{
    caller,
    deployment::{
        Deployment,
        MODEL_SERVICE,
        STEP_LIMIT,
        Shape,
        intent, //
    },
    wait::eventually, //
};

const TOKENS: u32 = 5;
const CHANGES: u32 = 300;

/// The shape's intent with a team's limit that tells the versions apart.
fn version(shape: &Shape, number: u32) -> FleetConfig {
    let mut config = intent(shape);
    for team in config.teams.values_mut() {
        team.max_concurrent_requests = 10_000 + number;
    }
    config
}

/// Returns the revision that an entry daemon serves a request by.
fn served_by(deployment: &Deployment, entry: &str) -> Option<Revision> {
    let answer = caller::stream(deployment.entry_address(entry), TOKENS).ok()?;
    caller::check_whole(&answer, TOKENS).ok()?;
    let header = answer
        .headers
        .get(cicadabend::caller_api::HEADER_REVISION)?;
    header.to_str().ok()?.parse().ok()
}

fn wait_until_served_by(deployment: &Deployment, entry: &str, wanted: Revision) {
    let what = format!("{entry} serves by revision {wanted}");
    eventually(&what, STEP_LIMIT, || {
        (served_by(deployment, entry)? == wanted).then_some(())
    });
}

/// Callers are served by the newest revision after everything was killed at once. 300
/// changes are accepted, then every daemon is killed and started again. The control
/// daemon must come back with revision 301, and no entry daemon, none of which has a
/// disk, may serve by an older one.
#[test]
fn after_300_changes_and_a_restart_of_everything_the_newest_revision_is_in_force() {
    let mut deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let mut newest = Revision(0);
    for number in 1..=CHANGES {
        let config = version(deployment.shape(), number);
        newest = deployment
            .operator()
            .accept(config, &format!("change-{number}"));
    }
    let names = deployment.shape().daemon_names();
    for name in &names {
        deployment.process(name).kill();
    }
    for name in &names {
        deployment.start_daemon(name);
    }

    let accepted = eventually("a control daemon leads again", STEP_LIMIT, || {
        deployment.operator().config()
    });

    assert_eq!(newest, Revision(1 + u64::from(CHANGES)));
    assert_eq!(accepted.revision, newest);
    assert_eq!(accepted.config, version(deployment.shape(), CHANGES));
    for entry in deployment.shape().entry_names() {
        let first = eventually("the entry daemon serves", STEP_LIMIT, || {
            served_by(&deployment, &entry)
        });
        assert_eq!(first, newest, "{entry} served by an old revision");
    }
}

/// Callers in a cut-off failure domain are still answered, by the revision it had. A
/// change accepted meanwhile reaches the others; when the partition heals, the cut-off
/// domain takes the newer revision and never the other way round.
#[test]
fn a_cut_off_domain_serves_by_its_revision_and_takes_the_newer_one_when_healed() {
    let mut deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let shape = deployment.shape().clone();
    wait_until_served_by(&deployment, "sangolqui-entry-1", Revision(1));
    deployment.cut_off_domain("sangolqui");

    let newer = deployment
        .operator()
        .accept(version(&shape, 1), "during-the-partition");
    wait_until_served_by(&deployment, "carcelen-entry-1", newer);
    // Longer than every lease in the tests' settings.
    std::thread::sleep(Duration::from_secs(2));
    let during = served_by(&deployment, "sangolqui-entry-1");
    deployment.heal_all();

    assert_eq!(during, Some(Revision(1)));
    wait_until_served_by(&deployment, "sangolqui-entry-1", newer);
    wait_until_served_by(&deployment, "carcelen-entry-1", newer);
}

/// A caller's service that the newest revision removes is gone on every entry daemon.
#[test]
fn a_service_that_is_removed_is_unknown_everywhere() {
    let deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let mut config = intent(deployment.shape());
    let name: ServiceName = MODEL_SERVICE.parse().unwrap();
    assert!(matches!(
        config.services.remove(&name),
        Some(Service::Model(_))
    ));

    deployment.operator().accept(config, "remove-the-service");

    for entry in deployment.shape().entry_names() {
        eventually("the service is unknown", STEP_LIMIT, || {
            let answer = caller::stream(deployment.entry_address(&entry), TOKENS).ok()?;
            (answer.status == 404).then_some(())
        });
    }
}
