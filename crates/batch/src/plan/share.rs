//! Order of the waiting steps when the room is divided by weight.

use base::Map;
use base::OrgId;

use super::Pass;
use super::WaitingStep;
use crate::org::divide;
use crate::org::dominant;
use crate::org::Demand;
use crate::org::History;
use crate::scheduler::Scheduler;
use crate::spec::Resources;

/// The division of the room in one planning pass.
pub(super) struct Shares {
    capacity: Resources,
    /// The part of the capacity that each organisation may use before the others.
    by_org: Map<OrgId, f64>,
}

impl Scheduler {
    /// Divides the room between the organisations; `None` if no weights are configured or there is
    /// room for all that waits. `wanted` is what waits of each organisation.
    pub(super) fn shares(&mut self, pass: &Pass, wanted: &Map<OrgId, Resources>) -> Option<Shares> {
        if !self.catalog.has_weights() {
            return None;
        }
        let mut capacity = Resources::default();
        let usable = pass.candidates.iter().filter(|c| !c.paused);
        usable.for_each(|c| capacity += c.capacity);
        let mut orgs: Vec<&OrgId> = Vec::new();
        let mut demands: Vec<Demand> = Vec::new();
        for org in &self.catalog.orgs {
            let used = self.ledger.used(&org.name);
            let part = dominant(&used, &capacity);
            match self.history.get_mut(&org.name) {
                Some(history) => history.update(part, pass.now),
                None => drop(
                    self.history
                        .insert(org.name.clone(), History::new(part, pass.now)),
                ),
            }
            let Some(weight) = org.weight else {
                continue;
            };
            let mut sum = used;
            sum += wanted.get(&org.name).copied().unwrap_or_default();
            orgs.push(&org.name);
            demands.push(Demand {
                wanted: org.limit.clamp(&sum),
                weight,
            });
        }
        let shares = divide(&demands, &capacity)?;
        let by_org: Map<OrgId, f64> = orgs.into_iter().cloned().zip(shares).collect();
        for (org, share) in &by_org {
            self.waits.entry(org.clone()).or_default().share = Some(*share);
        }
        Some(Shares { capacity, by_org })
    }

    /// Number of tasks of a step that may start before the steps of other organisations; `None` if
    /// its organisation has no share, and zero if it has used its share up.
    pub(super) fn share_left(&self, shares: &Shares, at: &WaitingStep) -> Option<usize> {
        if at.guaranteed {
            return None;
        }
        let job = self.jobs.get(&at.job)?;
        let org = job.submitted.org.as_ref()?;
        let share = *shares.by_org.get(org)?;
        let used = dominant(&self.ledger.used(org), &shares.capacity);
        let history = self.history.get(org)?;
        match history.expected(used) >= share {
            true => Some(0),
            false => None,
        }
    }
}
