//! Random operations on the simulated site, and minimisation of a failing sequence.

use base::JobId;
use base::Millis;
use base::WorkerId;
use gang::Ended;
use gang::Input;
use gang::Planner;

use super::policy;
use super::shape;
use super::submit;
use super::SimJob;
use super::World;
use super::MAX_JOBS;

/// One operation: its kind, and two numbers that select what it acts on. Every operation is
/// valid in every state, so that minimisation can leave out any of them.
#[derive(Clone, Copy, Debug)]
pub struct Op(pub u32, pub u32, pub u32);

impl World {
    /// Carries out an operation and returns the first failure found so far, if any.
    pub fn run(&mut self, op: Op) -> Option<String> {
        let Op(kind, a, b) = op;
        self.now += Millis(u64::from(b % 4096));
        match kind % 64 {
            0..=19 => self.submit(a, b),
            20..=29 => self.confirm(a),
            30..=39 => self.finish(a, Ended::Finished),
            40..=42 => self.fail_job(a, b),
            43..=49 => self.end_stopping(a),
            50 => self.abort(a, b),
            51 => self.cancel(a, b),
            52 => self.worker_down(a, false),
            53 => self.worker_down(a, true),
            55 if a % 4 == 0 => self.resize_worker(a / 4, b),
            54 | 55 => self.worker_up(a),
            56 => self.toggle_domain(a),
            57 | 58 => self.tick(b),
            59 => self.progress(a, b),
            60 => self.check_guarantees(),
            61 if a % 8 == 0 => self.change_policy(b),
            62 if a % 4 == 0 => self.fail_over(b),
            63 => self.stale_report(a),
            _ => self.set_starts_allowed(a),
        }
        self.failure.clone()
    }

    fn pick(&self, n: u32, keep: impl Fn(&SimJob) -> bool) -> Option<JobId> {
        let list: Vec<&JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| keep(j))
            .map(|(id, _)| id)
            .collect();
        let i = n as usize % list.len().max(1);
        list.get(i).map(|id| (*id).clone())
    }

    fn submit(&mut self, a: u32, b: u32) {
        if self.jobs.len() >= MAX_JOBS {
            return;
        }
        self.submitted += 1;
        let id: JobId = format!("j{}", self.submitted).parse().unwrap();
        let spec = self.spec(id.clone(), shape(a), b);
        let sim_job = SimJob {
            spec: spec.clone(),
            attempt: base::Attempt(1),
            saved: Millis::ZERO,
            plan: None,
            since: Millis::ZERO,
            running: false,
            stopping: false,
            run_count: 0,
        };
        self.jobs.insert(id, sim_job);
        self.step(submit(spec, self.now));
    }

    fn confirm(&mut self, a: u32) {
        let job = self.pick(a, |j| j.plan.is_some() && !j.running && !j.stopping);
        let Some(job) = job else { return };
        if let Some(sim_job) = self.jobs.get_mut(&job) {
            sim_job.running = true;
            sim_job.run_count += 1;
        }
        self.step(Input::Running { job });
    }

    fn finish(&mut self, a: u32, how: Ended) {
        let Some(job) = self.pick(a, |j| j.running) else {
            return;
        };
        self.jobs.remove(&job);
        self.step(Input::Ended { job, how });
    }

    fn fail_job(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |j| j.running) else {
            return;
        };
        let Some(worker) = self.detach(&job, b) else {
            return;
        };
        let how = Ended::Failed { worker };
        self.step(Input::Ended { job, how });
    }

    /// Ends a job's attempt and returns one of its workers.
    fn detach(&mut self, job: &JobId, n: u32) -> Option<WorkerId> {
        let sim_job = self.jobs.get_mut(job)?;
        let plan = sim_job.plan.take()?;
        sim_job.running = false;
        sim_job.stopping = false;
        sim_job.attempt = sim_job.attempt.next();
        let place = &plan.places[n as usize % plan.places.len()];
        Some(place.worker.clone())
    }

    fn end_stopping(&mut self, a: u32) {
        let Some(job) = self.pick(a, |j| j.stopping) else {
            return;
        };
        let was_running = self.jobs.get(&job).is_some_and(|j| j.running);
        let saved = self.jobs.get(&job).map_or(Millis::ZERO, |j| j.saved);
        self.detach(&job, 0);
        let input = match (was_running, a % 3) {
            (false, _) => Input::Aborted { job, blame: None },
            (true, 0) => Input::Ended {
                job,
                how: Ended::Unknown,
            },
            (true, _) => Input::Ended {
                job,
                how: Ended::Stopped { saved },
            },
        };
        self.step(input);
    }

    fn abort(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |j| j.plan.is_some() && !j.running) else {
            return;
        };
        let blame = self.detach(&job, b);
        self.step(Input::Aborted { job, blame });
    }

    fn cancel(&mut self, a: u32, b: u32) {
        let count = 1 + b as usize % 6;
        let all = self.jobs.keys().skip(a as usize % self.jobs.len().max(1));
        let cancelled: Vec<JobId> = all.take(count).cloned().collect();
        self.step(Input::Cancel(cancelled));
    }

    fn worker_down(&mut self, a: u32, leaving: bool) {
        let i = a as usize % self.workers.len();
        self.workers[i].1 = false;
        let id = self.workers[i].0.id.clone();
        self.step(match leaving {
            true => Input::WorkerLeaving(id),
            false => Input::WorkerDown(id),
        });
    }

    fn worker_up(&mut self, a: u32) {
        let down: Vec<usize> = (0..self.workers.len())
            .filter(|&i| !self.workers[i].1)
            .collect();
        let Some(&i) = down.get(a as usize % down.len().max(1)) else {
            return;
        };
        self.workers[i].1 = true;
        let spec = self.workers[i].0.clone();
        self.step(Input::WorkerUp(spec));
    }

    /// Changes the capacity of a worker that is up.
    fn resize_worker(&mut self, a: u32, b: u32) {
        let count = self.workers.len();
        let Some((spec, true)) = self.workers.get_mut(a as usize % count.max(1)) else {
            return;
        };
        spec.accels = base::Accels(b % 9);
        let spec = spec.clone();
        self.step(Input::WorkerUp(spec));
    }

    fn toggle_domain(&mut self, a: u32) {
        let id: base::DomainId = format!("d{}", a % 2).parse().unwrap();
        let input = if self.out.remove(&id) {
            Input::DomainBack(id)
        } else {
            self.out.insert(id.clone());
            Input::DomainOut(id)
        };
        self.step(input);
    }

    fn tick(&mut self, b: u32) {
        self.now += Millis::from_secs(u64::from(b % 64));
        self.step(Input::Tick);
    }

    fn progress(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |j| j.running && j.spec.checkpoint) else {
            return;
        };
        let Some(sim_job) = self.jobs.get_mut(&job) else {
            return;
        };
        sim_job.saved += Millis(u64::from(b % 60_000));
        let saved = sim_job.saved;
        self.step(Input::Progress { job, saved });
    }

    fn change_policy(&mut self, b: u32) {
        self.policy = policy(b);
        self.step(Input::Policy(self.policy.clone()));
    }

    fn set_starts_allowed(&mut self, a: u32) {
        self.starts_allowed = a % 4 != 0;
        self.step(Input::AllowStarts(self.starts_allowed));
    }

    /// Reports on a job that is not active, as a delayed message would.
    fn stale_report(&mut self, a: u32) {
        let Some(job) = self.pick(a, |j| j.plan.is_none()) else {
            return;
        };
        let input = match a % 3 {
            0 => Input::Ended {
                job,
                how: Ended::Finished,
            },
            1 => Input::Aborted { job, blame: None },
            _ => Input::Running { job },
        };
        self.step(input);
    }

    /// Replaces the planner as after a coordinator failure: active jobs are adopted and waiting
    /// jobs submitted again.
    fn fail_over(&mut self, b: u32) {
        self.planner = Planner::new(self.policy.clone());
        for (spec, up) in self.workers.clone() {
            let id = spec.id.clone();
            self.step_unchecked(Input::WorkerUp(spec));
            if !up {
                self.step_unchecked(Input::WorkerDown(id));
            }
        }
        for id in self.out.clone() {
            self.step_unchecked(Input::DomainOut(id));
        }
        let jobs: Vec<SimJob> = self.jobs.values().cloned().collect();
        for sim_job in jobs {
            self.restore(sim_job, b);
        }
        self.starts_allowed = true;
        self.step(Input::AllowStarts(true));
    }

    fn restore(&mut self, sim_job: SimJob, b: u32) {
        let id = sim_job.spec.id.clone();
        let Some(plan) = sim_job.plan else {
            return self.step_unchecked(Input::Submit {
                spec: sim_job.spec,
                at: self.now,
                attempt: sim_job.attempt,
                saved: sim_job.saved,
            });
        };
        if let Some(sim_job) = self.jobs.get_mut(&id) {
            sim_job.stopping = false;
            sim_job.run_count += u32::from(!sim_job.running);
            sim_job.running = true;
        }
        self.step_unchecked(Input::Adopt {
            spec: sim_job.spec,
            plan,
            since: Millis(sim_job.since.0 + u64::from(b % 2)),
            saved: sim_job.saved,
        });
    }

    /// Passes an input without checks, while the new planner does not know all jobs yet.
    fn step_unchecked(&mut self, input: Input) {
        for action in self.planner.step(self.now, input) {
            self.apply(action);
        }
    }
}

/// Shortens a failing sequence of operations: leaves out chunks of decreasing size as long as
/// it still fails.
pub fn minimise(ops: &[Op]) -> Vec<Op> {
    let mut list = ops.to_vec();
    let mut chunk = list.len().div_ceil(2);
    while chunk > 0 {
        let mut at = 0;
        while at < list.len() {
            let mut shorter = list.clone();
            shorter.drain(at..(at + chunk).min(list.len()));
            if fails(&shorter) {
                list = shorter;
            } else {
                at += chunk;
            }
        }
        chunk /= 2;
    }
    list
}

fn fails(ops: &[Op]) -> bool {
    let mut world = World::new();
    ops.iter().any(|&op| world.run(op).is_some())
}
