//! State of the model, its events, and the checks of at-most-once dispatch.

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

/// Limits on what may still happen.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Sends by the caller for each id.
    pub sends: u32,
    /// Messages delivered a second time.
    pub repeats: u32,
    /// VMs that crash.
    pub crashes: u32,
    /// Member lists of the following views, in order; each may be skipped.
    pub views: Vec<Vec<VmId>>,
    /// Clock jumps.
    pub jumps: Vec<Millis>,
    /// Dispatches refused by the upstream.
    pub refusals: u32,
    /// Dispatches whose answer is lost.
    pub lost: u32,
    /// Links reported as down.
    pub downs: u32,
    /// Whether the caller numbers its sends and has only one open at a time.
    pub numbered: bool,
    /// Whether ids carry the time of their first send.
    pub timed: bool,
}

/// An event of the model. VMs are given by index, messages by digest, and sends by token.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    Send {
        id: usize,
        vm: usize,
    },
    Deliver(u64),
    Repeat(u64),
    CrashVm(usize),
    /// Installs the view with this index in the budget.
    ChangeView(usize),
    /// Reads the newest view from the platform.
    ReadView(usize),
    JumpClock,
    Tick(usize),
    /// The upstream receives a dispatch and runs it.
    Run(usize, u64),
    Refuse(usize, u64),
    Finish(usize, u64),
    LoseAnswer(usize, u64),
    /// The first VM is told that its link to the second is down.
    LinkDown(usize, usize),
    StartVm(usize),
    DropPacket(u64),
    AdvanceClock(u64),
    /// Installs a view with these members.
    SetMembers(Vec<usize>),
    /// The first VM is told that the second has terminated.
    Terminated(usize, usize),
}

pub(super) type Packet = (VmId, VmId, Message);

/// A claim state machine with the digest of its state.
#[derive(Clone)]
pub(super) struct Node {
    pub(super) claims: Rc<Claims>,
    hash: u64,
    pub(super) ticked: Millis,
}

/// The complete state of the model.
#[derive(Clone)]
pub struct System {
    pub(super) names: Vec<VmId>,
    pub(super) ids: Vec<RequestId>,
    pub(super) limits: Limits,
    pub(super) nodes: Vec<Option<Node>>,
    pub(super) in_flight: Vec<Rc<(Packet, u64)>>,
    pub(super) now: Millis,
    pub(super) view: Rc<View>,
    pub(super) budget: Budget,
    /// The index of the id for each send, by token. Tokens are assigned in ascending order.
    pub(super) sends: Vec<usize>,
    open_sends: BTreeSet<u64>,
    pub(super) dispatches: BTreeMap<u64, usize>,
    pub(super) running: BTreeMap<u64, usize>,
    pub(super) ran: BTreeSet<u64>,
    /// The highest token for which "not run" was answered, by index of the id.
    not_run: BTreeMap<usize, u64>,
    /// Time of the first send, by index of the id.
    first: BTreeMap<usize, Millis>,
    pub(super) started: usize,
    pub(super) replies: [usize; 3],
    /// The first violation found.
    pub violation: Option<String>,
}

const DEADLINE: Millis = Millis(10);

/// A version 7 UUID created at `now`.
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

impl System {
    /// Starts all VMs with the first view installed and proven to be the newest.
    pub fn new(names: &[&str], ids: &[&str], first: &[&str], limits: Limits, b: Budget) -> System {
        let names: Vec<VmId> = names.iter().map(|n| n.parse().unwrap()).collect();
        let started = names.len();
        let members = first.iter().map(|n| n.parse().unwrap()).collect();
        let mut system = System {
            nodes: vec![None; names.len()],
            ids: ids.iter().map(|i| i.parse().unwrap()).collect(),
            names,
            limits,
            in_flight: Vec::new(),
            now: Millis(1_000_000),
            view: Rc::new(View::first(members)),
            budget: b,
            sends: Vec::new(),
            open_sends: BTreeSet::new(),
            dispatches: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            not_run: BTreeMap::new(),
            first: BTreeMap::new(),
            started,
            replies: [0; 3],
            violation: None,
        };
        for vm in 0..started {
            system.start_vm(vm);
            system.read_view(vm);
        }
        system
    }

    /// As [`System::new`], but runs only the first `started` VMs.
    pub fn with_spares(
        names: &[&str],
        ids: &[&str],
        started: usize,
        limits: Limits,
        b: Budget,
    ) -> System {
        let mut system = System::new(names, ids, &names[..2], limits, b);
        system.started = started;
        for vm in started..names.len() {
            system.nodes[vm] = None;
        }
        system
    }

    fn start_vm(&mut self, vm: usize) {
        let name = self.names[vm].clone();
        let claims = Claims::new(name, "home".parse().unwrap(), self.limits.clone());
        self.nodes[vm] = Some(Node {
            hash: 0,
            claims: Rc::new(claims),
            ticked: self.now,
        });
    }

    /// A 64-bit digest of the state, to recognise states already visited.
    pub fn digest(&self) -> u64 {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .flatten()
            .map(|n| (n.hash, n.ticked))
            .collect();
        let live: Vec<bool> = self.nodes.iter().map(|n| n.is_some()).collect();
        let in_flight: Vec<u64> = self.in_flight.iter().map(|p| p.1).collect();
        let caller = (&self.sends, &self.open_sends, &self.not_run, &self.ran);
        let upstream = (&self.dispatches, &self.running);
        digest(&(
            nodes,
            live,
            in_flight,
            self.now,
            &self.view,
            &self.budget,
            caller,
            upstream,
        ))
    }

    /// Whether the caller may still send an id. An id without a creation time is not sent after
    /// its claim may have expired.
    pub(super) fn may_resend(&self, id: usize) -> bool {
        let end = |at: &Millis| *at + self.limits.retention;
        let latest = self.now + DEADLINE + self.limits.max_skew;
        self.budget.timed || self.first.get(&id).map(end).is_none_or(|end| latest < end)
    }

    /// Applies those of the events whose preconditions hold.
    pub fn replay(&mut self, events: &[Event]) {
        for event in events {
            if self.violation.is_none() && self.is_possible(event) {
                self.apply(event);
            }
        }
    }

    /// Applies an event outside of the budget.
    pub fn force(&mut self, event: &Event) {
        let budget = self.budget.clone();
        self.budget.downs = 1;
        self.apply(event);
        self.budget = budget;
    }

    /// Delivers all messages in flight and those sent in response.
    pub fn deliver_all(&mut self) {
        while let Some(packet) = self.message(0) {
            self.apply(&Event::Deliver(packet));
        }
    }

    pub(super) fn packet_position(&self, digest: u64) -> Option<usize> {
        self.in_flight.binary_search_by_key(&digest, |p| p.1).ok()
    }

    fn take_packet(&mut self, digest: u64) -> Rc<(Packet, u64)> {
        let position = self.packet_position(digest).unwrap();
        self.in_flight.remove(position)
    }

    /// Dispatches that the upstream has not received yet: VM by token.
    pub fn dispatches(&self) -> &BTreeMap<u64, usize> {
        &self.dispatches
    }

    /// Requests running at the upstream: VM by token.
    pub fn running(&self) -> &BTreeMap<u64, usize> {
        &self.running
    }

    /// Number of requests that ran.
    pub fn ran(&self) -> usize {
        self.ran.len()
    }

    /// Number of replies by kind: answers, not run, unknown.
    pub fn replies(&self) -> [usize; 3] {
        self.replies
    }

    /// Applies one event.
    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::StartVm(vm) => {
                self.started = vm + 1;
                self.start_vm(vm);
                self.read_view(vm);
            }
            Event::DropPacket(p) => {
                self.take_packet(p);
            }
            Event::AdvanceClock(span) => self.now += Millis(span),
            Event::SetMembers(ref members) => {
                let names = members.iter().map(|&vm| self.names[vm].clone());
                self.view = Rc::new(self.view.next(names.collect()));
            }
            Event::Terminated(vm, other) => {
                let other = self.names[other].clone();
                self.step(vm, Input::Terminated(other));
            }
            Event::Send { id, vm } => self.send(id, vm),
            Event::Deliver(p) => {
                let packet = self.take_packet(p);
                self.deliver(&packet.0);
            }
            Event::Repeat(p) => {
                self.budget.repeats -= 1;
                let position = self.packet_position(p).unwrap();
                let packet = self.in_flight[position].clone();
                self.deliver(&packet.0);
            }
            Event::CrashVm(vm) => {
                self.budget.crashes -= 1;
                self.crash(vm);
            }
            Event::ChangeView(i) => {
                let members = self.budget.views[i].clone();
                self.budget.views.drain(..=i);
                self.view = Rc::new(self.view.next(members));
            }
            Event::ReadView(vm) => self.read_view(vm),
            Event::JumpClock => {
                let span = self.budget.jumps.remove(0);
                self.now += span;
            }
            Event::Tick(vm) => {
                self.nodes[vm].as_mut().unwrap().ticked = self.now;
                self.step(vm, Input::Tick);
            }
            Event::Run(vm, token) => {
                self.dispatches.remove(&token);
                self.record_run(token);
                self.running.insert(token, vm);
            }
            Event::Refuse(vm, token) => {
                self.budget.refusals -= 1;
                self.dispatches.remove(&token);
                let outcome = Outcome::NotRun;
                self.step(vm, Input::Failed { token, outcome });
            }
            Event::Finish(vm, token) => {
                self.running.remove(&token);
                let answer = self.answer(self.sends[token as usize]);
                self.step(vm, Input::Answered { token, answer });
            }
            Event::LoseAnswer(vm, token) => {
                self.budget.lost -= 1;
                self.running.remove(&token);
                let outcome = Outcome::Unknown;
                self.step(vm, Input::Failed { token, outcome });
            }
            Event::LinkDown(vm, other) => {
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

    /// Whether `answer` belongs to the id; its body may have been dropped.
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
            self.open_sends.retain(|&t| sends[t as usize] != id);
            attempt = before + 1;
        }
        self.first.entry(id).or_insert(self.now);
        self.sends.push(id);
        self.open_sends.insert(token);
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
        self.dispatches.retain(|_, v| *v != vm);
        self.running.retain(|_, v| *v != vm);
        let name = self.names[vm].clone();
        self.in_flight.retain(|p| p.0 .1 != name);
    }

    /// Reads the view from the platform, which proves that it is the newest.
    fn read_view(&mut self, vm: usize) {
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
            self.violation = Some(violation.to_string());
        }
        for action in actions {
            self.apply_action(vm, action);
        }
    }

    fn apply_action(&mut self, vm: usize, action: Action) {
        match action {
            Action::Dispatch { token, .. } => {
                self.dispatches.insert(token, vm);
            }
            Action::Drained => {}
            Action::Reply { token, verdict } => self.on_reply(token, verdict),
            Action::Send { to, msg } => {
                let live = self.names.iter().position(|n| *n == to);
                if live.is_some_and(|to| self.nodes[to].is_some()) {
                    let packet = (self.names[vm].clone(), to, msg);
                    let hash = digest(&packet);
                    let position = self.in_flight.partition_point(|p| p.1 < hash);
                    if self.in_flight.get(position).is_none_or(|p| p.1 != hash) {
                        self.in_flight.insert(position, Rc::new((packet, hash)));
                    }
                }
            }
        }
    }

    fn on_reply(&mut self, token: u64, verdict: Verdict) {
        if !self.open_sends.remove(&token) {
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
                self.violation = Some(format!("send {token} received the answer of another id"));
            }
            Verdict::NotRun { .. } => {
                let last = self.sends.len() as u64 - 1;
                self.not_run.insert(id, last);
                let is_same_id = |t: &&u64| self.sends[**t as usize] == id;
                if self.ran.iter().any(|t| is_same_id(&t)) {
                    self.violation = Some(format!("send {token} got \"not run\" after a run"));
                }
            }
            _ => {}
        }
    }

    fn record_run(&mut self, token: u64) {
        let id = self.sends[token as usize];
        if self.ran.iter().any(|&t| self.sends[t as usize] == id) {
            self.violation = Some(format!("send {token} ran although its id had already run"));
        }
        if self.not_run.get(&id).is_some_and(|&last| token <= last) {
            self.violation = Some(format!("send {token} ran after \"not run\" was answered"));
        }
        self.ran.insert(token);
    }
}
