//! Changes of settings: checks them, writes them to the store and waits until they are in force on
//! the other daemons.

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use base::Millis;
use base::VmId;
use bytes::Bytes;
use conf::api::ChangeReply;
use conf::api::Refusal;
use conf::api::SettingsRequest;
use conf::sync::ChangeAction;
use conf::sync::ChangeGuards;
use conf::sync::ChangeInput;
use conf::sync::ChangeRun;
use conf::sync::ChangeSetup;
use conf::sync::Input;
use conf::sync::Reply;
use conf::sync::WriteResult;
use conf::tree::Change;
use conf::tree::OpId;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use obs::Event;
use plat::Expect;
use plat::StoreError;
use plat::WriteOutcome;
use tokio::sync::oneshot;

use super::expected;
use super::stored_doc;
use super::Settings;
use crate::keys;

/// Time from the receipt of a change after which the operator is answered even if the change is
/// not durable.
const ANSWER_DEADLINE: Millis = Millis(5_000);

/// Longest wait for the other daemons to apply a durable change before the operator is answered.
const PEER_WAIT: Millis = Millis(2_000);

/// A change that is not answered yet, and the calls that wait for its answer.
pub(super) struct PendingChange {
    run: ChangeRun,
    waiters: Vec<oneshot::Sender<ApiResult<ChangeReply>>>,
}

impl Settings {
    /// Begins a change. A call that repeats the operation id of a pending change gets that change's
    /// answer.
    pub(super) fn begin_change(
        &mut self,
        call: SettingsRequest,
        ctx: &mut Context<Settings>,
    ) -> oneshot::Receiver<ApiResult<ChangeReply>> {
        let (tx, rx) = oneshot::channel();
        if let Some(pending) = self.pending_changes.get_mut(&call.op) {
            pending.waiters.push(tx);
            return rx;
        }
        let now = self.context.clock.now();
        let change = Change {
            op: call.op.clone(),
            who: call.who,
            when: now,
            edits: call.edits,
        };
        if let Err(refused) = self.check_change(&change) {
            let _ = tx.send(Err(refused));
            return rx;
        }
        let run = ChangeRun::new(ChangeSetup {
            change,
            expect: call.expect,
            newest_known: self.replica.newest_known(),
            deadline: now + ANSWER_DEADLINE,
            peer_wait: PEER_WAIT,
            guards: ChangeGuards::default(),
        });
        let waiters = vec![tx];
        self.pending_changes
            .insert(call.op.clone(), PendingChange { run, waiters });
        self.step_change(&call.op, ChangeInput::Tick, ctx);
        rx
    }

    /// Refuses a change that would give guarantees which the workers cannot all meet at once.
    fn check_change(&self, change: &Change) -> Result<(), ApiError> {
        let tree = self.replica.tree();
        let Some(Ok(next)) = tree.map(|tree| tree.apply(change)) else {
            return Ok(());
        };
        self.check_workers(&next).map_err(|findings| {
            let mut refused = ApiError::not_run(422, "the guarantees cannot all be met");
            refused.refusal.findings = findings;
            refused
        })
    }

    pub(super) fn tick_changes(&mut self, ctx: &mut Context<Settings>) {
        let ops: Vec<OpId> = self.pending_changes.keys().cloned().collect();
        for op in &ops {
            self.update_holders(op, ctx);
            self.step_change(op, ChangeInput::Tick, ctx);
        }
        let writing = self.pending_changes.values().any(|r| r.run.is_writing());
        self.step(Input::Changing(writing), ctx);
    }

    /// Reports to the run of a durable change which daemons have the change in force.
    fn update_holders(&mut self, op: &OpId, ctx: &mut Context<Settings>) {
        let revision = self.pending_changes.get(op).and_then(|r| r.run.revision());
        let Some(revision) = revision else { return };
        let peers = self.replica.peers().map(|(vm, _, _)| vm.clone());
        let mut live: Vec<VmId> = peers.collect();
        live.push(self.context.vm.clone());
        let holders = self.replica.holders(revision);
        self.step_change(op, ChangeInput::Peers { live, holders }, ctx);
    }

    fn step_change(&mut self, op: &OpId, input: ChangeInput, ctx: &mut Context<Settings>) {
        let now = self.context.clock.now();
        let Some(pending) = self.pending_changes.get_mut(op) else {
            return;
        };
        for action in pending.run.step(now, input) {
            self.execute_change(op, action, ctx);
        }
    }

    fn execute_change(&mut self, op: &OpId, action: ChangeAction, ctx: &mut Context<Settings>) {
        match action {
            ChangeAction::Accepted(tree) => {
                self.step(Input::Accepted(tree), ctx);
                self.update_holders(op, ctx);
            }
            ChangeAction::Read(seq) => self.read_for_change(op.clone(), seq, ctx),
            ChangeAction::Reply(reply) => self.send_reply(op, reply),
            ChangeAction::Write { seq, base, data } => {
                self.step(Input::Changing(true), ctx);
                let expect = base.map_or(Expect::Any, expected);
                self.write_for_change(op.clone(), seq, expect, data, ctx);
            }
        }
    }

    fn read_for_change(&mut self, op: OpId, seq: u64, ctx: &mut Context<Settings>) {
        let store = self.store.clone();
        let reading = async move { store.get(keys::SETTINGS).await };
        let done = reading.into_actor(self).map(move |got, settings, ctx| {
            let got = got.ok().map(|entry| stored_doc(entry.as_ref()));
            settings.step_change(&op, ChangeInput::Read(seq, got), ctx);
        });
        ctx.spawn(done);
    }

    fn write_for_change(
        &mut self,
        op: OpId,
        seq: u64,
        expect: Expect,
        data: String,
        ctx: &mut Context<Settings>,
    ) {
        let store = self.store.clone();
        let data = Bytes::from(data);
        let writing = async move { store.put_if(keys::SETTINGS, expect, data, None).await };
        let done = writing.into_actor(self).map(move |put, settings, ctx| {
            let result = write_result(put);
            settings.step_change(&op, ChangeInput::Write(seq, result), ctx);
        });
        ctx.spawn(done);
    }

    fn send_reply(&mut self, op: &OpId, reply: Reply) {
        let Some(pending) = self.pending_changes.remove(op) else {
            return;
        };
        let answer = match reply {
            Reply::Accepted(reply) => Ok(reply),
            Reply::Refused(refusal) => Err(with_status(*refusal)),
        };
        if let Err(refused) = &answer {
            obs::emit(
                &self.context.log,
                Event::SettingsRefused,
                &refused.refusal.reason,
            );
        }
        for waiter in pending.waiters {
            let _ = waiter.send(answer.clone());
        }
    }
}

fn write_result(put: Result<WriteOutcome, StoreError>) -> WriteResult {
    match put {
        Ok(WriteOutcome::Done(_)) => WriteResult::Done,
        Ok(WriteOutcome::Conflict(_)) => WriteResult::Changed,
        Err(StoreError::OutcomeUnknown(..)) => WriteResult::Unknown,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => WriteResult::NotSent,
    }
}

/// Adds the HTTP status to a refusal.
fn with_status(refusal: Refusal) -> ApiError {
    let status = if refusal.outcome == base::Outcome::Unknown {
        504
    } else if refusal.conflict.is_some() {
        409
    } else if !refusal.findings.is_empty() {
        422
    } else {
        503
    };
    ApiError { status, refusal }
}
