//! Workers, entries and coordinators that are silent for a while: what runs goes on, and nothing is
//! started a second time.

mod kit;

use std::net::SocketAddr;

use base::Epoch;
use base::JobId;
use base::Millis;
use base::Set;
use base::WorkerId;
use batch::ActiveRun;
use batch::OddRows;
use batch::Progress;
use batch::Report;
use batch::RunNumber;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::TaskId;
use batch::WorkerEntry;
use batch::WorkerState;
use yare::parameterized;

use kit::candidates::WHOLE;
use kit::catalog;
use kit::job;
use kit::pool;
use kit::step;
use kit::BOUNDS;
use kit::FRESH;

const NOW: Millis = Millis(1_000_000);

/// Estimated duration of the task. Without progress it may run for a quarter of this.
const ESTIMATE: Millis = Millis(10_000);

/// Time that a worker is silent, shorter than its lease.
const SILENCE: Millis = Millis(4_000);

fn id() -> JobId {
    "00000000000000a1".parse().expect("a job id")
}

fn worker_id(num: u64) -> WorkerId {
    format!("w{num}").parse().expect("a worker id")
}

fn task() -> TaskId {
    TaskId {
        job: id(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn entry(num: u64) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(num),
        born: Some(1),
        address: SocketAddr::from(([127, 0, 0, 1], num as u16)),
        domain: "d0".parse().expect("a domain"),
        pool: pool(),
        state: WorkerState::Ready,
        capacity: WHOLE,
        labels: vec!["a".to_string(), "r0".to_string()],
        cold: Millis::ZERO,
    }
}

/// Reports the task, if `percent` is given, and the worker's clock, which shows `at`.
fn report(scheduler: &mut Scheduler, num: u64, percent: Option<u32>, at: Millis) {
    let running = percent.map(|percent| ActiveRun {
        task: task(),
        run: RunNumber(1),
        saved: String::new(),
        percent,
        load: None,
    });
    let report = Report {
        born: Some(1),
        clock: at.0,
        running: running.into_iter().collect(),
        ended: Vec::new(),
        odd: OddRows::default(),
    };
    scheduler.poll(&worker_id(num), true, at);
    scheduler.report(&worker_id(num), report, at, at);
}

/// Plans, stores and starts. Returns the starts and the record of the job, if it was stored.
fn pass(scheduler: &mut Scheduler, now: Millis) -> (Vec<StartRequest>, Option<Progress>) {
    scheduler.tick(now, now);
    scheduler.plan(now, now);
    let pending = scheduler.take_pending();
    let record = pending.records.last().map(|r| r.1.clone());
    let starts = scheduler.records_stored(pending, now);
    for start in &starts {
        scheduler.start_response(start, StartResponse::Accepted(now.0), now);
    }
    (starts, record)
}

fn submitted() -> batch::Submitted {
    job(1, vec![step(1, 1, ESTIMATE)], NOW)
}

/// A coordinator whose job runs on the first worker, and the record that it has stored.
fn running() -> (Scheduler, Option<Progress>) {
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
    scheduler.update_worker(entry(1), FRESH);
    report(&mut scheduler, 1, None, NOW);
    scheduler.add(id(), submitted(), None, NOW);
    let (starts, record) = pass(&mut scheduler, NOW);
    assert_eq!(starts.len(), 1);
    report(&mut scheduler, 1, Some(20), NOW + Millis(10));
    // Another worker is there, so that the task could start again.
    scheduler.update_worker(entry(2), FRESH);
    (scheduler, record)
}

/// Runs rounds of 100 ms from `from` to `to`, in which the second worker answers, and the first one
/// with this progress if it does.
fn rounds(scheduler: &mut Scheduler, from: Millis, to: Millis, percent: Option<u32>) {
    let mut now = from;
    while now < to {
        now += Millis(100);
        report(scheduler, 2, None, now);
        match percent {
            Some(_) => report(scheduler, 1, percent, now),
            None => scheduler.poll_failed(&worker_id(1)),
        }
        let (starts, _) = pass(scheduler, now);
        assert_eq!(starts, [], "at {now}");
        let stops = scheduler.stop_requests(now);
        assert_eq!(stops, [], "at {now}: {:?}", scheduler.take_log());
    }
}

/// Failure: the time in which a machine stood still and did not answer counted as time in which its
/// task made no progress, and the task was stopped as soon as the machine was back.
#[test]
fn a_task_goes_on_after_its_worker_was_silent() {
    let (mut scheduler, _) = running();
    let back = NOW + SILENCE;
    rounds(&mut scheduler, NOW, back, None);
    rounds(&mut scheduler, back, back + Millis(1_000), Some(20));
    rounds(
        &mut scheduler,
        back + Millis(1_000),
        back + Millis(2_000),
        Some(21),
    );
}

/// The same silence does not hide a task that stands still.
#[test]
fn a_task_that_stands_still_is_stopped_also_after_a_silence() {
    let (mut scheduler, _) = running();
    let back = NOW + SILENCE;
    rounds(&mut scheduler, NOW, back, None);
    let mut stopped = false;
    for step in 1..50 {
        let now = back + Millis(step * 100);
        report(&mut scheduler, 2, None, now);
        report(&mut scheduler, 1, Some(20), now);
        pass(&mut scheduler, now);
        stopped |= !scheduler.stop_requests(now).is_empty();
    }
    assert!(stopped);
}

/// Guards against giving work up because a worker's entry is not listed: it disappears while the store
/// is away, and comes back about two seconds after the store.
#[test]
fn a_task_goes_on_while_its_workers_entry_is_missing() {
    let (mut scheduler, _) = running();
    scheduler.mark_unlisted(&Set::default(), NOW);
    let mut now = NOW;
    for percent in 21..25 {
        rounds(&mut scheduler, now, now + Millis(2_000), Some(percent));
        now += Millis(2_000);
    }
    scheduler.update_worker(entry(1), FRESH);
    rounds(&mut scheduler, now, now + Millis(1_000), Some(30));
}

/// Guards against the same at a take-over: the new coordinator does not know the worker's address until
/// its entry is back.
#[test]
fn a_task_goes_on_if_its_workers_entry_is_missing_at_a_take_over() {
    let (_, record) = running();
    let mut second = Scheduler::new(Epoch(2), BOUNDS, catalog(), NOW);
    second.update_worker(entry(2), FRESH);
    second.add(id(), submitted(), record, NOW);
    rounds(&mut second, NOW, NOW + Millis(2_000), None);
    second.update_worker(entry(1), FRESH);
    rounds(
        &mut second,
        NOW + Millis(2_000),
        NOW + Millis(4_000),
        Some(40),
    );
}

/// Guards against starting a task again before the worker's lease has ended on the worker's own clock,
/// which may be 2% slow, also if the coordinator itself stood still meanwhile.
#[parameterized(
    watching = { false },
    paused = { true },
)]
fn a_task_starts_elsewhere_only_after_the_lease_has_ended_on_a_slow_clock(paused: bool) {
    let (mut scheduler, _) = running();
    let sent = NOW + Millis(10);
    let request = scheduler.poll(&worker_id(1), true, sent);
    let deadline = request.and_then(|r| r.deadline).expect("a deadline");
    // Time on the coordinator's clock at which the worker's clock shows the deadline.
    let span = (deadline - sent.0) * 100 / 98;
    let end = sent + Millis(span);
    if !paused {
        rounds(&mut scheduler, sent, end - Millis(100), None);
    }
    report(&mut scheduler, 2, None, end);
    assert_eq!(pass(&mut scheduler, end).0, []);
    let mut later = end;
    let mut started = false;
    while !started && later < end + Millis(3_000) {
        later += Millis(100);
        report(&mut scheduler, 2, None, later);
        started = !pass(&mut scheduler, later).0.is_empty();
    }
    assert!(started, "the task never starts again");
}
