//! Runs that could be preempted for urgent jobs.

use base::JobId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;

use crate::account::Loss;
use crate::account::LossCause;
use crate::bounds::STOP_TURNAROUND;
use crate::job::Job;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::job::TaskState;
use crate::place::Candidate;
use crate::place::Limits;
use crate::plan::Pass;
use crate::plan::WaitingStep;
use crate::preempt;
use crate::preempt::Victim;
use crate::preempt::VictimIndex;
use crate::preempt::VictimKind;
use crate::scheduler::LogEntry;
use crate::scheduler::LogKind;
use crate::scheduler::Scheduler;
use crate::spec::Resources;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// Outcome of an attempt at preemption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Preemption {
    /// The resources are being freed.
    Begun,
    /// No runs that may be stopped would make room.
    NoChoice,
    /// More work would be lost than may be. Holds that work and the limit, in core-milliseconds.
    TooDear(u64, u64),
}

/// How pressing a waiting step of priority 0 is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Pressure {
    /// No more may be lost for it than it is worth.
    None,
    /// A guarantee covers it, and any work of lower priority is stopped for it, long-running too.
    High,
    /// Also urgent work that no guarantee covers is stopped for it, and it starts on any rack.
    Last,
}

impl Pressure {
    /// Most work, in core-milliseconds, that may be lost to start a step of this worth.
    pub(super) fn max_loss(self, guaranteed: bool, worth: u64) -> u64 {
        match self {
            Pressure::High | Pressure::Last => u64::MAX,
            Pressure::None if guaranteed => worth * 2,
            Pressure::None => worth,
        }
    }

    /// The last kind of work that is stopped for the step.
    pub(super) fn displaces(self) -> VictimKind {
        match self {
            Pressure::None => VictimKind::Ordinary,
            Pressure::High => VictimKind::Lasting,
            Pressure::Last => VictimKind::Urgent,
        }
    }
}

/// Part of the time in which work can still be stopped for a guaranteed step, in percent, after which
/// urgent work is stopped as well. Until then short urgent work often ends by itself.
const LAST_PERCENT: u64 = 75;

impl Scheduler {
    /// Runs on the workers that no guarantee covers, and the tasks of each. All members of a gang form
    /// one victim.
    pub(super) fn victims(
        &self,
        candidates: &[Candidate],
        guaranteed: &Set<JobId>,
        now: Millis,
    ) -> (VictimIndex, Vec<Vec<TaskId>>) {
        let index_of: Map<&WorkerId, usize> = candidates
            .iter()
            .enumerate()
            .map(|(num, c)| (&c.id, num))
            .collect();
        let mut victims: Vec<Victim> = Vec::new();
        let mut tasks: Vec<Vec<TaskId>> = Vec::new();
        let mut limited: Map<StepId, usize> = Map::default();
        let mut spare: Vec<usize> = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if guaranteed.contains(id) || job.phase.is_final() {
                continue;
            }
            for task in job.open_tasks() {
                let Some(open) = self.open_run(&task) else {
                    continue;
                };
                let Some(spec) = job.spec(&task) else {
                    continue;
                };
                let Some(&at) = index_of.get(&open.worker) else {
                    continue;
                };
                // A run whose start has not been answered yet can be stopped like one that is known
                // to run.
                if !matches!(open.phase, RunPhase::Running | RunPhase::Sent) {
                    continue;
                }
                if spec.is_limited() && !can_spare(job, &task) {
                    continue;
                }
                let loss = preempt::work(&spec.need, lost_by_stopping(spec, open, now));
                let same = tasks.last().and_then(|t| t.first()).filter(|first| {
                    spec.gang
                        && first.job == task.job
                        && first.occurrence == task.occurrence
                        && first.step == task.step
                });
                if same.is_some() {
                    if let (Some(victim), Some(list)) = (victims.last_mut(), tasks.last_mut()) {
                        victim.workers.push(at);
                        victim.loss += loss;
                        list.push(task);
                    }
                    continue;
                }
                victims.push(Victim {
                    workers: vec![at],
                    need: spec.occupies(),
                    loss,
                    kind: victim_kind(job, spec),
                    step: spec.is_limited().then(|| {
                        *limited.entry(task.step_id()).or_insert_with(|| {
                            spare.push(spare_tasks(job, &task));
                            spare.len() - 1
                        })
                    }),
                });
                tasks.push(vec![task]);
            }
        }
        (VictimIndex::new(victims, spare, candidates.len()), tasks)
    }

    /// How pressing a step is. The time of a guaranteed job that has not begun counts from its
    /// acceptance, however late it was read and however often its start was broken off.
    pub(super) fn pressure(
        &self,
        at: &WaitingStep,
        spec: &StepSpec,
        state: &StepState,
        waited: Millis,
    ) -> Pressure {
        let last = self
            .bounds
            .reclaim
            .since(self.bounds.stop_grace + STOP_TURNAROUND);
        let first = spec.after.is_empty() && state.failures() == 0;
        let waited = match first {
            true => waited.max(at.age),
            false => waited,
        };
        match at.guaranteed {
            true if waited >= Millis(last.0 * LAST_PERCENT / 100) => Pressure::Last,
            true if waited >= Millis(last.0 / 2) => Pressure::High,
            _ => Pressure::None,
        }
    }

    /// Preempts work of lower priority for the tasks of a step, and reserves the freed resources
    /// for them.
    pub(super) fn preempt_for(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        among: &[usize],
        (spec, limits): (&StepSpec, &Limits),
        count: usize,
        most: u64,
    ) -> Preemption {
        let (index, tasks) = pass
            .victims
            .get_or_insert_with(|| self.victims(&pass.candidates, &pass.guaranteed, pass.now));
        let found = preempt::choose_among(among, &pass.candidates, index, spec, limits, count);
        let Some(choice) = found else {
            return Preemption::NoChoice;
        };
        if choice.loss > most {
            return Preemption::TooDear(choice.loss, most);
        }
        let need = spec.occupies();
        for &num in &choice.workers {
            let candidate = &mut pass.candidates[num];
            let rest = need.saturating_sub(&candidate.free);
            candidate.free -= need;
            candidate.releasing -= rest;
            // The runs that are stopped cover it.
            candidate.excess = Resources::default();
            pass.free[num] = candidate.free;
        }
        // One line for all runs that are stopped for the job: thousands are in a burst.
        let mut stopped = Vec::new();
        for victim in choice.victims {
            index.take(victim);
            for task in &tasks[victim] {
                let loss = Loss {
                    room_for: Some(at.job.clone()),
                    ..Loss::new(LossCause::Urgent)
                };
                self.stop_run(task, loss);
                stopped.push(task.to_string());
            }
        }
        if !stopped.is_empty() {
            let num = stopped.len();
            let text = format!(
                "stopping {num} runs for this urgent job: {}",
                stopped.join(" ")
            );
            self.log(Some(&at.job), text);
            if let Some(job) = self.jobs.get_mut(&at.job) {
                job.stopped_runs += num;
            }
        }
        Preemption::Begun
    }

    /// Logs, once a step, that a guarantee covers it and half of its time has passed.
    pub(super) fn log_delay(&mut self, at: &WaitingStep, among: &[usize], attempted: &Preemption) {
        if !at.guaranteed || at.age < Millis(self.bounds.reclaim.0 / 2) {
            return;
        }
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        let Some(step) = state.and_then(|s| s.steps.get_mut(usize::from(at.step))) else {
            return;
        };
        if std::mem::replace(&mut step.delay_logged, true) {
            return;
        }
        let why = match attempted {
            Preemption::Begun => "runs are being stopped for it".to_string(),
            Preemption::NoChoice => "no runs that may be stopped make room".to_string(),
            Preemption::TooDear(loss, most) => {
                format!("stopping runs would lose {loss} core-ms, more than {most}")
            }
        };
        let eligible = among.len();
        self.log_entries.push(LogEntry {
            kind: LogKind::GuaranteeDelayed,
            job: Some(at.job.clone()),
            text: format!(
                "{} after its acceptance, {eligible} workers are eligible; {why}",
                at.age
            ),
            detail: None,
        });
    }
}

/// Time that a checkpointing task needs to resume after it was stopped.
const RESTORE_TIME: Millis = Millis(300);

/// Work time lost by stopping a run. A checkpointing task saves its progress when it is stopped.
pub(crate) fn lost_by_stopping(spec: &StepSpec, open: &OpenRun, now: Millis) -> Millis {
    match spec.checkpoints {
        true => RESTORE_TIME,
        false => now.since(open.seen_at.unwrap_or(open.planned_at)),
    }
}

/// How readily the runs of a step are stopped.
pub(super) fn victim_kind(job: &Job, spec: &StepSpec) -> VictimKind {
    match job.submitted.priority {
        0 => VictimKind::Urgent,
        _ if spec.lasting && !spec.is_limited() => VictimKind::Lasting,
        _ => VictimKind::Ordinary,
    }
}

/// Whether a task of a long-running step may be taken out of service, with its whole gang if it is in
/// one.
pub(crate) fn can_spare(job: &Job, task: &TaskId) -> bool {
    let gang = job.spec(task).filter(|spec| spec.gang);
    spare_tasks(job, task) >= gang.map_or(1, |spec| spec.count as usize)
}

/// How many more tasks of a long-running step may be taken out of service.
pub(super) fn spare_tasks(job: &Job, task: &TaskId) -> usize {
    let steps = job
        .open
        .get(&task.occurrence)
        .map(|o| &o.steps[usize::from(task.step)]);
    let in_service = |t: &TaskState| {
        let open = t.open.as_ref().filter(|o| o.phase == RunPhase::Running);
        open.is_some_and(|o| o.percent >= 100)
    };
    let out_of_service = steps.map_or(0, |s| s.tasks.iter().filter(|t| !in_service(t)).count());
    let most = job.spec(task).map_or(0, |s| s.may_miss as usize);
    most.saturating_sub(out_of_service)
}
