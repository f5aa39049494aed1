//! Records of request ids, and how two records of the same id are merged.

use base::Outcome;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::body::Body;

/// Identifies one send of a request: the entry VM that holds the caller's connection, and that
/// VM's number of the send.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SendKey {
    /// The entry VM that received the send.
    pub entry: VmId,
    /// Number of the send, unique within the entry VM.
    pub nonce: u64,
}

/// The outcome of a request and, if kept, the answer body.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Answer {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The answer body; `None` if there was none or if it was too large to keep.
    pub body: Option<Body>,
}

/// State of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// The request may have been dispatched; the outcome is not known.
    Claimed,
    /// The outcome is known.
    Done(Answer),
}

/// The record of one request id.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The send that holds the claim.
    pub send: SendKey,
    /// The caller's number of that send, from 1; zero if not stated.
    pub attempt: u32,
    /// State of the claim.
    pub state: State,
}

impl Record {
    /// A new claim without an outcome.
    pub fn claimed(send: SendKey, attempt: u32) -> Record {
        Record {
            send,
            attempt,
            state: State::Claimed,
        }
    }

    /// The recorded outcome; `None` if it is not known yet.
    pub fn outcome(&self) -> Option<Outcome> {
        match &self.state {
            State::Claimed => None,
            State::Done(answer) => Some(answer.outcome),
        }
    }

    /// Whether the recorded outcome says that the request ran or may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self.outcome(), Some(Outcome::Ran | Outcome::Unknown))
    }

    /// Whether a send numbered `attempt` may claim the id again: this record shows that no send up
    /// to its own ran or will run, and the new send is known to be later.
    pub fn allows_attempt(&self, attempt: u32) -> bool {
        self.outcome() == Some(Outcome::NotRun) && self.attempt > 0 && attempt > self.attempt
    }

    /// Whether the claim `other` of the same id may replace this record.
    pub fn allows_claim(&self, other: &Record) -> bool {
        self.send == other.send || self.allows_attempt(other.attempt)
    }

    /// Merges two records of the same id. If either may represent a dispatch, so does the result.
    pub fn merge(self, other: Record) -> Record {
        if self.send == other.send {
            return if self.state == State::Claimed {
                other
            } else {
                self
            };
        }
        if self.allows_attempt(other.attempt) {
            return other;
        }
        if other.allows_attempt(self.attempt) {
            return self;
        }
        match (self.outcome(), other.outcome()) {
            (Some(Outcome::Ran), _) => self,
            (_, Some(Outcome::Ran)) => other,
            (Some(Outcome::NotRun), Some(Outcome::NotRun)) => self,
            _ => self.contested(),
        }
    }

    /// The result for two sends that claimed the id without knowing of each other: neither is
    /// granted from now on, and whether one ran is unknown.
    fn contested(self) -> Record {
        let outcome = Outcome::Unknown;
        let body = None;
        Record {
            state: State::Done(Answer { outcome, body }),
            ..self
        }
    }
}
