//! Random operations on the world, and the reduction of a failing list of them.

use base::JobId;
use base::Millis;
use base::WorkerId;
use gang::Ended;
use gang::Input;
use gang::Planner;

use super::policy;
use super::shape;
use super::submit;
use super::Live;
use super::World;
use super::MAX_JOBS;

/// One operation: its kind and two numbers that pick what it acts on. It has a meaning in
/// every state, so that operations before it can be left out.
#[derive(Clone, Copy, Debug)]
pub struct Op(pub u32, pub u32, pub u32);

impl World {
    /// Carries out an operation; the fault that shows, if any.
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
            54 | 55 => self.worker_up(a),
            56 => self.domain(a),
            57 | 58 => self.tick(b),
            59 => self.progress(a, b),
            60 => self.claim_all(),
            61 if a % 8 == 0 => self.change_policy(b),
            62 if a % 4 == 0 => self.take_over(b),
            63 => self.late(a),
            _ => self.permit(a),
        }
        self.fault.clone()
    }

    fn pick(&self, n: u32, keep: impl Fn(&Live) -> bool) -> Option<JobId> {
        let list: Vec<&JobId> = self
            .jobs
            .iter()
            .filter(|(_, l)| keep(l))
            .map(|(id, _)| id)
            .collect();
        let i = n as usize % list.len().max(1);
        list.get(i).map(|id| (*id).clone())
    }

    fn submit(&mut self, a: u32, b: u32) {
        if self.jobs.len() >= MAX_JOBS {
            return;
        }
        self.made += 1;
        let id: JobId = format!("j{}", self.made).parse().unwrap();
        let spec = self.spec(id.clone(), shape(a), b);
        let live = Live {
            spec: spec.clone(),
            attempt: base::Attempt(1),
            saved: Millis::ZERO,
            plan: None,
            since: Millis::ZERO,
            running: false,
            stopping: false,
            ran: 0,
        };
        self.jobs.insert(id, live);
        self.feed(submit(spec, self.now));
    }

    fn confirm(&mut self, a: u32) {
        let job = self.pick(a, |l| l.plan.is_some() && !l.running && !l.stopping);
        let Some(job) = job else { return };
        if let Some(live) = self.jobs.get_mut(&job) {
            live.running = true;
            live.ran += 1;
        }
        self.feed(Input::Running { job });
    }

    fn finish(&mut self, a: u32, how: Ended) {
        let Some(job) = self.pick(a, |l| l.running) else {
            return;
        };
        self.jobs.remove(&job);
        self.feed(Input::Ended { job, how });
    }

    fn fail_job(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |l| l.running) else {
            return;
        };
        let Some(worker) = self.end(&job, b) else {
            return;
        };
        let how = Ended::Failed { worker };
        self.feed(Input::Ended { job, how });
    }

    /// Takes a job off its workers; one of them.
    fn end(&mut self, job: &JobId, n: u32) -> Option<WorkerId> {
        let live = self.jobs.get_mut(job)?;
        let plan = live.plan.take()?;
        live.running = false;
        live.stopping = false;
        live.attempt = live.attempt.next();
        let place = &plan.places[n as usize % plan.places.len()];
        Some(place.worker.clone())
    }

    fn end_stopping(&mut self, a: u32) {
        let Some(job) = self.pick(a, |l| l.stopping) else {
            return;
        };
        let ran = self.jobs.get(&job).is_some_and(|l| l.running);
        let saved = self.jobs.get(&job).map_or(Millis::ZERO, |l| l.saved);
        self.end(&job, 0);
        let input = match (ran, a % 3) {
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
        self.feed(input);
    }

    fn abort(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |l| l.plan.is_some() && !l.running) else {
            return;
        };
        let blame = self.end(&job, b);
        self.feed(Input::Aborted { job, blame });
    }

    fn cancel(&mut self, a: u32, b: u32) {
        let count = 1 + b as usize % 6;
        let all = self.jobs.keys().skip(a as usize % self.jobs.len().max(1));
        let wave: Vec<JobId> = all.take(count).cloned().collect();
        self.feed(Input::Cancel(wave));
    }

    fn worker_down(&mut self, a: u32, leaving: bool) {
        let i = a as usize % self.workers.len();
        self.workers[i].1 = false;
        let id = self.workers[i].0.id.clone();
        self.feed(match leaving {
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
        self.feed(Input::WorkerUp(spec));
    }

    fn domain(&mut self, a: u32) {
        let id: base::DomainId = format!("d{}", a % 2).parse().unwrap();
        let input = if self.out.remove(&id) {
            Input::DomainBack(id)
        } else {
            self.out.insert(id.clone());
            Input::DomainOut(id)
        };
        self.feed(input);
    }

    fn tick(&mut self, b: u32) {
        self.now += Millis::from_secs(u64::from(b % 64));
        self.feed(Input::Tick);
    }

    fn progress(&mut self, a: u32, b: u32) {
        let Some(job) = self.pick(a, |l| l.running && l.spec.checkpoint) else {
            return;
        };
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        live.saved += Millis(u64::from(b % 60_000));
        let saved = live.saved;
        self.feed(Input::Progress { job, saved });
    }

    fn change_policy(&mut self, b: u32) {
        self.policy = policy(b);
        self.feed(Input::Policy(self.policy.clone()));
    }

    fn permit(&mut self, a: u32) {
        self.permit = a % 4 != 0;
        self.feed(Input::Permit(self.permit));
    }

    /// Reports of jobs that do not run, or not any more.
    fn late(&mut self, a: u32) {
        let Some(job) = self.pick(a, |l| l.plan.is_none()) else {
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
        self.feed(input);
    }

    /// A new planner reads back what runs, and is given the waiting jobs again.
    fn take_over(&mut self, b: u32) {
        self.planner = Planner::new(self.policy.clone());
        for (spec, up) in self.workers.clone() {
            let id = spec.id.clone();
            self.feed_quietly(Input::WorkerUp(spec));
            if !up {
                self.feed_quietly(Input::WorkerDown(id));
            }
        }
        for id in self.out.clone() {
            self.feed_quietly(Input::DomainOut(id));
        }
        let jobs: Vec<Live> = self.jobs.values().cloned().collect();
        for live in jobs {
            self.restore(live, b);
        }
        self.permit = true;
        self.feed(Input::Permit(true));
    }

    fn restore(&mut self, live: Live, b: u32) {
        let id = live.spec.id.clone();
        let Some(plan) = live.plan else {
            return self.feed_quietly(Input::Submit {
                spec: live.spec,
                at: self.now,
                attempt: live.attempt,
                saved: live.saved,
            });
        };
        if let Some(live) = self.jobs.get_mut(&id) {
            live.stopping = false;
            live.ran += u32::from(!live.running);
            live.running = true;
        }
        self.feed_quietly(Input::Adopt {
            spec: live.spec,
            plan,
            since: Millis(live.since.0 + u64::from(b % 2)),
            saved: live.saved,
        });
    }

    /// Gives an input while not all jobs are known to the planner yet.
    fn feed_quietly(&mut self, input: Input) {
        for action in self.planner.step(self.now, input) {
            self.act(action);
        }
    }
}

/// A shorter list of operations that fails as well: leaves out ever smaller parts.
pub fn shrink(ops: &[Op]) -> Vec<Op> {
    let mut list = ops.to_vec();
    let mut part = list.len().div_ceil(2);
    while part > 0 {
        let mut at = 0;
        while at < list.len() {
            let mut shorter = list.clone();
            shorter.drain(at..(at + part).min(list.len()));
            if fails(&shorter) {
                list = shorter;
            } else {
                at += part;
            }
        }
        part /= 2;
    }
    list
}

fn fails(ops: &[Op]) -> bool {
    let mut world = World::new();
    ops.iter().any(|&op| world.run(op).is_some())
}
