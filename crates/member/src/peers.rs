//! The table of entry VMs: listed by the platform, heard over links, or both.

use std::collections::BTreeMap;

use base::DomainId;
use base::Millis;
use base::VmId;

use crate::settings::Settings;
use crate::state::PeerState;
use crate::state::RosterVm;

/// One other entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) domain: DomainId,
    pub(crate) leaving: bool,
    /// Whether the last list had it, and since when it is missing otherwise.
    pub(crate) listed: Result<(), Millis>,
    /// When the ping was sent that it replied to last.
    pub(crate) asked: Millis,
    /// When this VM learned of it.
    pub(crate) since: Millis,
    /// When the next ping is due.
    pub(crate) ping: Millis,
    /// Whether it was heard at the last look.
    pub(crate) up: bool,
    pub(crate) state: Option<PeerState>,
}

/// Other entry VMs by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) map: BTreeMap<VmId, Peer>,
    /// When the first list of the platform came.
    first: Option<Millis>,
}

impl PeerTable {
    /// Takes a list of the platform, asked for at `asked`.
    pub(crate) fn list(&mut self, now: Millis, me: &VmId, vms: Vec<RosterVm>) {
        self.first.get_or_insert(now);
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

    /// Takes the reply to a ping sent at `asked`.
    pub(crate) fn hear(&mut self, now: Millis, from: VmId, asked: Millis, state: PeerState) {
        let entry = self.map.entry(from);
        let peer = entry.or_insert_with(|| Peer::new(now, state.domain.clone()));
        if asked < peer.asked {
            return;
        }
        peer.asked = asked;
        peer.leaving |= state.leaving;
        peer.state = Some(state);
    }

    /// VMs whose pings are due.
    pub(crate) fn due(&mut self, now: Millis, near: &DomainId, settings: &Settings) -> Vec<VmId> {
        let mut due = Vec::new();
        for (vm, peer) in &mut self.map {
            if peer.ping <= now {
                peer.ping = now + peer.interval(near, settings);
                due.push(vm.clone());
            }
        }
        due
    }

    /// VMs that were heard and now are not (`false`), or the reverse.
    pub(crate) fn changes(
        &mut self,
        now: Millis,
        near: &DomainId,
        settings: &Settings,
    ) -> Vec<(VmId, bool)> {
        let mut changes = Vec::new();
        for (vm, peer) in &mut self.map {
            let up = peer.is_heard(now, near, settings);
            if up != peer.up {
                peer.up = up;
                changes.push((vm.clone(), up));
            }
        }
        changes
    }

    /// Forgets VMs that are neither listed nor heard any more.
    pub(crate) fn prune(&mut self, now: Millis, settings: &Settings) {
        let keep = |peer: &Peer| match peer.listed {
            Ok(()) => true,
            Err(at) => now < at + settings.lag + settings.lag || peer.up,
        };
        self.map.retain(|_, peer| keep(peer));
    }

    pub(crate) fn is_up(&self, vm: &VmId) -> bool {
        self.map.get(vm).is_some_and(|p| p.up)
    }

    /// Whether a VM that is heard hears `vm`.
    pub(crate) fn is_heard_by_other(&self, vm: &VmId) -> bool {
        let up = self.map.values().filter(|p| p.up);
        let mut states = up.filter_map(|p| p.state.as_ref());
        states.any(|s| s.hears.contains(vm))
    }

    /// For how long a VM has not been heard.
    pub(crate) fn silence(&self, now: Millis, vm: &VmId) -> Millis {
        let last = self.map.get(vm).map(|p| p.asked.max(p.since));
        last.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Whether the platform has not listed the VM for longer than its lag.
    pub(crate) fn is_ended(&self, now: Millis, vm: &VmId, settings: &Settings) -> bool {
        match self.map.get(vm).map(|p| p.listed) {
            Some(Ok(())) => false,
            Some(Err(at)) => now >= at + settings.lag,
            None => self.first.is_some_and(|at| now >= at + settings.lag),
        }
    }
}

impl Peer {
    fn new(now: Millis, domain: DomainId) -> Peer {
        Peer {
            domain,
            leaving: false,
            listed: Err(now),
            asked: Millis::ZERO,
            since: now,
            ping: Millis::ZERO,
            up: false,
            state: None,
        }
    }

    fn interval(&self, near: &DomainId, settings: &Settings) -> Millis {
        if self.domain == *near {
            settings.near
        } else {
            settings.far
        }
    }

    fn is_heard(&self, now: Millis, near: &DomainId, settings: &Settings) -> bool {
        let span = self.interval(near, settings).0 * u64::from(settings.misses);
        self.state.is_some() && now.since(self.asked) <= Millis(span)
    }
}
