//! The planning pass over all waiting steps: which tasks start on which workers, and what is
//! preempted for them.

use base::JobId;
use base::Millis;
use base::WorkerId;

use crate::account::Stage;
use crate::headroom::is_quiet;
use crate::job::OpenRun;
use crate::rank::Rank;
use crate::scheduler::Scheduler;
use crate::scheduler::StartRequest;
use crate::spec::RunNumber;
use crate::spec::StepId;
use crate::spec::TaskId;

mod attempt;
mod candidates;
mod headroom;
mod isolate;
mod limit;
mod make_room;
mod obstacle;
mod pass;
mod placement;
mod prefetch;
mod queue;
mod share;
mod victims;

use attempt::Attempt;
use make_room::Outlook;
use pass::Pass;
use share::Shares;

pub(crate) use headroom::ROOM_FACTOR;
pub(crate) use isolate::ISOLATION_WAIT;
pub use obstacle::Obstacle;
pub use obstacle::Withheld;

pub(crate) use victims::can_spare;
pub(crate) use victims::lost_by_stopping;

/// A step with tasks that could start.
struct WaitingStep {
    job: JobId,
    occurrence: u32,
    step: u16,
    rank: Rank,
    guaranteed: bool,
    /// Time since the job was accepted, or since the occurrence was due.
    age: Millis,
}

impl WaitingStep {
    fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Plans starts and stops. The start requests are sent once they are recorded.
    pub fn plan(&mut self, now: Millis, wall: Millis) {
        self.planned_at = Some(now);
        let live = &self.live;
        self.advice.begin_pass(|job| live.contains(job));
        self.waits.clear();
        let guaranteed = self.guaranteed();
        self.settle_rates();
        self.repeat_starts(now);
        let (mut waiting, wanted) = self.waiting_steps(&guaranteed, now, wall);
        let upcoming = self.upcoming_steps(now);
        if waiting.is_empty() && upcoming.is_empty() {
            return;
        }
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.job.cmp(&b.job)));
        let mut candidates = self.candidates(now);
        self.keep_headroom(&mut candidates, now);
        let mut pass = Pass::new(candidates, guaranteed, now);
        pass.quiet.extend(self.pools_with(is_quiet, now));
        pass.isolated = self.isolated_workers(&pass);
        let shares = self.shares(&pass, &wanted);
        self.plan_steps(&mut pass, waiting, shares.as_ref());
        for (step, rule) in upcoming {
            self.request_ahead(&pass, &step, rule);
        }
    }

    /// Plans the steps in their order. Among those of the same class, what goes beyond the share of its
    /// organisation comes after the others.
    fn plan_steps(&mut self, pass: &mut Pass, waiting: Vec<WaitingStep>, shares: Option<&Shares>) {
        let mut deferred: Vec<WaitingStep> = Vec::new();
        for at in waiting {
            if deferred.first().is_some_and(|d| !d.rank.is_level(&at.rank)) {
                self.plan_deferred(pass, std::mem::take(&mut deferred));
            }
            let left = shares.and_then(|shares| self.share_left(shares, &at));
            let more = match left {
                Some(0) => true,
                Some(left) => self.plan_step(pass, &at, true, left),
                None => self.plan_step(pass, &at, true, usize::MAX),
            };
            if more {
                deferred.push(at);
            }
        }
        self.plan_deferred(pass, deferred);
    }

    fn plan_deferred(&mut self, pass: &mut Pass, steps: Vec<WaitingStep>) {
        pass.beyond_shares = true;
        for step in steps {
            self.plan_step(pass, &step, true, usize::MAX);
        }
        pass.beyond_shares = false;
    }

    /// Places the tasks of a step or makes room for them. Racks that the step asks for are kept to if
    /// `keep_racks` is set. At most `most` of the tasks start; returns whether only that kept the
    /// others from it.
    fn plan_step(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        keep_racks: bool,
        most: usize,
    ) -> bool {
        if self.accused.contains(&at.job) {
            self.note_wait(at, Stage::Proof);
            return false;
        }
        if self.finds_no_room(pass, at) {
            self.note_covered(pass, at);
            self.note_crowded(pass, at);
            self.claim_limit(pass, at);
            return false;
        }
        let allowed = self.allowance(pass, at);
        if allowed == Some(0) {
            self.note_wait(at, Stage::Limit);
            return false;
        }
        let Some(mut attempt) = self.attempt(pass, at, keep_racks) else {
            return false;
        };
        let all = attempt.missing.len();
        let allowed = allowed.unwrap_or(all);
        attempt.missing.truncate(allowed.min(most));
        let placed = self.place_step(pass, at, &mut attempt);
        if placed.unplaced == 0 {
            if allowed.min(most) >= all {
                self.clear_waiting(at);
            }
            return most < allowed;
        }
        self.note_withheld(pass, at, &attempt);
        self.note_crowded(pass, at);
        if placed.is_held {
            self.note_wait(at, Stage::Proof);
            return false;
        }
        match self.make_room(pass, at, &attempt, placed) {
            Outlook::LeavesRacks => return self.plan_step(pass, at, false, most),
            Outlook::Frees => self.note_wait(at, Stage::Grace),
            Outlook::Waits if attempt.careful => self.note_wait(at, Stage::Proof),
            Outlook::Waits => self.note_wait(at, Stage::Room),
        }
        self.claim_limit(pass, at);
        false
    }

    /// Clears the waiting time of a step whose tasks are all placed. Once they have started it is counted
    /// from zero again, but not if no start is accepted.
    fn clear_waiting(&mut self, at: &WaitingStep) {
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        if let Some(state) = state {
            let step = &mut state.steps[usize::from(at.step)];
            step.unstarted_since = step.ready_at.take();
            step.waits_for = None;
            step.withheld = Withheld::default();
        }
    }

    /// Notes what a step waits for.
    fn note_wait(&mut self, at: &WaitingStep, stage: Stage) {
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        if let Some(state) = state {
            state.steps[usize::from(at.step)].waits_for = Some(stage);
        }
    }

    /// Notes that a step found no room, or that what others got before it left none.
    fn note_crowded(&mut self, pass: &Pass, at: &WaitingStep) {
        let job = self.jobs.get(&at.job);
        let Some(org) = job.and_then(|j| j.submitted.org.clone()) else {
            return;
        };
        let waits = self.waits.entry(org).or_default();
        match pass.beyond_shares {
            true => waits.deferred += 1,
            false => waits.crowded += 1,
        }
    }

    fn last_run(&self, at: &WaitingStep, index: u16) -> RunNumber {
        let state = self
            .jobs
            .get(&at.job)
            .and_then(|j| j.open.get(&at.occurrence));
        let task = state.and_then(|o| o.steps[usize::from(at.step)].tasks.get(usize::from(index)));
        task.map(|t| t.run).unwrap_or_default()
    }

    fn start(&mut self, at: &WaitingStep, index: u16, run: RunNumber, id: &WorkerId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let task = TaskId {
            job: at.job.clone(),
            occurrence: at.occurrence,
            step: at.step,
            index,
        };
        let Some(step) = job.spec(&task).cloned() else {
            return;
        };
        let spec = job.submitted.work.spec.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        state.run = run;
        state.held_since = None;
        state.open = Some(Box::new(OpenRun {
            restored: !state.saved.is_empty(),
            ..OpenRun::planned(run, id.clone(), worker.born, now)
        }));
        worker.add_run(task.clone(), run, &step);
        self.planned.push(StartRequest {
            saved: state.saved.clone(),
            ticket: self.advice.ticket(&task.step_id(), id),
            run,
            worker: id.clone(),
            born: worker.born,
            address: worker.entry.address,
            spec,
            deadline: 0,
            fence: worker.fence,
            planned_at: now,
            task: task.clone(),
        });
        self.count_run(&task);
        self.dirty.insert(at.job.clone());
    }
}
