//! The service that forwards requests from callers to upstreams.

mod counters;
mod forward;
mod orgs;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::ResponseFuture;
use base::Clock;
use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerId;
use futures_util::FutureExt;
use obs::Event;
use obs::Metrics;
use rand_pcg::Pcg64;
use route::Action;
use route::Balancer;
use route::Config;
use route::Input;
use route::LostSends;
use route::Ticket;
use route::UpstreamStatus;
use slog::Logger;
use tokio::sync::oneshot;
use work::UpstreamClient;

use self::counters::Counters;
use self::orgs::Orgs;
use crate::claims::ClaimClient;
use crate::msg::CountOpenRequests;
use crate::msg::OrgLimits;
use crate::msg::Reply;
use crate::msg::ServeRequest;
use crate::msg::SetOrgs;
use crate::msg::SetUpstreams;
use crate::msg::Target;
use crate::msg::UpstreamsStatus;

/// Interval at which the balancer checks for overdue requests.
const TICK_INTERVAL: Millis = Millis(10);

/// Configuration and dependencies of the service.
pub struct RequestsConfig {
    /// Configuration of the balancer.
    pub route: Config,
    /// Largest answer of an upstream in bytes.
    pub max_answer: usize,
    /// Most requests that may be open, that is, not answered yet.
    pub max_open: usize,
    /// Source of the current time.
    pub clock: Clock,
    /// Logger for events and spans.
    pub log: Logger,
    /// Registry for the metrics of the service.
    pub metrics: Metrics,
    /// Claims non-idempotent requests before they are sent.
    pub claims: ClaimClient,
    /// Random numbers for the balancer.
    pub rng: Pcg64,
}

/// Decision of the balancer on a request that waits for an upstream.
enum Decision {
    Refused {
        why: route::RefusalReason,
        retry: Millis,
    },
    Send {
        upstream: WorkerId,
        address: SocketAddr,
    },
}

/// State shared by the actor and the requests in progress.
struct Inner {
    balancer: RefCell<Balancer<Pcg64>>,
    orgs: RefCell<Orgs>,
    /// Connections that broke while an upstream worked on a request.
    lost: RefCell<LostSends>,
    addresses: RefCell<Map<WorkerId, SocketAddr>>,
    /// Requests that wait for a decision, by ticket.
    waiters: RefCell<Map<Ticket, oneshot::Sender<Decision>>>,
    last_ticket: Cell<u64>,
    /// Requests that are not answered yet.
    open: Cell<usize>,
    /// Limit of `open`; further requests are refused.
    max_open: usize,
    exchange: UpstreamClient,
    claims: ClaimClient,
    clock: Clock,
    log: Logger,
    counters: Counters,
}

/// The actor that forwards requests to upstreams.
pub struct Requests {
    inner: Rc<Inner>,
}

impl Requests {
    /// Creates the service. It has no upstreams until [`SetUpstreams`].
    pub fn new(config: RequestsConfig) -> Requests {
        let metrics = &config.metrics;
        let counters = Counters::new(metrics);
        let inner = Inner {
            balancer: RefCell::new(Balancer::new(config.route, config.rng)),
            orgs: RefCell::default(),
            lost: RefCell::default(),
            addresses: RefCell::default(),
            waiters: RefCell::default(),
            last_ticket: Cell::new(0),
            open: Cell::new(0),
            max_open: config.max_open,
            exchange: UpstreamClient::new(config.max_answer),
            claims: config.claims,
            clock: config.clock,
            log: config.log,
            counters,
        };
        Requests {
            inner: Rc::new(inner),
        }
    }
}

impl Inner {
    /// Passes an input to the balancer and performs the resulting actions.
    fn step(&self, input: Input) {
        let now = self.clock.now();
        let actions = self.balancer.borrow_mut().step(now, input);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&self, action: Action) {
        match action {
            Action::Isolated(id) => obs::emit(&self.log, Event::UpstreamIsolated, id.as_str()),
            Action::Restored(id) => obs::emit(&self.log, Event::UpstreamRestored, id.as_str()),
            Action::Refuse { ticket, why, retry } => {
                self.send_decision(ticket, Decision::Refused { why, retry });
            }
            Action::Send { ticket, upstream } => self.assign_upstream(ticket, upstream),
        }
    }

    fn assign_upstream(&self, ticket: Ticket, upstream: WorkerId) {
        let address = self.addresses.borrow().get(&upstream).copied();
        match address {
            Some(address) => self.send_decision(ticket, Decision::Send { upstream, address }),
            None => self.refuse_missing_upstream(ticket),
        }
    }

    /// Refuses a request whose chosen upstream has no address, because it was removed from the list in
    /// the meantime.
    fn refuse_missing_upstream(&self, ticket: Ticket) {
        let refused = Decision::Refused {
            why: route::RefusalReason::Waited,
            retry: Millis::ZERO,
        };
        self.send_decision(ticket, refused);
        self.step(Input::Done {
            ticket,
            result: route::SendResult::Failed,
        });
    }

    /// Passes the decision to the request that waits with this ticket.
    fn send_decision(&self, ticket: Ticket, decision: Decision) {
        if let Some(tx) = self.waiters.borrow_mut().remove(&ticket) {
            let _ = tx.send(decision);
        }
    }

    fn set_upstreams(&self, list: Vec<Target>) {
        let mut addresses = self.addresses.borrow_mut();
        for target in &list {
            addresses.insert(target.upstream.id.clone(), target.address);
        }
        drop(addresses);
        let upstreams = list.into_iter().map(|t| t.upstream).collect();
        self.step(Input::Upstreams(upstreams));
        self.prune_addresses();
    }

    fn set_orgs(&self, limits: Map<OrgId, OrgLimits>) {
        let weights = limits.iter().map(|(org, b)| (org.clone(), b.weight));
        let weights = weights.collect();
        self.orgs.borrow_mut().set(limits);
        self.step(Input::Weights(weights));
    }

    /// Removes the addresses of upstreams that the balancer no longer lists.
    fn prune_addresses(&self) {
        let known = self.balancer.borrow().status();
        let known: base::Set<WorkerId> = known.into_iter().map(|s| s.id).collect();
        self.addresses
            .borrow_mut()
            .retain(|id, _| known.contains(id));
    }
}

impl Actor for Requests {
    type Context = Context<Requests>;

    fn started(&mut self, ctx: &mut Context<Requests>) {
        ctx.set_mailbox_capacity(4096);
        ctx.run_interval(TICK_INTERVAL.duration(), |actor, _| {
            actor.inner.step(Input::Tick)
        });
    }
}

impl Handler<ServeRequest> for Requests {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: ServeRequest, _: &mut Context<Requests>) -> ResponseFuture<Reply> {
        let inner = self.inner.clone();
        async move { inner.serve(msg).await }.boxed_local()
    }
}

impl Handler<SetUpstreams> for Requests {
    type Result = ();

    fn handle(&mut self, msg: SetUpstreams, _: &mut Context<Requests>) {
        self.inner.set_upstreams(msg.0);
    }
}

impl Handler<SetOrgs> for Requests {
    type Result = ();

    fn handle(&mut self, msg: SetOrgs, _: &mut Context<Requests>) {
        self.inner.set_orgs(msg.0);
    }
}

impl Handler<CountOpenRequests> for Requests {
    type Result = usize;

    fn handle(&mut self, _: CountOpenRequests, _: &mut Context<Requests>) -> usize {
        self.inner.open.get()
    }
}

impl Handler<UpstreamsStatus> for Requests {
    type Result = Vec<UpstreamStatus>;

    fn handle(&mut self, _: UpstreamsStatus, _: &mut Context<Requests>) -> Vec<UpstreamStatus> {
        self.inner.balancer.borrow().status()
    }
}
