//! Absurd values in what workers report, callers submit and operators configure: the coordinator goes
//! on, and other jobs run. A panic ends the daemon's process, and then that of each next coordinator.

mod kit;

use base::Epoch;
use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::admit;
use batch::ActiveRun;
use batch::Catalog;
use batch::CatalogLimits;
use batch::EndKind;
use batch::EndedRun;
use batch::JobRecord;
use batch::OddRows;
use batch::Org;
use batch::OrgLimit;
use batch::PromisedCapacity;
use batch::Report;
use batch::Resources;
use batch::RunNumber;
use batch::Schedule;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::StepSpec;
use batch::Submission;
use batch::Submitted;
use batch::TaskId;
use batch::Weight;
use batch::WorkerEntry;
use batch::WorkerState;
use yare::parameterized;

use kit::candidates::WHOLE;
use kit::catalog;
use kit::job;
use kit::pool;
use kit::queue;
use kit::step;
use kit::BOUNDS;
use kit::FRESH;

const NOW: Millis = Millis(1_000_000);

/// Resources beyond any worker.
const HUGE: Resources = Resources {
    cpu: u64::MAX,
    memory: u64::MAX,
    accels: u64::MAX,
};

fn id(num: u64) -> JobId {
    format!("{num:016x}").parse().expect("a job id")
}

fn worker_id(num: u64) -> WorkerId {
    format!("w{num}").parse().expect("a worker id")
}

fn task() -> TaskId {
    TaskId {
        job: id(1),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn entry(num: u64) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(num),
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

fn report(clock: u64, running: Vec<ActiveRun>, ended: Vec<EndedRun>) -> Report {
    Report {
        born: Some(1),
        clock,
        running,
        ended,
        odd: OddRows::default(),
    }
}

fn active(task: TaskId, run: u32, percent: u32) -> ActiveRun {
    ActiveRun {
        task,
        run: RunNumber(run),
        saved: String::new(),
        percent,
        load: Some(u64::MAX),
    }
}

fn ended(number: u64, task: TaskId, run: u32) -> EndedRun {
    EndedRun {
        number,
        task,
        run: RunNumber(run),
        kind: EndKind::Failed,
        saved: String::new(),
    }
}

/// A coordinator with a worker, on which a job of one long task runs.
fn running() -> Scheduler {
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
    scheduler.update_worker(entry(1), FRESH);
    scheduler.report(
        &worker_id(1),
        report(NOW.0, Vec::new(), Vec::new()),
        NOW,
        NOW,
    );
    scheduler.add(
        id(1),
        job(1, vec![step(1, 1, Millis(60_000))], NOW),
        None,
        NOW,
    );
    let starts = pass(&mut scheduler, NOW);
    assert_eq!(starts.len(), 1);
    scheduler
}

/// One round of everything that the coordinator does. Returns the starts, which are accepted.
fn pass(scheduler: &mut Scheduler, now: Millis) -> Vec<StartRequest> {
    scheduler.tick(now, now);
    scheduler.plan(now, now);
    let pending = scheduler.take_pending();
    let starts = scheduler.records_stored(pending, now);
    for start in &starts {
        scheduler.start_response(start, StartResponse::Accepted(now.0), now);
    }
    scheduler.poll(&worker_id(1), true, now);
    scheduler.stop_requests(now);
    scheduler.throttle_requests(now);
    for id in scheduler.expired(now) {
        assert!(scheduler.forget(&id, now));
    }
    scheduler.load();
    starts
}

/// Whether a small job that is submitted now starts on a second, healthy worker.
fn others_run(scheduler: &mut Scheduler) -> bool {
    let mut now = NOW;
    for _ in 0..20 {
        now += Millis(500);
        scheduler.update_worker(entry(2), FRESH);
        scheduler.report(
            &worker_id(2),
            report(now.0, Vec::new(), Vec::new()),
            now,
            now,
        );
        pass(scheduler, now);
    }
    let small = StepSpec {
        need: Resources {
            cpu: 100,
            memory: 10,
            accels: 0,
        },
        ..step(1, 0, Millis(500))
    };
    scheduler.add(id(2), job(1, vec![small], now), None, now);
    let starts = pass(scheduler, now);
    starts.iter().any(|s| s.task.job == id(2))
}

fn elsewhere(occurrence: u32, step: u16, index: u16) -> TaskId {
    TaskId {
        occurrence,
        step,
        index,
        ..task()
    }
}

/// Failure: the end of a worker's lease was computed from a clock near the largest number.
#[parameterized(
    latest_clock = { report(u64::MAX, vec![active(task(), 1, 10)], Vec::new()) },
    earliest_clock = { report(0, vec![active(task(), 1, 10)], Vec::new()) },
    percent = { report(NOW.0, vec![active(task(), 1, 4_000_000_000)], Vec::new()) },
    last_run = { report(NOW.0, vec![active(task(), u32::MAX, 1)], Vec::new()) },
    no_such_task = { report(NOW.0, vec![active(elsewhere(u32::MAX, 1, 9), 1, 1)], Vec::new()) },
    no_such_step = { report(NOW.0, vec![active(elsewhere(0, u16::MAX, 0), 1, 1)], Vec::new()) },
    last_end = { report(NOW.0, Vec::new(), vec![ended(u64::MAX, task(), u32::MAX)]) },
    end_elsewhere = { report(NOW.0, Vec::new(), vec![ended(1, elsewhere(0, 0, u16::MAX), 1)]) },
    twice = { report(NOW.0, vec![active(task(), 1, 10); 3], vec![ended(1, task(), 1); 3]) },
)]
fn a_coordinator_goes_on_after_an_absurd_report(report: Report) {
    let mut scheduler = running();
    scheduler.report(&worker_id(1), report, NOW, NOW);
    assert!(others_run(&mut scheduler));
}

/// Failure: the sum of the workers' resources, of which one was near the largest number.
#[test]
fn a_coordinator_goes_on_with_absurd_workers() {
    let mut scheduler = running();
    for num in 3..6 {
        let absurd = WorkerEntry {
            capacity: HUGE,
            cold: Millis::MAX,
            born: Some(u64::MAX),
            labels: Vec::new(),
            ..entry(num)
        };
        scheduler.update_worker(absurd, FRESH);
        let answer = Report {
            born: None,
            ..report(NOW.0, Vec::new(), Vec::new())
        };
        scheduler.report(&worker_id(num), answer, NOW, NOW);
    }
    assert!(others_run(&mut scheduler));
}

fn absurd_step(count: u32) -> StepSpec {
    StepSpec {
        need: HUGE,
        per_worker: Some(u32::MAX),
        tail_target: Some(Millis::MAX),
        may_miss: u32::MAX,
        ..step(count, 0, Millis::MAX)
    }
}

fn gang(spec: StepSpec) -> StepSpec {
    StepSpec { gang: true, ..spec }
}

/// Failure: products of counts, resources and estimates exceeded the largest number.
#[parameterized(
    one = { absurd_step(1) },
    many = { absurd_step(2_000) },
    whole_gang = { gang(absurd_step(2_000)) },
    long = { step(2_000, 8, Millis::MAX) },
    long_gang = { gang(step(2, 8, Millis::MAX)) },
    no_need = { StepSpec { need: Resources::default(), ..step(1, 0, Millis::ZERO) } },
)]
fn a_coordinator_goes_on_with_absurd_jobs(spec: StepSpec) {
    let mut scheduler = running();
    let second = StepSpec {
        after: vec![0],
        ..spec.clone()
    };
    let submitted = job(0, vec![spec, second], NOW);
    let load = scheduler.load();
    let mut promised = PromisedCapacity::default();
    admit(&load, Millis::ZERO, &submitted, &mut promised, 40, NOW);
    scheduler.add(id(3), submitted.clone(), None, NOW);
    assert!(others_run(&mut scheduler));
    let load = scheduler.load();
    admit(&load, Millis::ZERO, &submitted, &mut promised, 40, NOW);
}

fn scheduled(schedule: Schedule, count: u32) -> Submitted {
    let mut submitted = job(1, vec![step(count, 1, Millis(500))], NOW);
    submitted.work.schedule = Some(schedule);
    submitted
}

/// Failure: all occurrences of a job without an interval fell due at once. Their state took some
/// gigabytes in each coordinator in turn, and a record that the store does not take.
#[parameterized(
    all_at_once = { Millis::ZERO, Millis::ZERO },
    late = { Millis::ZERO, Millis(1) },
    never = { Millis::MAX, Millis::MAX },
)]
fn a_schedule_opens_a_limited_number_of_tasks(start: Millis, interval: Millis) {
    let schedule = Schedule {
        start,
        interval,
        runs: 10_000,
    };
    let mut scheduler = running();
    scheduler.add(id(3), scheduled(schedule, 1_000), None, NOW);
    scheduler.tick(NOW, NOW);
    let pending = scheduler.take_pending();
    for (_, progress) in &pending.records {
        let record = progress.encode().expect("a record");
        assert!(record.len() < 1 << 20, "{} bytes", record.len());
    }
    scheduler.records_stored(pending, NOW);
    assert!(others_run(&mut scheduler));
}

/// Guards against occurrences that are never opened because earlier ones reached the limit.
#[test]
fn the_occurrences_over_the_limit_follow_as_earlier_ones_end() {
    let schedule = Schedule {
        start: Millis::ZERO,
        interval: Millis::ZERO,
        runs: 12,
    };
    let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
    scheduler.update_worker(
        WorkerEntry {
            capacity: Resources {
                cpu: 1 << 24,
                memory: 1 << 24,
                accels: 0,
            },
            ..entry(1)
        },
        FRESH,
    );
    let mut submitted = scheduled(schedule, 2_000);
    submitted.work.steps[0].need = Resources {
        cpu: 100,
        memory: 100,
        accels: 0,
    };
    scheduler.add(id(3), submitted, None, NOW);
    let (mut now, mut number, mut ends) = (NOW, 0, Vec::new());
    let mut most_open = 0;
    for _ in 0..20 {
        now += Millis(1_000);
        most_open = most_open.max(ends.len());
        let answer = report(now.0, Vec::new(), std::mem::take(&mut ends));
        scheduler.report(&worker_id(1), answer, now, now);
        for start in pass(&mut scheduler, now) {
            number += 1;
            ends.push(EndedRun {
                kind: EndKind::Done,
                ..ended(number, start.task, start.run.0)
            });
        }
    }
    assert_eq!((number, most_open), (24_000, 10_000));
}

/// Guards against a job of 64 steps with 2000 tasks each, whose record would exceed what the store takes
/// once the tasks have checkpoints. Such a job was accepted.
#[test]
fn a_job_has_a_limited_number_of_tasks() {
    let work = |steps| Submission {
        spec: String::new(),
        steps: vec![step(2_000, 1, Millis(500)); steps],
        schedule: None,
    };
    assert_eq!(work(5).check(), Ok(()));
    assert!(work(6).check().is_err());
}

/// Failure: a step that depends on one that does not exist, in a record of the store.
#[test]
fn a_record_with_an_invalid_job_is_an_error() {
    let invalid = StepSpec {
        after: vec![7],
        ..step(1, 1, Millis(500))
    };
    let submitted = Submitted {
        work: Submission {
            spec: String::new(),
            steps: vec![invalid],
            schedule: None,
        },
        ..job(1, vec![step(1, 1, Millis(500))], NOW)
    };
    let record = JobRecord::Accepted(Box::new(submitted)).encode();
    let record = record.expect("a record");
    assert!(JobRecord::decode(&record).is_err());
}

/// Failure: the sum of the guarantees, and times from a queue's factors.
#[parameterized(
    huge = { 1e300 },
    infinite = { f64::INFINITY },
    negative = { -1e300 },
    not_a_number = { f64::NAN },
)]
fn a_coordinator_goes_on_with_an_absurd_configuration(stretch: f64) {
    let mut scheduler = running();
    let queues = (0..3).map(|priority| batch::Queue {
        stretch,
        latency: Millis::MAX,
        attempts: u32::MAX,
        priority: u32::MAX,
        ..queue(priority)
    });
    let orgs = ["board", "clinic"].map(|name| Org {
        name: name.parse().expect("an organisation"),
        keys: Vec::new(),
        guarantee: u64::MAX,
        limit: OrgLimit(Resources {
            cpu: u64::MAX,
            memory: u64::MAX,
            accels: 1,
        }),
        weight: Weight::try_from(f64::MAX).ok(),
    });
    let limits = CatalogLimits { body: u64::MAX };
    let queues: Vec<batch::Queue> = queues.collect();
    let submission = job(0, vec![step(1, 1, Millis::MAX)], NOW).work;
    let submitted = Submitted::new(&queues[0], None, NOW, submission);
    let absurd = Catalog::new(u64::MAX, queues, Vec::new(), orgs.to_vec(), limits);
    scheduler.configure(&absurd);
    let load = scheduler.load();
    let mut promised = PromisedCapacity::default();
    admit(&load, Millis::ZERO, &submitted, &mut promised, 1, NOW);
    scheduler.add(id(3), submitted, None, NOW);
    assert!(others_run(&mut scheduler));
}
