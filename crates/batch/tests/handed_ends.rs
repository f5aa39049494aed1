//! Ends that a coordinator has seen during an outage of the store, and hands on to the next one.

mod kit;

use base::Epoch;
use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::EndedRun;
use batch::OddRows;
use batch::Progress;
use batch::Report;
use batch::RunNumber;
use batch::Scheduler;
use batch::StartResponse;
use batch::TaskId;
use batch::WorkerEntry;
use batch::WorkerState;

use kit::candidates::WHOLE;
use kit::catalog;
use kit::job;
use kit::pool;
use kit::step;
use kit::BOUNDS;
use kit::FRESH;

const NOW: Millis = Millis(1_000_000);

fn id() -> JobId {
    "00000000000000a1".parse().expect("a job id")
}

fn worker_id() -> WorkerId {
    "w1".parse().expect("a worker id")
}

fn task() -> TaskId {
    TaskId {
        job: id(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn entry() -> WorkerEntry {
    WorkerEntry {
        id: worker_id(),
        born: Some(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d0".parse().expect("a domain"),
        pool: pool(),
        state: WorkerState::Ready,
        capacity: WHOLE,
        labels: vec!["a".to_string(), "r0".to_string()],
        cold: Millis::ZERO,
    }
}

fn report(clock: Millis, ended: Vec<EndedRun>) -> Report {
    Report {
        born: Some(1),
        clock: clock.0,
        running: Vec::new(),
        ended,
        odd: OddRows::default(),
    }
}

fn done() -> EndedRun {
    EndedRun {
        number: 1,
        task: task(),
        run: RunNumber(1),
        kind: EndKind::Done,
        saved: String::new(),
    }
}

/// A coordinator whose job runs on the worker, and the record that it has stored.
fn running() -> (Scheduler, Progress) {
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
    scheduler.update_worker(entry(), FRESH);
    scheduler.report(&worker_id(), report(NOW, Vec::new()), NOW, NOW);
    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    scheduler.add(id(), submitted, None, NOW);
    scheduler.plan(NOW, NOW);
    let pending = scheduler.take_pending();
    let record = pending.records.last().expect("a record").1.clone();
    for start in scheduler.records_stored(pending, NOW) {
        scheduler.start_response(&start, StartResponse::Accepted(NOW.0), NOW);
    }
    (scheduler, record)
}

/// Failure: the end was seen while the store was away, the lock expired, and the worker left. The
/// next coordinator waited for the worker's lease and ran the task again.
#[test]
fn the_next_coordinator_learns_of_an_end_that_was_not_recorded() {
    let (mut first, record) = running();
    let later = NOW + Millis(600);
    first.report(&worker_id(), report(later, vec![done()]), later, later);
    let pending = first.take_pending();
    first.requeue(pending);
    let seen = first.take_unstored();
    assert_eq!(seen.len(), 1);

    let mut second = Scheduler::new(Epoch(2), BOUNDS, catalog(), later);
    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    second.add(id(), submitted, Some(record), later);
    second.apply_seen(&seen, later);
    second.plan(later, later);
    let pending = second.take_pending();
    let record = &pending.records.last().expect("a record").1;
    assert_eq!(record.phase, batch::JobPhase::Completed);
    assert!(second.records_stored(pending, later).is_empty());
    // The worker may still list the end to the second coordinator.
    second.update_worker(entry(), FRESH);
    second.report(&worker_id(), report(later, vec![done()]), later, later);
    second.plan(later, later);
    let pending = second.take_pending();
    assert!(second.records_stored(pending, later).is_empty());
}

#[test]
fn a_recorded_end_is_not_handed_on() {
    let (mut first, _) = running();
    let later = NOW + Millis(600);
    first.report(&worker_id(), report(later, vec![done()]), later, later);
    let pending = first.take_pending();
    first.records_stored(pending, later);
    assert!(first.take_unstored().is_empty());
}
