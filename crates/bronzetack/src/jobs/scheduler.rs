//! Schedules the jobs of a failure domain: connects the planner, which decides when and where
//! jobs run, with the coordinator, which starts and stops them.
//!
//! Does no input or output itself: the jobs actor feeds inputs and carries out the actions.

mod reports;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::WorkerId;
use base::WorkerSpec;
use gang::pick_domain;
use gang::DomainOffer;
use gang::Planner;
use gang::PlannerStatus;
use gang::Policy;
use gang::StopReason;
use obs::Event;
use sched::CallBody;
use sched::CallId;
use sched::Coordinator;
use sched::JobRecord;
use sched::Report;
use sched::StopCause;
use sched::Timing;

/// Inputs of the scheduler.
#[derive(Clone, Debug)]
pub enum Input {
    /// An input for the coordinator: election, records, results of calls and writes.
    Coordinator(sched::Input),
    /// Free capacity of all failure domains, for jobs that have to move.
    Offers(Vec<DomainOffer>),
    /// Whether operators have taken the failure domain out of service.
    DomainOut(bool),
    /// Task starts are permitted until this time, up to which the settings held are known to be
    /// the newest.
    Permit(Millis),
    /// New settings of the planner.
    Policy(Box<Policy>),
    /// Time has passed.
    Tick,
    /// The workers that the platform lists, and whether each is leaving.
    Workers(Vec<(WorkerSpec, bool)>),
}

/// Actions for the actor to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a worker. Exactly one reply must be fed back.
    Call {
        /// Number of the call, which its reply repeats.
        call: CallId,
        /// The worker to call.
        worker: WorkerId,
        /// Content of the call.
        body: CallBody,
    },
    /// Log an event.
    Log(Event, String),
    /// Write a record if the platform still holds the expected revision.
    Write {
        /// The record to write.
        record: Box<JobRecord>,
        /// The revision that it replaces.
        expect: base::Revision,
    },
}

/// Why a job that the planner had started returns to the queue, with the worker that prevented
/// the start or whose task failed.
#[derive(Clone, Debug)]
enum RequeueCause {
    Aborted(Option<WorkerId>),
    Failed(WorkerId),
    Stopped,
}

/// The planner and the coordinator of a failure domain.
pub struct DomainScheduler {
    domain: DomainId,
    coordinator: Coordinator,
    planner: Planner,
    policy: Policy,
    workers: BTreeMap<WorkerId, (WorkerSpec, bool)>,
    silent_workers: Vec<WorkerId>,
    /// Jobs that the planner holds; those that will be queued again have a cause.
    planner_jobs: Map<JobId, Option<RequeueCause>>,
    /// Reports of queued jobs that the planner has released and that no other failure domain has
    /// the capacity for yet.
    unplaced: VecDeque<Report>,
    /// The last `Queued` report of each job that has not ended or moved.
    queued_reports: Map<JobId, Report>,
    offers: Vec<DomainOffer>,
    permit_until: Millis,
    lock_suspect: bool,
    domain_out: bool,
    starts_allowed: bool,
}

impl DomainScheduler {
    /// A scheduler whose coordinator does not hold the lock.
    pub fn new(domain: DomainId, timing: Timing) -> DomainScheduler {
        DomainScheduler {
            coordinator: Coordinator::new(domain.clone(), timing),
            domain,
            planner: Planner::new(Policy::default()),
            policy: Policy::default(),
            workers: BTreeMap::new(),
            silent_workers: Vec::new(),
            planner_jobs: Map::default(),
            unplaced: VecDeque::new(),
            queued_reports: Map::default(),
            offers: Vec::new(),
            permit_until: Millis::ZERO,
            lock_suspect: false,
            domain_out: false,
            starts_allowed: false,
        }
    }

    /// Whether the coordinator holds the lock and has finished its take-over.
    pub fn is_ready(&self) -> bool {
        self.coordinator.is_ready()
    }

    /// Whether task starts are suspended although the coordinator is ready: the permit has expired,
    /// or the lease of the lock may have.
    pub fn holds_starts(&self) -> bool {
        self.coordinator.is_ready() && !self.starts_allowed
    }

    /// State of the planner, for operators.
    pub fn status(&self) -> PlannerStatus {
        self.planner.status()
    }

    /// Verifies the invariants of the coordinator and the planner. The error names the violated
    /// one.
    pub fn check(&self) -> Result<(), String> {
        self.coordinator.check().map_err(|e| e.to_string())?;
        self.planner.check().map_err(|e| e.to_string())
    }

    /// Processes an input and returns the actions that it causes.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut ctx = StepContext {
            now,
            actions: Vec::new(),
        };
        match input {
            Input::Coordinator(input) => self.on_coordinator_input(&mut ctx, input),
            Input::Offers(offers) => self.offers = offers,
            Input::DomainOut(out) => self.set_domain_out(&mut ctx, out),
            Input::Permit(until) => self.set_permit(&mut ctx, until),
            Input::Policy(policy) => self.set_policy(&mut ctx, *policy),
            Input::Tick => self.tick(&mut ctx),
            Input::Workers(list) => self.set_workers(&mut ctx, list),
        }
        self.update_permit(&mut ctx);
        ctx.actions
    }

    fn on_coordinator_input(&mut self, ctx: &mut StepContext, input: sched::Input) {
        match &input {
            sched::Input::LockSuspect(suspect) => self.lock_suspect = *suspect,
            sched::Input::Elected { .. } => self.reset_planner(ctx),
            _ => {}
        }
        self.step_coordinator(ctx, input);
    }

    /// Replaces the planner by an empty one, which the reports of the take-over fill.
    fn reset_planner(&mut self, ctx: &mut StepContext) {
        self.planner = Planner::new(self.policy.clone());
        self.planner_jobs.clear();
        self.unplaced.clear();
        self.queued_reports.clear();
        self.lock_suspect = false;
        self.starts_allowed = false;
        self.silent_workers.clear();
        for (spec, leaving) in self.workers.clone().into_values() {
            self.add_worker(ctx, spec, leaving);
        }
        if self.domain_out {
            self.step_planner(ctx, gang::Input::DomainOut(self.domain.clone()));
        }
    }

    fn set_domain_out(&mut self, ctx: &mut StepContext, out: bool) {
        if out == self.domain_out {
            return;
        }
        self.domain_out = out;
        let domain = self.domain.clone();
        self.step_coordinator(ctx, sched::Input::DomainOut(out));
        if out {
            ctx.log(Event::DomainOut, domain.as_str());
            self.step_planner(ctx, gang::Input::DomainOut(domain));
        } else {
            ctx.log(Event::DomainBack, domain.as_str());
            self.step_planner(ctx, gang::Input::DomainBack(domain));
            self.requeue_unplaced(ctx);
        }
    }

    fn set_permit(&mut self, ctx: &mut StepContext, until: Millis) {
        self.permit_until = until;
        self.step_coordinator(ctx, sched::Input::Permit { until });
    }

    /// Updates whether the planner may start jobs, and logs when starts become suspended.
    fn update_permit(&mut self, ctx: &mut StepContext) {
        let allowed =
            self.coordinator.is_ready() && ctx.now < self.permit_until && !self.lock_suspect;
        if allowed != self.starts_allowed {
            self.starts_allowed = allowed;
            if self.coordinator.is_ready() && !allowed {
                ctx.log(Event::SettingsStale, self.domain.as_str());
            }
            self.step_planner(ctx, gang::Input::AllowStarts(allowed));
        }
    }

    fn set_policy(&mut self, ctx: &mut StepContext, policy: Policy) {
        self.policy = policy.clone();
        self.step_planner(ctx, gang::Input::Policy(policy));
    }

    fn tick(&mut self, ctx: &mut StepContext) {
        self.step_coordinator(ctx, sched::Input::Tick);
        self.step_planner(ctx, gang::Input::Tick);
        self.move_unplaced(ctx);
    }

    fn set_workers(&mut self, ctx: &mut StepContext, list: Vec<(WorkerSpec, bool)>) {
        let ids = list.iter().map(|(spec, _)| spec.id.clone()).collect();
        let pairs = list
            .into_iter()
            .map(|(s, leaving)| (s.id.clone(), (s, leaving)));
        let new: BTreeMap<_, _> = pairs.collect();
        let old = std::mem::replace(&mut self.workers, new.clone());
        self.step_coordinator(ctx, sched::Input::Workers(ids));
        for id in old.keys().filter(|id| !new.contains_key(*id)) {
            self.step_planner(ctx, gang::Input::WorkerDown(id.clone()));
        }
        for (id, (spec, leaving)) in new {
            let same = old.get(&id).is_some_and(|o| *o == (spec.clone(), leaving));
            if !same && !self.silent_workers.contains(&id) {
                self.add_worker(ctx, spec, leaving);
            }
        }
    }

    fn add_worker(&mut self, ctx: &mut StepContext, spec: WorkerSpec, leaving: bool) {
        let id = spec.id.clone();
        self.step_planner(ctx, gang::Input::WorkerUp(spec));
        if leaving {
            self.step_planner(ctx, gang::Input::WorkerLeaving(id));
        }
    }

    /// Feeds the coordinator and carries out its actions.
    fn step_coordinator(&mut self, ctx: &mut StepContext, input: sched::Input) {
        for action in self.coordinator.step(ctx.now, input) {
            match action {
                sched::Action::Call { call, worker, body } => {
                    ctx.actions.push(Action::Call { call, worker, body });
                }
                sched::Action::Notify(report) => self.handle_report(ctx, report),
                sched::Action::Write { record, expect } => {
                    ctx.actions.push(Action::Write { record, expect });
                }
            }
        }
    }

    /// Feeds the planner and carries out its actions.
    fn step_planner(&mut self, ctx: &mut StepContext, input: gang::Input) {
        for action in self.planner.step(ctx.now, input) {
            self.apply_decision(ctx, action);
        }
    }

    fn apply_decision(&mut self, ctx: &mut StepContext, action: gang::Action) {
        match action {
            gang::Action::Cancelled { .. } => {}
            gang::Action::GuaranteeMet { org, .. } => {
                ctx.log(Event::GuaranteeRestored, org.as_str())
            }
            gang::Action::Fail { job, evidence } => {
                let why = failure_text(&evidence);
                self.stop_job(ctx, job, false, StopCause::Fail(why));
            }
            gang::Action::Isolate(id) => ctx.log(Event::WorkerIsolated, id.as_str()),
            gang::Action::Probe(id) => ctx.log(Event::WorkerProbed, id.as_str()),
            gang::Action::Refuse { job, reason } => self.refuse(ctx, job, reason),
            gang::Action::Release { job, .. } => self.release(ctx, job),
            gang::Action::Restore(id) => ctx.log(Event::UpstreamRestored, id.as_str()),
            gang::Action::GuaranteeShort { org, missing, .. } => {
                ctx.log(
                    Event::GuaranteeShort,
                    &format!("{org} misses {missing} gangs"),
                );
            }
            gang::Action::Start(plan) => self.step_coordinator(ctx, sched::Input::Plan(plan)),
            gang::Action::Stop {
                job,
                why,
                checkpoint,
            } => self.stop_running(ctx, job, why, checkpoint),
        }
    }

    fn stop_running(
        &mut self,
        ctx: &mut StepContext,
        job: JobId,
        why: StopReason,
        checkpoint: bool,
    ) {
        if why == StopReason::Reclaim {
            ctx.log(Event::CapacityReclaimed, job.as_str());
        }
        let why = match why {
            StopReason::Cancel => StopCause::Cancel,
            _ => StopCause::Requeue,
        };
        self.stop_job(ctx, job, checkpoint, why);
    }

    fn refuse(&mut self, ctx: &mut StepContext, job: JobId, reason: gang::RefuseReason) {
        self.planner_jobs.remove(&job);
        match reason {
            gang::RefuseReason::Cancelled => {}
            reason => {
                ctx.log(Event::JobRefused, &format!("{job}: {reason}"));
                self.stop_job(ctx, job, false, StopCause::Fail(reason.to_string()));
            }
        }
    }

    fn stop_job(&mut self, ctx: &mut StepContext, job: JobId, checkpoint: bool, why: StopCause) {
        let jobs = vec![job];
        self.step_coordinator(
            ctx,
            sched::Input::Stop {
                jobs,
                checkpoint,
                cause: why,
            },
        );
    }

    /// Moves a queued job to another failure domain, or keeps it until one has the capacity.
    fn release(&mut self, ctx: &mut StepContext, job: JobId) {
        self.planner_jobs.remove(&job);
        if let Some(report) = self.queued_reports.get(&job).cloned() {
            self.unplaced.push_back(report);
        }
        self.move_unplaced(ctx);
    }

    fn move_unplaced(&mut self, ctx: &mut StepContext) {
        for report in std::mem::take(&mut self.unplaced) {
            let Report::Queued { spec, .. } = &report else {
                continue;
            };
            let others: Vec<DomainOffer> = self.other_offers();
            match pick_domain(spec, &others).filter(|d| *d != self.domain) {
                Some(domain) => {
                    ctx.log(Event::JobMoved, &format!("{} to {domain}", spec.id));
                    self.stop_job(ctx, spec.id.clone(), false, StopCause::Move(domain));
                }
                None => self.unplaced.push_back(report),
            }
        }
    }

    fn other_offers(&self) -> Vec<DomainOffer> {
        let others = self.offers.iter().filter(|o| o.domain != self.domain);
        others.cloned().collect()
    }

    /// Queues the unplaced jobs in this failure domain again.
    fn requeue_unplaced(&mut self, ctx: &mut StepContext) {
        for report in std::mem::take(&mut self.unplaced) {
            self.handle_report(ctx, report);
        }
    }
}

/// Time of a step and the actions that it has caused so far.
struct StepContext {
    now: Millis,
    actions: Vec<Action>,
}

impl StepContext {
    fn log(&mut self, event: Event, detail: &str) {
        self.actions.push(Action::Log(event, detail.to_string()));
    }
}

fn failure_text(evidence: &gang::Evidence) -> String {
    let workers: Vec<&str> = evidence.workers.iter().map(WorkerId::as_str).collect();
    let list = workers.join(", ");
    format!("{} failed attempts, on workers {list}", evidence.failures)
}
