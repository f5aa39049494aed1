//! Joint estimate of the speeds of a pool's workers.
//!
//! The logarithm of a run's rate is the sum of its worker's speed, a part that all tasks of its step
//! share, and noise. Both parts are taken in turn from the robust mean of what the other leaves. Only
//! runs whose step has others on other workers count: how long a task was declared to take says
//! nothing, as those that take several times as long are on more workers at a time than all others. The
//! distribution of speeds in the pool is learned along with them and decides how far a single run is
//! believed. While it does not differ clearly from a single speed, all workers count as alike.

use base::Map;
use base::Millis;

use super::Estimate;
use super::Evidence;
use super::Kind;
use super::Sample;
use super::Speed;

/// Logarithms of speed for which the distribution is kept: from the first on, in steps.
const GRID: usize = 50;
const FIRST: f64 = -2.31;
const GRID_STEP: f64 = 0.07;

/// Standard deviation of the logarithms of two tasks of one kind, until enough pairs have been seen,
/// and its limits. Members of a gang have the same work.
const NOISE: [f64; 2] = [0.06, 0.25];
const NOISE_PAIRS: f64 = 10.0;
const NOISE_RANGE: (f64, f64) = (0.03, 0.5);

/// Median of the difference of two normal values, in standard deviations of one.
const MEDIAN_PAIR: f64 = 0.954;

/// Variance of a worker of which nothing is known.
const UNKNOWN_VARIANCE: f64 = 0.15;

/// Deviations, in standard deviations, from which a value counts less.
const HUBER: f64 = 1.5;

/// Part of the runs that say nothing about their worker, such as tasks that are long by themselves,
/// and the range over which they scatter.
const STRAY: f64 = 0.05;
const STRAY_RANGE: f64 = 3.0;

/// Deviations, in standard deviations, from which a speed is possible only for a stray run.
const TAIL: f64 = 4.5;

/// Time in which an older run loses half of its weight against a newer one.
const HALF_LIFE: f64 = 10_000.0;

/// Added to the variance of a recorded speed: what it may have changed by.
const RECORDED_VARIANCE: f64 = 0.01;

/// Gain in log likelihood from which speeds count as different: in any pool, and for each worker. They
/// count as alike again below half of it.
const DIFFERENT: f64 = 5.5;
const DIFFERENT_EACH: f64 = 0.15;

/// Least spread of the logarithms that is worth acting on: between the speeds below and above which
/// a twentieth of the workers are.
const MIN_SPREAD: f64 = 0.15;

/// Steps of the grid from the middle in which the speed of workers that are alike is looked for.
const NEAR: usize = 2;

/// Fewest workers with evidence.
const MIN_WORKERS: usize = 3;

/// Rounds in which the distribution is adapted with each fit.
const ROUNDS: usize = 3;

/// What is known about a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolFit {
    /// Part of the workers at each speed of the grid.
    parts: Vec<f64>,
    /// Standard deviation of the logarithms of two tasks of a step, by their kind.
    pub noise: [f64; 2],
    /// Whether the workers differ.
    pub differ: bool,
    /// Gain in log likelihood over workers of one speed.
    pub gain: f64,
    /// Speed that a worker has of which nothing is known: three in four are as fast or faster.
    pub cautious: Speed,
}

impl Default for PoolFit {
    fn default() -> PoolFit {
        PoolFit {
            parts: vec![1.0 / GRID as f64; GRID],
            noise: NOISE,
            differ: false,
            gain: 0.0,
            cautious: Speed::USUAL,
        }
    }
}

/// Unit of recorded parts and noise.
const PART_UNIT: f64 = 255.0;
const NOISE_UNIT: f64 = 200.0;

impl PoolFit {
    /// The distribution and the noise, one byte each, for a record.
    pub(super) fn to_bytes(&self) -> (Vec<u8>, Vec<u8>) {
        let most = self.parts.iter().copied().fold(f64::EPSILON, f64::max);
        let parts = self.parts.iter().map(|p| (p / most * PART_UNIT) as u8);
        let noise = self.noise.iter().map(|n| (n * NOISE_UNIT).round() as u8);
        (parts.collect(), noise.collect())
    }

    /// The reverse of [`PoolFit::to_bytes`], for a pool whose workers differ.
    pub(super) fn from_bytes(parts: &[u8], noise: &[u8]) -> Option<PoolFit> {
        let sum: f64 = parts.iter().map(|p| f64::from(*p)).sum();
        if parts.len() != GRID || sum <= 0.0 {
            return None;
        }
        let parts: Vec<f64> = parts.iter().map(|p| f64::from(*p) / sum).collect();
        let noise: [u8; 2] = noise.try_into().ok()?;
        let noise = noise.map(|n| f64::from(n) / NOISE_UNIT);
        Some(PoolFit {
            noise: noise.map(|n| n.clamp(NOISE_RANGE.0, NOISE_RANGE.1)),
            differ: true,
            gain: 0.0,
            cautious: Speed::from_log(quantile(&parts, 0.25)),
            parts,
        })
    }
}

/// Sums over the runs of a step, or over those of it on one worker.
#[derive(Clone, Copy, Default)]
struct Sums {
    weight: f64,
    value: f64,
}

impl Sums {
    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.value += weight * value;
    }
}

/// Estimates the speeds of a pool's workers from their evidence.
pub fn fit(pool: &mut PoolFit, workers: &mut [&mut Evidence], now: Millis) {
    let steps = step_parts(workers, pool.noise);
    let mut means: Vec<Option<(f64, f64)>> = Vec::with_capacity(workers.len());
    let mut pairs: [Vec<f64>; 2] = Default::default();
    for (num, worker) in workers.iter().enumerate() {
        let values = residuals(worker, num, &steps, pool.noise);
        collect_pairs(&values, &mut pairs);
        means.push(worker_mean(worker, &values, now));
    }
    for (kind, pairs) in pairs.iter_mut().enumerate() {
        pool.noise[kind] = noise(pairs, NOISE[kind]);
    }
    let centre = centre(&means);
    for mean in means.iter_mut().flatten() {
        mean.0 -= centre;
    }
    let likelihoods: Vec<Option<[f64; GRID]>> = means
        .iter()
        .map(|mean| mean.map(|(value, variance)| likelihood(value, variance)))
        .collect();
    let seen = likelihoods.iter().flatten().count();
    for _ in 0..ROUNDS {
        adapt(&mut pool.parts, &likelihoods, seen);
    }
    let clear = workers.iter().map(|w| w.is_clear());
    let clear: Vec<&[f64; GRID]> = likelihoods
        .iter()
        .zip(clear)
        .filter_map(|(l, clear)| l.as_ref().filter(|_| clear))
        .collect();
    pool.gain = gain(&pool.parts, &clear);
    let wide = quantile(&pool.parts, 0.95) - quantile(&pool.parts, 0.05) >= MIN_SPREAD;
    let least = DIFFERENT + DIFFERENT_EACH * clear.len() as f64;
    let least = if pool.differ { least / 2.0 } else { least };
    if seen > 0 {
        pool.differ = clear.len() >= MIN_WORKERS && wide && pool.gain >= least;
    }
    pool.cautious = Speed::from_log(quantile(&pool.parts, 0.25));
    for (worker, likelihood) in workers.iter_mut().zip(&likelihoods) {
        worker.level = likelihood.map(|l| posterior(&pool.parts, &l));
        worker.estimate = match (pool.differ, worker.level) {
            (false, _) => Estimate::default(),
            (true, Some((log, _))) => Estimate {
                speed: Speed::from_log(log),
                known: worker.is_known(),
            },
            (true, None) => Estimate {
                speed: Speed::USUAL,
                known: false,
            },
        };
    }
}

/// What the runs of one step have in common: sums over all of them and over those on each worker.
struct StepPart {
    all: Sums,
    by_worker: Vec<(usize, Sums)>,
}

impl StepPart {
    /// The step's part and its variance, without the runs on one worker; `None` if there are no others.
    fn without(&self, worker: usize) -> Option<(f64, f64)> {
        // Collected in the order of the workers.
        let own = self
            .by_worker
            .binary_search_by_key(&worker, |(num, _)| *num);
        let own = own.map(|at| self.by_worker[at].1).unwrap_or_default();
        let weight = self.all.weight - own.weight;
        (weight > f64::EPSILON).then(|| ((self.all.value - own.value) / weight, 1.0 / weight))
    }
}

/// The runs of one step: the number of the worker, the rate less its speed, and the variance.
type StepRuns = Vec<(usize, f64, f64)>;

fn step_parts(workers: &[&mut Evidence], noise: [f64; 2]) -> Map<u64, StepPart> {
    let mut by_step: Map<u64, StepRuns> = Map::default();
    for (num, worker) in workers.iter().enumerate() {
        let (level, deviation) = worker.level.unwrap_or((0.0, UNKNOWN_VARIANCE.sqrt()));
        for sample in &worker.samples {
            let variance = own_variance(sample, noise) + deviation * deviation;
            let runs = by_step.entry(sample.step).or_default();
            runs.push((num, sample.rate.log - level, variance));
        }
    }
    let parts = by_step.into_iter();
    parts.map(|(step, runs)| (step, step_part(&runs))).collect()
}

fn step_part(runs: &[(usize, f64, f64)]) -> StepPart {
    let values = runs.iter().map(|(_, value, var)| (*value, 1.0 / var));
    let middle = weighted_median(&mut values.collect::<Vec<(f64, f64)>>());
    let mut part = StepPart {
        all: Sums::default(),
        by_worker: Vec::new(),
    };
    for (num, value, variance) in runs {
        let weight = huber(value - middle, *variance) / variance;
        part.all.add(weight, *value);
        match part.by_worker.last_mut().filter(|(last, _)| last == num) {
            Some((_, sums)) => sums.add(weight, *value),
            None => {
                let mut sums = Sums::default();
                sums.add(weight, *value);
                part.by_worker.push((*num, sums));
            }
        }
    }
    part
}

/// What one run says about the speed of its worker.
#[derive(Clone, Copy)]
struct Residual {
    value: f64,
    variance: f64,
    at: Millis,
    step: u64,
    kind: Kind,
}

fn own_variance(sample: &Sample, noise: [f64; 2]) -> f64 {
    let noise = noise[sample.kind as usize];
    sample.rate.variance + noise * noise
}

fn residuals(
    worker: &Evidence,
    num: usize,
    steps: &Map<u64, StepPart>,
    noise: [f64; 2],
) -> Vec<Residual> {
    let values = worker.samples.iter().filter_map(|sample| {
        let (part, variance) = steps.get(&sample.step)?.without(num)?;
        // The error of the step's part is the same in all of its runs here.
        let same = worker.samples.iter().filter(|s| s.step == sample.step);
        Some(Residual {
            value: sample.rate.log - part,
            variance: variance * same.count() as f64 + own_variance(sample, noise),
            at: sample.at,
            step: sample.step,
            kind: sample.kind,
        })
    });
    values.collect()
}

/// Collects differences that show the noise: of single tasks of one step on one worker, and of
/// members of different gangs there.
fn collect_pairs(values: &[Residual], pairs: &mut [Vec<f64>; 2]) {
    for pair in values.windows(2) {
        let same = pair[0].step == pair[1].step;
        let kind = pair[0].kind;
        if kind == pair[1].kind && same == (kind == Kind::Single) {
            pairs[kind as usize].push((pair[0].value - pair[1].value).abs());
        }
    }
}

fn worker_mean(worker: &Evidence, residuals: &[Residual], now: Millis) -> Option<(f64, f64)> {
    let mut values: Vec<(f64, f64, Millis)> = residuals
        .iter()
        .map(|r| (r.value, r.variance, r.at))
        .collect();
    if let Some((log, deviation, at)) = worker.recorded {
        values.push((log, deviation * deviation + RECORDED_VARIANCE, at));
    }
    if values.is_empty() {
        // The runs that its own were compared with are forgotten; what they showed still holds.
        let (log, deviation) = worker.level?;
        return Some((log, deviation * deviation + RECORDED_VARIANCE));
    }
    let newest = values.iter().map(|(_, _, at)| *at).max().unwrap_or(now);
    let weigh = |variance: f64, at: Millis| {
        let age = newest.since(at).0 as f64;
        (-age / HALF_LIFE).exp2() / variance
    };
    let mut weighted: Vec<(f64, f64)> = values
        .iter()
        .map(|(value, variance, at)| (*value, weigh(*variance, *at)))
        .collect();
    let middle = weighted_median(&mut weighted);
    let mut sums = Sums::default();
    for (value, variance, at) in &values {
        sums.add(
            huber(value - middle, *variance) * weigh(*variance, *at),
            *value,
        );
    }
    (sums.weight > f64::EPSILON).then(|| (sums.value / sums.weight, 1.0 / sums.weight))
}

/// Standard deviation of two equal tasks, from the differences of runs on the same workers.
fn noise(pairs: &mut [f64], usual: f64) -> f64 {
    let count = pairs.len() as f64;
    let measured = match pairs.is_empty() {
        true => usual,
        false => {
            let middle = pairs.len() / 2;
            let (_, median, _) = pairs.select_nth_unstable_by(middle, f64::total_cmp);
            *median / MEDIAN_PAIR
        }
    };
    let blended = (count * measured + NOISE_PAIRS * usual) / (count + NOISE_PAIRS);
    blended.clamp(NOISE_RANGE.0, NOISE_RANGE.1)
}

/// Mean of the middle half of the workers, which counts as 100 %. Unlike the median it moves
/// smoothly where a pool has two speeds.
fn centre(means: &[Option<(f64, f64)>]) -> f64 {
    let mut values: Vec<f64> = means.iter().flatten().map(|(value, _)| *value).collect();
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable_by(f64::total_cmp);
    let cut = values.len() / 4;
    let middle = &values[cut..values.len() - cut];
    middle.iter().sum::<f64>() / middle.len() as f64
}

fn speed_at(num: usize) -> f64 {
    FIRST + num as f64 * GRID_STEP
}

fn likelihood(value: f64, variance: f64) -> [f64; GRID] {
    // Speeds beyond the grid count as its ends, and nothing is told apart more finely than the grid.
    let value = value.clamp(FIRST, speed_at(GRID - 1));
    let variance = variance.max(GRID_STEP * GRID_STEP / 4.0);
    let scale = (1.0 - STRAY) / (variance * std::f64::consts::TAU).sqrt();
    let mut out = [STRAY / STRAY_RANGE; GRID];
    let reach = TAIL * variance.sqrt();
    let place = |log: f64| ((log - FIRST) / GRID_STEP).clamp(0.0, GRID as f64);
    let (low, high) = (place(value - reach), place(value + reach).ceil());
    let (low, high) = (low as usize, high as usize);
    for (num, density) in out.iter_mut().enumerate().take(high).skip(low) {
        let off = value - speed_at(num);
        *density += scale * (-off * off / (2.0 * variance)).exp();
    }
    out
}

fn dot(parts: &[f64], likelihood: &[f64; GRID]) -> f64 {
    parts.iter().zip(likelihood).map(|(p, l)| p * l).sum()
}

/// One round of expectation and maximisation of the distribution of speeds.
fn adapt(parts: &mut Vec<f64>, likelihoods: &[Option<[f64; GRID]>], seen: usize) {
    if seen == 0 {
        return;
    }
    // One worker's worth of the even distribution keeps speeds possible that were not seen yet.
    let mut next = vec![1.0 / GRID as f64; GRID];
    for likelihood in likelihoods.iter().flatten() {
        let sum = dot(parts, likelihood);
        for ((part, before), density) in next.iter_mut().zip(parts.iter()).zip(likelihood) {
            *part += before * density / sum;
        }
    }
    for part in &mut next {
        *part /= (seen + 1) as f64;
    }
    *parts = next;
}

/// Gain in log likelihood of the distribution over workers of one speed.
fn gain(parts: &[f64], likelihoods: &[&[f64; GRID]]) -> f64 {
    let middle = (-FIRST / GRID_STEP).round() as usize;
    let near = middle - NEAR..=middle + NEAR;
    let mut alike = [0.0; 2 * NEAR + 1];
    let mut mixed = 0.0;
    for likelihood in likelihoods {
        mixed += dot(parts, likelihood).ln();
        for (sum, density) in alike.iter_mut().zip(&likelihood[near.clone()]) {
            *sum += density.ln();
        }
    }
    mixed - alike.into_iter().fold(f64::NEG_INFINITY, f64::max)
}

/// Mean and standard deviation of a worker's speed.
fn posterior(parts: &[f64], likelihood: &[f64; GRID]) -> (f64, f64) {
    let all = dot(parts, likelihood);
    let (mut mean, mut square) = (0.0, 0.0);
    for (num, (part, density)) in parts.iter().zip(likelihood).enumerate() {
        let weight = part * density / all;
        let log = speed_at(num);
        mean += weight * log;
        square += weight * log * log;
    }
    (mean, (square - mean * mean).max(0.0).sqrt())
}

fn quantile(parts: &[f64], share: f64) -> f64 {
    let mut sum = 0.0;
    for (num, part) in parts.iter().enumerate() {
        sum += part;
        if sum >= share {
            return speed_at(num);
        }
    }
    speed_at(GRID - 1)
}

fn huber(off: f64, variance: f64) -> f64 {
    let limit = HUBER * variance.sqrt();
    if off.abs() <= limit {
        1.0
    } else {
        limit / off.abs()
    }
}

/// The weighted median of values with their weights.
fn weighted_median(values: &mut [(f64, f64)]) -> f64 {
    values.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (value, weight) in values.iter() {
        sum += weight;
        if sum >= half {
            return *value;
        }
    }
    values.last().map_or(0.0, |(value, _)| *value)
}
