//! Weighted fair queueing of requests over organisations.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::Map;
use base::Millis;
use base::OrgId;

use crate::balancer::Request;
use crate::balancer::Ticket;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: Request,
    pub since: Millis,
}

impl QueuedRequest {
    /// Whether the deadline has passed or the request has waited for at least `max_wait`.
    pub fn is_overdue(&self, now: Millis, max_wait: Millis) -> bool {
        self.request.deadline <= now || now.since(self.since) >= max_wait
    }
}

/// Queued requests of one organisation.
#[derive(Clone, Debug, Default)]
struct OrgQueue {
    requests: VecDeque<QueuedRequest>,
    /// Number of requests taken so far, divided by the weight of the organisation.
    virtual_time: f64,
}

/// Weighted fair queue: one FIFO queue per organisation, served in order of virtual time.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    org_queues: BTreeMap<OrgId, OrgQueue>,
    weights: Map<OrgId, f64>,
    /// Virtual time of the queue that the last request was taken from.
    clock: f64,
    len: usize,
}

impl FairQueue {
    pub fn new(weights: Map<OrgId, f64>) -> FairQueue {
        FairQueue {
            weights,
            ..FairQueue::default()
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn org_len(&self, org: &OrgId) -> usize {
        self.org_queues
            .get(org)
            .map_or(0, |org_queue| org_queue.requests.len())
    }

    pub fn set_weights(&mut self, weights: Map<OrgId, f64>) {
        self.weights = weights;
    }

    /// Share of the capacity that `org` gets among the organisations with queued requests.
    pub fn share(&self, org: &OrgId) -> f64 {
        let others = self.org_queues.keys().filter(|o| *o != org);
        let rest: f64 = others.map(|o| self.weight(o)).sum();
        let own = self.weight(org);
        own / (own + rest)
    }

    pub fn push(&mut self, queued: QueuedRequest) {
        let clock = self.clock;
        let org_queue = self
            .org_queues
            .entry(queued.request.org.clone())
            .or_default();
        if org_queue.requests.is_empty() {
            org_queue.virtual_time = org_queue.virtual_time.max(clock);
        }
        org_queue.requests.push_back(queued);
        self.len += 1;
    }

    /// Returns a request that was taken but could not be served to the head of its queue, and
    /// refunds the virtual time that taking it has cost.
    pub fn push_front(&mut self, queued: QueuedRequest) {
        let weight = self.weight(&queued.request.org);
        let clock = self.clock;
        let org_queue = self
            .org_queues
            .entry(queued.request.org.clone())
            .or_default();
        if org_queue.requests.is_empty() {
            org_queue.virtual_time = clock;
        } else {
            org_queue.virtual_time -= 1.0 / weight;
        }
        org_queue.requests.push_front(queued);
        self.len += 1;
    }

    /// Takes the next request in weighted fair order.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let org = self.next_org()?;
        let weight = self.weight(&org);
        let org_queue = self.org_queues.get_mut(&org)?;
        let queued = org_queue.requests.pop_front()?;
        self.clock = org_queue.virtual_time;
        org_queue.virtual_time += 1.0 / weight;
        if org_queue.requests.is_empty() {
            self.org_queues.remove(&org);
        }
        self.len -= 1;
        Some(queued)
    }

    /// Removes the newest request of the organisation with the most queued requests.
    pub fn pop_longest(&mut self) -> Option<QueuedRequest> {
        let longest = self
            .org_queues
            .values_mut()
            .max_by_key(|org_queue| org_queue.requests.len())?;
        let queued = longest.requests.pop_back()?;
        self.len -= 1;
        self.org_queues
            .retain(|_, org_queue| !org_queue.requests.is_empty());
        Some(queued)
    }

    /// The request that [`FairQueue::pop`] would take.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let org = self.next_org()?;
        self.org_queues.get(&org)?.requests.front()
    }

    /// Removes and returns the requests for which `predicate` returns true.
    pub fn remove_if(&mut self, predicate: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for org_queue in self.org_queues.values_mut() {
            let (matching, keep) = org_queue.requests.drain(..).partition(|w| predicate(w));
            org_queue.requests = keep;
            removed.extend::<VecDeque<QueuedRequest>>(matching);
        }
        self.org_queues
            .retain(|_, org_queue| !org_queue.requests.is_empty());
        self.len -= removed.len();
        removed
    }

    /// Tickets of all queued requests, in no particular order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        let all = self
            .org_queues
            .values()
            .flat_map(|org_queue| &org_queue.requests);
        all.map(|w| w.request.ticket)
    }

    fn next_org(&self) -> Option<OrgId> {
        let by_time = |a: &(&OrgId, &OrgQueue), b: &(&OrgId, &OrgQueue)| {
            a.1.virtual_time.total_cmp(&b.1.virtual_time)
        };
        let next = self.org_queues.iter().min_by(by_time);
        next.map(|(org, _)| org.clone())
    }

    fn weight(&self, org: &OrgId) -> f64 {
        let weight = self.weights.get(org).copied().unwrap_or(1.0);
        weight.max(0.01)
    }
}
