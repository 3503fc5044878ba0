//! Log lines, the catalogue of events, counters and the stop signal.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    io::{
        self,
        Write, //
    },
    net::UdpSocket,
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    time::Duration,
};

use cicadabend_daemon::{
    logs::{
        line_of,
        queue::{
            LineQueue,
            QUEUE_CAPACITY_LINES, //
        },
        utc_text,
    },
    metrics::{
        FLUSH_INTERVAL,
        Metrics,
        TimerReport,
        counter_name,
        observe, //
    },
    settings::{
        LogFormat,
        MetricSettings, //
    },
    stop,
};
use log::{
    Level,
    Record, //
};
use rstest::rstest;

cicadabend_daemon::events! {
    /// A first event.
    1990 Warn Refused { reason: &'static str, waiting: u32 } "refused a request";
    /// A second event,
    /// told on two lines.
    1991 Info Empty {} "nothing to say";
}

cicadabend_daemon::counters! {
    /// Reasons for the test.
    enum Refusal = "refusals" {
        /// The team is over its limit.
        OverLimit,
        /// The ring is full.
        Full,
    }
}

/// An enum of a library, whose variants carry fields.
#[derive(Debug)]
enum Reason {
    BrokenAt { _byte: u64 },
}

fn line(format: LogFormat, reason: &str) -> String {
    let fields = [("reason", reason)];
    let fields: &[(&str, &str)] = &fields;
    std::thread::scope(|scope| {
        let write = || {
            let record = Record::builder()
                .target("CB1990")
                .level(Level::Warn)
                .args(format_args!("refused a request"))
                .key_values(&fields)
                .build();
            line_of(format, &record, Duration::from_millis(7))
        };
        std::thread::Builder::new()
            .name("serve".to_owned())
            .spawn_scoped(scope, write)
            .unwrap()
            .join()
            .unwrap()
    })
}

#[test]
fn a_text_line_has_time_level_thread_code_text_and_fields() {
    assert_eq!(
        line(LogFormat::Text, "full"),
        "1970-01-01T00:00:00.007Z WARN  serve CB1990 refused a request reason=full"
    );
}

#[test]
fn a_field_from_outside_cannot_forge_a_second_line() {
    let forged = line(LogFormat::Text, "x\n1970-01-01T00:00:00.007Z ERROR");

    assert_eq!(forged.lines().count(), 1);
    assert!(forged.ends_with(r#"reason="x\n1970-01-01T00:00:00.007Z ERROR""#));
}

#[test]
fn a_json_line_is_one_object() {
    let object: serde_json::Value =
        serde_json::from_str(&line(LogFormat::Json, "a \"b\"")).unwrap();

    assert_eq!(object["code"], "CB1990");
    assert_eq!(object["level"], "WARN");
    assert_eq!(object["thread"], "serve");
    assert_eq!(object["fields"]["reason"], "a \"b\"");
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000Z")]
#[case(951_782_400, "2000-02-29T00:00:00.000Z")]
#[case(1_709_251_199, "2024-02-29T23:59:59.000Z")]
#[case(1_796_233_500, "2026-12-02T17:45:00.000Z")]
#[case(4_107_542_400, "2100-03-01T00:00:00.000Z")]
fn wall_clock_text_is_rfc_3339(#[case] seconds: u64, #[case] expected: &str) {
    assert_eq!(utc_text(Duration::from_secs(seconds)), expected);
}

#[test]
fn the_catalogue_lists_what_is_declared() {
    let kinds = LogEvent::CATALOGUE;

    assert_eq!(kinds.len(), 2);
    assert_eq!(kinds[0].code(), "CB1990");
    assert_eq!(kinds[0].fields, ["reason", "waiting"]);
    assert_eq!(
        kinds[1].explanation,
        [" A second event,", " told on two lines."]
    );
}

#[test]
fn events_can_be_emitted_without_a_logger() {
    LogEvent::Refused {
        reason: "full",
        waiting: 3,
    }
    .emit();
    LogEvent::Empty {}.emit();
}

#[rstest]
#[case("OverLimit", "refusals.over_limit")]
#[case("Full", "refusals.full")]
#[case("NotLeader", "refusals.not_leader")]
fn a_counter_is_named_after_its_variant(#[case] variant: &str, #[case] expected: &str) {
    assert_eq!(counter_name("refusals", variant), expected);
}

#[test]
fn counters_start_at_zero_and_clones_share_them() {
    let metrics = Metrics::in_process_only();
    metrics.declare::<Refusal>();

    metrics.clone().count(Refusal::Full);
    metrics.count_many(Refusal::Full, 2);
    metrics.count_reason("retries", Some("lost"));
    metrics.count_reason("retries", Reason::BrokenAt { _byte: 7 });
    metrics.gauge("queued", 4);
    metrics.time("first_token", Duration::from_millis(8));
    metrics.time("first_token", Duration::from_millis(2));

    let report = metrics.report();
    assert_eq!(report.counters["refusals.over_limit"], 0);
    assert_eq!(report.counters["refusals.full"], 3);
    assert_eq!(report.counters["retries.some"], 1);
    assert_eq!(report.counters["retries.broken_at"], 1);
    assert_eq!(report.gauges["queued"], 4);
    let expected = TimerReport {
        count: 2,
        sum_ms: 10.0,
        max_ms: 8.0,
        buckets: [0, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2],
    };
    assert_eq!(report.timers["first_token"], expected);
}

#[test]
fn a_stop_is_seen_by_every_clone_and_asked_for_once() {
    let (requester, stop) = stop::manual();
    let mut waiting = stop.clone();

    let first = requester.request();
    let second = requester.request();

    assert!(first);
    assert!(!second);
    assert!(stop.is_requested());
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(waiting.requested());
}

#[test]
fn counters_reach_the_statsd_server_within_the_flush_interval() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(FLUSH_INTERVAL * 20)).unwrap();
    let settings = MetricSettings {
        statsd: Some(server.local_addr().unwrap()),
        listen: None,
    };
    let metrics = Metrics::start("tested-program", &settings).unwrap();
    observe(None, metrics.clone()).unwrap();

    metrics.count(Refusal::OverLimit);

    let mut packet = [0; 512];
    let length = server.recv(&mut packet).unwrap();
    let sent = std::str::from_utf8(&packet[..length]).unwrap();
    assert_eq!(sent.trim_end(), "tested_program.refusals.over_limit:1|c");
}

/// A reader that stands still until it is let go.
struct StalledPipe {
    go: mpsc::Receiver<()>,
    is_open: bool,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.go.recv().unwrap();
            self.is_open = true;
        }
        self.read.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The process goes on serving. Its log collector stands still, the queue of lines
/// fills, further lines are dropped. When the collector reads again, the log says how
/// many are missing.
#[test]
fn a_stalled_reader_of_the_log_holds_nobody_up() {
    let (go, waiting) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let pipe = StalledPipe {
        go: waiting,
        is_open: false,
        read: Arc::clone(&read),
    };
    let queue = LineQueue::start(pipe, |lines| format!("{lines} lines dropped")).unwrap();

    for number in 0..3 * QUEUE_CAPACITY_LINES {
        queue.push(format!("line {number}"));
    }
    go.send(()).unwrap();
    let mut is_flushed = false;
    while !is_flushed {
        is_flushed = queue.flush(Duration::from_millis(100));
    }

    let text = String::from_utf8(read.lock().unwrap().clone()).unwrap();
    let written = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    let counts = text
        .lines()
        .filter_map(|line| line.strip_suffix(" lines dropped"));
    let dropped: usize = counts.map(|count| count.parse::<usize>().unwrap()).sum();
    assert!(written >= QUEUE_CAPACITY_LINES, "{written}");
    assert!(dropped > 0);
    assert_eq!(written + dropped, 3 * QUEUE_CAPACITY_LINES);
}
