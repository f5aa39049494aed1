//! One attempt to place the tasks of a step: what is to be placed, and under which constraints.

use base::Millis;
use base::ServiceId;
use base::Set;
use base::WorkerId;

use super::victims::Pressure;
use super::Pass;
use super::WaitingStep;
use crate::advice::AdviceRule;
use crate::crash::is_suspect;
use crate::health::waits_for_proof;
use crate::job::Job;
use crate::job::OpenRun;
use crate::place::Candidate;
use crate::place::Limits;
use crate::scheduler::Scheduler;
use crate::spec::RunNumber;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::suit::SpeedNeed;

/// Time for which a task waits for a worker on which it has not failed.
const AVOID_TIME: Millis = Millis(2_000);

/// Longest time that a step waits for the rack of its data on a quiet pool.
const QUIET_LOCALITY_WAIT: Millis = Millis(2_000);

/// An attempt to place the missing tasks of a step in a pass.
pub(super) struct Attempt {
    pub(super) step: StepId,
    /// The step; without its wish for one rack if racks are not kept to.
    pub(super) spec: StepSpec,
    pub(super) pool: ServiceId,
    /// The tasks to place, and the workers that each of them avoids.
    pub(super) missing: Vec<(u16, Vec<WorkerId>)>,
    /// Those of the tasks to place that are suspected of crashing workers, and since when they have been
    /// waiting for workers of their own.
    pub(super) suspects: Vec<u16>,
    pub(super) held_since: Option<Millis>,
    /// Number of tasks of the step on each worker, by the worker's index.
    pub(super) on_worker: Vec<u32>,
    /// The adviser's response times, if there is one, and the workers that it allows.
    pub(super) rule: Option<AdviceRule>,
    pub(super) allowed: Option<Set<WorkerId>>,
    /// Time for which tasks of the step have been waiting.
    pub(super) waited: Millis,
    pub(super) pressure: Pressure,
    /// Whether its job is of priority 0.
    pub(super) urgent: bool,
    /// Whether it may use what is kept for urgent jobs.
    pub(super) uses_headroom: bool,
    /// Whether it is tried on paused workers too.
    pub(super) paused: bool,
    /// Whether it may use what is reserved for a gang.
    pub(super) reserved: bool,
    /// Whether workers on a rack other than that of the data are allowed.
    pub(super) remote: bool,
    /// Expected duration of a task.
    pub(super) duration: Millis,
    /// What it asks of the speed of its workers.
    pub(super) speed: SpeedNeed,
    /// Whether only proven workers are used, because the job has failed.
    pub(super) careful: bool,
    /// Run number of a gang's start.
    pub(super) gang_run: RunNumber,
}

impl Attempt {
    /// Constraints on the placement, with `avoid` as the workers that are not used.
    pub(super) fn limits<'a>(&'a self, avoid: &'a [WorkerId]) -> Limits<'a> {
        Limits {
            pool: &self.pool,
            avoid,
            on_worker: &self.on_worker,
            remote: self.remote,
            rack: None,
            duration: self.duration,
            uses_headroom: self.uses_headroom,
            paused: self.paused,
            reserved: self.reserved,
            displaces: self.pressure.displaces(),
            allowed: self.allowed.as_ref(),
            speed: self.speed,
        }
    }

    /// Whether the step can run on every worker of its pool.
    pub(super) fn is_plain(&self) -> bool {
        self.spec.label.is_none()
            && self.spec.data_rack.is_none()
            && self.spec.per_worker.is_none()
            && !self.careful
            && self.allowed.is_none()
    }

    /// The workers that any of the tasks avoids.
    pub(super) fn avoided(&self) -> Vec<WorkerId> {
        self.missing.iter().flat_map(|(_, a)| a.clone()).collect()
    }
}

impl Scheduler {
    /// Collects what a step needs. Racks that it asks for are kept to if `keep_racks` is set.
    pub(super) fn attempt(
        &self,
        pass: &Pass,
        at: &WaitingStep,
        keep_racks: bool,
    ) -> Option<Attempt> {
        let now = pass.now;
        let job = self.jobs.get(&at.job)?;
        let state = job.open.get(&at.occurrence)?;
        let mut spec = job.submitted.work.steps[usize::from(at.step)].clone();
        spec.one_rack &= keep_racks;
        let state = &state.steps[usize::from(at.step)];
        let rule = self.advice_rule(job);
        let step = StepId {
            job: at.job.clone(),
            occurrence: at.occurrence,
            step: at.step,
        };
        let allowed = rule.map(|_| self.allowed(&step, now));
        let waited = now.since(state.ready_at.unwrap_or(now));
        let avoids = waited < AVOID_TIME;
        let is_overdue = self.is_overdue(pass, at);
        let tasks = state.tasks.iter().enumerate();
        let missing = tasks.filter(|(_, t)| !t.done && t.open.is_none());
        let missing = missing.map(|(index, t)| {
            let avoid = if avoids { t.avoid.clone() } else { Vec::new() };
            (index as u16, avoid)
        });
        let suspects = state.tasks.iter().enumerate();
        let suspects = suspects.filter(|(_, t)| !t.done && t.open.is_none());
        let suspects: Vec<(u16, Option<Millis>)> = suspects
            .filter(|(_, t)| is_suspect(&t.crashes))
            .map(|(index, t)| (index as u16, t.held_since))
            .collect();
        // A job that has failed goes to proven workers only, for a while.
        let careful = waits_for_proof(state.failures(), job.submitted.attempts, waited);
        Some(Attempt {
            missing: missing.collect(),
            held_since: suspects.iter().filter_map(|(_, since)| *since).min(),
            suspects: suspects.into_iter().map(|(index, _)| index).collect(),
            on_worker: on_workers(
                &pass.candidates,
                state.tasks.iter().filter_map(|t| t.open.as_deref()),
            ),
            pool: self.pool_of(job),
            rule,
            allowed,
            waited,
            pressure: self.pressure(at, &spec, state, waited),
            urgent: job.submitted.priority == 0,
            uses_headroom: self.uses_headroom(pass, at, waited),
            paused: self.uses_paused(pass, at, waited),
            reserved: is_overdue,
            remote: spec.data_rack.is_none()
                || !keep_racks
                || is_overdue
                || waited > self.locality_wait(pass, job, &spec),
            duration: self.expected(job, at.step),
            speed: self.speed_need(job, at.occurrence, at.age),
            careful,
            gang_run: state.last_run().next(),
            step,
            spec,
        })
    }

    /// Time that a step waits for the rack of its data: half of what running elsewhere costs. On a quiet
    /// pool it does not wait for long: the rack may be gone.
    fn locality_wait(&self, pass: &Pass, job: &Job, spec: &StepSpec) -> Millis {
        let half = Millis(spec.estimate.0 * self.bounds.remote_factor.saturating_sub(1) / 2);
        match pass.quiet.contains(&self.pool_of(job)) {
            true => half.min(QUIET_LOCALITY_WAIT),
            false => half,
        }
    }
}

/// Number of tasks of a step on each worker.
fn on_workers<'a>(candidates: &[Candidate], open: impl Iterator<Item = &'a OpenRun>) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    for run in open {
        if let Ok(num) = candidates.binary_search_by(|c| c.id.cmp(&run.worker)) {
            counts[num] += 1;
        }
    }
    counts
}
