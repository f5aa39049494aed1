//! View changes: promises, the transfer of records to new members, and the planned stop.

use base::Millis;
use base::RequestId;
use base::VmId;

use crate::cover::Cover;
use crate::cover::Quality;
use crate::machine::Action;
use crate::machine::Claims;
use crate::machine::Out;
use crate::message::Message;
use crate::record::Record;
use crate::table::Row;
use crate::view::View;
use crate::view::ViewNumber;

/// Views entered one after the other when a VM learns several at once.
const MAX_STEPS: usize = 8;

/// VMs remembered at most as ended.
const MAX_GONE: usize = 1024;

/// Rows of a member after transfers, as a multiple of [`crate::Limits::rows`].
pub(crate) const TRANSFER_FACTOR: usize = 2;

/// Progress of the transfer from one member of the view before.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Pull {
    last: Option<RequestId>,
    retry: Millis,
}

impl Claims {
    /// Enters a newer view, one by one through those in between that the view names.
    pub(crate) fn enter(&mut self, now: Millis, view: View, out: &mut Out) {
        if view.number <= self.view.number {
            return;
        }
        let behind = (view.number.0 - self.view.number.0) as usize;
        let steps = behind.min(MAX_STEPS);
        for i in (0..steps).rev() {
            if let Some(next) = view.before(i) {
                self.enter_one(now, next);
            }
        }
        self.tick_pulls(now, out);
        self.renew_sends(now, out);
        if self.view.has(&self.me) && self.cover.is_complete() {
            self.tell_joined(out);
        }
    }

    fn enter_one(&mut self, now: Millis, view: View) {
        let follows = view.number.0 == self.view.number.0 + 1;
        let old = std::mem::replace(&mut self.view, view);
        self.left = self
            .cover
            .quality(now)
            .filter(|_| follows && old.has(&self.me));
        self.cover = Cover::new(now, &self.view, &self.limits);
        if let Some(quality) = self.left {
            self.cover.add(self.me.clone(), quality);
        }
        let view = &self.view;
        let same = old.members == view.members;
        self.table
            .reset_copies(|id| same || old.pair(id) == view.pair(id));
        self.joined.clear();
        self.pulls.clear();
        if self.view.has(&self.me) {
            let missing = self.cover.missing();
            let pulls = missing.into_iter().filter(|vm| *vm != self.me);
            self.pulls = pulls.map(|vm| (vm, Pull::default())).collect();
        }
        self.check_gone(now);
    }

    /// Asks the members of the view before for records, until none are missed.
    pub(crate) fn tick_pulls(&mut self, now: Millis, out: &mut Out) {
        if self.cover.is_complete() || self.table.len() >= self.max_rows() {
            return;
        }
        let next = now + self.limits.retry;
        for (vm, pull) in &mut self.pulls {
            if pull.retry <= now {
                pull.retry = next;
                let view = self.view.number;
                let from = pull.last.clone();
                out.send(vm, Message::Pull { view, from });
            }
        }
    }

    pub(crate) fn on_pull(&mut self, to: VmId, from: Option<RequestId>, out: &mut Out) {
        let count = self.limits.chunk;
        let view = &self.view;
        let is_holder = |id: &RequestId| {
            let (first, second) = view.pair(id);
            first == Some(&to) || second == Some(&to)
        };
        let records = self.table.page(from.as_ref(), count, is_holder);
        let last = records.len() < count;
        let chunk = Message::Chunk {
            view: view.number,
            from,
            records,
            last,
            quality: self.left,
        };
        out.send(&to, chunk);
    }

    pub(crate) fn on_chunk(
        &mut self,
        now: Millis,
        from: VmId,
        view: ViewNumber,
        after: Option<RequestId>,
        (records, end, quality): (Vec<(RequestId, Record)>, bool, Option<Quality>),
        out: &mut Out,
    ) {
        let expected = self.pulls.get(&from).map(|p| &p.last);
        if view != self.view.number || expected != Some(&after) {
            return;
        }
        let last = records.last().map(|(id, _)| id.clone());
        for (id, record) in records {
            self.learn(now, id, record);
        }
        if !end {
            let retry = Millis::ZERO;
            self.pulls.insert(from, Pull { last, retry });
            self.tick_pulls(now, out);
            return;
        }
        self.pulls.remove(&from);
        let before = self.cover.is_complete();
        if let Some(quality) = quality {
            self.cover.add(from, quality);
        }
        self.check_gone(now);
        if !before && self.cover.is_complete() {
            self.tell_joined(out);
        }
    }

    /// Merges a record of another member into the table.
    pub(crate) fn learn(&mut self, now: Millis, id: RequestId, record: Record) {
        let old = self.table.get(&id).cloned();
        let record = match &old {
            Some(row) => row.record.clone().merge(record),
            None => record,
        };
        if old.as_ref().is_some_and(|row| row.record == record) {
            return;
        }
        let row = Row {
            record,
            copied: false,
            fresh: false,
            expires: old.map_or(now + self.limits.retention, |row| row.expires),
            retry: now + self.limits.retry,
        };
        self.table.put(id, row, self.limits.bytes, false);
    }

    pub(crate) fn max_rows(&self) -> usize {
        self.limits.rows * TRANSFER_FACTOR
    }

    pub(crate) fn note_gone(&mut self, now: Millis, vm: VmId) {
        self.gone.insert(vm);
        while self.gone.len() > MAX_GONE {
            self.gone.pop_first();
        }
        self.check_gone(now);
    }

    /// Ends the wait for the authority of members that are known to have ended.
    fn check_gone(&mut self, now: Millis) {
        let missing = self.cover.missing();
        if !missing.is_empty() && missing.iter().all(|vm| self.gone.contains(vm)) {
            self.cover.lapse_now(now, &self.limits);
        }
    }

    fn tell_joined(&self, out: &mut Out) {
        let view = self.view.number;
        for vm in self.view.past.first().into_iter().flatten() {
            out.send(vm, Message::Joined { view });
        }
    }

    /// A sender that has the same view may wait for this VM's [`Message::Joined`].
    pub(crate) fn on_view(&mut self, now: Millis, from: VmId, view: View, out: &mut Out) {
        let same = view.number == self.view.number;
        if same && self.view.has(&self.me) && self.cover.is_complete() {
            let view = self.view.number;
            out.send(&from, Message::Joined { view });
        }
        self.enter(now, view, out);
    }

    /// A VM has an older view: it gets this one, and after it the pull that it did not serve.
    pub(crate) fn on_lag(&mut self, now: Millis, from: VmId, view: ViewNumber, out: &mut Out) {
        if view >= self.view.number {
            return;
        }
        out.send(&from, Message::View(self.view.clone()));
        if let Some(pull) = self.pulls.get_mut(&from) {
            pull.retry = now;
            self.tick_pulls(now, out);
        }
    }

    /// While stopping, asks the members that have not told that they joined.
    pub(crate) fn tick_stop(&self, out: &mut Out) {
        if !self.stopping || self.drained || self.view.has(&self.me) {
            return;
        }
        for vm in &self.view.members {
            if !self.joined.contains(vm) {
                out.send(vm, Message::View(self.view.clone()));
            }
        }
    }

    pub(crate) fn on_joined(&mut self, from: VmId, view: ViewNumber) {
        if view == self.view.number {
            self.joined.insert(from);
        }
    }

    /// Reports once that nothing depends on a stopping VM.
    pub(crate) fn drain(&mut self, out: &mut Out) {
        let others = &self.view.members;
        let ready = self.stopping
            && !self.drained
            && self.sends.is_empty()
            && !self.view.has(&self.me)
            && others.iter().all(|vm| self.joined.contains(vm));
        if ready {
            self.drained = true;
            out.actions.push(Action::Drained);
        }
    }
}
