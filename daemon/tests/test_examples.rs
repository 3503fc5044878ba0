//! The example settings of both deployments are valid and fit together.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use cicadabend::{
    fleet::{
        FleetConfig,
        Service, //
    },
    ids::Address,
    prelude::*,
};
use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    PeerAddress,
    Settings,
    load, //
};
use rstest::rstest;

struct Example {
    entries: Vec<EntrySettings>,
    controls: Vec<ControlSettings>,
    intent: FleetConfig,
}

fn folder(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../examples").join(name)
}

fn loaded<S: Settings>(path: &Path) -> S {
    match load(path.to_str().unwrap()) {
        Ok(settings) => settings,
        Err(error) => panic!("{}: {error}", path.display()),
    }
}

fn example(name: &str) -> Example {
    let files = fs::read_dir(folder(name)).unwrap();
    let mut paths: Vec<PathBuf> = files.map(|file| file.unwrap().path()).collect();
    paths.sort();
    let starting_with = |start: &str| {
        let named = |path: &&PathBuf| {
            let name = path.file_name().unwrap().to_str().unwrap();
            name.starts_with(start)
        };
        paths.iter().filter(named).collect::<Vec<_>>()
    };
    Example {
        entries: starting_with("entry-")
            .into_iter()
            .map(|path| loaded(path))
            .collect(),
        controls: starting_with("control-")
            .into_iter()
            .map(|path| loaded(path))
            .collect(),
        intent: loaded(&folder(name).join("intent.json")),
    }
}

impl Example {
    fn daemons(&self) -> BTreeMap<&DaemonId, (Address, &FailureDomain, &[PeerAddress])> {
        let entries = self.entries.iter();
        let entries =
            entries.map(|e| (&e.daemon, (e.peer_listen, &e.failure_domain, &e.peers[..])));
        let controls = self.controls.iter();
        let controls =
            controls.map(|c| (&c.daemon, (c.peer_listen, &c.failure_domain, &c.peers[..])));
        entries.chain(controls).collect()
    }

    fn listeners(&self) -> Vec<Address> {
        let entries = self.entries.iter().flat_map(|e| {
            let listeners = [e.callers.listen, e.upstreams.listen.unwrap(), e.peer_listen];
            listeners.into_iter().chain(e.metrics.listen)
        });
        let controls = self.controls.iter().flat_map(|c| {
            let listeners = [c.operators.listen, c.peer_listen];
            listeners.into_iter().chain(c.metrics.listen)
        });
        entries.chain(controls).collect()
    }
}

#[rstest]
#[case("auditorias")]
#[case("lanterna")]
fn daemons_know_each_other_as_they_listen(#[case] name: &str) {
    let example = example(name);

    let daemons = example.daemons();

    assert_eq!((example.entries.len(), example.controls.len()), (9, 3));
    for (daemon, (_, _, peers)) in &daemons {
        assert_eq!(peers.len(), daemons.len(), "{daemon}");
        for peer in *peers {
            let (listen, failure_domain, _) = daemons[&peer.daemon];
            assert_eq!(peer.address, listen, "{daemon} on {}", peer.daemon);
            assert_eq!(&peer.failure_domain, failure_domain);
        }
    }
}

#[rstest]
#[case("auditorias")]
#[case("lanterna")]
fn no_two_listeners_share_an_address(#[case] name: &str) {
    let listeners = example(name).listeners();

    let different: BTreeSet<&Address> = listeners.iter().collect();

    assert_eq!(different.len(), listeners.len());
}

#[rstest]
#[case("auditorias", 17)]
#[case("lanterna", 16)]
fn the_intent_fits_17_vms_in_each_failure_domain(#[case] name: &str, #[case] wanted_vms: u32) {
    let intent = example(name).intent;

    let models = intent
        .services
        .values()
        .filter_map(|service| match service {
            Service::Model(model) => Some(model),
            Service::Plain(_) => None,
        });

    assert_eq!(intent.teams.len(), 10);
    for model in models {
        assert_eq!(model.groups_by_failure_domain.len(), 3);
        for (domain, groups) in &model.groups_by_failure_domain {
            let spares = model.spare_vms_by_failure_domain.get(domain);
            let spares = spares.copied().unwrap_or_default();
            assert_eq!(
                groups * model.vms_per_group + spares,
                wanted_vms,
                "{domain}"
            );
        }
    }
}

#[test]
fn both_deployments_could_run_on_one_machine() {
    let auditorias: BTreeSet<Address> = example("auditorias").listeners().into_iter().collect();
    let lanterna: BTreeSet<Address> = example("lanterna").listeners().into_iter().collect();

    assert!(auditorias.is_disjoint(&lanterna));
}
