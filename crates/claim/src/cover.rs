//! What a member knows of the claims made in earlier views.
//!
//! A claim of the view before is held by both of its pair. Hence a member that has entered
//! the new view with the records and the promise of either one knows all claims of that
//! pair. Of a pair of which neither was heard, nothing is known: its ids are refused until
//! its authority has lapsed, and from then on those that may be older than that.

use std::collections::BTreeMap;

use base::Millis;
use base::RequestId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::home::created;
use crate::limits::Limits;
use crate::view::pair;
use crate::view::View;
use crate::view::ViewNumber;

/// Members whose records are lost together with a claim.
const PAIR: usize = 2;

/// For which ids a table is complete. The default is complete for all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Quality {
    /// Claims of ids created up to this time may be missing.
    pub cut: Millis,
    /// From this time on, missing claims are older than the retention time.
    pub clear: Millis,
}

impl Quality {
    fn admits(self, now: Millis, id: &RequestId) -> bool {
        now >= self.clear || created(id).is_some_and(|at| at > self.cut)
    }

    fn worst(self, other: Quality) -> Quality {
        Quality {
            cut: self.cut.max(other.cut),
            clear: self.clear.max(other.clear),
        }
    }
}

/// Knowledge of one member in its current view.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Cover {
    /// Whether this is the first view, before which there were no claims.
    first: bool,
    /// Members of the view before.
    past: Vec<VmId>,
    /// Members of the view before whose records and promise this member has.
    sources: BTreeMap<VmId, Quality>,
    /// When members that were not heard have lost their authority, and what is known then.
    lapse: Millis,
    lapsed: Quality,
}

impl Cover {
    /// Enters a view, knowing nothing yet of the one before.
    pub(crate) fn new(now: Millis, view: &View, limits: &Limits) -> Cover {
        let lapse = now + limits.lease + limits.skew;
        Cover {
            first: view.number == ViewNumber(1),
            past: view.past.first().cloned().unwrap_or_default(),
            sources: BTreeMap::new(),
            lapse,
            lapsed: Quality {
                cut: lapse + limits.skew,
                clear: lapse + limits.retention + limits.skew,
            },
        }
    }

    /// Adds the records and promise of a member of the view before.
    pub(crate) fn add(&mut self, vm: VmId, quality: Quality) {
        if self.past.contains(&vm) {
            self.sources.insert(vm, quality);
        }
    }

    /// Takes a member of the view before as ended for certain: its authority is over, but
    /// its records are lost.
    pub(crate) fn lapse_now(&mut self, now: Millis, limits: &Limits) {
        if now < self.lapse {
            self.lapse = now;
            self.lapsed.cut = now + limits.skew;
            self.lapsed.clear = now + limits.retention + limits.skew;
        }
    }

    /// Whether all claims of `id` made in earlier views are known.
    pub(crate) fn covers(&self, now: Millis, id: &RequestId) -> bool {
        if self.first {
            return true;
        }
        let (first, second) = pair(&self.past, id);
        let quality = |vm: Option<&VmId>| vm.and_then(|vm| self.sources.get(vm));
        let known = [quality(first), quality(second)];
        if known.iter().flatten().any(|q| q.admits(now, id)) {
            return true;
        }
        now >= self.lapse && self.lapsed.admits(now, id)
    }

    /// When `id` will be covered at the latest.
    pub(crate) fn until(&self, id: &RequestId) -> Millis {
        if created(id).is_some_and(|at| at > self.lapsed.cut) {
            return self.lapse;
        }
        self.lapsed.clear
    }

    /// For which ids the table is complete, or `None` if some pair is not accounted for.
    pub(crate) fn quality(&self, now: Millis) -> Option<Quality> {
        let sources = self.sources.values().copied();
        if self.is_complete() {
            return Some(sources.fold(Quality::default(), Quality::worst));
        }
        if now >= self.lapse {
            return Some(sources.fold(self.lapsed, Quality::worst));
        }
        None
    }

    /// Whether each pair of the view before has a member whose records are here.
    pub(crate) fn is_complete(&self) -> bool {
        let missing = self.past.len() - self.sources.len();
        self.first || missing < PAIR.min(self.past.len())
    }

    /// Members of the view before whose records are missing.
    pub(crate) fn missing(&self) -> Vec<VmId> {
        let is_missing = |vm: &&VmId| !self.sources.contains_key(*vm);
        self.past.iter().filter(is_missing).cloned().collect()
    }
}
