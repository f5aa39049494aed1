//! One coordinator with simulated workers and a simulated store, which answer at once by default.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::Accels;
use base::Attempt;
use base::DomainId;
use base::Epoch;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Revision;
use base::Shape;
use base::TaskPlace;
use base::WorkerId;
use sched::Action;
use sched::CallBody;
use sched::CallResult;
use sched::Coordinator;
use sched::Input;
use sched::JobOutcome;
use sched::JobPhase;
use sched::JobRecord;
use sched::Report;
use sched::Timing;
use sched::WriteResult;
use work::wire::TaskPhase;

use super::worker::WorkerModel;

pub fn domain() -> DomainId {
    "split-a".parse().expect("domain")
}

pub fn worker_id(num: usize) -> WorkerId {
    format!("w{num}").parse().expect("worker")
}

/// A job of `tasks` tasks with one accelerator each.
pub fn job_spec(id: &str, tasks: u32, restartable: bool) -> JobSpec {
    JobSpec {
        id: id.parse().expect("job"),
        org: "board".parse().expect("organisation"),
        kind: "kind".parse().expect("kind"),
        shape: Shape {
            tasks,
            accels: Accels(1),
            cores: base::Cores(0),
            memory: base::Bytes(0),
            spread: Default::default(),
        },
        length: Millis(1),
        domain: None,
        urgent: false,
        idempotent: restartable,
        checkpoint: restartable,
        payload: String::new(),
    }
}

/// A plan with task `i` on worker `i`, at accelerator `first`.
pub fn plan(job: &JobId, tasks: u32, first: u32) -> GangPlan {
    let place = |task| TaskPlace {
        task,
        worker: worker_id(task as usize),
        first,
        count: Accels(1),
    };
    GangPlan {
        job: job.clone(),
        attempt: Attempt(1),
        places: (0..tasks).map(place).collect(),
    }
}

/// Simulated platform with the job records.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub rev: u64,
    pub records: BTreeMap<JobId, (JobRecord, Revision)>,
}

impl Store {
    pub fn put(&mut self, rec: JobRecord) -> Revision {
        self.rev += 1;
        let rev = Revision(self.rev);
        self.records.insert(rec.spec.id.clone(), (rec, rev));
        rev
    }

    /// Compare-and-swap on the revision.
    pub fn swap(&mut self, rec: JobRecord, expect: Revision) -> WriteResult {
        let held = self.records.get(&rec.spec.id).cloned();
        match held {
            Some((_, rev)) if rev == expect => WriteResult::Done(self.put(rec)),
            other => WriteResult::Conflict(other.map(Box::new)),
        }
    }

    pub fn list(&self) -> Vec<(JobRecord, Revision)> {
        self.records.values().cloned().collect()
    }
}

/// A coordinator with its workers and its store.
pub struct Site {
    pub now: Millis,
    pub coord: Coordinator,
    pub workers: BTreeMap<WorkerId, WorkerModel>,
    pub store: Store,
    pub reports: Vec<Report>,
    /// Workers that calls do not reach.
    pub unreachable: Vec<WorkerId>,
    /// Whether writes do not reach the store.
    pub store_down: bool,
    /// Whether the answer to the next write is lost after the store took it.
    pub lose_reply: bool,
    /// Number of calls made by the coordinator.
    pub calls: usize,
    /// Whether the coordinator's invariants are checked after each step.
    pub check_invariants: bool,
    /// Time spent in the steps of the coordinator.
    pub step_time: Duration,
    /// Number of writes made by the coordinator.
    pub writes: usize,
}

impl Site {
    pub fn new(workers: usize) -> Site {
        let ids = (0..workers).map(worker_id);
        Site {
            now: Millis(1_000),
            coord: Coordinator::new(domain(), Timing::default()),
            workers: ids
                .map(|id| (id.clone(), WorkerModel::new(id, true)))
                .collect(),
            store: Store::default(),
            reports: Vec::new(),
            unreachable: Vec::new(),
            store_down: false,
            lose_reply: false,
            calls: 0,
            check_invariants: true,
            step_time: Duration::ZERO,
            writes: 0,
        }
    }

    /// Replaces the coordinator by a new one that is elected under `epoch`.
    pub fn elect(&mut self, epoch: u64) {
        self.coord = Coordinator::new(domain(), Timing::default());
        let ids = self.workers.keys().cloned().collect();
        self.feed(Input::Workers(ids));
        let epoch = Epoch(epoch);
        self.feed(Input::Elected { epoch });
        self.feed(Input::Records(self.store.list()));
        self.feed(Input::Synced);
        self.permit();
    }

    pub fn permit(&mut self) {
        let until = Millis::MAX;
        self.feed(Input::Permit { until });
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        let rec = JobRecord::new(spec, domain(), self.now);
        let rev = self.store.put(rec.clone());
        self.feed(Input::Records(vec![(rec, rev)]));
        id
    }

    /// Sets the cancel flag of a job, as an entry VM does.
    pub fn cancel(&mut self, id: &JobId) {
        let (mut rec, _) = self.store.records[id].clone();
        rec.cancel = true;
        let rev = self.store.put(rec.clone());
        self.feed(Input::Records(vec![(rec, rev)]));
    }

    /// Feeds an input and carries out all actions that result.
    pub fn feed(&mut self, input: Input) {
        let mut queue = vec![input];
        while let Some(input) = queue.pop() {
            let begun = Instant::now();
            let actions = self.coord.step(self.now, input);
            self.step_time += begun.elapsed();
            if self.check_invariants {
                self.coord.check().expect("invariants hold");
            }
            for action in actions {
                queue.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::Call { call, worker, body } => {
                self.calls += 1;
                let result = self.call(&worker, body);
                Some(Input::Reply {
                    call,
                    worker,
                    result,
                })
            }
            Action::Notify(report) => {
                self.reports.push(report);
                None
            }
            Action::Write { record, expect } => {
                self.writes += 1;
                let (job, op) = (record.spec.id.clone(), record.op);
                let result = self.write(*record, expect);
                Some(Input::Wrote { job, op, result })
            }
        }
    }

    fn call(&mut self, id: &WorkerId, body: CallBody) -> CallResult {
        if self.unreachable.contains(id) {
            return CallResult::Lost;
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return CallResult::NotSent;
        };
        match body {
            CallBody::Epoch(call) => match worker.accept(call.epoch) {
                Ok(state) => CallResult::State(state),
                Err(fenced) => CallResult::Fenced(fenced.epoch),
            },
            CallBody::Tasks(call) => match worker.call(now, &call) {
                Ok(reply) => CallResult::Tasks(reply),
                Err(fenced) => CallResult::Fenced(fenced.epoch),
            },
        }
    }

    fn write(&mut self, rec: JobRecord, expect: Revision) -> WriteResult {
        if self.store_down {
            return WriteResult::NotSent;
        }
        let result = self.store.swap(rec, expect);
        if std::mem::take(&mut self.lose_reply) {
            return WriteResult::Lost;
        }
        result
    }

    /// Advances time by `span` milliseconds in steps of 100 ms.
    pub fn run(&mut self, span: u64) {
        for _ in 0..span / 100 {
            self.now += Millis(100);
            self.workers.values_mut().for_each(|w| w.lapse(self.now));
            self.feed(Input::Tick);
        }
    }

    /// Puts every running task of a job into an end phase.
    pub fn end_tasks(&mut self, id: &JobId, phase: TaskPhase) {
        for worker in self.workers.values_mut() {
            for (key, (report, _)) in &mut worker.tasks {
                if key.job == *id && report.phase == TaskPhase::Running {
                    report.phase = phase;
                }
            }
        }
    }

    /// Number of tasks of a job in a phase.
    pub fn count(&self, id: &JobId, phase: TaskPhase) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let wanted = tasks.filter(|(key, task)| key.job == *id && task.0.phase == phase);
        wanted.count()
    }

    pub fn phase(&self, id: &JobId) -> &JobPhase {
        &self.store.records[id].0.phase
    }

    pub fn outcome(&self, id: &JobId) -> Option<&JobOutcome> {
        match self.phase(id) {
            JobPhase::Done { outcome } => Some(outcome),
            _ => None,
        }
    }

    /// Whether the coordinator made a report that matches `pick`.
    pub fn reported(&self, pick: impl Fn(&Report) -> bool) -> bool {
        self.reports.iter().any(pick)
    }
}
