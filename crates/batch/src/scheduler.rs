//! The coordinator's state of all jobs and workers, and the decisions on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::DomainId;
use base::Epoch;
use base::Fence;
use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::Set;
use base::WorkerId;

use crate::account::EndedJob;
use crate::account::Loss;
use crate::account::LossCause;
use crate::account::LostRun;
use crate::advice::Advice;
use crate::bounds::with_clock_drift;
use crate::bounds::Bounds;
use crate::bounds::DerivedBounds;
use crate::bounds::STOP_TURNAROUND;
use crate::catalog::Catalog;
use crate::headroom::UrgentDemand;
use crate::health::EarlyFailures;
use crate::job::Job;
use crate::job::JobPhase;
use crate::job::RunPhase;
use crate::org::History;
use crate::org::Ledger;
use crate::org::Rates;
use crate::record::Progress;
use crate::record::Submitted;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::speed::Level;
use crate::speed::PoolFit;
use crate::wave::Waves;
use crate::worker::Worker;

mod advice;
mod aside;
mod contact;
mod crashes;
mod gate;
mod idle;
mod load;
mod losses;
mod measure;
mod odd;
mod orgs;
mod overview;
mod recall;
mod repeat;
mod report;
mod requests;
mod stall;
mod stops;
mod suspects;
mod throttle;
mod time;
mod trace;
mod upkeep;
mod waits;
mod workers;

use losses::Losses;
use orgs::Waits;

pub use idle::IdleWait;
pub use overview::GuaranteeOverview;
pub use overview::JobCounts;
pub use overview::JobOverview;
pub use overview::RunOverview;
pub use overview::SiteOverview;
pub use overview::StepOverview;
pub use overview::Usability;
pub use overview::WorkerOverview;
pub use requests::PendingWrite;
pub use requests::PollRequest;
pub use requests::SeenEnd;
pub use requests::StartRequest;
pub use requests::StartResponse;
pub use stops::StopRequest;
pub use throttle::ThrottleRequest;
pub use waits::PoolUse;
pub use waits::WaitSummary;

/// What an entry of the operators' log is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogKind {
    /// A decision about a job or a worker.
    Decision,
    /// A job that has ended.
    JobEnded,
    /// A run that has ended without a result.
    RunLost,
    /// A job inside its organisation's guarantee that has not started after half of its time.
    GuaranteeDelayed,
    /// A step that waits because of its organisation's limit.
    LimitReached,
    /// A limit that is smaller than what a job needs to start.
    LimitTooLow,
    /// A worker whose capacity has changed.
    CapacityChanged,
    /// A worker that has crashed, with the runs that were on it.
    WorkerCrashed,
    /// A job that is given up because workers crash under one of its tasks.
    JobGivenUp,
    /// Work that waits beside free room.
    WaitsBesideRoom,
}

/// An entry for the operators' log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// What it is about.
    pub kind: LogKind,
    /// The job concerned, if any.
    pub job: Option<JobId>,
    /// Text of the entry.
    pub text: String,
    /// What has ended or waits, if the entry is about that.
    pub detail: Option<LogDetail>,
}

/// What has ended or waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogDetail {
    /// A job.
    EndedJob(EndedJob),
    /// Work that waits beside free room.
    IdleWait(IdleWait),
    /// A run without a result.
    LostRun(LostRun),
}

/// State of the scheduler during one coordinator's epoch.
pub struct Scheduler {
    pub(crate) epoch: Epoch,
    /// Highest fencing token that calls may carry: the revision of a write conditional on the lock, so
    /// that the epoch of the next coordinator is higher.
    pub(crate) fence: Fence,
    /// Highest fencing token of a call to a worker that was dropped.
    pub(crate) dropped_fence: Fence,
    pub(crate) bounds: Bounds,
    pub(crate) times: DerivedBounds,
    pub(crate) catalog: Catalog,
    /// Failure domains whose workers get no new tasks.
    pub(crate) excluded: Set<DomainId>,
    pub(crate) jobs: Map<JobId, Job>,
    /// Jobs that have not ended, or of which a run may still be active.
    pub(crate) live: BTreeSet<JobId>,
    pub(crate) workers: Map<WorkerId, Worker>,
    /// Ids of the workers at each address: incarnations may have ids of their own.
    pub(crate) hosts: Map<SocketAddr, Vec<WorkerId>>,
    /// Ends of runs whose effect is not stored yet.
    pub(crate) unstored: Vec<SeenEnd>,
    /// Tasks under whose runs workers were lost, since they last ran well.
    pub(crate) suspects: BTreeSet<TaskId>,
    /// Jobs that seem to be the cause of crashes, one of which is still to be judged.
    pub(crate) accused: BTreeSet<JobId>,
    /// Workers that were lost lately.
    pub(crate) losses: Losses,
    /// Tasks whose open run is being stopped.
    pub(crate) stopping: BTreeSet<TaskId>,
    /// Tasks whose start is to be requested again, as it has no answer.
    pub(crate) unanswered: BTreeSet<TaskId>,
    /// When open runs were last checked for expired leases and stalls.
    pub(crate) checked_at: Millis,
    /// When it was last checked what waits beside free room.
    pub(crate) idle_checked_at: Millis,
    /// Jobs with changes that are not stored yet.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs whose changes are being stored.
    pub(crate) storing: BTreeSet<JobId>,
    /// Jobs of which starts were answered since they were last stored, and since when there is one.
    pub(crate) answers: (BTreeSet<JobId>, Millis),
    /// Starts whose jobs have to be stored before they are sent.
    pub(crate) planned: Vec<StartRequest>,
    pub(crate) log_entries: Vec<LogEntry>,
    /// Steady and Unix time of the latest pass.
    pub(crate) pass_at: (Millis, Millis),
    /// When the last job was added.
    pub(crate) added_at: Millis,
    /// When starts were last planned.
    pub(crate) planned_at: Option<Millis>,
    /// Whether a request was refused because a later coordinator is active.
    pub(crate) fenced: bool,
    /// Measured duration of each queue's tasks relative to their estimates, in percent.
    pub(crate) ratios: Map<String, u32>,
    /// Mean deviation of these durations from their ratio, as a logarithm.
    pub(crate) deviations: Map<String, f64>,
    /// Speeds of the workers of each pool.
    pub(crate) fits: Map<ServiceId, PoolFit>,
    pub(crate) fitted_at: Millis,
    /// Speeds of workers that an earlier coordinator has recorded, by their key.
    pub(crate) recorded: Map<u64, Level>,
    /// Whether there is evidence of speeds that is not estimated from yet.
    pub(crate) new_evidence: bool,
    /// Responses of the adviser on steps and workers.
    pub(crate) advice: Advice,
    /// Waves of machine upkeep.
    pub(crate) waves: Waves,
    /// Workers that get no new tasks because their upkeep is near.
    pub(crate) cordoned: Set<WorkerId>,
    /// Recent early failures of runs.
    pub(crate) early_failures: EarlyFailures,
    /// Recent arrivals of jobs of priority 0, by pool.
    pub(crate) urgent: Map<ServiceId, UrgentDemand>,
    /// What may be running of each organisation.
    pub(crate) ledger: Ledger,
    /// Average use of each organisation.
    pub(crate) history: Map<OrgId, History>,
    /// Which jobs are beyond the rates of their organisations.
    pub(crate) rates: Rates,
    /// What the steps of each organisation wait for, by the last planning pass.
    pub(crate) waits: Map<OrgId, Waits>,
    /// Time by which runs started under an earlier coordinator have ended on workers that never
    /// answer this one.
    pub(crate) inherited_end: Millis,
}

impl Scheduler {
    /// Creates the empty state of a coordinator that took over at `now`.
    pub fn new(epoch: Epoch, bounds: Bounds, catalog: Catalog, now: Millis) -> Scheduler {
        let times = bounds.derive();
        Scheduler {
            epoch,
            fence: Fence(epoch.0),
            dropped_fence: Fence(0),
            bounds,
            times,
            catalog,
            excluded: Set::default(),
            jobs: Map::default(),
            live: BTreeSet::new(),
            workers: Map::default(),
            hosts: Map::default(),
            unstored: Vec::new(),
            suspects: BTreeSet::new(),
            accused: BTreeSet::new(),
            losses: Losses::default(),
            stopping: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            checked_at: Millis::ZERO,
            idle_checked_at: Millis::ZERO,
            dirty: BTreeSet::new(),
            storing: BTreeSet::new(),
            answers: (BTreeSet::new(), now),
            planned: Vec::new(),
            log_entries: Vec::new(),
            pass_at: (now, Millis::ZERO),
            added_at: now,
            planned_at: None,
            fenced: false,
            ratios: Map::default(),
            deviations: Map::default(),
            fits: Map::default(),
            fitted_at: Millis::ZERO,
            recorded: Map::default(),
            new_evidence: false,
            advice: Advice::default(),
            waves: Waves::default(),
            cordoned: Set::default(),
            early_failures: EarlyFailures::default(),
            urgent: Map::default(),
            ledger: Ledger::default(),
            history: Map::default(),
            rates: Rates::default(),
            waits: Map::default(),
            inherited_end: now + times.offline_renewal + with_clock_drift(times.worker_lease),
        }
    }

    /// The coordinator's epoch. Workers refuse requests of earlier epochs.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a request was refused because a later coordinator is active.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the log entries added since the last call.
    pub fn take_log(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.log_entries)
    }

    pub(crate) fn log(&mut self, job: Option<&JobId>, text: String) {
        self.log_kind(LogKind::Decision, job, text);
    }

    pub(crate) fn log_kind(&mut self, kind: LogKind, job: Option<&JobId>, text: String) {
        let job = job.cloned();
        self.log_entries.push(LogEntry {
            kind,
            job,
            text,
            detail: None,
        });
    }

    /// Applies a configuration if it is newer than the one in force.
    pub fn configure(&mut self, catalog: &Catalog) {
        if catalog.version > self.catalog.version {
            let changed = catalog.orgs != self.catalog.orgs;
            let weights = |c: &Catalog| -> Vec<_> {
                let orgs = c.orgs.iter();
                orgs.map(|o| (o.name.clone(), o.weight)).collect()
            };
            let reweighted = changed && weights(catalog) != weights(&self.catalog);
            self.catalog = catalog.clone();
            if changed {
                self.check_limits();
            }
            if reweighted {
                self.rebuild_rates();
            }
        }
    }

    /// Sets the failure domains whose workers get no new tasks.
    pub fn exclude_domains(&mut self, domains: Set<DomainId>) {
        self.excluded = domains;
    }

    /// Adds an accepted job together with its recorded progress.
    pub fn add(
        &mut self,
        id: JobId,
        submitted: Submitted,
        recorded: Option<Progress>,
        now: Millis,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.added_at = now;
        let mut job = Job::new(id.clone(), submitted, now);
        job.inherited = recorded.is_some() || self.planned_at.is_none();
        if recorded.is_some_and(|p| !p.restore(&mut job, now)) {
            self.log(
                Some(&id),
                "recorded progress does not match the job; it starts from the beginning".into(),
            );
        }
        self.suspects.extend(job.crashed_tasks());
        for task in job.open_tasks() {
            let Some(spec) = job.spec(&task).cloned() else {
                continue;
            };
            if let Some(org) = &job.submitted.org {
                self.ledger.add(org, &spec.need);
            }
            let Some(open) = job.task_mut(&task).and_then(|t| t.open.as_ref()) else {
                continue;
            };
            if let Some(worker) = self.workers.get_mut(&open.worker) {
                match open.phase {
                    RunPhase::Adrift => drop(worker.adrift.insert(task.clone())),
                    _ => worker.add_run(task.clone(), open.run, &spec),
                }
            }
        }
        if job.phase.is_final() {
            job.ended = Some(now);
        } else if job.submitted.priority == 0 {
            let window = self.bounds.stop_grace + STOP_TURNAROUND;
            let demand = self.urgent.entry(self.pool_of(&job));
            demand.or_default().record(job.accels(), window, now);
        }
        if !job.phase.is_final() || !job.open_tasks().is_empty() {
            self.live.insert(id.clone());
        }
        let org = job.submitted.org.as_ref();
        if let Some(org) = org.filter(|_| self.catalog.has_weights()) {
            let rate = self.catalog.rate(org);
            job.excess = self.rates.add(org, job.submitted.at, &id, rate);
        }
        self.jobs.insert(id, job);
    }

    /// Whether a job is known.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Cancels a job: no further task of it starts, and those that run are stopped.
    pub fn cancel(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        self.end_job(id, JobPhase::Cancelled, now);
    }

    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, id: &JobId, phase: JobPhase, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        job.ended = Some(now);
        let open = job.open_tasks();
        self.dirty.insert(id.clone());
        if open.is_empty() {
            self.live.remove(id);
        }
        for task in open {
            self.stop_run(&task, Loss::new(LossCause::Ended));
            if self
                .open_run(&task)
                .is_some_and(|o| o.phase == RunPhase::Adrift)
            {
                self.finish_run(&task, now);
            }
        }
        self.log(Some(id), format!("job ended: {phase:?}"));
        self.log_ended(id, now);
    }

    /// Ended jobs whose state is no longer needed. They stay known until [`Scheduler::forget`]: a job
    /// that is not known is taken for a new one when its submission is read again.
    pub fn expired(&self, now: Millis) -> Vec<JobId> {
        let ids = self.jobs.keys().filter(|id| self.is_expired(id, now));
        ids.cloned().collect()
    }

    /// Drops an expired job, once the store holds no record of it any more. Returns whether it was
    /// dropped.
    pub fn forget(&mut self, id: &JobId, now: Millis) -> bool {
        if !self.is_expired(id, now) {
            return false;
        }
        let job = self.jobs.remove(id);
        if let Some((org, at)) = job.and_then(|j| Some((j.submitted.org?, j.submitted.at))) {
            self.rates.remove(&org, at, id);
        }
        true
    }

    fn is_expired(&self, id: &JobId, now: Millis) -> bool {
        let retention = Millis(self.bounds.status.0 * 2);
        let job = self.jobs.get(id).filter(|_| !self.live.contains(id));
        job.is_some_and(|job| {
            let is_adrift = job.adrift.iter().any(|a| now <= a.until);
            let is_old = job.ended.is_some_and(|at| now.since(at) > retention);
            is_old && !is_adrift
        })
    }

    /// Whether all changes of a job are stored. The records of other jobs must not be removed, as a write
    /// that is under way would leave a record behind.
    pub fn is_stored(&self, id: &JobId) -> bool {
        !self.dirty.contains(id) && !self.storing.contains(id)
    }

    pub(crate) fn open_run(&self, task: &TaskId) -> Option<&crate::job::OpenRun> {
        let job = self.jobs.get(&task.job)?;
        let step = job
            .open
            .get(&task.occurrence)?
            .steps
            .get(usize::from(task.step))?;
        step.tasks.get(usize::from(task.index))?.open.as_deref()
    }

    /// Ends a job whose tasks are all done, and removes an ended job without runs from `live`.
    pub(crate) fn end_if_done(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.phase.is_final() && job.remove_ended() {
            self.end_job(id, JobPhase::Completed, now);
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.phase.is_final() && job.open_tasks().is_empty() {
            self.live.remove(id);
        }
    }

    /// Whether this run of the task is open on this worker.
    pub(crate) fn is_open(&self, task: &TaskId, run: RunNumber, worker: &WorkerId) -> bool {
        let open = self.open_run(task);
        open.is_some_and(|o| o.run == run && o.worker == *worker)
    }
}
