//! Why a store call has no result.

use base::Millis;
use quick_error::quick_error;

quick_error! {
    /// Why a store call has no result. Each tells when it makes sense to come back.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The call may have taken effect, now or later.
        Lost(text: String, after: Millis) {
            display("the store's answer was lost: {text}; try again in {after}")
        }
        /// The call was not sent; it certainly did not take effect.
        NotSent(text: String, after: Millis) {
            display("the store call was not sent: {text}; try again in {after}")
        }
        /// The store refused the call; it did not take effect.
        Refused(text: String, after: Millis) {
            display("the store refused the call: {text}; try again in {after}")
        }
    }
}

impl StoreError {
    /// When to try again, from now on.
    pub fn after(&self) -> Millis {
        match self {
            StoreError::Lost(_, after)
            | StoreError::NotSent(_, after)
            | StoreError::Refused(_, after) => *after,
        }
    }

    /// Whether the call may have taken effect.
    pub fn may_apply(&self) -> bool {
        matches!(self, StoreError::Lost(..))
    }
}

quick_error! {
    /// An invariant of a policy that does not hold.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Violation {
        /// Tokens of the budget and its rate.
        Bucket(tokens: i64, rate: i64) {
            display("{tokens} tokens at a rate of {rate}")
        }
        /// A health state and what contradicts it.
        Health(text: String) {
            display("{text}")
        }
    }
}
