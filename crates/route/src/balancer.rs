//! Load balancer: assigns requests to upstreams, queues them or refuses them.

use std::collections::BTreeMap;

use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::WorkerId;
use rand::Rng;

use crate::config::Config;
use crate::fair::FairQueue;
use crate::fair::QueuedRequest;
use crate::pool::Pool;
use crate::pool::Upstream;
use crate::pool::UpstreamStatus;

/// Weight of the newest sample in the moving average of the time between completions.
const GAP_WEIGHT: f64 = 0.05;

/// Limits of the retry delay given with a refusal.
const MIN_RETRY_DELAY: Millis = Millis(50);
const MAX_RETRY_DELAY: Millis = Millis(5_000);

/// Id of one send of a request, while it waits or is in progress.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Ticket of this send; must not be reused.
    pub ticket: Ticket,
    /// Organisation on whose behalf the request is made.
    pub org: OrgId,
    /// Requested service.
    pub service: ServiceId,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    /// Upstreams that have already failed this request; used only if no other is available.
    pub avoid: Vec<WorkerId>,
}

/// Result of a send, as evidence about the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The upstream had no free slot; the request is queued again under the same ticket.
    Busy,
    /// The upstream failed: an error response, a refused connection, or a late or malformed
    /// response.
    Failed,
    /// The upstream reported that it is leaving.
    Leaving,
    /// The request succeeded.
    Served,
    /// The connection broke or stalled, which does not show that the upstream is unhealthy.
    Inconclusive,
}

/// Reason for a refusal. A refused request was not sent to any upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The deadline has passed or would pass before an upstream is free.
    Deadline,
    /// No upstream offers the service.
    NoService,
    /// The queue is full.
    QueueFull,
    /// No upstream became free within the longest allowed wait.
    Waited,
}

/// Inputs of a [`Balancer`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A request is to be sent.
    Request(Request),
    /// The caller of a queued request has disconnected.
    Cancel(Ticket),
    /// A send has ended.
    Done {
        /// Ticket of the send.
        ticket: Ticket,
        /// Result of the send.
        result: SendResult,
    },
    /// Timer tick.
    Tick,
    /// A new list of upstreams from the platform.
    Upstreams(Vec<Upstream>),
    /// Weights of the organisations; 1 for those not listed.
    Weights(Map<OrgId, f64>),
}

/// Actions of a [`Balancer`], to be performed by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Reports that an upstream has been isolated.
    Isolated(WorkerId),
    /// Refuses a request, which was not sent.
    Refuse {
        /// Ticket of the request.
        ticket: Ticket,
        /// Reason of the refusal.
        why: RefusalReason,
        /// Delay after which the caller may retry.
        retry: Millis,
    },
    /// Reports that an isolated upstream is back in service.
    Restored(WorkerId),
    /// Sends a request to an upstream.
    Send {
        /// Ticket of the request.
        ticket: Ticket,
        /// Upstream to send to.
        upstream: WorkerId,
    },
}

/// A request that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub upstream: WorkerId,
    pub sent: Millis,
    /// The request, which is queued again if the upstream has no free slot.
    pub queued: QueuedRequest,
}

/// Load balancer of one entry VM.
#[derive(Clone, Debug)]
pub struct Balancer<R> {
    pub(crate) config: Config,
    pub(crate) pool: Pool,
    /// Queued requests by service.
    pub(crate) queues: BTreeMap<ServiceId, FairQueue>,
    weights: Map<OrgId, f64>,
    pub(crate) in_flight: Map<Ticket, InFlight>,
    rng: R,
    /// Moving average of the time between completions, in milliseconds.
    mean_gap: f64,
    last_completion: Millis,
}

impl<R: Rng> Balancer<R> {
    /// Creates a balancer without upstreams.
    pub fn new(config: Config, rng: R) -> Balancer<R> {
        Balancer {
            config,
            pool: Pool::default(),
            queues: BTreeMap::new(),
            weights: Map::default(),
            in_flight: Map::default(),
            rng,
            mean_gap: 1.0,
            last_completion: Millis::ZERO,
        }
    }

    /// Handles one input and returns the actions to perform.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Request(request) => self.admit(now, request, &mut actions),
            Input::Cancel(ticket) => self.cancel(ticket),
            Input::Done { ticket, result } => self.done(now, ticket, result, &mut actions),
            Input::Tick => self.expire(now, &mut actions),
            Input::Upstreams(list) => self.pool.update(list, &self.config.domain),
            Input::Weights(weights) => self.set_weights(weights),
        }
        self.drain(now, &mut actions);
        actions
    }

    /// Status of the upstreams for operators.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        self.pool.members().iter().map(|m| m.status()).collect()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_flight.len()
    }

    fn set_weights(&mut self, weights: Map<OrgId, f64>) {
        for queue in self.queues.values_mut() {
            queue.set_weights(weights.clone());
        }
        self.weights = weights;
    }

    fn cancel(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut() {
            queue.remove_if(|w| w.request.ticket == ticket);
        }
    }

    fn admit(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let wait = self.expected_wait(&request.service, &request.org);
        if let Some(why) = self.refusal(now, &request, wait) {
            return actions.push(refuse(request.ticket, why, wait));
        }
        if self.queued() >= self.config.max_queued {
            match self.evict_for(&request) {
                Some(other) => {
                    actions.push(refuse(other.request.ticket, RefusalReason::QueueFull, wait))
                }
                None => {
                    return actions.push(refuse(request.ticket, RefusalReason::QueueFull, wait))
                }
            }
        }
        self.enqueue(now, request);
    }

    /// Refuses a request whose expected wait is at least half of the time to its deadline, so
    /// that a request that is sent can still complete in time.
    fn refusal(&self, now: Millis, request: &Request, wait: Millis) -> Option<RefusalReason> {
        if !self.pool.has_service(&request.service) {
            return Some(RefusalReason::NoService);
        }
        let too_late = now + wait + wait >= request.deadline;
        too_late.then_some(RefusalReason::Deadline)
    }

    /// Evicts the newest request of the organisation with the most queued requests, if the
    /// organisation of `request` uses less than its share of the queue.
    fn evict_for(&mut self, request: &Request) -> Option<QueuedRequest> {
        let places = self.config.max_queued as f64;
        let queue = self.queues.get_mut(&request.service)?;
        let own = queue.org_len(&request.org) as f64;
        if own >= places * queue.share(&request.org) {
            return None;
        }
        queue.pop_longest()
    }

    fn enqueue(&mut self, now: Millis, request: Request) {
        let service = request.service.clone();
        self.queue_of(&service).push(QueuedRequest {
            request,
            since: now,
        });
    }

    fn done(&mut self, now: Millis, ticket: Ticket, result: SendResult, actions: &mut Vec<Action>) {
        let Some(sent_request) = self.in_flight.remove(&ticket) else {
            return;
        };
        let share = self.config.isolated_share;
        let rule = self.config.isolation_rule();
        let service = self.service_of(&sent_request.upstream);
        let may_isolate = service.is_some_and(|s| self.pool.may_isolate(&s, share));
        let Some(member) = self.pool.get_mut(&sent_request.upstream) else {
            return;
        };
        let busy = member.busy;
        member.busy = busy.saturating_sub(1);
        let was_isolated = member.health.is_isolated();
        match result {
            SendResult::Busy => {
                member.record_full(now);
                member.health.on_inconclusive(now);
            }
            SendResult::Failed => member.health.on_failure(now, &rule, may_isolate),
            SendResult::Leaving => {
                member.upstream.availability = crate::pool::Availability::Leaving
            }
            SendResult::Served => {
                member.record_latency(now.since(sent_request.sent));
                member.limit.grow(busy);
                member.health.on_success();
            }
            SendResult::Inconclusive => member.health.on_inconclusive(now),
        }
        match (was_isolated, member.health.is_isolated()) {
            (false, true) => actions.push(Action::Isolated(sent_request.upstream)),
            (true, false) => actions.push(Action::Restored(sent_request.upstream)),
            _ => {}
        }
        match result {
            SendResult::Busy => self.requeue(sent_request.queued),
            _ => self.record_completion(now),
        }
    }

    /// Returns a request that found no free slot to the head of its organisation's queue.
    fn requeue(&mut self, queued: QueuedRequest) {
        self.queue_of(&queued.request.service).push_front(queued);
    }

    fn queue_of(&mut self, service: &ServiceId) -> &mut FairQueue {
        let weights = &self.weights;
        let queue = self.queues.entry(service.clone());
        queue.or_insert_with(|| FairQueue::new(weights.clone()))
    }

    fn service_of(&mut self, id: &WorkerId) -> Option<ServiceId> {
        self.pool.get_mut(id).map(|m| m.upstream.service.clone())
    }

    fn record_completion(&mut self, now: Millis) {
        let gap = now.since(self.last_completion).0 as f64;
        self.last_completion = now;
        self.mean_gap += GAP_WEIGHT * (gap.min(1_000.0) - self.mean_gap);
    }

    /// Refuses requests that have waited too long or missed their deadline.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let max_wait = self.config.max_wait;
        let mut overdue = Vec::new();
        for queue in self.queues.values_mut() {
            overdue.extend(queue.remove_if(|w| w.is_overdue(now, max_wait)));
        }
        for queued in overdue {
            actions.push(self.refuse_overdue(now, queued));
        }
        self.queues.retain(|_, queue| queue.len() > 0);
    }

    fn refuse_overdue(&self, now: Millis, queued: QueuedRequest) -> Action {
        let request = queued.request;
        let expired = request.deadline <= now;
        let why = if expired {
            RefusalReason::Deadline
        } else {
            RefusalReason::Waited
        };
        refuse(
            request.ticket,
            why,
            self.expected_wait(&request.service, &request.org),
        )
    }

    /// Sends queued requests while upstreams are free.
    fn drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(action) = self.drain_one(now, &service) {
                actions.push(action);
            }
        }
    }

    fn drain_one(&mut self, now: Millis, service: &ServiceId) -> Option<Action> {
        let max_wait = self.config.max_wait;
        let queue = self.queues.get_mut(service)?;
        if queue.peek()?.is_overdue(now, max_wait) {
            let queued = queue.pop()?;
            return Some(self.refuse_overdue(now, queued));
        }
        let avoid = &queue.peek()?.request.avoid;
        let picked = self.pool.pick(now, service, avoid, &mut self.rng);
        let picked = picked.or_else(|| self.pool.pick(now, service, &[], &mut self.rng));
        let upstream = picked?;
        let queued = queue.pop()?;
        Some(self.send(now, queued, upstream))
    }

    fn send(&mut self, now: Millis, queued: QueuedRequest, upstream: WorkerId) -> Action {
        let ticket = queued.request.ticket;
        if let Some(member) = self.pool.get_mut(&upstream) {
            member.busy += 1;
            member.health.on_sent(now);
        }
        let sent_request = InFlight {
            upstream: upstream.clone(),
            sent: now,
            queued,
        };
        self.in_flight.insert(ticket, sent_request);
        Action::Send { ticket, upstream }
    }

    /// Expected time until a request of `org` that is queued now is sent.
    fn expected_wait(&self, service: &ServiceId, org: &OrgId) -> Millis {
        let Some(queue) = self.queues.get(service) else {
            return Millis::ZERO;
        };
        let ahead = queue.org_len(org) as f64;
        Millis((ahead * self.mean_gap / queue.share(org)) as u64)
    }
}

fn refuse(ticket: Ticket, why: RefusalReason, wait: Millis) -> Action {
    Action::Refuse {
        ticket,
        why,
        retry: wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
    }
}
