//! Which VMs should keep the claims of a home domain, and which VM proposes them.

use base::rank;
use base::DomainId;
use base::Millis;
use base::VmId;
use claim::View;

use crate::machine::Members;
use crate::state::ViewRecord;

/// Members that a view should have at least.
const WANTED: usize = 2;

/// Members of a view at most.
const MOST: usize = 16;

/// Changes within the recent time that do not lengthen the gap.
const FREE_CHANGES: usize = 4;

/// Doublings of the gap at most.
const MOST_DOUBLINGS: usize = 6;

impl Members {
    /// The members that the view of `domain` should have, as far as this VM can tell.
    pub(crate) fn desired(&self, now: Millis, domain: &DomainId) -> Vec<VmId> {
        let known = &self.views[domain];
        let current = known.record.as_ref().map(|r| r.view.members.clone());
        let current = current.unwrap_or_default();
        let stays = |vm: &VmId| self.stays(now, vm);
        let mut chosen: Vec<VmId> = current.iter().filter(|vm| stays(vm)).cloned().collect();
        let mut near = self.available(|d| d == domain);
        near.retain(|vm| !chosen.contains(vm));
        let room = MOST.saturating_sub(chosen.len());
        chosen.extend(near.into_iter().take(room));
        let own = |vm: &VmId| self.domain_of(vm) == Some(domain);
        if chosen.iter().filter(|vm| own(vm)).count() >= WANTED {
            chosen.retain(own);
        }
        let mut far = self.available(|d| d != domain);
        far.sort_by_key(|vm| std::cmp::Reverse(rank(domain.as_str(), vm.as_str())));
        far.retain(|vm| !chosen.contains(vm));
        let short = WANTED.saturating_sub(chosen.len());
        chosen.extend(far.into_iter().take(short));
        chosen.sort();
        chosen
    }

    /// Whether a member is kept.
    fn stays(&self, now: Millis, vm: &VmId) -> bool {
        if *vm == self.me {
            return !self.leaving;
        }
        let Some(peer) = self.peers.map.get(vm) else {
            return false;
        };
        if peer.leaving {
            return false;
        }
        let indirect = peer.listed.is_ok() && self.peers.is_heard_by_other(vm);
        peer.up || (indirect && self.peers.silence(now, vm) < self.settings.broken)
    }

    /// VMs of matching domains that are heard and not leaving, this VM included.
    fn available(&self, matches: impl Fn(&DomainId) -> bool) -> Vec<VmId> {
        let peers = self.peers.map.iter();
        let ready = peers.filter(|(_, p)| p.up && !p.leaving && matches(&p.domain));
        let mut list: Vec<VmId> = ready.map(|(vm, _)| vm.clone()).collect();
        if !self.leaving && matches(&self.domain) {
            list.push(self.me.clone());
        }
        list.sort();
        list
    }

    fn domain_of(&self, vm: &VmId) -> Option<&DomainId> {
        if *vm == self.me {
            return Some(&self.domain);
        }
        self.peers.map.get(vm).map(|p| &p.domain)
    }

    /// All VMs that this VM knows to be there, in order.
    pub(crate) fn known_vms(&self, now: Millis) -> Vec<VmId> {
        let ended = |vm: &VmId| self.peers.is_ended(now, vm, &self.settings);
        let peers = self.peers.map.iter();
        let there = peers.filter(|(vm, p)| p.up || (p.listed.is_ok() && !ended(vm)));
        let mut list: Vec<VmId> = there.map(|(vm, _)| vm.clone()).collect();
        list.push(self.me.clone());
        list.sort();
        list
    }

    /// Whether this VM is the one to propose, by a fixed order among the VMs it hears.
    pub(crate) fn is_proposer(&self, now: Millis, domain: &DomainId) -> bool {
        let Some(record) = &self.views[domain].record else {
            return self.domain == *domain && self.is_first(&self.available(|d| d == domain));
        };
        let known = &record.known;
        if !known.contains(&self.me) {
            let ended = |vm| self.peers.is_ended(now, vm, &self.settings) && !self.peers.is_up(vm);
            let alone = known.iter().all(ended);
            return alone && self.is_first(&self.available(|_| true));
        }
        let may = |vm: &&VmId| **vm == self.me || (self.peers.is_up(vm) && !self.is_leaving(vm));
        let members = &record.view.members;
        if let Some(first) = members.iter().filter(|vm| known.contains(vm)).find(may) {
            return *first == self.me;
        }
        let own = |vm: &&VmId| self.domain_of(vm) == Some(domain);
        let first_own = known.iter().filter(own).find(may);
        if let Some(first) = first_own {
            return *first == self.me;
        }
        let silent = |vm: &VmId| self.peers.silence(now, vm) >= self.settings.takeover;
        let lost = members.iter().all(silent);
        lost && known.iter().find(may) == Some(&self.me)
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        self.peers.map.get(vm).is_some_and(|p| p.leaving)
    }

    fn is_first(&self, list: &[VmId]) -> bool {
        list.first() == Some(&self.me)
    }

    /// The record to propose, or `None` if nothing is to be changed.
    pub(crate) fn proposal(&self, now: Millis, domain: &DomainId) -> Option<ViewRecord> {
        let wanted = self.desired(now, domain);
        if wanted.is_empty() || !self.is_proposer(now, domain) {
            return None;
        }
        let known = self.known_vms(now);
        let Some(old) = &self.views[domain].record else {
            let view = View::first(wanted);
            return Some(ViewRecord { view, known });
        };
        if old.view.members == wanted && old.known == known {
            return None;
        }
        let view = old.view.next(wanted);
        Some(ViewRecord { view, known })
    }

    /// Least time between two views, longer the more often they changed of late.
    pub(crate) fn gap(&self, now: Millis, domain: &DomainId) -> Millis {
        let recent = |at: &&Millis| now.since(**at) < self.settings.recent;
        let count = self.views[domain].changes.iter().filter(recent).count();
        let doublings = count.saturating_sub(FREE_CHANGES).min(MOST_DOUBLINGS);
        let gap = self.settings.gap.0 << doublings;
        Millis(gap).min(self.settings.gap_limit)
    }
}
