//! What the operating system says of one process: processor time, memory, bytes of sockets.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    fs,
    net::SocketAddr,
    process::Command,
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

/// One look at a process.
#[derive(Clone, Debug)]
pub struct Look {
    at: Instant,
    cpu: Duration,
    resident_kib: u64,
    sockets: HashMap<Ends, SocketBytes>,
}

/// The local and the remote address of a connection.
type Ends = (SocketAddr, SocketAddr);

/// Bytes of one connection since it was made.
#[derive(Clone, Copy, Debug, Default)]
struct SocketBytes {
    sent: u64,
    received: u64,
}

/// Which of a process's connections are counted apart.
#[derive(Clone, Debug, Default)]
pub struct Listeners {
    /// Where daemons listen for each other.
    pub peers: HashSet<SocketAddr>,
    /// Where the process hears announcements.
    pub announcements: Option<SocketAddr>,
}

/// What went over connections that lasted between two looks, a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes_per_second: f64,
    /// Bytes received.
    pub received_bytes_per_second: f64,
}

impl Traffic {
    /// Returns both directions together.
    pub fn both(&self) -> f64 {
        self.sent_bytes_per_second + self.received_bytes_per_second
    }
}

/// What a process used between two looks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// How long the looks lie apart.
    pub elapsed_s: f64,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory at the second look.
    pub resident_mib: f64,
    /// To and from other daemons.
    pub peers: Traffic,
    /// Announcements of upstreams and their answers.
    pub announcements: Traffic,
    /// Commands to upstreams and everything else.
    pub others: Traffic,
}

/// Looks at a process.
pub fn look(process: u32) -> Look {
    Look {
        at: Instant::now(),
        cpu: cpu(process),
        resident_kib: resident_kib(process),
        sockets: sockets(process),
    }
}

/// Returns what a process used between two looks; traffic is zero without `ss`.
pub fn usage(before: &Look, after: &Look, listeners: &Listeners) -> Usage {
    let elapsed_s = (after.at - before.at).as_secs_f64().max(0.001);
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let mut usage = Usage {
        elapsed_s,
        core_percent: cpu / elapsed_s * 100.0,
        resident_mib: after.resident_kib as f64 / 1024.0,
        ..Usage::default()
    };
    for (ends, now) in &after.sockets {
        let earlier = before.sockets.get(ends).copied().unwrap_or_default();
        let sent = now.sent.saturating_sub(earlier.sent) as f64 / elapsed_s;
        let received = now.received.saturating_sub(earlier.received) as f64 / elapsed_s;
        let traffic = usage.traffic_of(ends, listeners);
        traffic.sent_bytes_per_second += sent;
        traffic.received_bytes_per_second += received;
    }
    usage
}

impl Usage {
    fn traffic_of(&mut self, ends: &Ends, listeners: &Listeners) -> &mut Traffic {
        let (local, remote) = ends;
        if listeners.announcements == Some(*local) {
            &mut self.announcements
        } else if listeners.peers.contains(local) || listeners.peers.contains(remote) {
            &mut self.peers
        } else {
            &mut self.others
        }
    }
}

/// Returns the processor time of all threads, which `schedstat` counts in nanoseconds.
fn cpu(process: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let of_thread = |thread: fs::DirEntry| -> Option<u64> {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    let nanos: u64 = threads.flatten().filter_map(of_thread).sum();
    Duration::from_nanos(nanos)
}

fn resident_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Asks `ss` of iproute2 for the connections of a process; none if it is not there.
fn sockets(process: u32) -> HashMap<Ends, SocketBytes> {
    let output = Command::new("ss")
        .args(["-t", "-i", "-n", "-p", "-H", "-O"])
        .output();
    let Ok(output) = output else {
        return HashMap::new();
    };
    let text = String::from_utf8_lossy(&output.stdout);
    let owner = format!("pid={process},");
    let own = text.lines().filter(|line| line.contains(&owner));
    own.filter_map(socket).collect()
}

/// Reads `ESTAB 0 0 LOCAL PEER users:(…) … bytes_sent:N … bytes_received:N …`.
fn socket(line: &str) -> Option<(Ends, SocketBytes)> {
    let mut words = line.split_whitespace().skip(3);
    let ends = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let number = |prefix: &str| {
        let found = line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(prefix));
        found.and_then(|number| number.parse().ok()).unwrap_or(0)
    };
    let bytes = SocketBytes {
        sent: number("bytes_sent:"),
        received: number("bytes_received:"),
    };
    Some((ends, bytes))
}
