//! A small cluster of real processes in a temporary folder.

mod files;
mod shape;

use std::{
    collections::BTreeMap,
    fs,
    io,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use cicadabend::{operator_api::FleetStatus, prelude::*};
use tempfile::TempDir;

use crate::{
    fault_proxy::FaultProxy,
    operator::Operator,
    ports::reserve_address,
    process::ManagedProcess,
    wait::eventually, //
};

pub use shape::{
    API_KEY,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    PLAIN_SERVICE,
    Shape,
    intent, //
};

/// How long the whole deployment may take for one step, on a busy machine.
pub const STEP_LIMIT: Duration = Duration::from_secs(40);

/// Where one daemon really listens, behind the proxies.
#[derive(Clone, Copy, Debug)]
struct DaemonAddresses {
    peers: SocketAddr,
    http: SocketAddr,
    upstreams: SocketAddr,
    metrics: SocketAddr,
}

/// A running cluster; everything ends when it is dropped.
pub struct Deployment {
    shape: Shape,
    folder: TempDir,
    addresses: BTreeMap<String, DaemonAddresses>,
    vm_addresses: BTreeMap<String, SocketAddr>,
    peer_links: BTreeMap<(String, String), FaultProxy>,
    announce_links: BTreeMap<String, FaultProxy>,
    vm_links: BTreeMap<String, FaultProxy>,
    processes: BTreeMap<String, ManagedProcess>,
}

impl Deployment {
    /// Starts every process of the shape; does not wait for them to be ready.
    ///
    /// # Panics
    ///
    /// Panics if a binary is not built or a port cannot be had.
    pub fn start(shape: Shape) -> Self {
        let mut deployment = Self {
            folder: tempfile::Builder::new()
                .prefix("cicadabend-")
                .tempdir()
                .unwrap(),
            addresses: BTreeMap::new(),
            vm_addresses: BTreeMap::new(),
            peer_links: BTreeMap::new(),
            announce_links: BTreeMap::new(),
            vm_links: BTreeMap::new(),
            processes: BTreeMap::new(),
            shape,
        };
        deployment.lay_out().unwrap();
        deployment.write_files().unwrap();
        for name in deployment.shape.daemon_names() {
            deployment.start_daemon(&name);
        }
        for vm in deployment.shape.vm_names() {
            deployment.start_vm(&vm);
        }
        deployment
    }

    /// Starts the shape, puts its intent in force and waits until every group serves.
    ///
    /// # Panics
    ///
    /// Panics with the processes' logs if that does not happen within [`STEP_LIMIT`].
    pub fn start_serving(shape: Shape) -> Self {
        let deployment = Self::start(shape);
        deployment.put_intent_in_force();
        for entry in deployment.shape.entry_names() {
            deployment.wait_until_ready(&entry);
        }
        deployment.wait_until_groups_serve(deployment.shape.wanted_groups());
        deployment
    }

    /// Applies and confirms the shape's intent.
    ///
    /// # Panics
    ///
    /// Panics if the plan is not accepted.
    pub fn put_intent_in_force(&self) -> Revision {
        self.operator().accept(intent(&self.shape), "first-intent")
    }

    /// Returns the shape that was started.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns an operator that asks any control daemon.
    pub fn operator(&self) -> Operator {
        let addresses = self.shape.control_names().into_iter();
        Operator::new(
            addresses.map(|name| self.addresses[&name].http).collect(),
            OPERATOR_TOKEN,
        )
    }

    /// Returns an operator that asks this control daemon only.
    pub fn operator_at(&self, control: &str) -> Operator {
        Operator::new(vec![self.addresses[control].http], OPERATOR_TOKEN)
    }

    /// Returns the operators' listeners of all control daemons, joined by commas.
    pub fn operator_addresses(&self) -> String {
        let names = self.shape.control_names().into_iter();
        let addresses: Vec<_> = names
            .map(|name| self.addresses[&name].http.to_string())
            .collect();
        addresses.join(",")
    }

    /// Returns where callers reach an entry daemon.
    pub fn entry_address(&self, entry: &str) -> SocketAddr {
        self.addresses[entry].http
    }

    /// Returns where a daemon answers its metrics.
    pub fn metrics_address(&self, daemon: &str) -> SocketAddr {
        self.addresses[daemon].metrics
    }

    /// Returns where a VM really listens, past its proxy.
    pub fn vm_address(&self, vm: &str) -> SocketAddr {
        self.vm_addresses[vm]
    }

    /// Returns a running process.
    ///
    /// # Panics
    ///
    /// Panics if no process of this name was started.
    pub fn process(&mut self, name: &str) -> &mut ManagedProcess {
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Returns the proxy in the path of peer messages from one daemon to another.
    ///
    /// # Panics
    ///
    /// Panics if there is no such pair.
    pub fn peer_link(&mut self, from: &str, to: &str) -> &mut FaultProxy {
        let pair = (from.to_owned(), to.to_owned());
        self.peer_links
            .get_mut(&pair)
            .unwrap_or_else(|| panic!("no link {pair:?}"))
    }

    /// Returns the proxy in the path from upstreams to an entry daemon.
    pub fn announce_link(&mut self, entry: &str) -> &mut FaultProxy {
        self.announce_links.get_mut(entry).expect("an entry daemon")
    }

    /// Returns the proxy in the path from daemons to a VM.
    pub fn vm_link(&mut self, vm: &str) -> &mut FaultProxy {
        self.vm_links.get_mut(vm).expect("a VM")
    }

    /// Cuts every path between a failure domain and the others: peers and VMs.
    ///
    /// The path from a cut-off domain's own daemons to its own VMs stays, which the
    /// proxies of VMs cannot tell apart; so only peer messages are cut.
    pub fn cut_off_domain(&mut self, domain: &str) {
        for ((from, to), link) in &mut self.peer_links {
            if self.shape.domain_of(from) != self.shape.domain_of(to)
                && (self.shape.domain_of(from) == domain || self.shape.domain_of(to) == domain)
            {
                link.cut();
            }
        }
    }

    /// Removes every fault of every proxy.
    ///
    /// # Panics
    ///
    /// Panics if a proxy cannot listen again.
    pub fn heal_all(&mut self) {
        let links = self.peer_links.values_mut();
        let links = links.chain(self.announce_links.values_mut());
        for link in links.chain(self.vm_links.values_mut()) {
            link.heal().expect("the proxy listens again");
        }
    }

    /// Starts a daemon of the shape, for the first time or again.
    ///
    /// # Panics
    ///
    /// Panics if its binary is not built.
    pub fn start_daemon(&mut self, name: &str) {
        let binary = match self.shape.is_control(name) {
            true => "cicadabend-control",
            false => "cicadabend-entry",
        };
        self.start_process(name, binary);
    }

    /// Starts the process of a VM, for the first time or again.
    ///
    /// # Panics
    ///
    /// Panics if its binary is not built.
    pub fn start_vm(&mut self, vm: &str) {
        self.start_process(vm, "fake-engine");
    }

    fn start_process(&mut self, name: &str, binary: &str) {
        let settings = self.folder().join(format!("{name}.json"));
        let arguments = ["--config", settings.to_str().expect("a text path")];
        let process = ManagedProcess::start(name, binary, &arguments, self.folder()).unwrap();
        self.processes.insert(name.to_owned(), process);
    }

    /// Waits until an entry daemon tells the balancer that it is ready.
    ///
    /// # Panics
    ///
    /// Panics with the daemon's log at the deadline.
    pub fn wait_until_ready(&self, entry: &str) {
        let address = self.entry_address(entry);
        eventually(&format!("{entry} is ready"), STEP_LIMIT, || {
            let path = cicadabend::caller_api::PATH_READY;
            let answer = crate::client::send(address, http::Method::GET, path, &[], "").ok()?;
            answer.status.is_success().then_some(())
        });
    }

    /// Waits until the control leader reports this many serving groups.
    ///
    /// # Panics
    ///
    /// Panics with the last status at the deadline.
    pub fn wait_until_groups_serve(&self, wanted: usize) -> FleetStatus {
        let mut last = None;
        let what = format!("{wanted} groups serve");
        eventually(&what, STEP_LIMIT, || {
            let status = self.operator().status()?;
            let serving = serving_groups(&status);
            last = Some(status.clone());
            (serving == wanted).then_some(status)
        })
    }

    /// Ends every process that the test did not kill gracefully, and checks that each exits with success.
    ///
    /// # Panics
    ///
    /// Panics with the log of the first that does not.
    pub fn stop_gracefully(mut self) {
        self.processes.retain(|_, process| !process.was_killed());
        for process in self.processes.values() {
            process.terminate();
        }
        for process in self.processes.values_mut() {
            let status = process.wait_for_exit(STEP_LIMIT).unwrap();
            assert!(status.success(), "{status}: {}", process.log_tail());
        }
    }

    fn lay_out(&mut self) -> io::Result<()> {
        for name in self.shape.daemon_names() {
            let addresses = DaemonAddresses {
                peers: reserve_address()?,
                http: reserve_address()?,
                upstreams: reserve_address()?,
                metrics: reserve_address()?,
            };
            self.addresses.insert(name, addresses);
        }
        for vm in self.shape.vm_names() {
            let address = reserve_address()?;
            self.vm_addresses.insert(vm.clone(), address);
            self.vm_links.insert(vm, FaultProxy::start(address)?);
        }
        for entry in self.shape.entry_names() {
            let link = FaultProxy::start(self.addresses[&entry].upstreams)?;
            self.announce_links.insert(entry, link);
        }
        self.link_peers()
    }

    fn link_peers(&mut self) -> io::Result<()> {
        let names = self.shape.daemon_names();
        for from in &names {
            for to in names.iter().filter(|to| *to != from) {
                let link = FaultProxy::start(self.addresses[to].peers)?;
                self.peer_links.insert((from.clone(), to.clone()), link);
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for process in self.processes.values() {
            eprintln!("--- log of {}\n{}", process.name(), process.log_tail());
        }
        // The folder is kept where a failure is looked into.
        if std::env::var_os("CICADABEND_KEEP_FOLDER").is_some() {
            let kept = fs::canonicalize(self.folder.path()).unwrap_or_default();
            self.folder.disable_cleanup(true);
            eprintln!("--- kept in {}", kept.display());
        }
    }
}

/// Returns how many groups of a status serve.
pub fn serving_groups(status: &FleetStatus) -> usize {
    let groups = status
        .domains
        .iter()
        .flat_map(|domain| &domain.report.groups);
    groups.filter(|group| group.state == "serving").count()
}
