//! Which jobs an organisation sends beyond its rate.
//!
//! Load pattern: one organisation sends many times its usual. A weight is also a number of jobs a
//! second; what is sent beyond it waits behind what is sent within it.

use std::collections::BTreeSet;

use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;

use super::Weight;

/// Jobs that come early by up to this time are within the rate: those of one second may come at once.
const BURST: f64 = 1_000.0;

/// The jobs of each organisation in the order of their acceptance. Which of them are beyond the rate
/// follows from the stored times of acceptance alone, so each coordinator finds the same.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    orgs: Map<OrgId, Accepted>,
}

#[derive(Clone, Debug, Default)]
struct Accepted {
    jobs: BTreeSet<(Millis, JobId)>,
    /// Unix time at which the next job would come at the full rate, in milliseconds.
    next: f64,
    /// Whether a job was added out of order.
    disordered: bool,
}

impl Accepted {
    /// Whether a job that was accepted at `at`, no earlier than those before it, is beyond the rate.
    fn is_excess(&mut self, at: Millis, weight: Weight) -> bool {
        let at = at.0 as f64;
        let interval = 1_000.0 / weight.get();
        let next = self.next.max(at) + interval;
        if next - at > BURST.max(interval) {
            return true;
        }
        self.next = next;
        false
    }
}

impl Rates {
    /// Adds a job that was accepted at the Unix time `at`. Returns whether it is beyond the rate.
    pub fn add(&mut self, org: &OrgId, at: Millis, id: &JobId, weight: Option<Weight>) -> bool {
        if !self.orgs.contains_key(org) {
            self.orgs.insert(org.clone(), Accepted::default());
        }
        let Some(accepted) = self.orgs.get_mut(org) else {
            return false;
        };
        let last = accepted.jobs.last().map_or(Millis::ZERO, |(at, _)| *at);
        accepted.jobs.insert((at, id.clone()));
        if at < last {
            accepted.disordered = true;
            return false;
        }
        weight.is_some_and(|weight| accepted.is_excess(at, weight))
    }

    /// Removes a job that is no longer known.
    pub fn remove(&mut self, org: &OrgId, at: Millis, id: &JobId) {
        if let Some(accepted) = self.orgs.get_mut(org) {
            accepted.jobs.remove(&(at, id.clone()));
        }
    }

    /// Decides anew where jobs came out of order. Returns the jobs concerned, and whether each is
    /// beyond the rate.
    pub fn settle(&mut self, weight: impl Fn(&OrgId) -> Option<Weight>) -> Vec<(JobId, bool)> {
        let mut found = Vec::new();
        for (org, accepted) in self.orgs.iter_mut().filter(|(_, a)| a.disordered) {
            let weight = weight(org);
            accepted.disordered = false;
            accepted.next = 0.0;
            let jobs = std::mem::take(&mut accepted.jobs);
            for (at, id) in &jobs {
                let excess = weight.is_some_and(|weight| accepted.is_excess(*at, weight));
                found.push((id.clone(), excess));
            }
            accepted.jobs = jobs;
        }
        found
    }
}
