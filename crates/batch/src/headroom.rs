//! Free resources that are kept for urgent jobs.
//!
//! Load pattern: urgent gangs arrive at random and in bursts, each needs several whole workers, and
//! must end within little more than its work takes. On a site that other work fills they wait for the
//! grace of the runs that are stopped for them, and are late. So what lately has arrived at most while
//! runs are being stopped is kept free. Other work that can wait does so for a while.

use std::collections::VecDeque;
use std::sync::Arc;

use base::Map;
use base::Millis;
use base::ServiceId;

use crate::place::Candidate;
use crate::spec::Resources;

/// Time for which an arrival is remembered.
const MEMORY: Millis = Millis(30_000);

/// Time without urgent jobs after which nothing is kept.
const IDLE_RESET: Millis = Millis(10_000);

/// Slack up to which a step uses what is kept: it would soon be late.
const MIN_SLACK: Millis = Millis(3_000);

/// Time after which a step uses what is kept on a quiet pool, whatever its slack.
const MAX_WAIT: Millis = Millis(2_000);

/// Part of its resources in percent below which the use of a pool counts as quiet.
const QUIET_PERCENT: u64 = 60;

/// Urgent jobs of one pool that have arrived lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UrgentDemand {
    /// Arrivals within the last window, each with the accelerators that it needs.
    recent: VecDeque<(Millis, u64)>,
    /// Sums over a window that no later one has exceeded, with the time at which each was reached.
    peaks: VecDeque<(Millis, u64)>,
    last_arrival: Option<Millis>,
}

impl UrgentDemand {
    /// Records the arrival of a job that needs `accels` accelerators. `window` is the time that it
    /// takes to free resources by stopping runs.
    pub fn record(&mut self, accels: u64, window: Millis, now: Millis) {
        self.last_arrival = Some(now);
        self.recent.push_back((now, accels));
        self.recent.retain(|(at, _)| now.since(*at) <= window);
        let sum = self.recent.iter().map(|(_, accels)| accels).sum();
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= sum) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, sum));
        self.peaks.retain(|(at, _)| now.since(*at) <= MEMORY);
    }

    /// Accelerators to keep free: the most that has arrived within one window.
    pub fn accels(&self, now: Millis) -> u64 {
        let is_idle = self
            .last_arrival
            .is_none_or(|at| now.since(at) >= IDLE_RESET);
        let mut peaks = self.peaks.iter().filter(|(at, _)| now.since(*at) <= MEMORY);
        match is_idle {
            true => 0,
            false => peaks.next().map_or(0, |(_, peak)| *peak),
        }
    }
}

/// Whether a step that is not urgent may use what is kept. `slack` is the time within which it has to
/// start, and `waited` the time for which it has been waiting. On a quiet pool nothing waits for long.
pub fn may_use(slack: Millis, waited: Millis, is_quiet: bool) -> bool {
    slack <= MIN_SLACK || is_quiet && waited >= MAX_WAIT
}

/// Whether a pool of this capacity, of which `free` is not used, is mostly idle.
pub fn is_quiet(capacity: &Resources, free: &Resources) -> bool {
    let below = |free: u64, all: u64| all.saturating_sub(free) * 100 <= all * QUIET_PERCENT;
    below(free.cpu, capacity.cpu)
        && below(free.memory, capacity.memory)
        && below(free.accels, capacity.accels)
}

/// Marks workers of a pool with `accels` free accelerators in all as kept for urgent jobs. It starts
/// with the rack that has the most free, as an urgent gang often asks for one rack.
pub fn keep_free(candidates: &mut [Candidate], pool: &ServiceId, accels: u64) {
    if accels == 0 {
        return;
    }
    let mut racks: Map<Option<Arc<str>>, (u64, Vec<usize>)> = Map::default();
    for (num, candidate) in candidates.iter().enumerate() {
        if candidate.free.accels > 0 && !candidate.paused && candidate.pool == *pool {
            let rack = racks.entry(candidate.rack.clone()).or_default();
            rack.0 += candidate.free.accels;
            rack.1.push(num);
        }
    }
    let mut racks: Vec<(u64, Option<Arc<str>>, Vec<usize>)> = racks
        .into_iter()
        .map(|(rack, (sum, workers))| (sum, rack, workers))
        .collect();
    racks.sort_by(|a, b| (b.0, &b.1).cmp(&(a.0, &a.1)));
    let mut left = accels;
    for (_, _, mut workers) in racks {
        workers.sort_by_key(|&num| std::cmp::Reverse(candidates[num].free.accels));
        for num in workers {
            if left == 0 {
                return;
            }
            candidates[num].urgent_only = true;
            left = left.saturating_sub(candidates[num].free.accels);
        }
    }
}
