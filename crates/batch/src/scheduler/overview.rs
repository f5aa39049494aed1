//! What the scheduler knows about the site, a job or a worker, as operators ask for it.

use base::DomainId;
use base::JobId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerId;

use super::trace::waits_for;
use super::Scheduler;
use crate::job::Job;
use crate::job::JobPhase;
use crate::job::RunPhase;
use crate::spec::Resources;
use crate::spec::RunNumber;
use crate::spec::TaskId;
use crate::speed::Speed;
use crate::worker::Worker;
use crate::worker::WorkerState;

/// Whether tasks are placed on a worker, and why not.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Usability {
    /// Its upkeep is near.
    Cordoned,
    /// It is about to leave.
    Draining,
    /// Its failure domain is out of service.
    DomainOut,
    /// Its entry has disappeared.
    Missing,
    /// Its entry may have been written too long ago, or is of another incarnation.
    Outdated,
    /// It gets no tasks for a while, because runs have failed or were not answered.
    Paused,
    /// It does not answer polls.
    Silent,
    /// Tasks are placed on it.
    Usable,
}

impl Usability {
    /// The word that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Usability::Cordoned => "cordoned",
            Usability::Draining => "draining",
            Usability::DomainOut => "domain-out",
            Usability::Missing => "missing",
            Usability::Outdated => "outdated",
            Usability::Paused => "paused",
            Usability::Silent => "silent",
            Usability::Usable => "usable",
        }
    }

    /// Whether room on workers in this state counts as room of their pool.
    pub(crate) fn is_counted(self) -> bool {
        match self {
            Usability::Cordoned
            | Usability::Outdated
            | Usability::Paused
            | Usability::Silent
            | Usability::Usable => true,
            Usability::DomainOut | Usability::Draining | Usability::Missing => false,
        }
    }
}

/// A worker and what it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOverview {
    /// Id of the worker.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack, if it names one.
    pub rack: Option<String>,
    /// Whether tasks are placed on it.
    pub usability: Usability,
    /// Time since the poll that it last answered was sent.
    pub heard: Millis,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Resources that no run occupies.
    pub free: Resources,
    /// Number of runs that may be active on it.
    pub runs: usize,
    /// Its speed relative to its pool, if its runs have shown it.
    pub speed: Option<Speed>,
}

/// Number of jobs that have one property in common.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobCounts {
    /// Jobs of which no task has started.
    pub waiting: usize,
    /// Jobs of which a task has started.
    pub running: usize,
}

/// An organisation's guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteeOverview {
    /// The organisation.
    pub org: OrgId,
    /// Accelerators that its urgent jobs can always get.
    pub accels: u64,
    /// Accelerators that its urgent jobs occupy.
    pub used: u64,
}

/// State of the site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteOverview {
    /// Version of the configuration in force.
    pub version: u64,
    /// Number of workers in each state.
    pub workers: Map<Usability, usize>,
    /// Resources of all usable workers.
    pub capacity: Resources,
    /// Resources of usable workers that no run occupies.
    pub free: Resources,
    /// Jobs by priority, by queue and by organisation.
    pub priorities: Map<u32, JobCounts>,
    /// Jobs by queue.
    pub queues: Map<String, JobCounts>,
    /// Jobs by organisation; those of public queues have none.
    pub orgs: Map<OrgId, JobCounts>,
    /// Guarantees of the organisations that hold one.
    pub guarantees: Vec<GuaranteeOverview>,
    /// Tasks under which workers were lost, since they last ran well.
    pub suspects: Vec<TaskId>,
}

/// A run that may be active.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOverview {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// The worker.
    pub worker: WorkerId,
    /// What is known about it.
    pub phase: RunPhase,
    /// Progress in percent.
    pub percent: u32,
}

/// A step of an occurrence that has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepOverview {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Number of its tasks.
    pub tasks: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Tasks with a run that may be active.
    pub open: usize,
    /// Whether the steps before it are done.
    pub ready: bool,
    /// Time for which tasks of it have been waiting for resources.
    pub waiting: Option<Millis>,
    /// Failed runs of the gang, or the most of any task.
    pub failures: usize,
    /// Time for which it has had nothing running.
    pub idle: Option<Millis>,
    /// What it waits for, if anything.
    pub waits_for: Option<&'static str>,
    /// What kept it from usable workers with room, each with the number of tasks that would fit.
    pub withheld: Vec<(&'static str, u64)>,
}

/// A job and its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobOverview {
    /// State that callers see.
    pub phase: JobPhase,
    /// Its queue.
    pub queue: String,
    /// Its organisation.
    pub org: Option<OrgId>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Time since it was accepted.
    pub age: Millis,
    /// Time from acceptance in which it should end.
    pub objective: Millis,
    /// Its steps that have not ended.
    pub steps: Vec<StepOverview>,
    /// Its runs.
    pub runs: Vec<RunOverview>,
}

impl Scheduler {
    /// State of the site.
    pub fn overview(&self, now: Millis) -> SiteOverview {
        let mut site = SiteOverview {
            version: self.catalog.version,
            suspects: self.suspects.iter().cloned().collect(),
            ..SiteOverview::default()
        };
        for worker in self.workers.values() {
            let usability = self.usability(worker, now);
            *site.workers.entry(usability).or_default() += 1;
            if usability == Usability::Usable {
                site.capacity += worker.entry.capacity;
                site.free += worker.free();
            }
        }
        let mut claimed: Map<&OrgId, u64> = Map::default();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let submitted = &job.submitted;
            if submitted.priority == 0 {
                if let Some(org) = &submitted.org {
                    *claimed.entry(org).or_default() += occupied_accels(job);
                }
            }
            if job.phase.is_final() {
                continue;
            }
            count(site.priorities.entry(submitted.priority).or_default(), job);
            count(site.queues.entry(submitted.queue.clone()).or_default(), job);
            if let Some(org) = &submitted.org {
                count(site.orgs.entry(org.clone()).or_default(), job);
            }
        }
        let holders = self.catalog.orgs.iter().filter(|o| o.guarantee > 0);
        site.guarantees = holders
            .map(|o| GuaranteeOverview {
                org: o.name.clone(),
                accels: o.guarantee,
                used: claimed.get(&o.name).copied().unwrap_or(0),
            })
            .collect();
        site
    }

    /// A job; `None` if it is not known. `wall` is the Unix time.
    pub fn job_overview(&self, id: &JobId, now: Millis, wall: Millis) -> Option<JobOverview> {
        let job = self.jobs.get(id)?;
        let mut steps = Vec::new();
        for (&occurrence, state) in &job.open {
            for (num, spec) in job.submitted.work.steps.iter().enumerate() {
                let step = &state.steps[num];
                if step.is_done() {
                    continue;
                }
                steps.push(StepOverview {
                    occurrence,
                    step: num as u16,
                    tasks: step.tasks.len(),
                    done: step.tasks.iter().filter(|t| t.done).count(),
                    open: step.tasks.iter().filter(|t| t.open.is_some()).count(),
                    ready: state.is_ready(spec),
                    waiting: step.ready_at.map(|at| now.since(at)),
                    failures: step.failures(),
                    idle: step.idle_since.map(|at| now.since(at)),
                    waits_for: waits_for(step, spec, now).map(|s| s.name()),
                    withheld: step
                        .withheld
                        .tasks
                        .iter()
                        .map(|(obstacle, tasks)| (obstacle.name(), *tasks))
                        .collect(),
                });
            }
        }
        let runs = job.open_tasks().into_iter().filter_map(|task| {
            let open = self.open_run(&task)?;
            Some(RunOverview {
                run: open.run,
                worker: open.worker.clone(),
                phase: open.phase,
                percent: open.percent,
                task,
            })
        });
        Some(JobOverview {
            phase: job.phase,
            queue: job.submitted.queue.clone(),
            org: job.submitted.org.clone(),
            priority: job.submitted.priority,
            age: wall.since(job.submitted.at),
            objective: job.submitted.objective,
            steps,
            runs: runs.collect(),
        })
    }

    /// All workers, ordered by id.
    pub fn worker_overviews(&self, now: Millis) -> Vec<WorkerOverview> {
        let all = self.workers.iter().map(|(id, worker)| WorkerOverview {
            id: id.clone(),
            domain: worker.entry.domain.clone(),
            rack: worker.entry.rack().map(str::to_string),
            usability: self.usability(worker, now),
            heard: now.since(worker.last_answer),
            capacity: worker.entry.capacity,
            free: worker.free(),
            runs: worker.open.len(),
            speed: Some(worker.evidence.estimate)
                .filter(|e| e.known)
                .map(|e| e.speed),
        });
        let mut all: Vec<WorkerOverview> = all.collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    pub(super) fn usability(&self, worker: &Worker, now: Millis) -> Usability {
        match worker {
            w if self.is_usable(w, now) && !w.is_paused(now) => Usability::Usable,
            w if w.missing_since.is_some() => Usability::Missing,
            w if w.entry.state == WorkerState::Draining => Usability::Draining,
            w if self.excluded.contains(&w.entry.domain) => Usability::DomainOut,
            w if self.cordoned.contains(&w.entry.id) => Usability::Cordoned,
            w if w.is_lost() => Usability::Silent,
            w if !w.owns_entry() || self.has_old_entry(w, now) => Usability::Outdated,
            w if w.is_paused(now) || now < w.not_before => Usability::Paused,
            _ => Usability::Silent,
        }
    }
}

fn count(counts: &mut JobCounts, job: &Job) {
    match job.phase {
        JobPhase::Queued => counts.waiting += 1,
        _ => counts.running += 1,
    }
}

fn occupied_accels(job: &Job) -> u64 {
    let open = job.open_tasks();
    let specs = open.iter().filter_map(|task| job.spec(task));
    specs.map(|s| s.need.accels).sum()
}
