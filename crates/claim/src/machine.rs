//! The state machine of one entry VM for one home domain.

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

use crate::cover::Cover;
use crate::cover::Quality;
use crate::entry::Sends;
use crate::limits::Limits;
use crate::message::Message;
use crate::pull::Pull;
use crate::record::Answer;
use crate::table::Table;
use crate::view::View;
use crate::view::ViewNumber;

/// What happened.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Input {
    /// The upstream's whole answer to a dispatched request arrived.
    Answered {
        /// The caller's token.
        token: u64,
        /// The answer, [`Outcome::Ran`].
        answer: Answer,
    },
    /// A dispatch ended without a whole answer. [`Outcome::NotRun`] only if no upstream ran
    /// it or will run it.
    Failed {
        /// The caller's token.
        token: u64,
        /// What is known.
        outcome: Outcome,
    },
    /// An operator or the platform confirms that a VM has ended and will not come back.
    Gone(VmId),
    /// There is proof that `view` is the newest view, which gives an owner authority.
    Lease {
        /// The view.
        view: ViewNumber,
        /// End of the authority: the time at which the proof was asked for, plus
        /// [`Limits::lease`].
        until: Millis,
    },
    /// A message of another entry VM.
    Peer {
        /// The sender.
        from: VmId,
        /// The message.
        msg: Message,
    },
    /// The link to a VM is silent or closed.
    PeerDown(VmId),
    /// The VM is heard again. A message of it tells the same.
    PeerUp(VmId),
    /// A caller sent a non-idempotent request to this entry VM.
    Request {
        /// The caller's id of the request.
        id: RequestId,
        /// The caller's number of this send, from 1; zero if not stated. Sends of one id
        /// are numbered upwards, each after the caller stopped waiting for the one before.
        attempt: u32,
        /// Names this send in actions; unique in this machine.
        token: u64,
        /// When the caller stops waiting.
        deadline: Millis,
    },
    /// A planned stop has begun. [`Action::Drained`] follows when nothing depends on this
    /// VM any more; another view without this VM has to be made meanwhile.
    Stop,
    /// Time passed; due at least every [`Limits::retry`].
    Tick,
    /// A view of this home domain, as read from the platform.
    View(View),
}

/// What the caller of [`Claims::step`] has to do, in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send the request to an upstream. Comes at most once for a token.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The caller's token.
        token: u64,
        /// The view of the grant, for upstreams that refuse requests of older views.
        fence: ViewNumber,
    },
    /// After [`Input::Stop`]: this VM may exit.
    Drained,
    /// The final result of a send that is not dispatched, or whose dispatch failed. Comes
    /// at most once for a token.
    Reply {
        /// The caller's token.
        token: u64,
        /// The result.
        verdict: Verdict,
    },
    /// Send a message to another entry VM. Messages to one VM may share a packet.
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
    /// An earlier send ran; this is its answer.
    Answer(Answer),
    /// Neither this send nor an earlier one of the id ran or will run.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back with the same id; zero if that id will not be served.
        after: Millis,
    },
    /// A send of the id may have run, may be running or may still run.
    Unknown {
        /// Why.
        reason: Reason,
        /// When to come back with the same id; zero if that will not tell more.
        after: Millis,
    },
}

/// Why a send is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// An earlier send ended without running, and the id is closed for this one.
    Closed,
    /// Earlier claims of the id may be lost.
    Doubt,
    /// The table of claims is full.
    Full,
    /// The id carries a creation time in the future.
    Future,
    /// Another send of the id has the claim and no outcome yet.
    Held,
    /// The copy-holder is not heard.
    NoCopy,
    /// The owner has no proof that its view is the newest.
    NoLease,
    /// The owner is not heard.
    NoOwner,
    /// This VM knows no view of the home domain.
    NoView,
    /// Too many requests wait at this VM.
    Pending,
    /// The deadline passed before the claim was granted.
    Timeout,
    /// The id is older than claims are kept.
    TooOld,
    /// An upstream did not run the request.
    Upstream,
}

/// The claims of one home domain, as one entry VM sees them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claims {
    pub(crate) me: VmId,
    pub(crate) domain: DomainId,
    pub(crate) limits: Limits,
    pub(crate) view: View,
    pub(crate) cover: Cover,
    /// What was known at the end of the view before.
    pub(crate) left: Option<Quality>,
    pub(crate) lease: (ViewNumber, Millis),
    pub(crate) table: Table,
    pub(crate) sends: Sends,
    pub(crate) down: BTreeSet<VmId>,
    pub(crate) gone: BTreeSet<VmId>,
    pub(crate) pulls: BTreeMap<VmId, Pull>,
    pub(crate) joined: BTreeSet<VmId>,
    pub(crate) stopping: bool,
    pub(crate) drained: bool,
}

/// Actions of one step, and messages to this VM itself.
pub(crate) struct Out {
    me: VmId,
    pub(crate) actions: Vec<Action>,
    local: VecDeque<Message>,
}

impl Out {
    pub(crate) fn send(&mut self, to: &VmId, msg: Message) {
        if *to == self.me {
            self.local.push_back(msg);
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
    /// A machine that knows no view and no claim. `me` must be new with each start of the
    /// daemon.
    pub fn new(me: VmId, domain: DomainId, limits: Limits) -> Claims {
        Claims {
            me,
            domain,
            limits,
            view: View::default(),
            cover: Cover::default(),
            left: None,
            lease: (ViewNumber(0), Millis::ZERO),
            table: Table::default(),
            sends: Sends::default(),
            down: BTreeSet::new(),
            gone: BTreeSet::new(),
            pulls: BTreeMap::new(),
            joined: BTreeSet::new(),
            stopping: false,
            drained: false,
        }
    }

    /// The home domain.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// The newest view known; number zero if none is.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Number of records kept.
    pub fn rows(&self) -> usize {
        self.table.len()
    }

    /// Bytes of answers kept.
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Whether the claims of all pairs of the view before are accounted for.
    pub fn is_complete(&self) -> bool {
        self.cover.is_complete()
    }

    /// Whether an owner may act on its view.
    pub fn has_lease(&self, now: Millis) -> bool {
        self.limits.ablation.no_lease || (self.lease.0 == self.view.number && now < self.lease.1)
    }

    /// Handles one input at `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut out = Out {
            me: self.me.clone(),
            actions: Vec::new(),
            local: VecDeque::new(),
        };
        self.input(now, input, &mut out);
        while let Some(msg) = out.local.pop_front() {
            let me = self.me.clone();
            self.receive(now, me, msg, &mut out);
        }
        self.drain(&mut out);
        out.actions
    }

    fn input(&mut self, now: Millis, input: Input, out: &mut Out) {
        match input {
            Input::Answered { token, answer } => self.finish(now, token, answer, out),
            Input::Failed { token, outcome } => {
                let answer = Answer {
                    outcome,
                    body: None,
                };
                self.finish(now, token, answer, out)
            }
            Input::Gone(vm) => self.note_gone(now, vm),
            Input::Lease { view, until } => self.extend(view, until),
            Input::Peer { from, msg } => self.receive(now, from, msg, out),
            Input::PeerDown(vm) => self.peer_down(now, vm, out),
            Input::PeerUp(vm) => {
                self.down.remove(&vm);
            }
            Input::Request {
                id,
                attempt,
                token,
                deadline,
            } => self.request(now, id, attempt, token, deadline, out),
            Input::Stop => self.stopping = true,
            Input::Tick => self.tick(now, out),
            Input::View(view) => self.enter(now, view, out),
        }
    }

    fn receive(&mut self, now: Millis, from: VmId, msg: Message, out: &mut Out) {
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

    /// Whether a message belongs to this VM's view; if not, the older side learns the newer.
    fn is_current(&self, view: ViewNumber, from: &VmId, out: &mut Out) -> bool {
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

    fn extend(&mut self, view: ViewNumber, until: Millis) {
        if view == self.lease.0 {
            self.lease.1 = self.lease.1.max(until);
        } else if view > self.lease.0 {
            self.lease = (view, until);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Out) {
        self.table.expire(now);
        self.tick_sends(now, out);
        self.tick_copies(now, out);
        self.tick_pulls(now, out);
        self.tick_stop(out);
    }

    fn peer_down(&mut self, now: Millis, vm: VmId, out: &mut Out) {
        if vm == self.me {
            return;
        }
        self.down.insert(vm);
        self.refuse_uncopied(out);
        self.refuse_unowned(now, out);
    }
}
