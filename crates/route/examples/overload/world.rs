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
use route::Ask;
use route::Balancer;
use route::Config;
use route::Input;
use route::SendResult;
use route::Standing;
use route::Ticket;
use route::Upstream;

/// Number of entry VMs, as in the users' present deployments.
const VMS: usize = 8;
/// Number of upstreams, as specified by the users.
const UPSTREAMS: usize = 48;
/// Requests that an upstream serves concurrently, as specified by the users.
const SLOTS: u32 = 8;
/// Mean service time of a request.
const SERVICE: f64 = 40.0;
/// Time until a caller stops waiting for an answer.
const DEADLINE: Millis = Millis(1_000);
/// Ends of the phases: before, during and after the burst.
const PHASES: [Millis; 3] = [Millis(10_000), Millis(20_000), Millis(40_000)];
/// Offered load of each phase as a share of the total capacity.
const LOADS: [f64; 3] = [0.6, 2.0, 0.6];
/// Time after the burst whose requests are not counted, so that queues left by the burst can
/// drain.
const SETTLE: Millis = Millis(2_000);
/// Largest number of sends of one request by its caller.
const CALLER_SENDS: u32 = 3;
/// Largest number of upstreams that a baseline tries before it refuses a request.
const BASE_SENDS: u32 = 3;
/// Retry delay given by a baseline with a refusal.
const BASE_RETRY: Millis = Millis(100);
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

struct Request {
    org: usize,
    phase: Option<usize>,
    born: Millis,
    sends: u32,
    ended: bool,
}

/// Counters and latencies of one run.
#[derive(Default)]
pub struct Told {
    asked: [u64; 3],
    good: [u64; 3],
    org_asked: [u64; 3],
    org_good: [u64; 3],
    latencies: Vec<u64>,
    /// Requests that ended with an error from the failing upstream.
    pub failed: u64,
    /// Sends to upstreams, including refused ones.
    pub sends: u64,
}

impl Told {
    /// Counted requests of all phases.
    pub fn asked(&self) -> u64 {
        self.asked.iter().sum()
    }

    /// Share of the requests of a phase that were answered within the deadline.
    pub fn share(&self, phase: usize) -> f64 {
        self.good[phase] as f64 / self.asked[phase].max(1) as f64
    }

    /// The 99th percentile of the latency in milliseconds.
    pub fn p99(&self) -> f64 {
        let mut all = self.latencies.clone();
        all.sort();
        all.get(all.len() * 99 / 100).map_or(0.0, |ms| *ms as f64)
    }

    /// Share of an organisation's requests in the burst that were answered within the deadline.
    pub fn org_share(&self, org: usize) -> f64 {
        self.org_good[org] as f64 / self.org_asked[org].max(1) as f64
    }
}

/// State of a simulation.
pub struct World {
    policy: Policy,
    rng: Pcg64,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    order: u64,
    vms: Vec<Balancer<Pcg64>>,
    busy: Vec<u32>,
    requests: Vec<Request>,
    /// Sends in progress by ticket: entry VM, request, and upstreams tried by a baseline.
    tickets: BTreeMap<u64, (usize, usize, u32)>,
    next: u64,
    turn: usize,
    /// Results so far.
    pub told: Told,
}

impl World {
    /// Creates a simulation without load.
    pub fn new(policy: Policy, mut rng: Pcg64) -> World {
        let vm = |rng: &mut Pcg64| {
            let domain = "north".parse().expect("a domain");
            let mut vm = Balancer::new(Config::new(domain), Pcg64::seed_from_u64(rng.random()));
            vm.step(
                Millis::ZERO,
                Input::Upstreams((0..UPSTREAMS).map(upstream).collect()),
            );
            vm
        };
        World {
            vms: (0..VMS).map(|_| vm(&mut rng)).collect(),
            policy,
            rng,
            now: Millis::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            busy: vec![0; UPSTREAMS],
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            next: 0,
            turn: 0,
            told: Told::default(),
        }
    }

    /// Runs all phases to completion.
    pub fn run(&mut self) {
        self.later(Millis::ZERO, Event::Arrive);
        self.later(TICK, Event::Tick);
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

    fn later(&mut self, span: Millis, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + span, self.order, event)));
    }

    fn exponential(&mut self, mean: f64) -> Millis {
        let unit: f64 = self.rng.random();
        Millis((-(1.0 - unit).ln() * mean).round() as u64)
    }

    fn tick(&mut self) {
        for vm in 0..VMS {
            self.step(vm, Input::Tick);
        }
        if self.now < PHASES[2] + DEADLINE {
            self.later(TICK, Event::Tick);
        }
    }

    /// Creates the requests of one millisecond: uniformly between zero and twice the mean.
    fn arrive(&mut self) {
        let Some(phase) = PHASES.iter().position(|end| self.now < *end) else {
            return;
        };
        let mean = LOADS[phase] * UPSTREAMS as f64 * f64::from(SLOTS) / SERVICE;
        let unit: f64 = self.rng.random();
        let batch = (mean * 2.0 * unit).round() as u64;
        for _ in 0..batch {
            self.ask(phase);
        }
        self.later(Millis(1), Event::Arrive);
    }

    /// Creates one request, of a random organisation, and sends it.
    fn ask(&mut self, phase: usize) {
        let unit: f64 = self.rng.random();
        let mut sum = 0.0;
        let org = ORGS.iter().position(|(_, share)| {
            sum += share;
            unit < sum
        });
        let org = org.unwrap_or(0);
        let settling = phase == 2 && self.now < PHASES[1] + SETTLE;
        let counted = (!settling).then_some(phase);
        if let Some(phase) = counted {
            self.told.asked[phase] += 1;
        }
        if phase == 1 {
            self.told.org_asked[org] += 1;
        }
        self.requests.push(Request {
            org,
            phase: counted,
            born: self.now,
            sends: 0,
            ended: false,
        });
        self.send(self.requests.len() - 1);
    }

    /// Sends a request from its caller to a random entry VM.
    fn send(&mut self, request: usize) {
        self.requests[request].sends += 1;
        let vm = self.rng.random_range(0..VMS);
        self.next += 1;
        let ticket = self.next;
        self.tickets.insert(ticket, (vm, request, 0));
        if self.policy != Policy::Balancer {
            return self.try_upstream(ticket);
        }
        let org: OrgId = ORGS[self.requests[request].org]
            .0
            .parse()
            .expect("an organisation");
        let ask = Ask {
            ticket: Ticket(ticket),
            org,
            service: "ledger".parse().expect("a service"),
            deadline: self.requests[request].born + DEADLINE,
            avoid: Vec::new(),
        };
        self.step(vm, Input::Ask(ask));
    }

    fn step(&mut self, vm: usize, input: Input) {
        for action in self.vms[vm].step(self.now, input) {
            match action {
                Action::Refuse { ticket, retry, .. } => {
                    if let Some((_, request, _)) = self.tickets.remove(&ticket.0) {
                        self.refused(request, retry);
                    }
                }
                Action::Send { ticket, upstream } => self.reach(ticket.0, index(&upstream)),
                Action::Isolated(_) | Action::Restored(_) => {}
            }
        }
    }

    /// Delivers a request to the upstream chosen by the balancer.
    fn reach(&mut self, ticket: u64, upstream: usize) {
        self.told.sends += 1;
        if !self.enter(ticket, upstream) {
            let vm = self.tickets[&ticket].0;
            let result = SendResult::Busy;
            let ticket = Ticket(ticket);
            self.step(vm, Input::Done { ticket, result });
        }
    }

    /// Starts a request on an upstream; returns false if no slot is free.
    fn enter(&mut self, ticket: u64, upstream: usize) -> bool {
        let failed = upstream == 0;
        if self.busy[upstream] >= SLOTS {
            return false;
        }
        self.busy[upstream] += 1;
        let span = if failed {
            Millis(1)
        } else {
            self.exponential(SERVICE)
        };
        self.later(
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
                    self.turn = (self.turn + 1) % UPSTREAMS;
                    self.turn
                }
                _ => self.rng.random_range(0..UPSTREAMS),
            };
            self.told.sends += 1;
            if self.enter(ticket, upstream) {
                return;
            }
            let Some(entry) = self.tickets.get_mut(&ticket) else {
                return;
            };
            entry.2 += 1;
            let (_, request, tries) = *entry;
            if tries >= BASE_SENDS {
                self.tickets.remove(&ticket);
                return self.refused(request, BASE_RETRY);
            }
        }
    }

    fn done(&mut self, ticket: u64, upstream: usize, failed: bool) {
        self.busy[upstream] -= 1;
        let Some((vm, request, _)) = self.tickets.remove(&ticket) else {
            return;
        };
        self.ended(request, failed);
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

    fn ended(&mut self, index: usize, failed: bool) {
        let now = self.now;
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.ended, true) {
            return;
        }
        if failed {
            self.told.failed += 1;
            return;
        }
        let took = now.since(request.born);
        if took > DEADLINE {
            return;
        }
        self.told.latencies.push(took.0);
        if let Some(phase) = request.phase {
            self.told.good[phase] += 1;
        }
        if request.phase == Some(1) {
            self.told.org_good[request.org] += 1;
        }
    }

    /// Lets the caller retry after the given delay, if its deadline allows it.
    fn refused(&mut self, index: usize, retry: Millis) {
        let request = &self.requests[index];
        let in_time = self.now + retry < request.born + DEADLINE;
        if in_time && request.sends < CALLER_SENDS {
            self.later(retry.max(Millis(1)), Event::Send { request: index });
        }
    }
}

fn upstream(i: usize) -> Upstream {
    Upstream {
        id: format!("w{i}").parse().expect("a worker"),
        domain: "north".parse().expect("a domain"),
        service: "ledger".parse().expect("a service"),
        slots: SLOTS,
        standing: Standing::Live,
    }
}

fn index(id: &WorkerId) -> usize {
    id.as_str()[1..].parse().expect("an index")
}
