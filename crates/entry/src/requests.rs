//! The service that carries requests from callers to upstreams.

mod carry;
mod counters;
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
use route::Ticket;
use route::UpstreamStatus;
use slog::Logger;
use tokio::sync::oneshot;
use work::UpstreamClient;

use self::counters::Counters;
use self::orgs::Orgs;
use crate::gate::Gate;
use crate::msg::Drain;
use crate::msg::OrgBounds;
use crate::msg::Reply;
use crate::msg::Serve;
use crate::msg::SetOrgs;
use crate::msg::SetUpstreams;
use crate::msg::Target;
use crate::msg::UpstreamsStatus;

/// Period of the check for overdue requests.
const TICK: Millis = Millis(10);

/// What the service needs.
pub struct RequestsConfig {
    /// Bounds of the routing policy.
    pub route: Config,
    /// Largest answer in bytes.
    pub body: usize,
    /// Most requests that are not answered yet.
    pub requests: usize,
    /// The time.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// Claims of non-idempotent requests.
    pub gate: Gate,
    /// Randomness of the routing policy.
    pub rng: Pcg64,
}

/// Decision on a request that asked for an upstream.
enum Grant {
    Refused {
        why: route::RefusalReason,
        retry: Millis,
    },
    Send {
        upstream: WorkerId,
        address: SocketAddr,
    },
}

struct Inner {
    balancer: RefCell<Balancer<Pcg64>>,
    orgs: RefCell<Orgs>,
    addresses: RefCell<Map<WorkerId, SocketAddr>>,
    waits: RefCell<Map<Ticket, oneshot::Sender<Grant>>>,
    ticket: Cell<u64>,
    open: Cell<usize>,
    most: usize,
    exchange: UpstreamClient,
    gate: Gate,
    clock: Clock,
    log: Logger,
    counters: Counters,
}

/// The actor that carries requests.
pub struct Requests {
    inner: Rc<Inner>,
}

impl Requests {
    /// A service without upstreams.
    pub fn new(config: RequestsConfig) -> Requests {
        let metrics = &config.metrics;
        let counters = Counters::new(metrics);
        let inner = Inner {
            balancer: RefCell::new(Balancer::new(config.route, config.rng)),
            orgs: RefCell::default(),
            addresses: RefCell::default(),
            waits: RefCell::default(),
            ticket: Cell::new(0),
            open: Cell::new(0),
            most: config.requests,
            exchange: UpstreamClient::new(config.body),
            gate: config.gate,
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
    /// Feeds the balancer and carries out its actions.
    fn step(&self, input: Input) {
        let now = self.clock.now();
        let actions = self.balancer.borrow_mut().step(now, input);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Isolated(id) => obs::emit(&self.log, Event::UpstreamIsolated, id.as_str()),
            Action::Restored(id) => obs::emit(&self.log, Event::UpstreamRestored, id.as_str()),
            Action::Refuse { ticket, why, retry } => {
                self.grant(ticket, Grant::Refused { why, retry });
            }
            Action::Send { ticket, upstream } => self.grant_send(ticket, upstream),
        }
    }

    fn grant_send(&self, ticket: Ticket, upstream: WorkerId) {
        let address = self.addresses.borrow().get(&upstream).copied();
        match address {
            Some(address) => self.grant(ticket, Grant::Send { upstream, address }),
            None => self.unaddressed(ticket),
        }
    }

    /// Refuses a request whose upstream was dropped from the list in the meantime.
    fn unaddressed(&self, ticket: Ticket) {
        let refused = Grant::Refused {
            why: route::RefusalReason::Waited,
            retry: Millis::ZERO,
        };
        self.grant(ticket, refused);
        self.step(Input::Done {
            ticket,
            result: route::SendResult::Failed,
        });
    }

    fn grant(&self, ticket: Ticket, grant: Grant) {
        if let Some(tx) = self.waits.borrow_mut().remove(&ticket) {
            let _ = tx.send(grant);
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
        self.prune();
    }

    fn set_orgs(&self, bounds: Map<OrgId, OrgBounds>) {
        let weights = bounds.iter().map(|(org, b)| (org.clone(), b.weight));
        let weights = weights.collect();
        self.orgs.borrow_mut().set(bounds);
        self.step(Input::Weights(weights));
    }

    /// Drops addresses of upstreams that the balancer no longer knows.
    fn prune(&self) {
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
        ctx.run_interval(TICK.duration(), |actor, _| actor.inner.step(Input::Tick));
    }
}

impl Handler<Serve> for Requests {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: Serve, _: &mut Context<Requests>) -> ResponseFuture<Reply> {
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

impl Handler<Drain> for Requests {
    type Result = usize;

    fn handle(&mut self, _: Drain, _: &mut Context<Requests>) -> usize {
        self.inner.open.get()
    }
}

impl Handler<UpstreamsStatus> for Requests {
    type Result = Vec<UpstreamStatus>;

    fn handle(&mut self, _: UpstreamsStatus, _: &mut Context<Requests>) -> Vec<UpstreamStatus> {
        self.inner.balancer.borrow().status()
    }
}
