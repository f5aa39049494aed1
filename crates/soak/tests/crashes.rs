//! Tests of the checks of tasks that crash workers, and of changing capacities.

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::JobPhase;
use batch::Resources;
use batch::RunNumber;
use batch::StepSpec;
use batch::Submission;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;
use platform_fakes::CAPACITY;
use soak::check;
use soak::Call;
use soak::History;
use soak::Operation;
use yare::parameterized;

fn job() -> JobId {
    "000000000000000a".parse().expect("a valid job id")
}

fn task() -> TaskId {
    TaskId {
        job: job(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn event(at: u64, num: u64, kind: EventKind) -> Event {
    let worker: WorkerId = format!("w{num}").parse().expect("a valid worker id");
    Event {
        at: Millis(at),
        worker,
        incarnation: 1,
        kind,
    }
}

fn started(run: u32) -> EventKind {
    EventKind::Started {
        task: task(),
        run: RunNumber(run),
        spec: "work".to_string(),
        checkpoint: String::new(),
    }
}

/// A history of one job with one task of 8 accelerators that is shown in this phase at the end.
fn history(events: Vec<Event>, phase: JobPhase) -> History {
    let call = |at, operation, outcome| Call {
        job: job(),
        operation,
        daemon: 0,
        sent: Millis(at - 2),
        at: Millis(at),
        outcome,
    };
    let step = StepSpec {
        count: 1,
        need: Resources {
            cpu: 1_000,
            memory: 100,
            accels: 8,
        },
        ..StepSpec::default()
    };
    let submission = Submission {
        spec: "work".to_string(),
        steps: vec![step],
        schedule: None,
    };
    History {
        jobs: [(job(), submission)].into(),
        max_attempts: 2,
        calls: vec![
            call(10_000, Operation::Submit, Outcome::Done),
            call(90_000, Operation::Query, Outcome::State(phase)),
        ],
        events,
        ..History::default()
    }
}

/// The task starts `starts` times, and each of the first `crashes` workers crashes under it.
fn crashing(starts: u64, crashes: u64) -> Vec<Event> {
    let runs = (0..starts).flat_map(|num| {
        let at = 10_100 + 5_000 * num;
        let mut events = vec![event(at, num, started(num as u32 + 1))];
        if num < crashes {
            events.push(event(at + 20, num, EventKind::CrashedUnder(task())));
            events.push(event(at + 20, num, EventKind::Crashed));
        }
        events
    });
    runs.collect()
}

#[parameterized(
    given_up_after_two = { 2, JobPhase::Failed, &[] },
    given_up_after_one = { 1, JobPhase::Failed, &["lost"] },
    five_crashes = { 5, JobPhase::Failed, &[] },
    six_crashes = { 6, JobPhase::Failed, &["budget"] },
    never_given_up = { 9, JobPhase::Running, &["budget"] },
)]
fn a_task_that_crashes_workers_is_to_be_given_up(
    crashes: u64,
    phase: JobPhase,
    expected: &[&'static str],
) {
    let history = history(crashing(crashes, crashes), phase);
    let found: Vec<&str> = check(&history).iter().map(|f| f.invariant).collect();
    assert_eq!(found, expected, "{:?}", check(&history));
}

/// A job whose task crashes workers is not missed; any other has to end in time.
#[parameterized(
    crashes_workers = { 1, true },
    crashes_none = { 0, false },
)]
fn only_a_job_that_crashes_workers_may_take_longer(crashes: u64, allowed: bool) {
    let mut history = history(crashing(1, crashes), JobPhase::Running);
    history.unfinished.insert(job());
    assert_eq!(check(&history).is_empty(), allowed, "{:?}", check(&history));
}

fn shown(at: u64, accels: u64) -> Event {
    let capacity = Resources { accels, ..CAPACITY };
    event(at, 0, EventKind::CapacityShown(capacity))
}

/// A capacity binds once it has been shown for a while; one that has grown allows more at once.
#[parameterized(
    shrunk_before = { &[(5_000, 4)], false },
    shrunk_just_now = { &[(9_000, 4)], true },
    grown_again = { &[(3_000, 4), (10_090, 8)], true },
    shrunk_twice = { &[(2_000, 6), (5_000, 4)], false },
    grown_and_shrunk = { &[(2_000, 4), (6_000, 8), (9_000, 4)], true },
    shrunk_later = { &[(10_200, 4)], true },
)]
fn a_start_beyond_a_shrunken_capacity_is_found(capacities: &[(u64, u64)], allowed: bool) {
    let mut events: Vec<Event> = capacities.iter().map(|(at, n)| shown(*at, *n)).collect();
    events.push(event(10_100, 0, started(1)));
    events.sort_by_key(|e| e.at);
    let history = history(events, JobPhase::Running);
    let found = check(&history).iter().any(|f| f.invariant == "limit");
    assert_eq!(found, !allowed, "{:?}", check(&history));
}
