//! The world: what can happen next, and what must never happen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use base::Millis;
use base::Outcome;
use base::RequestId;
use base::VmId;

use claim::Action;
use claim::Answer;
use claim::Body;
use claim::Claims;
use claim::Input;
use claim::Limits;
use claim::Message;
use claim::Verdict;
use claim::View;

/// What may still happen.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Sends of the caller for each id.
    pub sends: u32,
    /// Messages delivered twice.
    pub repeats: u32,
    /// VMs that end.
    pub crashes: u32,
    /// Member lists that may follow, in order; each may be skipped.
    pub views: Vec<Vec<VmId>>,
    /// Jumps of the time.
    pub jumps: Vec<Millis>,
    /// Dispatches that the upstream refuses.
    pub refusals: u32,
    /// Dispatches whose answer is lost.
    pub lost: u32,
    /// Links reported as silent.
    pub downs: u32,
    /// Whether the caller numbers its sends and waits for one at a time.
    pub numbered: bool,
}

/// One step of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    Send { id: usize, vm: usize },
    Deliver(usize),
    Repeat(usize),
    Crash(usize),
    Change(usize),
    Read(usize),
    Jump,
    Tick(usize),
    Run(usize, u64),
    Refuse(usize, u64),
    Finish(usize, u64),
    Lose(usize, u64),
    Down(usize, usize),
}

type Packet = (VmId, VmId, Message);

/// A machine with the hash of its state.
#[derive(Clone)]
struct Node {
    claims: Rc<Claims>,
    hash: u64,
    ticked: Millis,
}

/// The whole state.
#[derive(Clone)]
pub struct World {
    names: Vec<VmId>,
    ids: Vec<RequestId>,
    limits: Limits,
    nodes: Vec<Option<Node>>,
    net: Vec<Rc<(Packet, u64)>>,
    now: Millis,
    view: Rc<View>,
    budget: Budget,
    /// Sends so far: token to index of the id; tokens count up.
    sends: Vec<usize>,
    waiting: BTreeSet<u64>,
    starts: BTreeMap<u64, usize>,
    running: BTreeMap<u64, usize>,
    ran: BTreeSet<u64>,
    /// Tokens up to which "not run" was told, by index of the id.
    denied: BTreeMap<usize, u64>,
    seen: usize,
    /// What went wrong.
    pub broken: Option<String>,
}

const DEADLINE: Millis = Millis(10);

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// VMs with the first view already known to all, and its authority proven.
    pub fn new(names: &[&str], ids: &[&str], first: &[&str], limits: Limits, b: Budget) -> World {
        let names: Vec<VmId> = names.iter().map(|n| n.parse().unwrap()).collect();
        let members = first.iter().map(|n| n.parse().unwrap()).collect();
        let mut world = World {
            nodes: vec![None; names.len()],
            ids: ids.iter().map(|i| i.parse().unwrap()).collect(),
            names,
            limits,
            net: Vec::new(),
            now: Millis(1_000_000),
            view: Rc::new(View::first(members)),
            budget: b,
            sends: Vec::new(),
            waiting: BTreeSet::new(),
            starts: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            denied: BTreeMap::new(),
            seen: 0,
            broken: None,
        };
        for vm in 0..world.names.len() {
            let name = world.names[vm].clone();
            let claims = Claims::new(name, "home".parse().unwrap(), world.limits.clone());
            world.nodes[vm] = Some(Node {
                hash: 0,
                claims: Rc::new(claims),
                ticked: world.now,
            });
            world.read(vm);
        }
        world
    }

    /// A 64-bit digest of the state.
    pub fn hash(&self) -> u64 {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .flatten()
            .map(|n| (n.hash, n.ticked))
            .collect();
        let live: Vec<bool> = self.nodes.iter().map(|n| n.is_some()).collect();
        let net: Vec<u64> = self.net.iter().map(|p| p.1).collect();
        let caller = (&self.sends, &self.waiting, &self.denied, &self.ran);
        let upstream = (&self.starts, &self.running);
        digest(&(
            nodes,
            live,
            net,
            self.now,
            &self.view,
            &self.budget,
            caller,
            upstream,
        ))
    }

    /// All events that can happen next.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let live = || (0..self.nodes.len()).filter(|&vm| self.nodes[vm].is_some());
        for (i, _) in self.net.iter().enumerate() {
            events.push(Event::Deliver(i));
            if self.budget.repeats > 0 {
                events.push(Event::Repeat(i));
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
            if sent < self.budget.sends as usize {
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

    /// Carries out one event.
    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Send { id, vm } => self.send(id, vm),
            Event::Deliver(i) => {
                let packet = self.net.remove(i);
                self.deliver(&packet.0);
            }
            Event::Repeat(i) => {
                self.budget.repeats -= 1;
                let packet = self.net[i].clone();
                self.deliver(&packet.0);
            }
            Event::Crash(vm) => {
                self.budget.crashes -= 1;
                self.crash(vm);
            }
            Event::Change(i) => {
                let members = self.budget.views[i].clone();
                self.budget.views.drain(..=i);
                self.view = Rc::new(self.view.next(members));
            }
            Event::Read(vm) => self.read(vm),
            Event::Jump => {
                let span = self.budget.jumps.remove(0);
                self.now += span;
            }
            Event::Tick(vm) => {
                self.nodes[vm].as_mut().unwrap().ticked = self.now;
                self.step(vm, Input::Tick);
            }
            Event::Run(vm, token) => {
                self.starts.remove(&token);
                self.run(token);
                self.running.insert(token, vm);
            }
            Event::Refuse(vm, token) => {
                self.budget.refusals -= 1;
                self.starts.remove(&token);
                let outcome = Outcome::NotRun;
                self.step(vm, Input::Failed { token, outcome });
            }
            Event::Finish(vm, token) => {
                self.running.remove(&token);
                let answer = self.answer(self.sends[token as usize]);
                self.step(vm, Input::Answered { token, answer });
            }
            Event::Lose(vm, token) => {
                self.budget.lost -= 1;
                self.running.remove(&token);
                let outcome = Outcome::Unknown;
                self.step(vm, Input::Failed { token, outcome });
            }
            Event::Down(vm, other) => {
                self.budget.downs -= 1;
                let other = self.names[other].clone();
                self.step(vm, Input::PeerDown(other));
            }
        }
    }

    fn answer(&self, id: usize) -> Answer {
        let body = self.ids[id].as_str().as_bytes().to_vec();
        Answer {
            outcome: Outcome::Ran,
            body: Some(Body::from(body)),
        }
    }

    fn send(&mut self, id: usize, vm: usize) {
        let before = self.sends.iter().filter(|&&i| i == id).count() as u32;
        let token = self.sends.len() as u64;
        let mut attempt = 0;
        if self.budget.numbered {
            let sends = &self.sends;
            self.waiting.retain(|&t| sends[t as usize] != id);
            attempt = before + 1;
        }
        self.sends.push(id);
        self.waiting.insert(token);
        let request = Input::Request {
            id: self.ids[id].clone(),
            attempt,
            token,
            deadline: self.now + DEADLINE,
        };
        self.step(vm, request);
    }

    fn crash(&mut self, vm: usize) {
        self.nodes[vm] = None;
        self.starts.retain(|_, v| *v != vm);
        self.running.retain(|_, v| *v != vm);
        let name = self.names[vm].clone();
        self.net.retain(|p| p.0 .1 != name);
    }

    /// Reads the view from the platform, which proves that it is the newest.
    fn read(&mut self, vm: usize) {
        self.step(vm, Input::View((*self.view).clone()));
        let until = self.now + self.limits.lease;
        let view = self.view.number;
        self.step(vm, Input::Lease { view, until });
    }

    fn deliver(&mut self, (from, to, msg): &Packet) {
        let vm = self.names.iter().position(|n| n == to).unwrap();
        let from = from.clone();
        let msg = msg.clone();
        self.step(vm, Input::Peer { from, msg });
    }

    fn step(&mut self, vm: usize, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes[vm].as_mut() else {
            return;
        };
        let claims = Rc::make_mut(&mut node.claims);
        let actions = claims.step(now, input);
        node.hash = digest(&*claims);
        if let Err(violation) = claims.check() {
            self.broken = Some(violation.to_string());
        }
        for action in actions {
            self.act(vm, action);
        }
    }

    fn act(&mut self, vm: usize, action: Action) {
        match action {
            Action::Dispatch { token, .. } => {
                self.starts.insert(token, vm);
            }
            Action::Drained => {}
            Action::Reply { token, verdict } => self.told(token, verdict),
            Action::Send { to, msg } => {
                let live = self.names.iter().position(|n| *n == to);
                if live.is_some_and(|to| self.nodes[to].is_some()) {
                    let packet = (self.names[vm].clone(), to, msg);
                    let hash = digest(&packet);
                    let place = self.net.partition_point(|p| p.1 < hash);
                    if self.net.get(place).is_none_or(|p| p.1 != hash) {
                        self.net.insert(place, Rc::new((packet, hash)));
                    }
                }
            }
        }
    }

    fn told(&mut self, token: u64, verdict: Verdict) {
        if !self.waiting.remove(&token) {
            return;
        }
        let id = self.sends[token as usize];
        match verdict {
            Verdict::Answer(answer) if answer != self.answer(id) => {
                self.broken = Some(format!("send {token} got a foreign answer"));
            }
            Verdict::NotRun { .. } => {
                let last = self.sends.len() as u64 - 1;
                self.denied.insert(id, last);
                let is_false = |t: &&u64| self.sends[**t as usize] == id;
                if self.ran.iter().any(|t| is_false(&t)) {
                    self.broken = Some(format!("send {token} was told not run after a run"));
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, token: u64) {
        let id = self.sends[token as usize];
        if self.ran.iter().any(|&t| self.sends[t as usize] == id) {
            self.broken = Some(format!("send {token} ran an id that had run"));
        }
        if self.denied.get(&id).is_some_and(|&last| token <= last) {
            self.broken = Some(format!("send {token} ran after not run was told"));
        }
        self.ran.insert(token);
    }
}
