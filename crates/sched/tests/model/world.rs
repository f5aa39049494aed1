//! Simulated world: nodes with coordinators, workers, a store, and a network that delays, loses
//! and reorders messages.
//!
//! There is no event for the loss of a message: one that is not delivered in time is dropped.

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
use sched::Input;
use sched::JobRecord;
use sched::SafetyOverrides;
use sched::StopCause;
use sched::Timing;
use sched::WriteResult;
use work::wire::TaskPhase;

use super::event::Event;
use super::observer::Observer;
use super::site;
use super::site::Store;
use super::worker::WorkerModel;

/// A call in flight, or its result in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub node: usize,
    pub worker: usize,
    pub id: CallId,
    pub body: CallBody,
    pub sent: Millis,
    pub result: Option<CallResult>,
    /// Whether the node no longer waits for the result, or the call is a duplicate.
    pub abandoned: bool,
}

/// A write in flight, or its result in flight.
#[derive(Clone, Debug)]
pub struct Write {
    pub node: usize,
    pub record: JobRecord,
    pub expect: Revision,
    pub sent: Millis,
    pub result: Option<WriteResult>,
    /// Whether the node no longer waits for the result.
    pub abandoned: bool,
}

/// A simulated process with a coordinator.
#[derive(Clone, Debug)]
pub struct Node {
    pub coord: Coordinator,
    pub paused: bool,
    /// Latest revision of the store that its watch delivered.
    pub seen_rev: u64,
    /// Whether its settings watch has stalled, so that permits are not extended.
    pub watch_stalled: bool,
    /// Whether the node knows that the failure domain is out of service.
    pub knows_out: bool,
}

/// Parameters of a world.
#[derive(Clone, Debug)]
pub struct Params {
    pub workers: usize,
    pub nodes: usize,
    pub accels: u32,
    pub jobs: Vec<JobSpec>,
    pub timing: Timing,
    pub overrides: SafetyOverrides,
    /// Duration of one tick.
    pub tick: Millis,
    /// Whether the invariants that coordinators check themselves are checked too.
    pub own_checks: bool,
    /// Whether workers refuse calls with a lower epoch than before.
    pub fencing: bool,
    /// How long a permit lasts.
    pub permit_period: Millis,
}

/// State of a simulated world.
#[derive(Clone, Debug)]
pub struct World {
    pub params: std::rc::Rc<Params>,
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub workers: Vec<WorkerModel>,
    pub store: Store,
    pub epoch: u64,
    /// Node that was elected last.
    pub lock_holder: usize,
    pub calls: Vec<Call>,
    pub writes: Vec<Write>,
    /// When the failure domain was taken out of service.
    pub domain_out: Option<Millis>,
    pub observer: Observer,
}

impl World {
    /// A world in which all jobs are submitted and node 0 is elected.
    pub fn new(params: Params) -> World {
        let node = || Node {
            coord: new_coord(&params),
            paused: false,
            watch_stalled: false,
            seen_rev: 0,
            knows_out: false,
        };
        let mut world = World {
            now: Millis(100),
            nodes: (0..params.nodes).map(|_| node()).collect(),
            workers: (0..params.workers)
                .map(|i| WorkerModel::new(site::worker_id(i), params.fencing))
                .collect(),
            store: Store::default(),
            epoch: 0,
            lock_holder: 0,
            calls: Vec::new(),
            writes: Vec::new(),
            domain_out: None,
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

    /// Carries out an event and checks all invariants. The error describes the violation.
    pub fn apply(&mut self, event: &Event) -> Result<(), String> {
        self.perform(event);
        let checked = self.nodes.iter().filter(|_| self.params.own_checks);
        for node in checked {
            node.coord.check().map_err(|e| e.to_string())?;
        }
        let mut observer = std::mem::take(&mut self.observer);
        let seen = observer.observe(self);
        self.observer = observer;
        seen
    }

    /// Like [`World::apply`], but ignores an event whose message does not exist in this world.
    pub fn try_apply(&mut self, event: &Event) -> Result<(), String> {
        let exists = match event {
            Event::ApplyWrite(i) | Event::WriteRoundTrip(i) | Event::DeliverWriteResult(i) => {
                *i < self.writes.len()
            }
            Event::DuplicateCall(i)
            | Event::DeliverCall(i)
            | Event::CallRoundTrip(i)
            | Event::DeliverReply(i) => *i < self.calls.len(),
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
            Event::ApplyWrite(i) => self.apply_write(*i),
            Event::Cancel(job) => self.cancel(job),
            Event::DuplicateCall(i) => {
                let copy = self.calls[*i].clone();
                self.deliver(*i);
                self.calls.push(Call {
                    abandoned: true,
                    ..copy
                });
            }
            Event::CrashNode(n) => self.crash_node(*n),
            Event::CrashWorker(w) => {
                let id = self.workers[*w].id.clone();
                self.workers[*w] = WorkerModel::new(id, self.params.fencing);
            }
            Event::DeliverCall(i) => self.deliver(*i),
            Event::Depose(n) => self.feed(*n, Input::Deposed),
            Event::Elect(n) => self.elect(*n),
            Event::EndTask(w, key, success) => {
                let phase = if *success {
                    TaskPhase::Finished
                } else {
                    TaskPhase::Failed
                };
                self.workers[*w].end(key, phase);
            }
            Event::ToggleWatch(n) => self.nodes[*n].watch_stalled = !self.nodes[*n].watch_stalled,
            Event::CallRoundTrip(i) => {
                self.deliver(*i);
                self.reply(*i);
            }
            Event::TakeDomainOut => self.domain_out = Some(self.now),
            Event::Pause(n) => self.nodes[*n].paused = true,
            Event::Plan(n, job, choice) => self.plan(*n, job, *choice),
            Event::DeliverReply(i) => self.reply(*i),
            Event::Resume(n) => self.resume(*n),
            Event::WriteRoundTrip(i) => {
                self.apply_write(*i);
                self.answer_write(*i);
            }
            Event::Stop(n, job) => self.feed(
                *n,
                Input::Stop {
                    jobs: vec![job.clone()],
                    checkpoint: true,
                    cause: StopCause::Requeue,
                },
            ),
            Event::Tick => self.tick(),
            Event::DeliverRecords(n) => self.deliver_records(*n),
            Event::DeliverWriteResult(i) => self.answer_write(*i),
        }
    }

    /// Feeds a coordinator an input and puts the calls and writes that result in flight.
    pub fn feed(&mut self, n: usize, input: Input) {
        let actions = self.nodes[n].coord.step(self.now, input);
        for action in actions {
            match action {
                Action::Call { call, worker, body } => self.send(n, call, &worker, body),
                Action::Notify(_) => {}
                Action::Write { record, expect } => self.writes.push(Write {
                    node: n,
                    record: *record,
                    expect,
                    sent: self.now,
                    result: None,
                    abandoned: false,
                }),
            }
        }
    }

    fn send(&mut self, node: usize, id: CallId, worker: &WorkerId, body: CallBody) {
        let worker = self.workers.iter().position(|w| w.id == *worker);
        self.calls.push(Call {
            node,
            worker: worker.expect("a known worker"),
            id,
            body,
            sent: self.now,
            result: None,
            abandoned: false,
        });
    }

    fn elect(&mut self, n: usize) {
        self.epoch += 1;
        self.lock_holder = n;
        self.observer.elections += 1;
        let epoch = Epoch(self.epoch);
        let ids = self.workers.iter().map(|w| w.id.clone()).collect();
        self.feed(n, Input::Workers(ids));
        self.feed(n, Input::Elected { epoch });
        self.deliver_records(n);
        self.feed(n, Input::Synced);
        self.permit(n);
    }

    fn deliver_records(&mut self, n: usize) {
        let seen = self.nodes[n].seen_rev;
        let list = self.store.list();
        let changed = list.into_iter().filter(|(_, rev)| rev.0 > seen).collect();
        self.nodes[n].seen_rev = self.store.rev;
        self.feed(n, Input::Records(changed));
    }

    /// Extends the permit of a node. The settings that permit it also say whether the domain is out
    /// of service.
    fn permit(&mut self, n: usize) {
        if self.nodes[n].watch_stalled {
            return;
        }
        if self.domain_out.is_some() && !self.nodes[n].knows_out {
            self.nodes[n].knows_out = true;
            self.feed(n, Input::DomainOut(true));
        }
        let until = self.now + self.params.permit_period;
        self.feed(n, Input::Permit { until });
    }

    fn plan(&mut self, n: usize, job: &JobId, choice: u32) {
        let tasks = self.store.records[job].0.spec.shape.tasks;
        let mut plan = site::plan(job, tasks, 0);
        for place in &mut plan.places {
            let num = (place.task + choice) as usize % self.workers.len();
            place.worker = site::worker_id(num);
            place.first = (choice / 8) % self.params.accels;
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
        if call.abandoned {
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

    fn apply_write(&mut self, i: usize) {
        let write = &mut self.writes[i];
        write.result = Some(self.store.swap(write.record.clone(), write.expect));
        if write.abandoned {
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
        node.seen_rev = 0;
        node.paused = false;
        node.watch_stalled = false;
        node.knows_out = false;
        self.calls
            .iter_mut()
            .filter(|c| c.node == n)
            .for_each(|c| c.abandoned = true);
        self.writes
            .iter_mut()
            .filter(|w| w.node == n)
            .for_each(|w| w.abandoned = true);
    }

    /// Resumes a node. Its unanswered calls count as sent now, since it may have been paused before
    /// it sent them.
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

    /// Reports calls that timed out as lost, and drops those that exceed the maximum delay of the
    /// network.
    fn expire_calls(&mut self, n: usize) {
        let timing = &self.params.timing;
        let (wait, delay) = (timing.call_timeout, timing.call_lifetime);
        let now = self.now;
        let late = |c: &Call| c.node == n && now >= c.sent + wait;
        let mut lost = Vec::new();
        for call in self.calls.iter_mut().filter(|c| late(c) && !c.abandoned) {
            call.abandoned = true;
            lost.push((call.id, call.worker));
        }
        self.calls.retain(|c| {
            c.node != n || !c.abandoned || (c.result.is_none() && now < c.sent + delay)
        });
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

    /// Reports writes that timed out as lost, and drops them after twice the time-out.
    fn expire_writes(&mut self, n: usize) {
        let wait = self.params.timing.write_timeout;
        let now = self.now;
        let mut lost = Vec::new();
        for write in self
            .writes
            .iter_mut()
            .filter(|w| w.node == n && !w.abandoned)
        {
            if now >= write.sent + wait {
                write.abandoned = true;
                lost.push(write.record.clone());
            }
        }
        let kept = |w: &Write| {
            w.node != n || !w.abandoned || (w.result.is_none() && now < w.sent + wait + wait)
        };
        self.writes.retain(kept);
        for record in lost {
            self.feed_wrote(n, &record, WriteResult::Lost);
        }
    }
}

fn new_coord(params: &Params) -> Coordinator {
    Coordinator::with_overrides(domain(), params.timing.clone(), params.overrides.clone())
}

fn domain() -> DomainId {
    site::domain()
}
