//! Runs the repair planner on a script of timed VM losses and returns.
//!
//! This is no cluster simulator: a VM is alive, late or lost, loads weights at the store's
//! shared rate, and a group serves once all members hold the weights.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cicadabend::{
    chart::UpstreamState,
    domain::{
        placement::PlacementVm,
        recovery::{
            RecoveryInput,
            RecoveryPlan,
            RepairKind,
            RepairPlanner, //
        },
    },
    fleet::{
        FleetConfig,
        ModelService,
        RecoverySettings,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};

/// The length of one step, in milliseconds.
pub const STEP_MS: u64 = 250;
const SUSPECT_AFTER_MS: u64 = 1_000;
const DEAD_AFTER_MS: u64 = 3_000;
const JOIN_MS: u64 = 2_000;
const ACCELERATORS_OF_A_VM: u32 = 8;
const WEIGHTS: &str = "drafting-llm@1";

/// A loss or return of VMs.
#[derive(Clone, Debug)]
pub enum Fault {
    /// One VM is lost.
    Lose(&'static str),
    /// The VM that the last repair added is lost.
    LoseReplacement,
    /// A lost VM is alive again.
    Return {
        vm: &'static str,
        keeps_weights: bool,
    },
    /// All VMs of a fabric domain are lost.
    LoseFabric(&'static str),
    /// All lost VMs of a fabric domain are alive again.
    ReturnFabric {
        fabric: &'static str,
        keeps_weights: bool,
    },
}

/// A fleet and the faults that happen to it, each with its time in milliseconds.
#[derive(Clone, Debug)]
pub struct Script {
    pub name: &'static str,
    pub fabrics: Vec<(&'static str, u32)>,
    pub groups: u32,
    pub vms_per_group: u32,
    pub spares: u32,
    pub concurrent_weight_loads: u32,
    pub faults: Vec<(u64, Fault)>,
    pub end_ms: u64,
}

/// The totals of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub group_downtime_s: f64,
    pub stranded_accelerator_s: f64,
    pub repairs: BTreeMap<RepairKind, u32>,
    /// The number of serving groups that the planner stopped or changed.
    pub serving_groups_touched: u32,
    /// When the table last changed, in milliseconds from the start.
    pub last_change_ms: u64,
    /// The largest number of VMs that loaded weights at the same time.
    pub most_loads: u32,
}

#[derive(Clone, Debug)]
struct Machine {
    fabric: FabricDomain,
    lost_at_ms: Option<u64>,
    holds_weights: bool,
    loaded_ms: f64,
}

struct Formed {
    assignment: Assignment,
    ready_ms: u64,
}

/// The state of a fleet while a script runs.
pub struct Run {
    pub config: FleetConfig,
    pub planner: RepairPlanner,
    pub now_ms: u64,
    /// The length of one step, in milliseconds; longer steps pass quiet times quickly.
    pub step_ms: u64,
    pub outcome: Outcome,
    machines: BTreeMap<VmId, Machine>,
    groups: BTreeMap<GroupId, Formed>,
    /// Groups whose members must not begin to load weights yet.
    deferred_loads: BTreeSet<GroupId>,
    spares_loading: BTreeSet<VmId>,
    last_replacement: Option<VmId>,
    last_token: u32,
    /// The number of VMs that no demanded group needs.
    surplus_vms: u32,
}

pub fn domain() -> FailureDomain {
    "cumbaya".parse().unwrap()
}

/// Returns a service of the script's model.
pub fn service(groups: u32, vms_per_group: u32, spares: u32) -> ModelService {
    ModelService {
        model: "drafting-llm".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group,
        groups_by_failure_domain: BTreeMap::from([(domain(), groups)]),
        spare_vms_by_failure_domain: BTreeMap::from([(domain(), spares)]),
        may_span_fabric_domains: false,
        routing: vec![RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(100),
        }],
    }
}

fn config_of(script: &Script, recovery: RecoverySettings) -> FleetConfig {
    let service = service(script.groups, script.vms_per_group, script.spares);
    FleetConfig {
        services: BTreeMap::from([("drafts".parse().unwrap(), Service::Model(service))]),
        recovery: RecoverySettings {
            concurrent_weight_loads: script.concurrent_weight_loads,
            ..recovery
        },
        ..FleetConfig::default()
    }
}

impl Run {
    /// Returns a fleet in which all demanded groups serve and the spares hold their weights.
    pub fn new(script: &Script, recovery: RecoverySettings) -> Self {
        let mut machines = BTreeMap::new();
        for (fabric, count) in &script.fabrics {
            for index in 0..*count {
                let machine = Machine {
                    fabric: fabric.parse().unwrap(),
                    lost_at_ms: None,
                    holds_weights: false,
                    loaded_ms: 0.0,
                };
                machines.insert(format!("{fabric}-{index}").parse().unwrap(), machine);
            }
        }
        let wanted = script.groups * script.vms_per_group;
        let mut run = Self {
            config: config_of(script, recovery),
            planner: RepairPlanner::new(),
            now_ms: 0,
            step_ms: STEP_MS,
            outcome: Outcome::default(),
            surplus_vms: u32::try_from(machines.len())
                .unwrap()
                .saturating_sub(wanted),
            machines,
            groups: BTreeMap::new(),
            deferred_loads: BTreeSet::new(),
            spares_loading: BTreeSet::new(),
            last_replacement: None,
            last_token: 0,
        };
        run.warm_up();
        run
    }

    /// Plans a hundred times, with every weight load completed at once.
    fn warm_up(&mut self) {
        for _ in 0..100 {
            self.plan();
            let started: BTreeSet<VmId> = self
                .groups
                .values()
                .flat_map(|group| group.assignment.members.clone())
                .chain(self.spares_loading.clone())
                .collect();
            for vm in started {
                self.machines.get_mut(&vm).unwrap().holds_weights = true;
            }
            for group in self.groups.values_mut() {
                group.ready_ms = JOIN_MS;
            }
        }
        self.outcome = Outcome::default();
        self.last_replacement = None;
    }

    /// Runs a whole script.
    pub fn run(mut self, script: &Script) -> Outcome {
        while self.now_ms < script.end_ms {
            let due = self.now_ms..self.now_ms + self.step_ms;
            for (_, fault) in script.faults.iter().filter(|(at, _)| due.contains(at)) {
                self.apply_fault(fault);
            }
            self.step();
        }
        self.outcome
    }

    /// Applies a fault to the fleet.
    pub fn apply_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Lose(vm) => self.lose_vm(&vm.parse().unwrap()),
            Fault::LoseReplacement => {
                if let Some(vm) = self.last_replacement.clone() {
                    self.lose_vm(&vm);
                }
            }
            Fault::Return { vm, keeps_weights } => {
                self.return_vm(&vm.parse().unwrap(), *keeps_weights);
            }
            Fault::LoseFabric(fabric) => {
                for vm in self.vms_of_fabric(fabric) {
                    self.lose_vm(&vm);
                }
            }
            Fault::ReturnFabric {
                fabric,
                keeps_weights,
            } => {
                for vm in self.vms_of_fabric(fabric) {
                    self.return_vm(&vm, *keeps_weights);
                }
            }
        }
    }

    pub fn lose_vm(&mut self, vm: &VmId) {
        let now_ms = self.now_ms;
        let machine = self.machines.get_mut(vm).unwrap();
        machine.lost_at_ms.get_or_insert(now_ms);
    }

    pub fn return_vm(&mut self, vm: &VmId, keeps_weights: bool) {
        let machine = self.machines.get_mut(vm).unwrap();
        if machine.lost_at_ms.take().is_some() && !keeps_weights {
            machine.holds_weights = false;
            machine.loaded_ms = 0.0;
        }
    }

    fn vms_of_fabric(&self, fabric: &str) -> Vec<VmId> {
        let machines = self.machines.iter();
        let same = machines.filter(|(_, machine)| machine.fabric.as_str() == fabric);
        same.map(|(vm, _)| vm.clone()).collect()
    }

    /// Plans, carries out the plan, and lets one step of time pass.
    pub fn step(&mut self) -> RecoveryPlan {
        let plan = self.plan();
        self.advance_loads();
        self.update_readiness();
        self.add_losses();
        self.now_ms += self.step_ms;
        plan
    }

    pub fn vms(&self) -> Vec<PlacementVm> {
        let machines = self.machines.iter();
        machines
            .map(|(vm, machine)| self.as_placement_vm(vm, machine))
            .collect()
    }

    fn as_placement_vm(&self, vm: &VmId, machine: &Machine) -> PlacementVm {
        let silent_ms = machine.lost_at_ms.map_or(0, |lost| self.now_ms - lost);
        let state = match silent_ms {
            0..SUSPECT_AFTER_MS => UpstreamState::Alive,
            SUSPECT_AFTER_MS..DEAD_AFTER_MS => UpstreamState::Suspect,
            _ => UpstreamState::Dead,
        };
        let weights = machine.holds_weights.then(|| WEIGHTS.to_owned());
        PlacementVm {
            vm: vm.clone(),
            fabric_domain: machine.fabric.clone(),
            accelerators: Accelerators(ACCELERATORS_OF_A_VM),
            state,
            weights: weights.into_iter().collect(),
        }
    }

    pub fn table(&self) -> Vec<Assignment> {
        let groups = self.groups.values();
        groups.map(|group| group.assignment.clone()).collect()
    }

    pub fn serving(&self) -> BTreeSet<GroupId> {
        let ready = self
            .groups
            .iter()
            .filter(|(_, group)| group.ready_ms >= JOIN_MS);
        ready.map(|(name, _)| name.clone()).collect()
    }

    fn plan(&mut self) -> RecoveryPlan {
        let plan = self.decide();
        let serving = self.serving();
        self.apply(&plan, &serving);
        plan
    }

    /// Returns the planner's decision without carrying it out.
    pub fn decide(&mut self) -> RecoveryPlan {
        let vms = self.vms();
        self.decide_for(&vms)
    }

    /// Returns the planner's decision for the VM states given.
    pub fn decide_for(&mut self, vms: &[PlacementVm]) -> RecoveryPlan {
        let table = self.table();
        let serving = self.serving();
        self.planner.plan(&RecoveryInput {
            config: &self.config,
            failure_domain: &domain(),
            vms,
            groups: &table,
            serving: &serving,
            now: Timestamp(self.now_ms),
        })
    }

    /// Carries out a plan at once.
    pub fn apply(&mut self, plan: &RecoveryPlan, serving: &BTreeSet<GroupId>) {
        if !plan.changes_nothing() {
            self.outcome.last_change_ms = self.now_ms;
        }
        for group in plan.retired() {
            let known = self.groups.remove(group);
            let known = known.expect("the planner retires only groups of the table");
            self.outcome.serving_groups_touched += u32::from(serving.contains(group));
            let repair = plan.repairs.iter().find(|repair| repair.group == *group);
            let members = repair
                .map(|repair| repair.members.clone())
                .unwrap_or_default();
            let new = members
                .into_iter()
                .find(|vm| !known.assignment.members.contains(vm));
            self.last_replacement = new.or(self.last_replacement.take());
        }
        for repair in &plan.repairs {
            *self.outcome.repairs.entry(repair.kind).or_default() += 1;
        }
        let formed = plan
            .formed()
            .map(|(service, vms)| (service.clone(), vms.to_vec()));
        for (service, members) in formed.collect::<Vec<_>>() {
            self.form_group(service, members);
        }
        self.deferred_loads = plan.deferred_loads.clone();
        let spares = plan.load_spares.iter();
        self.spares_loading = spares.map(|spare| spare.vm.clone()).collect();
    }

    fn form_group(&mut self, service: ServiceName, members: Vec<VmId>) {
        self.last_token += 1;
        let group: GroupId = format!("g{:04}", self.last_token).parse().unwrap();
        let assignment = Assignment {
            group: group.clone(),
            service,
            model: "drafting-llm".parse().unwrap(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            members,
            token: FencingToken {
                epoch: 1,
                sequence: self.last_token,
            },
            admits_requests: true,
        };
        let formed = Formed {
            assignment,
            ready_ms: 0,
        };
        self.groups.insert(group, formed);
    }

    /// Lets the VMs that load weights share the store's rate for one step.
    fn advance_loads(&mut self) {
        let groups = self
            .groups
            .iter()
            .filter(|(name, _)| !self.deferred_loads.contains(*name));
        let members = groups.flat_map(|(_, group)| &group.assignment.members);
        let ordered: BTreeSet<VmId> = members.chain(&self.spares_loading).cloned().collect();
        let settings = &self.config.recovery;
        let loading: Vec<VmId> = ordered
            .into_iter()
            .filter(|vm| {
                let machine = &self.machines[vm];
                machine.lost_at_ms.is_none() && !machine.holds_weights
            })
            .collect();
        let count = u32::try_from(loading.len()).unwrap();
        self.outcome.most_loads = self.outcome.most_loads.max(count);
        let full_rate = f64::from(settings.concurrent_weight_loads);
        let share = (full_rate / loading.len() as f64).min(1.0);
        let step_ms = self.step_ms as f64;
        for vm in loading {
            let machine = self.machines.get_mut(&vm).unwrap();
            machine.loaded_ms += step_ms * share;
            machine.holds_weights = machine.loaded_ms >= settings.weight_load_ms as f64;
        }
    }

    /// Lets groups become ready whose members all hold the weights, and others stop serving.
    fn update_readiness(&mut self) {
        let machines = &self.machines;
        let step_ms = self.step_ms;
        for group in self.groups.values_mut() {
            let ready = group.assignment.members.iter().all(|vm| {
                let machine = &machines[vm];
                machine.lost_at_ms.is_none() && machine.holds_weights
            });
            group.ready_ms = match ready {
                true => (group.ready_ms + step_ms).min(JOIN_MS),
                false => 0,
            };
        }
    }

    /// Adds one step's downtime of demanded groups, and the time of accelerators that could
    /// serve and don't.
    ///
    /// The number of accelerators that are idle in a healthy fleet is subtracted, whichever VMs
    /// they are in. Accelerators of a group that a policy dissolved count.
    fn add_losses(&mut self) {
        let serving = u32::try_from(self.serving().len()).unwrap();
        let service = self.config.services.values().next().unwrap();
        let Service::Model(model) = service else {
            return;
        };
        let wanted = model.groups_by_failure_domain[&domain()];
        let up = self.machines.values().filter(|m| m.lost_at_ms.is_none());
        let up = u32::try_from(up.count()).unwrap();
        let useful = up.saturating_sub(self.surplus_vms);
        let stranded = useful.saturating_sub(serving * model.vms_per_group);
        let step_s = self.step_ms as f64 / 1000.0;
        self.outcome.group_downtime_s += f64::from(wanted.saturating_sub(serving)) * step_s;
        self.outcome.stranded_accelerator_s += f64::from(stranded * ACCELERATORS_OF_A_VM) * step_s;
    }
}

/// Returns the scripts on which the policies are compared.
pub fn scripts() -> Vec<Script> {
    let usual = Script {
        name: "",
        fabrics: vec![("f1", 9), ("f2", 8)],
        groups: 4,
        vms_per_group: 4,
        spares: 1,
        concurrent_weight_loads: 4,
        faults: Vec::new(),
        end_ms: 600_000,
    };
    let roomy = Script {
        fabrics: vec![("f1", 8), ("f2", 8), ("f3", 8)],
        ..usual.clone()
    };
    let no_spare = Script {
        fabrics: vec![("f1", 10), ("f2", 10)],
        spares: 0,
        ..usual.clone()
    };
    let back = |vm, keeps_weights| Fault::Return { vm, keeps_weights };
    let dark = |keeps_weights| {
        vec![
            (10_000, Fault::LoseFabric("f1")),
            (
                190_000,
                Fault::ReturnFabric {
                    fabric: "f1",
                    keeps_weights,
                },
            ),
        ]
    };
    vec![
        Script {
            name: "paused 12 s, spare",
            faults: vec![(10_000, Fault::Lose("f1-0")), (22_000, back("f1-0", true))],
            ..usual.clone()
        },
        Script {
            name: "paused 12 s, no spare",
            faults: vec![(10_000, Fault::Lose("f2-0")), (22_000, back("f2-0", true))],
            ..usual.clone()
        },
        Script {
            name: "restarted in 30 s, spare",
            faults: vec![(10_000, Fault::Lose("f1-0")), (40_000, back("f1-0", false))],
            ..usual.clone()
        },
        Script {
            name: "one lost for good, spare",
            faults: vec![(10_000, Fault::Lose("f1-0"))],
            ..usual.clone()
        },
        Script {
            name: "one lost for good, no spare",
            faults: vec![(10_000, Fault::Lose("f2-0"))],
            ..usual.clone()
        },
        Script {
            name: "second loss during repair",
            faults: vec![
                (10_000, Fault::Lose("f1-0")),
                (14_000, Fault::LoseReplacement),
                (130_000, back("f1-0", false)),
            ],
            ..usual.clone()
        },
        Script {
            name: "two groups lose one each, no spare",
            faults: vec![
                (10_000, Fault::Lose("f2-0")),
                (20_000, Fault::Lose("f2-4")),
                (400_000, back("f2-0", false)),
            ],
            ..usual.clone()
        },
        Script {
            name: "fabric domain dark 180 s, no room",
            faults: dark(false),
            ..usual.clone()
        },
        Script {
            name: "fabric domain dark 180 s, room",
            faults: dark(false),
            ..roomy.clone()
        },
        Script {
            name: "fabric domain paused 20 s, room",
            faults: vec![
                (10_000, Fault::LoseFabric("f1")),
                (
                    30_000,
                    Fault::ReturnFabric {
                        fabric: "f1",
                        keeps_weights: true,
                    },
                ),
            ],
            ..roomy.clone()
        },
        Script {
            name: "paused 12 s, free VM without weights",
            faults: vec![(10_000, Fault::Lose("f1-0")), (22_000, back("f1-0", true))],
            ..no_spare.clone()
        },
        Script {
            name: "one lost for good, free VM without weights",
            faults: vec![(10_000, Fault::Lose("f1-0"))],
            ..no_spare.clone()
        },
        Script {
            name: "second loss during repair, another free VM",
            faults: vec![
                (10_000, Fault::Lose("f1-0")),
                (30_000, Fault::LoseReplacement),
            ],
            ..no_spare.clone()
        },
        Script {
            name: "four groups lose one each, the store feeds one",
            faults: ["f1-0", "f1-4", "f2-0", "f2-4"]
                .into_iter()
                .map(|vm| (10_000, Fault::Lose(vm)))
                .collect(),
            concurrent_weight_loads: 1,
            ..no_spare
        },
        Script {
            name: "fabric domain lost one VM a second, room",
            faults: [
                "f1-0", "f1-1", "f1-2", "f1-3", "f1-4", "f1-5", "f1-6", "f1-7",
            ]
            .into_iter()
            .zip(10..)
            .map(|(vm, second)| (second * 1_000, Fault::Lose(vm)))
            .collect(),
            ..roomy.clone()
        },
        Script {
            name: "one VM flaps, spare",
            faults: (0..10)
                .flat_map(|round| {
                    let at = 10_000 + round * 40_000;
                    [(at, Fault::Lose("f1-0")), (at + 8_000, back("f1-0", true))]
                })
                .collect(),
            ..usual
        },
    ]
}

/// Returns the settings of a deployment for which group downtime costs most.
pub fn auditorias(policy: cicadabend::fleet::RecoveryPolicy) -> RecoverySettings {
    RecoverySettings {
        policy,
        group_downtime_weight: 100,
        stranded_accelerator_weight: 1,
        ..RecoverySettings::default()
    }
}

/// Returns the settings of a deployment for which stranded accelerators cost much.
pub fn lanterna(policy: cicadabend::fleet::RecoveryPolicy) -> RecoverySettings {
    RecoverySettings {
        policy,
        group_downtime_weight: 10,
        stranded_accelerator_weight: 10,
        ..RecoverySettings::default()
    }
}
