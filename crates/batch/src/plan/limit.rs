//! How many tasks of a waiting step its organisation's limit lets start, and what becomes of the rest.
//!
//! Load pattern: an organisation has all that it may have running when a job inside its guarantee
//! comes, or a gang wider than what becomes free at a time. Room under the limit is then kept for
//! them, and for urgent work other runs of the same organisation are stopped.

use std::collections::BTreeMap;

use base::Millis;
use base::OrgId;

use super::can_spare;
use super::lost_by_stopping;
use super::victims::spare_tasks;
use super::victims::victim_kind;
use super::Pass;
use super::WaitingStep;
use crate::account::Loss;
use crate::account::LossCause;
use crate::job::RunPhase;
use crate::preempt;
use crate::preempt::VictimKind;
use crate::scheduler::LogEntry;
use crate::scheduler::LogKind;
use crate::scheduler::Scheduler;
use crate::spec::Resources;
use crate::spec::StepId;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// Time that a gang waits before room under its organisation's limit is kept for it.
const CLAIM_AFTER: Millis = Millis(500);

/// Time after which it is logged that a step waits because of its organisation's limit.
const LOG_AFTER: Millis = Millis(1_000);

/// A run, or all runs of a gang, of lower priority that could be stopped.
struct Stoppable {
    kind: VictimKind,
    loss: u64,
    need: Resources,
    tasks: Vec<TaskId>,
    /// Number of tasks that may be stopped of its step; `None` if that sets no limit.
    spare: Option<usize>,
}

impl Scheduler {
    /// Number of tasks of the step that may start under its organisation's limit; `None` if it holds
    /// none of them back. Keeps room for the others and stops runs for them where that is due.
    pub(super) fn allowance(&mut self, pass: &mut Pass, at: &WaitingStep) -> Option<usize> {
        let job = self.jobs.get(&at.job)?;
        let org = job.submitted.org.as_ref()?;
        let limit = self.catalog.limit(org);
        let spec = &job.submitted.work.steps[usize::from(at.step)];
        let mut used = self.ledger.used(org);
        if !self.is_overdue(pass, at) {
            used += pass.claimed_before(org, at);
        }
        let room = limit.room(&used, &spec.need);
        if room >= u64::from(spec.count) {
            return None;
        }
        let state = &job.open.get(&at.occurrence)?.steps[usize::from(at.step)];
        let missing = state.tasks.iter().filter(|t| !t.done && t.open.is_none());
        let missing = missing.count() as u64;
        if room >= missing {
            return None;
        }
        let (org, spec) = (org.clone(), spec.clone());
        let allowed = if spec.gang { 0 } else { room };
        self.hold(pass, at, (&org, &spec), missing - allowed, used);
        Some(allowed as usize)
    }

    /// Holds tasks of a step back. `used` is what its organisation has running, with what is kept for
    /// steps before this one.
    fn hold(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        (org, spec): (&OrgId, &StepSpec),
        count: u64,
        used: Resources,
    ) {
        if pass.held.contains_key(&at.step_id()) {
            return;
        }
        pass.held.insert(at.step_id(), Resources::default());
        self.waits.entry(org.clone()).or_default().held += 1;
        let limit = self.catalog.limit(org);
        let need = spec.need.times(count);
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        let Some(step) = state.and_then(|s| s.steps.get_mut(usize::from(at.step))) else {
            return;
        };
        let waited = pass.now.since(step.ready_at.unwrap_or(pass.now));
        let fits = limit.allows(&spec.at_once());
        if waited >= LOG_AFTER && !std::mem::replace(&mut step.hold_logged, true) {
            let version = self.catalog.version;
            let claimed = pass.claims.get(org).copied().unwrap_or_default();
            let running = used.saturating_sub(&claimed);
            let hint = if fits {
                ""
            } else {
                "; it can never start under this limit"
            };
            self.log_entries.push(LogEntry {
                kind: LogKind::LimitReached,
                job: Some(at.job.clone()),
                text: format!(
                    "step {} waits: {count} tasks need {need}; {org} may have {limit} running by \
                     configuration {version} and has {running}, {claimed} is kept for others{hint}",
                    at.step
                ),
                detail: None,
            });
        }
        if !fits {
            return;
        }
        let urgent = at.rank.may_preempt() && self.is_urgent(at);
        let starved = spec.gang && waited >= CLAIM_AFTER && !at.rank.is_expired();
        if urgent || starved {
            *pass.claims.entry(org.clone()).or_default() += need;
            pass.held.insert(at.step_id(), need);
        }
        if urgent {
            let mut wanted = used;
            wanted += need;
            let short = limit.excess(&wanted);
            self.stop_own(pass, at, (org, spec), (count, short), waited);
        }
    }

    /// Keeps room under its organisation's limit for an urgent step that waits for room on workers. Other work
    /// of the organisation would take it before the workers have room, which others would take before there is
    /// room under the limit again.
    pub(super) fn claim_limit(&self, pass: &mut Pass, at: &WaitingStep) {
        if !at.rank.may_preempt() || pass.held.contains_key(&at.step_id()) || !self.is_urgent(at) {
            return;
        }
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(org) = &job.submitted.org else {
            return;
        };
        let Some(state) = job.open.get(&at.occurrence) else {
            return;
        };
        let tasks = &state.steps[usize::from(at.step)].tasks;
        let missing = tasks.iter().filter(|t| !t.done && t.open.is_none());
        let need = &job.submitted.work.steps[usize::from(at.step)].need;
        let need = need.times(missing.count() as u64);
        *pass.claims.entry(org.clone()).or_default() += need;
        pass.held.insert(at.step_id(), need);
    }

    fn is_urgent(&self, at: &WaitingStep) -> bool {
        let job = self.jobs.get(&at.job);
        job.is_some_and(|j| j.submitted.priority == 0)
    }

    /// Stops runs of lower priority of the organisation itself, so that `count` tasks of an urgent
    /// step come under its limit. `short` is what its use has to fall by.
    fn stop_own(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        (org, spec): (&OrgId, &StepSpec),
        (count, mut short): (u64, Resources),
        waited: Millis,
    ) {
        short -= self.being_stopped(org);
        if short == Resources::default() {
            return;
        }
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(state) = job.open.get(&at.occurrence) else {
            return;
        };
        let state = &state.steps[usize::from(at.step)];
        let worth = preempt::work(&spec.need, self.expected(job, at.step)) * count;
        let pressure = self.pressure(at, spec, state, waited);
        let most = pressure.max_loss(at.guaranteed, worth);
        let mut chosen: Vec<Stoppable> = Vec::new();
        let mut loss = 0;
        for run in self.stoppable(pass, org, pressure.displaces()) {
            if short == Resources::default() {
                break;
            }
            let rest = short.saturating_sub(&run.need);
            if rest == short || !can_miss(&run, &chosen) {
                continue;
            }
            short = rest;
            loss += run.loss;
            chosen.push(run);
        }
        if short != Resources::default() || loss > most {
            return;
        }
        let tasks: Vec<TaskId> = chosen.into_iter().flat_map(|c| c.tasks).collect();
        for task in &tasks {
            self.stop_run(task, Loss::new(LossCause::Limit));
        }
        // What its steps may still miss has changed.
        pass.victims = None;
        let names: Vec<String> = tasks.iter().map(TaskId::to_string).collect();
        let text = format!(
            "stopping {} runs of {org} for this urgent job, which its limit holds back: {}",
            names.len(),
            names.join(" ")
        );
        self.log(Some(&at.job), text);
    }

    /// What the runs of an organisation occupy that are being stopped.
    fn being_stopped(&self, org: &OrgId) -> Resources {
        let mut sum = Resources::default();
        for task in &self.stopping {
            let job = self.jobs.get(&task.job);
            let job = job.filter(|j| j.submitted.org.as_ref() == Some(org));
            if let Some(spec) = job.and_then(|j| j.spec(task)) {
                sum += spec.need;
            }
        }
        sum
    }

    /// Runs of an organisation that are not urgent and may be stopped, up to a kind, those with the
    /// least loss of each kind first. The members of a gang go together.
    fn stoppable(&self, pass: &Pass, org: &OrgId, last: VictimKind) -> Vec<Stoppable> {
        let mut gangs: BTreeMap<StepId, Stoppable> = BTreeMap::new();
        let mut found: Vec<Stoppable> = Vec::new();
        for task in self.workers.values().flat_map(|w| w.open.keys()) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let own = job.submitted.org.as_ref() == Some(org);
            if !own || job.submitted.priority == 0 || pass.guaranteed.contains(&task.job) {
                continue;
            }
            let (Some(spec), Some(open)) = (job.spec(task), self.open_run(task)) else {
                continue;
            };
            let running = matches!(open.phase, RunPhase::Running | RunPhase::Sent);
            let kind = victim_kind(job, spec);
            if !running || kind > last || spec.is_limited() && !can_spare(job, task) {
                continue;
            }
            let loss = preempt::work(&spec.need, lost_by_stopping(spec, open, pass.now));
            let run = Stoppable {
                kind,
                loss,
                need: spec.need,
                tasks: vec![task.clone()],
                spare: spec.is_limited().then(|| spare_tasks(job, task)),
            };
            if !spec.gang {
                found.push(run);
                continue;
            }
            match gangs.get_mut(&task.step_id()) {
                Some(gang) => {
                    gang.loss += run.loss;
                    gang.need += run.need;
                    gang.tasks.extend(run.tasks);
                }
                None => drop(gangs.insert(task.step_id(), run)),
            }
        }
        found.extend(gangs.into_values());
        found.sort_by(|a, b| (a.kind, a.loss, &a.tasks).cmp(&(b.kind, b.loss, &b.tasks)));
        found
    }
}

/// Whether the step of a run may miss it as well as those that are chosen already.
fn can_miss(run: &Stoppable, chosen: &[Stoppable]) -> bool {
    let (Some(spare), Some(first)) = (run.spare, run.tasks.first()) else {
        return true;
    };
    let same = chosen.iter().flat_map(|c| &c.tasks);
    let missed = same
        .filter(|task| task.step_id() == first.step_id())
        .count();
    missed + run.tasks.len() <= spare
}
