//! Weighted fair queueing of requests over organisations.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::Map;
use base::Millis;
use base::OrgId;

use crate::balancer::Ask;
use crate::balancer::Ticket;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub ask: Ask,
    pub since: Millis,
}

impl Waiting {
    /// Whether the deadline has passed or the request has waited for at least `longest`.
    pub fn is_overdue(&self, now: Millis, longest: Millis) -> bool {
        self.ask.deadline <= now || now.since(self.since) >= longest
    }
}

#[derive(Clone, Debug, Default)]
struct Lane {
    queue: VecDeque<Waiting>,
    /// Number of requests taken so far, divided by the weight of the organisation.
    virtual_time: f64,
}

/// Weighted fair queue: one FIFO queue per organisation, served in order of virtual time.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    lanes: BTreeMap<OrgId, Lane>,
    weights: Map<OrgId, f64>,
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

    pub fn lane_len(&self, org: &OrgId) -> usize {
        self.lanes.get(org).map_or(0, |lane| lane.queue.len())
    }

    pub fn set_weights(&mut self, weights: Map<OrgId, f64>) {
        self.weights = weights;
    }

    /// Share of the capacity that `org` gets among the organisations with queued requests.
    pub fn share(&self, org: &OrgId) -> f64 {
        let others = self.lanes.keys().filter(|o| *o != org);
        let rest: f64 = others.map(|o| self.weight(o)).sum();
        let own = self.weight(org);
        own / (own + rest)
    }

    pub fn push(&mut self, waiting: Waiting) {
        let clock = self.clock;
        let lane = self.lanes.entry(waiting.ask.org.clone()).or_default();
        if lane.queue.is_empty() {
            lane.virtual_time = lane.virtual_time.max(clock);
        }
        lane.queue.push_back(waiting);
        self.len += 1;
    }

    /// Returns a request that was taken but could not be served to the head of its queue, and
    /// refunds the virtual time that taking it has cost.
    pub fn push_front(&mut self, waiting: Waiting) {
        let weight = self.weight(&waiting.ask.org);
        let clock = self.clock;
        let lane = self.lanes.entry(waiting.ask.org.clone()).or_default();
        if lane.queue.is_empty() {
            lane.virtual_time = clock;
        } else {
            lane.virtual_time -= 1.0 / weight;
        }
        lane.queue.push_front(waiting);
        self.len += 1;
    }

    /// Takes the next request in weighted fair order.
    pub fn pop(&mut self) -> Option<Waiting> {
        let org = self.next_org()?;
        let weight = self.weight(&org);
        let lane = self.lanes.get_mut(&org)?;
        let waiting = lane.queue.pop_front()?;
        self.clock = lane.virtual_time;
        lane.virtual_time += 1.0 / weight;
        if lane.queue.is_empty() {
            self.lanes.remove(&org);
        }
        self.len -= 1;
        Some(waiting)
    }

    /// Removes the newest request of the organisation with the most queued requests.
    pub fn drop_longest(&mut self) -> Option<Waiting> {
        let longest = self
            .lanes
            .values_mut()
            .max_by_key(|lane| lane.queue.len())?;
        let waiting = longest.queue.pop_back()?;
        self.len -= 1;
        self.lanes.retain(|_, lane| !lane.queue.is_empty());
        Some(waiting)
    }

    /// The request that [`FairQueue::pop`] would take.
    pub fn peek(&self) -> Option<&Waiting> {
        let org = self.next_org()?;
        self.lanes.get(&org)?.queue.front()
    }

    /// Removes and returns the requests for which `gone` returns true.
    pub fn take_if(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            let (out, keep) = lane.queue.drain(..).partition(|w| gone(w));
            lane.queue = keep;
            taken.extend::<VecDeque<Waiting>>(out);
        }
        self.lanes.retain(|_, lane| !lane.queue.is_empty());
        self.len -= taken.len();
        taken
    }

    /// Tickets of all queued requests, in no particular order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        let all = self.lanes.values().flat_map(|lane| &lane.queue);
        all.map(|w| w.ask.ticket)
    }

    fn next_org(&self) -> Option<OrgId> {
        let by_time = |a: &(&OrgId, &Lane), b: &(&OrgId, &Lane)| {
            a.1.virtual_time.total_cmp(&b.1.virtual_time)
        };
        let next = self.lanes.iter().min_by(by_time);
        next.map(|(org, _)| org.clone())
    }

    fn weight(&self, org: &OrgId) -> f64 {
        let weight = self.weights.get(org).copied().unwrap_or(1.0);
        weight.max(0.01)
    }
}
