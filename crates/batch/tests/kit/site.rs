//! A simulated site: workers, stored records, a coordinator that can be replaced, and checks on
//! every start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Epoch;
use base::Fence;
use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::Progress;
use batch::RunNumber;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::Submitted;
use batch::TaskId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::catalog;
use super::transit::Call;
use super::transit::InTransit;
use super::transit::LATE_DELAY;
use super::worker::FakeRun;
use super::worker::FakeWorker;
use super::BOUNDS;
use super::GANG_TIMEOUT;

/// Probabilities of faults, in thousandths for each request, response, write or run.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// A request is lost.
    pub lost: u32,
    /// A request is carried out, but its response is lost.
    pub unanswered: u32,
    /// A request gets no response and is carried out seconds later.
    pub late_requests: u32,
    /// A write of records gets no response.
    pub store: u32,
    /// A run fails.
    pub fail: u32,
    /// Number of turns until the response to a start arrives.
    pub slow: u32,
}

/// The unit that attempts are counted for: a task by its step and index, or a gang by its step.
type AttemptUnit = (JobId, u16, Option<u16>);

pub struct Site {
    pub now: Millis,
    pub scheduler: Scheduler,
    pub workers: Vec<FakeWorker>,
    pub stored: BTreeMap<JobId, (Submitted, Option<Progress>, bool)>,
    pub faults: Faults,
    /// Jobs of which every run fails.
    pub always_failing: BTreeSet<JobId>,
    pub rng: Pcg64,
    pub accepted_starts: u64,
    /// Whether a new coordinator takes over what the former knew about speeds.
    pub keeps_speeds: bool,
    /// Tasks whose success has been acknowledged, with the time of it.
    pub acknowledged: BTreeMap<TaskId, Millis>,
    /// Tasks that have succeeded, acknowledged or not, with the time of it.
    pub succeeded: BTreeMap<TaskId, Millis>,
    started: BTreeMap<TaskId, Millis>,
    /// Failed runs of each task or gang, with the time of the failure and whether it was
    /// acknowledged.
    failures: BTreeMap<AttemptUnit, BTreeMap<RunNumber, (Millis, bool)>>,
    /// Latest start of each task or gang.
    latest_start: BTreeMap<AttemptUnit, Millis>,
    /// Whether calls in transit reach the next incarnation of a worker, also one that is cut off.
    pub outlives: bool,
    /// Whether starts are withdrawn once they are recorded, as the store's state is not confirmed.
    pub withdraws: bool,
    /// Whether the workers write their entries, and the coordinator reads them.
    pub publishes: bool,
    /// Time after which a late start request is carried out.
    pub late_delay: Millis,
    pub(super) in_transit: Vec<InTransit>,
    pub(super) pending_responses: Vec<(Millis, StartRequest, StartResponse)>,
    last_polls: BTreeMap<WorkerId, Millis>,
    epoch: u64,
}

/// Time between two turns.
const TURN: Millis = Millis(10);

/// Time between two polls of a worker.
const POLL_INTERVAL: Millis = Millis(100);

impl Site {
    pub fn new(workers: usize, seed: u64, faults: Faults) -> Site {
        let now = Millis(1_000_000);
        let mut site = Site {
            now,
            scheduler: Scheduler::new(Epoch(1), BOUNDS, catalog(), now),
            workers: (0..workers)
                .map(|num| FakeWorker::new(num, now - Millis(5_000)))
                .collect(),
            stored: BTreeMap::new(),
            faults,
            always_failing: BTreeSet::new(),
            rng: Pcg64::seed_from_u64(seed),
            accepted_starts: 0,
            keeps_speeds: true,
            acknowledged: BTreeMap::new(),
            succeeded: BTreeMap::new(),
            started: BTreeMap::new(),
            failures: BTreeMap::new(),
            latest_start: BTreeMap::new(),
            outlives: false,
            withdraws: false,
            publishes: true,
            late_delay: LATE_DELAY,
            in_transit: Vec::new(),
            pending_responses: Vec::new(),
            last_polls: BTreeMap::new(),
            epoch: 1,
        };
        site.publish_workers();
        site
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn publish_workers(&mut self) {
        let now = self.now;
        let listed = self.workers.iter_mut().filter(|w| w.listed);
        self.scheduler
            .set_workers(listed.map(|w| w.entry(now)).collect(), now);
    }

    pub fn submit(&mut self, name: &str, submitted: Submitted) -> JobId {
        let id: JobId = name.parse().expect("a job id");
        self.stored
            .insert(id.clone(), (submitted.clone(), None, false));
        self.scheduler.add(id.clone(), submitted, None, self.now);
        id
    }

    pub fn cancel(&mut self, id: &JobId) {
        if let Some(stored) = self.stored.get_mut(id) {
            stored.2 = true;
        }
        self.scheduler.cancel(id, self.now);
    }

    /// Replaces the coordinator by a new one, which restores its state from the store.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.pending_responses.clear();
        let record = self.scheduler.speed_record(self.now);
        self.scheduler = Scheduler::new(Epoch(self.epoch), BOUNDS, catalog(), self.now);
        for (id, (submitted, progress, cancelled)) in &self.stored {
            self.scheduler
                .add(id.clone(), submitted.clone(), progress.clone(), self.now);
            if *cancelled {
                self.scheduler.cancel(id, self.now);
            }
        }
        if let Some(record) = record.filter(|_| self.keeps_speeds) {
            self.scheduler.recall_speeds(record, self.now);
        }
        self.publish_workers();
    }

    /// One turn: the workers progress, then the coordinator polls, plans, stores records and sends
    /// requests.
    pub fn turn(&mut self) {
        self.now += TURN;
        self.advance_runs();
        self.deliver_calls();
        self.deliver_responses();
        if self.publishes {
            self.publish_workers();
        }
        // Every change raises the revision of the store.
        self.epoch += 1;
        self.scheduler.raise_fence(Fence(self.epoch));
        self.poll();
        self.scheduler.tick(self.now, self.now);
        self.scheduler.plan(self.now, self.now);
        for stop in self.scheduler.stop_requests(self.now) {
            if self.chance(self.faults.lost) {
                continue;
            }
            let now = self.now;
            let worker = self.workers.iter_mut().find(|w| w.id == stop.worker);
            let clock = worker
                .filter(|w| w.up && w.reachable)
                .and_then(|w| w.stop(&stop, now));
            if let Some(clock) = clock {
                if !self.chance(self.faults.unanswered) {
                    self.scheduler.stop_accepted(&stop, clock, now);
                }
            }
        }
        let pending = self.scheduler.take_pending();
        if self.chance(self.faults.store) {
            self.scheduler.requeue(pending);
            return;
        }
        for (id, progress) in &pending.records {
            if let Some(stored) = self.stored.get_mut(id) {
                stored.1 = Some(progress.clone());
            }
        }
        let starts = self.scheduler.records_stored(pending, self.now);
        if self.withdraws {
            return self.scheduler.withdraw(starts, self.now);
        }
        for request in starts {
            self.start(request);
        }
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.turn();
        }
    }

    pub fn poll(&mut self) {
        for (id, _) in self.scheduler.poll_targets() {
            let due = self
                .last_polls
                .get(&id)
                .is_none_or(|at| self.now.since(*at) >= POLL_INTERVAL);
            if !due {
                continue;
            }
            self.last_polls.insert(id.clone(), self.now);
            let Some(request) = self.scheduler.poll(&id, true, self.now) else {
                continue;
            };
            let now = self.now;
            let lost = self.chance(self.faults.lost);
            let unanswered = self.chance(self.faults.unanswered);
            let worker = self.workers.iter_mut().find(|w| w.id == id);
            let Some(worker) = worker.filter(|w| w.up && w.reachable && !lost) else {
                self.hold(Call::Poll(id.clone(), request));
                self.scheduler.poll_failed(&id);
                continue;
            };
            match worker.poll(&request, now).filter(|_| !unanswered) {
                Some(report) => self.scheduler.report(&id, report, now, now),
                None => self.scheduler.poll_failed(&id),
            }
        }
    }

    fn start(&mut self, request: StartRequest) {
        let now = self.now;
        let reachable = self
            .workers
            .iter()
            .any(|w| w.id == request.worker && w.up && w.reachable);
        let mut workers = self.workers.iter();
        let is_mute = workers.any(|w| w.id == request.worker && w.mute);
        if !reachable || is_mute || self.chance(self.faults.lost) {
            self.hold(Call::Start(request.clone()));
            self.scheduler
                .start_response(&request, StartResponse::Unknown("lost".into()), now);
            return;
        }
        if self.chance(self.faults.late_requests) {
            self.delay(&request);
            self.scheduler
                .start_response(&request, StartResponse::Unknown("late".into()), now);
            return;
        }
        let response = self.carry_out(&request);
        let response = match self.chance(self.faults.unanswered) {
            true => StartResponse::Unknown("unanswered".into()),
            false => response,
        };
        let due = now + Millis(TURN.0 * u64::from(self.faults.slow));
        self.pending_responses.push((due, request, response));
        self.deliver_responses();
    }

    /// Carries out a start request on its worker, and checks the invariants of a start.
    pub(super) fn carry_out(&mut self, request: &StartRequest) -> StartResponse {
        let now = self.now;
        let submitted = self.stored[&request.task.job].0.clone();
        let spec = submitted.work.steps[usize::from(request.task.step)].clone();
        let fails = self.chance(self.faults.fail);
        let Some(num) = self.workers.iter().position(|w| w.id == request.worker) else {
            return StartResponse::Refused("no such worker".into());
        };
        let run = FakeRun {
            run: request.run,
            gang: spec.gang.then_some(spec.count),
            started: now,
            work: Millis(spec.estimate.0 * 100 / self.workers[num].speed),
            need: spec.occupies(),
            stopping: None,
            lasting: spec.lasting,
            fails: fails
                || self.workers[num].fails
                || self.always_failing.contains(&request.task.job),
        };
        let held = self.workers[num].runs.contains_key(&request.task);
        let response = self.workers[num].start(request, run, now);
        if held || !matches!(response, StartResponse::Accepted(_)) {
            return response;
        }
        self.accepted_starts += 1;
        self.started.insert(request.task.clone(), now);
        let same = self
            .workers
            .iter()
            .filter(|w| w.up && w.runs.contains_key(&request.task));
        assert_eq!(
            same.count(),
            1,
            "{} runs more than once at {now}",
            request.task
        );
        assert!(
            !self.acknowledged.contains_key(&request.task),
            "{} starts after its success was acknowledged",
            request.task
        );
        let worker = &self.workers[num];
        assert!(
            worker.capacity.fits(&worker.used()),
            "the runs on {} exceed its capacity",
            worker.id
        );
        for &after in &spec.after {
            let before = &submitted.work.steps[usize::from(after)];
            let ended = (0..before.count).all(|index| {
                let task = TaskId {
                    step: after,
                    index: index as u16,
                    ..request.task.clone()
                };
                self.succeeded.contains_key(&task)
            });
            assert!(ended, "{} starts before step {after} is done", request.task);
        }
        let unit = self.unit_of(&request.task);
        self.latest_start.insert(unit.clone(), now);
        self.check_attempts(&unit);
        response
    }

    /// Advances the runs: they end, gangs end together, leases expire.
    fn advance_runs(&mut self) {
        let now = self.now;
        // Number of members of each gang that are there, and the work of the slowest.
        let mut members: BTreeMap<(JobId, u16, RunNumber), (u32, Millis)> = BTreeMap::new();
        for (task, run) in self.workers.iter().filter(|w| w.up).flat_map(|w| &w.runs) {
            let key = (task.job.clone(), task.step, run.run);
            let (count, work) = members.entry(key).or_default();
            *count += 1;
            *work = run.work.max(*work);
        }
        let mut ends: Vec<(usize, TaskId, EndKind)> = Vec::new();
        for (num, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.up) {
            for (task, run) in &worker.runs {
                let key = (task.job.clone(), task.step, run.run);
                let (count, slowest) = members[&key];
                let whole = run.gang.is_none_or(|all| count == all);
                let work = if run.gang.is_some() {
                    slowest
                } else {
                    run.work
                };
                let kind = match () {
                    () if worker.is_lease_expired(now) => EndKind::Lapsed,
                    () if run.stopping.is_some_and(|at| at <= now) => EndKind::Stopped,
                    () if !whole && now.since(run.started) > GANG_TIMEOUT => EndKind::Alone,
                    () if worker.hangs || !whole => continue,
                    () if run.fails && now.since(run.started).0 > run.work.0 / 2 => EndKind::Failed,
                    () if !run.lasting && now.since(run.started) > work => EndKind::Done,
                    () => continue,
                };
                ends.push((num, task.clone(), kind));
            }
        }
        for worker in self
            .workers
            .iter_mut()
            .filter(|w| w.up && w.is_lease_expired(now))
        {
            worker.mark_lease_expired();
        }
        for (num, task, kind) in ends {
            self.end(num, &task, kind);
        }
        self.process_acknowledged();
    }

    /// Processes the ended runs that were acknowledged since the last turn.
    fn process_acknowledged(&mut self) {
        let mut acked = Vec::new();
        for worker in &mut self.workers {
            acked.append(&mut worker.acked);
        }
        for (row, at) in acked {
            if row.kind == EndKind::Done {
                let started = self.started.get(&row.task).copied().unwrap_or_default();
                assert!(
                    started <= at,
                    "{} started after its success at {at}",
                    row.task
                );
                self.acknowledged.insert(row.task, at);
            } else if row.kind == EndKind::Failed {
                let unit = self.unit_of(&row.task);
                let failed = self.failures.get_mut(&unit);
                if let Some((_, acked)) = failed.and_then(|f| f.get_mut(&row.run)) {
                    *acked = true;
                }
                self.check_attempts(&unit);
            }
        }
    }

    fn unit_of(&self, task: &TaskId) -> AttemptUnit {
        let gang = self.stored[&task.job].0.work.steps[usize::from(task.step)].gang;
        (task.job.clone(), task.step, (!gang).then_some(task.index))
    }

    /// Checks that nothing starts after as many failures as its queue allows. Only failures that
    /// are acknowledged, then or later, count: a worker may lose others in a restart. Tasks that last
    /// have no such limit.
    fn check_attempts(&self, unit: &AttemptUnit) {
        let Some(failed) = self.failures.get(unit) else {
            return;
        };
        let acked = failed.values().filter(|(_, acked)| *acked);
        let mut ends: Vec<Millis> = acked.map(|(at, _)| *at).collect();
        ends.sort();
        let submitted = &self.stored[&unit.0].0;
        if submitted.work.steps[usize::from(unit.1)].lasting {
            return;
        }
        let attempts = submitted.attempts as usize;
        let latest = self.latest_start.get(unit).copied().unwrap_or_default();
        let spent = ends.get(attempts - 1).is_some_and(|at| *at < latest);
        assert!(!spent, "{unit:?} started at {latest} with no attempts left");
    }

    fn end(&mut self, num: usize, task: &TaskId, kind: EndKind) {
        let Some(run) = self.workers[num].runs.get(task).cloned() else {
            return;
        };
        if kind == EndKind::Failed {
            let now = self.now;
            let unit = self.unit_of(task);
            let failed = self.failures.entry(unit).or_default();
            failed.entry(run.run).or_insert((now, false));
        }
        let now = self.now;
        if kind == EndKind::Done {
            self.succeeded.insert(task.clone(), now);
        }
        self.workers[num].end(task, kind, now);
        if run.gang.is_none() {
            return;
        }
        let others = if kind == EndKind::Done {
            EndKind::Done
        } else {
            EndKind::Broken
        };
        for worker in self.workers.iter_mut().filter(|w| w.up) {
            let same = worker
                .runs
                .iter()
                .filter(|(t, r)| t.job == task.job && t.step == task.step && r.run == run.run);
            let same: Vec<TaskId> = same.map(|(t, _)| t.clone()).collect();
            for other in same {
                if others == EndKind::Done {
                    self.succeeded.insert(other.clone(), now);
                }
                worker.end(&other, others, now);
            }
        }
    }
}
