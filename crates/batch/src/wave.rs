//! Waves of upkeep: each machine of a list is taken down once, a few at a time, before a deadline.
//!
//! Load pattern: the site is full, and what runs on a machine is stopped when it goes down. Taking
//! the machines in the order of the list loses work; waiting until each is idle by chance misses
//! the deadline. So the machines whose work ends soonest get no new tasks and go down once idle,
//! and work is stopped only when the remaining time requires it.

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

/// A wave, as operators request it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number that identifies the wave.
    pub number: u64,
    /// The machines that need upkeep.
    pub machines: Vec<MachineId>,
    /// Time within which each of them must have its upkeep.
    pub span: Millis,
    /// Most machines of the wave that may be down at a time.
    pub cap: usize,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It is moving to another pool, or is down for another reason.
    Away,
    /// It is down for upkeep.
    Upkeep,
    /// It is in service.
    Up,
}

/// A machine, as the machine service lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineEntry {
    /// Id of the machine.
    pub id: MachineId,
    /// Its current state.
    pub state: MachineState,
    /// The worker on it, if any.
    pub worker: Option<WorkerId>,
}

/// The work on one machine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MachineWork {
    /// Expected time until its last run ends; zero if nothing runs.
    pub left: Millis,
    /// Work that would be lost by stopping the runs, in core-milliseconds.
    pub loss: u64,
    /// Whether a run on it may not be stopped now.
    pub is_held: bool,
}

/// Decision on the machines of a wave, by their indices in the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveDecision {
    /// Machines that go down now.
    pub down: Vec<usize>,
    /// Machines whose runs are stopped.
    pub evict: Vec<usize>,
    /// Machines that get no new tasks.
    pub cordon: Vec<usize>,
}

/// Overhead per machine in addition to the upkeep: the request, stopping runs before it, and the
/// list that shows the machine in service again.
const TURNAROUND: Millis = Millis(1_000);

/// Decides on the machines that still need upkeep, of which at most `free` may go down now.
pub fn choose(
    waiting: &[MachineWork],
    free: usize,
    cap: usize,
    left: Millis,
    upkeep_time: Millis,
) -> WaveDecision {
    let mut indices: Vec<usize> = (0..waiting.len()).collect();
    indices.retain(|&num| !waiting[num].is_held);
    indices.sort_by_key(|&num| (waiting[num].left, waiting[num].loss, num));
    indices.truncate(free);
    let (down, cordon): (Vec<usize>, Vec<usize>) = indices
        .into_iter()
        .partition(|&num| waiting[num].left == Millis::ZERO);
    let rounds = waiting.len().div_ceil(cap.max(1)) as u64;
    // The time for one round more than needed is reserved for requests without a response.
    let is_short_of_time = left.0 < (upkeep_time + TURNAROUND).0 * (rounds + 1);
    let evict = match is_short_of_time {
        true => cordon.clone(),
        false => Vec::new(),
    };
    WaveDecision {
        down,
        evict,
        cordon,
    }
}

/// A request to take a machine down for upkeep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpkeepRequest {
    /// The machine to take down.
    pub machine: MachineId,
    /// Number of the wave.
    pub wave: u64,
    /// Epoch of the coordinator; requests of an earlier one are refused.
    pub epoch: Epoch,
}

/// Response to an [`UpkeepRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpkeepResponse {
    /// The upkeep has begun, now or earlier.
    Begun,
    /// Refused: a later coordinator has sent requests.
    Fenced,
    /// There is no such machine, or it is not part of this wave.
    Gone,
    /// The machine cannot go down now, or the service accepts no more requests now. Holds the
    /// reason.
    Later(String),
    /// Not answered: the upkeep may have begun or may still begin. Holds the error.
    Unknown(String),
}

/// State of an active wave.
#[derive(Clone, Debug)]
struct ActiveWave {
    wave: Wave,
    first_seen: Millis,
    begun: BTreeSet<MachineId>,
    /// Machines for which a request may have been sent and no response is known; it is repeated.
    open: BTreeSet<MachineId>,
    /// Those of them for which a request was sent that has no response.
    unanswered: BTreeSet<MachineId>,
    gone: BTreeSet<MachineId>,
    stored_record: Option<WaveRecord>,
}

impl ActiveWave {
    fn is_over(&self) -> bool {
        let settled = |m: &MachineId| self.begun.contains(m) || self.gone.contains(m);
        self.wave.machines.iter().all(settled)
    }

    fn is_recorded(&self) -> bool {
        self.stored_record.as_ref() == Some(&record(self))
    }
}

/// The stored record of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Machines whose upkeep has begun.
    pub begun: BTreeSet<MachineId>,
    /// Machines for which a request may have been sent.
    pub open: BTreeSet<MachineId>,
    /// Whether the upkeep of all machines that still exist has begun.
    pub is_over: bool,
}

/// State of all waves, and the last list of machines.
#[derive(Clone, Debug, Default)]
pub struct Waves {
    active: BTreeMap<u64, ActiveWave>,
    /// Records of an earlier coordinator on waves that have not been set yet.
    restored: BTreeMap<u64, WaveRecord>,
    machines: Map<MachineId, MachineEntry>,
    /// When the last list was requested.
    listed_at: Option<Millis>,
    /// Machines that may be down because of a request, with the time of the last request or
    /// response.
    down: Map<MachineId, Millis>,
    /// Machines that get no request before this time.
    not_before: Map<MachineId, Millis>,
}

/// Actions that are due for all waves.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WavePlan {
    /// Requests to send once they are recorded.
    pub requests: Vec<UpkeepRequest>,
    /// Workers whose runs are to be stopped.
    pub evict: Vec<WorkerId>,
    /// Workers that get no new tasks.
    pub cordon: Set<WorkerId>,
}

/// Pause after a request that was refused or not answered.
const RETRY_PAUSE: Millis = Millis(500);

impl Waves {
    /// Replaces the waves that operators have requested. Each comes with the time at which it was
    /// first seen; waves not among them are dropped.
    pub fn set_all<'a>(&mut self, requested: impl Iterator<Item = &'a (Wave, Millis)>) {
        let mut numbers = BTreeSet::new();
        for (wave, seen) in requested {
            numbers.insert(wave.number);
            self.set(wave.clone(), *seen);
        }
        self.active.retain(|number, _| numbers.contains(number));
    }

    /// Adds or updates a wave. `seen` is when it was first seen.
    pub fn set(&mut self, wave: Wave, seen: Millis) {
        let number = wave.number;
        let record = self.restored.remove(&number);
        let stored_record = record.clone();
        let record = record.unwrap_or_default();
        let active = self.active.entry(number).or_insert_with(|| ActiveWave {
            wave: wave.clone(),
            first_seen: seen,
            begun: record.begun,
            unanswered: record.open.clone(),
            open: record.open,
            gone: BTreeSet::new(),
            stored_record,
        });
        active.wave = wave;
        for machine in &active.open {
            self.down.entry(machine.clone()).or_insert(seen);
        }
    }

    /// Restores the record of an earlier coordinator. To be called before the wave is set.
    pub fn restore(&mut self, number: u64, record: WaveRecord) {
        self.restored.insert(number, record);
    }

    /// Drops the record of a wave that is not requested any more.
    pub fn forget(&mut self, number: u64) {
        self.restored.remove(&number);
    }

    /// Whether a wave still has upkeep to do, or a record to store.
    pub fn is_active(&self) -> bool {
        self.active
            .values()
            .any(|w| !w.is_over() || !w.is_recorded())
    }

    /// The worker on a machine, by the last list.
    pub fn worker_of(&self, machine: &MachineId) -> Option<&WorkerId> {
        self.machines.get(machine)?.worker.as_ref()
    }

    /// Workers on machines whose upkeep may begin at any time, as a request has no response.
    pub fn open_workers(&self) -> Set<WorkerId> {
        let open = self.active.values().flat_map(|w| &w.open);
        let workers = open.filter_map(|id| worker_up(&self.machines, id));
        workers.cloned().collect()
    }

    /// Applies a list of machines that was requested at `sent`.
    pub fn set_machines(&mut self, listed: Vec<MachineEntry>, sent: Millis) {
        self.machines.clear();
        self.add_machines(listed, sent);
        for active in self.active.values_mut() {
            let missing = active.wave.machines.iter();
            let missing = missing.filter(|id| !self.machines.contains_key(*id));
            active.gone.extend(missing.cloned());
        }
    }

    /// Applies a list of machines that was requested at `sent` and from which some may be missing.
    /// Of those it is not known what they do, and none counts as gone.
    pub fn add_machines(&mut self, listed: Vec<MachineEntry>, sent: Millis) {
        for machine in self.machines.values_mut() {
            machine.state = MachineState::Away;
            machine.worker = None;
        }
        let listed = listed.into_iter().map(|m| (m.id.clone(), m));
        self.machines.extend(listed);
        self.listed_at = Some(sent);
        let machines = &self.machines;
        let open: BTreeSet<&MachineId> = self.active.values().flat_map(|w| &w.open).collect();
        // A machine that the list shows in service, and that has no later request, is no longer
        // down.
        self.down.retain(|id, at| {
            let up = machines
                .get(id)
                .is_some_and(|m| m.state == MachineState::Up);
            *at >= sent || open.contains(id) || (!up && machines.contains_key(id))
        });
        for active in self.active.values_mut() {
            active.gone.retain(|id| !machines.contains_key(id));
        }
    }

    /// The actions that are due now. `work` returns the work on a worker, `upkeep_time` is the
    /// duration of one upkeep.
    pub fn plan(
        &mut self,
        epoch: Epoch,
        now: Millis,
        upkeep_time: Millis,
        work: impl Fn(&WorkerId) -> MachineWork,
    ) -> WavePlan {
        let mut plan = WavePlan::default();
        if self.listed_at.is_none() {
            return plan;
        }
        for active in self.active.values_mut() {
            let wave = &active.wave;
            let is_free = |id: &MachineId| self.not_before.get(id).is_none_or(|at| *at <= now);
            let request = |machine: &MachineId| UpkeepRequest {
                machine: machine.clone(),
                wave: wave.number,
                epoch,
            };
            for id in &active.open {
                let worker = worker_up(&self.machines, id);
                plan.cordon.extend(worker.cloned());
                if is_free(id) && !worker.is_some_and(|w| work(w).is_held) {
                    plan.requests.push(request(id));
                }
            }
            let waiting = wave.machines.iter().filter_map(|id| {
                let settled = active.begun.contains(id) || active.gone.contains(id);
                let entry = self
                    .machines
                    .get(id)
                    .filter(|m| m.state == MachineState::Up && !settled)?;
                (is_free(id) && !self.down.contains_key(id)).then_some(entry)
            });
            let waiting: Vec<&MachineEntry> = waiting.collect();
            let is_down = |id: &&MachineId| {
                let entry = self.machines.get(*id);
                let listed = entry.is_some_and(|m| m.state == MachineState::Upkeep);
                listed || self.down.contains_key(*id)
            };
            let down = wave.machines.iter().filter(is_down).count();
            let free = wave.cap.saturating_sub(down);
            let load = waiting.iter().map(|m| m.worker.as_ref().map(&work));
            let load: Vec<MachineWork> = load.map(Option::unwrap_or_default).collect();
            let left = wave.span.since(now.since(active.first_seen));
            let decision = choose(&load, free, wave.cap, left, upkeep_time);
            let workers = |nums: &[usize]| -> Vec<WorkerId> {
                let found = nums.iter().filter_map(|&num| waiting[num].worker.clone());
                found.collect()
            };
            plan.evict.extend(workers(&decision.evict));
            plan.cordon.extend(workers(&decision.cordon));
            plan.cordon.extend(workers(&decision.down));
            for num in decision.down {
                let id = &waiting[num].id;
                plan.requests.push(request(id));
                self.down.insert(id.clone(), now);
                active.open.insert(id.clone());
            }
        }
        plan
    }

    /// Processes the response to a request.
    pub fn apply_response(
        &mut self,
        request: &UpkeepRequest,
        response: &UpkeepResponse,
        now: Millis,
    ) {
        let machine = &request.machine;
        let Some(active) = self.active.get_mut(&request.wave) else {
            return;
        };
        match response {
            UpkeepResponse::Begun => {
                active.open.remove(machine);
                active.unanswered.remove(machine);
                active.begun.insert(machine.clone());
                self.down.insert(machine.clone(), now);
            }
            UpkeepResponse::Gone => {
                active.open.remove(machine);
                active.unanswered.remove(machine);
                active.gone.insert(machine.clone());
                self.down.remove(machine);
            }
            // It says nothing about an earlier request, which may still be carried out.
            UpkeepResponse::Later(_) if active.unanswered.contains(machine) => {
                self.not_before.insert(machine.clone(), now + RETRY_PAUSE);
            }
            UpkeepResponse::Later(_) => {
                active.open.remove(machine);
                self.down.remove(machine);
                self.not_before.insert(machine.clone(), now + RETRY_PAUSE);
            }
            // The machine counts as down until a request for it is answered.
            UpkeepResponse::Unknown(_) => {
                active.unanswered.insert(machine.clone());
                self.not_before.insert(machine.clone(), now + RETRY_PAUSE);
            }
            UpkeepResponse::Fenced => {}
        }
    }

    /// Waves whose record has changed since it was stored, with the new record.
    pub fn unrecorded(&self) -> Vec<(u64, WaveRecord)> {
        let changed = self.active.iter().filter(|(_, w)| !w.is_recorded());
        changed.map(|(num, w)| (*num, record(w))).collect()
    }

    /// Notes that the record of a wave is stored.
    pub fn mark_recorded(&mut self, number: u64, record: WaveRecord) {
        if let Some(active) = self.active.get_mut(&number) {
            active.stored_record = Some(record);
        }
    }
}

/// The worker on a machine that is in service.
fn worker_up<'a>(
    machines: &'a Map<MachineId, MachineEntry>,
    id: &MachineId,
) -> Option<&'a WorkerId> {
    let machine = machines.get(id).filter(|m| m.state == MachineState::Up);
    machine?.worker.as_ref()
}

fn record(active: &ActiveWave) -> WaveRecord {
    WaveRecord {
        begun: active.begun.clone(),
        open: active.open.clone(),
        is_over: active.is_over(),
    }
}
