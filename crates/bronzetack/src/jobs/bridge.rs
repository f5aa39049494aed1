//! Joins the planner, which decides where jobs run, with the coordinator, which runs them.
//!
//! Pure, like both: the host feeds inputs and carries out the actions.

mod told;

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

/// What the host tells the bridge.
#[derive(Clone, Debug)]
pub enum Input {
    /// An input of the coordinator alone: election, records, results of calls and writes.
    Coordinator(sched::Input),
    /// Room in all failure domains, for jobs that move.
    Offers(Vec<DomainOffer>),
    /// Whether operators have taken the failure domain out.
    Out(bool),
    /// The settings held are proved the newest until a time.
    Permit(Millis),
    /// New settings.
    Policy(Box<Policy>),
    /// Time passes.
    Tick,
    /// The workers that the platform lists, and whether each is leaving.
    Workers(Vec<(WorkerSpec, bool)>),
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a worker; exactly one reply is wanted.
    Call {
        /// Names the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// The call.
        body: CallBody,
    },
    /// Log an event.
    Log(Event, String),
    /// Write a record if the platform holds the expected revision.
    Write {
        /// The record.
        record: Box<JobRecord>,
        /// The revision that it replaces.
        expect: base::Revision,
    },
}

/// Why a job that the planner started is back in the queue.
#[derive(Clone, Debug)]
enum Back {
    Aborted(Option<WorkerId>),
    Failed(WorkerId),
    Stopped,
}

/// The planner and the coordinator of one failure domain.
pub struct Bridge {
    domain: DomainId,
    coord: Coordinator,
    planner: Planner,
    policy: Policy,
    workers: BTreeMap<WorkerId, (WorkerSpec, bool)>,
    silent: Vec<WorkerId>,
    /// Jobs that the planner has, and how those that left the queue come back.
    known: Map<JobId, Option<Back>>,
    /// Jobs handed back for which no failure domain has room yet.
    parked: VecDeque<Report>,
    specs: Map<JobId, Report>,
    offers: Vec<DomainOffer>,
    permit: Millis,
    doubt: bool,
    out: bool,
    permitted: bool,
}

impl Bridge {
    /// A bridge whose coordinator holds no lock yet.
    pub fn new(domain: DomainId, timing: Timing) -> Bridge {
        Bridge {
            coord: Coordinator::new(domain.clone(), timing),
            domain,
            planner: Planner::new(Policy::default()),
            policy: Policy::default(),
            workers: BTreeMap::new(),
            silent: Vec::new(),
            known: Map::default(),
            parked: VecDeque::new(),
            specs: Map::default(),
            offers: Vec::new(),
            permit: Millis::ZERO,
            doubt: false,
            out: false,
            permitted: false,
        }
    }

    /// Whether the coordinator has finished its take-over.
    pub fn is_ready(&self) -> bool {
        self.coord.is_ready()
    }

    /// Whether new starts are held for want of a proof or of trust in the lock.
    pub fn is_held(&self) -> bool {
        self.coord.is_ready() && !self.permitted
    }

    /// The planner's state, for operators.
    pub fn status(&self) -> PlannerStatus {
        self.planner.status()
    }

    /// Verifies the invariants of both parts.
    pub fn check(&self) -> Result<(), String> {
        self.coord.check().map_err(|e| e.to_string())?;
        self.planner.check().map_err(|e| e.to_string())
    }

    /// Takes in one input and returns what is to be done.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut run = Run {
            now,
            actions: Vec::new(),
        };
        match input {
            Input::Coordinator(input) => self.pass(&mut run, input),
            Input::Offers(offers) => self.offers = offers,
            Input::Out(out) => self.set_out(&mut run, out),
            Input::Permit(until) => self.set_permit(&mut run, until),
            Input::Policy(policy) => self.set_policy(&mut run, *policy),
            Input::Tick => self.tick(&mut run),
            Input::Workers(list) => self.set_workers(&mut run, list),
        }
        self.update_permit(&mut run);
        run.actions
    }

    fn pass(&mut self, run: &mut Run, input: sched::Input) {
        match &input {
            sched::Input::LockSuspect(doubt) => self.doubt = *doubt,
            sched::Input::Elected { .. } => self.reset_planner(run),
            _ => {}
        }
        self.coord_step(run, input);
    }

    /// Starts over with an empty planner; the take-over fills it.
    fn reset_planner(&mut self, run: &mut Run) {
        self.planner = Planner::new(self.policy.clone());
        self.known.clear();
        self.parked.clear();
        self.specs.clear();
        self.doubt = false;
        self.permitted = false;
        self.silent.clear();
        for (spec, leaving) in self.workers.clone().into_values() {
            self.add_worker(run, spec, leaving);
        }
        if self.out {
            self.plan(run, gang::Input::DomainOut(self.domain.clone()));
        }
    }

    fn set_out(&mut self, run: &mut Run, out: bool) {
        if out == self.out {
            return;
        }
        self.out = out;
        let domain = self.domain.clone();
        self.coord_step(run, sched::Input::DomainOut(out));
        if out {
            run.log(Event::DomainOut, domain.as_str());
            self.plan(run, gang::Input::DomainOut(domain));
        } else {
            run.log(Event::DomainBack, domain.as_str());
            self.plan(run, gang::Input::DomainBack(domain));
            self.resubmit(run);
        }
    }

    fn set_permit(&mut self, run: &mut Run, until: Millis) {
        self.permit = until;
        self.coord_step(run, sched::Input::Permit { until });
    }

    /// Tells the planner whether starts are allowed, when that changes.
    fn update_permit(&mut self, run: &mut Run) {
        let allowed = self.coord.is_ready() && run.now < self.permit && !self.doubt;
        if allowed != self.permitted {
            self.permitted = allowed;
            if self.coord.is_ready() && !allowed {
                run.log(Event::SettingsStale, self.domain.as_str());
            }
            self.plan(run, gang::Input::AllowStarts(allowed));
        }
    }

    fn set_policy(&mut self, run: &mut Run, policy: Policy) {
        self.policy = policy.clone();
        self.plan(run, gang::Input::Policy(policy));
    }

    fn tick(&mut self, run: &mut Run) {
        self.coord_step(run, sched::Input::Tick);
        self.plan(run, gang::Input::Tick);
        self.move_parked(run);
    }

    fn set_workers(&mut self, run: &mut Run, list: Vec<(WorkerSpec, bool)>) {
        let ids = list.iter().map(|(spec, _)| spec.id.clone()).collect();
        let pairs = list
            .into_iter()
            .map(|(s, leaving)| (s.id.clone(), (s, leaving)));
        let new: BTreeMap<_, _> = pairs.collect();
        let old = std::mem::replace(&mut self.workers, new.clone());
        self.coord_step(run, sched::Input::Workers(ids));
        for id in old.keys().filter(|id| !new.contains_key(*id)) {
            self.plan(run, gang::Input::WorkerDown(id.clone()));
        }
        for (id, (spec, leaving)) in new {
            let same = old.get(&id).is_some_and(|o| *o == (spec.clone(), leaving));
            if !same && !self.silent.contains(&id) {
                self.add_worker(run, spec, leaving);
            }
        }
    }

    fn add_worker(&mut self, run: &mut Run, spec: WorkerSpec, leaving: bool) {
        let id = spec.id.clone();
        self.plan(run, gang::Input::WorkerUp(spec));
        if leaving {
            self.plan(run, gang::Input::WorkerLeaving(id));
        }
    }

    /// Feeds the coordinator and passes on what it tells.
    fn coord_step(&mut self, run: &mut Run, input: sched::Input) {
        for action in self.coord.step(run.now, input) {
            match action {
                sched::Action::Call { call, worker, body } => {
                    run.actions.push(Action::Call { call, worker, body });
                }
                sched::Action::Notify(report) => self.told(run, report),
                sched::Action::Write { record, expect } => {
                    run.actions.push(Action::Write { record, expect });
                }
            }
        }
    }

    /// Feeds the planner and passes on what it decides.
    fn plan(&mut self, run: &mut Run, input: gang::Input) {
        for action in self.planner.step(run.now, input) {
            self.decided(run, action);
        }
    }

    fn decided(&mut self, run: &mut Run, action: gang::Action) {
        match action {
            gang::Action::Cancelled { .. } => {}
            gang::Action::GuaranteeMet { org, .. } => {
                run.log(Event::GuaranteeRestored, org.as_str())
            }
            gang::Action::Fail { job, evidence } => {
                let why = describe(&evidence);
                self.stop(run, job, false, StopCause::Fail(why));
            }
            gang::Action::Isolate(id) => run.log(Event::WorkerIsolated, id.as_str()),
            gang::Action::Probe(id) => run.log(Event::WorkerProbed, id.as_str()),
            gang::Action::Refuse { job, reason } => self.refuse(run, job, reason),
            gang::Action::Release { job, .. } => self.release(run, job),
            gang::Action::Restore(id) => run.log(Event::UpstreamRestored, id.as_str()),
            gang::Action::GuaranteeShort { org, missing, .. } => {
                run.log(
                    Event::GuaranteeShort,
                    &format!("{org} misses {missing} gangs"),
                );
            }
            gang::Action::Start(plan) => self.coord_step(run, sched::Input::Plan(plan)),
            gang::Action::Stop {
                job,
                why,
                checkpoint,
            } => self.stop_running(run, job, why, checkpoint),
        }
    }

    fn stop_running(&mut self, run: &mut Run, job: JobId, why: StopReason, checkpoint: bool) {
        if why == StopReason::Reclaim {
            run.log(Event::CapacityReclaimed, job.as_str());
        }
        let why = match why {
            StopReason::Cancel => StopCause::Cancel,
            _ => StopCause::Requeue,
        };
        self.stop(run, job, checkpoint, why);
    }

    fn refuse(&mut self, run: &mut Run, job: JobId, reason: gang::RefuseReason) {
        self.known.remove(&job);
        match reason {
            gang::RefuseReason::Cancelled => {}
            reason => {
                run.log(Event::JobRefused, &format!("{job}: {reason}"));
                self.stop(run, job, false, StopCause::Fail(reason.to_string()));
            }
        }
    }

    fn stop(&mut self, run: &mut Run, job: JobId, checkpoint: bool, why: StopCause) {
        let jobs = vec![job];
        self.coord_step(
            run,
            sched::Input::Stop {
                jobs,
                checkpoint,
                cause: why,
            },
        );
    }

    /// Hands a queued job to another failure domain, or keeps it until one has room.
    fn release(&mut self, run: &mut Run, job: JobId) {
        self.known.remove(&job);
        if let Some(report) = self.specs.get(&job).cloned() {
            self.parked.push_back(report);
        }
        self.move_parked(run);
    }

    fn move_parked(&mut self, run: &mut Run) {
        for report in std::mem::take(&mut self.parked) {
            let Report::Queued { spec, .. } = &report else {
                continue;
            };
            let others: Vec<DomainOffer> = self.other_offers();
            match pick_domain(spec, &others).filter(|d| *d != self.domain) {
                Some(domain) => {
                    run.log(Event::JobMoved, &format!("{} to {domain}", spec.id));
                    self.stop(run, spec.id.clone(), false, StopCause::Move(domain));
                }
                None => self.parked.push_back(report),
            }
        }
    }

    fn other_offers(&self) -> Vec<DomainOffer> {
        let others = self.offers.iter().filter(|o| o.domain != self.domain);
        others.cloned().collect()
    }

    /// Queues the jobs that found no other failure domain here again.
    fn resubmit(&mut self, run: &mut Run) {
        for report in std::mem::take(&mut self.parked) {
            self.told(run, report);
        }
    }
}

/// Actions collected in one step.
struct Run {
    now: Millis,
    actions: Vec<Action>,
}

impl Run {
    fn log(&mut self, event: Event, detail: &str) {
        self.actions.push(Action::Log(event, detail.to_string()));
    }
}

fn describe(evidence: &gang::Evidence) -> String {
    let workers: Vec<&str> = evidence.workers.iter().map(WorkerId::as_str).collect();
    let list = workers.join(", ");
    format!("{} failed attempts, on workers {list}", evidence.failures)
}
