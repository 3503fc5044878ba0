//! The catalogue pages as text.

use std::fmt::Write;

use super::sources::{
    Event,
    Metric,
    Sources, //
};

const LOG_EVENTS_HEAD: &str = "\
# Log events

This page is written from the declarations in the code, and a test compares them:
`UPDATE_DOCS=1 cargo test -p cicadabend-daemon --test catalogue`.

A line is `TIME LEVEL THREAD CODE TEXT key=value …`, or one JSON object if
`logs.format` is `json`. The code and the text of an event never change their
meaning; fields may be added. What a request's events have in common is the field
`request`.
";

const METRICS_HEAD: &str = "\
# Metrics

This page is written from the declarations in the code, and a test compares them:
`UPDATE_DOCS=1 cargo test -p cicadabend-daemon --test catalogue`.

Each process sends its metrics to the StatsD server at `metrics.statsd`, with the
program's name in front (`cicadabend_entry.…`), and answers `GET /metrics` on
`metrics.listen` as JSON with the objects `counters`, `gauges` and `timers`. Counters
grow from the start of the process. A name that ends in `.*` has one counter for each
variant of a closed enum.
";

/// What metrics mean that no declaration explains: gauges, timers, and enums of the library.
const MEANINGS: &[(&str, &str)] = &[
    (
        "accepted_revision",
        "The accepted revision, as this control daemon knows it.",
    ),
    (
        "domain_epoch",
        "The highest epoch that this daemon has heard of.",
    ),
    (
        "domain_group_downtime_ms",
        "Time in which a wanted group did not serve, summed over groups, this epoch.",
    ),
    (
        "domain_groups_serving",
        "Groups of the domain that this daemon may route to.",
    ),
    (
        "domain_revision",
        "The revision that this daemon serves by.",
    ),
    (
        "domain_stranded_accelerator_ms",
        "Time in which a healthy accelerator could not serve, summed, this epoch.",
    ),
    (
        "domain_upstreams_alive",
        "Upstreams of the domain that announce themselves in time.",
    ),
    (
        "agreement_refusals.*",
        "Messages and proposals that the replicated log refused, by reason.",
    ),
    ("attempts_running", "Attempts at upstreams that run now."),
    ("choices.*", "How the routing policy came to its choice."),
    (
        "claim_refusals.*",
        "Not repeatable requests that did not get their claim, by reason.",
    ),
    (
        "peers_dropped_full",
        "Messages dropped because a peer's send buffer was full: it is cut off or too slow.",
    ),
    (
        "peers_dropped_ring_full",
        "Messages dropped because the ring to the thread that handles them was full.",
    ),
    (
        "peers_dropped_unknown_peer",
        "Messages to a peer that the settings do not name.",
    ),
    ("peers_received_bytes", "Bytes heard from peers."),
    ("peers_received_messages", "Messages heard from peers."),
    ("peers_refused_cluster", "Messages of another cluster."),
    (
        "peers_refused_malformed",
        "Messages that could not be decoded.",
    ),
    (
        "peers_refused_version",
        "Messages of another version of the protocol.",
    ),
    ("peers_sent_bytes", "Bytes sent to peers."),
    ("peers_sent_messages", "Messages sent to peers."),
    (
        "queueing",
        "How long admitted requests waited in this daemon.",
    ),
    (
        "refusals.*",
        "Requests answered with an error of cicadabend's own, by the error's code.",
    ),
    ("requests_waiting", "Requests that wait in this daemon now."),
    ("retries.*", "Attempts that were repeated, by reason."),
    (
        "time_between_tokens",
        "Mean time between the parts of one answer.",
    ),
    (
        "time_to_first_token",
        "Time from sending a request to an upstream to the first part of its answer.",
    ),
];

const CRATES: [(&str, &str); 3] = [
    ("daemon", "Every process"),
    ("entry", "Entry daemon"),
    ("control", "Control daemon"),
];

pub fn log_events(sources: &Sources) -> String {
    let mut page = LOG_EVENTS_HEAD.to_owned();
    for (crate_name, heading) in CRATES {
        let events: Vec<&Event> = sources
            .events
            .iter()
            .filter(|event| event.crate_name == crate_name)
            .collect();
        if events.is_empty() {
            continue;
        }
        write!(page, "\n## {heading}\n\n").unwrap();
        page.push_str(
            "| code | level | text | fields | meaning |\n| --- | --- | --- | --- | --- |\n",
        );
        for event in events {
            let (level, text, meaning) = (&event.level, &event.text, &event.explanation);
            let fields = code_list(&event.fields);
            let number = event.number;
            writeln!(
                page,
                "| CB{number:04} | {level} | {text} | {fields} | {meaning} |"
            )
            .unwrap();
        }
    }
    page
}

pub fn metrics(sources: &Sources) -> String {
    let mut page = METRICS_HEAD.to_owned();
    for (crate_name, heading) in CRATES {
        let metrics: Vec<&Metric> = sources
            .metrics
            .iter()
            .filter(|metric| metric.crate_name == crate_name)
            .collect();
        if metrics.is_empty() {
            continue;
        }
        write!(page, "\n## {heading}\n\n").unwrap();
        page.push_str("| name | kind | meaning |\n| --- | --- | --- |\n");
        for metric in metrics {
            let Metric {
                name,
                kind,
                explanation,
                ..
            } = metric;
            let known = MEANINGS.iter().find(|(known, _)| known == name);
            let meaning = match (explanation.as_str(), known) {
                ("", Some((_, meaning))) => meaning,
                (explanation, _) => explanation,
            };
            writeln!(page, "| `{name}` | {kind} | {meaning} |").unwrap();
        }
    }
    page
}

fn code_list(names: &[String]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}
