//! Changes of settings on their way to the store.

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

use super::expect;
use super::stored;
use super::Settings;
use crate::keys;

/// Longest time until an operator is answered.
const DEADLINE: Millis = Millis(5_000);

/// Longest wait for other daemons to have a change in force.
const SPREAD: Millis = Millis(2_000);

/// A change on its way and who waits for its reply.
pub(super) struct Running {
    run: ChangeRun,
    waiters: Vec<oneshot::Sender<ApiResult<ChangeReply>>>,
}

impl Settings {
    /// Begins a change, or joins the one of the same operation.
    pub(super) fn begin(
        &mut self,
        call: SettingsRequest,
        ctx: &mut Context<Settings>,
    ) -> oneshot::Receiver<ApiResult<ChangeReply>> {
        let (tx, rx) = oneshot::channel();
        if let Some(running) = self.runs.get_mut(&call.op) {
            running.waiters.push(tx);
            return rx;
        }
        let now = self.site.clock.now();
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
            newest_known: self.sync.newest_known(),
            deadline: now + DEADLINE,
            peer_wait: SPREAD,
            guards: ChangeGuards::default(),
        });
        let waiters = vec![tx];
        self.runs.insert(call.op.clone(), Running { run, waiters });
        self.step_run(&call.op, ChangeInput::Tick, ctx);
        rx
    }

    /// Refuses a change whose guarantees the workers cannot meet all at once.
    fn check_change(&self, change: &Change) -> Result<(), ApiError> {
        let tree = self.sync.tree();
        let Some(Ok(next)) = tree.map(|tree| tree.apply(change)) else {
            return Ok(());
        };
        self.check_workers(&next).map_err(|findings| {
            let mut refused = ApiError::not_run(422, "the guarantees cannot all be met");
            refused.refusal.findings = findings;
            refused
        })
    }

    pub(super) fn tick_runs(&mut self, ctx: &mut Context<Settings>) {
        let ops: Vec<OpId> = self.runs.keys().cloned().collect();
        for op in &ops {
            self.hear(op, ctx);
            self.step_run(op, ChangeInput::Tick, ctx);
        }
        let writing = self.runs.values().any(|r| r.run.is_writing());
        self.step(Input::Changing(writing), ctx);
    }

    /// Tells a durable change which daemons have it in force.
    fn hear(&mut self, op: &OpId, ctx: &mut Context<Settings>) {
        let revision = self.runs.get(op).and_then(|r| r.run.revision());
        let Some(revision) = revision else { return };
        let peers = self.sync.peers().map(|(vm, _, _)| vm.clone());
        let mut live: Vec<VmId> = peers.collect();
        live.push(self.site.vm.clone());
        let holders = self.sync.holders(revision);
        self.step_run(op, ChangeInput::Peers { live, holders }, ctx);
    }

    fn step_run(&mut self, op: &OpId, input: ChangeInput, ctx: &mut Context<Settings>) {
        let now = self.site.clock.now();
        let Some(running) = self.runs.get_mut(op) else {
            return;
        };
        for action in running.run.step(now, input) {
            self.act_run(op, action, ctx);
        }
    }

    fn act_run(&mut self, op: &OpId, action: ChangeAction, ctx: &mut Context<Settings>) {
        match action {
            ChangeAction::Accepted(tree) => {
                self.step(Input::Accepted(tree), ctx);
                self.hear(op, ctx);
            }
            ChangeAction::Read(seq) => self.read_run(op.clone(), seq, ctx),
            ChangeAction::Reply(reply) => self.reply(op, reply),
            ChangeAction::Write { seq, base, data } => {
                self.step(Input::Changing(true), ctx);
                let expect = base.map_or(Expect::Any, expect);
                self.write_run(op.clone(), seq, expect, data, ctx);
            }
        }
    }

    fn read_run(&mut self, op: OpId, seq: u64, ctx: &mut Context<Settings>) {
        let store = self.store.clone();
        let reading = async move { store.get(keys::SETTINGS).await };
        let done = reading.into_actor(self).map(move |got, settings, ctx| {
            let got = got.ok().map(|entry| stored(entry.as_ref()));
            settings.step_run(&op, ChangeInput::Read(seq, got), ctx);
        });
        ctx.spawn(done);
    }

    fn write_run(
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
            let result = result(put);
            settings.step_run(&op, ChangeInput::Write(seq, result), ctx);
        });
        ctx.spawn(done);
    }

    fn reply(&mut self, op: &OpId, reply: Reply) {
        let Some(running) = self.runs.remove(op) else {
            return;
        };
        let answer = match reply {
            Reply::Accepted(reply) => Ok(reply),
            Reply::Refused(refusal) => Err(refused(*refusal)),
        };
        if let Err(refused) = &answer {
            obs::emit(
                &self.site.log,
                Event::SettingsRefused,
                &refused.refusal.reason,
            );
        }
        for waiter in running.waiters {
            let _ = waiter.send(answer.clone());
        }
    }
}

fn result(put: Result<WriteOutcome, StoreError>) -> WriteResult {
    match put {
        Ok(WriteOutcome::Done(_)) => WriteResult::Done,
        Ok(WriteOutcome::Conflict(_)) => WriteResult::Changed,
        Err(StoreError::OutcomeUnknown(..)) => WriteResult::Unknown,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => WriteResult::NotSent,
    }
}

/// The HTTP status that fits a refusal.
fn refused(refusal: Refusal) -> ApiError {
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
