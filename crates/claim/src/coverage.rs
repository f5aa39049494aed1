//! Tracks whether a member of a view knows all claims made in earlier views.
//!
//! Both holders of a claim in the previous view have a record of it. A member that received the
//! records and the promise of one holder therefore knows all claims of that pair of holders. If
//! neither holder could be asked, nothing is known of their claims: their ids are refused until
//! the authority of the previous view has ended, and after that as long as the id may be older
//! than the end of that authority.

use std::collections::BTreeMap;

use base::Millis;
use base::RequestId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::home::creation_time;
use crate::limits::Limits;
use crate::view::holders;
use crate::view::View;
use crate::view::ViewNumber;

/// Number of holders of a claim, all of which have to be missing for the claim to be lost.
const COPIES_PER_CLAIM: usize = 2;

/// Range of request ids whose claims a table is known to contain. The default is all ids.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Completeness {
    /// Claims of ids created up to this time may be missing.
    pub cut: Millis,
    /// From this time on, any missing claim is older than the retention period.
    pub clear: Millis,
}

impl Completeness {
    fn is_complete_for(self, now: Millis, id: &RequestId) -> bool {
        now >= self.clear || creation_time(id).is_some_and(|at| at > self.cut)
    }

    fn weakest(self, other: Completeness) -> Completeness {
        Completeness {
            cut: self.cut.max(other.cut),
            clear: self.clear.max(other.clear),
        }
    }
}

/// What one member knows of the claims made before its current view.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Coverage {
    /// Whether the current view is the first, so that there are no earlier claims.
    is_first: bool,
    /// Members of the previous view.
    old_members: Vec<VmId>,
    /// Members of the previous view whose records and promise were received.
    received: BTreeMap<VmId, Completeness>,
    /// When the authority of members that did not answer ends.
    authority_end: Millis,
    /// What is known from `authority_end` on of the claims of members that did not answer.
    fallback: Completeness,
}

impl Coverage {
    /// Starts a view without any records of the previous one.
    pub(crate) fn new(now: Millis, view: &View, limits: &Limits) -> Coverage {
        let authority_end = now + limits.lease + limits.max_skew;
        Coverage {
            is_first: view.number == ViewNumber(1),
            old_members: view.past.first().cloned().unwrap_or_default(),
            received: BTreeMap::new(),
            authority_end,
            fallback: Completeness {
                cut: authority_end + limits.max_skew,
                clear: authority_end + limits.retention + limits.max_skew,
            },
        }
    }

    /// Adds a member of the previous view whose records and promise were received.
    pub(crate) fn add(&mut self, vm: VmId, completeness: Completeness) {
        if self.old_members.contains(&vm) {
            self.received.insert(vm, completeness);
        }
    }

    /// Ends the wait for the members of the previous view, which are confirmed to have terminated:
    /// they have no authority any more, but their records are lost.
    pub(crate) fn expire_now(&mut self, now: Millis, limits: &Limits) {
        if now < self.authority_end {
            self.authority_end = now;
            self.fallback.cut = now + limits.max_skew;
            self.fallback.clear = now + limits.retention + limits.max_skew;
        }
    }

    /// Whether all claims of `id` made in earlier views are known.
    pub(crate) fn covers(&self, now: Millis, id: &RequestId) -> bool {
        if self.is_first {
            return true;
        }
        let (first, second) = holders(&self.old_members, id);
        let completeness = |vm: Option<&VmId>| vm.and_then(|vm| self.received.get(vm));
        let known = [completeness(first), completeness(second)];
        if known.iter().flatten().any(|q| q.is_complete_for(now, id)) {
            return true;
        }
        now >= self.authority_end && self.fallback.is_complete_for(now, id)
    }

    /// Time from which `id` is covered at the latest.
    pub(crate) fn covered_at(&self, id: &RequestId) -> Millis {
        if creation_time(id).is_some_and(|at| at > self.fallback.cut) {
            return self.authority_end;
        }
        self.fallback.clear
    }

    /// The ids for which the table is complete; `None` if the claims of a pair of holders are
    /// missing and their authority may not have ended.
    pub(crate) fn completeness(&self, now: Millis) -> Option<Completeness> {
        let received = self.received.values().copied();
        if self.is_complete() {
            return Some(received.fold(Completeness::default(), Completeness::weakest));
        }
        if now >= self.authority_end {
            return Some(received.fold(self.fallback, Completeness::weakest));
        }
        None
    }

    /// Whether records were received from at least one holder of each pair of the previous view.
    pub(crate) fn is_complete(&self) -> bool {
        let missing = self.old_members.len() - self.received.len();
        self.is_first || missing < COPIES_PER_CLAIM.min(self.old_members.len())
    }

    /// Members of the previous view whose records were not received.
    pub(crate) fn missing(&self) -> Vec<VmId> {
        let is_missing = |vm: &&VmId| !self.received.contains_key(*vm);
        self.old_members
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }
}
