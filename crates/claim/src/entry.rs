//! The entry VM's role: asks for claims, dispatches at most once under a grant, and reports
//! outcomes to the owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Millis;
use base::Outcome;
use base::RequestId;

use crate::machine::Action;
use crate::machine::Claims;
use crate::machine::Reason;
use crate::machine::StepOutput;
use crate::machine::Verdict;
use crate::message::Message;
use crate::record::Answer;
use crate::view::ViewNumber;

/// Delay suggested to the caller after a temporary refusal.
pub(crate) const RETRY_AFTER: Millis = Millis(1000);

/// Multiple of the retry interval used while another send of the id is in progress.
const HELD_RETRY_FACTOR: u64 = 4;

/// Progress of one send.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// Waiting for the owner's decision. While another send of the id is in progress, holds the
    /// time up to which to wait for its outcome.
    Asking(Option<Millis>),
    /// Dispatched; the outcome is not known yet.
    Dispatched,
    /// The outcome is reported to the owner until it acknowledges, at most up to `until`.
    Reporting { answer: Answer, until: Millis },
}

/// A send that waits for a grant, runs, or waits for its report to be acknowledged.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingSend {
    id: RequestId,
    attempt: u32,
    deadline: Millis,
    phase: Phase,
    /// When the next message is sent or the send times out.
    wake_at: Millis,
}

/// Unfinished sends by token. The token is also used as the nonce of the send.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct PendingSends {
    map: BTreeMap<u64, PendingSend>,
    timers: BTreeSet<(Millis, u64)>,
}

impl PendingSends {
    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    fn put(&mut self, token: u64, send: PendingSend) {
        self.remove(token);
        self.timers.insert((send.wake_at, token));
        self.map.insert(token, send);
    }

    fn remove(&mut self, token: u64) -> Option<PendingSend> {
        let send = self.map.remove(&token)?;
        self.timers.remove(&(send.wake_at, token));
        Some(send)
    }

    fn due(&self, now: Millis) -> Vec<u64> {
        let due = self.timers.range(..=(now, u64::MAX));
        due.map(|(_, token)| *token).collect()
    }
}

impl Claims {
    pub(crate) fn on_request(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        token: u64,
        deadline: Millis,
        out: &mut StepOutput,
    ) {
        let Some(owner) = self.view.owner(&id) else {
            return out.reply(token, refusal(attempt, Reason::NoView, RETRY_AFTER));
        };
        if self.down.contains(owner) {
            return out.reply(token, refusal(attempt, Reason::NoOwner, RETRY_AFTER));
        }
        if self.sends.len() >= self.limits.max_pending {
            return out.reply(token, refusal(attempt, Reason::Pending, RETRY_AFTER));
        }
        let send = PendingSend {
            id,
            attempt,
            deadline,
            phase: Phase::Asking(None),
            wake_at: now,
        };
        self.sends.put(token, send);
        self.advance_send(now, token, out);
    }

    pub(crate) fn tick_sends(&mut self, now: Millis, out: &mut StepOutput) {
        for token in self.sends.due(now) {
            self.advance_send(now, token, out);
        }
    }

    /// Repeats the unanswered messages of all pending sends to the owners in a new view.
    pub(crate) fn renew_sends(&mut self, now: Millis, out: &mut StepOutput) {
        let tokens: Vec<u64> = self.sends.map.keys().copied().collect();
        for token in tokens {
            self.advance_send(now, token, out);
        }
    }

    fn advance_send(&mut self, now: Millis, token: u64, out: &mut StepOutput) {
        let Some(mut send) = self.sends.remove(token) else {
            return;
        };
        match &mut send.phase {
            Phase::Asking(held) => {
                let end = held.unwrap_or(Millis::MAX);
                if now >= send.deadline || now >= end {
                    let held = held.is_some();
                    let reason = if held { Reason::Held } else { Reason::Timeout };
                    return self.refuse_send(now, token, send, (reason, RETRY_AFTER, true), out);
                }
                let span =
                    Millis(self.limits.retry_interval.0 * held.map_or(1, |_| HELD_RETRY_FACTOR));
                send.wake_at = (now + span).min(send.deadline).min(end);
                self.send_to_owner(&send, token, out);
            }
            Phase::Dispatched => send.wake_at = Millis::MAX,
            Phase::Reporting { until, .. } => {
                if now >= *until {
                    return;
                }
                send.wake_at = now + self.limits.retry_interval;
                self.send_to_owner(&send, token, out);
            }
        }
        self.sends.put(token, send);
    }

    fn send_to_owner(&self, send: &PendingSend, nonce: u64, out: &mut StepOutput) {
        let Some(owner) = self.view.owner(&send.id) else {
            return;
        };
        let view = self.view.number;
        let id = send.id.clone();
        let attempt = send.attempt;
        let msg = match &send.phase {
            Phase::Reporting { answer, .. } => Message::Report {
                view,
                id,
                nonce,
                attempt,
                answer: answer.clone(),
            },
            _ => Message::Ask {
                view,
                id,
                nonce,
                attempt,
            },
        };
        out.send(owner, msg);
    }

    pub(crate) fn on_grant(
        &mut self,
        now: Millis,
        fence: ViewNumber,
        token: u64,
        out: &mut StepOutput,
    ) {
        let any = self.limits.ablation.no_nonce;
        let is_usable = |s: &PendingSend| any || matches!(s.phase, Phase::Asking(_));
        if !self.sends.map.get(&token).is_some_and(is_usable) {
            return;
        }
        let Some(mut send) = self.sends.remove(token) else {
            return;
        };
        if now >= send.deadline && !any {
            let why = (Reason::Timeout, RETRY_AFTER, true);
            return self.refuse_send(now, token, send, why, out);
        }
        let id = send.id.clone();
        out.actions.push(Action::Dispatch { id, token, fence });
        send.phase = Phase::Dispatched;
        send.wake_at = Millis::MAX;
        self.sends.put(token, send);
    }

    pub(crate) fn on_refuse(
        &mut self,
        now: Millis,
        token: u64,
        reason: Reason,
        after: Millis,
        claimed: bool,
        out: &mut StepOutput,
    ) {
        let Some(mut send) = self.take_asking(token) else {
            return;
        };
        let Phase::Asking(held) = &mut send.phase else {
            return;
        };
        if reason == Reason::Held && self.limits.outcome_wait > Millis::ZERO {
            held.get_or_insert(now + self.limits.outcome_wait);
            return self.sends.put(token, send);
        }
        self.refuse_send(now, token, send, (reason, after, claimed), out);
    }

    pub(crate) fn on_stored(&mut self, token: u64, answer: Answer, out: &mut StepOutput) {
        if self.take_asking(token).is_some() {
            let after = Millis::ZERO;
            let verdict = match answer.outcome {
                Outcome::Ran => Verdict::Answer(answer),
                _ => Verdict::Unknown {
                    reason: Reason::Upstream,
                    after,
                },
            };
            out.reply(token, verdict);
        }
    }

    fn take_asking(&mut self, token: u64) -> Option<PendingSend> {
        let is_asking = |s: &PendingSend| matches!(s.phase, Phase::Asking(_));
        let found = self.sends.map.get(&token).is_some_and(is_asking);
        found.then(|| self.sends.remove(token)).flatten()
    }

    /// Refuses a send that was not dispatched and never will be. If the owner may have recorded
    /// its claim, the outcome "not run" is reported to it.
    fn refuse_send(
        &mut self,
        now: Millis,
        token: u64,
        send: PendingSend,
        (reason, after, claimed): (Reason, Millis, bool),
        out: &mut StepOutput,
    ) {
        out.reply(token, refusal(send.attempt, reason, after));
        if claimed {
            let answer = Answer {
                outcome: Outcome::NotRun,
                body: None,
            };
            self.report(now, token, send, answer, out);
        }
    }

    /// Handles the outcome of a dispatched send. "Not run" is final for this send and all earlier
    /// ones: both holders have recorded this claim, and no other send can pass it.
    pub(crate) fn on_dispatch_end(
        &mut self,
        now: Millis,
        token: u64,
        answer: Answer,
        out: &mut StepOutput,
    ) {
        let is_open = |s: &PendingSend| s.phase == Phase::Dispatched;
        if !self.sends.map.get(&token).is_some_and(is_open) {
            return;
        }
        let Some(send) = self.sends.remove(token) else {
            return;
        };
        let reason = Reason::Upstream;
        let after = RETRY_AFTER;
        match answer.outcome {
            Outcome::NotRun => out.reply(token, Verdict::NotRun { reason, after }),
            Outcome::Ran => {}
            Outcome::Unknown => out.reply(token, Verdict::Unknown { reason, after }),
        }
        self.report(now, token, send, self.drop_large_body(answer), out);
    }

    fn drop_large_body(&self, mut answer: Answer) -> Answer {
        let limit = self.limits.max_answer_bytes;
        answer.body = answer.body.filter(|b| b.len() <= limit);
        answer
    }

    fn report(
        &mut self,
        now: Millis,
        token: u64,
        mut send: PendingSend,
        answer: Answer,
        out: &mut StepOutput,
    ) {
        let until = now + self.limits.report_period;
        send.phase = Phase::Reporting { answer, until };
        self.sends.put(token, send);
        self.advance_send(now, token, out);
    }

    pub(crate) fn on_report_ack(&mut self, token: u64) {
        let is_open = |s: &PendingSend| matches!(s.phase, Phase::Reporting { .. });
        if self.sends.map.get(&token).is_some_and(is_open) {
            self.sends.remove(token);
        }
    }

    /// Refuses waiting sends whose owner is unreachable.
    pub(crate) fn refuse_without_owner(&mut self, now: Millis, out: &mut StepOutput) {
        let is_lost = |s: &PendingSend| {
            let owner = self.view.owner(&s.id);
            matches!(s.phase, Phase::Asking(_)) && owner.is_some_and(|vm| self.down.contains(vm))
        };
        let sends = self.sends.map.iter();
        let lost: Vec<u64> = sends.filter(|(_, s)| is_lost(s)).map(|(t, _)| *t).collect();
        for token in lost {
            if let Some(send) = self.sends.remove(token) {
                let why = (Reason::NoOwner, RETRY_AFTER, true);
                self.refuse_send(now, token, send, why, out);
            }
        }
    }
}

/// The verdict on a send that was not dispatched. For the caller's first send, this VM alone knows
/// that the request did not run; for a later send, an earlier one may have run unless the holders
/// say otherwise.
fn refusal(attempt: u32, reason: Reason, after: Millis) -> Verdict {
    let first = attempt == 1 && reason != Reason::Held;
    if first || reason == Reason::Closed {
        Verdict::NotRun { reason, after }
    } else {
        Verdict::Unknown { reason, after }
    }
}
