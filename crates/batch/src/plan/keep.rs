//! Room kept for urgent steps in a pass: that which stops have made, and that which is expected to
//! become free in time.

use base::Millis;
use base::WorkerId;

use super::attempt::Attempt;
use super::victims::Pressure;
use super::victims::TURNAROUND;
use super::Pass;
use super::WaitingStep;
use crate::job::Job;
use crate::place::Limits;
use crate::reserve;
use crate::scheduler::Scheduler;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::stop::decide;
use crate::stop::kept;
use crate::stop::kept::Held;
use crate::stop::kept::Kept;
use crate::stop::Decision;
use crate::stop::Need;

impl WaitingStep {
    fn owns(&self, kept: &Kept) -> bool {
        kept.job == self.job && kept.occurrence == self.occurrence && kept.step == self.step
    }
}

impl Scheduler {
    /// Takes the kept room from the candidates, so that no other step uses it. Room is no longer kept
    /// if it is not there, its step does not wait, or the stops have not taken effect in time.
    pub(super) fn hold_kept(&mut self, pass: &mut Pass, waiting: &[WaitingStep]) {
        for kept in std::mem::take(&mut self.kept) {
            if kept.until <= pass.now || !waiting.iter().any(|at| at.owns(&kept)) {
                continue;
            }
            let held = pass.hold(&kept);
            pass.held.push(held);
            self.kept.push(kept);
        }
    }

    /// Gives a step the room that is kept for it. Returns whether there is any.
    pub(super) fn give_back(&mut self, pass: &mut Pass, at: &WaitingStep) -> bool {
        let Some(num) = self.kept.iter().position(|kept| at.owns(kept)) else {
            return false;
        };
        let held = std::mem::take(&mut pass.held[num]);
        pass.give_back(&held);
        true
    }

    /// Gives back all room that is kept for steps that no guarantee covers. Returns whether there
    /// was any.
    pub(super) fn drop_unguaranteed(&mut self, pass: &mut Pass) -> bool {
        let before = self.kept.len();
        for num in (0..self.kept.len()).rev() {
            if !self.kept[num].guaranteed {
                self.kept.remove(num);
                let held = pass.held.remove(num);
                pass.give_back(&held);
                pass.failures.clear();
            }
        }
        self.kept.len() < before
    }

    /// Drops the room kept for a step, because the step has started or other room is made for it.
    pub(super) fn drop_kept(&mut self, pass: &mut Pass, at: &WaitingStep) {
        if let Some(num) = self.kept.iter().position(|kept| at.owns(kept)) {
            self.kept.remove(num);
            pass.held.remove(num);
        }
    }

    /// Goes on keeping room for a step that still waits. Returns whether all of it is there.
    pub(super) fn hold_again(&mut self, pass: &mut Pass, at: &WaitingStep) -> bool {
        let Some(num) = self.kept.iter().position(|kept| at.owns(kept)) else {
            return false;
        };
        let kept = &mut self.kept[num];
        if !kept.gang {
            // What is free has been tried already.
            kept.workers.retain(|id| !pass.has_free(id, &kept.need));
        }
        pass.held[num] = pass.hold(&self.kept[num]);
        pass.held[num].len() == self.kept[num].workers.len()
    }

    /// Keeps room on these workers for a step from now on, until the stops must have taken effect.
    pub(super) fn keep(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        spec: &StepSpec,
        workers: &[usize],
    ) {
        let kept = Kept {
            job: at.job.clone(),
            occurrence: at.occurrence,
            step: at.step,
            guaranteed: at.guaranteed,
            gang: spec.gang,
            workers: workers
                .iter()
                .map(|&num| pass.candidates[num].id.clone())
                .collect(),
            need: spec.occupies(),
            until: pass.now + self.bounds.stop_grace + TURNAROUND,
        };
        let held = pass.hold(&kept);
        pass.held.push(held);
        self.kept.push(kept);
    }

    /// Expected time until the tasks of a step can start without a stop, and the workers of that.
    pub(super) fn earliest(
        &self,
        pass: &mut Pass,
        among: &[usize],
        (spec, limits): (&StepSpec, &Limits),
        count: usize,
    ) -> Option<(Millis, Vec<usize>)> {
        self.know_running(pass);
        reserve::earliest(among, &pass.candidates, spec, limits, count)
    }

    /// Adds the remaining times of the runs to the candidates, once a pass.
    pub(super) fn know_running(&self, pass: &mut Pass) {
        if !std::mem::replace(&mut pass.knows_running, true) {
            self.add_running(&mut pass.candidates, pass.now);
        }
    }

    /// Whether runs are stopped for an urgent step that found no room. If it is expected to start
    /// in time without, the room of that is kept.
    pub(super) fn need_of_stop(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        attempt: &Attempt,
        among: &[usize],
        limits: &Limits,
    ) -> Decision {
        let mut need = Need {
            pressing: attempt.pressure != Pressure::None,
            slack: self.slack(at),
            earliest: None,
        };
        if need.pressing {
            return Decision::Stop;
        }
        let found = self.earliest(pass, among, (&attempt.spec, limits), attempt.missing.len());
        let (earliest, workers) = found.unzip();
        need.earliest = earliest;
        let decision = decide(&need);
        match decision {
            Decision::Keep => {
                self.stop_totals.spared += 1;
                self.keep_free(pass, attempt, &workers.unwrap_or_default());
            }
            Decision::Late => self.stop_totals.late += 1,
            Decision::Stop => {}
        }
        decision
    }

    /// Keeps what is free on these workers for a step in this pass.
    pub(super) fn keep_free(&self, pass: &mut Pass, attempt: &Attempt, workers: &[usize]) {
        for &num in workers {
            pass.candidates[num].free -= attempt.spec.occupies();
            pass.free[num] = pass.candidates[num].free;
        }
    }

    /// What the stops for a step have cost so far, in core-milliseconds.
    pub(super) fn spent(&self, at: &WaitingStep) -> u64 {
        let job = self.jobs.get(&at.job);
        let state = job.and_then(|j| j.open.get(&at.occurrence));
        let step = state.and_then(|s| s.steps.get(usize::from(at.step)));
        step.map_or(0, |s| s.spent)
    }

    /// Adds the price of stops for a step.
    pub(super) fn add_spent(&mut self, at: &WaitingStep, price: u64) {
        let job = self.jobs.get_mut(&at.job);
        let state = job.and_then(|j| j.open.get_mut(&at.occurrence));
        if let Some(step) = state.and_then(|s| s.steps.get_mut(usize::from(at.step))) {
            step.spent = step.spent.saturating_add(price);
        }
    }

    /// Time left until a step must start to meet its job's objective; `None` if it has passed.
    pub(super) fn slack(&self, at: &WaitingStep) -> Option<Millis> {
        let job = self.jobs.get(&at.job)?;
        let end = at.age + self.path_left(job, at.occurrence);
        (end <= job.submitted.objective).then(|| job.submitted.objective.since(end))
    }

    /// Expected time from now to the end of an occurrence of a job, if its waiting steps start now.
    pub(super) fn path_left(&self, job: &Job, occurrence: u32) -> Millis {
        let Some(state) = job.open.get(&occurrence) else {
            return Millis::ZERO;
        };
        let work = &job.submitted.work;
        let left = work.remaining_path(|step| state.steps[step].is_done());
        let percent = self.ratios.get(&job.submitted.queue).copied();
        Millis(left.0 * u64::from(percent.unwrap_or(100)) / 100)
    }
}

impl Pass {
    /// Notes that victims are being stopped.
    pub(super) fn release(&mut self, victims: &[usize]) {
        let Some((index, _)) = &self.victims else {
            return;
        };
        for &victim in victims {
            let (workers, need) = index.room(victim);
            for &num in workers {
                self.candidates[num].releasing += need;
            }
        }
    }

    fn has_free(&self, worker: &WorkerId, need: &Resources) -> bool {
        let found = self.candidates.binary_search_by(|c| c.id.cmp(worker));
        found.is_ok_and(|num| self.candidates[num].free.fits(need))
    }

    fn hold(&mut self, kept: &Kept) -> Vec<Held> {
        let held = kept::hold(kept, &mut self.candidates);
        self.refresh(&held);
        held
    }

    fn give_back(&mut self, held: &[Held]) {
        kept::give_back(held, &mut self.candidates);
        self.refresh(held);
    }

    fn refresh(&mut self, held: &[Held]) {
        for part in held {
            self.free[part.num] = self.candidates[part.num].free;
        }
    }
}
