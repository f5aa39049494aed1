//! State machine of one entry VM for one home domain: inputs, actions and message routing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::DomainId;
use base::Millis;
use base::Outcome;
use base::RequestId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::coverage::Completeness;
use crate::coverage::Coverage;
use crate::entry::PendingSends;
use crate::limits::Limits;
use crate::message::Message;
use crate::record::Answer;
use crate::table::Table;
use crate::view::View;
use crate::view::ViewNumber;
use crate::view_change::Transfer;

/// An event to handle.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Input {
    /// The upstream answered a dispatched request completely.
    Answered {
        /// Token of the send.
        token: u64,
        /// The answer; its outcome is [`Outcome::Ran`].
        answer: Answer,
    },
    /// A dispatch ended without a complete answer.
    Failed {
        /// Token of the send.
        token: u64,
        /// [`Outcome::NotRun`] only if no upstream ran the request or will run it.
        outcome: Outcome,
    },
    /// An operator or the platform confirmed that a VM has terminated and will not come back.
    Terminated(VmId),
    /// `view` was proven to be the newest view, which gives its owners authority.
    Lease {
        /// Number of the proven view.
        view: ViewNumber,
        /// End of the authority: the time at which the proof was requested, plus
        /// [`Limits::lease`].
        until: Millis,
    },
    /// A message from another entry VM.
    Peer {
        /// The sender.
        from: VmId,
        /// The message.
        msg: Message,
    },
    /// The link to a VM timed out or was closed.
    PeerDown(VmId),
    /// A VM is reachable again. Any message from it has the same effect.
    PeerUp(VmId),
    /// A caller sent a non-idempotent request to this entry VM.
    Request {
        /// Id of the request, chosen by the caller.
        id: RequestId,
        /// The caller's number of this send, from 1; zero if not stated. A caller numbers the
        /// sends of one id in ascending order and starts each only after it stopped waiting for
        /// the previous one.
        attempt: u32,
        /// Identifies this send in actions; unique within this state machine.
        token: u64,
        /// When the caller stops waiting.
        deadline: Millis,
    },
    /// A planned stop begins. [`Action::Drained`] follows when nothing depends on this VM any
    /// more; for that, the membership has to make a view without this VM.
    Stop,
    /// Time has passed; expected at least every [`Limits::retry_interval`].
    Tick,
    /// A view of this home domain as read from the platform.
    View(View),
}

/// What the caller of [`Claims::step`] has to do, in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send the request to an upstream. Emitted at most once for each token.
    Dispatch {
        /// Id of the request.
        id: RequestId,
        /// Token of the send.
        token: u64,
        /// Fencing token: the view of the grant. Upstreams may refuse requests of older views.
        fence: ViewNumber,
    },
    /// Nothing depends on this VM after [`Input::Stop`]; it may exit.
    Drained,
    /// The final result of a send that was not dispatched or whose dispatch failed. Emitted at
    /// most once for each token.
    Reply {
        /// Token of the send.
        token: u64,
        /// The result.
        verdict: Verdict,
    },
    /// Send a message to another entry VM. Messages to the same VM may share a packet.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        msg: Message,
    },
}

/// The final result of a send.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// An earlier send of the id ran and returned this answer.
    Answer(Answer),
    /// Neither this send nor an earlier one of the id has run or will run.
    NotRun {
        /// Reason of the refusal.
        reason: Reason,
        /// When to retry with the same id; zero if that id will not be served.
        after: Millis,
    },
    /// A send of the id may have run, may be running or may still run.
    Unknown {
        /// Reason of the refusal.
        reason: Reason,
        /// When to retry with the same id; zero if a retry will not tell more.
        after: Millis,
    },
}

/// Reason why a send is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// An earlier send ended without running, and the id is closed for this send.
    Closed,
    /// Earlier claims of the id may be lost.
    Doubt,
    /// The table of claims is full.
    Full,
    /// The creation time in the id is in the future.
    Future,
    /// Another send of the id holds the claim and has no outcome yet.
    Held,
    /// The backup is unreachable.
    NoCopy,
    /// The owner has no proof that its view is the newest.
    NoLease,
    /// The owner is unreachable.
    NoOwner,
    /// This VM knows no view of the home domain.
    NoView,
    /// Too many sends are pending at this VM.
    Pending,
    /// The deadline passed before the claim was granted.
    Timeout,
    /// The id is older than the retention period of claims.
    TooOld,
    /// No upstream ran the request.
    Upstream,
}

/// The claims of one home domain, as known to one entry VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claims {
    pub(crate) me: VmId,
    pub(crate) domain: DomainId,
    pub(crate) limits: Limits,
    pub(crate) view: View,
    pub(crate) coverage: Coverage,
    /// Completeness of the table when the previous view ended; `None` if unknown.
    pub(crate) prior_completeness: Option<Completeness>,
    /// The latest view proven to be the newest, and when the authority from that proof ends.
    pub(crate) lease: (ViewNumber, Millis),
    pub(crate) table: Table,
    pub(crate) sends: PendingSends,
    /// Unreachable VMs.
    pub(crate) down: BTreeSet<VmId>,
    /// VMs that are confirmed not to come back.
    pub(crate) terminated: BTreeSet<VmId>,
    /// Unfinished transfers by member of the previous view.
    pub(crate) transfers: BTreeMap<VmId, Transfer>,
    /// Members that reported that they joined the current view.
    pub(crate) joined: BTreeSet<VmId>,
    pub(crate) stopping: bool,
    /// Whether [`Action::Drained`] was emitted.
    pub(crate) drained: bool,
}

/// Output of one step: actions for the caller, and messages that this VM sends to itself.
pub(crate) struct StepOutput {
    me: VmId,
    pub(crate) actions: Vec<Action>,
    self_messages: VecDeque<Message>,
}

impl StepOutput {
    pub(crate) fn send(&mut self, to: &VmId, msg: Message) {
        if *to == self.me {
            self.self_messages.push_back(msg);
        } else {
            let to = to.clone();
            self.actions.push(Action::Send { to, msg });
        }
    }

    pub(crate) fn reply(&mut self, token: u64, verdict: Verdict) {
        self.actions.push(Action::Reply { token, verdict });
    }
}

impl Claims {
    /// A state machine without a view or claims. `me` must be a new id for each start of the
    /// daemon.
    pub fn new(me: VmId, domain: DomainId, limits: Limits) -> Claims {
        Claims {
            me,
            domain,
            limits,
            view: View::default(),
            coverage: Coverage::default(),
            prior_completeness: None,
            lease: (ViewNumber(0), Millis::ZERO),
            table: Table::default(),
            sends: PendingSends::default(),
            down: BTreeSet::new(),
            terminated: BTreeSet::new(),
            transfers: BTreeMap::new(),
            joined: BTreeSet::new(),
            stopping: false,
            drained: false,
        }
    }

    /// The home domain whose claims are kept.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// The newest known view; its number is zero before the first one is known.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Number of stored records.
    pub fn record_count(&self) -> usize {
        self.table.len()
    }

    /// Total size of the stored answer bodies.
    pub fn body_bytes(&self) -> usize {
        self.table.body_bytes()
    }

    /// Whether the claims of all pairs of holders of the previous view are known.
    pub fn is_complete(&self) -> bool {
        self.coverage.is_complete()
    }

    /// Whether an owner may act on its view at `now`.
    pub fn has_lease(&self, now: Millis) -> bool {
        self.limits.ablation.no_lease || (self.lease.0 == self.view.number && now < self.lease.1)
    }

    /// Handles one input at `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut out = StepOutput {
            me: self.me.clone(),
            actions: Vec::new(),
            self_messages: VecDeque::new(),
        };
        self.handle_input(now, input, &mut out);
        while let Some(msg) = out.self_messages.pop_front() {
            let me = self.me.clone();
            self.on_message(now, me, msg, &mut out);
        }
        self.report_drained(&mut out);
        out.actions
    }

    fn handle_input(&mut self, now: Millis, input: Input, out: &mut StepOutput) {
        match input {
            Input::Answered { token, answer } => self.on_dispatch_end(now, token, answer, out),
            Input::Failed { token, outcome } => {
                let answer = Answer {
                    outcome,
                    body: None,
                };
                self.on_dispatch_end(now, token, answer, out)
            }
            Input::Terminated(vm) => self.mark_terminated(now, vm),
            Input::Lease { view, until } => self.extend_lease(view, until),
            Input::Peer { from, msg } => self.on_message(now, from, msg, out),
            Input::PeerDown(vm) => self.on_peer_down(now, vm, out),
            Input::PeerUp(vm) => {
                self.down.remove(&vm);
            }
            Input::Request {
                id,
                attempt,
                token,
                deadline,
            } => self.on_request(now, id, attempt, token, deadline, out),
            Input::Stop => self.stopping = true,
            Input::Tick => self.tick(now, out),
            Input::View(view) => self.enter_view(now, view, out),
        }
    }

    fn on_message(&mut self, now: Millis, from: VmId, msg: Message, out: &mut StepOutput) {
        self.down.remove(&from);
        match msg {
            Message::Ask { view, .. }
            | Message::Copy { view, .. }
            | Message::Report { view, .. }
            | Message::Pull { view, .. }
                if !self.is_current(view, &from, out) => {}
            Message::Ask {
                id, nonce, attempt, ..
            } => self.on_ask(now, from, id, nonce, attempt, out),
            Message::Grant { view, nonce } => self.on_grant(now, view, nonce, out),
            Message::Refuse {
                nonce,
                reason,
                after,
                claimed,
            } => self.on_refuse(now, nonce, reason, after, claimed, out),
            Message::Stored { nonce, answer } => self.on_stored(nonce, answer, out),
            Message::Copy {
                id,
                record,
                covered,
                ..
            } => self.on_copy(now, from, id, record, covered, out),
            Message::CopyAck {
                view,
                id,
                send,
                done,
            } => self.on_copy_ack(now, view, id, send, done, out),
            Message::CopyKnown { view, id, record } => {
                self.on_copy_known(now, view, id, record, out)
            }
            Message::CopyRefuse {
                view,
                id,
                send,
                done,
                reason,
                after,
            } => self.on_copy_refuse(view, id, (send, done), (reason, after), out),
            Message::Report {
                id,
                nonce,
                attempt,
                answer,
                ..
            } => self.on_report(now, from, id, (nonce, attempt), answer, out),
            Message::ReportAck { nonce } => self.on_report_ack(nonce),
            Message::View(view) => self.on_view(now, from, view, out),
            Message::Lag { view } => self.on_lag(now, from, view, out),
            Message::Pull { from: last, .. } => self.on_pull(from, last, out),
            Message::Chunk {
                view,
                from: last,
                records,
                last: end,
                quality,
            } => self.on_chunk(now, from, view, last, (records, end, quality), out),
            Message::Joined { view } => self.on_joined(from, view),
        }
    }

    /// Whether a message belongs to the current view. If not, the side with the older view is sent
    /// the newer one.
    fn is_current(&self, view: ViewNumber, from: &VmId, out: &mut StepOutput) -> bool {
        let mine = self.view.number;
        if view == mine {
            return mine > ViewNumber(0);
        }
        if view > mine {
            out.send(from, Message::Lag { view: mine });
            return false;
        }
        out.send(from, Message::View(self.view.clone()));
        self.limits.ablation.no_promise
    }

    fn extend_lease(&mut self, view: ViewNumber, until: Millis) {
        if view == self.lease.0 {
            self.lease.1 = self.lease.1.max(until);
        } else if view > self.lease.0 {
            self.lease = (view, until);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut StepOutput) {
        self.table.expire(now);
        self.tick_sends(now, out);
        self.tick_copies(now, out);
        self.tick_transfers(now, out);
        self.tick_stop(out);
    }

    fn on_peer_down(&mut self, now: Millis, vm: VmId, out: &mut StepOutput) {
        if vm == self.me {
            return;
        }
        self.down.insert(vm);
        self.refuse_uncopied(out);
        self.refuse_without_owner(now, out);
    }
}
