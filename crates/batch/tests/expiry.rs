//! Ended jobs whose state is no longer needed.

mod kit;

use base::Epoch;
use base::JobId;
use base::Millis;
use batch::Scheduler;

use kit::catalog;
use kit::job;
use kit::step;
use kit::BOUNDS;

const NOW: Millis = Millis(1_000_000);

/// Later than the state of a job that ended at [`NOW`] is needed.
const LATER: Millis = Millis(NOW.0 + BOUNDS.status.0 * 2 + 1);

fn id() -> JobId {
    "00000000000000a1".parse().expect("a job id")
}

/// A coordinator whose only job was cancelled, and that has not stored this yet.
fn cancelled() -> Scheduler {
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    scheduler.add(id(), submitted, None, NOW);
    scheduler.cancel(&id(), NOW);
    scheduler.tick(NOW, NOW);
    scheduler.plan(NOW, NOW);
    scheduler
}

/// Failure: an ended job was forgotten before its records were removed, and the submission, read again,
/// was taken for a new job.
#[test]
fn an_expired_job_that_is_read_again_stays_ended() {
    let mut scheduler = cancelled();
    let pending = scheduler.take_pending();
    scheduler.records_stored(pending, NOW);
    assert_eq!(scheduler.expired(NOW), Vec::new());
    assert_eq!(scheduler.expired(LATER), vec![id()]);

    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    scheduler.add(id(), submitted, None, LATER);
    assert_eq!(scheduler.expired(LATER), vec![id()]);
    assert!(scheduler.take_pending().is_empty());

    assert!(scheduler.forget(&id(), LATER));
    assert!(!scheduler.contains(&id()));
}

/// Failure: the records of a job were removed while its end was being stored. The write came after the
/// removal, and its record stayed without a submission.
#[test]
fn a_job_whose_end_is_not_stored_keeps_its_records() {
    let mut scheduler = cancelled();
    assert!(!scheduler.is_stored(&id()));
    let pending = scheduler.take_pending();
    assert!(!scheduler.is_stored(&id()));
    scheduler.requeue(pending);
    assert!(!scheduler.is_stored(&id()));
    let pending = scheduler.take_pending();
    scheduler.records_stored(pending, LATER);
    assert!(scheduler.is_stored(&id()));
}

/// Failure: a change of an ended job came after its records had been removed. The job stayed known, and
/// a later one with its id did not run.
#[test]
fn a_change_after_the_removal_does_not_keep_a_job() {
    let mut scheduler = cancelled();
    assert!(!scheduler.is_stored(&id()));
    assert!(scheduler.forget(&id(), LATER));
    assert!(scheduler.take_pending().is_empty());
}

/// Failure: a removal that was shown late dropped a job that is still needed.
#[test]
fn a_job_that_has_not_expired_is_not_forgotten() {
    let mut scheduler = cancelled();
    assert!(!scheduler.forget(&id(), NOW));
    assert!(scheduler.contains(&id()));
}
