//! What can happen next in the world, and what is known of it.

use std::collections::BTreeMap;

use base::VmId;

use super::world::Event;
use super::world::World;

impl World {
    /// All events that can happen next.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let live = || (0..self.nodes.len()).filter(|&vm| self.nodes[vm].is_some());
        for packet in &self.net {
            events.push(Event::Deliver(packet.1));
            if self.budget.repeats > 0 {
                events.push(Event::Repeat(packet.1));
            }
        }
        for (&token, &vm) in &self.starts {
            events.push(Event::Run(vm, token));
            if self.budget.refusals > 0 {
                events.push(Event::Refuse(vm, token));
            }
        }
        for (&token, &vm) in &self.running {
            events.push(Event::Finish(vm, token));
            if self.budget.lost > 0 {
                events.push(Event::Lose(vm, token));
            }
        }
        for id in 0..self.ids.len() {
            let sent = self.sends.iter().filter(|&&i| i == id).count();
            if sent < self.budget.sends as usize && self.is_young(id) {
                events.extend(live().map(|vm| Event::Send { id, vm }));
            }
        }
        for vm in live() {
            let node = self.nodes[vm].as_ref().unwrap();
            let behind = node.claims.view().number < self.view.number;
            if behind || !node.claims.has_lease(self.now) {
                events.push(Event::Read(vm));
            }
            if node.ticked < self.now {
                events.push(Event::Tick(vm));
            }
            if self.budget.crashes > 0 {
                events.push(Event::Crash(vm));
            }
            if self.budget.downs > 0 {
                events.extend(live().filter(|&o| o != vm).map(|o| Event::Down(vm, o)));
            }
        }
        events.extend((0..self.budget.views.len()).map(Event::Change));
        if !self.budget.jumps.is_empty() {
            events.push(Event::Jump);
        }
        events
    }

    /// Whether an event can happen now.
    pub fn can(&self, event: &Event) -> bool {
        let live = |vm: usize| self.nodes.get(vm).is_some_and(|n| n.is_some());
        match *event {
            Event::Send { id, vm } => live(vm) && self.is_young(id),
            Event::Crash(vm) | Event::Read(vm) | Event::Tick(vm) => live(vm),
            Event::Deliver(p) | Event::Repeat(p) | Event::Drop(p) => self.place(p).is_some(),
            Event::Change(i) => i < self.budget.views.len(),
            Event::Jump => !self.budget.jumps.is_empty(),
            Event::Run(vm, token) | Event::Refuse(vm, token) => {
                self.starts.get(&token) == Some(&vm)
            }
            Event::Finish(vm, token) | Event::Lose(vm, token) => {
                self.running.get(&token) == Some(&vm)
            }
            Event::Down(vm, _) => live(vm),
            Event::Start(vm) => vm >= self.started && vm < self.names.len(),
            Event::Wait(_) => true,
            Event::View(ref members) => !members.is_empty(),
            Event::Gone(vm, other) => live(vm) && other < self.started && !live(other),
        }
    }

    /// VMs that run.
    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&vm| self.nodes[vm].is_some()).collect()
    }

    /// Members of the newest view.
    pub fn members(&self) -> Vec<usize> {
        let place = |vm: &VmId| self.names.iter().position(|n| n == vm).unwrap();
        self.view.members.iter().map(place).collect()
    }

    /// The next VM that may start.
    pub fn started(&self) -> usize {
        self.started
    }

    /// The message on the way at a place, by its digest.
    pub fn message(&self, place: usize) -> Option<u64> {
        let count = self.net.len().max(1);
        self.net.get(place % count).map(|p| p.1)
    }

    /// An event with its message, for people.
    pub fn explain(&self, event: &Event) -> String {
        match event {
            Event::Deliver(p) | Event::Repeat(p) | Event::Drop(p) => {
                let packet = self.place(*p).map(|i| &self.net[i].0);
                format!("{event:?} {packet:?}")
            }
            _ => format!("{event:?} at {}", self.now),
        }
    }
}
