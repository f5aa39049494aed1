//! Which VMs should keep the claims of a home domain, and which VM proposes a change.

use base::rank;
use base::DomainId;
use base::Millis;
use base::VmId;
use claim::View;

use crate::machine::Members;
use crate::state::ViewRecord;

/// Minimum number of members of a view: an owner and a backup.
const MIN_MEMBERS: usize = 2;

/// Maximum number of members of a view.
const MAX_MEMBERS: usize = 16;

/// Number of recent changes that do not lengthen the interval between views.
const FREE_CHANGES: usize = 4;

/// Maximum number of doublings of the interval between views.
const MAX_DOUBLINGS: usize = 6;

impl Members {
    /// The members that the view of `domain` should have according to what this VM knows.
    ///
    /// VMs of the domain itself are preferred. If there are too few, VMs of other domains are
    /// added.
    pub(crate) fn desired_members(&self, now: Millis, domain: &DomainId) -> Vec<VmId> {
        let known = &self.views[domain];
        let current = known.record.as_ref().map(|r| r.view.members.clone());
        let current = current.unwrap_or_default();
        let should_stay = |vm: &VmId| self.should_stay(now, vm);
        let mut chosen: Vec<VmId> = current
            .iter()
            .filter(|vm| should_stay(vm))
            .cloned()
            .collect();
        let mut local = self.reachable_vms(|d| d == domain);
        local.retain(|vm| !chosen.contains(vm));
        let room = MAX_MEMBERS.saturating_sub(chosen.len());
        chosen.extend(local.into_iter().take(room));
        let is_local = |vm: &VmId| self.domain_of(vm) == Some(domain);
        if chosen.iter().filter(|vm| is_local(vm)).count() >= MIN_MEMBERS {
            chosen.retain(is_local);
        }
        let mut remote = self.reachable_vms(|d| d != domain);
        remote.sort_by_key(|vm| std::cmp::Reverse(rank(domain.as_str(), vm.as_str())));
        remote.retain(|vm| !chosen.contains(vm));
        let shortfall = MIN_MEMBERS.saturating_sub(chosen.len());
        chosen.extend(remote.into_iter().take(shortfall));
        chosen.sort();
        chosen
    }

    /// Whether a current member should remain a member.
    fn should_stay(&self, now: Millis, vm: &VmId) -> bool {
        if *vm == self.me {
            return !self.leaving;
        }
        let Some(peer) = self.peers.map.get(vm) else {
            return false;
        };
        if peer.leaving {
            return false;
        }
        let indirect = peer.listed.is_ok() && self.peers.is_reachable_indirectly(vm);
        peer.up || (indirect && self.peers.silence(now, vm) < self.settings.indirect_timeout)
    }

    /// Reachable VMs, including this one, that are in a matching domain and not leaving.
    fn reachable_vms(&self, matches: impl Fn(&DomainId) -> bool) -> Vec<VmId> {
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

    /// All VMs that are reachable or listed, including this one, in ascending order.
    pub(crate) fn known_vms(&self, now: Millis) -> Vec<VmId> {
        let ended = |vm: &VmId| self.peers.is_presumed_ended(now, vm, &self.settings);
        let peers = self.peers.map.iter();
        let present = peers.filter(|(vm, p)| p.up || (p.listed.is_ok() && !ended(vm)));
        let mut list: Vec<VmId> = present.map(|(vm, _)| vm.clone()).collect();
        list.push(self.me.clone());
        list.sort();
        list
    }

    /// Whether this VM should propose a change. A fixed order among the reachable VMs determines
    /// the proposer.
    pub(crate) fn is_proposer(&self, now: Millis, domain: &DomainId) -> bool {
        let Some(record) = &self.views[domain].record else {
            return self.domain == *domain && self.is_first(&self.reachable_vms(|d| d == domain));
        };
        let known = &record.known;
        if !known.contains(&self.me) {
            let ended =
                |vm| self.peers.is_presumed_ended(now, vm, &self.settings) && !self.peers.is_up(vm);
            let all_ended = known.iter().all(ended);
            return all_ended && self.is_first(&self.reachable_vms(|_| true));
        }
        let can_propose =
            |vm: &&VmId| **vm == self.me || (self.peers.is_up(vm) && !self.is_leaving(vm));
        let members = &record.view.members;
        if let Some(first) = members
            .iter()
            .filter(|vm| known.contains(vm))
            .find(can_propose)
        {
            return *first == self.me;
        }
        let is_local = |vm: &&VmId| self.domain_of(vm) == Some(domain);
        let first_local = known.iter().filter(is_local).find(can_propose);
        if let Some(first) = first_local {
            return *first == self.me;
        }
        let is_unreachable =
            |vm: &VmId| self.peers.silence(now, vm) >= self.settings.takeover_timeout;
        let all_unreachable = members.iter().all(is_unreachable);
        all_unreachable && known.iter().find(can_propose) == Some(&self.me)
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        self.peers.map.get(vm).is_some_and(|p| p.leaving)
    }

    fn is_first(&self, list: &[VmId]) -> bool {
        list.first() == Some(&self.me)
    }

    /// The record to propose; `None` if no change is needed or another VM proposes it.
    pub(crate) fn proposal(&self, now: Millis, domain: &DomainId) -> Option<ViewRecord> {
        let desired = self.desired_members(now, domain);
        if desired.is_empty() || !self.is_proposer(now, domain) {
            return None;
        }
        let known = self.known_vms(now);
        let Some(old) = &self.views[domain].record else {
            let view = View::first(desired);
            return Some(ViewRecord { view, known });
        };
        if old.view.members == desired && old.known == known {
            return None;
        }
        let view = old.view.next(desired);
        Some(ViewRecord { view, known })
    }

    /// Minimum time between two views. Doubles with each recent change beyond [`FREE_CHANGES`].
    pub(crate) fn view_interval(&self, now: Millis, domain: &DomainId) -> Millis {
        let recent = |at: &&Millis| now.since(**at) < self.settings.recent_window;
        let count = self.views[domain].changes.iter().filter(recent).count();
        let doublings = count.saturating_sub(FREE_CHANGES).min(MAX_DOUBLINGS);
        let interval = self.settings.min_interval.0 << doublings;
        Millis(interval).min(self.settings.max_interval)
    }
}
