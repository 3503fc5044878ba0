//! Whether a request may run, judged by the upstreams that crashed with it or with its prompt parts.

use cicadabend::quarantine::{
    ModelPart,
    Observation,
    PartLimit,
    SuspectStatus,
    Suspicion, //
};
use http::Response;

use super::{
    body::RoutedBody,
    counts::RoutedRefusal,
    crash_probe::{
        self,
        MAX_NAME_CHARS, //
    },
    crash_watch::BrokenRequest,
    events::LogEvent,
    execution::RoutedExecution,
    part_watch::MIN_WRITING,
    server::Server,
    trials::{
        QuarantineTrial,
        Suspect, //
    },
};
use crate::members::CrashNotice;

impl Server {
    /// Reports that a request with the part was answered, unless that was reported just now or no
    /// such request is remembered.
    pub(super) fn report_answered(&self, part: ModelPart) {
        if let Some(sent_at) = self.part_watch.take_report(part, self.clock.now()) {
            // A full ring drops the notice; the next answer sends another one.
            let _ = self.crashes.push(CrashNotice::Answered(part, sent_at));
        }
    }
}

impl RoutedExecution {
    /// Records that the current replica broke the request off, and may have crashed because of it.
    pub(super) fn record_broken_off(&mut self) {
        let (Some(broken), Some(reservation)) = (self.broken_request(), &self.reservation) else {
            return;
        };
        let replica = &reservation.replica;
        crash_probe::record_broken_request(&self.server, replica, broken);
        self.crash_history.broken_off_by.push(replica.id.clone());
    }

    /// Returns the request as one that its current replica has just broken off; `None` if it has
    /// none.
    pub(super) fn broken_request(&self) -> Option<BrokenRequest> {
        let reservation = self.reservation.as_ref()?;
        Some(BrokenRequest {
            request: self.prepared.id().to_owned(),
            fingerprint: self.prepared.fingerprint(),
            parts: self.named_parts(),
            sent_at: reservation.made_at,
            broken_at: self.server.clock.now(),
            known: self.crash_history.known,
            broken_before: self.crash_history.broken_off_by.clone(),
        })
    }

    /// Returns the crashes that are known for the request's fingerprint.
    fn suspicion(&self) -> Option<Suspicion> {
        let view = self.server.view.load();
        // The fingerprint hashes the whole body; this is skipped while no request is suspected.
        if view.suspects.is_empty() {
            return None;
        }
        view.suspects.get(&self.prepared.fingerprint()).copied()
    }

    /// Returns the request's quarantine status by all crashes that this daemon knows of.
    pub(super) fn suspect_status(&self) -> SuspectStatus {
        let now = self.server.clock.now();
        let own = SuspectStatus::of(self.suspicion().as_ref(), now);
        self.part_limit()
            .map_or(own, |limit| own.stricter(limit.status))
    }

    /// Returns the limit that applies to the request because of a part of its prompt.
    fn part_limit(&self) -> Option<PartLimit> {
        let view = self.server.view.load();
        if view.suspect_parts.is_empty() {
            return None;
        }
        let parts = self.prepared.prompt_parts();
        view.suspect_parts.limit(parts, self.server.clock.now())
    }

    /// Returns the names and ids of the prompt's parts that other requests may share.
    fn named_parts(&self) -> Vec<(String, ModelPart)> {
        let names = self.prepared.part_names().iter().cloned();
        names
            .zip(self.prepared.prompt_parts().iter().copied())
            .collect()
    }

    /// Returns what the request would test if it ran now.
    fn suspects_on_trial(&self) -> Vec<Suspect> {
        let now = self.server.clock.now();
        let limit = self.part_limit().into_iter();
        let parts = limit.filter(|limit| limit.status == SuspectStatus::OnTrial);
        let mut suspects: Vec<Suspect> = parts.map(|limit| Suspect::Part(limit.part)).collect();
        if SuspectStatus::of(self.suspicion().as_ref(), now) == SuspectStatus::OnTrial {
            suspects.push(Suspect::Request(self.prepared.fingerprint()));
        }
        suspects
    }

    /// Returns the number of successive crashes that are known for the request's fingerprint.
    pub(super) fn known_crashes(&self) -> u32 {
        self.suspicion().map_or(0, |suspicion| suspicion.crashes)
    }

    /// Returns whether the request may be sent to a second upstream if the first one fails.
    ///
    /// A request that crashes every upstream would otherwise crash two of them.
    pub(super) fn may_run_on_second_upstream(&self) -> bool {
        matches!(
            self.suspect_status(),
            SuspectStatus::Trusted | SuspectStatus::Suspected
        )
    }

    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.suspect_status(), SuspectStatus::Quarantined { .. })
    }

    /// Returns whether the request may run now.
    ///
    /// After a quarantine, the request runs only as a trial, which this begins; returns `false` if
    /// another request tests the same at this daemon.
    pub(super) fn passes_quarantine(&mut self) -> bool {
        match self.suspect_status() {
            SuspectStatus::Trusted | SuspectStatus::Suspected | SuspectStatus::Doubtful => true,
            SuspectStatus::Quarantined { .. } => false,
            SuspectStatus::OnTrial => {
                self.trial = QuarantineTrial::begin(&self.server, self.suspects_on_trial());
                self.trial.is_some()
            }
        }
    }

    pub(super) fn refuse_quarantined(self) -> Response<RoutedBody> {
        match self.part_limit() {
            Some(limit) if limit.status != SuspectStatus::Doubtful => self.refuse_for_part(limit),
            _ => self.refuse_for_fingerprint(),
        }
    }

    fn refuse_for_part(self, limit: PartLimit) -> Response<RoutedBody> {
        let part = limit.part;
        let crashes = limit.suspicion.crashes;
        let named = self.named_parts().into_iter();
        let mut named = named.filter(|(_, named)| named.part == part);
        let name = named.next().map_or(String::new(), |(name, _)| name);
        self.server.log(&LogEvent::PartHeld {
            request: self.prepared.id().to_owned(),
            part,
            name: name.chars().take(MAX_NAME_CHARS).collect(),
            crashes,
            left_ms: self.caller_retry_after().as_millis(),
        });
        let why = format!(
            "{crashes} upstreams ended, one after the other, while they had requests with this \
             part of the prompt ({part})"
        );
        self.refuse(RoutedRefusal::PartQuarantined, &why)
    }

    fn refuse_for_fingerprint(self) -> Response<RoutedBody> {
        let crashes = self.known_crashes();
        let fingerprint = self.prepared.fingerprint();
        self.server.log(&LogEvent::RequestHeld {
            request: self.prepared.id().to_owned(),
            fingerprint,
            crashes,
            left_ms: self.caller_retry_after().as_millis(),
        });
        let why = format!(
            "{crashes} upstreams ended, one after the other, while they ran a request of this \
             team with this path and body ({fingerprint})"
        );
        self.refuse(RoutedRefusal::Quarantined, &why)
    }

    /// Records that the current replica goes on writing its answer; after some time this shows that
    /// the parts of the prompt crash no upstream.
    pub(super) fn record_writing(&mut self) {
        let writing_for = self
            .reservation
            .as_ref()
            .map(|reservation| reservation.writing_for());
        if !self.is_writing_proven && writing_for.is_some_and(|time| time >= MIN_WRITING) {
            self.record_parts_answered();
        }
    }

    /// Records that the parts of the prompt crash no upstream, by the current replica's answer.
    pub(super) fn record_parts_answered(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        self.is_writing_proven = true;
        let view = self.server.view.load();
        for part in self.prepared.prompt_parts() {
            self.server
                .part_watch
                .record_answered(*part, reservation.made_at);
            if view.suspect_parts.contains(part.part) {
                self.server.report_answered(*part);
            }
        }
    }

    /// Reports that the request succeeded, if it was suspected of several crashes.
    pub(super) fn report_cleared(&self) {
        let now = self.server.clock.now();
        match SuspectStatus::of(self.suspicion().as_ref(), now) {
            SuspectStatus::Trusted | SuspectStatus::Suspected => {}
            SuspectStatus::Doubtful
            | SuspectStatus::Quarantined { .. }
            | SuspectStatus::OnTrial => {
                let cleared = vec![(self.prepared.fingerprint(), Observation::Cleared)];
                // A full ring drops the notice; the next success sends another one.
                let _ = self.server.crashes.push(CrashNotice::Requests(cleared));
            }
        }
    }
}
