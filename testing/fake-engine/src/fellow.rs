//! Whether the other members of the group are alive.
//!
//! The first member asks each other member over HTTP, as a real replica notices
//! a lost rank through its collective operations. It learns their addresses from
//! the settings, from `POST /fake/peers`, and of VMs in its own process directly;
//! a member whose address it does not know counts as alive. It asks only while
//! something runs, so that fifty idle engines cost nothing.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    ids::Address,
    prelude::*,
    upstream_api::Membership, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    announce::HttpClient,
    run::RunState,
    settings::EngineSettings,
    vm::Vm, //
};

/// Where a VM tells others that it is alive.
pub const PATH_ALIVE: &str = "/fake/alive";

/// What a VM tells of itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Alive {
    /// Its name.
    pub vm: VmId,
    /// Its run.
    pub boot: BootId,
    /// The group it is in, if any.
    pub group: Option<GroupId>,
}

/// Returns what a VM tells of itself.
pub fn alive(vm: &Vm) -> Alive {
    Alive {
        vm: vm.settings.vm.clone(),
        boot: vm.boot,
        group: vm.membership().map(|membership| membership.group),
    }
}

/// Looks after the other members until the VM dies; breaks all runs when one is lost.
pub async fn watch_members(vm: Rc<Vm>, client: HttpClient) {
    let Some(settings) = vm.engine_settings() else {
        return;
    };
    let mut boots = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(settings.member_check_ms)).await;
        let Some(membership) = vm.membership() else {
            boots.clear();
            continue;
        };
        let is_first = membership.members.first() == Some(&vm.settings.vm);
        if !is_first || !vm.has_active_runs() {
            boots.clear();
            continue;
        }
        if !all_alive(&vm, &client, settings, &membership, &mut boots).await {
            vm.stop_runs(None, RunState::Broken);
        }
    }
}

async fn all_alive(
    vm: &Vm,
    client: &HttpClient,
    settings: &EngineSettings,
    membership: &Membership,
    boots: &mut BTreeMap<VmId, BootId>,
) -> bool {
    let timeout = Duration::from_millis(settings.member_timeout_ms);
    for member in membership.members.iter().skip(1) {
        let address = vm.peers.borrow().get(member).copied();
        let Some(address) = address else {
            continue;
        };
        let asked = tokio::time::timeout(timeout, ask(client, member, address));
        let Ok(Some(answer)) = asked.await else {
            return false;
        };
        // A member that started anew has lost its part of every running request.
        let boot = *boots.entry(member.clone()).or_insert(answer.boot);
        let elsewhere = answer.group.is_some_and(|g| g != membership.group);
        if boot != answer.boot || elsewhere {
            return false;
        }
    }
    true
}

async fn ask(client: &HttpClient, member: &VmId, address: Address) -> Option<Alive> {
    let request = http::Request::get(format!("http://{address}{PATH_ALIVE}"))
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let answer: Alive = serde_json::from_slice(&body).ok()?;
    (answer.vm == *member).then_some(answer)
}
