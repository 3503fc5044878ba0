//! What a running process holds of its machine, as the operating system counts it.

use std::{
    fs,
    net::IpAddr,
    thread,
    time::Duration, //
};

use cicadabend::prelude::*;

const BYTES_PER_KIB: u64 = 1024;
/// A process has settled once it holds the same at so many looks in a row.
const SAME_LOOKS: usize = 5;
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What a process holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUse {
    /// The most memory that it has held since its start.
    pub peak_memory: ByteCount,
    /// Bytes that have arrived for it and that it has not read.
    pub unread: ByteCount,
    /// Its open descriptors.
    pub descriptors: usize,
}

impl ProcessUse {
    /// Reads what a process holds; `ip` is the address at which it listens.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn of(id: u32, ip: IpAddr) -> Self {
        Self {
            peak_memory: peak_memory(id),
            unread: unread(ip),
            descriptors: fs::read_dir(format!("/proc/{id}/fd")).unwrap().count(),
        }
    }

    /// Waits until what a process holds stays the same, and returns that.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn settled(id: u32, ip: IpAddr) -> Self {
        let mut held = Self::of(id, ip);
        let mut same = 0;
        while same < SAME_LOOKS {
            thread::sleep(LOOK_INTERVAL);
            let next = Self::of(id, ip);
            same = if next == held { same + 1 } else { 0 };
            held = next;
        }
        held
    }

    /// Returns the most memory, with the bytes that are unread now.
    pub fn memory(&self) -> ByteCount {
        ByteCount(self.peak_memory.0 + self.unread.0)
    }
}

fn peak_memory(id: u32) -> ByteCount {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the process has not ended");
    let kib: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    ByteCount(kib * BYTES_PER_KIB)
}

/// Returns the bytes in the receive queues of all sockets at an IPv4 address.
fn unread(ip: IpAddr) -> ByteCount {
    let IpAddr::V4(ip) = ip else {
        return ByteCount(0);
    };
    // The kernel writes the address as the number that its bytes are in memory.
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let sockets = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let of_process =
        sockets.filter(|fields| fields.get(1).is_some_and(|at| at.starts_with(&local)));
    let queued = of_process.filter_map(|fields| {
        let (_, received) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(received, 16).ok()
    });
    ByteCount(queued.sum())
}
