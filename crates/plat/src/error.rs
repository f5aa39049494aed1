//! Errors of the store client.

use base::Millis;
use quick_error::quick_error;

quick_error! {
    /// Why a store call failed. Each variant holds the time to wait before the next attempt.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// No usable response was received. The call may have taken effect or may still do so.
        OutcomeUnknown(text: String, after: Millis) {
            display("the store's answer was lost: {text}; try again in {after}")
        }
        /// The call was not sent and did not take effect.
        NotSent(text: String, after: Millis) {
            display("the store call was not sent: {text}; try again in {after}")
        }
        /// The store refused the call, which did not take effect.
        Refused(text: String, after: Millis) {
            display("the store refused the call: {text}; try again in {after}")
        }
    }
}

impl StoreError {
    /// Time to wait before the next attempt.
    pub fn retry_after(&self) -> Millis {
        match self {
            StoreError::OutcomeUnknown(_, after)
            | StoreError::NotSent(_, after)
            | StoreError::Refused(_, after) => *after,
        }
    }

    /// Whether the call may have taken effect or may still do so.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, StoreError::OutcomeUnknown(..))
    }
}

quick_error! {
    /// A broken invariant, found by a self-check.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// The number of tokens of the call budget is out of bounds.
        Bucket(tokens: i64, rate: i64) {
            display("{tokens} tokens in the call budget, but the bounds are -{rate} and {rate}")
        }
        /// The health state contradicts the counts of results; the text describes both.
        Health(text: String) {
            display("{text}")
        }
    }
}
