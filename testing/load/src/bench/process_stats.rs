//! What the operating system says of one process: processor time, memory, bytes of sockets.

use std::{
    collections::HashMap,
    fs,
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
    sockets: HashMap<String, SocketBytes>,
}

/// Bytes of one connection since it was made.
#[derive(Clone, Copy, Debug, Default)]
struct SocketBytes {
    sent: u64,
    received: u64,
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
    /// Bytes sent over TCP connections that lasted, a second; absent without `ss`.
    pub sent_bytes_per_second: Option<f64>,
    /// Bytes received over such connections, a second.
    pub received_bytes_per_second: Option<f64>,
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

/// Returns what a process used between two looks.
pub fn usage(before: &Look, after: &Look) -> Usage {
    let elapsed_s = (after.at - before.at).as_secs_f64().max(0.001);
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let rate = |bytes: fn(&SocketBytes) -> u64| {
        let grown = |(name, now): (&String, &SocketBytes)| {
            let earlier = before.sockets.get(name).map_or(0, bytes);
            bytes(now).saturating_sub(earlier)
        };
        let total: u64 = after.sockets.iter().map(grown).sum();
        (!after.sockets.is_empty()).then_some(total as f64 / elapsed_s)
    };
    Usage {
        elapsed_s,
        core_percent: cpu / elapsed_s * 100.0,
        resident_mib: after.resident_kib as f64 / 1024.0,
        sent_bytes_per_second: rate(|bytes| bytes.sent),
        received_bytes_per_second: rate(|bytes| bytes.received),
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
fn sockets(process: u32) -> HashMap<String, SocketBytes> {
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
fn socket(line: &str) -> Option<(String, SocketBytes)> {
    let mut words = line.split_whitespace().skip(3);
    let name = format!("{} {}", words.next()?, words.next()?);
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
    Some((name, bytes))
}
