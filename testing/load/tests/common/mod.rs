//! Records and runs built by functions, for this crate's tests.
#![expect(
    clippy::unwrap_used,
    dead_code,
    reason = "a fixture that cannot go on fails its test, and no test file uses all of it"
)]

use std::time::Duration;

use cicadabend::prelude::*;
use cicadabend_load::{
    drive::{
        Attempt,
        Record, //
    },
    exchange::AttemptEnd,
    schedule::{
        Kind,
        ModelAsk,
        Planned, //
    },
    workload::{
        Deployment,
        Workload, //
    },
};
use fake_engine::{
    run::{
        Run,
        RunReport,
        RunState, //
    },
    text::prompt_check,
};

/// Returns a small workload of one second.
pub fn workload() -> Workload {
    Workload {
        arrivals_per_second: 60.0,
        duration_ms: 1_000,
        answer_timeout_ms: 5_000,
        plain_percent: Percent(0),
        resend_percent: Percent(0),
        ..Deployment::Auditorias.workload().unwrap()
    }
}

/// Returns a streamed request.
pub fn planned(id: &str, key: Option<&str>) -> Planned {
    Planned {
        id: id.to_owned(),
        at: Duration::ZERO,
        team: 0,
        kind: Kind::Model(ask(4)),
        idempotency_key: key.map(str::to_owned),
        give_up_after: None,
    }
}

/// Returns what that request asks for.
pub fn ask(output_tokens: u64) -> ModelAsk {
    let prompt = "three words here".to_owned();
    ModelAsk {
        prompt_check: prompt_check(&prompt),
        prompt,
        output_tokens,
        session: None,
        stream: true,
    }
}

/// Returns the record of a request whose attempts ended so.
pub fn record(id: &str, key: Option<&str>, ends: Vec<AttemptEnd>) -> Record {
    let planned = planned(id, key);
    let attempt = |(number, end)| Attempt {
        id: planned.attempt_id(number),
        target: "127.0.0.1:1".parse().unwrap(),
        end,
    };
    let attempts = (0..).zip(ends).map(attempt).collect();
    Record {
        planned,
        attempts,
        first_byte: None,
        whole: None,
        gaps: Vec::new(),
        tokens: 0,
        lateness: Duration::ZERO,
    }
}

/// Returns a refusal.
pub fn refused(code: &str, not_run: bool) -> AttemptEnd {
    AttemptEnd::Refused {
        status: 503,
        code: code.to_owned(),
        not_run,
        retry_after_ms: None,
    }
}

/// Returns the account of an upstream that ran these: attempt id, key, whether it started.
pub fn report(runs: &[(&str, Option<&str>, bool)]) -> RunReport {
    let run = |(number, (id, key, started)): (u64, &(&str, Option<&str>, bool))| Run {
        number,
        vm: "vm-1".parse().unwrap(),
        boot: BootId(1),
        request_id: (*id).to_owned(),
        idempotency_key: key.map(str::to_owned),
        not_repeatable: key.is_some(),
        session: None,
        generation: format!("gen-{number}"),
        group: None,
        started: *started,
        arrived_ms: 0,
        queued_ms: 0,
        prompt_tokens: 3,
        cached_tokens: 0,
        tokens_sent: 4,
        resumes: 0,
        state: RunState::Complete,
    };
    RunReport {
        runs: (0..).zip(runs).map(run).collect(),
        forgotten: 0,
    }
}
