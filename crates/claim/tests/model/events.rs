//! Enumeration and preconditions of the model's events.

use std::collections::BTreeMap;

use base::VmId;

use super::system::Event;
use super::system::System;

impl System {
    /// All events that may happen next within the budget.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let live = || (0..self.nodes.len()).filter(|&vm| self.nodes[vm].is_some());
        for packet in &self.in_flight {
            events.push(Event::Deliver(packet.1));
            if self.budget.repeats > 0 {
                events.push(Event::Repeat(packet.1));
            }
        }
        for (&token, &vm) in &self.dispatches {
            events.push(Event::Run(vm, token));
            if self.budget.refusals > 0 {
                events.push(Event::Refuse(vm, token));
            }
        }
        for (&token, &vm) in &self.running {
            events.push(Event::Finish(vm, token));
            if self.budget.lost > 0 {
                events.push(Event::LoseAnswer(vm, token));
            }
        }
        for id in 0..self.ids.len() {
            let sent = self.sends.iter().filter(|&&i| i == id).count();
            if sent < self.budget.sends as usize && self.may_resend(id) {
                events.extend(live().map(|vm| Event::Send { id, vm }));
            }
        }
        for vm in live() {
            let node = self.nodes[vm].as_ref().unwrap();
            let behind = node.claims.view().number < self.view.number;
            if behind || !node.claims.has_lease(self.now) {
                events.push(Event::ReadView(vm));
            }
            if node.ticked < self.now {
                events.push(Event::Tick(vm));
            }
            if self.budget.crashes > 0 {
                events.push(Event::CrashVm(vm));
            }
            if self.budget.downs > 0 {
                events.extend(live().filter(|&o| o != vm).map(|o| Event::LinkDown(vm, o)));
            }
        }
        events.extend((0..self.budget.views.len()).map(Event::ChangeView));
        if !self.budget.jumps.is_empty() {
            events.push(Event::JumpClock);
        }
        events
    }

    /// Whether the preconditions of an event hold.
    pub fn is_possible(&self, event: &Event) -> bool {
        let live = |vm: usize| self.nodes.get(vm).is_some_and(|n| n.is_some());
        match *event {
            Event::Send { id, vm } => live(vm) && self.may_resend(id),
            Event::CrashVm(vm) | Event::ReadView(vm) | Event::Tick(vm) => live(vm),
            Event::Deliver(p) | Event::Repeat(p) | Event::DropPacket(p) => {
                self.packet_position(p).is_some()
            }
            Event::ChangeView(i) => i < self.budget.views.len(),
            Event::JumpClock => !self.budget.jumps.is_empty(),
            Event::Run(vm, token) | Event::Refuse(vm, token) => {
                self.dispatches.get(&token) == Some(&vm)
            }
            Event::Finish(vm, token) | Event::LoseAnswer(vm, token) => {
                self.running.get(&token) == Some(&vm)
            }
            Event::LinkDown(vm, _) => live(vm),
            Event::StartVm(vm) => vm >= self.started && vm < self.names.len(),
            Event::AdvanceClock(_) => true,
            Event::SetMembers(ref members) => !members.is_empty(),
            Event::Terminated(vm, other) => live(vm) && other < self.started && !live(other),
        }
    }

    /// Indices of the running VMs.
    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&vm| self.nodes[vm].is_some()).collect()
    }

    /// Indices of the members of the newest view.
    pub fn members(&self) -> Vec<usize> {
        let position = |vm: &VmId| self.names.iter().position(|n| n == vm).unwrap();
        self.view.members.iter().map(position).collect()
    }

    /// Number of VMs started so far; also the index of the next VM to start.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Digest of a message in flight, selected by `place` modulo their number.
    pub fn message(&self, place: usize) -> Option<u64> {
        let count = self.in_flight.len().max(1);
        self.in_flight.get(place % count).map(|p| p.1)
    }

    /// Text for a trace: the event with its message or the current time.
    pub fn describe(&self, event: &Event) -> String {
        match event {
            Event::Deliver(p) | Event::Repeat(p) | Event::DropPacket(p) => {
                let packet = self.packet_position(*p).map(|i| &self.in_flight[i].0);
                format!("{event:?} {packet:?}")
            }
            _ => format!("{event:?} at {}", self.now),
        }
    }
}
