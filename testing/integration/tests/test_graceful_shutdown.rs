//! "Every planned stop is a graceful shutdown: it cuts off no request in progress" and
//! "An upstream that is leaving receives no new work after a few seconds".

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use cicadabend_testutils::{
    caller::{
        self,
        BackgroundLoad, //
    },
    client,
    deployment::{
        Deployment,
        STEP_LIMIT,
        Shape, //
    },
    wait::eventually, //
};

const TOKENS: u32 = 40;
const CALLERS: usize = 6;
/// "After a few seconds": the tests' settings make it shorter, the limit is the promise.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Waits until the load has seen this many whole answers more.
fn wait_for_progress(load: &BackgroundLoad, more: u32) {
    let target = load.account().whole + more;
    eventually("the load makes progress", STEP_LIMIT, || {
        (load.account().whole >= target).then_some(())
    });
}

/// Callers see no answer cut off. Each entry daemon in turn is asked to stop, finishes
/// its streams, ends with success and is started again. The balancer, played by the
/// test, sends new requests only to daemons whose readiness it last saw.
#[test]
fn a_rolling_restart_of_all_entry_daemons_cuts_off_no_request() {
    let mut deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let names = deployment.shape().entry_names();
    let addresses = names.iter().map(|name| deployment.entry_address(name));
    let in_rotation = Arc::new(Mutex::new(addresses.collect::<Vec<_>>()));
    let rotation = Arc::clone(&in_rotation);
    let load = BackgroundLoad::start(CALLERS, TOKENS, move |number| {
        let rotation = rotation.lock().unwrap();
        rotation[number % rotation.len()]
    });
    wait_for_progress(&load, 20);

    for name in &names {
        let address = deployment.entry_address(name);
        deployment.process(name).terminate();
        eventually("readiness is withdrawn", STEP_LIMIT, || {
            let path = cicadabend::caller_api::PATH_READY;
            let answer = client::send(address, http::Method::GET, path, &[], "");
            (!answer.is_ok_and(|answer| answer.status == 200)).then_some(())
        });
        in_rotation.lock().unwrap().retain(|kept| *kept != address);
        let status = deployment.process(name).wait_for_exit(STEP_LIMIT).unwrap();
        assert!(status.success(), "{status}");
        deployment.start_daemon(name);
        deployment.wait_until_ready(name);
        in_rotation.lock().unwrap().push(address);
        wait_for_progress(&load, 10);
    }

    let account = load.finish();
    assert_eq!(account.harmed, Vec::<String>::new());
}

/// Callers see no answer cut off. A member of a group announces that it leaves (SIGTERM);
/// streams that run on its group end whole, new ones go elsewhere within seconds, and
/// the process ends with success when its work is done.
#[test]
fn a_leaving_member_gets_no_new_work_and_its_streams_end_whole() {
    let mut deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let status = deployment.operator().status().expect("a leader");
    let first = status.domains[0].report.groups[0].assignment.members[0].clone();
    let addresses: Vec<_> = deployment
        .shape()
        .entry_names()
        .iter()
        .map(|name| deployment.entry_address(name))
        .collect();
    let load = BackgroundLoad::start(CALLERS, TOKENS, move |number| {
        addresses[number % addresses.len()]
    });
    wait_for_progress(&load, 20);

    let leaving = deployment.vm_address(first.as_str());
    deployment.process(first.as_str()).terminate();

    let ended = deployment.process(first.as_str()).wait_for_exit(STEP_LIMIT);
    assert!(ended.unwrap().success());
    assert!(caller::runs(leaving).is_empty(), "the VM still listens");
    wait_for_progress(&load, 20);
    let account = load.finish();
    assert_eq!(account.harmed, Vec::<String>::new());
}

/// The caller sees every receipt given. A VM of a plain service says that it leaves but
/// goes on listening; within three seconds no entry daemon sends it anything new.
#[test]
fn a_leaving_plain_service_gets_no_new_request_after_three_seconds() {
    let deployment = Deployment::start_serving(Shape::with_one_entry_per_domain());
    let leaving = deployment.vm_address("cumbaya-plain-1");
    let entries: Vec<_> = deployment
        .shape()
        .entry_names()
        .iter()
        .map(|name| deployment.entry_address(name))
        .collect();
    let receipt = |number: usize| {
        let entry = entries[number % entries.len()];
        let answer = caller::receipt(entry, &format!("receipt-{number}")).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    };
    eventually("the VM is in use", STEP_LIMIT, || {
        receipt(0);
        Some(())
    });

    let answer = client::send(leaving, http::Method::POST, "/fake/leave", &[], "");
    assert_eq!(answer.unwrap().status, 200);
    std::thread::sleep(LEAVING_LIMIT);

    let ran_before = caller::runs(leaving).len();
    for number in 1..30 {
        receipt(number);
    }
    assert_eq!(caller::runs(leaving).len(), ran_before);
}
