//! Three control daemons that vote on claims, simulated in this process.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use cicadabend::{
    claims::{
        ClaimReplica,
        ReplicaBounds, //
    },
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimReply,
        ClaimRequest,
        VoterSet, //
    },
    prelude::*,
};
use cicadabend_daemon::ring;
use cicadabend_entry::serve::ClaimLink;

const BOUNDS: ReplicaBounds = ReplicaBounds {
    retention: Duration::from_secs(3_600),
    max_keys: 1_000,
    max_body_bytes: 100_000,
    max_total_body_bytes: 1_000_000,
};

struct Shared {
    replicas: Vec<ClaimReplica>,
    /// Number of voters that can be reached.
    reachable: usize,
    /// Number of voters that can be reached after the first claim request.
    reachable_after_claim: Option<usize>,
    /// Number of messages with an outcome that are still to be lost.
    outcomes_to_lose: usize,
}

/// The voters; entry daemons with the same voters know the same claims.
#[derive(Clone)]
pub struct ClaimVoters {
    shared: Arc<Mutex<Shared>>,
}

impl ClaimVoters {
    pub fn start() -> Self {
        let replicas = voters().voters.into_iter();
        let replicas = replicas.map(|voter| {
            ClaimReplica::recover(voter, BOUNDS, Vec::new(), Timestamp(0)) //
        });
        let shared = Shared {
            replicas: replicas.collect(),
            reachable: 3,
            reachable_after_claim: None,
            outcomes_to_lose: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Makes all voters but the first `reachable` ones unreachable.
    pub fn set_reachable(&self, reachable: usize) {
        self.shared.lock().unwrap().reachable = reachable;
    }

    /// Lets the first claim request reach all voters, but the replies of only `reachable` arrive;
    /// afterwards only that many can be reached.
    pub fn cut_at_first_claim(&self, reachable: usize) {
        self.shared.lock().unwrap().reachable_after_claim = Some(reachable);
    }

    /// Loses the next `count` messages with an outcome.
    pub fn lose_outcomes(&self, count: usize) {
        self.shared.lock().unwrap().outcomes_to_lose = count;
    }

    /// Returns one entry daemon's link to the voters.
    pub fn link(&self) -> ClaimLink {
        let (answers, replies) = ring::bounded("claim-replies", 1_024);
        let voters = self.clone();
        ClaimLink {
            send: Box::new(move |to, request| {
                if let Some(reply) = voters.ask(to, &request) {
                    assert!(answers.push(reply).is_ok());
                }
            }),
            replies,
            control_daemons: (1..=3).map(daemon).collect(),
        }
    }

    /// Delivers a request to a voter; returns its reply, or `None` if one of both is lost.
    fn ask(&self, to: &DaemonId, request: &ClaimRequest) -> Option<ClaimReply> {
        let mut shared = self.shared.lock().unwrap();
        let is_outcome = matches!(request.action, ClaimAction::Complete { .. });
        if is_outcome && shared.outcomes_to_lose > 0 {
            shared.outcomes_to_lose -= 1;
            return None;
        }
        let reachable = shared.reachable;
        let mut replicas = shared.replicas.iter_mut().take(reachable);
        let index = replicas.position(|replica| replica.identity().daemon == *to)?;
        let replica = &mut shared.replicas[index];
        let handled = replica.handle(request, &voters(), Timestamp(0));
        replica.commit();
        let voter = replica.identity().clone();
        let is_claim = matches!(request.action, ClaimAction::Acquire { .. });
        if let Some(cut) = shared.reachable_after_claim.filter(|_| is_claim) {
            if index == 2 {
                // The voters get the claim request in order, so this is the last one.
                shared.reachable = cut;
                shared.reachable_after_claim = None;
            }
            if index >= cut {
                return None;
            }
        }
        Some(ClaimReply {
            question: request.question,
            voter,
            verdict: handled.verdict,
        })
    }
}

fn daemon(number: u64) -> DaemonId {
    format!("control-{number}").parse().unwrap()
}

fn voters() -> VoterSet {
    VoterSet {
        number: 1,
        voters: (1..=3)
            .map(|number| Voter {
                daemon: daemon(number),
                disk: number,
            })
            .collect(),
    }
}
