//! Random jobs of the kinds of a traffic.

use base::Millis;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use platform_fakes::POISON;
use rand::RngExt;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use rand_pcg::Pcg64;

use super::Amount;
use super::Kind;
use super::Traffic;

/// Label that all workers have.
const LABEL: &str = "a";

/// Most tasks of a step on one worker, where it is limited.
const PER_WORKER: u32 = 1;

/// Shortest working time.
const MIN_WORK: Millis = Millis(100);

/// A job to submit.
pub struct Job {
    /// Numbers of its kind and its organisation.
    pub kind: usize,
    pub org: usize,
    pub submission: Submission,
    /// Working times by step and task.
    pub work: Vec<Vec<Millis>>,
    pub cancelled: bool,
}

impl Amount {
    fn draw(&self, rng: &mut Pcg64) -> f64 {
        let drawn = match LogNormal::from_mean_cv(self.mean, self.spread) {
            Ok(distribution) if self.spread > 0.0 => distribution.sample(rng),
            _ => self.mean,
        };
        drawn.min(self.max)
    }
}

/// Picks an entry with a chance that is proportional to its weight.
fn pick(rng: &mut Pcg64, weights: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..1.0) * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    found.unwrap_or(0)
}

/// A factor between 1 less this and 1 more this.
fn around(rng: &mut Pcg64, by: f64) -> f64 {
    1.0 + by * rng.random_range(-1.0..1.0)
}

impl Traffic {
    /// A random job of this kind, of which this share has runs that all fail.
    fn job(&self, rng: &mut Pcg64, (num, failing): (usize, f64)) -> Job {
        let shares: Vec<f64> = self.organisations.iter().map(|o| o.share).collect();
        let org = pick(rng, &shares);
        let kind = &self.kinds[num];
        let steps = kind.steps.draw(rng);
        let more = rng.random_bool(steps.fract());
        let count = (steps as usize + usize::from(more)).max(1);
        let accels = kind.accels[rng.random_range(0..kind.accels.len())];
        let gang = rng.random_bool(kind.gangs);
        let (mut specs, mut work) = (Vec::new(), Vec::new());
        for step in 0..count {
            let (spec, times) = self.step(rng, kind, (accels, gang));
            specs.push(StepSpec {
                after: step.checked_sub(1).map(|s| s as u16).into_iter().collect(),
                ..spec
            });
            work.push(times);
        }
        let text = match rng.random_bool(failing) {
            true => POISON,
            false => "work",
        };
        Job {
            kind: num,
            org,
            submission: Submission {
                spec: format!("{text} {}", rng.random_range(0..1_000)),
                steps: specs,
                schedule: None,
            },
            work,
            cancelled: rng.random_bool(kind.cancelled),
        }
    }

    /// A step, and the working times of its tasks.
    fn step(
        &self,
        rng: &mut Pcg64,
        kind: &Kind,
        (accels, gang): (u64, bool),
    ) -> (StepSpec, Vec<Millis>) {
        let width = (kind.width.draw(rng).round() as u32).max(1);
        let mean = kind.work.draw(rng);
        let times = (0..width).map(|_| {
            // The tasks of a gang end together.
            let uneven = if gang { 0.0 } else { kind.uneven };
            Millis((mean * around(rng, uneven)) as u64).max(MIN_WORK)
        });
        let times = times.collect();
        let estimate = Millis((mean * around(rng, kind.estimate_error)) as u64).max(MIN_WORK);
        let rack = rng.random_range(0..self.workers.count);
        let spec = StepSpec {
            count: width,
            need: Resources {
                cpu: kind.cpu,
                memory: kind.memory,
                accels,
            },
            estimate,
            checkpoints: rng.random_bool(kind.checkpointing),
            gang: gang && width > 1,
            one_rack: gang && width > 1 && rng.random_bool(kind.same_rack),
            label: rng.random_bool(kind.labels).then(|| LABEL.to_string()),
            data_rack: rng.random_bool(kind.racks).then(|| self.rack(rack)),
            per_worker: rng.random_bool(kind.apart).then_some(PER_WORKER),
            ..StepSpec::default()
        };
        (spec, times)
    }

    /// Random jobs with the times at which they come after the start of the traffic, in this order.
    pub fn arrivals(&self, rng: &mut Pcg64) -> Vec<(Millis, Job)> {
        let mut jobs = Vec::new();
        for (num, kind) in self.kinds.iter().enumerate() {
            let usual = (0.0, self.traffic_ms as f64);
            self.arrive(rng, usual, kind.rate, (num, kind.failing), &mut jobs);
        }
        for burst in &self.bursts {
            let start = rng.random_range(0.0..1.0) * burst.by_ms as f64;
            let meets = rng.random_bool(burst.chance);
            let kinds = self.kinds.iter().enumerate();
            let kind = kinds.clone().find(|(_, k)| k.queue == burst.queue);
            if let Some((num, kind)) = kind.filter(|_| meets) {
                let span = (start, start + burst.lasts_ms as f64);
                let rate = kind.rate * burst.more;
                let failing = kind.failing.max(burst.failing);
                self.arrive(rng, span, rate, (num, failing), &mut jobs);
            }
        }
        jobs.sort_by_key(|(at, _)| *at);
        jobs
    }

    /// Adds jobs of a kind that come in this time, at this rate a second.
    fn arrive(
        &self,
        rng: &mut Pcg64,
        (start, end): (f64, f64),
        rate: f64,
        kind: (usize, f64),
        jobs: &mut Vec<(Millis, Job)>,
    ) {
        let Ok(interval) = Exp::new(rate / 1_000.0) else {
            return;
        };
        let mut at = start + interval.sample(rng);
        while at < end.min(self.traffic_ms as f64) {
            jobs.push((Millis(at as u64), self.job(rng, kind)));
            at += interval.sample(rng);
        }
    }
}
