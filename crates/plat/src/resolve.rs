//! Conditional writes that read the key back if their outcome is unknown.

use base::Revision;
use bytes::Bytes;
use obs::emit;
use obs::Event;

use crate::error::StoreError;
use crate::store::Store;
use crate::types::Entry;
use crate::types::Expect;
use crate::types::LeaseId;
use crate::types::WriteOutcome;

/// Number of revisions of a key that are read at most to find a write.
const MAX_REVISIONS_READ: usize = 8;

/// State of a write whose response was lost, found by reading the key back.
enum WriteState {
    /// The write took effect at this revision.
    Applied(Revision),
    /// Another write came first, so this one can no longer take effect; the present entry.
    Superseded(Option<Entry>),
    /// The key is as the write expects it. The write may still take effect.
    Pending,
    /// The revisions that were read do not show whether the write took effect.
    Unknown,
}

impl Store {
    /// Writes a key if it is as expected. If the response is lost, reads the key back to find out
    /// whether the write took effect.
    ///
    /// `value` must differ from every other value ever written to the key, for example by an
    /// operation id in it. A write that has not taken effect is sent once more; the expectation
    /// prevents both copies from taking effect. With [`Expect::Any`] nothing would prevent that, so
    /// the write is not sent again. A key that was created and deleted in the meantime, for example
    /// by the end of its lease, is regarded as never created.
    ///
    /// Fails with [`StoreError::OutcomeUnknown`] if that cannot be found out because the store does
    /// not respond or has compacted the revisions in question.
    pub async fn put_resolved(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, StoreError> {
        let first = self.put_if(key, expect, value.clone(), lease).await;
        let lost = match first {
            Err(error) if error.may_have_applied() => error,
            other => return other,
        };
        emit(&self.inner.log, Event::StoreAnswerLost, key);
        match self.find_write(key, expect, &value).await {
            Ok(WriteState::Applied(revision)) => Ok(WriteOutcome::Done(revision)),
            Ok(WriteState::Superseded(entry)) => Ok(WriteOutcome::Conflict(entry)),
            Ok(WriteState::Pending) => self.retry_put(key, expect, value, lease, lost).await,
            Ok(WriteState::Unknown) | Err(_) => Err(lost),
        }
    }

    /// Sends a pending write a second time.
    async fn retry_put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
        lost: StoreError,
    ) -> Result<WriteOutcome, StoreError> {
        match self.put_if(key, expect, value.clone(), lease).await {
            Ok(WriteOutcome::Done(revision)) => Ok(WriteOutcome::Done(revision)),
            Ok(WriteOutcome::Conflict(_)) => match self.find_write(key, expect, &value).await {
                Ok(WriteState::Applied(revision)) => Ok(WriteOutcome::Done(revision)),
                Ok(WriteState::Superseded(entry)) => Ok(WriteOutcome::Conflict(entry)),
                Ok(WriteState::Pending | WriteState::Unknown) | Err(_) => Err(lost),
            },
            Err(_) => Err(lost),
        }
    }

    /// Looks for a value among the revisions of a key, from the last back to the expected one.
    async fn find_write(
        &self,
        key: &str,
        expect: Expect,
        value: &Bytes,
    ) -> Result<WriteState, StoreError> {
        let current = self.get(key).await?;
        let mut entry = current.clone();
        for _ in 0..MAX_REVISIONS_READ {
            let Some(found) = entry else {
                return Ok(state_if_absent(expect, current));
            };
            if found.value == *value {
                return Ok(WriteState::Applied(found.revision));
            }
            if expect == Expect::Any {
                return Ok(WriteState::Unknown);
            }
            if expect == Expect::At(found.revision) {
                return Ok(state_if_unwritten(current, found.revision));
            }
            entry = self.get_at(key, Revision(found.revision.0 - 1)).await?;
        }
        Ok(WriteState::Unknown)
    }
}

/// State of a write that was not found before reaching a revision at which the key is absent.
fn state_if_absent(expect: Expect, current: Option<Entry>) -> WriteState {
    match (expect, current) {
        (Expect::Absent, None) => WriteState::Pending,
        (Expect::Absent, Some(entry)) => WriteState::Superseded(Some(entry)),
        _ => WriteState::Unknown,
    }
}

/// State of a write that was not found in any revision after the expected one.
fn state_if_unwritten(current: Option<Entry>, expected: Revision) -> WriteState {
    match current {
        Some(entry) if entry.revision == expected => WriteState::Pending,
        other => WriteState::Superseded(other),
    }
}
