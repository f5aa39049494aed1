//! Claims service: ensures that each non-idempotent request is sent to an upstream at most once.
//!
//! It runs one `claim::Claims` state machine per home failure domain and exchanges their messages
//! with other daemons.

mod answer;
mod client;

use std::collections::BTreeMap;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseActFuture;
use actix::WrapFuture;
use base::DomainId;
use base::Map;
use base::Millis;
use base::Set;
use base::VmId;
use claim::home_domain;
use claim::Action;
use claim::Batch;
use claim::Claims;
use claim::Input;
use claim::Limits;
use claim::Packet;
use claim::Verdict;
use claim::View;
use claim::ViewNumber;
use entry::Claimed;
use entry::Reply;
use entry::RequestHead;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use tokio::sync::oneshot;

pub use client::client;

use crate::context::DaemonContext;
use crate::peers::Peers;
use crate::peers::PEERS;

/// Name of the service; its handle is `Addr<ClaimsActor>`.
pub const CLAIMS: &str = "claims";

/// Interval at which the state machines are ticked; messages that are collected into one packet
/// wait at most this long.
const TICK_INTERVAL: Millis = Millis(20);

/// Delay after which callers should retry while no failure domain is known.
const RETRY_UNKNOWN: Millis = Millis(500);

/// Claims a request before it is sent to an upstream.
#[derive(Debug, Message)]
#[rtype(result = "Claimed")]
pub struct ClaimRequest(pub RequestHead);

/// Records the outcome of a claimed request and returns the reply for the caller.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Settle {
    /// Token of the claim, from [`Claimed::Send`].
    pub token: u64,
    /// Outcome of the dispatch.
    pub reply: Reply,
}

/// A packet of claim messages received from another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReceivedClaims {
    /// Sending daemon.
    pub from: VmId,
    /// Encoded batch of messages for one home domain.
    pub packet: Packet,
}

/// A daemon is reachable again.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerUp(pub VmId);

/// Begins the planned stop. Resolves once no claim depends on this daemon.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct HandOver;

/// Installs a newer membership view of a home domain.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetView {
    /// Home domain of the view.
    pub domain: DomainId,
    /// Members that keep the claims.
    pub view: View,
}

/// Lease on a membership view: proof that no newer view exists.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetLease {
    /// Home domain of the view.
    pub domain: DomainId,
    /// Number of the view that the lease covers.
    pub view: ViewNumber,
    /// Time at which the lease expires.
    pub until: Millis,
}

/// A daemon is no longer reachable.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerDown(pub VmId);

/// Queries whether claims can be granted in every home domain.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct CanClaim;

/// Caller that waits for the result of a token.
enum Waiter {
    Claim(oneshot::Sender<Claimed>),
    Settle(oneshot::Sender<Reply>),
}

/// Actor of the claims service.
pub struct ClaimsActor {
    context: DaemonContext,
    peers: Peers,
    limits: Limits,
    domains: Vec<DomainId>,
    /// State machine of each home domain.
    machines: BTreeMap<DomainId, Claims>,
    /// Home domain of each token that has not been settled.
    homes: Map<u64, DomainId>,
    waiters: Map<u64, Waiter>,
    /// Messages that the current step sends, grouped into one packet per daemon and home domain.
    outbox: BTreeMap<(VmId, DomainId), Vec<claim::Message>>,
    /// Last token issued.
    last_token: u64,
    /// Home domains whose claims no longer depend on this daemon.
    drained: Set<DomainId>,
    /// Resolves the pending [`HandOver`].
    on_drained: Option<oneshot::Sender<()>>,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let actor = ClaimsActor {
        peers: context.registry.find(PEERS)?,
        limits: Limits::default(),
        domains: context.node.domains.clone(),
        machines: BTreeMap::new(),
        homes: Map::default(),
        waiters: Map::default(),
        outbox: BTreeMap::new(),
        last_token: 0,
        drained: Set::default(),
        on_drained: None,
        context: context.clone(),
    };
    kernel.add(CLAIMS, actor.start(), |_| async {})
}

impl ClaimsActor {
    /// State machine of a home domain, created at its first use.
    fn machine(&mut self, domain: &DomainId) -> &mut Claims {
        let (context, limits) = (&self.context, &self.limits);
        let create = || Claims::new(context.vm.clone(), domain.clone(), limits.clone());
        self.machines.entry(domain.clone()).or_insert_with(create)
    }

    fn step(&mut self, domain: &DomainId, input: Input) {
        let now = self.context.clock.now();
        let actions = self.machine(domain).step(now, input);
        for action in actions {
            self.apply(domain, action);
        }
    }

    fn apply(&mut self, domain: &DomainId, action: Action) {
        match action {
            Action::Dispatch { token, fence, .. } => {
                let fence = fence.0;
                self.complete_claim(token, Claimed::Send { fence, token });
            }
            Action::Drained => {
                self.drained.insert(domain.clone());
                self.check_drained();
            }
            Action::Reply { token, verdict } => self.complete_reply(token, verdict),
            Action::Send { to, msg } => {
                let key = (to, domain.clone());
                self.outbox.entry(key).or_default().push(msg);
            }
        }
    }

    fn complete_claim(&mut self, token: u64, claimed: Claimed) {
        if let Some(Waiter::Claim(tx)) = self.waiters.remove(&token) {
            let _ = tx.send(claimed);
        }
    }

    fn complete_reply(&mut self, token: u64, verdict: Verdict) {
        self.homes.remove(&token);
        let reply = answer::into_reply(verdict);
        match self.waiters.remove(&token) {
            Some(Waiter::Claim(tx)) => drop(tx.send(Claimed::Answer(reply))),
            Some(Waiter::Settle(tx)) => drop(tx.send(reply)),
            None => {}
        }
    }

    /// Sends the queued messages, one packet per daemon and home domain.
    fn flush(&mut self) {
        for ((to, domain), messages) in std::mem::take(&mut self.outbox) {
            let packet = Packet::from(Batch { domain, messages });
            self.peers.send_claims(&to, packet);
        }
    }

    fn check_drained(&mut self) {
        let is_drained = self.machines.keys().all(|d| self.drained.contains(d));
        if is_drained {
            if let Some(tx) = self.on_drained.take() {
                let _ = tx.send(());
            }
        }
    }

    fn step_all(&mut self, input: impl Fn() -> Input) {
        let domains: Vec<DomainId> = self.machines.keys().cloned().collect();
        for domain in &domains {
            self.step(domain, input());
        }
        self.flush();
    }
}

impl Actor for ClaimsActor {
    type Context = Context<ClaimsActor>;

    fn started(&mut self, ctx: &mut Context<ClaimsActor>) {
        ctx.run_interval(TICK_INTERVAL.duration(), |actor, _| {
            actor.step_all(|| Input::Tick)
        });
    }
}

impl Handler<SetView> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, msg: SetView, _: &mut Context<ClaimsActor>) {
        let text = format!("{} view {}", msg.domain, msg.view.number);
        obs::emit(&self.context.log, Event::ViewInstalled, &text);
        self.step(&msg.domain, Input::View(msg.view));
        self.flush();
    }
}

impl Handler<SetLease> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, msg: SetLease, _: &mut Context<ClaimsActor>) {
        let (view, until) = (msg.view, msg.until);
        self.step(&msg.domain, Input::Lease { view, until });
        self.flush();
    }
}

impl Handler<PeerDown> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, msg: PeerDown, _: &mut Context<ClaimsActor>) {
        self.step_all(|| Input::PeerDown(msg.0.clone()));
    }
}

impl Handler<PeerUp> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, msg: PeerUp, _: &mut Context<ClaimsActor>) {
        self.step_all(|| Input::PeerUp(msg.0.clone()));
    }
}

impl Handler<ClaimRequest> for ClaimsActor {
    type Result = ResponseActFuture<ClaimsActor, Claimed>;

    fn handle(&mut self, msg: ClaimRequest, _: &mut Context<ClaimsActor>) -> Self::Result {
        let head = msg.0;
        let Some(domain) = home_domain(&head.id, &self.domains).cloned() else {
            return Box::pin(async { Claimed::Answer(domains_unknown()) }.into_actor(self));
        };
        self.last_token += 1;
        let token = self.last_token;
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(token, Waiter::Claim(tx));
        self.homes.insert(token, domain.clone());
        let input = Input::Request {
            id: head.id,
            attempt: head.attempt,
            token,
            deadline: self.context.clock.now() + head.time_left,
        };
        self.step(&domain, input);
        self.flush();
        Box::pin(async { rx.await.unwrap_or(Claimed::Answer(domains_unknown())) }.into_actor(self))
    }
}

fn domains_unknown() -> Reply {
    Reply::Unknown {
        why: "this daemon does not know the failure domains yet".to_string(),
        retry: RETRY_UNKNOWN,
    }
}

impl Handler<Settle> for ClaimsActor {
    type Result = ResponseActFuture<ClaimsActor, Reply>;

    fn handle(&mut self, msg: Settle, _: &mut Context<ClaimsActor>) -> Self::Result {
        let Settle { token, reply } = msg;
        let Some(domain) = self.homes.get(&token).cloned() else {
            return Box::pin(async { reply }.into_actor(self));
        };
        if let Some(answer) = answer::to_answer(&reply) {
            self.homes.remove(&token);
            self.step(&domain, Input::Answered { token, answer });
            self.flush();
            return Box::pin(async { reply }.into_actor(self));
        }
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(token, Waiter::Settle(tx));
        let outcome = reply.outcome();
        self.step(&domain, Input::Failed { token, outcome });
        self.flush();
        let settled = async move {
            let verdict = rx.await;
            verdict.map_or_else(
                |_| answer::not_recorded(&reply),
                |v| answer::with_dispatch_reason(v, &reply),
            )
        };
        Box::pin(settled.into_actor(self))
    }
}

impl Handler<ReceivedClaims> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, msg: ReceivedClaims, _: &mut Context<ClaimsActor>) {
        let batch = match Batch::try_from(msg.packet) {
            Ok(batch) => batch,
            Err(error) => {
                let text = format!("{}: {error}", msg.from);
                return obs::emit(&self.context.log, Event::InputRefused, &text);
            }
        };
        for message in batch.messages {
            let from = msg.from.clone();
            let input = Input::Peer { from, msg: message };
            self.step(&batch.domain, input);
        }
        self.flush();
    }
}

impl Handler<HandOver> for ClaimsActor {
    type Result = ResponseActFuture<ClaimsActor, ()>;

    fn handle(&mut self, _: HandOver, _: &mut Context<ClaimsActor>) -> Self::Result {
        let (tx, rx) = oneshot::channel();
        self.on_drained = Some(tx);
        self.step_all(|| Input::Stop);
        self.check_drained();
        Box::pin(async { drop(rx.await) }.into_actor(self))
    }
}

impl Handler<CanClaim> for ClaimsActor {
    type Result = bool;

    fn handle(&mut self, _: CanClaim, _: &mut Context<ClaimsActor>) -> bool {
        let now = self.context.clock.now();
        let usable = |machine: &Claims| {
            let view = machine.view();
            let is_member = view.has(&self.context.vm);
            view.number.0 > 0 && (!is_member || machine.has_lease(now))
        };
        let machines = self.domains.iter().map(|domain| self.machines.get(domain));
        machines.into_iter().all(|m| m.is_some_and(usable))
    }
}
