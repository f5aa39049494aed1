//! Decides which upstream serves a request, which request waits and which is refused.

use std::collections::BTreeMap;

use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::WorkerId;
use rand::Rng;

use crate::config::Config;
use crate::fair::FairQueue;
use crate::fair::Waiting;
use crate::pool::Pool;
use crate::pool::Upstream;
use crate::pool::UpstreamStatus;

/// Weight of the newest span in the moving average of the time between completions.
const DRAIN_WEIGHT: f64 = 0.05;

/// Shortest and longest time to come back that a refusal tells.
const RETRY_MIN: Millis = Millis(50);
const RETRY_MAX: Millis = Millis(5_000);

/// Names one send of a request while it waits or is in progress.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that wants an upstream.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its ticket, never used before.
    pub ticket: Ticket,
    /// The organisation it is for.
    pub org: OrgId,
    /// The service it wants.
    pub service: ServiceId,
    /// When its caller gives up.
    pub deadline: Millis,
    /// Upstreams that have failed it already.
    pub avoid: Vec<WorkerId>,
}

/// How a send ended, as far as the upstream can be blamed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// Refused for want of a slot; the request waits for another upstream under the same
    /// ticket.
    Busy,
    /// It failed: an error answer, a refused connection, a late or broken answer.
    Failed,
    /// It says that it is leaving.
    Leaving,
    /// Served.
    Served,
    /// The connection broke or went silent; the upstream itself may be sound.
    Unproved,
}

/// Why a request was refused. In each case nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// The caller's deadline would pass first.
    Deadline,
    /// No upstream offers the service.
    NoService,
    /// The queue is full.
    QueueFull,
    /// No upstream became free within the longest wait.
    Waited,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request wants an upstream.
    Ask(Ask),
    /// Its caller has gone while it waited.
    Cancel(Ticket),
    /// A send ended.
    Done {
        /// The ticket it was sent under.
        ticket: Ticket,
        /// How it ended.
        result: SendResult,
    },
    /// Time passed.
    Tick,
    /// The platform's list of upstreams.
    Upstreams(Vec<Upstream>),
    /// Weights of the organisations; 1 for those not named.
    Weights(Map<OrgId, f64>),
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// An upstream was isolated.
    Isolated(WorkerId),
    /// Refuse the request at once: it did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        why: Why,
        /// When the caller may come back.
        retry: Millis,
    },
    /// An isolated upstream serves again.
    Restored(WorkerId),
    /// Send the request to an upstream.
    Send {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: WorkerId,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub upstream: WorkerId,
    pub sent: Millis,
    /// The request as it waited, to wait again if the upstream has no slot.
    pub waited: Waiting,
}

/// The request policy of one entry VM.
#[derive(Clone, Debug)]
pub struct Balancer<R> {
    pub(crate) config: Config,
    pub(crate) pool: Pool,
    /// Waiting requests by service.
    pub(crate) queues: BTreeMap<ServiceId, FairQueue>,
    weights: Map<OrgId, f64>,
    pub(crate) flights: Map<Ticket, Flight>,
    rng: R,
    /// Moving average of the milliseconds between completions.
    gap: f64,
    completed: Millis,
}

impl<R: Rng> Balancer<R> {
    /// A balancer without upstreams.
    pub fn new(config: Config, rng: R) -> Balancer<R> {
        Balancer {
            config,
            pool: Pool::default(),
            queues: BTreeMap::new(),
            weights: Map::default(),
            flights: Map::default(),
            rng,
            gap: 1.0,
            completed: Millis::ZERO,
        }
    }

    /// Handles one input.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Ask(ask) => self.ask(now, ask, &mut actions),
            Input::Cancel(ticket) => self.cancel(ticket),
            Input::Done { ticket, result } => self.done(now, ticket, result, &mut actions),
            Input::Tick => self.expire(now, &mut actions),
            Input::Upstreams(list) => self.pool.update(list, &self.config.domain),
            Input::Weights(weights) => self.set_weights(weights),
        }
        self.drain(now, &mut actions);
        actions
    }

    /// What operators see of the upstreams.
    pub fn status(&self) -> Vec<UpstreamStatus> {
        self.pool.members().iter().map(|m| m.status()).collect()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Requests sent and not ended.
    pub fn in_progress(&self) -> usize {
        self.flights.len()
    }

    fn set_weights(&mut self, weights: Map<OrgId, f64>) {
        for queue in self.queues.values_mut() {
            queue.set_weights(weights.clone());
        }
        self.weights = weights;
    }

    fn cancel(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut() {
            queue.take_if(|w| w.ask.ticket == ticket);
        }
    }

    fn ask(&mut self, now: Millis, ask: Ask, actions: &mut Vec<Action>) {
        let wait = self.expected_wait(&ask.service, &ask.org);
        if let Some(why) = self.refusal(now, &ask, wait) {
            return actions.push(refuse(ask.ticket, why, wait));
        }
        if self.waiting() >= self.config.queue {
            match self.make_room(&ask) {
                Some(other) => actions.push(refuse(other.ask.ticket, Why::QueueFull, wait)),
                None => return actions.push(refuse(ask.ticket, Why::QueueFull, wait)),
            }
        }
        self.enqueue(now, ask);
    }

    /// A request that would wait for more than half of its time is refused at once, so that
    /// what is sent is still wanted when it is answered.
    fn refusal(&self, now: Millis, ask: &Ask, wait: Millis) -> Option<Why> {
        if !self.pool.has(&ask.service) {
            return Some(Why::NoService);
        }
        let late = now + wait + wait >= ask.deadline;
        late.then_some(Why::Deadline)
    }

    /// Takes the newest request of the longest queue out, if the organisation of `ask` has
    /// less than its share of the places.
    fn make_room(&mut self, ask: &Ask) -> Option<Waiting> {
        let places = self.config.queue as f64;
        let queue = self.queues.get_mut(&ask.service)?;
        let own = queue.lane_len(&ask.org) as f64;
        if own >= places * queue.share(&ask.org) {
            return None;
        }
        queue.drop_longest()
    }

    fn enqueue(&mut self, now: Millis, ask: Ask) {
        let service = ask.service.clone();
        self.queue_of(&service).push(Waiting { ask, since: now });
    }

    fn done(&mut self, now: Millis, ticket: Ticket, result: SendResult, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        let share = self.config.isolated_share;
        let rule = self.config.isolation_rule();
        let service = self.service_of(&flight.upstream);
        let may = service.is_some_and(|s| self.pool.may_isolate(&s, share));
        let Some(member) = self.pool.get_mut(&flight.upstream) else {
            return;
        };
        let busy = member.busy;
        member.busy = busy.saturating_sub(1);
        let before = member.health.is_isolated();
        match result {
            SendResult::Busy => {
                member.refused_for_slot(now);
                member.health.unproved(now);
            }
            SendResult::Failed => member.health.bad(now, &rule, may),
            SendResult::Leaving => member.upstream.standing = crate::pool::Standing::Leaving,
            SendResult::Served => {
                member.answered(now.since(flight.sent));
                member.limit.grow(busy);
                member.health.good();
            }
            SendResult::Unproved => member.health.unproved(now),
        }
        match (before, member.health.is_isolated()) {
            (false, true) => actions.push(Action::Isolated(flight.upstream)),
            (true, false) => actions.push(Action::Restored(flight.upstream)),
            _ => {}
        }
        match result {
            SendResult::Busy => self.wait_again(flight.waited),
            _ => self.completion(now),
        }
    }

    /// Puts a request that found no slot back at the head of its organisation's queue.
    fn wait_again(&mut self, waiting: Waiting) {
        self.queue_of(&waiting.ask.service).push_front(waiting);
    }

    fn queue_of(&mut self, service: &ServiceId) -> &mut FairQueue {
        let weights = &self.weights;
        let queue = self.queues.entry(service.clone());
        queue.or_insert_with(|| FairQueue::new(weights.clone()))
    }

    fn service_of(&mut self, id: &WorkerId) -> Option<ServiceId> {
        self.pool.get_mut(id).map(|m| m.upstream.service.clone())
    }

    fn completion(&mut self, now: Millis) {
        let gap = now.since(self.completed).0 as f64;
        self.completed = now;
        self.gap += DRAIN_WEIGHT * (gap.min(1_000.0) - self.gap);
    }

    /// Refuses what has waited too long or has missed its deadline.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let longest = self.config.wait;
        let mut overdue = Vec::new();
        for queue in self.queues.values_mut() {
            overdue.extend(queue.take_if(|w| w.is_overdue(now, longest)));
        }
        for waiting in overdue {
            actions.push(self.refuse_overdue(now, waiting));
        }
        self.queues.retain(|_, queue| queue.len() > 0);
    }

    fn refuse_overdue(&self, now: Millis, waiting: Waiting) -> Action {
        let ask = waiting.ask;
        let late = ask.deadline <= now;
        let why = if late { Why::Deadline } else { Why::Waited };
        refuse(ask.ticket, why, self.expected_wait(&ask.service, &ask.org))
    }

    /// Sends waiting requests as long as upstreams are free.
    fn drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(action) = self.drain_one(now, &service) {
                actions.push(action);
            }
        }
    }

    fn drain_one(&mut self, now: Millis, service: &ServiceId) -> Option<Action> {
        let longest = self.config.wait;
        let queue = self.queues.get_mut(service)?;
        if queue.peek()?.is_overdue(now, longest) {
            let waiting = queue.pop()?;
            return Some(self.refuse_overdue(now, waiting));
        }
        let avoid = &queue.peek()?.ask.avoid;
        let picked = self.pool.pick(now, service, avoid, &mut self.rng);
        let picked = picked.or_else(|| self.pool.pick(now, service, &[], &mut self.rng));
        let upstream = picked?;
        let waiting = queue.pop()?;
        Some(self.send(now, waiting, upstream))
    }

    fn send(&mut self, now: Millis, waited: Waiting, upstream: WorkerId) -> Action {
        let ticket = waited.ask.ticket;
        if let Some(member) = self.pool.get_mut(&upstream) {
            member.busy += 1;
            member.health.sent(now);
        }
        let flight = Flight {
            upstream: upstream.clone(),
            sent: now,
            waited,
        };
        self.flights.insert(ticket, flight);
        Action::Send { ticket, upstream }
    }

    /// Time until a request of `org` that queues now is sent.
    fn expected_wait(&self, service: &ServiceId, org: &OrgId) -> Millis {
        let Some(queue) = self.queues.get(service) else {
            return Millis::ZERO;
        };
        let ahead = queue.lane_len(org) as f64;
        Millis((ahead * self.gap / queue.share(org)) as u64)
    }
}

fn refuse(ticket: Ticket, why: Why, wait: Millis) -> Action {
    Action::Refuse {
        ticket,
        why,
        retry: wait.clamp(RETRY_MIN, RETRY_MAX),
    }
}
