//! The project's own programs as processes, by the templates of the deploy file.

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::Record,
    words::word, //
};

/// `memoryMb` of the smaller of the pages' machines.
const MEMORY_MB: &str = "256";

/// All processes that this run has started and not yet ended.
static PROCESSES: Mutex<BTreeMap<String, Child>> = Mutex::new(BTreeMap::new());

/// Ends all processes that are left, each by its id.
pub fn end_all() {
    let mut processes = PROCESSES.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for (_, mut child) in std::mem::take(&mut *processes) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Ports {
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub peer: u16,
    pub relay: u16,
}

pub struct Fleet {
    pub record: Record,
    root: PathBuf,
    folder: PathBuf,
    net: String,
    pub ports: Ports,
    pub controls: Vec<String>,
    pub entries: Vec<String>,
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
    /// Draws addresses; starts nothing yet.
    pub fn draw(record: &Record, entries: usize) -> Self {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let pid = std::process::id();
        let (net, ports) = (0..200)
            .find_map(|turn| {
                let number = pid.wrapping_mul(31).wrapping_add(turn * 97);
                let net = format!("127.{}.{}", 64 + number % 128, 1 + number / 128 % 250);
                let base = 20_000 + u16::try_from(number % 9_000).unwrap();
                let ports = Ports {
                    control: base,
                    front: base + 1,
                    ready: base + 2,
                    peer: base + 3,
                    relay: base + 4,
                };
                let is_free = (0..5).all(|add| {
                    [1, 11].iter().all(|host| {
                        TcpListener::bind((format!("{net}.{host}"), base + add)).is_ok()
                    })
                });
                is_free.then_some((net, ports))
            })
            .expect("free ports");
        let folder = std::env::temp_dir().join(format!("standins-2-{pid}"));
        fs::create_dir_all(&folder).unwrap();
        Self {
            record: record.clone(),
            root,
            folder,
            controls: (1..=3).map(|host| format!("{net}.{host}")).collect(),
            entries: (0..entries).map(|host| format!("{net}.{}", 11 + host)).collect(),
            net,
            ports,
        }
    }

    pub fn address(&self, host: usize, port: u16) -> SocketAddr {
        let ip: IpAddr = format!("{}.{host}", self.net).parse().unwrap();
        SocketAddr::new(ip, port)
    }

    fn at(ip: &str, port: u16) -> SocketAddr {
        SocketAddr::new(ip.parse().unwrap(), port)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        Self::at(&self.controls[number], self.ports.control)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        Self::at(&self.entries[number], self.ports.front)
    }

    fn start_process(&self, program: &str, template: &str, ip: &str, zone: &str, first: bool) {
        let text = fs::read_to_string(self.root.join("deploy/templates").join(template)).unwrap();
        let ports = &self.ports;
        let data = self.folder.join(format!("data-{ip}"));
        let seeds: Vec<String> = self
            .controls
            .iter()
            .map(|control| format!("\"{control}:{}\"", ports.control))
            .collect();
        let values = [
            ("slot-ip-json", format!("\"{ip}\"")),
            ("slot-ip", ip.to_owned()),
            ("slot-zone", format!("\"{zone}\"")),
            ("slot-data", format!("{data:?}")),
            ("slot-control", format!("\"{ip}:{}\"", ports.control)),
            ("slot-front", format!("\"{ip}:{}\"", ports.front)),
            ("slot-ready", format!("\"{ip}:{}\"", ports.ready)),
            ("slot-port0", ports.peer.to_string()),
            ("slot-port1", ports.relay.to_string()),
            ("slot-seeds", format!("[{}]", seeds.join(","))),
            ("slot-bootstrap", first.to_string()),
            ("slot-memory", MEMORY_MB.to_owned()),
            ("slot-ratio", "0.2".to_owned()),
            ("slot-slack", "136".to_owned()),
            ("slot-window", "10".to_owned()),
        ];
        let text = values
            .iter()
            .fold(text, |text, (slot, value)| text.replace(word(slot), value));
        let name = format!("{program}-{ip}");
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).unwrap();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(self.root.join("target/release").join(program))
            .arg("--config")
            .arg(&settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                println!("cannot start {program}: {error}");
                end_all();
                std::process::exit(2)
            });
        self.record.line(&format!("started {name} as process {}", child.id()));
        PROCESSES.lock().unwrap().insert(ip.to_owned(), child);
    }

    pub fn start_control(&self, number: usize, first: bool) {
        let ip = &self.controls[number];
        self.start_process("platform-control", "control.json", ip, ZONES[number % 3], first);
    }

    pub fn start_entry(&self, number: usize) {
        let ip = &self.entries[number];
        self.start_process("platform-entry", "entry.json", ip, ZONES[number % 3], true);
    }

    pub fn process_id(&self, ip: &str) -> u32 {
        PROCESSES.lock().unwrap().get(ip).map_or(0, Child::id)
    }

    /// Kills a process at once; returns when it has ended.
    pub fn kill(&self, ip: &str) {
        let child = PROCESSES.lock().unwrap().remove(ip);
        if let Some(mut child) = child {
            let _ = child.kill();
            self.record.line(&format!("killed process {} at {ip}", child.id()));
            let _ = child.wait();
        }
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended(&self, ip: &str) -> bool {
        let mut processes = PROCESSES.lock().unwrap();
        let child = processes.get_mut(ip);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal, by its name, to a process of this run.
    pub fn signal(&self, ip: &str, signal: &str) {
        let id = self.process_id(ip);
        self.record.line(&format!("sent {signal} to process {id} at {ip}"));
        let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let address = Self::at(&self.entries[number], self.ports.ready);
        let answer = http::call(address, "GET", word("ready"), b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a configuration to one control daemon after the other until it is acknowledged.
    pub fn put_config(&self, text: &str) {
        let limit = Instant::now() + Duration::from_secs(20);
        for turn in 0.. {
            let address = self.control(turn % self.controls.len());
            let timeout = Duration::from_secs(2);
            let answer = http::call(address, "PUT", word("config"), text.as_bytes(), timeout);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.line("the configuration is acknowledged");
                return;
            }
            if Instant::now() > limit {
                self.give_up("the configuration was not acknowledged");
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    pub fn start_all(&self) {
        for number in 0..self.controls.len() {
            self.start_control(number, true);
        }
        for number in 0..self.entries.len() {
            self.start_entry(number);
        }
    }

    pub fn wait_ready(&self) {
        for number in 0..self.entries.len() {
            self.wait_for("an entry daemon to be ready", || self.is_ready(number));
        }
    }

    pub fn wait_for(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let limit = Instant::now() + Duration::from_secs(20);
        while !holds() {
            if Instant::now() > limit {
                self.give_up(&format!("waited in vain for {what}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends the run: the case could not be played.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.say(&format!("the case could not run: {why}"));
        self.clean();
        std::process::exit(2)
    }

    pub fn clean(&self) {
        end_all();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    /// Ends the run with the verdict on the rule.
    pub fn finish(&self, is_broken: bool, verdict: &str) -> ! {
        self.clean();
        self.record.say(verdict);
        std::process::exit(i32::from(is_broken))
    }
}
