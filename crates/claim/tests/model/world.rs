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
    /// Whether ids carry the time of their first send.
    pub timed: bool,
}

/// One step of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    Send { id: usize, vm: usize },
    Deliver(u64),
    Repeat(u64),
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
    Start(usize),
    Drop(u64),
    Wait(u64),
    View(Vec<usize>),
    Gone(usize, usize),
}

pub(super) type Packet = (VmId, VmId, Message);

/// A machine with the hash of its state.
#[derive(Clone)]
pub(super) struct Node {
    pub(super) claims: Rc<Claims>,
    hash: u64,
    pub(super) ticked: Millis,
}

/// The whole state.
#[derive(Clone)]
pub struct World {
    pub(super) names: Vec<VmId>,
    pub(super) ids: Vec<RequestId>,
    pub(super) limits: Limits,
    pub(super) nodes: Vec<Option<Node>>,
    pub(super) net: Vec<Rc<(Packet, u64)>>,
    pub(super) now: Millis,
    pub(super) view: Rc<View>,
    pub(super) budget: Budget,
    /// Sends so far: token to index of the id; tokens count up.
    pub(super) sends: Vec<usize>,
    waiting: BTreeSet<u64>,
    pub(super) starts: BTreeMap<u64, usize>,
    pub(super) running: BTreeMap<u64, usize>,
    pub(super) ran: BTreeSet<u64>,
    /// Tokens up to which "not run" was told, by index of the id.
    denied: BTreeMap<usize, u64>,
    /// When each id was sent first.
    first: BTreeMap<usize, Millis>,
    pub(super) started: usize,
    pub(super) replies: [usize; 3],
    /// What went wrong.
    pub broken: Option<String>,
}

const DEADLINE: Millis = Millis(10);

/// A UUID of version 7 created at `now`.
fn timed(now: Millis, id: usize) -> RequestId {
    let high = now.0 >> 16;
    let low = now.0 & 0xffff;
    let text = format!("{high:08x}-{low:04x}-7000-8000-{id:012x}");
    text.parse().unwrap()
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// VMs with the first view already known to all, and its authority proven.
    pub fn new(names: &[&str], ids: &[&str], first: &[&str], limits: Limits, b: Budget) -> World {
        let names: Vec<VmId> = names.iter().map(|n| n.parse().unwrap()).collect();
        let started = names.len();
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
            first: BTreeMap::new(),
            started,
            replies: [0; 3],
            broken: None,
        };
        for vm in 0..started {
            world.boot(vm);
            world.read(vm);
        }
        world
    }

    /// As [`World::new`], with only the first `started` VMs running.
    pub fn with_spares(
        names: &[&str],
        ids: &[&str],
        started: usize,
        limits: Limits,
        b: Budget,
    ) -> World {
        let mut world = World::new(names, ids, &names[..2], limits, b);
        world.started = started;
        for vm in started..names.len() {
            world.nodes[vm] = None;
        }
        world
    }

    fn boot(&mut self, vm: usize) {
        let name = self.names[vm].clone();
        let claims = Claims::new(name, "home".parse().unwrap(), self.limits.clone());
        self.nodes[vm] = Some(Node {
            hash: 0,
            claims: Rc::new(claims),
            ticked: self.now,
        });
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

    /// Whether the caller may send an id once more: one without a creation time is not sent
    /// later than its claim is kept.
    pub(super) fn is_young(&self, id: usize) -> bool {
        let end = |at: &Millis| *at + self.limits.retention;
        let latest = self.now + DEADLINE + self.limits.skew;
        self.budget.timed || self.first.get(&id).map(end).is_none_or(|end| latest < end)
    }

    /// Carries out the events that are possible.
    pub fn replay(&mut self, events: &[Event]) {
        for event in events {
            if self.broken.is_none() && self.can(event) {
                self.apply(event);
            }
        }
    }

    /// Carries out an event outside of the budget.
    pub fn force(&mut self, event: &Event) {
        let budget = self.budget.clone();
        self.budget.downs = 1;
        self.apply(event);
        self.budget = budget;
    }

    /// Delivers all messages and what they lead to.
    pub fn flush(&mut self) {
        while let Some(packet) = self.message(0) {
            self.apply(&Event::Deliver(packet));
        }
    }

    pub(super) fn place(&self, digest: u64) -> Option<usize> {
        self.net.binary_search_by_key(&digest, |p| p.1).ok()
    }

    fn take(&mut self, digest: u64) -> Rc<(Packet, u64)> {
        let place = self.place(digest).unwrap();
        self.net.remove(place)
    }

    /// Dispatches that the upstream has not seen yet.
    pub fn starts(&self) -> &BTreeMap<u64, usize> {
        &self.starts
    }

    /// Requests that run.
    pub fn running(&self) -> &BTreeMap<u64, usize> {
        &self.running
    }

    /// Requests that ran.
    pub fn ran(&self) -> usize {
        self.ran.len()
    }

    /// Replies by kind: answers, not run, unknown.
    pub fn replies(&self) -> [usize; 3] {
        self.replies
    }

    /// Carries out one event.
    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Start(vm) => {
                self.started = vm + 1;
                self.boot(vm);
                self.read(vm);
            }
            Event::Drop(p) => {
                self.take(p);
            }
            Event::Wait(span) => self.now += Millis(span),
            Event::View(ref members) => {
                let names = members.iter().map(|&vm| self.names[vm].clone());
                self.view = Rc::new(self.view.next(names.collect()));
            }
            Event::Gone(vm, other) => {
                let other = self.names[other].clone();
                self.step(vm, Input::Gone(other));
            }
            Event::Send { id, vm } => self.send(id, vm),
            Event::Deliver(p) => {
                let packet = self.take(p);
                self.deliver(&packet.0);
            }
            Event::Repeat(p) => {
                self.budget.repeats -= 1;
                let place = self.place(p).unwrap();
                let packet = self.net[place].clone();
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

    /// Whether an answer is that of the id, or one whose body was not kept.
    fn is_answer(&self, answer: &Answer, id: usize) -> bool {
        let own = self.answer(id);
        answer.outcome == own.outcome && (answer.body.is_none() || answer.body == own.body)
    }

    fn send(&mut self, id: usize, vm: usize) {
        let before = self.sends.iter().filter(|&&i| i == id).count() as u32;
        let token = self.sends.len() as u64;
        let mut attempt = 0;
        if self.budget.timed && before == 0 {
            self.ids[id] = timed(self.now, id);
        }
        if self.budget.numbered {
            let sends = &self.sends;
            self.waiting.retain(|&t| sends[t as usize] != id);
            attempt = before + 1;
        }
        self.first.entry(id).or_insert(self.now);
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
        self.replies[match &verdict {
            Verdict::Answer(_) => 0,
            Verdict::NotRun { .. } => 1,
            Verdict::Unknown { .. } => 2,
        }] += 1;
        match verdict {
            Verdict::Answer(answer) if !self.is_answer(&answer, id) => {
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
