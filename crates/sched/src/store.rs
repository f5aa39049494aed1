//! Job records in the platform: updates received, and rate-limited writes by compare-and-swap.

use base::Epoch;
use base::JobId;
use base::Revision;

use crate::coordinator::Coordinator;
use crate::coordinator::Role;
use crate::job::EndReason;
use crate::job::Job;
use crate::job::Stage;
use crate::job::Write;
use crate::job::WriteState;
use crate::message::Action;
use crate::message::Report;
use crate::message::StopCause;
use crate::message::WriteResult;
use crate::record::JobRecord;

/// Tokens that one write costs; a token is a thousandth of a write.
const TOKENS_PER_WRITE: u64 = 1000;

impl Coordinator {
    /// Queues a write of `record`, conditional on the known revision of the job.
    pub(crate) fn write(&mut self, id: &JobId, mut record: JobRecord) {
        self.last_op += 1;
        record.epoch = self.epoch;
        record.op = self.last_op;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write = Some(Write {
            record,
            expect: job.rev,
            state: WriteState::Waiting,
        });
        self.queue_write(id);
    }

    fn queue_write(&mut self, id: &JobId) {
        let starts = self
            .jobs
            .get(id)
            .is_some_and(|j| matches!(j.stage, Stage::Record | Stage::Commit { .. }));
        self.write_queues[usize::from(!starts)].push_back(id.clone());
    }

    /// Sends as many queued writes as the rate limit allows.
    pub(crate) fn send_writes(&mut self) {
        let rate = self.timing.write_rate;
        let earned = self.now.since(self.refilled).0 * rate;
        self.tokens = (self.tokens + earned).min(rate * TOKENS_PER_WRITE);
        self.refilled = self.now;
        while self.tokens >= TOKENS_PER_WRITE {
            let Some(id) = self.next_write() else {
                return;
            };
            self.send_write(&id);
        }
    }

    fn next_write(&mut self) -> Option<JobId> {
        self.write_queues
            .iter_mut()
            .find_map(|queue| queue.pop_front())
    }

    fn send_write(&mut self, id: &JobId) {
        let now = self.now;
        let Some(write) = self.jobs.get_mut(id).and_then(|j| j.write.as_mut()) else {
            return;
        };
        if write.state != WriteState::Waiting {
            return;
        }
        write.state = WriteState::Sent(now);
        self.tokens -= TOKENS_PER_WRITE;
        self.actions.push(Action::Write {
            record: Box::new(write.record.clone()),
            expect: write.expect,
        });
    }

    /// Repeats writes whose answer is overdue. This is safe: a write that is conditional on one
    /// revision takes effect at most once, however often it is sent.
    pub(crate) fn expire_writes(&mut self) {
        let mut overdue = Vec::new();
        for id in &self.active {
            let Some(write) = self.jobs.get_mut(id).and_then(|j| j.write.as_mut()) else {
                continue;
            };
            let due = match write.state {
                WriteState::Waiting => false,
                WriteState::Sent(at) => self.now >= at + self.timing.write_timeout,
                WriteState::Retry(at) => self.now >= at,
            };
            if due {
                write.state = WriteState::Waiting;
                overdue.push(id.clone());
            }
        }
        for id in overdue {
            self.queue_write(&id);
        }
    }

    pub(crate) fn handle_wrote(&mut self, id: &JobId, op: u64, result: WriteResult) {
        let retry = self.now + self.timing.write_pause;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(write) = job.write.as_mut().filter(|w| w.record.op == op) else {
            return;
        };
        let newer = job.newer.clone();
        match result {
            WriteResult::Lost | WriteResult::NotSent => write.state = WriteState::Retry(retry),
            WriteResult::Done(rev) => {
                accept_write(job, rev);
                newer
                    .into_iter()
                    .for_each(|(rec, rev)| self.handle_record(rec, rev));
            }
            WriteResult::Conflict(None) => self.remove_job(id),
            WriteResult::Conflict(Some(held)) => self.handle_conflict(id, held.0, held.1),
        }
        self.dirty_jobs.insert(id.clone());
    }

    fn handle_conflict(&mut self, id: &JobId, rec: JobRecord, rev: Revision) {
        let epoch = self.epoch;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(write) = &job.write else {
            return;
        };
        if is_own(&rec, epoch, write.record.op) {
            let cancel = rec.cancel;
            accept_write(job, rev);
            job.rec.cancel |= cancel;
            return;
        }
        if differs_by_cancel(&job.rec, &rec) {
            return self.rebase_write(id, rec, rev);
        }
        self.replace_record(id, rec, rev);
    }

    /// Repeats a write on top of a record that differs only by its cancel flag.
    fn rebase_write(&mut self, id: &JobId, rec: JobRecord, rev: Revision) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.rec.cancel = rec.cancel;
        job.rev = rev;
        let Some(write) = job.write.take() else {
            return;
        };
        let mut record = write.record;
        record.cancel = rec.cancel;
        self.write(id, record);
    }

    pub(crate) fn handle_record(&mut self, rec: JobRecord, rev: Revision) {
        let id = rec.spec.id.clone();
        let epoch = self.epoch;
        let ready = self.role == Role::Ready;
        let Some(job) = self.jobs.get_mut(&id) else {
            return self.add_record(rec, rev);
        };
        if rev <= job.rev {
            return;
        }
        let op = job.write.as_ref().map(|w| w.record.op);
        if op.is_some_and(|op| is_own(&rec, epoch, op)) {
            accept_write(job, rev);
            job.rec.cancel |= rec.cancel;
        } else if job.write.is_some() {
            // Kept until the write is answered: it may have taken effect before this record.
            job.newer = Some((rec, rev));
            return;
        } else if ready && differs_by_cancel(&job.rec, &rec) {
            job.rec = rec;
            job.rev = rev;
            if job.rec.cancel {
                self.active.insert(id.clone());
            }
        } else {
            return self.replace_record(&id, rec, rev);
        }
        self.dirty_jobs.insert(id);
    }

    fn add_record(&mut self, rec: JobRecord, rev: Revision) {
        if rec.is_done() || rec.domain != self.domain {
            return;
        }
        let id = rec.spec.id.clone();
        self.jobs.insert(id.clone(), Job::new(rec, rev));
        if self.role == Role::Ready {
            self.reconcile(&id);
        }
    }

    /// Replaces the record of a job by one that another process wrote. Steps down if a later
    /// coordinator of this failure domain wrote it.
    fn replace_record(&mut self, id: &JobId, rec: JobRecord, rev: Revision) {
        if self.role != Role::Idle && rec.epoch > self.epoch && rec.domain == self.domain {
            self.reload_job(id, rec, rev);
            return self.depose(None);
        }
        self.drop_attempt(id);
        self.reload_job(id, rec, rev);
        if self.role != Role::Ready {
            return;
        }
        if self.jobs.contains_key(id) {
            self.reconcile(id);
        } else {
            self.notify(Report::Dropped(id.clone()));
        }
    }

    /// Starts over with a job from its record, or drops it if it is done or in another domain.
    fn reload_job(&mut self, id: &JobId, rec: JobRecord, rev: Revision) {
        self.jobs.remove(id);
        if !rec.is_done() && rec.domain == self.domain {
            self.jobs.insert(id.clone(), Job::new(rec, rev));
        }
    }

    pub(crate) fn remove_job(&mut self, id: &JobId) {
        self.drop_attempt(id);
        if self.jobs.remove(id).is_some() && self.role == Role::Ready {
            self.notify(Report::Dropped(id.clone()));
        }
    }

    /// Makes cancellation the end reason of a job whose record has the cancel flag.
    pub(crate) fn apply_cancel(job: &mut Job) {
        if job.rec.cancel && !matches!(job.end_reason, Some(EndReason::Request(StopCause::Cancel)))
        {
            job.end_reason = Some(EndReason::Request(StopCause::Cancel));
        }
    }
}

/// Whether the record is the result of this write.
fn is_own(rec: &JobRecord, epoch: Epoch, op: u64) -> bool {
    rec.epoch == epoch && rec.op == op
}

/// Whether the records are equal except perhaps for the cancel flag.
fn differs_by_cancel(old: &JobRecord, new: &JobRecord) -> bool {
    let mut expected = old.clone();
    expected.cancel = new.cancel;
    expected == *new
}

/// Makes the pending write the durable record. A cancel flag seen meanwhile is kept.
fn accept_write(job: &mut Job, rev: Revision) {
    if let Some(write) = job.write.take() {
        let cancel = job.rec.cancel;
        job.rec = write.record;
        job.rec.cancel |= cancel;
        job.rev = rev;
    }
}
