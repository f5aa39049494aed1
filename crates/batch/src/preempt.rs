//! Preemption: which work is stopped so that work of the highest priority can start.
//!
//! Load pattern: the site is full of long work when a burst of short urgent jobs arrives. Stopped
//! work loses its progress since its last checkpoint. So as little as possible is stopped, and
//! nothing that loses more than the urgent work is worth, unless a guarantee requires it.
//!
//! Load pattern of guarantees: a burst of urgent jobs of one organisation fills the site beyond its
//! guarantee, and another one then claims its own. Urgent work that no guarantee covers is stopped for
//! it, but only where nothing else makes room. Long-running work, which never leaves by itself, comes
//! between the two.

use base::Millis;

use crate::place::eligible;
use crate::place::racks;
use crate::place::Candidate;
use crate::place::Limits;
use crate::spec::Resources;
use crate::spec::StepSpec;

/// Cores that one accelerator counts as when amounts of work are compared.
const ACCEL_CORES: u64 = 8;

/// How readily a run is stopped; the first kind goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VictimKind {
    /// Of lower priority than the urgent work.
    Ordinary,
    /// The same, and long-running without a limit on the tasks out of service.
    Lasting,
    /// Of the highest priority.
    Urgent,
}

/// A run, or all runs of a gang, that could be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Index of each member's worker in the list of workers.
    pub workers: Vec<usize>,
    /// Resources that each member occupies.
    pub need: Resources,
    /// Work that would be lost, in core-milliseconds.
    pub loss: u64,
    /// How readily it is stopped.
    pub kind: VictimKind,
    /// Number of its step among those that limit the tasks out of service.
    pub step: Option<usize>,
}

/// Added to the loss of a long-running victim, so that it is more than that of any ordinary ones.
const LASTING_LOSS: u64 = 1 << 40;

/// Added to the loss of an urgent victim, so that it is more than that of any others.
const URGENT_LOSS: u64 = 1 << 48;

impl Victim {
    /// Loss by which victims are compared, in core-milliseconds.
    fn weighted_loss(&self) -> u64 {
        let extra = match self.kind {
            VictimKind::Ordinary => 0,
            VictimKind::Lasting => LASTING_LOSS,
            VictimKind::Urgent => URGENT_LOSS,
        };
        self.loss.saturating_add(extra)
    }

    fn is_of(&self, steps: &[usize]) -> bool {
        self.step.is_some_and(|step| steps.contains(&step))
    }
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

/// The runs that could be stopped, by worker.
#[derive(Clone, Debug, Default)]
pub struct VictimIndex {
    victims: Vec<Victim>,
    /// Indices of the victims on each worker, those that lose the least per accelerator first.
    by_worker: Vec<Vec<usize>>,
    taken: Vec<bool>,
    /// Number of tasks that may still be stopped of each step with a limit.
    spare: Vec<usize>,
}

impl VictimIndex {
    /// Indexes victims on a number of workers. `spare` is the number of tasks that may be stopped of
    /// each step with a limit.
    pub fn new(victims: Vec<Victim>, spare: Vec<usize>, workers: usize) -> VictimIndex {
        let mut by_worker: Vec<Vec<usize>> = vec![Vec::new(); workers];
        for (num, victim) in victims.iter().enumerate() {
            for &worker in &victim.workers {
                if by_worker[worker].last() != Some(&num) {
                    by_worker[worker].push(num);
                }
            }
        }
        for list in &mut by_worker {
            list.sort_by_key(|&v| {
                let victim = &victims[v];
                (victim.kind, victim.loss / victim.need.accels.max(1), v)
            });
            list.dedup();
        }
        VictimIndex {
            taken: vec![false; victims.len()],
            victims,
            by_worker,
            spare,
        }
    }

    /// Excludes a victim from later choices, because it is being stopped.
    pub fn take(&mut self, victim: usize) {
        self.taken[victim] = true;
        let Victim { step, workers, .. } = &self.victims[victim];
        if let Some(spare) = step.and_then(|step| self.spare.get_mut(step)) {
            *spare = spare.saturating_sub(workers.len());
        }
    }

    /// Whether the step of a victim may miss it as well as those that are chosen already.
    fn can_miss<'a>(&self, victim: usize, chosen: impl Iterator<Item = &'a usize>) -> bool {
        let Some(step) = self.victims[victim].step else {
            return true;
        };
        let same = chosen.filter(|&&at| self.victims[at].step == Some(step));
        let missed: usize = same.map(|&at| self.victims[at].workers.len()).sum();
        missed + self.victims[victim].workers.len() <= self.spare[step]
    }
}

/// The choice that loses the least work for `count` tasks. A gang is placed whole or not at all; of
/// any other step as many tasks as possible are placed.
pub fn choose(
    candidates: &[Candidate],
    index: &VictimIndex,
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Choice> {
    let among = eligible(candidates, step, limits);
    choose_among(&among, candidates, index, step, limits, count)
}

/// [`choose`] among eligible workers.
pub(crate) fn choose_among(
    among: &[usize],
    candidates: &[Candidate],
    index: &VictimIndex,
    step: &StepSpec,
    limits: &Limits,
    count: usize,
) -> Option<Choice> {
    let mut available: Vec<Resources> = candidates.iter().map(with_releasing).collect();
    let racks = match step.gang {
        true => racks(among, candidates, &available, step, limits, count),
        false => vec![among.to_vec()],
    };
    let mut best: Option<Choice> = None;
    let mut changes: Vec<(usize, Resources)> = Vec::new();
    for rack in racks {
        let most = best.as_ref().map_or(u64::MAX, |b| b.loss);
        let room = Room {
            available: &mut available,
            changes: &mut changes,
        };
        let found = in_rack(
            (&rack, candidates),
            index,
            room,
            step,
            limits,
            (count, most),
        );
        while let Some((num, before)) = changes.pop() {
            available[num] = before;
        }
        best = found.or(best);
    }
    best
}

fn with_releasing(candidate: &Candidate) -> Resources {
    let mut sum = candidate.free;
    sum += candidate.releasing;
    sum -= candidate.excess;
    sum
}

/// What placing one task on a worker takes: the worker's penalty, the work lost, the accelerators left
/// free, and the victims.
type Offer = (u32, u64, u64, Vec<usize>);

/// Resources of all workers during a choice, and the earlier values of those that it has changed.
struct Room<'a> {
    available: &'a mut [Resources],
    changes: &'a mut Vec<(usize, Resources)>,
}

impl Room<'_> {
    fn change(&mut self, num: usize, update: impl FnOnce(&mut Resources)) {
        self.changes.push((num, self.available[num]));
        update(&mut self.available[num]);
    }
}

/// The choice for `count` tasks on these workers, if it loses less than `most`.
fn in_rack(
    (among, candidates): (&[usize], &[Candidate]),
    index: &VictimIndex,
    mut room: Room<'_>,
    step: &StepSpec,
    limits: &Limits,
    (count, most): (usize, u64),
) -> Option<Choice> {
    let need = step.occupies();
    let per_worker = step.per_worker.unwrap_or(u32::MAX);
    let offer = |available: &[Resources], taken: &[usize], num: usize| -> Option<Offer> {
        // What still exceeds the capacity has to be freed as well.
        let mut owed = candidates[num].excess;
        owed -= candidates[num].releasing;
        owed += need;
        let (loss, chosen) = cheapest(
            &available[num],
            &owed,
            index,
            (taken, limits.displaces),
            num,
        )?;
        let left = available[num].saturating_sub(&need).accels;
        Some((candidates[num].penalty, loss, left, chosen))
    };
    let mut choice = Choice::default();
    let mut touched: Vec<usize> = Vec::new();
    let mut steps: Vec<usize> = Vec::new();
    let mut placed: Vec<u32> = among.iter().map(|&num| limits.on_worker[num]).collect();
    let mut offers: Vec<Option<Offer>> = among
        .iter()
        .map(|&num| offer(room.available, &choice.victims, num))
        .collect();
    while choice.workers.len() < count {
        let open = offers
            .iter()
            .enumerate()
            .filter(|(at, _)| placed[*at] < per_worker);
        let open = open.filter_map(|(at, found)| Some((found.as_ref()?, at)));
        let Some((_, at)) =
            open.min_by_key(|((penalty, loss, left, _), at)| (*penalty, *loss, *left, *at))
        else {
            break;
        };
        let Some((_, loss, _, chosen)) = offers[at].take() else {
            break;
        };
        let num = among[at];
        choice.loss = choice.loss.saturating_add(loss);
        if choice.loss >= most {
            return None;
        }
        touched.clear();
        steps.clear();
        for victim in chosen {
            steps.extend(index.victims[victim].step);
            for &worker in &index.victims[victim].workers {
                room.change(worker, |r| *r += index.victims[victim].need);
                touched.push(worker);
            }
            choice.victims.push(victim);
        }
        room.change(num, |r| *r -= need);
        touched.push(num);
        placed[at] += 1;
        choice.workers.push(num);
        for (at, &num) in among.iter().enumerate() {
            let chosen = offers[at].as_ref().map(|(.., chosen)| chosen.as_slice());
            let mut chosen = chosen.unwrap_or_default().iter();
            let is_spent =
                !steps.is_empty() && chosen.any(|&victim| index.victims[victim].is_of(&steps));
            if touched.contains(&num) || is_spent {
                offers[at] = offer(room.available, &choice.victims, num);
            }
        }
    }
    let whole = choice.workers.len() == count;
    (whole || !step.gang && !choice.workers.is_empty()).then_some(choice)
}

/// Victims on one worker that make `need` fit into it together with `have`, cheapest first, and
/// their loss. Those in `taken` are left out, and those of a kind after `last`.
fn cheapest(
    have: &Resources,
    need: &Resources,
    index: &VictimIndex,
    (taken, last): (&[usize], VictimKind),
    num: usize,
) -> Option<(u64, Vec<usize>)> {
    if have.fits(need) {
        return Some((0, Vec::new()));
    }
    let mut sum = *have;
    let mut loss = 0;
    let mut chosen = Vec::new();
    for &at in &index.by_worker[num] {
        let victim = &index.victims[at];
        if index.taken[at] || taken.contains(&at) || victim.kind > last {
            continue;
        }
        if !index.can_miss(at, taken.iter().chain(&chosen)) {
            continue;
        }
        for _ in victim.workers.iter().filter(|&&worker| worker == num) {
            sum += victim.need;
        }
        loss = victim.weighted_loss().saturating_add(loss);
        chosen.push(at);
        if sum.fits(need) {
            return Some((loss, chosen));
        }
    }
    None
}
