//! Whether an answer is the whole answer to its own request.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::schedule::{
    ModelAsk,
    Planned, //
};

/// What is wrong with an answer.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// a token of another request
    OtherRequest,
    /// a token that answers another prompt
    OtherPrompt,
    /// a token out of its place, twice or missing
    WrongPosition,
    /// tokens of two generations
    TwoGenerations,
    /// it ends before its last token, yet claims to be whole
    Truncated,
    /// it cannot be understood
    Malformed,
}

/// Checks the tokens of one answer as they come.
#[derive(Clone, Debug)]
pub struct AnswerCheck<'a> {
    planned: &'a Planned,
    ask: &'a ModelAsk,
    next: u64,
    attempt_id: Option<String>,
    generation: Option<String>,
    fault: Option<AnswerFault>,
}

impl<'a> AnswerCheck<'a> {
    /// Starts with the first token.
    pub fn new(planned: &'a Planned, ask: &'a ModelAsk) -> Self {
        Self {
            planned,
            ask,
            next: 0,
            attempt_id: None,
            generation: None,
            fault: None,
        }
    }

    /// Returns how many tokens came.
    pub fn tokens(&self) -> u64 {
        self.next
    }

    /// Checks the id of the generation that a part of the answer carries.
    pub fn generation(&mut self, generation: &str) {
        match &self.generation {
            None => self.generation = Some(generation.to_owned()),
            Some(first) if first != generation => self.fault(AnswerFault::TwoGenerations),
            Some(_) => {}
        }
    }

    /// Checks the position that a part of the answer carries beside its text.
    pub fn position(&mut self, position: u64) {
        if position != self.next {
            self.fault(AnswerFault::WrongPosition);
        }
    }

    /// Checks text: whole tokens, separated by spaces.
    pub fn text(&mut self, text: &str) {
        for token in text.split_whitespace() {
            self.token(token);
        }
    }

    /// Notes a part that cannot be understood.
    pub fn malformed(&mut self) {
        self.fault(AnswerFault::Malformed);
    }

    /// Ends the check of an answer that claims to be whole.
    pub fn end(mut self) -> Option<AnswerFault> {
        if self.next < self.ask.output_tokens {
            self.fault(AnswerFault::Truncated);
        }
        self.fault
    }

    /// Returns the first fault so far.
    pub fn first_fault(&self) -> Option<AnswerFault> {
        self.fault
    }

    fn token(&mut self, token: &str) {
        let mut parts = token.split('~');
        let parts = (parts.next(), parts.next(), parts.next(), parts.next());
        let (Some(request), Some(check), Some(position), None) = parts else {
            return self.fault(AnswerFault::Malformed);
        };
        // A resend may get the answer to an earlier attempt of the same request.
        let same = self.attempt_id.as_deref().is_none_or(|id| id == request);
        if !same || !self.planned.owns_attempt(request) {
            self.fault(AnswerFault::OtherRequest);
        } else if u32::from_str_radix(check, 16) != Ok(self.ask.prompt_check) {
            self.fault(AnswerFault::OtherPrompt);
        } else if position.parse() != Ok(self.next) || self.next >= self.ask.output_tokens {
            self.fault(AnswerFault::WrongPosition);
        }
        if self.attempt_id.is_none() {
            self.attempt_id = Some(request.to_owned());
        }
        self.next += 1;
    }

    fn fault(&mut self, fault: AnswerFault) {
        self.fault.get_or_insert(fault);
    }
}
