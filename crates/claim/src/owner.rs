//! The roles of owner and backup: record claims and outcomes in both of their tables.

use base::Millis;
use base::Outcome;
use base::RequestId;
use base::VmId;

use crate::entry::RETRY_AFTER;
use crate::home::creation_time;
use crate::machine::Claims;
use crate::machine::Reason;
use crate::machine::StepOutput;
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
        out: &mut StepOutput,
    ) {
        if self.view.owner(&id) != Some(&self.me) {
            return;
        }
        let send = SendKey { entry, nonce };
        if !self.has_lease(now) {
            let claimed = self.table.get(&id).is_some_and(|r| r.record.send == send);
            return send_refusal(&send, (Reason::NoLease, RETRY_AFTER), claimed, out);
        }
        if let Some(reason) = self.age_refusal(now, &id) {
            return send_refusal(&send, (reason, Millis::ZERO), false, out);
        }
        match self.table.get(&id) {
            Some(row) if row.record.send == send => self.resume(now, id, out),
            Some(row) if !row.record.allows_attempt(attempt) => {
                self.reply_from_record(now, id, send, attempt, out)
            }
            Some(row) if !row.copied => self.request_copy(now, &id, out),
            _ => self.claim(now, id, Record::claimed(send, attempt), out),
        }
    }

    /// Reason to refuse an id by its age alone.
    fn age_refusal(&self, now: Millis, id: &RequestId) -> Option<Reason> {
        let at = creation_time(id)?;
        let skew = self.limits.max_skew;
        if at > now + skew {
            return Some(Reason::Future);
        }
        let end = at + self.limits.retention.since(skew + skew);
        (now >= end).then_some(Reason::TooOld)
    }

    fn covers(&self, now: Millis, id: &RequestId) -> bool {
        self.limits.ablation.no_doubt || self.coverage.covers(now, id)
    }

    /// Records a new claim and replicates it, or refuses the send.
    fn claim(&mut self, now: Millis, id: RequestId, record: Record, out: &mut StepOutput) {
        let backup = self.view.holders(&id).1.cloned();
        let full = self.table.len() >= self.limits.max_records && self.table.get(&id).is_none();
        let covered = self.covers(now, &id);
        let lost = backup.as_ref().is_some_and(|vm| self.down.contains(vm));
        let reason = if full {
            Some((Reason::Full, RETRY_AFTER))
        } else if lost {
            Some((Reason::NoCopy, RETRY_AFTER))
        } else if backup.is_none() && !covered {
            Some((Reason::Doubt, self.doubt_remaining(now, &id)))
        } else {
            None
        };
        if let Some(why) = reason {
            return send_refusal(&record.send, why, false, out);
        }
        let send = record.send.clone();
        let ready = backup.is_none() || self.limits.ablation.no_copy;
        let row = Row {
            record,
            copied: ready,
            ungranted: !ready,
            expires: now + self.limits.retention,
            retry: now + self.limits.retry_interval,
        };
        self.table
            .put(id.clone(), row, self.limits.max_body_bytes, !ready);
        if ready {
            self.grant(&send, out);
        }
        self.send_copy(now, &id, out);
    }

    fn grant(&self, send: &SendKey, out: &mut StepOutput) {
        let view = self.view.number;
        let nonce = send.nonce;
        out.send(&send.entry, Message::Grant { view, nonce });
    }

    fn doubt_remaining(&self, now: Millis, id: &RequestId) -> Millis {
        self.coverage.covered_at(id).since(now)
    }

    /// Continues a send whose claim is already recorded.
    fn resume(&mut self, now: Millis, id: RequestId, out: &mut StepOutput) {
        let Some(row) = self.table.get(&id) else {
            return;
        };
        let send = row.record.send.clone();
        match &row.record.state {
            State::Claimed if row.copied => self.grant(&send, out),
            State::Claimed if self.is_backup_down(&id) => {
                send_refusal(&send, (Reason::NoCopy, RETRY_AFTER), true, out)
            }
            State::Claimed => self.request_copy(now, &id, out),
            State::Done(answer) if answer.outcome == Outcome::NotRun => {
                send_refusal(&send, (Reason::Held, RETRY_AFTER), true, out)
            }
            State::Done(answer) => send_stored(&send, answer, out),
        }
    }

    /// Answers a send according to the record of another send of its id.
    fn reply_from_record(
        &mut self,
        now: Millis,
        id: RequestId,
        send: SendKey,
        attempt: u32,
        out: &mut StepOutput,
    ) {
        let Some(row) = self.table.get(&id) else {
            return;
        };
        let last = row.record.attempt;
        let copied = row.copied || self.limits.ablation.no_tombstone;
        match &row.record.state {
            State::Claimed => send_refusal(&send, (Reason::Held, RETRY_AFTER), false, out),
            State::Done(answer) if answer.outcome != Outcome::NotRun => {
                send_stored(&send, answer, out)
            }
            State::Done(_) if last != 0 && attempt == 0 => {
                send_refusal(&send, (Reason::Held, RETRY_AFTER), false, out)
            }
            State::Done(_) if copied => {
                send_refusal(&send, (Reason::Closed, Millis::ZERO), false, out)
            }
            State::Done(_) => self.request_copy(now, &id, out),
        }
    }

    fn is_backup_down(&self, id: &RequestId) -> bool {
        self.view
            .holders(id)
            .1
            .is_some_and(|vm| self.down.contains(vm))
    }

    /// Replicates a record that the backup may not have, until it is acknowledged.
    fn request_copy(&mut self, now: Millis, id: &RequestId, out: &mut StepOutput) {
        self.table
            .set_uncopied(id, now + self.limits.retry_interval);
        self.send_copy(now, id, out);
    }

    fn send_copy(&mut self, now: Millis, id: &RequestId, out: &mut StepOutput) {
        let Some(row) = self.table.get(id) else {
            return;
        };
        let record = row.record.clone();
        let covered = self.covers(now, id);
        let Some(backup) = self.view.holders(id).1 else {
            return self.settle_without_backup(now, id, covered, out);
        };
        let copy = Message::Copy {
            view: self.view.number,
            id: id.clone(),
            record,
            covered,
        };
        out.send(backup, copy);
    }

    /// Without a backup, the owner's record alone is sufficient.
    fn settle_without_backup(
        &mut self,
        now: Millis,
        id: &RequestId,
        covered: bool,
        out: &mut StepOutput,
    ) {
        let Some(row) = self.table.get(id) else {
            return;
        };
        if row.copied {
            return;
        }
        let send = row.record.send.clone();
        let done = row.record.outcome().is_some();
        let ran = row.record.may_have_run();
        let view = self.view.number;
        if covered || ran {
            self.on_copy_ack(now, view, id.clone(), send, done, out);
        } else {
            let why = (Reason::Doubt, self.doubt_remaining(now, id));
            self.on_copy_refuse(view, id.clone(), (send, done), why, out);
        }
    }

    pub(crate) fn tick_copies(&mut self, now: Millis, out: &mut StepOutput) {
        for id in self.table.due(now, self.limits.retry_interval) {
            if !self.is_backup_down(&id) {
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
        out: &mut StepOutput,
    ) {
        let view = self.view.number;
        let roles = (Some(&from), Some(&self.me));
        if self.view.holders(&id) != roles && !self.limits.ablation.no_promise {
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
        if !covered && !record.may_have_run() && !self.covers(now, &id) {
            let after = self.doubt_remaining(now, &id);
            return out.send(&from, refuse(Reason::Doubt, after));
        }
        let old = self.table.get(&id).map(|r| r.record.clone());
        if old.is_none() && !done && self.table.len() >= self.limits.max_records {
            return out.send(&from, refuse(Reason::Full, RETRY_AFTER));
        }
        let merged = match old.clone() {
            Some(old) if !record.may_have_run() && !old.allows_claim(&record) => old,
            Some(old) => old.merge(record.clone()),
            None => record.clone(),
        };
        if merged.send != record.send || merged.outcome() != record.outcome() {
            let record = merged;
            return out.send(&from, Message::CopyKnown { view, id, record });
        }
        if old.as_ref() != Some(&merged) {
            self.store_copied(now, id.clone(), merged);
        }
        let ack = Message::CopyAck {
            view,
            id,
            send,
            done,
        };
        out.send(&from, ack);
    }

    fn store_copied(&mut self, now: Millis, id: RequestId, record: Record) {
        let old = self.table.get(&id).map(|row| row.expires);
        let row = Row {
            record,
            copied: true,
            ungranted: false,
            expires: old.unwrap_or(now + self.limits.retention),
            retry: now,
        };
        self.table.put(id, row, self.limits.max_body_bytes, false);
    }

    /// The row that a reply of the backup refers to, if it still awaits that reply.
    fn row_awaiting_copy(&self, view: ViewNumber, id: &RequestId) -> Option<&Row> {
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
        out: &mut StepOutput,
    ) {
        let lease = self.has_lease(now);
        let Some(row) = self.row_awaiting_copy(view, &id) else {
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
            send_refusal(&send, (Reason::NoLease, RETRY_AFTER), true, out);
        }
    }

    pub(crate) fn on_copy_known(
        &mut self,
        now: Millis,
        view: ViewNumber,
        id: RequestId,
        record: Record,
        out: &mut StepOutput,
    ) {
        let Some(row) = self.row_awaiting_copy(view, &id) else {
            return;
        };
        let send = row.record.send.clone();
        let attempt = row.record.attempt;
        let adopt = row.ungranted && send != record.send;
        let merged = match adopt {
            true => record.clone(),
            false => row.record.clone().merge(record.clone()),
        };
        if merged == record {
            self.store_copied(now, id.clone(), record);
        } else if send != record.send {
            self.merge_record(now, id.clone(), record);
            self.table.stop_copying(&id);
        }
        if self.has_lease(now) {
            self.reply_from_record(now, id, send, attempt, out);
        } else {
            send_refusal(&send, (Reason::NoLease, RETRY_AFTER), true, out);
        }
    }

    pub(crate) fn on_copy_refuse(
        &mut self,
        view: ViewNumber,
        id: RequestId,
        (send, done): (SendKey, bool),
        why: (Reason, Millis),
        out: &mut StepOutput,
    ) {
        let Some(row) = self.row_awaiting_copy(view, &id) else {
            return;
        };
        if row.record.send != send || row.record.outcome().is_some() != done {
            return;
        }
        let ungranted = row.ungranted;
        if ungranted {
            self.table.remove(&id);
        } else {
            self.table.stop_copying(&id);
        }
        let nonce = send.nonce;
        if done {
            out.send(&send.entry, Message::ReportAck { nonce });
        } else {
            send_refusal(&send, why, !ungranted, out);
        }
    }

    pub(crate) fn on_report(
        &mut self,
        now: Millis,
        entry: VmId,
        id: RequestId,
        (nonce, attempt): (u64, u32),
        answer: Answer,
        out: &mut StepOutput,
    ) {
        if self.view.owner(&id) != Some(&self.me) {
            return;
        }
        let send = SendKey { entry, nonce };
        let same = self.table.get(&id).filter(|r| r.record.send == send);
        let known = same.map(|r| (r.record.outcome().is_some(), r.copied, r.ungranted));
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
        self.merge_record(now, id.clone(), record);
        if self.table.get(&id).is_some_and(|r| r.record.send != send) {
            return out.send(&send.entry, Message::ReportAck { nonce });
        }
        if let Some((_, _, true)) = known {
            self.table.set_ungranted(&id);
        }
        self.request_copy(now, &id, out);
    }

    /// Refuses sends whose claim waits for an unreachable backup.
    pub(crate) fn refuse_uncopied(&mut self, out: &mut StepOutput) {
        for id in self.table.uncopied() {
            let row = self.table.get(&id);
            let claimed = row.filter(|r| r.record.outcome().is_none());
            if let Some(row) = claimed.filter(|_| self.is_backup_down(&id)) {
                send_refusal(&row.record.send, (Reason::NoCopy, RETRY_AFTER), true, out);
            }
        }
    }
}

fn send_refusal(
    send: &SendKey,
    (reason, after): (Reason, Millis),
    claimed: bool,
    out: &mut StepOutput,
) {
    let refusal = Message::Refuse {
        nonce: send.nonce,
        reason,
        after,
        claimed,
    };
    out.send(&send.entry, refusal);
}

fn send_stored(send: &SendKey, answer: &Answer, out: &mut StepOutput) {
    let reply = Message::Stored {
        nonce: send.nonce,
        answer: answer.clone(),
    };
    out.send(&send.entry, reply);
}
