//! Jobs whose records the store refuses: they wait, and hold up no other job.

use base::JobId;
use base::Millis;
use base::Set;

use super::PendingWrite;
use super::Scheduler;

/// Time after which a record that was refused is stored again.
const RETRY_AFTER: Millis = Millis(5_000);

impl Scheduler {
    /// Takes what belongs to jobs whose records the store has refused out of a write, and stores it
    /// again later. Until then nothing of these jobs starts, and their ends are not acknowledged.
    pub fn set_aside(&mut self, pending: &mut PendingWrite, refused: &Set<JobId>, now: Millis) {
        for id in refused {
            self.storing.remove(id);
            self.dirty.insert(id.clone());
            if let Some(job) = self.jobs.get_mut(id) {
                job.aside_until = Some(now + RETRY_AFTER);
            }
        }
        pending.records.retain(|(id, _)| !refused.contains(id));
        let starts = std::mem::take(&mut pending.starts).into_iter();
        let (taken_back, starts) = starts.partition(|s| refused.contains(&s.task.job));
        pending.starts = starts;
        self.withdraw(taken_back, now);
        let seen = std::mem::take(&mut pending.seen).into_iter();
        let (kept, seen): (Vec<_>, _) = seen.partition(|s| refused.contains(&s.end.task.job));
        pending.seen = seen;
        pending
            .ends
            .retain(|(worker, _, _)| kept.iter().all(|s| s.worker != *worker));
        self.unstored.splice(0..0, kept);
    }

    /// Whether the store has refused the job's record, and it is not yet time to store it again.
    pub(super) fn is_aside(&self, id: &JobId) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.aside_until.is_some())
    }

    /// Lets jobs be stored again whose time has come.
    pub(super) fn recall_aside(&mut self, now: Millis) {
        for id in &self.dirty {
            if let Some(job) = self.jobs.get_mut(id) {
                job.aside_until = job.aside_until.filter(|until| now < *until);
            }
        }
    }
}
