//! How many of what a deployment has, and the intent that goes with it.

use std::collections::BTreeMap;

use cicadabend::{
    fleet::{
        FleetConfig,
        ModelService,
        PlainService,
        RecoveryPolicy,
        RecoverySettings,
        RoutingArm,
        RoutingPolicy,
        Service,
        Team, //
    },
    prelude::*,
};

/// The API key of the only team.
pub const API_KEY: &str = "test-key";
/// SHA-256 of [`API_KEY`] in hexadecimal.
const API_KEY_SHA256: &str = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";
/// The token of the only operator.
pub const OPERATOR_TOKEN: &str = "test-operator-token";
/// The model service.
pub const MODEL_SERVICE: &str = "drafting-llm";
/// The plain service.
pub const PLAIN_SERVICE: &str = "field-api";

/// How many of what a deployment has.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The failure domains.
    pub domains: Vec<String>,
    /// How many failure domains have a control daemon.
    pub controls: usize,
    /// Entry daemons of each failure domain.
    pub entries_per_domain: usize,
    /// Engine VMs of each failure domain, all in one fabric domain.
    pub engines_per_domain: usize,
    /// VMs of one group.
    pub vms_per_group: u32,
    /// Groups wanted in each failure domain.
    pub groups_per_domain: u32,
    /// VMs with the plain service in each failure domain.
    pub plain_per_domain: usize,
    /// Whether engines refuse outdated tokens.
    pub engines_check_tokens: bool,
    /// How long an engine loads weights.
    pub weight_load_ms: u64,
    /// Time between two tokens.
    pub token_interval_us: u64,
    /// How incomplete groups are repaired.
    pub recovery: RecoveryPolicy,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            domains: ["cumbaya", "carcelen", "sangolqui"]
                .map(str::to_owned)
                .into(),
            controls: 3,
            entries_per_domain: 3,
            engines_per_domain: 3,
            vms_per_group: 2,
            groups_per_domain: 1,
            plain_per_domain: 1,
            engines_check_tokens: true,
            weight_load_ms: 100,
            token_interval_us: 2_000,
            recovery: RecoveryPolicy::AlwaysRebuild,
        }
    }
}

impl Shape {
    /// Returns a shape with one entry daemon in each failure domain.
    pub fn with_one_entry_per_domain() -> Self {
        Self {
            entries_per_domain: 1,
            ..Self::default()
        }
    }

    /// Returns the names of all entry daemons.
    pub fn entry_names(&self) -> Vec<String> {
        self.names("entry", self.entries_per_domain)
    }

    /// Returns the names of a failure domain's entry daemons.
    pub fn entries_of(&self, domain: &str) -> Vec<String> {
        let mut names = self.entry_names();
        names.retain(|name| self.domain_of(name) == domain);
        names
    }

    /// Returns the names of all control daemons.
    pub fn control_names(&self) -> Vec<String> {
        let mut names = self.names("control", 1);
        names.truncate(self.controls);
        names
    }

    /// Returns the names of all daemons.
    pub fn daemon_names(&self) -> Vec<String> {
        [self.control_names(), self.entry_names()].concat()
    }

    /// Returns the names of all engine VMs.
    pub fn engine_names(&self) -> Vec<String> {
        self.names("engine", self.engines_per_domain)
    }

    /// Returns the names of all VMs with the plain service.
    pub fn plain_names(&self) -> Vec<String> {
        self.names("plain", self.plain_per_domain)
    }

    /// Returns the names of all VMs.
    pub fn vm_names(&self) -> Vec<String> {
        [self.engine_names(), self.plain_names()].concat()
    }

    /// Returns how many groups are wanted in all.
    pub fn wanted_groups(&self) -> usize {
        self.domains.len() * self.groups_per_domain as usize
    }

    /// Returns whether the name is a control daemon's.
    pub fn is_control(&self, name: &str) -> bool {
        name.contains("-control-")
    }

    /// Returns the failure domain in a name.
    pub fn domain_of<'a>(&self, name: &'a str) -> &'a str {
        name.split('-').next().unwrap_or(name)
    }

    fn names(&self, kind: &str, count: usize) -> Vec<String> {
        let numbers = |domain: &String| {
            let domain = domain.clone();
            (1..=count).map(move |number| format!("{domain}-{kind}-{number}"))
        };
        self.domains.iter().flat_map(numbers).collect()
    }
}

/// Returns the configuration that the shape is made for.
pub fn intent(shape: &Shape) -> FleetConfig {
    let routing = vec![RoutingArm {
        policy: RoutingPolicy::LeastOutstanding,
        share_percent: Percent(100),
    }];
    let groups = shape
        .domains
        .iter()
        .map(|domain| (domain.parse().expect("a domain"), shape.groups_per_domain));
    let model = ModelService {
        model: "draft-7".parse().expect("a model"),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group: shape.vms_per_group,
        groups_by_failure_domain: groups.collect(),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: routing.clone(),
    };
    let plain = PlainService {
        routing,
        unsafe_methods_are_repeatable: false,
    };
    let team = Team {
        api_key_sha256: API_KEY_SHA256.to_owned(),
        weight: 1,
        requests_per_second: RatePerSecond(100_000),
        max_concurrent_requests: 10_000,
    };
    FleetConfig {
        services: [
            (
                MODEL_SERVICE.parse().expect("a service"),
                Service::Model(model),
            ),
            (
                PLAIN_SERVICE.parse().expect("a service"),
                Service::Plain(plain),
            ),
        ]
        .into(),
        teams: [("test-team".parse().expect("a team"), team)].into(),
        drained_vms: Default::default(),
        recovery: RecoverySettings {
            policy: shape.recovery,
            weight_load_ms: shape.weight_load_ms,
            expected_return_ms: 2_000,
            ..RecoverySettings::default()
        },
    }
}
