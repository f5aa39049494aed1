//! Discrete-event simulation of entry VMs, upstreams and callers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use base::Millis;
use base::OrgId;
use base::WorkerId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use route::Action;
use route::Availability;
use route::Balancer;
use route::Config;
use route::Input;
use route::Request;
use route::SendResult;
use route::Ticket;
use route::Upstream;

/// Number of entry VMs, as in the users' present deployments.
const VMS: usize = 8;
/// Number of upstreams, as specified by the users.
const UPSTREAMS: usize = 48;
/// Requests that an upstream serves concurrently, as specified by the users.
const SLOTS: u32 = 8;
/// Mean service time of a request.
const MEAN_SERVICE_MS: f64 = 40.0;
/// Time until a caller stops waiting for an answer.
const DEADLINE: Millis = Millis(1_000);
/// Ends of the phases: before, during and after the burst.
const PHASE_ENDS: [Millis; 3] = [Millis(10_000), Millis(20_000), Millis(40_000)];
/// Offered load of each phase as a share of the total capacity.
const PHASE_LOADS: [f64; 3] = [0.6, 2.0, 0.6];
/// Time after the burst whose requests are not counted, so that queues left by the burst can
/// drain.
const DRAIN_TIME: Millis = Millis(2_000);
/// Largest number of sends of one request by its caller.
const MAX_CALLER_SENDS: u32 = 3;
/// Largest number of upstreams that a baseline tries before it refuses a request.
const BASELINE_TRIES: u32 = 3;
/// Retry delay given by a baseline with a refusal.
const BASELINE_RETRY_DELAY: Millis = Millis(100);
/// Interval of timer ticks.
const TICK: Millis = Millis(10);
/// Organisations and their shares of the load.
const ORGS: [(&str, f64); 3] = [("large", 0.8), ("middle", 0.15), ("small", 0.05)];

/// How an entry VM chooses an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policy under test, [`Balancer`].
    Balancer,
    /// A random upstream.
    Random,
    /// Each upstream in turn.
    RoundRobin,
}

impl Policy {
    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Balancer => "balancer",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
        }
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Done {
        ticket: u64,
        upstream: usize,
        failed: bool,
    },
    Send {
        request: usize,
    },
    Tick,
}

struct CallerRequest {
    org: usize,
    phase: Option<usize>,
    created: Millis,
    sends: u32,
    finished: bool,
}

/// Counters and latencies of one run.
#[derive(Default)]
pub struct RunStats {
    offered: [u64; 3],
    answered: [u64; 3],
    org_offered: [u64; 3],
    org_answered: [u64; 3],
    latencies: Vec<u64>,
    /// Requests that ended with an error from the failing upstream.
    pub failed: u64,
    /// Sends to upstreams, including refused ones.
    pub sends: u64,
}

impl RunStats {
    /// Counted requests of all phases.
    pub fn offered(&self) -> u64 {
        self.offered.iter().sum()
    }

    /// Share of the requests of a phase that were answered within the deadline.
    pub fn goodput(&self, phase: usize) -> f64 {
        self.answered[phase] as f64 / self.offered[phase].max(1) as f64
    }

    /// The 99th percentile of the latency in milliseconds.
    pub fn p99(&self) -> f64 {
        let mut all = self.latencies.clone();
        all.sort();
        all.get(all.len() * 99 / 100).map_or(0.0, |ms| *ms as f64)
    }

    /// Share of an organisation's requests in the burst that were answered within the deadline.
    pub fn org_goodput(&self, org: usize) -> f64 {
        self.org_answered[org] as f64 / self.org_offered[org].max(1) as f64
    }
}

/// State of a simulation.
pub struct Simulation {
    policy: Policy,
    rng: Pcg64,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    last_event: u64,
    vms: Vec<Balancer<Pcg64>>,
    busy: Vec<u32>,
    requests: Vec<CallerRequest>,
    /// Sends in progress by ticket: entry VM, request, and upstreams tried by a baseline.
    tickets: BTreeMap<u64, (usize, usize, u32)>,
    last_ticket: u64,
    last_upstream: usize,
    /// Results so far.
    pub stats: RunStats,
}

impl Simulation {
    /// Creates a simulation without load.
    pub fn new(policy: Policy, mut rng: Pcg64) -> Simulation {
        let vm = |rng: &mut Pcg64| {
            let domain = "north".parse().expect("a domain");
            let mut vm = Balancer::new(Config::new(domain), Pcg64::seed_from_u64(rng.random()));
            vm.step(
                Millis::ZERO,
                Input::Upstreams((0..UPSTREAMS).map(upstream).collect()),
            );
            vm
        };
        Simulation {
            vms: (0..VMS).map(|_| vm(&mut rng)).collect(),
            policy,
            rng,
            now: Millis::ZERO,
            events: BinaryHeap::new(),
            last_event: 0,
            busy: vec![0; UPSTREAMS],
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
            last_upstream: 0,
            stats: RunStats::default(),
        }
    }

    /// Runs all phases to completion.
    pub fn run(&mut self) {
        self.schedule(Millis::ZERO, Event::Arrive);
        self.schedule(TICK, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Done {
                    ticket,
                    upstream,
                    failed,
                } => self.done(ticket, upstream, failed),
                Event::Send { request } => self.send(request),
                Event::Tick => self.tick(),
            }
        }
    }

    fn schedule(&mut self, span: Millis, event: Event) {
        self.last_event += 1;
        self.events
            .push(Reverse((self.now + span, self.last_event, event)));
    }

    fn exponential(&mut self, mean: f64) -> Millis {
        let unit: f64 = self.rng.random();
        Millis((-(1.0 - unit).ln() * mean).round() as u64)
    }

    fn tick(&mut self) {
        for vm in 0..VMS {
            self.step(vm, Input::Tick);
        }
        if self.now < PHASE_ENDS[2] + DEADLINE {
            self.schedule(TICK, Event::Tick);
        }
    }

    /// Creates the requests of one millisecond: uniformly between zero and twice the mean.
    fn arrive(&mut self) {
        let Some(phase) = PHASE_ENDS.iter().position(|end| self.now < *end) else {
            return;
        };
        let mean = PHASE_LOADS[phase] * UPSTREAMS as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS;
        let unit: f64 = self.rng.random();
        let batch = (mean * 2.0 * unit).round() as u64;
        for _ in 0..batch {
            self.create_request(phase);
        }
        self.schedule(Millis(1), Event::Arrive);
    }

    /// Creates one request, of a random organisation, and sends it.
    fn create_request(&mut self, phase: usize) {
        let unit: f64 = self.rng.random();
        let mut sum = 0.0;
        let org = ORGS.iter().position(|(_, share)| {
            sum += share;
            unit < sum
        });
        let org = org.unwrap_or(0);
        let draining = phase == 2 && self.now < PHASE_ENDS[1] + DRAIN_TIME;
        let counted = (!draining).then_some(phase);
        if let Some(phase) = counted {
            self.stats.offered[phase] += 1;
        }
        if phase == 1 {
            self.stats.org_offered[org] += 1;
        }
        self.requests.push(CallerRequest {
            org,
            phase: counted,
            created: self.now,
            sends: 0,
            finished: false,
        });
        self.send(self.requests.len() - 1);
    }

    /// Sends a request from its caller to a random entry VM.
    fn send(&mut self, request: usize) {
        self.requests[request].sends += 1;
        let vm = self.rng.random_range(0..VMS);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.tickets.insert(ticket, (vm, request, 0));
        if self.policy != Policy::Balancer {
            return self.try_upstream(ticket);
        }
        let org: OrgId = ORGS[self.requests[request].org]
            .0
            .parse()
            .expect("an organisation");
        let new_request = Request {
            ticket: Ticket(ticket),
            org,
            service: "ledger".parse().expect("a service"),
            deadline: self.requests[request].created + DEADLINE,
            avoid: Vec::new(),
        };
        self.step(vm, Input::Request(new_request));
    }

    fn step(&mut self, vm: usize, input: Input) {
        for action in self.vms[vm].step(self.now, input) {
            match action {
                Action::Refuse { ticket, retry, .. } => {
                    if let Some((_, request, _)) = self.tickets.remove(&ticket.0) {
                        self.on_refused(request, retry);
                    }
                }
                Action::Send { ticket, upstream } => self.deliver(ticket.0, index(&upstream)),
                Action::Isolated(_) | Action::Restored(_) => {}
            }
        }
    }

    /// Delivers a request to the upstream chosen by the balancer.
    fn deliver(&mut self, ticket: u64, upstream: usize) {
        self.stats.sends += 1;
        if !self.start(ticket, upstream) {
            let vm = self.tickets[&ticket].0;
            let result = SendResult::Busy;
            let ticket = Ticket(ticket);
            self.step(vm, Input::Done { ticket, result });
        }
    }

    /// Starts a request on an upstream; returns false if no slot is free.
    fn start(&mut self, ticket: u64, upstream: usize) -> bool {
        let failed = upstream == 0;
        if self.busy[upstream] >= SLOTS {
            return false;
        }
        self.busy[upstream] += 1;
        let span = if failed {
            Millis(1)
        } else {
            self.exponential(MEAN_SERVICE_MS)
        };
        self.schedule(
            span,
            Event::Done {
                ticket,
                upstream,
                failed,
            },
        );
        true
    }

    /// Lets a baseline try upstreams until one has a free slot.
    fn try_upstream(&mut self, ticket: u64) {
        loop {
            let upstream = match self.policy {
                Policy::RoundRobin => {
                    self.last_upstream = (self.last_upstream + 1) % UPSTREAMS;
                    self.last_upstream
                }
                _ => self.rng.random_range(0..UPSTREAMS),
            };
            self.stats.sends += 1;
            if self.start(ticket, upstream) {
                return;
            }
            let Some(entry) = self.tickets.get_mut(&ticket) else {
                return;
            };
            entry.2 += 1;
            let (_, request, tries) = *entry;
            if tries >= BASELINE_TRIES {
                self.tickets.remove(&ticket);
                return self.on_refused(request, BASELINE_RETRY_DELAY);
            }
        }
    }

    fn done(&mut self, ticket: u64, upstream: usize, failed: bool) {
        self.busy[upstream] -= 1;
        let Some((vm, request, _)) = self.tickets.remove(&ticket) else {
            return;
        };
        self.record_end(request, failed);
        if self.policy == Policy::Balancer {
            let result = match failed {
                true => SendResult::Failed,
                false => SendResult::Served,
            };
            self.step(
                vm,
                Input::Done {
                    ticket: Ticket(ticket),
                    result,
                },
            );
        }
    }

    fn record_end(&mut self, index: usize, failed: bool) {
        let now = self.now;
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.finished, true) {
            return;
        }
        if failed {
            self.stats.failed += 1;
            return;
        }
        let took = now.since(request.created);
        if took > DEADLINE {
            return;
        }
        self.stats.latencies.push(took.0);
        if let Some(phase) = request.phase {
            self.stats.answered[phase] += 1;
        }
        if request.phase == Some(1) {
            self.stats.org_answered[request.org] += 1;
        }
    }

    /// Lets the caller retry after the given delay, if its deadline allows it.
    fn on_refused(&mut self, index: usize, retry: Millis) {
        let request = &self.requests[index];
        let in_time = self.now + retry < request.created + DEADLINE;
        if in_time && request.sends < MAX_CALLER_SENDS {
            self.schedule(retry.max(Millis(1)), Event::Send { request: index });
        }
    }
}

fn upstream(i: usize) -> Upstream {
    Upstream {
        id: format!("w{i}").parse().expect("a worker"),
        domain: "north".parse().expect("a domain"),
        service: "ledger".parse().expect("a service"),
        slots: SLOTS,
        availability: Availability::Live,
    }
}

fn index(id: &WorkerId) -> usize {
    id.as_str()[1..].parse().expect("an index")
}
