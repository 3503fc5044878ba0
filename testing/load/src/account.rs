//! Compares what callers were told with what upstreams ran.

use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

use displaydoc::Display;
use fake_engine::run::{
    Run,
    RunReport, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    answer::AnswerFault,
    drive::{
        Attempt,
        Record, //
    },
    exchange::AttemptEnd,
};

/// How many violations of one kind are listed.
const LISTED: usize = 20;

/// What must never happen.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// the caller got neither an answer nor an error
    Lost,
    /// an answer that is not the whole answer to its own request
    Crossed,
    /// a request that must run at most once ran more often
    Doubled,
    /// "not run" was answered, but it ran
    FalselyNotRun,
    /// an answer came, but no upstream ran it
    MadeUp,
    /// two attempts were answered by different runs
    TwoAnswers,
    /// the tool could not send it in time; the run proves nothing
    NotSent,
}

/// One thing that must never happen, and did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// What.
    pub kind: ViolationKind,
    /// To which request.
    pub request: String,
    /// Particulars for whoever looks into it.
    pub detail: String,
}

/// The account of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Account {
    /// Requests of the schedule.
    pub requests: usize,
    /// Requests with a whole and right answer.
    pub answered: usize,
    /// Final refusals by code.
    pub refused_by_code: BTreeMap<String, usize>,
    /// Answers that broke off and said so.
    pub broken_and_told: usize,
    /// Requests marked as not repeatable.
    pub not_repeatable: usize,
    /// Requests of which an attempt was repeated.
    pub resent: usize,
    /// Runs in the accounts of the upstreams, by whether they started.
    pub runs_started: usize,
    /// Runs that upstreams queued but never started.
    pub runs_not_started: usize,
    /// How many violations there are of each kind.
    pub violations: BTreeMap<ViolationKind, usize>,
    /// The first violations of each kind.
    pub listed: Vec<Violation>,
}

impl Account {
    /// Returns whether nothing happened that must never happen.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn note(&mut self, kind: ViolationKind, request: &str, detail: String) {
        let count = self.violations.entry(kind).or_insert(0);
        *count += 1;
        if *count <= LISTED {
            self.listed.push(Violation {
                kind,
                request: request.to_owned(),
                detail,
            });
        }
    }
}

/// The runs of the upstreams by what a caller knows.
struct Ran<'a> {
    by_attempt: HashMap<&'a str, Vec<&'a Run>>,
    by_key: HashMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Ran<'a> {
    fn of(reports: &'a [RunReport]) -> Self {
        let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
        let mut by_key: HashMap<&str, Vec<&Run>> = HashMap::new();
        let runs = reports.iter().flat_map(|report| &report.runs);
        for run in runs.filter(|run| run.started) {
            by_attempt.entry(&run.request_id).or_default().push(run);
            if let Some(key) = &run.idempotency_key {
                by_key.entry(key).or_default().push(run);
            }
        }
        Self { by_attempt, by_key }
    }

    fn of_attempt(&self, id: &str) -> &[&'a Run] {
        self.by_attempt.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the runs of a request, found by its key or by the ids of its attempts.
    fn of_request(&self, record: &Record) -> Vec<&'a Run> {
        let mut seen = HashSet::new();
        let key = record.planned.idempotency_key.as_deref();
        let by_key = key.and_then(|key| self.by_key.get(key));
        let by_attempt = record.attempts.iter().flat_map(|a| self.of_attempt(&a.id));
        by_key
            .into_iter()
            .flatten()
            .chain(by_attempt)
            .copied()
            .filter(|run| seen.insert((&run.vm, run.boot, run.number)))
            .collect()
    }
}

/// Settles the account of a run; without upstreams' accounts, of the callers' side only.
pub fn settle(records: &[Record], reports: Option<&[RunReport]>) -> Account {
    let mut account = Account {
        requests: records.len(),
        ..Account::default()
    };
    for record in records {
        settle_caller(&mut account, record);
    }
    let Some(reports) = reports else {
        return account;
    };
    let runs = reports.iter().flat_map(|report| &report.runs);
    account.runs_started = runs.clone().filter(|run| run.started).count();
    account.runs_not_started = runs.count() - account.runs_started;
    let ran = Ran::of(reports);
    // Forgotten runs may hold the proof of what looks made up.
    let complete = reports.iter().all(|report| report.forgotten == 0);
    for record in records {
        settle_runs(&mut account, record, &ran, complete);
    }
    account
}

fn settle_caller(account: &mut Account, record: &Record) {
    let id = &record.planned.id;
    account.not_repeatable += usize::from(record.planned.idempotency_key.is_some());
    account.resent += usize::from(record.attempts.len() > 1);
    let Some(last) = record.attempts.last() else {
        account.note(
            ViolationKind::NotSent,
            id,
            "too many in progress".to_owned(),
        );
        return;
    };
    match &last.end {
        AttemptEnd::Answered { fault: None } => account.answered += 1,
        AttemptEnd::Answered { fault: Some(fault) } => {
            account.note(ViolationKind::Crossed, id, describe(last, *fault));
        }
        AttemptEnd::Refused { code, status, .. } => {
            let code = match code.is_empty() {
                true => format!("http_{status}"),
                false => code.clone(),
            };
            *account.refused_by_code.entry(code).or_insert(0) += 1;
        }
        AttemptEnd::Broken {
            told: Some(_),
            fault: None,
        } => account.broken_and_told += 1,
        AttemptEnd::Broken {
            fault: Some(fault), ..
        } => account.note(ViolationKind::Crossed, id, describe(last, *fault)),
        AttemptEnd::Broken { told: None, .. } | AttemptEnd::NoAnswer | AttemptEnd::GivenUp => {
            let detail = format!("{} at {}: {:?}", last.id, last.target, last.end);
            account.note(ViolationKind::Lost, id, detail);
        }
    }
}

fn describe(attempt: &Attempt, fault: AnswerFault) -> String {
    format!("{} at {}: {fault}", attempt.id, attempt.target)
}

fn settle_runs(account: &mut Account, record: &Record, ran: &Ran<'_>, complete: bool) {
    let id = &record.planned.id;
    let runs = ran.of_request(record);
    if record.planned.idempotency_key.is_some() && runs.len() > 1 {
        account.note(ViolationKind::Doubled, id, describe_runs(&runs));
    }
    for attempt in &record.attempts {
        let promised = matches!(attempt.end, AttemptEnd::Refused { not_run: true, .. });
        // Of a request with a key the promise is about the request, whichever
        // attempt is answered; of another one each attempt stands for itself.
        let meant = match record.planned.idempotency_key {
            Some(_) => runs.len(),
            None => ran.of_attempt(&attempt.id).len(),
        };
        if promised && meant > 0 {
            let detail = format!("{}: {}", describe_end(attempt), describe_runs(&runs));
            account.note(ViolationKind::FalselyNotRun, id, detail);
        }
    }
    let answers = record.attempts.iter().filter(|attempt| {
        let end = &attempt.end;
        matches!(end, AttemptEnd::Answered { .. })
    });
    let answered = answers.count();
    if answered > 0 && runs.is_empty() && complete {
        account.note(ViolationKind::MadeUp, id, "no run".to_owned());
    }
    if answered > 1 {
        account.note(ViolationKind::TwoAnswers, id, describe_runs(&runs));
    }
}

fn describe_end(attempt: &Attempt) -> String {
    format!("{} at {}: {:?}", attempt.id, attempt.target, attempt.end)
}

fn describe_runs(runs: &[&Run]) -> String {
    let each: Vec<_> = runs
        .iter()
        .map(|run| format!("{} on {} ({:?})", run.request_id, run.vm, run.state))
        .collect();
    each.join(", ")
}
