//! Model of several daemons, the store and the network, which is advanced step by step.

use std::sync::Arc;

use base::Millis;
use base::Revision;
use base::VmId;
use conf::sync::Action;
use conf::sync::Config;
use conf::sync::Guards;
use conf::sync::Input;
use conf::sync::PeerMessage;
use conf::sync::Replica;
use conf::sync::StoreRev;
use conf::sync::StoredDoc;
use conf::tree::Change;
use conf::tree::Edit;
use conf::tree::Tree;
use conf::tree::Value;

pub const FRESHNESS: u64 = 1000;
pub const POLL: u64 = 500;
const START: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time advances by some milliseconds.
    Advance(u64),
    /// The answer to an executed read arrives.
    Answer(usize),
    /// A daemon makes a change durable.
    Change(usize),
    /// A message arrives.
    Deliver(usize),
    /// A message is lost.
    Drop(usize),
    /// The store executes a read.
    Execute(usize),
    /// A read fails.
    Fail(usize),
    /// The stored document is replaced by the previous one.
    RollBack,
    /// A message is duplicated.
    Duplicate(usize),
    /// A daemon is replaced by a new one without state.
    Restart(usize),
    /// A daemon's clock steps back by some milliseconds.
    ClockBack(usize, u64),
    /// A daemon's timer ticks.
    Tick(usize),
}

#[derive(Clone, Debug)]
struct Node {
    vm: VmId,
    replica: Replica,
    /// Milliseconds by which its clock is behind the true time.
    clock_lag: u64,
    /// Revision held at the last check, which must not decrease.
    last_revision: Revision,
}

#[derive(Clone, Debug)]
struct Packet {
    from: VmId,
    to: VmId,
    msg: PeerMessage,
}

#[derive(Clone, Debug)]
struct Reading {
    vm: VmId,
    seq: u64,
    answer: Option<StoredDoc>,
}

#[derive(Clone, Debug)]
pub struct Cluster {
    /// True time in milliseconds.
    pub time: u64,
    guards: Guards,
    nodes: Vec<Node>,
    store: StoredDoc,
    documents: Vec<String>,
    newest: Arc<Tree>,
    /// Durable revisions, each with the time of its change.
    accepted: Vec<(u64, Revision)>,
    packets: Vec<Packet>,
    reads: Vec<Reading>,
    spawned: usize,
    pub read_count: u64,
    pub message_count: u64,
}

impl Cluster {
    pub fn new(count: usize, guards: Guards) -> Cluster {
        let mut cluster = Cluster {
            time: START,
            guards,
            nodes: Vec::new(),
            store: StoredDoc::default(),
            documents: Vec::new(),
            newest: Arc::new(Tree::new()),
            accepted: Vec::new(),
            packets: Vec::new(),
            reads: Vec::new(),
            spawned: 0,
            read_count: 0,
            message_count: 0,
        };
        for _ in 0..count {
            let node = cluster.spawn();
            cluster.nodes.push(node);
        }
        cluster.join_all();
        cluster
    }

    /// Numbers of daemons, of messages in flight and of reads without an answer.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.nodes.len(), self.packets.len(), self.reads.len())
    }

    /// Whether the store can be rolled back while some daemon still holds the newest revision.
    pub fn can_roll_back(&self) -> bool {
        let newest = self.newest.revision();
        let held = |n: &Node| n.replica.tree().map(|t| t.revision()) == Some(newest);
        self.documents.len() > 1 && !self.is_rolled_back() && self.nodes.iter().any(held)
    }

    pub fn is_rolled_back(&self) -> bool {
        self.stored_revision() != self.newest.revision()
    }

    pub fn has_answer(&self, at: usize) -> bool {
        self.reads[at].answer.is_some()
    }

    /// Whether every daemon holds the newest revision and considers it fresh.
    pub fn is_settled(&self) -> bool {
        let newest = self.newest.revision();
        let held = |n: &Node| n.replica.tree().map(|t| t.revision());
        let mut nodes = self.nodes.iter();
        nodes.all(|n| held(n) == Some(newest) && n.replica.is_fresh(self.local(n)))
    }

    pub fn perform(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance(ms) => self.time += ms,
            Step::Answer(at) => {
                let read = self.reads.swap_remove(at);
                let answer = read.answer.unwrap_or_default();
                self.step_node(&read.vm, Input::Read(read.seq, answer));
            }
            Step::Change(at) => self.change(at),
            Step::Deliver(at) => {
                let packet = self.packets.swap_remove(at);
                self.step_node(&packet.to, Input::Message(packet.from, packet.msg));
            }
            Step::Drop(at) => drop(self.packets.swap_remove(at)),
            Step::Execute(at) => self.reads[at].answer = Some(self.store.clone()),
            Step::Fail(at) => {
                let read = self.reads.swap_remove(at);
                self.step_node(&read.vm, Input::ReadFailed(read.seq));
            }
            Step::RollBack => self.roll_back(),
            Step::Duplicate(at) => self.packets.push(self.packets[at].clone()),
            Step::Restart(at) => self.restart(at),
            // A daemon notices a step only if it is longer than the time since its last input.
            Step::ClockBack(at, ms) => {
                let vm = self.nodes[at].vm.clone();
                self.step_node(&vm, Input::Tick);
                self.nodes[at].clock_lag += ms;
                self.step_node(&vm, Input::Tick);
            }
            Step::Tick(at) => {
                let vm = self.nodes[at].vm.clone();
                self.step_node(&vm, Input::Tick);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), String> {
        let (time, accepted) = (self.time, &self.accepted);
        for node in &mut self.nodes {
            node.replica.check().map_err(|v| v.to_string())?;
            let held = node
                .replica
                .tree()
                .map(|t| t.revision())
                .unwrap_or_default();
            if held < node.last_revision {
                return Err(format!(
                    "{} went back from revision {} to {held}",
                    node.vm, node.last_revision
                ));
            }
            node.last_revision = held;
            let now = Millis(time - node.clock_lag);
            let old = accepted.iter().filter(|(at, _)| at + FRESHNESS <= time);
            let due = old.map(|(_, r)| *r).max().unwrap_or_default();
            if node.replica.is_fresh(now) && held < due {
                return Err(format!(
                    "{} is fresh with revision {held} although {due} is due",
                    node.vm
                ));
            }
        }
        Ok(())
    }

    fn local(&self, node: &Node) -> Millis {
        Millis(self.time - node.clock_lag)
    }

    fn spawn(&mut self) -> Node {
        let vm: VmId = format!("vm-{}", self.spawned).parse().unwrap();
        self.spawned += 1;
        let config = Config {
            vm: vm.clone(),
            freshness: Millis(FRESHNESS),
            poll: Millis(POLL),
            timeout: Millis(POLL),
            guards: self.guards,
        };
        Node {
            vm,
            replica: Replica::new(config),
            clock_lag: 0,
            last_revision: Revision(0),
        }
    }

    fn join_all(&mut self) {
        let all: Vec<VmId> = self.nodes.iter().map(|n| n.vm.clone()).collect();
        for vm in &all {
            for other in &all {
                self.step_node(vm, Input::Join(other.clone()));
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let node = self.spawn();
        let gone = std::mem::replace(&mut self.nodes[at], node).vm;
        let all: Vec<VmId> = self.nodes.iter().map(|n| n.vm.clone()).collect();
        for vm in &all {
            self.step_node(vm, Input::Leave(gone.clone()));
        }
        self.join_all();
    }

    fn change(&mut self, at: usize) {
        let edit = Edit::Set {
            at: "domain=d".parse().unwrap(),
            key: "out".into(),
            value: Value::Flag(self.newest.revision().0 % 2 == 0),
        };
        let change = Change {
            op: format!("op-{}", self.newest.revision()).parse().unwrap(),
            who: "ana".parse().unwrap(),
            when: Millis(0),
            edits: vec![edit],
        };
        let newest = self.newest.apply(&change).unwrap();
        self.newest = Arc::new(newest.with_version(self.store.version.next()));
        self.write(self.newest.encode());
        self.documents.push(self.newest.encode());
        self.accepted.push((self.time, self.newest.revision()));
        let vm = self.nodes[at].vm.clone();
        self.step_node(&vm, Input::Accepted(self.newest.clone()));
    }

    /// Replaces the stored document by the previous one.
    fn roll_back(&mut self) {
        let older = self.documents.iter().rev().nth(1).cloned();
        self.write(older.unwrap_or_default());
    }

    fn write(&mut self, data: String) {
        self.store.rev = StoreRev(self.store.rev.0 + 1);
        self.store.version = self.store.version.next();
        self.store.data = Some(data.into_bytes());
    }

    fn stored_revision(&self) -> Revision {
        let data = self.store.data.as_ref();
        data.map_or(Revision(0), |d| Tree::decode(d).unwrap().revision())
    }

    fn step_node(&mut self, vm: &VmId, input: Input) {
        let Some(at) = self.nodes.iter().position(|n| n.vm == *vm) else {
            return;
        };
        let now = self.local(&self.nodes[at]);
        for action in self.nodes[at].replica.step(now, input) {
            match action {
                Action::Alarm(_) | Action::Apply(_) => {}
                Action::Read(seq) => {
                    self.read_count += 1;
                    self.reads.push(Reading {
                        vm: vm.clone(),
                        seq,
                        answer: None,
                    });
                }
                Action::Restore { base, data } if base == self.store.rev => self.write(data),
                Action::Restore { .. } => {}
                Action::Send(to, msg) => {
                    self.message_count += 1;
                    let from = vm.clone();
                    self.packets.push(Packet { from, to, msg });
                }
            }
        }
    }
}
