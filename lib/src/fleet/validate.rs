//! Validation of a configuration: all its problems at once, by JSON path.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
};

use super::{
    FleetConfig,
    ModelService,
    PlainService,
    RecoverySettings,
    RoutingArm,
    Service,
    Team,
    diff::member_path, //
};
use crate::prelude::*;

/// Highest number of VMs that one service may require in one failure domain.
pub const VMS_PER_DOMAIN_LIMIT: u64 = 65_536;

const SHA256_HEX_DIGITS: usize = 64;
const WHOLE_PERCENT: u32 = 100;

/// One problem of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigProblem {
    /// The JSON path of the invalid value.
    pub path: String,
    /// The problem, and the values that are allowed.
    pub problem: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Returns all problems of `config`, in the order of its sections.
///
/// `known_domains` are the failure domains of this deployment; a name outside them is a typing
/// error, because no group could ever be built there. If it is empty, names are not checked.
pub fn config_problems(
    config: &FleetConfig,
    known_domains: &BTreeSet<FailureDomain>,
) -> Vec<ConfigProblem> {
    let mut checker = Checker {
        known_domains,
        problems: Vec::new(),
    };
    for (name, service) in &config.services {
        let path = member_path("$.services", name.as_str());
        match service {
            Service::Model(model) => checker.model(&format!("{path}.model"), model),
            Service::Plain(plain) => checker.plain(&format!("{path}.plain"), name, plain),
        }
    }
    checker.teams(&config.teams);
    checker.recovery(&config.recovery);
    checker.problems
}

struct Checker<'a> {
    known_domains: &'a BTreeSet<FailureDomain>,
    problems: Vec<ConfigProblem>,
}

impl Checker<'_> {
    fn add_problem(&mut self, path: String, problem: impl Into<String>) {
        let problem = problem.into();
        self.problems.push(ConfigProblem { path, problem });
    }

    fn model(&mut self, path: &str, model: &ModelService) {
        if model.version.is_empty() {
            self.add_problem(format!("{path}.version"), "is empty");
        }
        if model.vms_per_group == 0 {
            let problem = "is 0; a group needs at least one VM";
            self.add_problem(format!("{path}.vms_per_group"), problem);
        }
        self.adapters(path, &model.adapters);
        let groups = &model.groups_by_failure_domain;
        self.counts(
            path,
            "groups_by_failure_domain",
            groups,
            model.vms_per_group,
        );
        let spares = &model.spare_vms_by_failure_domain;
        self.counts(path, "spare_vms_by_failure_domain", spares, 1);
        self.routing(path, &model.routing);
    }

    fn adapters(&mut self, path: &str, adapters: &[String]) {
        for (index, adapter) in adapters.iter().enumerate() {
            let path = format!("{path}.adapters[{index}]");
            if adapter.is_empty() {
                self.add_problem(path, "is empty");
            } else if adapters[..index].contains(adapter) {
                self.add_problem(path, format!("repeats {adapter:?}"));
            }
        }
    }

    fn counts(
        &mut self,
        path: &str,
        field: &str,
        counts: &BTreeMap<FailureDomain, u32>,
        vms_each: u32,
    ) {
        for (domain, count) in counts {
            let path = member_path(&format!("{path}.{field}"), domain.as_str());
            if !self.known_domains.is_empty() && !self.known_domains.contains(domain) {
                let known: Vec<&str> = self.known_domains.iter().map(|d| d.as_str()).collect();
                let problem = format!("is no failure domain; known are {}", known.join(", "));
                self.add_problem(path.clone(), problem);
            }
            let vms = u64::from(*count) * u64::from(vms_each);
            if vms > VMS_PER_DOMAIN_LIMIT {
                let problem =
                    format!("needs {vms} VMs; at most {VMS_PER_DOMAIN_LIMIT} are allowed");
                self.add_problem(path, problem);
            }
        }
    }

    fn plain(&mut self, path: &str, name: &ServiceName, plain: &PlainService) {
        if name.as_str().contains('/') {
            let problem = "holds '/', at which the service's name ends in a request's path";
            self.add_problem(path.to_owned(), problem);
        }
        self.routing(path, &plain.routing);
    }

    fn routing(&mut self, path: &str, arms: &[RoutingArm]) {
        let path = format!("{path}.routing");
        let sum: u32 = arms.iter().map(|arm| u32::from(arm.share_percent.0)).sum();
        if sum != WHOLE_PERCENT {
            self.add_problem(
                path.clone(),
                format!("shares sum to {sum} %; they must sum to 100 %"),
            );
        }
        for (index, arm) in arms.iter().enumerate() {
            if arms[..index].iter().any(|other| other.policy == arm.policy) {
                let problem = "repeats a policy, whose figures could not be told apart";
                self.add_problem(format!("{path}[{index}].policy"), problem);
            }
        }
    }

    fn teams(&mut self, teams: &BTreeMap<TeamName, Team>) {
        let mut owners: BTreeMap<String, &TeamName> = BTreeMap::new();
        for (name, team) in teams {
            let path = member_path("$.teams", name.as_str());
            self.api_key(&format!("{path}.api_key_sha256"), name, team, &mut owners);
            if team.weight == 0 {
                let problem = "is 0; a team without weight would never be served under load";
                self.add_problem(format!("{path}.weight"), problem);
            }
        }
    }

    fn api_key<'t>(
        &mut self,
        path: &str,
        name: &'t TeamName,
        team: &Team,
        owners: &mut BTreeMap<String, &'t TeamName>,
    ) {
        let hash = &team.api_key_sha256;
        let is_hash =
            hash.len() == SHA256_HEX_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash {
            let problem = "is no SHA-256; 64 hexadecimal digits are needed";
            self.add_problem(path.to_owned(), problem);
            return;
        }
        // Entry daemons compare hashes without regard to case, so this check does too.
        if let Some(owner) = owners.insert(hash.to_ascii_lowercase(), name) {
            let problem = format!("is also the key of {owner}; a request could not be told apart");
            self.add_problem(path.to_owned(), problem);
        }
    }

    fn recovery(&mut self, recovery: &RecoverySettings) {
        if recovery.concurrent_weight_loads == 0 {
            let problem = "is 0; no group could ever be built";
            self.add_problem("$.recovery.concurrent_weight_loads".to_owned(), problem);
        }
        if recovery.group_downtime_weight == 0 && recovery.stranded_accelerator_weight == 0 {
            let problem = "all weights are 0, so every repair would cost the same";
            self.add_problem("$.recovery".to_owned(), problem);
        }
    }
}
