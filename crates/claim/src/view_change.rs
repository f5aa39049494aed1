//! View changes: promises, the transfer of records to new members, and the planned stop.

use base::Millis;
use base::RequestId;
use base::VmId;

use crate::coverage::Completeness;
use crate::coverage::Coverage;
use crate::machine::Action;
use crate::machine::Claims;
use crate::machine::StepOutput;
use crate::message::Message;
use crate::record::Record;
use crate::table::Row;
use crate::view::View;
use crate::view::ViewNumber;

/// Maximum number of consecutive views entered when a VM is several views behind.
const MAX_VIEWS_ENTERED: usize = 8;

/// Maximum number of remembered terminated VMs.
const MAX_TERMINATED: usize = 1024;

/// Row limit of a member, transferred rows included, as a multiple of
/// [`crate::Limits::max_records`].
pub(crate) const TRANSFER_FACTOR: usize = 2;

/// Progress of the transfer from one member of the previous view.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Transfer {
    /// The last id received.
    last: Option<RequestId>,
    /// When an unanswered pull is sent again.
    retry: Millis,
}

impl Claims {
    /// Enters a newer view, passing through the views in between as far as it lists them.
    pub(crate) fn enter_view(&mut self, now: Millis, view: View, out: &mut StepOutput) {
        if view.number <= self.view.number {
            return;
        }
        let behind = (view.number.0 - self.view.number.0) as usize;
        let steps = behind.min(MAX_VIEWS_ENTERED);
        for i in (0..steps).rev() {
            if let Some(next) = view.before(i) {
                self.enter_next(now, next);
            }
        }
        self.tick_transfers(now, out);
        self.renew_sends(now, out);
        if self.view.has(&self.me) && self.coverage.is_complete() {
            self.announce_joined(out);
        }
    }

    fn enter_next(&mut self, now: Millis, view: View) {
        let follows = view.number.0 == self.view.number.0 + 1;
        let old = std::mem::replace(&mut self.view, view);
        self.prior_completeness = self
            .coverage
            .completeness(now)
            .filter(|_| follows && old.has(&self.me));
        self.coverage = Coverage::new(now, &self.view, &self.limits);
        if let Some(completeness) = self.prior_completeness {
            self.coverage.add(self.me.clone(), completeness);
        }
        let view = &self.view;
        let same = old.members == view.members;
        self.table
            .reset_copies(|id| same || old.holders(id) == view.holders(id));
        self.joined.clear();
        self.transfers.clear();
        if self.view.has(&self.me) {
            let missing = self.coverage.missing();
            let transfers = missing.into_iter().filter(|vm| *vm != self.me);
            self.transfers = transfers.map(|vm| (vm, Transfer::default())).collect();
        }
        self.expire_terminated(now);
    }

    /// Requests records from the members of the previous view until all claims are known.
    pub(crate) fn tick_transfers(&mut self, now: Millis, out: &mut StepOutput) {
        if self.coverage.is_complete() || self.table.len() >= self.row_limit() {
            return;
        }
        let next = now + self.limits.retry_interval;
        for (vm, transfer) in &mut self.transfers {
            if transfer.retry <= now {
                transfer.retry = next;
                let view = self.view.number;
                let from = transfer.last.clone();
                out.send(vm, Message::Pull { view, from });
            }
        }
    }

    pub(crate) fn on_pull(&mut self, to: VmId, from: Option<RequestId>, out: &mut StepOutput) {
        let count = self.limits.chunk_records;
        let view = &self.view;
        let is_holder = |id: &RequestId| {
            let (first, second) = view.holders(id);
            first == Some(&to) || second == Some(&to)
        };
        let records = self.table.page(from.as_ref(), count, is_holder);
        let last = records.len() < count;
        let chunk = Message::Chunk {
            view: view.number,
            from,
            records,
            last,
            quality: self.prior_completeness,
        };
        out.send(&to, chunk);
    }

    pub(crate) fn on_chunk(
        &mut self,
        now: Millis,
        from: VmId,
        view: ViewNumber,
        after: Option<RequestId>,
        (records, end, completeness): (Vec<(RequestId, Record)>, bool, Option<Completeness>),
        out: &mut StepOutput,
    ) {
        let expected = self.transfers.get(&from).map(|p| &p.last);
        if view != self.view.number || expected != Some(&after) {
            return;
        }
        let last = records.last().map(|(id, _)| id.clone());
        for (id, record) in records {
            self.merge_record(now, id, record);
        }
        if !end {
            let retry = Millis::ZERO;
            self.transfers.insert(from, Transfer { last, retry });
            self.tick_transfers(now, out);
            return;
        }
        self.transfers.remove(&from);
        let before = self.coverage.is_complete();
        if let Some(completeness) = completeness {
            self.coverage.add(from, completeness);
        }
        self.expire_terminated(now);
        if !before && self.coverage.is_complete() {
            self.announce_joined(out);
        }
    }

    /// Merges a record received from another member into the table.
    pub(crate) fn merge_record(&mut self, now: Millis, id: RequestId, record: Record) {
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
            ungranted: false,
            expires: old.map_or(now + self.limits.retention, |row| row.expires),
            retry: now + self.limits.retry_interval,
        };
        self.table.put(id, row, self.limits.max_body_bytes, false);
    }

    pub(crate) fn row_limit(&self) -> usize {
        self.limits.max_records * TRANSFER_FACTOR
    }

    pub(crate) fn mark_terminated(&mut self, now: Millis, vm: VmId) {
        self.terminated.insert(vm);
        while self.terminated.len() > MAX_TERMINATED {
            self.terminated.pop_first();
        }
        self.expire_terminated(now);
    }

    /// Stops waiting for the authority of missing members if all of them have terminated.
    fn expire_terminated(&mut self, now: Millis) {
        let missing = self.coverage.missing();
        if !missing.is_empty() && missing.iter().all(|vm| self.terminated.contains(vm)) {
            self.coverage.expire_now(now, &self.limits);
        }
    }

    fn announce_joined(&self, out: &mut StepOutput) {
        let view = self.view.number;
        for vm in self.view.past.first().into_iter().flatten() {
            out.send(vm, Message::Joined { view });
        }
    }

    /// Handles a view sent by another VM. If both have the same view, the sender may be waiting
    /// for this VM's [`Message::Joined`].
    pub(crate) fn on_view(&mut self, now: Millis, from: VmId, view: View, out: &mut StepOutput) {
        let same = view.number == self.view.number;
        if same && self.view.has(&self.me) && self.coverage.is_complete() {
            let view = self.view.number;
            out.send(&from, Message::Joined { view });
        }
        self.enter_view(now, view, out);
    }

    /// Sends this view to a VM with an older one, then repeats the pull that it could not answer.
    pub(crate) fn on_lag(
        &mut self,
        now: Millis,
        from: VmId,
        view: ViewNumber,
        out: &mut StepOutput,
    ) {
        if view >= self.view.number {
            return;
        }
        out.send(&from, Message::View(self.view.clone()));
        if let Some(transfer) = self.transfers.get_mut(&from) {
            transfer.retry = now;
            self.tick_transfers(now, out);
        }
    }

    /// While stopping, asks the members that have not reported that they joined.
    pub(crate) fn tick_stop(&self, out: &mut StepOutput) {
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

    /// Emits [`Action::Drained`] once, when nothing depends on a stopping VM.
    pub(crate) fn report_drained(&mut self, out: &mut StepOutput) {
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
