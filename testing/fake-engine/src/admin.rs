//! What tests ask of a VM, under `/fake/`.
//!
//! - `GET /fake/runs`: the account.
//! - `GET /fake/alive`: name, run and group.
//! - `GET /fake/state`: membership, weights and load.
//! - `GET`/`POST /fake/faults`: the faults in force.
//! - `POST /fake/peers`: addresses of other VMs, as `{"VM": "ADDRESS"}`.
//! - `POST /fake/announce-to`: the entry daemons to announce to, as `["ADDRESS"]`.
//! - `POST /fake/leave`: announces leaving without ending the process.
//! - `POST /fake/die`: the VM closes everything at once and never returns.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use serde_json::json;

use crate::{
    fault::Faults,
    fellow,
    run::RunState,
    serve::{
        self,
        Answer,
        Body, //
    },
    vm::Vm,
};

/// What all paths of this module start with.
pub const PREFIX: &str = "/fake/";

/// Answers a request of a test.
///
/// # Errors
///
/// Returns an error if the VM died of the request.
pub async fn answer(vm: &Rc<Vm>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let response = match (method, path.as_str()) {
        (Method::GET, "/fake/runs") => ok(&vm.runs.borrow().report()),
        (Method::GET, fellow::PATH_ALIVE) => ok(&fellow::alive(vm)),
        (Method::GET, "/fake/state") => state(vm),
        (Method::GET, "/fake/faults") => ok(&*vm.faults.borrow()),
        (Method::POST, "/fake/faults") => match serve::read_json::<Faults>(request).await {
            Some(faults) => {
                vm.faults.replace(faults);
                done(vm)
            }
            None => malformed(),
        },
        (Method::POST, "/fake/peers") => match serve::read_json(request).await {
            Some(peers) => {
                let mut peers: BTreeMap<VmId, Address> = peers;
                vm.peers.borrow_mut().append(&mut peers);
                done(vm)
            }
            None => malformed(),
        },
        (Method::POST, "/fake/announce-to") => match serve::read_json(request).await {
            Some(targets) => {
                vm.announce_to.replace(targets);
                done(vm)
            }
            None => malformed(),
        },
        (Method::POST, "/fake/leave") => {
            vm.leaving.set(true);
            done(vm)
        }
        (Method::POST, "/fake/die") => {
            vm.stop_runs(None, RunState::Broken);
            vm.die();
            return Err(serve::NoAnswer::Broken);
        }
        _ => serve::refusal(StatusCode::NOT_FOUND, "there is nothing here"),
    };
    Ok(response)
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    serve::json(StatusCode::OK, value)
}

fn done(vm: &Vm) -> Response<Body> {
    vm.news.notify_one();
    ok(&json!({ "done": true }))
}

fn malformed() -> Response<Body> {
    serve::refusal(StatusCode::BAD_REQUEST, "the body is malformed")
}

fn state(vm: &Vm) -> Response<Body> {
    ok(&json!({
        "vm": vm.settings.vm,
        "boot": vm.boot,
        "engine": *vm.engine.borrow(),
        "leaving": vm.leaving.get(),
        "running": vm.batch.running(),
        "queued": vm.batch.queued(),
    }))
}
