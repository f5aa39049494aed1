//! The entry VM's part: asks for claims, dispatches once under a grant, reports outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Millis;
use base::Outcome;
use base::RequestId;

use crate::machine::Action;
use crate::machine::Claims;
use crate::machine::Out;
use crate::machine::Reason;
use crate::machine::Verdict;
use crate::message::Message;
use crate::record::Answer;
use crate::view::ViewNumber;

/// When a caller may come back after a refusal that passes by itself.
pub(crate) const COME_BACK: Millis = Millis(1000);

/// Repeats skipped while another send of the id is in progress.
const HELD_FACTOR: u64 = 4;

/// How far one send got.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// Waits for the owner; set is until when it waits for another send of the id.
    Asking(Option<Millis>),
    /// It was dispatched, and the outcome is open.
    Dispatched,
    /// The outcome is offered to the owner.
    Reporting { answer: Answer, until: Millis },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Send {
    id: RequestId,
    attempt: u32,
    deadline: Millis,
    phase: Phase,
    wake: Millis,
}

/// The sends of this entry VM by token, which is also their nonce.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Sends {
    map: BTreeMap<u64, Send>,
    wakes: BTreeSet<(Millis, u64)>,
}

impl Sends {
    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    fn put(&mut self, token: u64, send: Send) {
        self.remove(token);
        self.wakes.insert((send.wake, token));
        self.map.insert(token, send);
    }

    fn remove(&mut self, token: u64) -> Option<Send> {
        let send = self.map.remove(&token)?;
        self.wakes.remove(&(send.wake, token));
        Some(send)
    }

    fn due(&self, now: Millis) -> Vec<u64> {
        let due = self.wakes.range(..=(now, u64::MAX));
        due.map(|(_, token)| *token).collect()
    }
}

impl Claims {
    pub(crate) fn request(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        token: u64,
        deadline: Millis,
        out: &mut Out,
    ) {
        let Some(owner) = self.view.owner(&id) else {
            return out.reply(token, refusal(attempt, Reason::NoView, COME_BACK));
        };
        if self.down.contains(owner) {
            return out.reply(token, refusal(attempt, Reason::NoOwner, COME_BACK));
        }
        if self.sends.len() >= self.limits.pending {
            return out.reply(token, refusal(attempt, Reason::Pending, COME_BACK));
        }
        let send = Send {
            id,
            attempt,
            deadline,
            phase: Phase::Asking(None),
            wake: now,
        };
        self.sends.put(token, send);
        self.wake_send(now, token, out);
    }

    pub(crate) fn tick_sends(&mut self, now: Millis, out: &mut Out) {
        for token in self.sends.due(now) {
            self.wake_send(now, token, out);
        }
    }

    /// Repeats everything open to the owners of a new view.
    pub(crate) fn renew_sends(&mut self, now: Millis, out: &mut Out) {
        let tokens: Vec<u64> = self.sends.map.keys().copied().collect();
        for token in tokens {
            self.wake_send(now, token, out);
        }
    }

    fn wake_send(&mut self, now: Millis, token: u64, out: &mut Out) {
        let Some(mut send) = self.sends.remove(token) else {
            return;
        };
        match &mut send.phase {
            Phase::Asking(held) => {
                let end = held.unwrap_or(Millis::MAX);
                if now >= send.deadline || now >= end {
                    let held = held.is_some();
                    let reason = if held { Reason::Held } else { Reason::Timeout };
                    return self.give_up(now, token, send, (reason, COME_BACK, true), out);
                }
                let span = Millis(self.limits.retry.0 * held.map_or(1, |_| HELD_FACTOR));
                send.wake = (now + span).min(send.deadline).min(end);
                self.tell_owner(&send, token, out);
            }
            Phase::Dispatched => send.wake = Millis::MAX,
            Phase::Reporting { until, .. } => {
                if now >= *until {
                    return;
                }
                send.wake = now + self.limits.retry;
                self.tell_owner(&send, token, out);
            }
        }
        self.sends.put(token, send);
    }

    fn tell_owner(&self, send: &Send, nonce: u64, out: &mut Out) {
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

    pub(crate) fn on_grant(&mut self, now: Millis, fence: ViewNumber, token: u64, out: &mut Out) {
        let any = self.limits.ablation.no_nonce;
        let is_usable = |s: &Send| any || matches!(s.phase, Phase::Asking(_));
        if !self.sends.map.get(&token).is_some_and(is_usable) {
            return;
        }
        let Some(mut send) = self.sends.remove(token) else {
            return;
        };
        if now >= send.deadline && !any {
            let why = (Reason::Timeout, COME_BACK, true);
            return self.give_up(now, token, send, why, out);
        }
        let id = send.id.clone();
        out.actions.push(Action::Dispatch { id, token, fence });
        send.phase = Phase::Dispatched;
        send.wake = Millis::MAX;
        self.sends.put(token, send);
    }

    pub(crate) fn on_refuse(
        &mut self,
        now: Millis,
        token: u64,
        reason: Reason,
        after: Millis,
        claimed: bool,
        out: &mut Out,
    ) {
        let Some(mut send) = self.take_asking(token) else {
            return;
        };
        let Phase::Asking(held) = &mut send.phase else {
            return;
        };
        if reason == Reason::Held && self.limits.wait > Millis::ZERO {
            held.get_or_insert(now + self.limits.wait);
            return self.sends.put(token, send);
        }
        self.give_up(now, token, send, (reason, after, claimed), out);
    }

    pub(crate) fn on_stored(&mut self, token: u64, answer: Answer, out: &mut Out) {
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

    fn take_asking(&mut self, token: u64) -> Option<Send> {
        let is_asking = |s: &Send| matches!(s.phase, Phase::Asking(_));
        let found = self.sends.map.get(&token).is_some_and(is_asking);
        found.then(|| self.sends.remove(token)).flatten()
    }

    /// Answers a send that was not dispatched and never will be. If the owner may have its
    /// claim, it is told.
    fn give_up(
        &mut self,
        now: Millis,
        token: u64,
        send: Send,
        (reason, after, claimed): (Reason, Millis, bool),
        out: &mut Out,
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

    /// Takes the outcome of a dispatched send. "Not run" is final for this and all earlier
    /// sends: both holders have its claim, which no other send gets past.
    pub(crate) fn finish(&mut self, now: Millis, token: u64, answer: Answer, out: &mut Out) {
        let is_open = |s: &Send| s.phase == Phase::Dispatched;
        if !self.sends.map.get(&token).is_some_and(is_open) {
            return;
        }
        let Some(send) = self.sends.remove(token) else {
            return;
        };
        let reason = Reason::Upstream;
        let after = COME_BACK;
        match answer.outcome {
            Outcome::NotRun => out.reply(token, Verdict::NotRun { reason, after }),
            Outcome::Ran => {}
            Outcome::Unknown => out.reply(token, Verdict::Unknown { reason, after }),
        }
        self.report(now, token, send, self.bounded(answer), out);
    }

    fn bounded(&self, mut answer: Answer) -> Answer {
        let limit = self.limits.answer;
        answer.body = answer.body.filter(|b| b.len() <= limit);
        answer
    }

    fn report(&mut self, now: Millis, token: u64, mut send: Send, answer: Answer, out: &mut Out) {
        let until = now + self.limits.report;
        send.phase = Phase::Reporting { answer, until };
        self.sends.put(token, send);
        self.wake_send(now, token, out);
    }

    pub(crate) fn on_report_ack(&mut self, token: u64) {
        let is_open = |s: &Send| matches!(s.phase, Phase::Reporting { .. });
        if self.sends.map.get(&token).is_some_and(is_open) {
            self.sends.remove(token);
        }
    }

    /// Gives up on sends whose owner is not heard.
    pub(crate) fn refuse_unowned(&mut self, now: Millis, out: &mut Out) {
        let is_lost = |s: &Send| {
            let owner = self.view.owner(&s.id);
            matches!(s.phase, Phase::Asking(_)) && owner.is_some_and(|vm| self.down.contains(vm))
        };
        let sends = self.sends.map.iter();
        let lost: Vec<u64> = sends.filter(|(_, s)| is_lost(s)).map(|(t, _)| *t).collect();
        for token in lost {
            if let Some(send) = self.sends.remove(token) {
                let why = (Reason::NoOwner, COME_BACK, true);
                self.give_up(now, token, send, why, out);
            }
        }
    }
}

/// The result of a send that was not dispatched. The caller's first send is known not to
/// run by this VM alone; of a later one, only what the holders of its claim say is known.
fn refusal(attempt: u32, reason: Reason, after: Millis) -> Verdict {
    let first = attempt == 1 && reason != Reason::Held;
    if first || reason == Reason::Closed {
        Verdict::NotRun { reason, after }
    } else {
        Verdict::Unknown { reason, after }
    }
}
