//! Waves of upkeep: each machine of a list goes down once, few at a time, by a time.
//!
//! Load pattern: the site is full, and whatever runs on a machine ends with its upkeep. To take the
//! machines in the order of the list throws work away; to wait until each one is idle by chance
//! makes the wave late. So the machines whose work ends soonest get no new tasks and go down once
//! they are idle; work is stopped only as far as the time that is left demands.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Epoch;
use base::MachineId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// A wave as the operators ask for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<MachineId>,
    /// Time within which each of them has its upkeep.
    pub span: Millis,
    /// Most of them that may be down at a time.
    pub cap: usize,
}

/// What a machine is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It moves to another pool, or is down for another cause.
    Away,
    /// It has its upkeep.
    Upkeep,
    /// It is up.
    Up,
}

/// A machine as the service of machines lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineView {
    /// Its id.
    pub id: MachineId,
    /// What it is doing.
    pub state: MachineState,
    /// The worker that it runs.
    pub worker: Option<WorkerId>,
}

/// What runs on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Busy {
    /// Expected time until the last run has ended; zero if nothing runs.
    pub left: Millis,
    /// Work that a stop would lose, in core-milliseconds.
    pub loss: u64,
    /// Whether something runs there that may not be stopped now.
    pub is_held: bool,
}

/// What is to be done about the machines of a wave, by their places in the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Choice {
    /// They go down now.
    pub down: Vec<usize>,
    /// What runs there is stopped.
    pub clear: Vec<usize>,
    /// They get no new tasks.
    pub close: Vec<usize>,
}

/// Time beside the upkeep itself until the next machine can go down: an order, its stop before
/// and the reading that shows the machine up again.
const TURN: Millis = Millis(1_000);

/// Decides about the machines that still have to go down, of which `free` may do so now.
pub fn choose(waiting: &[Busy], free: usize, cap: usize, left: Millis, takes: Millis) -> Choice {
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    order.retain(|&num| !waiting[num].is_held);
    order.sort_by_key(|&num| (waiting[num].left, waiting[num].loss, num));
    order.truncate(free);
    let (down, close): (Vec<usize>, Vec<usize>) = order
        .into_iter()
        .partition(|&num| waiting[num].left == Millis::ZERO);
    let rounds = waiting.len().div_ceil(cap.max(1)) as u64;
    // One more round than needed is kept for orders that get no answer.
    let hurry = left.0 < (takes + TURN).0 * (rounds + 1);
    let clear = match hurry {
        true => close.clone(),
        false => Vec::new(),
    };
    Choice { down, clear, close }
}

/// An order that takes a machine down for its upkeep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpkeepOrder {
    /// The machine.
    pub machine: MachineId,
    /// The wave that it is for.
    pub wave: u64,
    /// Fence.
    pub epoch: Epoch,
}

/// The answer to an [`UpkeepOrder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpkeepAnswer {
    /// It begins, or has been.
    Begun,
    /// A later coordinator has given orders for it.
    Fenced,
    /// There is no such machine, or it is not of this wave.
    Gone,
    /// It cannot go down now, or the service takes no more orders now; why.
    Later(String),
    /// No answer: it may begin, also later.
    Unknown(String),
}

/// A wave that is under way.
#[derive(Clone, Debug)]
struct Going {
    wave: Wave,
    seen: Millis,
    begun: BTreeSet<MachineId>,
    /// An order may have been sent, and its answer is not known: it is sent again.
    open: BTreeSet<MachineId>,
    gone: BTreeSet<MachineId>,
    told: Option<WaveRecord>,
}

impl Going {
    fn is_over(&self) -> bool {
        let settled = |m: &MachineId| self.begun.contains(m) || self.gone.contains(m);
        self.wave.machines.iter().all(settled)
    }
}

/// What is recorded of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// The machines whose upkeep has begun.
    pub begun: BTreeSet<MachineId>,
    /// Those for which an order may have been sent.
    pub open: BTreeSet<MachineId>,
    /// Whether all machines that stay have had theirs.
    pub is_over: bool,
}

/// All waves, and the machines as last listed.
#[derive(Clone, Debug, Default)]
pub struct Waves {
    going: BTreeMap<u64, Going>,
    /// What an earlier coordinator recorded of waves that have not been seen here yet.
    earlier: BTreeMap<u64, WaveRecord>,
    machines: Map<MachineId, MachineView>,
    /// When the last list was asked for.
    read: Option<Millis>,
    /// Machines that may be down by an order, with the time of its latest sign.
    down: Map<MachineId, Millis>,
    /// Machines not to be tried before this time.
    not_before: Map<MachineId, Millis>,
}

/// What is to be done now about all waves.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WavePlan {
    /// Orders to send once they are recorded.
    pub orders: Vec<UpkeepOrder>,
    /// Workers whose work is stopped.
    pub clear: Vec<WorkerId>,
    /// Workers that get no new tasks.
    pub close: Set<WorkerId>,
}

/// Pause after an order that could not be carried out.
const PAUSE: Millis = Millis(500);

impl Waves {
    /// Takes over the waves that operators ask for, each with when it was first seen; others are
    /// no longer asked for.
    pub fn set_all<'a>(&mut self, asked: impl Iterator<Item = &'a (Wave, Millis)>) {
        let mut numbers = BTreeSet::new();
        for (wave, seen) in asked {
            numbers.insert(wave.number);
            self.set(wave.clone(), *seen);
        }
        self.going.retain(|number, _| numbers.contains(number));
    }

    /// Takes over a wave that operators ask for. `seen` is when it was first seen.
    pub fn set(&mut self, wave: Wave, seen: Millis) {
        let number = wave.number;
        let record = self.earlier.remove(&number);
        let told = record.clone();
        let record = record.unwrap_or_default();
        let going = self.going.entry(number).or_insert_with(|| Going {
            wave: wave.clone(),
            seen,
            begun: record.begun,
            open: record.open,
            gone: BTreeSet::new(),
            told,
        });
        going.wave = wave;
        for machine in &going.open {
            self.down.entry(machine.clone()).or_insert(seen);
        }
    }

    /// Takes over what an earlier coordinator recorded of a wave, before the wave is set.
    pub fn restore(&mut self, number: u64, record: WaveRecord) {
        self.earlier.insert(number, record);
    }

    /// Whether the list of machines is needed.
    pub fn is_active(&self) -> bool {
        self.going.values().any(|g| !g.is_over())
    }

    /// Takes a list of machines that was asked for at `sent`.
    pub fn set_machines(&mut self, listed: Vec<MachineView>, sent: Millis) {
        self.machines = listed.into_iter().map(|m| (m.id.clone(), m)).collect();
        self.read = Some(sent);
        let machines = &self.machines;
        let open: BTreeSet<&MachineId> = self.going.values().flat_map(|g| &g.open).collect();
        // What the list shows up again after the order is no longer down.
        self.down.retain(|id, at| {
            let up = machines
                .get(id)
                .is_some_and(|m| m.state == MachineState::Up);
            *at >= sent || open.contains(id) || (!up && machines.contains_key(id))
        });
        for going in self.going.values_mut() {
            let missing = going.wave.machines.iter();
            let missing = missing.filter(|id| !machines.contains_key(*id));
            going.gone.extend(missing.cloned());
            going.gone.retain(|id| !machines.contains_key(id));
        }
    }

    /// What is to be done now. `busy` tells what runs on a worker, `takes` how long an upkeep is.
    pub fn plan(
        &mut self,
        epoch: Epoch,
        now: Millis,
        takes: Millis,
        busy: impl Fn(&WorkerId) -> Busy,
    ) -> WavePlan {
        let mut plan = WavePlan::default();
        if self.read.is_none() {
            return plan;
        }
        for going in self.going.values_mut() {
            let wave = &going.wave;
            let is_free = |id: &MachineId| self.not_before.get(id).is_none_or(|at| *at <= now);
            let order = |machine: &MachineId| UpkeepOrder {
                machine: machine.clone(),
                wave: wave.number,
                epoch,
            };
            plan.orders
                .extend(going.open.iter().filter(|id| is_free(id)).map(order));
            let waiting = wave.machines.iter().filter_map(|id| {
                let settled = going.begun.contains(id) || going.gone.contains(id);
                let view = self
                    .machines
                    .get(id)
                    .filter(|m| m.state == MachineState::Up && !settled)?;
                (is_free(id) && !self.down.contains_key(id)).then_some(view)
            });
            let waiting: Vec<&MachineView> = waiting.collect();
            let is_down = |id: &&MachineId| {
                let view = self.machines.get(*id);
                let listed = view.is_some_and(|m| m.state == MachineState::Upkeep);
                listed || self.down.contains_key(*id)
            };
            let down = wave.machines.iter().filter(is_down).count();
            let free = wave.cap.saturating_sub(down);
            let load = waiting.iter().map(|m| m.worker.as_ref().map(&busy));
            let load: Vec<Busy> = load.map(Option::unwrap_or_default).collect();
            let left = wave.span.since(now.since(going.seen));
            let choice = choose(&load, free, wave.cap, left, takes);
            let workers = |nums: &[usize]| -> Vec<WorkerId> {
                let found = nums.iter().filter_map(|&num| waiting[num].worker.clone());
                found.collect()
            };
            plan.clear.extend(workers(&choice.clear));
            plan.close.extend(workers(&choice.close));
            plan.close.extend(workers(&choice.down));
            for num in choice.down {
                let id = &waiting[num].id;
                plan.orders.push(order(id));
                self.down.insert(id.clone(), now);
                going.open.insert(id.clone());
            }
        }
        plan
    }

    /// Takes the answer to an order.
    pub fn answer(&mut self, order: &UpkeepOrder, answer: &UpkeepAnswer, now: Millis) {
        let machine = &order.machine;
        let Some(going) = self.going.get_mut(&order.wave) else {
            return;
        };
        match answer {
            UpkeepAnswer::Begun => {
                going.open.remove(machine);
                going.begun.insert(machine.clone());
                self.down.insert(machine.clone(), now);
            }
            UpkeepAnswer::Gone => {
                going.open.remove(machine);
                going.gone.insert(machine.clone());
                self.down.remove(machine);
            }
            UpkeepAnswer::Later(_) => {
                going.open.remove(machine);
                self.down.remove(machine);
                self.not_before.insert(machine.clone(), now + PAUSE);
            }
            // It counts as down until an order has been answered.
            UpkeepAnswer::Unknown(_) => {
                self.not_before.insert(machine.clone(), now + PAUSE);
            }
            UpkeepAnswer::Fenced => {}
        }
    }

    /// Waves whose record has changed, with the record.
    pub fn unrecorded(&self) -> Vec<(u64, WaveRecord)> {
        let all = self.going.iter().map(|(num, g)| (*num, g, record(g)));
        let changed = all.filter(|(_, going, record)| going.told.as_ref() != Some(record));
        changed.map(|(num, _, record)| (num, record)).collect()
    }

    /// The record of a wave is stored.
    pub fn recorded(&mut self, number: u64, record: WaveRecord) {
        if let Some(going) = self.going.get_mut(&number) {
            going.told = Some(record);
        }
    }
}

fn record(going: &Going) -> WaveRecord {
    WaveRecord {
        begun: going.begun.clone(),
        open: going.open.clone(),
        is_over: going.is_over(),
    }
}
