//! Starts by what workers' entries say: how old an entry may be, and whose it is.

mod kit;

use base::Epoch;
use base::Fence;
use base::Millis;
use base::Revision;
use batch::RevisionTimes;
use batch::Scheduler;
use batch::StepSpec;
use yare::parameterized;

use kit::catalog;
use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::worker::FakeWorker;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);

/// Longer than a test.
const LONG: Millis = Millis(60_000);

/// When a coordinator begins.
const START: Millis = Millis(1_000_000);

/// A new coordinator with a job, and a worker that it does not know.
fn coordinator_and_worker() -> (Scheduler, FakeWorker) {
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), START);
    let submitted = job(1, vec![step(1, 1, LONG)], START);
    scheduler.add("a".parse().expect("a job id"), submitted, None, START);
    (scheduler, FakeWorker::new(0, START))
}

/// Number of starts that a coordinator sends after a report of a worker.
fn starts_after_report(scheduler: &mut Scheduler, worker: &mut FakeWorker, now: Millis) -> usize {
    let request = scheduler.poll(&worker.id, true, now).expect("a poll");
    let report = worker.poll(&request, now).expect("a report");
    scheduler.report(&worker.id, report, now, now);
    scheduler.plan(now, now);
    let pending = scheduler.take_pending();
    scheduler.records_stored(pending, now).len()
}

fn has_started(site: &Site) -> bool {
    site.workers.iter().any(|w| !w.runs.is_empty())
}

/// Failure: the room of a worker shrank while the store was down. When it was back, the coordinator filled the
/// worker by its entry from before the outage, as nothing had changed in the store.
#[test]
fn room_that_shrank_during_an_outage_of_the_store_is_not_filled() {
    let mut site = Site::new(1, 1, Faults::default());
    site.run(SECOND);
    site.publishes = false;
    site.workers[0].capacity.accels = 4;
    site.run(Millis(4_500));
    let id = site.submit("a", job(1, vec![step(2, 4, LONG)], site.now));
    site.run(SECOND);
    assert!(
        !has_started(&site),
        "started by an entry from before the outage"
    );
    site.publishes = true;
    site.run(SECOND);
    assert!(has_started(&site));
    assert!(!site.is_done(&id));
}

/// After a short outage nothing need wait, as room that has shrunk since does not count yet.
#[test]
fn a_short_outage_of_the_store_holds_no_start() {
    let mut site = Site::new(1, 1, Faults::default());
    site.run(SECOND);
    site.publishes = false;
    site.run(Millis(3_000));
    site.submit("a", job(1, vec![step(1, 4, LONG)], site.now));
    site.run(Millis(300));
    assert!(has_started(&site));
}

/// Failure: a new coordinator took the entries that it read first for current.
#[test]
fn an_entry_of_unknown_age_is_used_once_it_is_written_again() {
    let (mut scheduler, mut worker) = coordinator_and_worker();
    let mut starts = |written: Millis, now: Millis| {
        let entry = worker.entry(now);
        scheduler.update_worker(entry, written);
        starts_after_report(&mut scheduler, &mut worker, now)
    };
    let now = START;
    assert_eq!(starts(Millis::ZERO, now), 0);
    let later = now + Millis(100);
    assert_eq!(starts(later, later), 1);
}

/// Reads of the store at revisions 10, 20, 20 and 30, and one that was overtaken by the last.
#[parameterized(
    before_all = { 5, 0 },
    at_the_first = { 10, 0 },
    after_the_first = { 11, 1_000 },
    at_a_later_one = { 20, 1_000 },
    after_two_at_one_revision = { 21, 3_000 },
    after_all = { 31, 4_000 },
)]
fn an_item_was_written_after_the_read_that_did_not_know_it(revision: u64, written: u64) {
    let mut times = RevisionTimes::default();
    for (sent, at) in [
        (1_000, 10),
        (2_000, 20),
        (3_000, 20),
        (4_000, 30),
        (3_500, 25),
    ] {
        times.record(Millis(sent), Revision(at));
    }
    assert_eq!(times.written_after(Revision(revision)), Millis(written));
}

/// Failure: a worker was back under its id as another kind, or with less room, and was sent tasks by the entry of
/// its former incarnation until its own was read.
#[parameterized(
    another_kind = { Some("r0"), 1, 8, false },
    less_room = { None, 8, 4, false },
    the_same = { Some("r0"), 1, 8, true },
)]
fn a_worker_that_is_back_is_used_by_its_own_entry(
    label: Option<&str>,
    need: u64,
    accels: u64,
    is_same: bool,
) {
    let mut site = Site::new(1, 1, Faults::default());
    site.run(SECOND);
    site.publishes = false;
    let now = site.now;
    let worker = &mut site.workers[0];
    worker.restart(now);
    worker.capacity.accels = accels;
    if !is_same {
        worker.rack = "r9".to_string();
    }
    let step = StepSpec {
        label: label.map(str::to_string),
        ..step(1, need, LONG)
    };
    site.submit("a", job(1, vec![step], site.now));
    site.run(Millis(500));
    assert!(
        !has_started(&site),
        "started by the entry of another incarnation"
    );
    site.publishes = true;
    site.run(SECOND);
    assert_eq!(has_started(&site), is_same);
}

/// Failure: the same where the entry of the next incarnation was read first, and the former one answered last.
#[test]
fn a_former_incarnation_is_sent_nothing_by_the_entry_of_the_next() {
    let (mut scheduler, mut worker) = coordinator_and_worker();
    let mut starts = |next: u64, at: u64| {
        let now = START + Millis(at);
        let mut entry = worker.entry(now);
        entry.born = Some(worker.born.0 + next);
        scheduler.update_worker(entry, now);
        scheduler.raise_fence(Fence(at));
        starts_after_report(&mut scheduler, &mut worker, now)
    };
    let before: Vec<usize> = (1..5).map(|num| starts(1, num * 100)).collect();
    assert_eq!(before, [0, 0, 0, 0]);
    let after: Vec<usize> = (5..9).map(|num| starts(0, num * 100)).collect();
    assert_eq!(after.iter().sum::<usize>(), 1);
}
