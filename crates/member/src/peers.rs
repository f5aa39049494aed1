//! Table of the other entry VMs: listed by the platform, reachable over links, or both.

use std::collections::BTreeMap;

use base::DomainId;
use base::Millis;
use base::VmId;

use crate::settings::Settings;
use crate::state::ListedVm;
use crate::state::PeerState;

/// Another entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) domain: DomainId,
    pub(crate) leaving: bool,
    /// `Ok` if the latest list of the platform contains the VM, otherwise the time since when it
    /// is missing.
    pub(crate) listed: Result<(), Millis>,
    /// When the ping was sent that the VM answered last.
    pub(crate) answered_ping: Millis,
    /// When this VM first learned of the peer.
    pub(crate) first_seen: Millis,
    /// When the next ping is due.
    pub(crate) next_ping: Millis,
    /// Whether the VM was reachable at the last check.
    pub(crate) up: bool,
    /// The state in its latest ping reply.
    pub(crate) state: Option<PeerState>,
}

/// The other entry VMs by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) map: BTreeMap<VmId, Peer>,
    /// When the first list of the platform was received.
    first_list: Option<Millis>,
}

impl PeerTable {
    /// Applies a list of the platform received at `now`.
    pub(crate) fn update_list(&mut self, now: Millis, me: &VmId, vms: Vec<ListedVm>) {
        self.first_list.get_or_insert(now);
        for peer in self.map.values_mut() {
            if peer.listed.is_ok() {
                peer.listed = Err(now);
            }
        }
        for vm in vms.into_iter().filter(|vm| vm.id != *me) {
            let entry = self.map.entry(vm.id);
            let peer = entry.or_insert_with(|| Peer::new(now, vm.domain.clone()));
            peer.listed = Ok(());
            peer.domain = vm.domain;
            peer.leaving |= vm.leaving;
        }
    }

    /// Handles the reply to a ping sent at `asked`.
    pub(crate) fn on_reply(&mut self, now: Millis, from: VmId, asked: Millis, state: PeerState) {
        let entry = self.map.entry(from);
        let peer = entry.or_insert_with(|| Peer::new(now, state.domain.clone()));
        if asked < peer.answered_ping {
            return;
        }
        peer.answered_ping = asked;
        peer.leaving |= state.leaving;
        peer.state = Some(state);
    }

    /// VMs whose ping is due; schedules the next ping of each.
    pub(crate) fn due_pings(
        &mut self,
        now: Millis,
        own_domain: &DomainId,
        settings: &Settings,
    ) -> Vec<VmId> {
        let mut due = Vec::new();
        for (vm, peer) in &mut self.map {
            if peer.next_ping <= now {
                peer.next_ping = now + peer.interval(own_domain, settings);
                due.push(vm.clone());
            }
        }
        due
    }

    /// VMs that became reachable (`true`) or unreachable (`false`) since the last call.
    pub(crate) fn update_reachability(
        &mut self,
        now: Millis,
        own_domain: &DomainId,
        settings: &Settings,
    ) -> Vec<(VmId, bool)> {
        let mut changes = Vec::new();
        for (vm, peer) in &mut self.map {
            let up = peer.is_reachable(now, own_domain, settings);
            if up != peer.up {
                peer.up = up;
                changes.push((vm.clone(), up));
            }
        }
        changes
    }

    /// Removes VMs that are unreachable and have been missing from the list for twice its lag.
    pub(crate) fn prune(&mut self, now: Millis, settings: &Settings) {
        let keep = |peer: &Peer| match peer.listed {
            Ok(()) => true,
            Err(at) => now < at + settings.list_lag + settings.list_lag || peer.up,
        };
        self.map.retain(|_, peer| keep(peer));
    }

    pub(crate) fn is_up(&self, vm: &VmId) -> bool {
        self.map.get(vm).is_some_and(|p| p.up)
    }

    /// Whether a reachable VM reports that it reaches `vm`.
    pub(crate) fn is_reachable_indirectly(&self, vm: &VmId) -> bool {
        let up = self.map.values().filter(|p| p.up);
        let mut states = up.filter_map(|p| p.state.as_ref());
        states.any(|s| s.hears.contains(vm))
    }

    /// Time since the VM was last known to be reachable, or since it became known.
    pub(crate) fn silence(&self, now: Millis, vm: &VmId) -> Millis {
        let last = self.map.get(vm).map(|p| p.answered_ping.max(p.first_seen));
        last.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Whether the VM has been missing from the platform's list for longer than the list's lag.
    pub(crate) fn is_presumed_ended(&self, now: Millis, vm: &VmId, settings: &Settings) -> bool {
        match self.map.get(vm).map(|p| p.listed) {
            Some(Ok(())) => false,
            Some(Err(at)) => now >= at + settings.list_lag,
            None => self
                .first_list
                .is_some_and(|at| now >= at + settings.list_lag),
        }
    }
}

impl Peer {
    fn new(now: Millis, domain: DomainId) -> Peer {
        Peer {
            domain,
            leaving: false,
            listed: Err(now),
            answered_ping: Millis::ZERO,
            first_seen: now,
            next_ping: Millis::ZERO,
            up: false,
            state: None,
        }
    }

    fn interval(&self, own_domain: &DomainId, settings: &Settings) -> Millis {
        if self.domain == *own_domain {
            settings.local_ping
        } else {
            settings.remote_ping
        }
    }

    fn is_reachable(&self, now: Millis, own_domain: &DomainId, settings: &Settings) -> bool {
        let span = self.interval(own_domain, settings).0 * u64::from(settings.missed_pings);
        self.state.is_some() && now.since(self.answered_ping) <= Millis(span)
    }
}
