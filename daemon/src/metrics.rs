//! Counters, gauges and timers, by `cadence`, with a registry inside the process.
//!
//! ```
//! use cicadabend_daemon::metrics::Metrics;
//!
//! cicadabend_daemon::counters! {
//!     /// Announcements that were refused.
//!     pub enum AnnounceRefusal = "announce_refusals" {
//!         /// The VM id is held by another address.
//!         DuplicateVm,
//!         /// The ring to the thread `domain` is full.
//!         RingFull,
//!     }
//! }
//!
//! let metrics = Metrics::in_process_only();
//! metrics.count(AnnounceRefusal::RingFull);
//! assert_eq!(metrics.counter("announce_refusals.ring_full"), 1);
//! ```
//!
//! For a closed enum of the library use [`Metrics::count_reason`]: the name derives from the
//! variant. A counter that only a library enum names appears once it was counted.

use std::{
    collections::BTreeMap,
    fmt::{
        self,
        Debug, //
    },
    io,
    net::UdpSocket,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink,
    Counted,
    Gauged,
    QueuingMetricSink,
    StatsdClient,
    Timed, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    counters,
    settings::MetricSettings, //
};

mod listener;
mod text;

pub use listener::{
    FLUSH_INTERVAL,
    observe, //
};

counters! {
    /// Metrics that were counted in the process but not sent.
    pub enum MetricLoss = "metric_losses" {
        /// The queue to the sending thread is full; the server or the network is too slow.
        QueueFull,
    }
}

/// The upper ends of the timers' buckets, in milliseconds.
pub const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0,
    10_000.0,
];

/// How many metrics wait for the sending thread before further ones are dropped.
const QUEUE_CAPACITY: usize = 8_192;

/// A closed set of counters; made by [`counters!`](crate::counters!).
pub trait CounterSet: Copy + Debug {
    /// The first part of each counter's name.
    const GROUP: &'static str;
    /// The variants' names with what each counts.
    const KINDS: &'static [CounterKind];
}

/// What is fixed about one counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CounterKind {
    /// The variant's name.
    pub variant: &'static str,
    /// What it counts, one line of the doc comment each.
    pub explanation: &'static [&'static str],
}

/// All figures of one process at one moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MetricsReport {
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Gauges by name.
    pub gauges: BTreeMap<String, u64>,
    /// Timers by name.
    pub timers: BTreeMap<String, TimerReport>,
}

impl MetricsReport {
    fn add(&mut self, name: &str, events: u64) {
        match self.counters.get_mut(name) {
            Some(value) => *value = value.saturating_add(events),
            None => {
                self.counters.insert(name.to_owned(), events);
            }
        }
    }
}

/// What one timer measured since the process started.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TimerReport {
    /// How many durations.
    pub count: u64,
    /// Their sum.
    pub sum_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// How many took at most each of [`BUCKETS_MS`]; each count holds those before it.
    pub buckets: [u64; BUCKETS_MS.len()],
}

/// Counts; clones count into the same registry.
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    /// `None` in place of cadence's `NopMetricSink`, which would still format each metric.
    client: Option<StatsdClient>,
    report: Mutex<MetricsReport>,
}

impl Metrics {
    /// Starts sending to the server that the settings name, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be made.
    pub fn start(prefix: &str, settings: &MetricSettings) -> io::Result<Self> {
        let client = match settings.statsd {
            None => None,
            Some(server) => Some(client(prefix, server)?),
        };
        Ok(Self::with_client(client))
    }

    /// Makes metrics that are kept in the process and sent nowhere.
    pub fn in_process_only() -> Self {
        Self::with_client(None)
    }

    fn with_client(client: Option<StatsdClient>) -> Self {
        Self {
            shared: Arc::new(Shared {
                client,
                report: Mutex::default(),
            }),
        }
    }

    /// Makes all counters of a set visible with the value zero.
    pub fn declare<T: CounterSet>(&self) {
        let mut report = self.lock();
        for kind in T::KINDS {
            let name = counter_name(T::GROUP, kind.variant);
            report.counters.entry(name).or_default();
        }
    }

    /// Counts one event of a closed set.
    pub fn count<T: CounterSet>(&self, counter: T) {
        self.count_many(counter, 1);
    }

    /// Counts several events of a closed set.
    pub fn count_many<T: CounterSet>(&self, counter: T, events: u64) {
        self.add(&counter_name(T::GROUP, &variant_of(&counter)), events);
    }

    /// Counts one event by a closed enum of the library, as `GROUP.VARIANT`.
    pub fn count_reason(&self, group: &'static str, reason: impl Debug) {
        self.add(&counter_name(group, &variant_of(&reason)), 1);
    }

    fn add(&self, name: &str, events: u64) {
        self.lock().add(name, events);
        self.send(|client| client.count(name, events).map(drop));
    }

    /// Sets a value that goes up and down.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name.to_owned(), value);
        self.send(|client| client.gauge(name, value).map(drop));
    }

    /// Records how long something took.
    pub fn time(&self, name: &'static str, length: Duration) {
        let length_ms = length.as_secs_f64() * 1_000.0;
        {
            let mut report = self.lock();
            let timer = report.timers.entry(name.to_owned()).or_default();
            timer.count += 1;
            timer.sum_ms += length_ms;
            timer.max_ms = timer.max_ms.max(length_ms);
            for (count, limit_ms) in timer.buckets.iter_mut().zip(BUCKETS_MS) {
                *count += u64::from(length_ms <= limit_ms);
            }
        }
        self.send(|client| client.time(name, length).map(drop));
    }

    /// Sends what the buffer holds; the thread `observe` calls this at an interval.
    pub fn flush(&self) {
        self.send(StatsdClient::flush);
    }

    fn send(&self, metric: impl FnOnce(&StatsdClient) -> cadence::MetricResult<()>) {
        let Some(client) = &self.shared.client else {
            return;
        };
        if metric(client).is_err() {
            let name = counter_name(MetricLoss::GROUP, "QueueFull");
            self.lock().add(&name, 1);
        }
    }

    /// Returns a counter's value, zero if it was never counted.
    pub fn counter(&self, name: &str) -> u64 {
        self.lock().counters.get(name).copied().unwrap_or_default()
    }

    /// Returns all figures.
    pub fn report(&self) -> MetricsReport {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, MetricsReport> {
        // A panic while counting leaves plain numbers behind, which stay usable.
        self.shared
            .report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn client(prefix: &str, server: std::net::SocketAddr) -> io::Result<StatsdClient> {
    let any_port = match server {
        std::net::SocketAddr::V4(_) => "0.0.0.0:0",
        std::net::SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any_port)?;
    socket.set_nonblocking(true)?;
    let buffered = BufferedUdpMetricSink::from(server, socket).map_err(io::Error::other)?;
    let queued = QueuingMetricSink::with_capacity(buffered, QUEUE_CAPACITY);
    Ok(StatsdClient::from_sink(&prefix.replace('-', "_"), queued))
}

/// Takes in the name of a variant and refuses everything after it.
struct VariantName(String);

impl fmt::Write for VariantName {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
        let name = text.split(|c| !is_name(c)).next().unwrap_or_default();
        self.0.push_str(name);
        match name.len() == text.len() {
            true => Ok(()),
            false => Err(fmt::Error),
        }
    }
}

/// Returns the name of an enum's variant.
///
/// Its fields, which may be large, are not formatted: the writer ends the formatting.
fn variant_of(reason: &impl Debug) -> String {
    let mut name = VariantName(String::new());
    let _ = fmt::write(&mut name, format_args!("{reason:?}"));
    name.0
}

/// Returns the name of a counter: its group and its variant in snake case.
pub fn counter_name(group: &str, variant: &str) -> String {
    let mut name = String::with_capacity(group.len() + variant.len() + 4);
    name.push_str(group);
    name.push('.');
    for (index, letter) in variant.chars().enumerate() {
        if letter.is_ascii_uppercase() && index > 0 {
            name.push('_');
        }
        name.push(letter.to_ascii_lowercase());
    }
    name
}

/// Declares a closed set of counters as an enum; the names derive from the variants.
#[macro_export]
macro_rules! counters {
    (
        $(#[$meta:meta])*
        $visibility:vis enum $name:ident = $group:literal {
            $($(#[doc = $doc:literal])+ $variant:ident),+ $(,)?
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        $visibility enum $name {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl $crate::metrics::CounterSet for $name {
            const GROUP: &'static str = $group;
            const KINDS: &'static [$crate::metrics::CounterKind] = &[$(
                $crate::metrics::CounterKind {
                    variant: stringify!($variant),
                    explanation: &[$($doc),+],
                },
            )+];
        }
    };
}
