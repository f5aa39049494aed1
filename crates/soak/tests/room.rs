//! Tests of the check that no job of a traffic has nothing running beside free room.

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::JobPhase;
use batch::Resources;
use batch::RunNumber;
use batch::StepSpec;
use batch::Submission;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;
use soak::check;
use soak::Call;
use soak::FaultWindow;
use soak::History;
use soak::Operation;
use yare::parameterized;

const CAPACITY: Resources = Resources {
    cpu: 32_000,
    memory: 64_000,
    accels: 8,
};

fn job(num: u64) -> JobId {
    format!("{num:016x}").parse().expect("a valid job id")
}

fn task(job_num: u64, index: u16) -> TaskId {
    TaskId {
        job: job(job_num),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A job of large tasks, two of which fit on a worker by their processor time.
fn submission(count: u32, gang: bool) -> Submission {
    let step = StepSpec {
        count,
        need: Resources {
            cpu: 13_000,
            memory: 26_000,
            accels: 2,
        },
        gang,
        ..StepSpec::default()
    };
    Submission {
        spec: "work".to_string(),
        steps: vec![step],
        schedule: None,
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

fn started(task: TaskId, run: u32) -> EventKind {
    EventKind::Started {
        task,
        run: RunNumber(run),
        spec: "work".to_string(),
        checkpoint: String::new(),
    }
}

fn ended(task: TaskId, run: u32, kind: EndKind) -> EventKind {
    EventKind::Ended(task, RunNumber(run), kind)
}

fn call(num: u64, sent: u64, operation: Operation, outcome: Outcome) -> Call {
    Call {
        job: job(num),
        operation,
        daemon: 0,
        sent: Millis(sent),
        at: Millis(sent + 1),
        outcome,
    }
}

fn look(num: u64, sent: u64) -> Call {
    let outcome = Outcome::State(JobPhase::Running);
    call(num, sent, Operation::Query, outcome)
}

/// A gang of four tasks on a site of ten workers, stopped at 11 s and never started again, and a job whose run
/// goes on.
fn history_with_a_wait() -> History {
    let shown = |num| event(0, num, EventKind::CapacityShown(CAPACITY));
    let mut events: Vec<Event> = (0..10).map(shown).collect();
    events.push(event(10_050, 9, started(task(2, 0), 1)));
    events.extend((0..4).map(|i| event(10_100, i, started(task(1, i as u16), 1))));
    events.extend((0..4).map(|i| {
        let task = task(1, i as u16);
        event(11_000, i, ended(task, 1, EndKind::Stopped))
    }));
    let accepted = |num| call(num, 10_000, Operation::Submit, Outcome::Done);
    History {
        jobs: [
            (job(1), submission(4, true)),
            (job(2), submission(1, false)),
        ]
        .into(),
        max_attempts: 2,
        capacity: Some(CAPACITY),
        calls: vec![
            accepted(1),
            accepted(2),
            look(1, 12_000),
            look(1, 16_000),
            look(2, 16_000),
        ],
        events,
        ..History::default()
    }
}

fn no_change(_: &mut History) {}

fn shorter(history: &mut History) {
    history.calls[3].sent = Millis(13_900);
}

fn started_again(history: &mut History) {
    let again = (0..4).map(|i| event(13_900, i, started(task(1, i as u16), 2)));
    history.events.extend(again);
}

fn cancelled_by_its_caller(history: &mut History) {
    let cancel = call(1, 15_900, Operation::Cancel, Outcome::Done);
    history.calls.push(cancel);
}

fn failed_as_a_gang(history: &mut History) {
    for (event, run) in history.events[15..17].iter_mut().zip(1..) {
        event.kind = ended(task(1, run as u16), run, EndKind::Failed);
    }
}

fn disturbed(history: &mut History) {
    history.faults.push(FaultWindow {
        start: Millis(14_500),
        end: Millis(14_600),
        planned: true,
        description: "configuration".to_string(),
    });
    history.calls[3].sent = Millis(17_000);
}

/// Six more workers are full, so that eight tasks, twice the gang, do not fit.
fn full(history: &mut History) {
    fill(history, 6);
}

/// Four workers are full, with room for twice the gang, and over half of the accelerators in use.
fn accelerators_in_use(history: &mut History) {
    let hungry = |num: u64| {
        let mut wide = submission(1, false);
        wide.steps[0].need = Resources {
            cpu: 100,
            memory: 100,
            accels: 4,
        };
        (job(num), wide)
    };
    history.jobs.extend((20..30).map(hungry));
    let starts = (20..30).map(|num| event(10_000, num - 20, started(task(num, 0), 1)));
    history.events.splice(10..10, starts);
}

fn fill(history: &mut History, workers: u64) {
    let filler = |num: u64| {
        let mut wide = submission(1, false);
        wide.steps[0].need = CAPACITY;
        (job(num), wide)
    };
    history.jobs.extend((20..20 + workers).map(filler));
    let starts = (0..workers).map(|num| event(10_000, num + 4, started(task(20 + num, 0), 1)));
    history.events.splice(10..10, starts);
}

fn limited_on_a_worker(history: &mut History) {
    let steps = history.jobs.get_mut(&job(1)).map(|j| &mut j.steps);
    for step in steps.into_iter().flatten() {
        step.per_worker = Some(1);
        step.count = 6;
    }
}

fn no_answer(history: &mut History) {
    shorter(history);
    history.unanswered.insert(job(1));
}

fn lost(history: &History) -> usize {
    let findings = check(history);
    findings.iter().filter(|f| f.invariant == "lost").count()
}

#[parameterized(
    a_gang_that_was_stopped = { no_change },
    a_job_that_nobody_answers_for = { no_answer },
    calm_before_a_configuration = { disturbed },
)]
fn a_job_with_nothing_running_beside_room_is_lost(change: fn(&mut History)) {
    let mut history = history_with_a_wait();
    change(&mut history);
    assert_eq!(lost(&history), 1, "{:#?}", check(&history));
}

#[parameterized(
    under_3_s = { shorter },
    started_again_in_time = { started_again },
    cancelled = { cancelled_by_its_caller },
    out_of_attempts = { failed_as_a_gang },
    no_room_for_twice_the_gang = { full },
    over_half_of_the_accelerators_in_use = { accelerators_in_use },
    one_task_a_worker = { limited_on_a_worker },
)]
fn a_wait_within_the_rule_is_no_finding(change: fn(&mut History)) {
    let mut history = history_with_a_wait();
    change(&mut history);
    assert_eq!(lost(&history), 0, "{:#?}", check(&history));
}

#[test]
fn a_daemon_over_its_memory_is_reported() {
    let history = History {
        memory: vec![(0, 160, 160), (1, 161, 160)],
        ..History::default()
    };
    let findings = check(&history);
    let texts: Vec<String> = findings.iter().map(|f| f.to_string()).collect();
    assert_eq!(texts, ["memory: daemon 1 used 161 MB of 160 MB"]);
}
