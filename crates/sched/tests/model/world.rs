//! Nodes with coordinators, workers, a store and a network that delays, loses and reorders.
//!
//! Nothing is lost by an event of its own: a message that is not delivered in time is dropped.

use base::DomainId;
use base::Epoch;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Revision;
use base::WorkerId;
use sched::Action;
use sched::CallBody;
use sched::CallId;
use sched::CallResult;
use sched::Coordinator;
use sched::Faults;
use sched::Input;
use sched::JobRecord;
use sched::StopWhy;
use sched::Timing;
use sched::WriteResult;
use work::wire::TaskPhase;

use super::event::Event;
use super::observer::Observer;
use super::site;
use super::site::Store;
use super::worker::WorkerModel;

/// A call on its way, or its result on the way back.
#[derive(Clone, Debug)]
pub struct Call {
    pub node: usize,
    pub worker: usize,
    pub id: CallId,
    pub body: CallBody,
    pub sent: Millis,
    pub result: Option<CallResult>,
    /// Whether the caller was told that it is lost.
    pub told: bool,
}

/// A write on its way, or its result on the way back.
#[derive(Clone, Debug)]
pub struct Write {
    pub node: usize,
    pub record: JobRecord,
    pub expect: Revision,
    pub sent: Millis,
    pub result: Option<WriteResult>,
    pub told: bool,
}

/// A process with a coordinator.
#[derive(Clone, Debug)]
pub struct Node {
    pub coord: Coordinator,
    pub paused: bool,
    pub seen: u64,
    /// Whether no news of the settings arrive.
    pub muted: bool,
    /// Whether the operators' change is known here.
    pub knows_out: bool,
}

/// Sizes and bounds of a world.
#[derive(Clone, Debug)]
pub struct Params {
    pub workers: usize,
    pub nodes: usize,
    pub accels: u32,
    pub jobs: Vec<JobSpec>,
    pub timing: Timing,
    pub faults: Faults,
    /// What one tick lasts.
    pub tick: Millis,
    /// Whether the coordinators' own invariants are checked, too.
    pub inner: bool,
    /// Whether workers refuse lower epochs.
    pub fence: bool,
    /// How long a proof of the settings is valid.
    pub permit: Millis,
}

/// Everything.
#[derive(Clone, Debug)]
pub struct World {
    pub params: std::rc::Rc<Params>,
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub workers: Vec<WorkerModel>,
    pub store: Store,
    pub epoch: u64,
    pub holder: usize,
    pub calls: Vec<Call>,
    pub writes: Vec<Write>,
    pub out: Option<Millis>,
    pub observer: Observer,
}

impl World {
    /// All jobs are submitted and node 0 is elected.
    pub fn new(params: Params) -> World {
        let node = || Node {
            coord: new_coord(&params),
            paused: false,
            muted: false,
            seen: 0,
            knows_out: false,
        };
        let mut world = World {
            now: Millis(100),
            nodes: (0..params.nodes).map(|_| node()).collect(),
            workers: (0..params.workers)
                .map(|i| WorkerModel::new(site::worker_id(i), params.fence))
                .collect(),
            store: Store::default(),
            epoch: 0,
            holder: 0,
            calls: Vec::new(),
            writes: Vec::new(),
            out: None,
            observer: Observer::default(),
            params: std::rc::Rc::new(params),
        };
        for spec in world.params.clone().jobs.iter().cloned() {
            let rec = JobRecord::new(spec, domain(), world.now);
            world.store.put(rec);
        }
        world.elect(0);
        world
    }

    /// Carries out an event and checks every invariant.
    pub fn apply(&mut self, event: &Event) -> Result<(), String> {
        self.perform(event);
        let checked = self.nodes.iter().filter(|_| self.params.inner);
        for node in checked {
            node.coord.check().map_err(|e| e.to_string())?;
        }
        let mut observer = std::mem::take(&mut self.observer);
        let seen = observer.observe(self);
        self.observer = observer;
        seen
    }

    /// Carries out an event, or nothing if its message does not exist here.
    pub fn try_apply(&mut self, event: &Event) -> Result<(), String> {
        let exists = match event {
            Event::Apply(i) | Event::Store(i) | Event::Wrote(i) => *i < self.writes.len(),
            Event::Copy(i) | Event::Deliver(i) | Event::Exchange(i) | Event::Reply(i) => {
                *i < self.calls.len()
            }
            _ => true,
        };
        if exists {
            self.apply(event)
        } else {
            Ok(())
        }
    }

    fn perform(&mut self, event: &Event) {
        match event {
            Event::Apply(i) => self.take_write(*i),
            Event::Cancel(job) => self.cancel(job),
            Event::Copy(i) => {
                let copy = self.calls[*i].clone();
                self.deliver(*i);
                self.calls.push(Call { told: true, ..copy });
            }
            Event::CrashNode(n) => self.crash_node(*n),
            Event::CrashWorker(w) => {
                let id = self.workers[*w].id.clone();
                self.workers[*w] = WorkerModel::new(id, self.params.fence);
            }
            Event::Deliver(i) => self.deliver(*i),
            Event::Depose(n) => self.feed(*n, Input::Deposed),
            Event::Elect(n) => self.elect(*n),
            Event::End(w, key, good) => {
                let phase = if *good {
                    TaskPhase::Finished
                } else {
                    TaskPhase::Failed
                };
                self.workers[*w].end(key, phase);
            }
            Event::Mute(n) => self.nodes[*n].muted = !self.nodes[*n].muted,
            Event::Exchange(i) => {
                self.deliver(*i);
                self.reply(*i);
            }
            Event::Out => self.out = Some(self.now),
            Event::Pause(n) => self.nodes[*n].paused = true,
            Event::Plan(n, job, pick) => self.plan(*n, job, *pick),
            Event::Reply(i) => self.reply(*i),
            Event::Resume(n) => self.resume(*n),
            Event::Store(i) => {
                self.take_write(*i);
                self.answer_write(*i);
            }
            Event::Stop(n, job) => self.feed(
                *n,
                Input::Stop {
                    jobs: vec![job.clone()],
                    checkpoint: true,
                    why: StopWhy::Requeue,
                },
            ),
            Event::Tick => self.tick(),
            Event::Watch(n) => self.watch(*n),
            Event::Wrote(i) => self.answer_write(*i),
        }
    }

    /// Gives a coordinator an input and puts its messages on their way.
    pub fn feed(&mut self, n: usize, input: Input) {
        let actions = self.nodes[n].coord.step(self.now, input);
        for action in actions {
            match action {
                Action::Call { call, worker, body } => self.send(n, call, &worker, body),
                Action::Tell(_) => {}
                Action::Write { record, expect } => self.writes.push(Write {
                    node: n,
                    record: *record,
                    expect,
                    sent: self.now,
                    result: None,
                    told: false,
                }),
            }
        }
    }

    fn send(&mut self, node: usize, id: CallId, worker: &WorkerId, body: CallBody) {
        let worker = self.workers.iter().position(|w| w.id == *worker);
        self.calls.push(Call {
            node,
            worker: worker.expect("a worker of this world"),
            id,
            body,
            sent: self.now,
            result: None,
            told: false,
        });
    }

    fn elect(&mut self, n: usize) {
        self.epoch += 1;
        self.holder = n;
        self.observer.elections += 1;
        let epoch = Epoch(self.epoch);
        let ids = self.workers.iter().map(|w| w.id.clone()).collect();
        self.feed(n, Input::Workers(ids));
        self.feed(n, Input::Elected { epoch });
        self.watch(n);
        self.feed(n, Input::Synced);
        self.permit(n);
    }

    fn watch(&mut self, n: usize) {
        let seen = self.nodes[n].seen;
        let list = self.store.list();
        let news = list.into_iter().filter(|(_, rev)| rev.0 > seen).collect();
        self.nodes[n].seen = self.store.rev;
        self.feed(n, Input::Records(news));
    }

    /// Proof of the newest settings: it brings them along.
    fn permit(&mut self, n: usize) {
        if self.nodes[n].muted {
            return;
        }
        if self.out.is_some() && !self.nodes[n].knows_out {
            self.nodes[n].knows_out = true;
            self.feed(n, Input::DomainOut(true));
        }
        let until = self.now + self.params.permit;
        self.feed(n, Input::Permit { until });
    }

    fn plan(&mut self, n: usize, job: &JobId, pick: u32) {
        let tasks = self.store.records[job].0.spec.shape.tasks;
        let mut plan = site::plan(job, tasks, 0);
        for place in &mut plan.places {
            let num = (place.task + pick) as usize % self.workers.len();
            place.worker = site::worker_id(num);
            place.first = (pick / 8) % self.params.accels;
        }
        self.feed(n, Input::Plan(plan));
    }

    fn deliver(&mut self, i: usize) {
        let now = self.now;
        let call = &mut self.calls[i];
        let worker = &mut self.workers[call.worker];
        let result = match &call.body {
            CallBody::Epoch(body) => worker.accept(body.epoch).map(CallResult::State),
            CallBody::Tasks(body) => worker.call(now, body).map(CallResult::Tasks),
        };
        call.result = Some(result.unwrap_or_else(|f| CallResult::Fenced(f.epoch)));
        if call.told {
            self.calls.remove(i);
        }
    }

    fn reply(&mut self, i: usize) {
        let call = self.calls.remove(i);
        let worker = self.workers[call.worker].id.clone();
        let result = call.result.unwrap_or(CallResult::Lost);
        let input = Input::Reply {
            call: call.id,
            worker,
            result,
        };
        self.feed(call.node, input);
    }

    fn take_write(&mut self, i: usize) {
        let write = &mut self.writes[i];
        write.result = Some(self.store.swap(write.record.clone(), write.expect));
        if write.told {
            self.writes.remove(i);
        }
    }

    fn answer_write(&mut self, i: usize) {
        let write = self.writes.remove(i);
        let result = write.result.unwrap_or(WriteResult::Lost);
        self.feed_wrote(write.node, &write.record, result);
    }

    fn feed_wrote(&mut self, n: usize, record: &JobRecord, result: WriteResult) {
        let (job, op) = (record.spec.id.clone(), record.op);
        self.feed(n, Input::Wrote { job, op, result });
    }

    fn cancel(&mut self, job: &JobId) {
        let mut rec = self.store.records[job].0.clone();
        rec.cancel = true;
        self.store.put(rec);
    }

    fn crash_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.coord = new_coord(&self.params);
        node.seen = 0;
        node.paused = false;
        node.muted = false;
        node.knows_out = false;
        self.calls
            .iter_mut()
            .filter(|c| c.node == n)
            .for_each(|c| c.told = true);
        self.writes
            .iter_mut()
            .filter(|w| w.node == n)
            .for_each(|w| w.told = true);
    }

    /// Calls that were about to be sent when the process was paused are sent now.
    fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        let now = self.now;
        for call in self
            .calls
            .iter_mut()
            .filter(|c| c.node == n && c.result.is_none())
        {
            call.sent = now;
        }
    }

    fn tick(&mut self) {
        self.now += self.params.tick;
        let now = self.now;
        self.workers.iter_mut().for_each(|w| w.lapse(now));
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused {
                continue;
            }
            self.expire_calls(n);
            self.expire_writes(n);
            if self.nodes[n].coord.epoch().is_some() {
                self.permit(n);
            }
            self.feed(n, Input::Tick);
        }
    }

    /// Tells a node which calls are lost and drops calls that the network cannot hold longer.
    fn expire_calls(&mut self, n: usize) {
        let timing = &self.params.timing;
        let (wait, delay) = (timing.call_wait, timing.call_delay);
        let now = self.now;
        let late = |c: &Call| c.node == n && now >= c.sent + wait;
        let mut lost = Vec::new();
        for call in self.calls.iter_mut().filter(|c| late(c) && !c.told) {
            call.told = true;
            lost.push((call.id, call.worker));
        }
        self.calls
            .retain(|c| c.node != n || !c.told || (c.result.is_none() && now < c.sent + delay));
        for (call, worker) in lost {
            let worker = self.workers[worker].id.clone();
            let result = CallResult::Lost;
            self.feed(
                n,
                Input::Reply {
                    call,
                    worker,
                    result,
                },
            );
        }
    }

    fn expire_writes(&mut self, n: usize) {
        let wait = self.params.timing.write_wait;
        let now = self.now;
        let mut lost = Vec::new();
        for write in self.writes.iter_mut().filter(|w| w.node == n && !w.told) {
            if now >= write.sent + wait {
                write.told = true;
                lost.push(write.record.clone());
            }
        }
        let kept = |w: &Write| {
            w.node != n || !w.told || (w.result.is_none() && now < w.sent + wait + wait)
        };
        self.writes.retain(kept);
        for record in lost {
            self.feed_wrote(n, &record, WriteResult::Lost);
        }
    }
}

fn new_coord(params: &Params) -> Coordinator {
    Coordinator::with_faults(domain(), params.timing.clone(), params.faults.clone())
}

fn domain() -> DomainId {
    site::domain()
}
