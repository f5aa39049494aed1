//! Starts without an answer, which reach a later incarnation of their worker.

mod kit;

use base::JobId;
use base::Millis;
use batch::JobPhase;
use batch::StepSpec;
use batch::Submitted;
use yare::parameterized;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::worker::FakeWorker;

const SECOND: Millis = Millis(1_000);
const STEP: Millis = Millis(10);

/// Longer than any lease.
const LONG: Millis = Millis(30_000);

/// Time after which all that was started or held back has ended.
const ALL: Millis = Millis(120_000);

/// Time from a start without an answer until it is carried out.
const DELAY: Millis = Millis(9_000);

/// A site whose first worker is sent a start that has no answer. Then more workers come.
fn unanswered(step: StepSpec, workers: usize) -> (Site, JobId) {
    unanswered_by(step, workers, |_| {})
}

/// The same, for a job that is changed before it is submitted.
fn unanswered_by(step: StepSpec, workers: usize, change: impl Fn(&mut Submitted)) -> (Site, JobId) {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = Site::new(1, 2, late);
    site.outlives = true;
    site.late_delay = DELAY;
    site.run(SECOND);
    let mut submitted = job(1, vec![step], site.now);
    change(&mut submitted);
    let id = site.submit("a", submitted);
    site.run(STEP);
    site.faults = Faults::default();
    for num in 1..workers {
        site.workers.push(FakeWorker::new(num, site.now));
    }
    (site, id)
}

fn restart(site: &mut Site) {
    let now = site.now;
    site.workers[0].restart(now);
}

/// Restarts the first worker right before the start arrives, so that its new incarnation takes it before its
/// first poll. `passed` is the time since the start was sent.
fn restart_at_arrival(site: &mut Site, passed: Millis) {
    site.run(DELAY - passed - STEP);
    restart(site);
    site.run(ALL);
}

/// The workers at which a task is active.
fn used(site: &Site) -> Vec<usize> {
    let nums = 0..site.workers.len();
    let used = nums.filter(|&num| !site.workers[num].runs.is_empty());
    used.collect()
}

/// Failure: the task of a start without an answer waited until that could not be carried out any more.
#[test]
fn a_start_without_an_answer_is_repeated_at_its_worker() {
    let (mut site, _) = unanswered(step(1, 1, LONG), 2);
    site.run(Millis(300));
    assert_eq!(used(&site), [0]);
}

/// Failure: a start without an answer was given up, as the next incarnation did not report it. It reached the
/// one after that, while the task ran elsewhere.
#[test]
fn a_start_that_reaches_the_incarnation_after_the_next_runs_once() {
    let (mut site, id) = unanswered(step(1, 1, LONG), 2);
    site.run(Millis(2_000));
    restart(&mut site);
    site.run(Millis(2_000));
    restart_at_arrival(&mut site, Millis(4_000));
    assert!(site.is_done(&id));
}

/// Failure: a run had failed, and its task ran elsewhere when the next incarnation took a start of it.
#[test]
fn a_start_of_a_run_that_has_failed_is_waited_for() {
    let (mut site, id) = unanswered(step(1, 1, Millis(12_000)), 1);
    site.workers[0].fails = true;
    site.run(Millis(6_500));
    site.workers.push(FakeWorker::new(1, site.now));
    restart_at_arrival(&mut site, Millis(6_500));
    assert!(site.is_done(&id));
}

/// Failure: a new coordinator took a run without an answer for ended, as the worker did not report it, and
/// started it elsewhere. The start reached the next incarnation.
#[parameterized(
    at_once = { Millis(50) },
    later = { Millis(2_000) },
)]
fn a_start_of_the_former_coordinator_runs_once(passed: Millis) {
    let (mut site, id) = unanswered(step(1, 1, LONG), 1);
    site.run(passed);
    site.workers.push(FakeWorker::new(1, site.now));
    site.take_over();
    site.run(Millis(500));
    restart(&mut site);
    site.run(Millis(500));
    restart_at_arrival(&mut site, passed + SECOND);
    assert!(site.is_done(&id));
}

/// Failure: a start of a gang had no answer, or its worker restarted, so the gang was started again, and ran
/// elsewhere when the next incarnation took that start.
#[parameterized(
    repeated = { Millis::ZERO },
    broken = { Millis(5_000) },
)]
fn a_start_of_a_member_of_a_gang_runs_once(passed: Millis) {
    let gang = StepSpec {
        gang: true,
        ..step(2, 1, LONG)
    };
    let (mut site, id) = unanswered(gang, 4);
    site.run(passed);
    if passed > Millis::ZERO {
        restart(&mut site);
    }
    restart_at_arrival(&mut site, passed);
    assert!(site.is_done(&id));
}

/// Failure: a run was stopped for urgent work, and its task ran elsewhere when the next incarnation took a
/// start of it.
#[test]
fn a_start_of_a_run_that_was_stopped_is_waited_for() {
    let (mut site, id) = unanswered(step(1, 8, LONG), 1);
    site.run(SECOND);
    let urgent = site.submit("b", job(0, vec![step(1, 8, LONG)], site.now));
    site.run(Millis(3_000));
    site.workers.push(FakeWorker::new(1, site.now));
    restart_at_arrival(&mut site, Millis(4_000));
    assert!(site.is_done(&id));
    assert!(site.is_done(&urgent));
}

/// A worker that leaves all starts of a task unanswered, and carries none of them out, holds the task back no
/// longer than until none can be carried out any more.
#[test]
fn a_start_that_is_never_answered_moves_on() {
    let mut site = Site::new(1, 2, Faults::default());
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, SECOND)], site.now));
    site.workers[0].mute = true;
    site.workers.push(FakeWorker::new(1, site.now));
    site.run(Millis(25_000));
    assert!(site.is_done(&id));
}

/// Failure: a task was done and its end acknowledged when the next incarnation took a start of it, and ran it
/// again.
#[test]
fn the_end_of_a_run_that_may_start_again_is_not_acknowledged() {
    let (mut site, id) = unanswered(step(1, 1, Millis(2_000)), 1);
    site.run(Millis(4_000));
    assert!(site.is_done(&id));
    restart_at_arrival(&mut site, Millis(4_000));
}

/// Failure: a new coordinator did not know that an ended run might start again, and acknowledged its end. The next
/// incarnation took a start of it, and ran a task that was done, or had used up its attempts.
#[parameterized(
    done = { false },
    failed = { true },
)]
fn a_new_coordinator_acknowledges_no_end_of_a_run_that_may_start_again(fails: bool) {
    let once = |job: &mut Submitted| job.attempts = 1;
    let (mut site, _) = unanswered_by(step(1, 1, Millis(2_000)), 1, once);
    site.workers[0].fails = fails;
    site.run(Millis(4_000));
    assert!(used(&site).is_empty(), "still running");
    site.take_over();
    restart_at_arrival(&mut site, Millis(4_000));
}

/// Failure: a worker's entry was missing for a while, so the coordinator forgot which of its ends wait, and
/// acknowledged the end of a run that might start again.
#[test]
fn a_worker_that_was_forgotten_keeps_the_end_of_a_run_that_may_start_again() {
    let (mut site, id) = unanswered(step(1, 1, Millis(2_000)), 1);
    site.run(Millis(3_000));
    assert!(site.is_done(&id));
    site.workers[0].listed = false;
    site.workers[0].reachable = false;
    site.run(Millis(3_000));
    site.workers[0].listed = true;
    site.workers[0].reachable = true;
    site.run(SECOND);
    restart_at_arrival(&mut site, Millis(7_000));
}

/// Failure: a new coordinator did not know which starts were answered, and waited for all of them.
#[test]
fn a_new_coordinator_waits_for_no_start_that_was_answered() {
    let mut site = Site::new(2, 2, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(Millis(1_500));
    let lost = used(&site)[0];
    site.take_over();
    site.workers[lost].up = false;
    site.workers[lost].listed = false;
    // The leases that the former coordinator may have given end first.
    site.run(Millis(12_000));
    let other = &site.workers[1 - lost];
    assert!(!other.runs.is_empty(), "not started elsewhere");
}

/// Failure: starts that were withdrawn when they could have been sent, as the store's state was not confirmed any
/// more, were taken for sent. Their tasks started nowhere.
#[test]
fn starts_that_are_withdrawn_are_planned_again() {
    let mut site = Site::new(2, 2, Faults::default());
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(2, 1, SECOND)], site.now));
    site.withdraws = true;
    site.run(STEP);
    site.withdraws = false;
    site.run(Millis(2_000));
    assert!(site.is_done(&id));
}

/// Failure: as above, for a start that was requested again after one without an answer.
#[test]
fn a_repeated_start_that_is_withdrawn_is_requested_again() {
    let (mut site, id) = unanswered(step(1, 1, SECOND), 1);
    site.withdraws = true;
    site.run(SECOND);
    site.withdraws = false;
    site.run(Millis(2_000));
    assert!(site.is_done(&id));
}

/// Failure: a worker that was back had no entry for a moment, so a start without an answer was given up, and its
/// task waited until that could not be carried out any more.
#[test]
fn a_start_waits_for_the_entry_of_a_worker_that_is_back() {
    let (mut site, id) = unanswered(step(1, 1, SECOND), 1);
    restart(&mut site);
    site.workers[0].listed = false;
    site.run(Millis(500));
    site.workers[0].listed = true;
    site.run(Millis(2_000));
    assert!(site.is_done(&id));
}

/// Failure: a worker had restarted unnoticed when it was sent a start, which had no answer. Its next report was taken
/// for a crash under that run, and the job was given up after the second such report.
#[test]
fn a_start_that_was_sent_after_a_restart_is_not_its_cause() {
    let mut site = Site::new(1, 2, Faults::default());
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, SECOND)], site.now));
    site.faults.late_requests = 1_000;
    for _ in 0..2 {
        // The start is planned, and is sent once it is recorded.
        site.faults.store = 1_000;
        site.run(Millis(520));
        site.publishes = false;
        restart(&mut site);
        site.faults.store = 0;
        site.run(STEP + STEP);
        site.publishes = true;
    }
    site.run(SECOND);
    site.faults = Faults::default();
    site.run(ALL);
    assert_eq!(site.phase_shown(&id), Some(JobPhase::Completed));
}
