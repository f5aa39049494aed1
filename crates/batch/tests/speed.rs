//! Speeds of workers from the progress of runs: what is learned from honest, wrong and missing
//! reports. Guards against gangs on slow workers, and against workers that are called slow because
//! their tasks are long, their reports late or their figures made up.

use base::Millis;
use batch::speed::fit;
use batch::speed::Estimate;
use batch::speed::Evidence;
use batch::speed::Kind;
use batch::speed::PoolFit;
use batch::speed::Rate;
use batch::speed::Sample;
use rand::RngExt;
use rand::SeedableRng;
use rand_distr::Distribution;
use rand_distr::Normal;
use rand_pcg::Pcg64;
use yare::parameterized;

/// One task in this many takes seven times as long.
const TAIL: u32 = 33;

/// A pool with known speeds, in which steps of random width run on random workers.
struct Truth {
    speeds: Vec<f64>,
    workers: Vec<Evidence>,
    pool: PoolFit,
    rng: Pcg64,
    now: Millis,
    steps: u64,
}

impl Truth {
    fn new(count: usize, seed: u64, speed: impl Fn(usize) -> f64) -> Truth {
        Truth {
            speeds: (0..count).map(speed).collect(),
            workers: vec![Evidence::default(); count],
            pool: PoolFit::default(),
            rng: Pcg64::seed_from_u64(seed),
            now: Millis(1_000_000),
            steps: 0,
        }
    }

    fn noise(&mut self, deviation: f64) -> f64 {
        let normal = Normal::new(0.0, deviation).expect("a normal distribution");
        normal.sample(&mut self.rng)
    }

    /// Runs one step of single tasks: estimates are off by half, tasks are uneven, some are far
    /// longer than the rest.
    fn step(&mut self, width: usize, uneven: f64) {
        self.steps += 1;
        self.now += Millis(30);
        let common = self.noise(0.5);
        for index in 0..width {
            let worker = self.rng.random_range(0..self.speeds.len());
            let mut log = self.speeds[worker].ln() + common + self.noise(uneven);
            if self.rng.random_range(0..TAIL) == 0 {
                log -= 7f64.ln();
            }
            let sample = Sample {
                step: self.steps,
                run: self.steps << 16 | index as u64,
                rate: Rate {
                    log,
                    variance: 0.001,
                },
                kind: Kind::Single,
                at: self.now,
            };
            self.workers[worker].add(sample);
        }
    }

    fn fit(&mut self) {
        let mut all: Vec<&mut Evidence> = self.workers.iter_mut().collect();
        fit(&mut self.pool, &mut all, self.now);
    }

    /// Share of the workers with at least `runs` runs whose speed is within 15 % of the truth.
    fn right(&self, runs: u32) -> f64 {
        let mut logs: Vec<f64> = self.speeds.iter().map(|s| s.ln()).collect();
        logs.sort_by(f64::total_cmp);
        let cut = logs.len() / 4;
        let middle = &logs[cut..logs.len() - cut];
        let usual = (middle.iter().sum::<f64>() / middle.len() as f64).exp();
        let seen = self.workers.iter().zip(&self.speeds);
        let seen = seen.filter(|(w, _)| w.runs >= runs);
        let off = seen.map(|(w, s)| f64::from(w.estimate.speed.0) / 100.0 * usual / s);
        let off: Vec<f64> = off.collect();
        let right = off.iter().filter(|o| (0.85..1.0 / 0.85).contains(*o));
        right.count() as f64 / off.len().max(1) as f64
    }
}

fn three_classes(num: usize) -> f64 {
    [0.6, 1.0, 1.6][num % 3]
}

fn two_classes(num: usize) -> f64 {
    [0.5, 1.5][num % 2]
}

fn spread(num: usize) -> f64 {
    (-0.5 + (num as f64 * 0.618_03) % 1.0).exp()
}

/// Tasks are long by themselves, estimates wrong by half, members uneven; still nine workers in ten
/// are within 15 % of the truth after their second task.
#[parameterized(
    three = { three_classes },
    two_far_apart = { two_classes },
    continuous = { spread },
)]
fn speeds_are_right_after_two_tasks(speed: fn(usize) -> f64) {
    let mut truth = Truth::new(350, 7, speed);
    for _ in 0..30 {
        truth.step(39, 0.15);
        truth.fit();
    }
    let right = truth.right(2);
    assert!(right >= 0.9, "only {right:.2} of the workers are right");
}

/// Uneven tasks on workers that are alike look like workers of different speed to an estimate that
/// trusts single runs.
#[parameterized(even = { 0.03 }, uneven = { 0.15 }, very_uneven = { 0.3 })]
fn alike_workers_count_as_alike(uneven: f64) {
    for seed in 0..20 {
        let mut truth = Truth::new(350, seed, |_| 1.0);
        for _ in 0..30 {
            truth.step(39, uneven);
            truth.fit();
            let alike = truth
                .workers
                .iter()
                .all(|w| w.estimate == Estimate::default());
            assert!(alike, "seed {seed}: workers that are alike are told apart");
        }
    }
}

/// A fault slows all workers down at once: nobody is slow then.
#[test]
fn no_one_is_slow_when_all_are() {
    let mut truth = Truth::new(60, 3, |_| 1.0);
    for _ in 0..20 {
        truth.step(39, 0.15);
        truth.fit();
    }
    truth.speeds.fill(0.25);
    for _ in 0..40 {
        truth.step(39, 0.15);
        truth.fit();
        let slow = truth.workers.iter().filter(|w| w.estimate.speed.0 < 85);
        assert_eq!(slow.count(), 0, "workers count as slow though all are");
    }
}

/// The smallest pool in which one worker can be told from the others.
#[test]
fn a_pool_of_three_is_told_apart() {
    let mut truth = Truth::new(3, 5, three_classes);
    for _ in 0..12 {
        truth.step(9, 0.03);
        truth.fit();
    }
    let speeds: Vec<u32> = truth.workers.iter().map(|w| w.estimate.speed.0).collect();
    assert!(speeds[0] < 75 && speeds[2] > 135, "{speeds:?}");
}

/// New machines take the place of half the pool: they are unknown, and the others keep their speed.
#[test]
fn replaced_workers_are_unknown_and_the_others_keep_their_speed() {
    let mut truth = Truth::new(120, 9, three_classes);
    for _ in 0..30 {
        truth.step(39, 0.1);
        truth.fit();
    }
    let before: Vec<u32> = truth.workers.iter().map(|w| w.estimate.speed.0).collect();
    for worker in &mut truth.workers[..60] {
        *worker = Evidence::default();
    }
    truth.fit();
    for (num, worker) in truth.workers.iter().enumerate() {
        match num < 60 {
            true => assert!(
                !worker.estimate.known,
                "worker {num} is new and counts as known"
            ),
            false => {
                let (now, before) = (worker.estimate.speed.0, before[num]);
                assert!(
                    now.abs_diff(before) * 10 <= before,
                    "{num}: {before} became {now}"
                );
            }
        }
    }
}

/// A worker reports progress that it does not make: its runs look three times as fast and end when
/// those of the others do. Only its own speed is wrong.
#[test]
fn one_worker_that_lies_does_not_move_the_others() {
    let mut truth = Truth::new(
        120,
        11,
        |num| if num == 0 { 3.0 } else { three_classes(num) },
    );
    for _ in 0..30 {
        truth.step(39, 0.1);
        truth.fit();
    }
    assert!(truth.right(2) >= 0.9, "{}", truth.right(2));
}
