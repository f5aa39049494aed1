//! Preemption: which work is stopped so that work of the highest priority can start.
//!
//! Load pattern: the site is full of long work when a burst of short urgent jobs arrives. Stopped
//! work loses its progress since its last checkpoint. So as little as possible is stopped, and
//! nothing that loses more than the urgent work is worth, unless a guarantee requires it.

use base::Millis;

use crate::place::is_eligible;
use crate::place::racks;
use crate::place::Candidate;
use crate::place::Limits;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Cores that one accelerator counts as when amounts of work are compared.
const ACCEL_CORES: u64 = 8;

/// A run, or all runs of a gang, that could be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Index of each member's worker in the list of workers.
    pub workers: Vec<usize>,
    /// Resources that each member occupies.
    pub need: Resources,
    /// Work that would be lost, in core-milliseconds.
    pub loss: u64,
}

/// A set of victims, and the placement that stopping them makes possible.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Choice {
    /// Work that is lost, in core-milliseconds.
    pub loss: u64,
    /// Indices into the list of victims.
    pub victims: Vec<usize>,
    /// Index of the worker of each placed task.
    pub workers: Vec<usize>,
}

/// Work of a task that takes `span`, in core-milliseconds.
pub fn work(need: &Resources, span: Millis) -> u64 {
    (need.cpu / 1000 + ACCEL_CORES * need.accels) * span.0
}

/// The choice that loses the least work for `count` tasks. A gang is placed whole or not at all; of
/// any other step as many tasks as possible are placed.
pub fn choose(
    candidates: &[Candidate],
    victims: &[Victim],
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Choice> {
    let available: Vec<Resources> = candidates.iter().map(with_releasing).collect();
    let mut by_worker: Vec<Vec<usize>> = vec![Vec::new(); candidates.len()];
    for (num, victim) in victims.iter().enumerate() {
        let mut last = None;
        for &candidate in &victim.workers {
            if last != Some(candidate) && !by_worker[candidate].contains(&num) {
                by_worker[candidate].push(num);
            }
            last = Some(candidate);
        }
    }
    for list in &mut by_worker {
        list.sort_by_key(|&v| victims[v].loss / victims[v].need.accels.max(1));
    }
    let racks = match step.gang {
        true => racks(candidates, &available, step, limits, count),
        false => vec![None],
    };
    let mut best: Option<Choice> = None;
    for rack in racks {
        let limits = Limits {
            rack: rack.as_deref(),
            ..*limits
        };
        let found = in_rack(
            candidates,
            victims,
            &by_worker,
            available.clone(),
            step,
            &limits,
            count,
        );
        let Some(found) = found else { continue };
        if best.as_ref().is_none_or(|b| found.loss < b.loss) {
            best = Some(found);
        }
    }
    best
}

fn with_releasing(candidate: &Candidate) -> Resources {
    let mut sum = candidate.free;
    sum += candidate.releasing;
    sum
}

fn in_rack(
    candidates: &[Candidate],
    victims: &[Victim],
    by_worker: &[Vec<usize>],
    mut available: Vec<Resources>,
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Choice> {
    let need = step.occupies();
    let mut on_worker = limits.on_worker.to_vec();
    let mut choice = Choice::default();
    for _ in 0..count {
        let mut best: Option<(u64, u64, usize, Vec<usize>)> = None;
        for (num, candidate) in candidates.iter().enumerate() {
            let limits = Limits {
                on_worker: &on_worker,
                ..*limits
            };
            if !is_eligible(candidate, num, step, &limits) {
                continue;
            }
            let list = &by_worker[num];
            let found = cheapest(&available[num], &need, victims, list, &choice.victims, num);
            let Some((loss, chosen)) = found else {
                continue;
            };
            let left = available[num].saturating_sub(&need).accels;
            if best.as_ref().is_none_or(|b| (loss, left) < (b.0, b.1)) {
                best = Some((loss, left, num, chosen));
            }
        }
        let Some((loss, _, num, chosen)) = best else {
            break;
        };
        choice.loss += loss;
        for victim in chosen {
            for &at in &victims[victim].workers {
                available[at] += victims[victim].need;
            }
            choice.victims.push(victim);
        }
        available[num] -= need;
        on_worker[num] += 1;
        choice.workers.push(num);
    }
    let whole = choice.workers.len() == count;
    (whole || !step.gang && !choice.workers.is_empty()).then_some(choice)
}

/// Victims on one worker that make `need` fit into it together with `have`, cheapest first, and
/// their loss.
fn cheapest(
    have: &Resources,
    need: &Resources,
    victims: &[Victim],
    here: &[usize],
    taken: &[usize],
    num: usize,
) -> Option<(u64, Vec<usize>)> {
    if have.fits(need) {
        return Some((0, Vec::new()));
    }
    let mut sum = *have;
    let mut loss = 0;
    let mut chosen = Vec::new();
    for &index in here {
        if taken.contains(&index) {
            continue;
        }
        let victim = &victims[index];
        for _ in victim.workers.iter().filter(|&&at| at == num) {
            sum += victim.need;
        }
        loss += victim.loss;
        chosen.push(index);
        if sum.fits(need) {
            return Some((loss, chosen));
        }
    }
    None
}
