//! Processing of one settings change, from the operator's request to the reply.
//!
//! The run reads the document, applies the edits and writes the result with a
//! compare-and-swap. If the write gets no answer, the document is read back and searched for
//! the operation id. While the store still holds the value that the write was based on, the
//! same write is sent again; its compare condition lets at most one copy take effect. Once the
//! change is durable, the run waits up to a time limit for the other daemons to apply it.

use std::sync::Arc;

use base::Findings;
use base::Millis;
use base::Revision;
use base::VmId;

use crate::api::ChangeReply;
use crate::api::Conflict;
use crate::api::Refusal;
use crate::sync::message::StoreRev;
use crate::sync::message::StoredDoc;
use crate::tree::Change;
use crate::tree::Tree;

/// Pause before a failed call to the store is retried.
const RETRY_PAUSE: Millis = Millis(100);

/// Safety mechanisms of a [`ChangeRun`]. Daemons enable all of them; tests disable one at a
/// time to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ChangeGuards {
    /// Writes are conditional on the store revision that was read.
    pub compare: bool,
    /// A document older than the newest revision known to any daemon is not changed.
    pub newest_known: bool,
    /// A change whose operation id is already in the document is not applied again.
    pub dedup: bool,
    /// A document whose recorded key version differs from the key's version is not changed,
    /// because someone else has written an older document back.
    pub version: bool,
    /// After a write without an answer, its outcome is determined before the operator is
    /// answered.
    pub resolve: bool,
}

impl Default for ChangeGuards {
    fn default() -> ChangeGuards {
        ChangeGuards {
            compare: true,
            newest_known: true,
            dedup: true,
            resolve: true,
            version: true,
        }
    }
}

/// Parameters of a [`ChangeRun`].
#[derive(Clone, Debug)]
pub struct ChangeSetup {
    /// Change to apply.
    pub change: Change,
    /// Revision that the operator expects to be the newest.
    pub expect: Option<Revision>,
    /// Lowest acceptable revision of the stored document: the highest one that any daemon is
    /// known to hold, from [`Replica::newest_known`](crate::sync::Replica::newest_known).
    pub newest_known: Revision,
    /// Latest time at which the operator is answered while the change is not durable.
    pub deadline: Millis,
    /// Longest wait for other daemons to apply the change once it is durable.
    pub peer_wait: Millis,
    /// Safety mechanisms, all enabled in daemons.
    pub guards: ChangeGuards,
}

/// Inputs of a [`ChangeRun`]. Sequence numbers match answers to calls, so that late answers
/// are ignored.
#[derive(Clone, Debug)]
pub enum ChangeInput {
    /// Live daemons, and which of them hold the revision that the change created, from
    /// [`Replica::holders`](crate::sync::Replica::holders).
    Peers {
        /// All live daemons, this one included.
        live: Vec<VmId>,
        /// Live daemons that hold the revision.
        holders: Vec<VmId>,
    },
    /// Answer to a read by sequence number; `None` if the read failed.
    Read(u64, Option<StoredDoc>),
    /// Timer tick.
    Tick,
    /// Answer to a write by sequence number.
    Write(u64, WriteResult),
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The comparison failed; nothing was written.
    Changed,
    /// The value was written.
    Done,
    /// The request was never sent, for example because the connection failed.
    NotSent,
    /// No answer: the write may have taken effect, or may still do so.
    Unknown,
}

/// Actions that the service performs for a [`ChangeRun`].
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAction {
    /// Passes the durable tree to [`Replica`](crate::sync::Replica).
    Accepted(Arc<Tree>),
    /// Reads the document linearisably; the answer carries this sequence number.
    Read(u64),
    /// Answers the operator and ends the run.
    Reply(Reply),
    /// Writes the document if the stored value is unchanged since `base`.
    Write {
        /// Sequence number that the answer carries.
        seq: u64,
        /// Store revision to compare, 0 for an absent value; `None` writes unconditionally.
        base: Option<StoreRev>,
        /// Encoded document.
        data: String,
    },
}

/// Answer to the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The change is durable.
    Accepted(ChangeReply),
    /// The change was not made, or its outcome is unknown.
    Refused(Box<Refusal>),
}

/// The write of a change, kept for resends until its outcome is known.
#[derive(Clone, Debug)]
struct PendingWrite {
    base: StoreRev,
    tree: Arc<Tree>,
    /// Whether the write may have taken effect, or may still do so.
    sent: bool,
    /// Whether an earlier send got no answer.
    unanswered: bool,
}

/// What a run is waiting for.
#[derive(Clone, Debug)]
enum State {
    Done,
    Paused(Millis),
    Reading(u64),
    AwaitingPeers {
        reply: ChangeReply,
        until: Millis,
        live: Vec<VmId>,
    },
    Writing(u64),
}

/// State machine of one settings change.
#[derive(Clone, Debug)]
pub struct ChangeRun {
    setup: ChangeSetup,
    state: State,
    seq: u64,
    pending: Option<PendingWrite>,
    durable: bool,
}

impl ChangeRun {
    /// Creates a run, which starts at its first tick.
    pub fn new(setup: ChangeSetup) -> ChangeRun {
        ChangeRun {
            setup,
            state: State::Paused(Millis::ZERO),
            seq: 0,
            pending: None,
            durable: false,
        }
    }

    /// Whether the operator has been answered.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Whether a write may still take effect, including after a reply with an unknown
    /// outcome.
    pub fn is_writing(&self) -> bool {
        self.pending.as_ref().is_some_and(|w| w.sent) && !self.durable
    }

    /// Revision created by the change, from when it is durable until the operator is answered.
    pub fn revision(&self) -> Option<Revision> {
        match &self.state {
            State::AwaitingPeers { reply, .. } => Some(reply.revision),
            _ => None,
        }
    }

    /// Handles one input and returns the actions to perform.
    pub fn step(&mut self, now: Millis, input: ChangeInput) -> Vec<ChangeAction> {
        let mut out = Vec::new();
        match input {
            ChangeInput::Peers { live, holders } => self.on_peers(live, holders, &mut out),
            ChangeInput::Read(seq, got) => {
                if matches!(self.state, State::Reading(s) if s == seq) {
                    self.on_read(got, now, &mut out);
                }
            }
            ChangeInput::Tick => self.on_tick(now, &mut out),
            ChangeInput::Write(seq, result) => {
                if matches!(self.state, State::Writing(s) if s == seq) {
                    self.on_written(result, now, &mut out);
                }
            }
        }
        out
    }

    fn on_tick(&mut self, now: Millis, out: &mut Vec<ChangeAction>) {
        match &self.state {
            State::Done => {}
            State::AwaitingPeers { until, .. } if now >= *until => self.finish(out),
            State::AwaitingPeers { .. } => {}
            _ if now >= self.setup.deadline => self.on_deadline(out),
            State::Paused(until) if now >= *until => self.read(out),
            _ => {}
        }
    }

    fn read(&mut self, out: &mut Vec<ChangeAction>) {
        self.seq += 1;
        self.state = State::Reading(self.seq);
        out.push(ChangeAction::Read(self.seq));
    }

    fn on_read(&mut self, got: Option<StoredDoc>, now: Millis, out: &mut Vec<ChangeAction>) {
        let Some(stored) = got else {
            self.state = State::Paused(now + RETRY_PAUSE);
            return;
        };
        let tree = match &stored.data {
            Some(data) => Tree::decode(data),
            None => Ok(Tree::new()),
        };
        let tree = match tree {
            Ok(tree) => tree,
            Err(findings) => return self.refuse_findings("the store's document", findings, out),
        };
        let applied = tree.revision_of(&self.setup.change.op);
        match applied.filter(|_| self.setup.guards.dedup) {
            Some(revision) => self.on_durable(Arc::new(tree), revision, true, now, out),
            None => self.on_absent(&stored, tree, out),
        }
    }

    /// Handles a document that does not contain the operation.
    fn on_absent(&mut self, stored: &StoredDoc, tree: Tree, out: &mut Vec<ChangeAction>) {
        let pending = self.pending.take();
        let resolve = self.setup.guards.resolve;
        match pending.filter(|w| w.sent && resolve) {
            Some(pending) if pending.base == stored.rev => self.write(pending, out),
            Some(pending) if tree.revision() < pending.tree.revision() => {
                let reason = "the store's document was replaced by an older one meanwhile";
                self.refuse(Refusal::unknown(reason), out);
            }
            Some(pending) => {
                let base = Revision(pending.tree.revision().0 - 1);
                self.conflict(&tree, base, out);
            }
            None => self.start_write(stored, &tree, out),
        }
    }

    /// Checks the stored document, applies the edits to it and writes the result.
    fn start_write(&mut self, stored: &StoredDoc, tree: &Tree, out: &mut Vec<ChangeAction>) {
        if tree.revision() < self.setup.newest_known && self.setup.guards.newest_known {
            let reason = format!(
                "the store holds revision {}, older than revision {} in force",
                tree.revision(),
                self.setup.newest_known
            );
            return self.refuse(Refusal::not_run(reason), out);
        }
        if tree.version() != stored.version && self.setup.guards.version {
            let reason = "somebody has put an older document back into the store";
            return self.refuse(Refusal::not_run(reason), out);
        }
        let expect = self.setup.expect.unwrap_or(tree.revision());
        if expect != tree.revision() {
            return self.conflict(tree, expect, out);
        }
        match tree.apply(&self.setup.change) {
            Ok(next) => {
                let pending = PendingWrite {
                    base: stored.rev,
                    tree: Arc::new(next.with_version(stored.version.next())),
                    sent: false,
                    unanswered: false,
                };
                self.write(pending, out);
            }
            Err(findings) => self.refuse_findings("the change", findings, out),
        }
    }

    fn write(&mut self, mut pending: PendingWrite, out: &mut Vec<ChangeAction>) {
        self.seq += 1;
        self.state = State::Writing(self.seq);
        pending.sent = true;
        out.push(ChangeAction::Write {
            seq: self.seq,
            base: self.setup.guards.compare.then_some(pending.base),
            data: pending.tree.encode(),
        });
        self.pending = Some(pending);
    }

    fn on_written(&mut self, result: WriteResult, now: Millis, out: &mut Vec<ChangeAction>) {
        match result {
            WriteResult::Done => {
                let tree = self.pending.as_ref().map(|w| w.tree.clone());
                if let Some(tree) = tree {
                    let revision = tree.revision();
                    self.on_durable(tree, revision, false, now, out);
                }
            }
            WriteResult::Changed => self.read(out),
            WriteResult::NotSent => {
                self.update_pending(|w| w.sent = w.unanswered);
                self.state = State::Paused(now + RETRY_PAUSE);
            }
            WriteResult::Unknown if self.setup.guards.resolve => {
                self.update_pending(|w| w.unanswered = true);
                self.read(out);
            }
            WriteResult::Unknown => self.refuse(Refusal::not_run("no answer"), out),
        }
    }

    fn update_pending(&mut self, change: impl Fn(&mut PendingWrite)) {
        self.pending.iter_mut().for_each(change);
    }

    fn on_durable(
        &mut self,
        tree: Arc<Tree>,
        revision: Revision,
        repeated: bool,
        now: Millis,
        out: &mut Vec<ChangeAction>,
    ) {
        self.durable = true;
        let own_write = self.pending.as_ref().is_some_and(|w| w.sent);
        let reply = ChangeReply {
            op: self.setup.change.op.clone(),
            revision,
            repeated: repeated && !own_write,
            in_force: Vec::new(),
            not_heard: Vec::new(),
        };
        self.state = State::AwaitingPeers {
            reply,
            until: now + self.setup.peer_wait,
            live: Vec::new(),
        };
        out.push(ChangeAction::Accepted(tree));
    }

    fn on_peers(&mut self, live: Vec<VmId>, holders: Vec<VmId>, out: &mut Vec<ChangeAction>) {
        let State::AwaitingPeers {
            reply, live: all, ..
        } = &mut self.state
        else {
            return;
        };
        *all = live;
        reply.in_force = holders;
        if all.iter().all(|vm| reply.in_force.contains(vm)) {
            self.finish(out);
        }
    }

    fn finish(&mut self, out: &mut Vec<ChangeAction>) {
        if let State::AwaitingPeers { reply, live, .. } = &self.state {
            let mut reply = reply.clone();
            let confirmed = &reply.in_force;
            let rest = live.iter().filter(|vm| !confirmed.contains(vm));
            reply.not_heard = rest.cloned().collect();
            out.push(ChangeAction::Reply(Reply::Accepted(reply)));
            self.state = State::Done;
        }
    }

    fn on_deadline(&mut self, out: &mut Vec<ChangeAction>) {
        if self.is_writing() {
            let reason = "the store did not say whether the change took effect; \
                          send it again with the same operation id";
            self.refuse(Refusal::unknown(reason), out);
        } else {
            self.refuse(Refusal::not_run("the store does not answer"), out);
        }
    }

    fn conflict(&mut self, tree: &Tree, base: Revision, out: &mut Vec<ChangeAction>) {
        let conflict = Conflict {
            revision: tree.revision(),
            records: tree.changes_after(base),
        };
        let mut refusal = Refusal::not_run("another change came first");
        refusal.conflict = Some(conflict);
        self.refuse(refusal, out);
    }

    fn refuse_findings(&mut self, what: &str, findings: Findings, out: &mut Vec<ChangeAction>) {
        let sent = self.is_writing();
        let reason = format!("{what} has findings");
        let mut refusal = Refusal::not_run(reason.clone());
        if sent {
            refusal = Refusal::unknown(reason);
        }
        refusal.findings = findings;
        self.refuse(refusal, out);
    }

    fn refuse(&mut self, refusal: Refusal, out: &mut Vec<ChangeAction>) {
        self.state = State::Done;
        out.push(ChangeAction::Reply(Reply::Refused(Box::new(refusal))));
    }
}
