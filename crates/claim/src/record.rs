//! What is recorded of a request id, and how two records of one id are merged.

use base::Outcome;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::body::Body;

/// Names one send of a request: the entry VM that holds the caller's connection and its
/// count of sends.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SendKey {
    /// The entry VM.
    pub entry: VmId,
    /// Its number of the send.
    pub nonce: u64,
}

/// The outcome of a request and, if kept, its answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Answer {
    /// What became of the request.
    pub outcome: Outcome,
    /// The answer; `None` if there was none, or if it was too large to keep.
    pub body: Option<Body>,
}

/// How far a claimed request got.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// It may have been dispatched; the outcome is not known.
    Claimed,
    /// Its outcome is known.
    Done(Answer),
}

/// The record of one request id.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The send that made the claim.
    pub send: SendKey,
    /// The caller's number of that send, from 1; zero if the caller did not state it.
    pub attempt: u32,
    /// How far it got.
    pub state: State,
}

impl Record {
    /// A claim without an outcome.
    pub fn claimed(send: SendKey, attempt: u32) -> Record {
        Record {
            send,
            attempt,
            state: State::Claimed,
        }
    }

    /// The recorded outcome.
    pub fn outcome(&self) -> Option<Outcome> {
        match &self.state {
            State::Claimed => None,
            State::Done(answer) => Some(answer.outcome),
        }
    }

    /// Whether the request ran or may have run, as told by its dispatcher.
    pub fn ran(&self) -> bool {
        matches!(self.outcome(), Some(Outcome::Ran | Outcome::Unknown))
    }

    /// Whether a send numbered `attempt` may claim the id anew: this record says that no
    /// send up to its own ran or will run, and the new send is known to be later.
    pub fn admits(&self, attempt: u32) -> bool {
        self.outcome() == Some(Outcome::NotRun) && self.attempt > 0 && attempt > self.attempt
    }

    /// Whether the claim `other` of the same id may be made beside this record.
    pub fn takes(&self, other: &Record) -> bool {
        self.send == other.send || self.admits(other.attempt)
    }

    /// Merges two records of one id. Whenever either may stand for a dispatch, so does the
    /// result.
    pub fn merge(self, other: Record) -> Record {
        if self.send == other.send {
            return if self.state == State::Claimed {
                other
            } else {
                self
            };
        }
        if self.admits(other.attempt) {
            return other;
        }
        if other.admits(self.attempt) {
            return self;
        }
        match (self.outcome(), other.outcome()) {
            (Some(Outcome::Ran), _) => self,
            (_, Some(Outcome::Ran)) => other,
            (Some(Outcome::NotRun), Some(Outcome::NotRun)) => self,
            _ => self.contested(),
        }
    }

    /// Two sends claimed the id, each unaware of the other. Neither is granted any more, and
    /// nothing is said of whether one ran.
    fn contested(self) -> Record {
        let outcome = Outcome::Unknown;
        let body = None;
        Record {
            state: State::Done(Answer { outcome, body }),
            ..self
        }
    }
}
