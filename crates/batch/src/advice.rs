//! Which workers a step may use, where an adviser decides that.
//!
//! Load pattern: many steps wait, the adviser answers one call at a time, and the longer the more
//! workers a call names. To ask about every worker keeps all other steps waiting; to ask about
//! just enough leaves tasks without a place, since some workers are refused. So a call names what
//! the tasks still need by the share of workers that has been let through so far.

use std::cmp::Reverse;

use base::JobId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;

use crate::place::is_eligible;
use crate::place::is_near;
use crate::place::Limits;
use crate::place::Room;
use crate::spec::StepId;
use crate::spec::StepSpec;

/// How long an adviser takes, and for how long its word holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceRule {
    /// Time for a call.
    pub decision: Millis,
    /// More time for each worker that it names.
    pub per_worker: Millis,
    /// Time for which a ticket holds.
    pub valid: Millis,
}

impl AdviceRule {
    /// Time that a call takes which names so many workers.
    pub fn takes(&self, workers: usize) -> Millis {
        let named = workers.min(NAMED) as u64;
        self.decision + Millis(self.per_worker.0 * named)
    }
}

/// Most workers that a call names: the size that callers' objectives allow for.
const NAMED: usize = 30;

/// Share of workers that are let through before any answer, in percent.
const SHARE: u64 = 50;

/// Lowest share that is reckoned with, in percent: a step that hardly any worker may run is
/// asked about in several calls.
const SHARE_MIN: u64 = 10;

/// Weight of one more answer in the share, one in this many.
const WEIGHT: u64 = 8;

/// Time before a ticket's end from which it is not used: its start is recorded and sent first.
const MARGIN: Millis = Millis(150);

/// Pause after a call that was turned away or got no answer.
const PAUSE: Millis = Millis(100);

/// Time after which an answer does not come any more, beyond twice what it takes.
const SLACK: Millis = Millis(500);

/// A call to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceOrder {
    /// The step.
    pub step: StepId,
    /// The workers that it names.
    pub workers: Vec<WorkerId>,
    /// Longest wait for the answer.
    pub wait: Millis,
    rule: AdviceRule,
}

/// The adviser's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Advised {
    /// The workers that may run the step, each with its ticket, and for how long these hold if
    /// the answer says so.
    Good(Vec<(WorkerId, String)>, Option<Millis>),
    /// No answer, or it was turned away; why.
    Failed(String),
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    /// Life of the worker that it is for.
    born: u64,
    until: Millis,
}

/// What is known of a step.
#[derive(Clone, Debug, Default)]
struct Known {
    good: Map<WorkerId, Option<Ticket>>,
    bad: Set<WorkerId>,
}

/// What the adviser has said so far.
#[derive(Debug)]
pub struct Advice {
    steps: Map<StepId, Known>,
    /// Calls to make, in the order in which the steps are served.
    wanted: Vec<AdviceOrder>,
    share: u64,
    going: bool,
    /// Whether the last call failed.
    failing: bool,
    not_before: Millis,
}

impl Default for Advice {
    fn default() -> Advice {
        Advice {
            steps: Map::default(),
            wanted: Vec::new(),
            share: SHARE,
            going: false,
            failing: false,
            not_before: Millis::ZERO,
        }
    }
}

impl Advice {
    /// Forgets steps of jobs that are over, and the calls wanted by the last pass.
    pub fn begin_pass(&mut self, is_live: impl Fn(&JobId) -> bool) {
        self.wanted.clear();
        if !self.steps.is_empty() {
            self.steps.retain(|step, _| is_live(&step.job));
        }
    }

    /// Workers with a ticket for the step that can still be used. `born` tells a worker's life.
    pub fn allowed(
        &self,
        step: &StepId,
        now: Millis,
        born: impl Fn(&WorkerId) -> u64,
    ) -> Set<WorkerId> {
        let known = self.steps.get(step).into_iter();
        let good = known.flat_map(|k| &k.good);
        let held = good.filter(|(id, ticket)| {
            let usable = |t: &Ticket| t.born == born(id) && now + MARGIN < t.until;
            ticket.as_ref().is_some_and(usable)
        });
        held.map(|(id, _)| id.clone()).collect()
    }

    /// The ticket for a step on a worker; empty without one.
    pub fn ticket(&self, step: &StepId, id: &WorkerId) -> String {
        let good = self.steps.get(step).and_then(|k| k.good.get(id));
        let ticket = good.and_then(Option::as_ref);
        ticket.map_or_else(String::new, |t| t.text.clone())
    }

    /// A worker did not take a ticket: it has to be asked for again.
    pub fn drop_ticket(&mut self, step: &StepId, id: &WorkerId) {
        if let Some(known) = self.steps.get_mut(step) {
            if let Some(ticket) = known.good.get_mut(id) {
                *ticket = None;
            }
        }
    }

    /// Notes that `count` tasks of a step have no worker with a ticket.
    pub fn want(
        &mut self,
        step: &StepId,
        rule: AdviceRule,
        rooms: &[Room],
        (spec, limits): (&StepSpec, &Limits),
        count: usize,
    ) {
        let held = limits.allowed.cloned().unwrap_or_default();
        let limits = Limits {
            allowed: None,
            ..*limits
        };
        let empty = Known::default();
        let known = self.steps.get(step).unwrap_or(&empty);
        let fitting = rooms.iter().enumerate().filter(|(num, room)| {
            is_eligible(room, *num, spec, &limits)
                && !known.bad.contains(&room.id)
                && !held.contains(&room.id)
        });
        let need = spec.occupies();
        let mut fitting: Vec<(&Room, u64, u64)> = fitting
            .map(|(_, room)| {
                let copies = |room: &_| {
                    let most = u64::from(spec.per_worker.unwrap_or(u32::MAX));
                    need.copies_in(room).min(most)
                };
                (room, copies(&room.free), copies(&room.capacity))
            })
            .collect();
        let is_good = |room: &Room| known.good.contains_key(&room.id);
        // A worker that may run the step is asked for again once it has room.
        fitting.retain(|(room, now, ever)| *ever > 0 && (*now > 0 || !is_good(room)));
        let mut in_rack: Map<Option<&str>, u64> = Map::default();
        for (room, now, _) in fitting.iter().filter(|_| spec.one_rack) {
            *in_rack.entry(room.rack.as_deref()).or_default() += now;
        }
        fitting.sort_by_key(|(room, now, _)| {
            let rack = in_rack.get(&room.rack.as_deref()).copied();
            let whole = Reverse(rack.unwrap_or_default());
            let far = !is_near(room, spec);
            (
                *now == 0,
                far,
                whole,
                !is_good(room),
                room.slowness,
                &room.id,
            )
        });
        let mut workers = Vec::new();
        let mut expected = 0;
        for (room, now, ever) in fitting {
            if expected >= 100 * count as u64 || workers.len() == NAMED {
                break;
            }
            let share = match is_good(room) {
                true => 100,
                false => self.share.max(SHARE_MIN),
            };
            expected += share * if now > 0 { now } else { ever };
            workers.push(room.id.clone());
        }
        if workers.is_empty() {
            return;
        }
        let takes = rule.takes(workers.len());
        self.wanted.push(AdviceOrder {
            step: step.clone(),
            workers,
            wait: takes + takes + SLACK,
            rule,
        });
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// The next call, if none is under way. [`Advice::answer`] follows.
    pub fn next(&mut self, now: Millis) -> Option<AdviceOrder> {
        if self.going || now < self.not_before || self.wanted.is_empty() {
            return None;
        }
        self.going = true;
        Some(self.wanted.remove(0))
    }

    /// Takes the answer to a call that was sent at `sent`.
    pub fn answer(
        &mut self,
        order: &AdviceOrder,
        answer: Advised,
        (sent, now): (Millis, Millis),
        born: impl Fn(&WorkerId) -> u64,
    ) {
        self.going = false;
        // What a pass wanted for this step meanwhile did not know the answer.
        self.wanted.retain(|w| w.step != order.step);
        self.failing = matches!(answer, Advised::Failed(_));
        let Advised::Good(good, valid) = answer else {
            self.not_before = now + PAUSE;
            return;
        };
        let named = order.workers.len().max(1) as u64;
        let share = (good.len() as u64 * 100 / named).min(100);
        self.share = (self.share * (WEIGHT - 1) + share) / WEIGHT;
        let known = self.steps.entry(order.step.clone()).or_default();
        let until = sent + valid.unwrap_or(order.rule.valid);
        known.bad.extend(order.workers.iter().cloned());
        for (id, text) in good {
            known.bad.remove(&id);
            let born = born(&id);
            known.good.insert(id, Some(Ticket { text, born, until }));
        }
    }
}
