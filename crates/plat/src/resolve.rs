//! Conditional writes whose lost answers are resolved by reading back.

use base::Revision;
use bytes::Bytes;
use obs::emit;
use obs::Event;

use crate::error::StoreError;
use crate::store::Store;
use crate::types::Entry;
use crate::types::Expect;
use crate::types::LeaseId;
use crate::types::Put;

/// Most earlier revisions of a key that are read to find a write.
const MAX_STEPS: usize = 8;

/// What reading back shows of a write.
enum Finding {
    Applied(Revision),
    Overtaken(Option<Entry>),
    Unchanged,
    Unknown,
}

impl Store {
    /// Writes a key if it is as expected, and finds out what became of the write if its
    /// answer is lost.
    ///
    /// `value` must differ from every other value ever written to the key: it carries an
    /// operation id. A write that is still missing is sent once more; the expectation keeps
    /// the two copies from both taking effect. Without an expectation (`Expect::Any`) nothing
    /// does, so it is not sent again. A key that is created and deleted in between, for example
    /// by its lease, counts as never created. Still [`StoreError::Lost`] if the store does not answer
    /// or has compacted the revisions in question.
    pub async fn put_resolved(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Put, StoreError> {
        let first = self.put_if(key, expect, value.clone(), lease).await;
        let lost = match first {
            Err(error) if error.may_apply() => error,
            other => return other,
        };
        emit(&self.inner.log, Event::StoreAnswerLost, key);
        match self.find(key, expect, &value).await {
            Ok(Finding::Applied(revision)) => Ok(Put::Done(revision)),
            Ok(Finding::Overtaken(entry)) => Ok(Put::Conflict(entry)),
            Ok(Finding::Unchanged) => self.put_again(key, expect, value, lease, lost).await,
            Ok(Finding::Unknown) | Err(_) => Err(lost),
        }
    }

    async fn put_again(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<LeaseId>,
        lost: StoreError,
    ) -> Result<Put, StoreError> {
        match self.put_if(key, expect, value.clone(), lease).await {
            Ok(Put::Done(revision)) => Ok(Put::Done(revision)),
            Ok(Put::Conflict(_)) => match self.find(key, expect, &value).await {
                Ok(Finding::Applied(revision)) => Ok(Put::Done(revision)),
                Ok(Finding::Overtaken(entry)) => Ok(Put::Conflict(entry)),
                Ok(Finding::Unchanged | Finding::Unknown) | Err(_) => Err(lost),
            },
            Err(_) => Err(lost),
        }
    }

    /// Looks for a value among the revisions of a key since the expected one.
    async fn find(&self, key: &str, expect: Expect, value: &Bytes) -> Result<Finding, StoreError> {
        let current = self.get(key).await?;
        let mut entry = current.clone();
        for _ in 0..MAX_STEPS {
            let Some(found) = entry else {
                return Ok(absent(expect, current));
            };
            if found.value == *value {
                return Ok(Finding::Applied(found.revision));
            }
            if expect == Expect::Any {
                return Ok(Finding::Unknown);
            }
            if expect == Expect::At(found.revision) {
                return Ok(unchanged(current, found.revision));
            }
            entry = self.get_at(key, Revision(found.revision.0 - 1)).await?;
        }
        Ok(Finding::Unknown)
    }
}

/// The key does not exist at the revision looked at.
fn absent(expect: Expect, current: Option<Entry>) -> Finding {
    match (expect, current) {
        (Expect::Absent, None) => Finding::Unchanged,
        (Expect::Absent, Some(entry)) => Finding::Overtaken(Some(entry)),
        _ => Finding::Unknown,
    }
}

fn unchanged(current: Option<Entry>, expected: Revision) -> Finding {
    match current {
        Some(entry) if entry.revision == expected => Finding::Unchanged,
        other => Finding::Overtaken(other),
    }
}
