//! Model of several daemons, the store and the network, which is advanced step by step.

use std::sync::Arc;

use base::Millis;
use base::Revision;
use base::VmId;
use conf::sync::Action;
use conf::sync::Config;
use conf::sync::Guards;
use conf::sync::Input;
use conf::sync::Note;
use conf::sync::StoreRev;
use conf::sync::Stored;
use conf::sync::Sync;
use conf::tree::Change;
use conf::tree::Edit;
use conf::tree::Tree;
use conf::tree::Value;

pub const FRESHNESS: u64 = 1000;
pub const POLL: u64 = 500;
const START: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Move {
    Advance(u64),
    Answer(usize),
    Change(usize),
    Deliver(usize),
    Drop(usize),
    Execute(usize),
    Fail(usize),
    Regress,
    Repeat(usize),
    Restart(usize),
    StepBack(usize, u64),
    Tick(usize),
}

#[derive(Clone, Debug)]
struct Node {
    vm: VmId,
    sync: Sync,
    behind: u64,
    seen: Revision,
}

#[derive(Clone, Debug)]
struct Wire {
    from: VmId,
    to: VmId,
    note: Note,
}

#[derive(Clone, Debug)]
struct Reading {
    vm: VmId,
    seq: u64,
    got: Option<Stored>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub real: u64,
    guards: Guards,
    nodes: Vec<Node>,
    store: Stored,
    docs: Vec<String>,
    top: Arc<Tree>,
    accepted: Vec<(u64, Revision)>,
    wires: Vec<Wire>,
    reads: Vec<Reading>,
    born: usize,
    pub calls: u64,
    pub notes: u64,
}

impl World {
    pub fn new(count: usize, guards: Guards) -> World {
        let mut world = World {
            real: START,
            guards,
            nodes: Vec::new(),
            store: Stored::default(),
            docs: Vec::new(),
            top: Arc::new(Tree::new()),
            accepted: Vec::new(),
            wires: Vec::new(),
            reads: Vec::new(),
            born: 0,
            calls: 0,
            notes: 0,
        };
        for _ in 0..count {
            let node = world.birth();
            world.nodes.push(node);
        }
        world.join_all();
        world
    }

    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.nodes.len(), self.wires.len(), self.reads.len())
    }

    /// Whether the store can be rolled back while some daemon still holds the newest revision.
    pub fn can_regress(&self) -> bool {
        let top = self.top.revision();
        let held = |n: &Node| n.sync.tree().map(|t| t.revision()) == Some(top);
        self.docs.len() > 1 && !self.is_regressed() && self.nodes.iter().any(held)
    }

    pub fn is_regressed(&self) -> bool {
        self.stored_revision() != self.top.revision()
    }

    pub fn has_answer(&self, at: usize) -> bool {
        self.reads[at].got.is_some()
    }

    /// Whether every daemon holds the newest revision and considers it fresh.
    pub fn is_settled(&self) -> bool {
        let top = self.top.revision();
        let held = |n: &Node| n.sync.tree().map(|t| t.revision());
        let mut nodes = self.nodes.iter();
        nodes.all(|n| held(n) == Some(top) && n.sync.is_fresh(self.local(n)))
    }

    pub fn go(&mut self, step: Move) -> Result<(), String> {
        match step {
            Move::Advance(ms) => self.real += ms,
            Move::Answer(at) => {
                let read = self.reads.swap_remove(at);
                let got = read.got.unwrap_or_default();
                self.feed(&read.vm, Input::Read(read.seq, got));
            }
            Move::Change(at) => self.change(at),
            Move::Deliver(at) => {
                let wire = self.wires.swap_remove(at);
                self.feed(&wire.to, Input::Note(wire.from, wire.note));
            }
            Move::Drop(at) => drop(self.wires.swap_remove(at)),
            Move::Execute(at) => self.reads[at].got = Some(self.store.clone()),
            Move::Fail(at) => {
                let read = self.reads.swap_remove(at);
                self.feed(&read.vm, Input::ReadFailed(read.seq));
            }
            Move::Regress => self.regress(),
            Move::Repeat(at) => self.wires.push(self.wires[at].clone()),
            Move::Restart(at) => self.restart(at),
            // A daemon notices a step only if it is longer than the time since its last input.
            Move::StepBack(at, ms) => {
                let vm = self.nodes[at].vm.clone();
                self.feed(&vm, Input::Tick);
                self.nodes[at].behind += ms;
                self.feed(&vm, Input::Tick);
            }
            Move::Tick(at) => {
                let vm = self.nodes[at].vm.clone();
                self.feed(&vm, Input::Tick);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), String> {
        let (real, accepted) = (self.real, &self.accepted);
        for node in &mut self.nodes {
            node.sync.check().map_err(|v| v.to_string())?;
            let held = node.sync.tree().map(|t| t.revision()).unwrap_or_default();
            if held < node.seen {
                return Err(format!(
                    "{} went back from revision {} to {held}",
                    node.vm, node.seen
                ));
            }
            node.seen = held;
            let now = Millis(real - node.behind);
            let old = accepted.iter().filter(|(at, _)| at + FRESHNESS <= real);
            let due = old.map(|(_, r)| *r).max().unwrap_or_default();
            if node.sync.is_fresh(now) && held < due {
                return Err(format!(
                    "{} is fresh with revision {held} although {due} is due",
                    node.vm
                ));
            }
        }
        Ok(())
    }

    fn local(&self, node: &Node) -> Millis {
        Millis(self.real - node.behind)
    }

    fn birth(&mut self) -> Node {
        let vm: VmId = format!("vm-{}", self.born).parse().unwrap();
        self.born += 1;
        let config = Config {
            me: vm.clone(),
            freshness: Millis(FRESHNESS),
            poll: Millis(POLL),
            timeout: Millis(POLL),
            guards: self.guards,
        };
        Node {
            vm,
            sync: Sync::new(config),
            behind: 0,
            seen: Revision(0),
        }
    }

    fn join_all(&mut self) {
        let all: Vec<VmId> = self.nodes.iter().map(|n| n.vm.clone()).collect();
        for vm in &all {
            for other in &all {
                self.feed(vm, Input::Join(other.clone()));
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let node = self.birth();
        let gone = std::mem::replace(&mut self.nodes[at], node).vm;
        let all: Vec<VmId> = self.nodes.iter().map(|n| n.vm.clone()).collect();
        for vm in &all {
            self.feed(vm, Input::Leave(gone.clone()));
        }
        self.join_all();
    }

    fn change(&mut self, at: usize) {
        let edit = Edit::Set {
            at: "domain=d".parse().unwrap(),
            key: "out".into(),
            value: Value::Flag(self.top.revision().0 % 2 == 0),
        };
        let change = Change {
            op: format!("op-{}", self.top.revision()).parse().unwrap(),
            who: "ana".parse().unwrap(),
            when: Millis(0),
            edits: vec![edit],
        };
        let top = self.top.apply(&change).unwrap();
        self.top = Arc::new(top.with_version(self.store.version.next()));
        self.write(self.top.encode());
        self.docs.push(self.top.encode());
        self.accepted.push((self.real, self.top.revision()));
        let vm = self.nodes[at].vm.clone();
        self.feed(&vm, Input::Accepted(self.top.clone()));
    }

    /// Replaces the stored document by the previous one.
    fn regress(&mut self) {
        let older = self.docs.iter().rev().nth(1).cloned();
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

    fn feed(&mut self, vm: &VmId, input: Input) {
        let Some(at) = self.nodes.iter().position(|n| n.vm == *vm) else {
            return;
        };
        let now = self.local(&self.nodes[at]);
        for action in self.nodes[at].sync.step(now, input) {
            match action {
                Action::Alarm(_) | Action::Apply(_) => {}
                Action::Read(seq) => {
                    self.calls += 1;
                    self.reads.push(Reading {
                        vm: vm.clone(),
                        seq,
                        got: None,
                    });
                }
                Action::Restore { base, data } if base == self.store.rev => self.write(data),
                Action::Restore { .. } => {}
                Action::Send(to, note) => {
                    self.notes += 1;
                    let from = vm.clone();
                    self.wires.push(Wire { from, to, note });
                }
            }
        }
    }
}
