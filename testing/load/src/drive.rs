//! Sends each request at its time, whatever became of the others.
//!
//! Latency counts from the time at which the request was meant to be sent, so a
//! stall of the tool or of the system shows in every request that it delays.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    task::JoinHandle,
    time::Instant, //
};

use crate::{
    balancer::Balancer,
    exchange::{
        self,
        AnswerTimes,
        AttemptEnd,
        Route, //
    },
    http_client::HttpClient,
    schedule::Planned,
    workload::Workload,
};

/// The most requests in progress; beyond it the run is too much for the tool.
const MAX_IN_PROGRESS: usize = 20_000;
/// How often a caller without an answer asks again.
const MAX_ATTEMPTS: u32 = 4;
/// How long a caller waits if it is told that its request is in progress, but not how long.
const IN_PROGRESS_PAUSE: Duration = Duration::from_millis(200);

/// One attempt of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Where it went.
    pub target: SocketAddr,
    /// What became of it.
    pub end: AttemptEnd,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub planned: Planned,
    /// Its attempts in order; empty if the tool did not send it.
    pub attempts: Vec<Attempt>,
    /// From the intended arrival to the first byte of the answer.
    pub first_byte: Option<Duration>,
    /// From the intended arrival to the end of the answer.
    pub whole: Option<Duration>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// How many tokens came.
    pub tokens: u64,
    /// How late the tool sent it.
    pub lateness: Duration,
}

/// What a run goes against.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Entry daemons, or one upstream.
    pub addresses: Vec<SocketAddr>,
    /// Which of the two.
    pub route: Route,
}

struct Run {
    workload: Workload,
    client: HttpClient,
    balancer: Rc<Balancer>,
    route: Route,
    start: Instant,
    in_progress: Cell<usize>,
}

/// Sends all requests and waits for their ends; must run inside a `LocalSet`.
pub async fn drive(workload: &Workload, requests: Vec<Planned>, targets: &Targets) -> Vec<Record> {
    let client = HttpClient::default();
    let balancer = Rc::new(Balancer::new(targets.addresses.clone()));
    let watch = match targets.route {
        Route::ThroughEntry => {
            let watch = Rc::clone(&balancer).watch(HttpClient::default());
            Some(tokio::task::spawn_local(watch))
        }
        Route::Direct => None,
    };
    let run = Rc::new(Run {
        workload: workload.clone(),
        client,
        balancer,
        route: targets.route,
        start: Instant::now(),
        in_progress: Cell::new(0),
    });
    let records = send_all(&run, requests).await;
    if let Some(watch) = watch {
        watch.abort();
    }
    records
}

async fn send_all(run: &Rc<Run>, requests: Vec<Planned>) -> Vec<Record> {
    let mut tasks: Vec<JoinHandle<Record>> = Vec::with_capacity(requests.len());
    for planned in requests {
        tokio::time::sleep_until(run.start + planned.at).await;
        let run = Rc::clone(run);
        tasks.push(tokio::task::spawn_local(
            async move { run.one(planned).await },
        ));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        // A task only fails if the tool itself panics, which ends the run anyway.
        if let Ok(record) = task.await {
            records.push(record);
        }
    }
    records
}

impl Run {
    async fn one(&self, planned: Planned) -> Record {
        let intended = self.start + planned.at;
        let mut record = Record {
            lateness: intended.elapsed(),
            planned,
            attempts: Vec::new(),
            first_byte: None,
            whole: None,
            gaps: Vec::new(),
            tokens: 0,
        };
        if self.in_progress.get() >= MAX_IN_PROGRESS {
            return record;
        }
        self.in_progress.set(self.in_progress.get() + 1);
        let times = self.attempts(&mut record, intended).await;
        self.in_progress.set(self.in_progress.get() - 1);
        let since = |at: Option<Instant>| at.map(|at| at.duration_since(intended));
        record.first_byte = since(times.first_byte);
        record.whole = since(times.end);
        record.gaps = times.gaps;
        record.tokens = times.tokens;
        record
    }

    /// Asks as a patient caller does: again, elsewhere, after no answer or "in progress".
    async fn attempts(&self, record: &mut Record, intended: Instant) -> AnswerTimes {
        let deadline = intended + Duration::from_millis(self.workload.answer_timeout_ms);
        let mut last_target = None;
        let mut times = AnswerTimes::default();
        for number in 0..MAX_ATTEMPTS {
            let Some(target) = self.balancer.choose(last_target) else {
                break;
            };
            last_target = Some(target);
            let give_up = record.planned.give_up_after.filter(|_| number == 0);
            let id = record.planned.attempt_id(number);
            let end;
            (end, times) = self
                .attempt(&record.planned, &id, target, give_up, deadline)
                .await;
            let pause = pause_before_next(&end);
            record.attempts.push(Attempt { id, target, end });
            match pause {
                Some(pause) if Instant::now() + pause < deadline => {
                    tokio::time::sleep(pause).await;
                }
                _ => break,
            }
        }
        times
    }

    async fn attempt(
        &self,
        planned: &Planned,
        id: &str,
        target: SocketAddr,
        give_up: Option<Duration>,
        deadline: Instant,
    ) -> (AttemptEnd, AnswerTimes) {
        let limit = give_up.map_or(deadline, |wait| deadline.min(Instant::now() + wait));
        let attempt = exchange::attempt(
            &self.client,
            &self.workload,
            planned,
            id,
            target,
            self.route,
        );
        match tokio::time::timeout_at(limit, attempt).await {
            Ok(ended) => ended,
            Err(_) if give_up.is_some() => (AttemptEnd::GivenUp, AnswerTimes::default()),
            Err(_) => (AttemptEnd::NoAnswer, AnswerTimes::default()),
        }
    }
}

/// Returns how long the caller waits before it asks again, `None` if it has its answer.
fn pause_before_next(end: &AttemptEnd) -> Option<Duration> {
    match end {
        AttemptEnd::GivenUp | AttemptEnd::NoAnswer => Some(Duration::ZERO),
        AttemptEnd::Refused {
            code,
            retry_after_ms,
            ..
        } if code == "in_progress" => {
            Some(retry_after_ms.map_or(IN_PROGRESS_PAUSE, Duration::from_millis))
        }
        AttemptEnd::Refused { .. } | AttemptEnd::Answered { .. } | AttemptEnd::Broken { .. } => {
            None
        }
    }
}
