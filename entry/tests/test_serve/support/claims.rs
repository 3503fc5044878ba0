//! Three control daemons that decide about claims, in this process.

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
    reachable: usize,
}

/// The voters; entry daemons that share them share their claims.
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
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Lets only so many voters hear and answer.
    pub fn set_reachable(&self, reachable: usize) {
        self.shared.lock().unwrap().reachable = reachable;
    }

    /// Returns one entry daemon's way to the voters.
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

    fn ask(&self, to: &DaemonId, request: &ClaimRequest) -> Option<ClaimReply> {
        let mut shared = self.shared.lock().unwrap();
        let reachable = shared.reachable;
        let mut replicas = shared.replicas.iter_mut().take(reachable);
        let replica = replicas.find(|replica| replica.identity().daemon == *to)?;
        let handled = replica.handle(request, &voters(), Timestamp(0));
        replica.commit();
        Some(ClaimReply {
            question: request.question,
            voter: replica.identity().clone(),
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
