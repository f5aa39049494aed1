//! Requests to an adviser, which decides on some queues which workers a step may use.
//!
//! Load pattern: many steps wait, the adviser answers one request at a time, and takes longer the
//! more workers a request names. A request that names every worker delays all other steps; one that
//! names just enough leaves tasks unplaced, since some workers are rejected. So a request names as
//! many workers as the tasks still need, divided by the share of workers approved so far.

use std::cmp::Reverse;

use base::JobId;
use base::Map;
use base::Millis;
use base::Set;
use base::WorkerId;

use crate::place::is_eligible;
use crate::place::is_near;
use crate::place::Candidate;
use crate::place::Limits;
use crate::spec::StepId;
use crate::spec::StepSpec;

/// Response times of an adviser, and how long its tickets are valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceRule {
    /// Base time of a request.
    pub decision: Millis,
    /// Additional time for each worker that a request names.
    pub per_worker: Millis,
    /// Time for which a ticket is valid.
    pub valid: Millis,
}

impl AdviceRule {
    /// Time that a request which names so many workers takes.
    pub fn call_time(&self, workers: usize) -> Millis {
        let named = workers.min(MAX_WORKERS) as u64;
        self.decision + Millis(self.per_worker.0 * named)
    }
}

/// Most workers in one request: the number that callers' objectives allow for.
const MAX_WORKERS: usize = 30;

/// Share of workers assumed to be approved before the first response, in percent.
const INITIAL_SHARE: u64 = 50;

/// Lowest share that is assumed, in percent. A step that hardly any worker may run takes several
/// requests.
const MIN_SHARE: u64 = 10;

/// Weight of a new response in the moving average of the share: one in this many.
const AVERAGE_WEIGHT: u64 = 8;

/// A ticket is not used this close to its end, because the start is recorded and sent first.
const TICKET_MARGIN: Millis = Millis(150);

/// Number of responses to a step with rows that cannot be read after which the rows that can be decide.
const MAX_PARTIAL: u32 = 3;

/// Pause after a request that was refused or not answered.
const FAILURE_PAUSE: Millis = Millis(100);

/// A request times out after twice its expected time plus this.
const TIMEOUT_SLACK: Millis = Millis(500);

/// A request to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step to be placed.
    pub step: StepId,
    /// The workers to decide on.
    pub workers: Vec<WorkerId>,
    /// Longest wait for the response.
    pub wait: Millis,
    rule: AdviceRule,
    /// Whether there are free resources for the step, if all workers are approved.
    has_room: bool,
}

/// The adviser's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdviceResponse {
    /// The approved workers, each with its ticket, and the validity of the tickets if the response
    /// gives one.
    Approved(Vec<(WorkerId, String)>, Option<Millis>),
    /// The same where some rows cannot be read, and what is wrong with the first of them.
    Partial(Vec<(WorkerId, String)>, Option<Millis>, String),
    /// The request was refused or not answered. Holds the reason.
    Failed(String),
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    /// Incarnation of the worker that the ticket was issued for.
    born: u64,
    valid_until: Millis,
}

impl Ticket {
    fn is_usable(&self, born: u64, now: Millis) -> bool {
        self.born == born && now + TICKET_MARGIN < self.valid_until
    }
}

/// Responses on one step: approved workers with their ticket (`None` once the worker has refused
/// it), and rejected ones.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    approved: Map<WorkerId, Option<Ticket>>,
    rejected: Set<WorkerId>,
    /// Number of responses with rows that cannot be read.
    partial: u32,
}

/// All responses of the adviser, and the requests still to be sent.
#[derive(Debug)]
pub struct Advice {
    steps: Map<StepId, StepAdvice>,
    /// Requests to send, in the ranking of their steps; first those of steps with room.
    queued: Vec<AdviceRequest>,
    share: u64,
    /// The incarnations that the workers of the request in flight had when it was sent.
    in_flight: Option<Map<WorkerId, u64>>,
    /// Whether the last request failed.
    failing: bool,
    not_before: Millis,
}

impl Default for Advice {
    fn default() -> Advice {
        Advice {
            steps: Map::default(),
            queued: Vec::new(),
            share: INITIAL_SHARE,
            in_flight: None,
            failing: false,
            not_before: Millis::ZERO,
        }
    }
}

impl Advice {
    /// Drops the responses on steps of ended jobs, and the requests that the last pass queued.
    pub fn begin_pass(&mut self, is_live: impl Fn(&JobId) -> bool) {
        self.queued.clear();
        if !self.steps.is_empty() {
            self.steps.retain(|step, _| is_live(&step.job));
        }
    }

    /// Workers with a valid ticket for the step. `born` returns a worker's current incarnation.
    pub fn allowed(
        &self,
        step: &StepId,
        now: Millis,
        born: impl Fn(&WorkerId) -> u64,
    ) -> Set<WorkerId> {
        let advice = self.steps.get(step).into_iter();
        let approved = advice.flat_map(|a| &a.approved);
        let ticketed = approved.filter(|(id, ticket)| {
            let ticket = ticket.as_ref();
            ticket.is_some_and(|t| t.is_usable(born(id), now))
        });
        ticketed.map(|(id, _)| id.clone()).collect()
    }

    /// Whether there is a valid ticket for a step on a worker's incarnation.
    pub fn has_ticket(&self, step: &StepId, id: &WorkerId, now: Millis, born: u64) -> bool {
        let approved = self.steps.get(step).and_then(|a| a.approved.get(id));
        let ticket = approved.and_then(Option::as_ref);
        ticket.is_some_and(|t| t.is_usable(born, now))
    }

    /// Whether the adviser has rejected a worker for a step.
    pub fn is_rejected(&self, step: &StepId, id: &WorkerId) -> bool {
        let advice = self.steps.get(step);
        advice.is_some_and(|a| a.rejected.contains(id))
    }

    /// The ticket for a step on a worker; empty if there is none.
    pub fn ticket(&self, step: &StepId, id: &WorkerId) -> String {
        let approved = self.steps.get(step).and_then(|a| a.approved.get(id));
        let ticket = approved.and_then(Option::as_ref);
        ticket.map_or_else(String::new, |t| t.text.clone())
    }

    /// Discards a ticket that the worker refused; a new one has to be requested.
    pub fn drop_ticket(&mut self, step: &StepId, id: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(step) {
            if let Some(ticket) = advice.approved.get_mut(id) {
                *ticket = None;
            }
        }
    }

    /// Queues a request for `count` tasks of a step that have no worker with a valid ticket. It goes before
    /// those of steps without room: they may wait for longer than a ticket is valid, and would ask again
    /// and again before all others.
    pub fn enqueue(
        &mut self,
        step: &StepId,
        rule: AdviceRule,
        candidates: &[Candidate],
        (spec, limits): (&StepSpec, &Limits),
        count: usize,
    ) {
        let ticketed = limits.allowed.cloned().unwrap_or_default();
        let limits = Limits {
            allowed: None,
            ..*limits
        };
        let empty = StepAdvice::default();
        let advice = self.steps.get(step).unwrap_or(&empty);
        let eligible = candidates.iter().enumerate().filter(|(num, candidate)| {
            is_eligible(candidate, *num, spec, &limits) && !advice.rejected.contains(&candidate.id)
        });
        let need = spec.occupies();
        let slots = |resources: &_| {
            let most = u64::from(spec.per_worker.unwrap_or(u32::MAX));
            need.count_fitting(resources).min(most)
        };
        let room = eligible.clone().map(|(_, c)| slots(&c.free));
        let room = room.fold(0, u64::saturating_add);
        let together = if spec.gang { count as u64 } else { 1 };
        let has_room = room >= together;
        let mut eligible: Vec<(&Candidate, u64, u64)> = eligible
            .filter(|(_, candidate)| !ticketed.contains(&candidate.id))
            .map(|(_, candidate)| {
                (
                    candidate,
                    slots(&candidate.free),
                    slots(&candidate.capacity),
                )
            })
            .collect();
        let is_approved = |candidate: &Candidate| advice.approved.contains_key(&candidate.id);
        // An approved worker without a valid ticket is named again only once it has free resources.
        eligible.retain(|(candidate, free_slots, total_slots)| {
            *total_slots > 0 && (*free_slots > 0 || !is_approved(candidate))
        });
        let mut in_rack: Map<Option<&str>, u64> = Map::default();
        for (candidate, free_slots, _) in eligible.iter().filter(|_| spec.one_rack) {
            *in_rack.entry(candidate.rack.as_deref()).or_default() += free_slots;
        }
        eligible.sort_by_key(|(candidate, free_slots, _)| {
            let rack = in_rack.get(&candidate.rack.as_deref()).copied();
            let whole = Reverse(rack.unwrap_or_default());
            let far = !is_near(candidate, spec);
            (
                *free_slots == 0,
                far,
                whole,
                !is_approved(candidate),
                candidate.penalty,
                &candidate.id,
            )
        });
        let mut workers = Vec::new();
        let mut expected = 0;
        for (candidate, free_slots, total_slots) in eligible {
            if expected >= 100 * count as u64 || workers.len() == MAX_WORKERS {
                break;
            }
            let share = match is_approved(candidate) {
                true => 100,
                false => self.share.max(MIN_SHARE),
            };
            expected += share
                * if free_slots > 0 {
                    free_slots
                } else {
                    total_slots
                };
            workers.push(candidate.id.clone());
        }
        if !workers.is_empty() {
            self.insert(step, rule, workers, has_room);
        }
    }

    /// Queues a request for a ticket on the worker of an open run, as the run's start is to be requested again.
    pub fn enqueue_repeat(&mut self, step: &StepId, rule: AdviceRule, id: &WorkerId) {
        self.insert(step, rule, vec![id.clone()], true);
    }

    fn insert(&mut self, step: &StepId, rule: AdviceRule, workers: Vec<WorkerId>, has_room: bool) {
        let expected_time = rule.call_time(workers.len());
        let request = AdviceRequest {
            step: step.clone(),
            workers,
            wait: expected_time + expected_time + TIMEOUT_SLACK,
            rule,
            has_room,
        };
        let place = match has_room {
            true => self.queued.partition_point(|r| r.has_room),
            false => self.queued.len(),
        };
        self.queued.insert(place, request);
    }

    /// Whether the last request failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// The next request, unless one is in flight. Its response is passed to
    /// [`Advice::apply_response`]. `born` returns a worker's current incarnation.
    pub fn next(&mut self, now: Millis, born: impl Fn(&WorkerId) -> u64) -> Option<AdviceRequest> {
        if self.in_flight.is_some() || now < self.not_before || self.queued.is_empty() {
            return None;
        }
        let request = self.queued.remove(0);
        let lives = request.workers.iter().map(|id| (id.clone(), born(id)));
        self.in_flight = Some(lives.collect());
        Some(request)
    }

    /// Processes the response to a request that was sent at `sent`.
    pub fn apply_response(
        &mut self,
        request: &AdviceRequest,
        response: AdviceResponse,
        (sent, now): (Millis, Millis),
        born: impl Fn(&WorkerId) -> u64,
    ) {
        let lives = self.in_flight.take().unwrap_or_default();
        // Requests queued for this step while this one was in flight did not consider its response.
        self.queued.retain(|r| r.step != request.step);
        self.failing = matches!(response, AdviceResponse::Failed(_));
        let (approved, valid, is_partial) = match response {
            AdviceResponse::Approved(approved, valid) => (approved, valid, false),
            AdviceResponse::Partial(approved, valid, _) => (approved, valid, true),
            AdviceResponse::Failed(_) => {
                self.not_before = now + FAILURE_PAUSE;
                return;
            }
        };
        let named = request.workers.len().max(1) as u64;
        let share = (approved.len() as u64 * 100 / named).min(100);
        self.share = (self.share * (AVERAGE_WEIGHT - 1) + share) / AVERAGE_WEIGHT;
        let advice = self.steps.entry(request.step.clone()).or_default();
        let valid_until = sent + valid.unwrap_or(request.rule.valid);
        // A row that cannot be read may approve any worker that no other row names, so these are asked
        // about again.
        if is_partial && advice.partial < MAX_PARTIAL {
            advice.partial += 1;
            self.not_before = now + FAILURE_PAUSE;
        } else {
            advice.rejected.extend(request.workers.iter().cloned());
        }
        for (id, text) in approved {
            advice.rejected.remove(&id);
            let born = born(&id);
            let ticket = Ticket {
                text,
                born,
                valid_until,
            };
            // A worker that was restarted meanwhile may have been so after the ticket was issued.
            let is_current = lives.get(&id).is_none_or(|b| *b == born);
            advice.approved.insert(id, is_current.then_some(ticket));
        }
    }
}
