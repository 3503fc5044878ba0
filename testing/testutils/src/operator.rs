//! An operator over HTTP, who asks one control daemon after the other.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cicadabend::{
    fleet::FleetConfig,
    operator_api::{
        AcceptedConfig,
        ConfirmReply,
        ConfirmRequest,
        FleetStatus,
        PATH_CONFIG,
        PATH_CONFIRM,
        PATH_PLANS,
        PATH_STATUS,
        Plan,
        PlanRequest, //
    },
    prelude::*,
};
use http::Method;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    client::{
        self,
        Answer, //
    },
    deployment::STEP_LIMIT,
    wait::eventually, //
};

/// After this long without an answer the operator asks the next control daemon.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// An operator with a token.
#[derive(Clone, Debug)]
pub struct Operator {
    controls: Vec<SocketAddr>,
    authorization: String,
}

impl Operator {
    /// Returns an operator that asks these control daemons in turn.
    pub fn new(controls: Vec<SocketAddr>, token: &str) -> Self {
        Self {
            controls,
            authorization: format!("Bearer {token}"),
        }
    }

    /// Sends an intent until a leader makes a plan of it.
    ///
    /// # Panics
    ///
    /// Panics if none does within [`STEP_LIMIT`].
    pub fn plan(&self, config: FleetConfig) -> Plan {
        let request = PlanRequest {
            config,
            operator: "tester".to_owned(),
            reason: "test".to_owned(),
        };
        self.post_until_answered(PATH_PLANS, &request)
    }

    /// Confirms a plan, resending with the same key until there is an answer.
    ///
    /// # Panics
    ///
    /// Panics if there is none within [`STEP_LIMIT`].
    pub fn confirm(&self, plan: PlanId, key: &str) -> ConfirmReply {
        let request = ConfirmRequest {
            plan,
            idempotency_key: key.parse().expect("a key"),
        };
        self.post_until_answered(PATH_CONFIRM, &request)
    }

    /// Plans and confirms a configuration, and returns the revision that accepts it.
    ///
    /// # Panics
    ///
    /// Panics with the answer if the confirmation is refused.
    pub fn accept(&self, config: FleetConfig, key: &str) -> Revision {
        let plan = self.plan(config);
        match self.confirm(plan.id, key) {
            ConfirmReply::Accepted { revision } => revision,
            refused => panic!("refused: {refused:?}"),
        }
    }

    /// Returns the fleet's status if a leader answers.
    pub fn status(&self) -> Option<FleetStatus> {
        self.get(PATH_STATUS)
    }

    /// Returns the accepted configuration if a leader answers.
    pub fn config(&self) -> Option<AcceptedConfig> {
        self.get(PATH_CONFIG)
    }

    /// Sends one request to one control daemon after the other.
    ///
    /// Returns the first successful answer.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let answers = self.controls.iter().filter_map(|control| {
            let answer = self.send(*control, Method::GET, path, String::new())?;
            parse(&answer)
        });
        let mut answers = answers;
        answers.next()
    }

    fn post_until_answered<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> T {
        let body = serde_json::to_string(body).expect("JSON");
        let mut last = String::new();
        let what = format!("an answer to {path}");
        eventually(&what, STEP_LIMIT, || {
            self.controls.iter().find_map(|control| {
                let answer = self.send(*control, Method::POST, path, body.clone())?;
                last = answer.text();
                parse(&answer)
            })
        })
    }

    fn send(
        &self,
        control: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> Option<Answer> {
        let headers = [
            ("authorization", self.authorization.as_str()),
            ("content-type", "application/json"),
        ];
        client::send_within(ANSWER_LIMIT, control, method, path, &headers, body).ok()
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    serde_json::from_slice(&answer.body).ok()
}
