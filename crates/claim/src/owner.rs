//! The owner's and the copy-holder's part: records claims and outcomes in both tables.

use base::Millis;
use base::Outcome;
use base::RequestId;
use base::VmId;

use crate::entry::COME_BACK;
use crate::home::created;
use crate::machine::Claims;
use crate::machine::Out;
use crate::machine::Reason;
use crate::message::Message;
use crate::record::Answer;
use crate::record::Record;
use crate::record::SendKey;
use crate::record::State;
use crate::table::Row;
use crate::view::ViewNumber;

impl Claims {
    pub(crate) fn on_ask(
        &mut self,
        now: Millis,
        entry: VmId,
        id: RequestId,
        nonce: u64,
        attempt: u32,
        out: &mut Out,
    ) {
        if self.view.owner(&id) != Some(&self.me) {
            return;
        }
        let send = SendKey { entry, nonce };
        if !self.has_lease(now) {
            let claimed = self.table.get(&id).is_some_and(|r| r.record.send == send);
            return refuse(&send, (Reason::NoLease, COME_BACK), claimed, out);
        }
        if let Some(reason) = self.age(now, &id) {
            return refuse(&send, (reason, Millis::ZERO), false, out);
        }
        match self.table.get(&id) {
            Some(row) if row.record.send == send => self.resume(now, id, out),
            Some(row) if !row.record.admits(attempt) => {
                self.tell_known(now, id, send, attempt, out)
            }
            Some(row) if !row.copied => self.push_copy(now, &id, out),
            _ => self.claim(now, id, Record::claimed(send, attempt), out),
        }
    }

    /// Whether the age of an id alone forbids to serve it.
    fn age(&self, now: Millis, id: &RequestId) -> Option<Reason> {
        let at = created(id)?;
        let skew = self.limits.skew;
        if at > now + skew {
            return Some(Reason::Future);
        }
        let end = at + self.limits.retention.since(skew + skew);
        (now >= end).then_some(Reason::TooOld)
    }

    fn covers(&self, now: Millis, id: &RequestId) -> bool {
        self.limits.ablation.no_doubt || self.cover.covers(now, id)
    }

    /// Makes a new claim.
    fn claim(&mut self, now: Millis, id: RequestId, record: Record, out: &mut Out) {
        let holder = self.view.pair(&id).1.cloned();
        let full = self.table.len() >= self.limits.rows && self.table.get(&id).is_none();
        let covered = self.covers(now, &id);
        let lost = holder.as_ref().is_some_and(|vm| self.down.contains(vm));
        let reason = if full {
            Some((Reason::Full, COME_BACK))
        } else if lost {
            Some((Reason::NoCopy, COME_BACK))
        } else if holder.is_none() && !covered {
            Some((Reason::Doubt, self.doubt_end(now, &id)))
        } else {
            None
        };
        if let Some(why) = reason {
            return refuse(&record.send, why, false, out);
        }
        let send = record.send.clone();
        let ready = holder.is_none() || self.limits.ablation.no_copy;
        let row = Row {
            record,
            copied: ready,
            fresh: !ready,
            expires: now + self.limits.retention,
            retry: now + self.limits.retry,
        };
        self.table.put(id.clone(), row, self.limits.bytes, !ready);
        if ready {
            self.grant(&send, out);
        }
        self.send_copy(now, &id, out);
    }

    fn grant(&self, send: &SendKey, out: &mut Out) {
        let view = self.view.number;
        let nonce = send.nonce;
        out.send(&send.entry, Message::Grant { view, nonce });
    }

    fn doubt_end(&self, now: Millis, id: &RequestId) -> Millis {
        self.cover.until(id).since(now)
    }

    /// Goes on with a send whose claim is recorded already.
    fn resume(&mut self, now: Millis, id: RequestId, out: &mut Out) {
        let Some(row) = self.table.get(&id) else {
            return;
        };
        let send = row.record.send.clone();
        match &row.record.state {
            State::Claimed if row.copied => self.grant(&send, out),
            State::Claimed if self.is_holder_down(&id) => {
                refuse(&send, (Reason::NoCopy, COME_BACK), true, out)
            }
            State::Claimed => self.push_copy(now, &id, out),
            State::Done(answer) if answer.outcome == Outcome::NotRun => {
                refuse(&send, (Reason::Held, COME_BACK), true, out)
            }
            State::Done(answer) => stored(&send, answer, out),
        }
    }

    /// Answers a send by the record of another send of its id.
    fn tell_known(
        &mut self,
        now: Millis,
        id: RequestId,
        send: SendKey,
        attempt: u32,
        out: &mut Out,
    ) {
        let Some(row) = self.table.get(&id) else {
            return;
        };
        let last = row.record.attempt;
        let copied = row.copied || self.limits.ablation.no_tombstone;
        match &row.record.state {
            State::Claimed => refuse(&send, (Reason::Held, COME_BACK), false, out),
            State::Done(answer) if answer.outcome != Outcome::NotRun => stored(&send, answer, out),
            State::Done(_) if last != 0 && attempt == 0 => {
                refuse(&send, (Reason::Held, COME_BACK), false, out)
            }
            State::Done(_) if copied => refuse(&send, (Reason::Closed, Millis::ZERO), false, out),
            State::Done(_) => self.push_copy(now, &id, out),
        }
    }

    fn is_holder_down(&self, id: &RequestId) -> bool {
        self.view
            .pair(id)
            .1
            .is_some_and(|vm| self.down.contains(vm))
    }

    /// Has a record copied that the holder may not have.
    fn push_copy(&mut self, now: Millis, id: &RequestId, out: &mut Out) {
        self.table.set_uncopied(id, now + self.limits.retry);
        self.send_copy(now, id, out);
    }

    fn send_copy(&mut self, now: Millis, id: &RequestId, out: &mut Out) {
        let Some(row) = self.table.get(id) else {
            return;
        };
        let record = row.record.clone();
        let covered = self.covers(now, id);
        let Some(holder) = self.view.pair(id).1 else {
            return self.settle_alone(now, id, covered, out);
        };
        let copy = Message::Copy {
            view: self.view.number,
            id: id.clone(),
            record,
            covered,
        };
        out.send(holder, copy);
    }

    /// Without a copy-holder, the owner's record alone counts.
    fn settle_alone(&mut self, now: Millis, id: &RequestId, covered: bool, out: &mut Out) {
        let Some(row) = self.table.get(id) else {
            return;
        };
        if row.copied {
            return;
        }
        let send = row.record.send.clone();
        let done = row.record.outcome().is_some();
        let ran = row.record.ran();
        let view = self.view.number;
        if covered || ran {
            self.on_copy_ack(now, view, id.clone(), send, done, out);
        } else {
            let why = (Reason::Doubt, self.doubt_end(now, id));
            self.on_copy_refuse(view, id.clone(), (send, done), why, out);
        }
    }

    pub(crate) fn tick_copies(&mut self, now: Millis, out: &mut Out) {
        for id in self.table.due(now, self.limits.retry) {
            if !self.is_holder_down(&id) {
                self.send_copy(now, &id, out);
            }
        }
    }

    pub(crate) fn on_copy(
        &mut self,
        now: Millis,
        from: VmId,
        id: RequestId,
        record: Record,
        covered: bool,
        out: &mut Out,
    ) {
        let view = self.view.number;
        let roles = (Some(&from), Some(&self.me));
        if self.view.pair(&id) != roles && !self.limits.ablation.no_promise {
            return;
        }
        let send = record.send.clone();
        let done = record.outcome().is_some();
        let refuse = |reason, after| Message::CopyRefuse {
            view,
            id: id.clone(),
            send: send.clone(),
            done,
            reason,
            after,
        };
        if !covered && !record.ran() && !self.covers(now, &id) {
            let after = self.doubt_end(now, &id);
            return out.send(&from, refuse(Reason::Doubt, after));
        }
        let old = self.table.get(&id).map(|r| r.record.clone());
        if old.is_none() && !done && self.table.len() >= self.limits.rows {
            return out.send(&from, refuse(Reason::Full, COME_BACK));
        }
        let merged = match old.clone() {
            Some(old) if !record.ran() && !old.takes(&record) => old,
            Some(old) => old.merge(record.clone()),
            None => record.clone(),
        };
        if merged.send != record.send || merged.outcome() != record.outcome() {
            let record = merged;
            return out.send(&from, Message::CopyKnown { view, id, record });
        }
        if old.as_ref() != Some(&merged) {
            self.put_copied(now, id.clone(), merged);
        }
        let ack = Message::CopyAck {
            view,
            id,
            send,
            done,
        };
        out.send(&from, ack);
    }

    fn put_copied(&mut self, now: Millis, id: RequestId, record: Record) {
        let old = self.table.get(&id).map(|row| row.expires);
        let row = Row {
            record,
            copied: true,
            fresh: false,
            expires: old.unwrap_or(now + self.limits.retention),
            retry: now,
        };
        self.table.put(id, row, self.limits.bytes, false);
    }

    /// The row that a reply of the copy-holder is about, if it still waits for it.
    fn waiting(&self, view: ViewNumber, id: &RequestId) -> Option<&Row> {
        let row = self.table.get(id).filter(|row| !row.copied);
        let owned = self.view.owner(id) == Some(&self.me);
        let current = view == self.view.number || self.limits.ablation.no_promise;
        row.filter(|_| current && owned)
    }

    pub(crate) fn on_copy_ack(
        &mut self,
        now: Millis,
        view: ViewNumber,
        id: RequestId,
        send: SendKey,
        done: bool,
        out: &mut Out,
    ) {
        let lease = self.has_lease(now);
        let Some(row) = self.waiting(view, &id) else {
            return;
        };
        if row.record.send != send || row.record.outcome().is_some() != done {
            return;
        }
        self.table.set_copied(&id);
        let nonce = send.nonce;
        if done {
            return out.send(&send.entry, Message::ReportAck { nonce });
        }
        if lease {
            self.grant(&send, out);
        } else {
            refuse(&send, (Reason::NoLease, COME_BACK), true, out);
        }
    }

    pub(crate) fn on_copy_known(
        &mut self,
        now: Millis,
        view: ViewNumber,
        id: RequestId,
        record: Record,
        out: &mut Out,
    ) {
        let Some(row) = self.waiting(view, &id) else {
            return;
        };
        let send = row.record.send.clone();
        let attempt = row.record.attempt;
        let adopt = row.fresh && send != record.send;
        let merged = match adopt {
            true => record.clone(),
            false => row.record.clone().merge(record.clone()),
        };
        if merged == record {
            self.put_copied(now, id.clone(), record);
        } else if send != record.send {
            self.learn(now, id.clone(), record);
            self.table.stop_copying(&id);
        }
        if self.has_lease(now) {
            self.tell_known(now, id, send, attempt, out);
        } else {
            refuse(&send, (Reason::NoLease, COME_BACK), true, out);
        }
    }

    pub(crate) fn on_copy_refuse(
        &mut self,
        view: ViewNumber,
        id: RequestId,
        (send, done): (SendKey, bool),
        why: (Reason, Millis),
        out: &mut Out,
    ) {
        let Some(row) = self.waiting(view, &id) else {
            return;
        };
        if row.record.send != send || row.record.outcome().is_some() != done {
            return;
        }
        let fresh = row.fresh;
        if fresh {
            self.table.remove(&id);
        } else {
            self.table.stop_copying(&id);
        }
        let nonce = send.nonce;
        if done {
            out.send(&send.entry, Message::ReportAck { nonce });
        } else {
            refuse(&send, why, !fresh, out);
        }
    }

    pub(crate) fn on_report(
        &mut self,
        now: Millis,
        entry: VmId,
        id: RequestId,
        (nonce, attempt): (u64, u32),
        answer: Answer,
        out: &mut Out,
    ) {
        if self.view.owner(&id) != Some(&self.me) {
            return;
        }
        let send = SendKey { entry, nonce };
        let same = self.table.get(&id).filter(|r| r.record.send == send);
        let known = same.map(|r| (r.record.outcome().is_some(), r.copied, r.fresh));
        if let Some((true, true, _)) = known {
            return out.send(&send.entry, Message::ReportAck { nonce });
        }
        if known.is_none() && answer.outcome == Outcome::NotRun {
            return out.send(&send.entry, Message::ReportAck { nonce });
        }
        let record = Record {
            send: send.clone(),
            attempt,
            state: State::Done(answer),
        };
        self.learn(now, id.clone(), record);
        if self.table.get(&id).is_some_and(|r| r.record.send != send) {
            return out.send(&send.entry, Message::ReportAck { nonce });
        }
        if let Some((_, _, true)) = known {
            self.table.set_fresh(&id);
        }
        self.push_copy(now, &id, out);
    }

    /// Refuses the sends whose claim waits for a copy-holder that is not heard.
    pub(crate) fn refuse_uncopied(&mut self, out: &mut Out) {
        for id in self.table.uncopied() {
            let row = self.table.get(&id);
            let claimed = row.filter(|r| r.record.outcome().is_none());
            if let Some(row) = claimed.filter(|_| self.is_holder_down(&id)) {
                refuse(&row.record.send, (Reason::NoCopy, COME_BACK), true, out);
            }
        }
    }
}

fn refuse(send: &SendKey, (reason, after): (Reason, Millis), claimed: bool, out: &mut Out) {
    let refusal = Message::Refuse {
        nonce: send.nonce,
        reason,
        after,
        claimed,
    };
    out.send(&send.entry, refusal);
}

fn stored(send: &SendKey, answer: &Answer, out: &mut Out) {
    let reply = Message::Stored {
        nonce: send.nonce,
        answer: answer.clone(),
    };
    out.send(&send.entry, reply);
}
