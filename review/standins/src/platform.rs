//! The platform: renders the templates of the deploy file, starts the project's programs, keeps
//! them running and under their memory limit, and sends configurations as an operator.

use std::{
    fs,
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record, words};

/// The pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// The addresses of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: &'static str,
    /// Where it takes clients (a front machine) or the operator and the engines (a core machine).
    pub service: SocketAddr,
    pub ready: SocketAddr,
    pub is_core: bool,
    /// The limit that the platform sets, in MB of 1,048,576 bytes.
    pub memory_mb: u64,
}

struct Running {
    machine: Machine,
    child: Option<Child>,
    /// Whether the case has stopped it for good.
    is_over: bool,
    /// How often it was killed for its memory, or ended by itself.
    ends: u32,
    peak_kb: u64,
    is_first_start: bool,
}

pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub fronts: Vec<Machine>,
    pub cores: Vec<Machine>,
    peer_port: u16,
    running: Mutex<Vec<Running>>,
    is_over: AtomicBool,
    record: Arc<Record>,
}

fn free_port(ips: &[IpAddr], count: u16) -> u16 {
    'next: loop {
        let probe = TcpListener::bind((ips[0], 0)).expect("a loopback address can be bound");
        let port = probe
            .local_addr()
            .expect("a bound socket has an address")
            .port();
        drop(probe);
        if port > 60_000 {
            continue;
        }
        for ip in ips {
            for offset in 0..count {
                if TcpListener::bind((*ip, port + offset)).is_err() {
                    continue 'next;
                }
            }
        }
        return port;
    }
}

impl Platform {
    /// Plans a deployment of some front and core machines, on loopback addresses of their own.
    pub fn plan(root: &Path, folder: &Path, fronts: u8, cores: u8, record: Arc<Record>) -> Self {
        let id = std::process::id();
        let net = |last: u8| -> IpAddr {
            let (second, third) = (64 + id % 120, (id / 120) % 250 + 1);
            format!("127.{second}.{third}.{last}")
                .parse()
                .expect("an address")
        };
        let front_ips: Vec<IpAddr> = (0..fronts).map(|n| net(10 + n)).collect();
        let core_ips: Vec<IpAddr> = (0..cores).map(|n| net(100 + n)).collect();
        let all: Vec<IpAddr> = front_ips.iter().chain(&core_ips).copied().collect();
        let peer_port = free_port(&all, 2);
        let control_port = free_port(&core_ips, 1);
        let front_port = free_port(&front_ips, 1);
        let ready_port = free_port(&front_ips, 1);
        let machine = |ip: &IpAddr, number: usize, is_core: bool| Machine {
            name: format!("{}-{}", if is_core { "core" } else { "front" }, number + 1),
            ip: *ip,
            zone: "zg-lucko",
            service: SocketAddr::new(*ip, if is_core { control_port } else { front_port }),
            ready: SocketAddr::new(*ip, ready_port),
            is_core,
            memory_mb: if is_core { 256 } else { 260 },
        };
        let fronts = front_ips.iter().enumerate();
        let cores = core_ips.iter().enumerate();
        Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            fronts: fronts
                .map(|(number, ip)| machine(ip, number, false))
                .collect(),
            cores: cores
                .map(|(number, ip)| machine(ip, number, true))
                .collect(),
            peer_port,
            running: Mutex::default(),
            is_over: AtomicBool::new(false),
            record,
        }
    }

    /// Starts all machines and the watch over them.
    pub fn start(self: &Arc<Self>) {
        let machines = self.cores.iter().chain(&self.fronts);
        let mut running: Vec<Running> = machines
            .map(|machine| Running {
                machine: machine.clone(),
                child: None,
                is_over: false,
                ends: 0,
                peak_kb: 0,
                is_first_start: true,
            })
            .collect();
        for one in &mut running {
            one.child = Some(self.spawn(&one.machine, true));
            one.is_first_start = false;
        }
        *self.running.lock().unwrap() = running;
        let platform = Arc::clone(self);
        thread::spawn(move || platform.watch());
    }

    /// Renders the template of a role as DEPLOY.md says, for the fields that it uses.
    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let name = if machine.is_core {
            "control.json"
        } else {
            "entry.json"
        };
        let template = self.root.join("deploy/templates").join(name);
        let mut text = fs::read_to_string(template).expect("the template can be read");
        let seeds: Vec<String> = self
            .cores
            .iter()
            .map(|core| format!("\"{}\"", core.service))
            .collect();
        let data = self.folder.join(format!("data-{}", machine.name));
        let values = [
            ("{{ip|json}}", format!("\"{}\"", machine.ip)),
            ("{{zone|json}}", format!("\"{}\"", machine.zone)),
            ("{{dataDir|json}}", format!("\"{}\"", data.display())),
            (
                "{{listen.control|json}}",
                format!("\"{}\"", machine.service),
            ),
            ("{{listen.front|json}}", format!("\"{}\"", machine.service)),
            (
                "{{listen.readyAddress|json}}",
                format!("\"{}\"", machine.ready),
            ),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{bootstrap|json}}", bootstrap.to_string()),
            ("{{ip}}", machine.ip.to_string()),
            ("{{@ports@.0}}", self.peer_port.to_string()),
            ("{{@ports@.1}}", (self.peer_port + 1).to_string()),
            ("{{limits.memoryMb}}", machine.memory_mb.to_string()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBudgetSlack}}", "136".to_owned()),
            ("{{bounds.budgetWindowS}}", "10".to_owned()),
        ];
        for (placeholder, value) in values {
            text = text.replace(&words::put(placeholder), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        text
    }

    fn spawn(&self, machine: &Machine, bootstrap: bool) -> Child {
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, self.settings(machine, bootstrap)).expect("settings can be written");
        let program = if machine.is_core {
            "platform-control"
        } else {
            "platform-entry"
        };
        if machine.is_core {
            let data = self.folder.join(format!("data-{}", machine.name));
            fs::create_dir_all(data).expect("a data folder can be made");
        }
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        // The command of deploy/system.toml, with the path of this process's settings.
        let child = Command::new(self.root.join("target/release").join(program))
            .arg("--config")
            .arg(&path)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file has run");
        // `run-case.sh` ends what this process could not end itself.
        let pids = self.folder.join("pids");
        let pids = fs::File::options().create(true).append(true).open(pids);
        let _ = writeln!(pids.expect("a file of pids"), "{}", child.id());
        child
    }

    /// Kills a process whose memory is over its machine's limit, and starts ended ones again.
    fn watch(&self) {
        let mut due: Vec<Option<Instant>> = vec![None; self.fronts.len() + self.cores.len()];
        while !self.is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let mut running = self.running.lock().unwrap();
            for (one, due) in running.iter_mut().zip(&mut due) {
                if one.is_over {
                    continue;
                }
                if let Some(child) = &mut one.child {
                    let kb = resident_kb(child.id());
                    one.peak_kb = one.peak_kb.max(kb);
                    let is_over_limit = kb > one.machine.memory_mb * 1024;
                    if is_over_limit {
                        let _ = child.kill();
                    }
                    if is_over_limit || !matches!(child.try_wait(), Ok(None)) {
                        let _ = child.wait();
                        one.child = None;
                        one.ends += 1;
                        *due = Some(Instant::now() + RESTART_PAUSE);
                        let why = if is_over_limit {
                            "memory over the limit"
                        } else {
                            "it ended"
                        };
                        self.note(one.ends, &format!(
                            "platform: {} ends by itself: {why} ({kb} kB resident, limit {} kB)",
                            one.machine.name,
                            one.machine.memory_mb * 1024
                        ));
                    }
                } else if due.is_some_and(|due| Instant::now() >= due) {
                    *due = None;
                    one.child = Some(self.spawn(&one.machine, false));
                    self.record
                        .say(&format!("platform: {} starts again", one.machine.name));
                }
            }
        }
    }

    /// Writes a line to the record, and the first ones of a machine also to the standard output.
    fn note(&self, ends: u32, text: &str) {
        match ends <= 2 {
            true => self.record.say(text),
            false => self.record.line(text),
        }
    }

    /// Kills the processes of all core machines at the same moment; they are back after `down`.
    pub fn kill_all_cores(&self, down: Duration) {
        let mut running = self.running.lock().unwrap();
        for one in running.iter_mut().filter(|one| one.machine.is_core) {
            if let Some(child) = &mut one.child {
                let _ = child.kill();
            }
        }
        for one in running.iter_mut().filter(|one| one.machine.is_core) {
            if let Some(mut child) = one.child.take() {
                let _ = child.wait();
            }
        }
        self.record
            .say("the processes of all core machines are killed");
        thread::sleep(down);
        for one in running.iter_mut().filter(|one| one.machine.is_core) {
            one.child = Some(self.spawn(&one.machine, false));
        }
        self.record.say("they are started again, with their disks");
    }

    /// Kills the process of a front machine; it is back after `down`.
    pub fn kill_front(&self, number: usize, down: Duration) {
        let name = &self.fronts[number].name;
        let take = |running: &mut Vec<Running>| {
            let one = running.iter_mut().find(|one| one.machine.name == *name)?;
            one.child.take()
        };
        if let Some(mut child) = take(&mut self.running.lock().unwrap()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.say(&format!("the process of {name} is killed"));
        thread::sleep(down);
        let mut running = self.running.lock().unwrap();
        if let Some(one) = running.iter_mut().find(|one| one.machine.name == *name) {
            one.child = Some(self.spawn(&one.machine, false));
        }
        self.record
            .say(&format!("the process of {name} is started again"));
    }

    /// Returns for each machine its name, how often its process has ended, and its memory's peak.
    pub fn ends(&self) -> Vec<(String, u32, u64)> {
        let running = self.running.lock().unwrap();
        let each = running.iter();
        each.map(|one| (one.machine.name.clone(), one.ends, one.peak_kb))
            .collect()
    }

    /// Kills all processes that this platform has started.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for one in self.running.lock().unwrap().iter_mut() {
            one.is_over = true;
            if let Some(mut child) = one.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Returns whether a front machine says that it is ready.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let answer = http::call(machine.ready, "GET @ready@", b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a configuration as the operator does, to one core machine after the other, until it
    /// is acknowledged; returns whether that happened within the limit.
    pub fn configure(&self, config: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for core in self.cores.iter().cycle() {
            if Instant::now() >= until {
                return false;
            }
            let mut to = core.service;
            for _ in 0..3 {
                // More than a second, for large bodies.
                let wait =
                    Duration::from_secs(1) + Duration::from_millis(config.len() as u64 / 1_000);
                let Ok(answer) = http::call(to, "PUT /v1/config", config.as_bytes(), wait) else {
                    break;
                };
                if answer.status() == 200 {
                    return true;
                }
                let Some(next) = answer.redirect() else {
                    break;
                };
                to = next;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all front machines are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.fronts.iter().all(|front| self.is_ready(front)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the resident memory of a process in kB; zero once it has ended.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|text| text.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
