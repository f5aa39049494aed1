//! Tests of the check that no accepted job has nothing running beside free room.

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
use platform_fakes::CAPACITY;
use soak::check;
use soak::Call;
use soak::Exit;
use soak::FaultWindow;
use soak::History;
use soak::Operation;
use yare::parameterized;

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

/// A job whose tasks need half of a worker each.
fn submission(count: u32, gang: bool) -> Submission {
    let step = StepSpec {
        count,
        need: Resources {
            cpu: 1_000,
            memory: 100,
            accels: CAPACITY.accels / 2,
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

fn worker(num: u64) -> WorkerId {
    format!("w{num}").parse().expect("a valid worker id")
}

fn event(at: u64, num: u64, kind: EventKind) -> Event {
    Event {
        at: Millis(at),
        worker: worker(num),
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

fn call(sent: u64, operation: Operation, outcome: Outcome) -> Call {
    Call {
        job: job(1),
        operation,
        daemon: 0,
        sent: Millis(sent),
        at: Millis(sent + 1),
        outcome,
    }
}

/// Two runs of one task, the second of which starts 3.1 s after the first has lapsed, on a site of four workers.
fn history_with_a_wait() -> History {
    let shown = |num| event(0, num, EventKind::CapacityShown(CAPACITY));
    let mut events: Vec<Event> = (0..4).map(shown).collect();
    events.extend([
        event(10_100, 1, started(task(1, 0), 1)),
        event(10_900, 1, ended(task(1, 0), 1, EndKind::Lapsed)),
        event(14_000, 3, started(task(1, 0), 2)),
        event(14_500, 3, ended(task(1, 0), 2, EndKind::Done)),
    ]);
    History {
        jobs: [(job(1), submission(1, false))].into(),
        max_attempts: 2,
        calls: vec![
            call(10_000, Operation::Submit, Outcome::Done),
            call(
                15_000,
                Operation::Query,
                Outcome::State(JobPhase::Completed),
            ),
        ],
        events,
        ..History::default()
    }
}

fn no_change(_: &mut History) {}

fn shorter(history: &mut History) {
    history.events[5].at = Millis(11_100);
}

fn lost_with_its_worker(history: &mut History) {
    history.events[5] = event(10_900, 1, EventKind::Crashed);
}

fn never_started(history: &mut History) {
    history.events.truncate(4);
    history.calls[1].outcome = Outcome::State(JobPhase::Queued);
}

fn completed_meanwhile(history: &mut History) {
    history.events.truncate(6);
    history.events[5].kind = ended(task(1, 0), 1, EndKind::Done);
}

fn waits_for_an_earlier_step(history: &mut History) {
    let mut submission = submission(1, false);
    submission.steps.insert(0, submission.steps[0].clone());
    submission.steps[1].after = vec![0];
    history.jobs.insert(job(1), submission);
    history.events[5].kind = ended(task(1, 0), 1, EndKind::Done);
    history.events.truncate(6);
    history.calls[1].outcome = Outcome::State(JobPhase::Running);
}

fn cancelled(history: &mut History) {
    let cancel = call(14_900, Operation::Cancel, Outcome::TimedOut);
    history.calls.insert(1, cancel);
}

fn out_of_attempts(history: &mut History) {
    history.events[5].kind = ended(task(1, 0), 1, EndKind::Failed);
    history.max_attempts = 1;
    history.events.truncate(6);
    history.calls[1].outcome = Outcome::State(JobPhase::Failed);
}

fn fault(history: &mut History, start: u64, end: u64) {
    history.faults.push(FaultWindow {
        start: Millis(start),
        end: Millis(end),
        planned: true,
        description: "planned stop of daemon 0".to_string(),
    });
}

fn fault_before(history: &mut History) {
    fault(history, 6_000, 7_050);
}

fn fault_long_before(history: &mut History) {
    fault(history, 6_000, 6_950);
}

fn fault_meanwhile(history: &mut History) {
    fault(history, 12_000, 12_000);
}

fn half_in_use(history: &mut History) {
    history.jobs.insert(job(2), submission(4, false));
    let runs = (0..4).map(|num| event(9_000, u64::from(num), started(task(2, num), 1)));
    history.events.splice(4..4, runs.collect::<Vec<_>>());
}

fn less_than_half_in_use(history: &mut History) {
    half_in_use(history);
    history.events.remove(4);
}

fn room_for_one(history: &mut History) {
    history.jobs.insert(job(2), submission(3, false));
    // Only workers with odd numbers are approved by the adviser.
    let runs = [(0, 1), (1, 3), (2, 3)];
    let runs = runs.map(|(index, num)| event(9_000, num, started(task(2, index), 1)));
    history.events.splice(4..4, runs);
}

fn gang_without_room_twice(history: &mut History) {
    history.jobs.insert(job(1), submission(3, true));
    never_started(history);
}

fn gang_with_room_twice(history: &mut History) {
    history.jobs.insert(job(1), submission(2, true));
    never_started(history);
}

fn cap_in_force(history: &mut History) {
    let cap = Resources {
        cpu: 1_000,
        memory: 0,
        accels: 0,
    };
    history.caps = vec![(Millis(1_000), cap)];
}

fn waits_for_an_unanswered_start(history: &mut History) {
    history.exits.push(Exit {
        daemon: 0,
        at: Millis(90_000),
        lines: 1,
        delayed: [job(1)].into(),
        problem: None,
    });
}

fn waits_for_longer(history: &mut History) {
    waits_for_an_unanswered_start(history);
    for event in &mut history.events[6..] {
        event.at += Millis(12_000);
    }
    history.calls[1].at += Millis(12_000);
    history.calls[1].sent += Millis(12_000);
}

#[parameterized(
    after_a_lapse = { no_change, true },
    after_a_crash = { lost_with_its_worker, true },
    from_the_start = { never_started, true },
    other_fault_is_over = { fault_long_before, true },
    less_than_half = { less_than_half_in_use, true },
    whole_gang = { gang_with_room_twice, true },
    not_long_enough = { shorter, false },
    its_task_is_done = { completed_meanwhile, false },
    cancellation = { cancelled, false },
    failed = { out_of_attempts, false },
    after_a_fault = { fault_before, false },
    in_a_fault = { fault_meanwhile, false },
    half = { half_in_use, false },
    too_little_room = { room_for_one, false },
    too_little_room_for_a_gang = { gang_without_room_twice, false },
    cap = { cap_in_force, false },
    unanswered_start = { waits_for_an_unanswered_start, false },
    longer_than_an_unanswered_start = { waits_for_longer, true },
    second_step = { waits_for_an_earlier_step, true },
)]
fn a_job_with_nothing_running_beside_free_room_is_found(change: fn(&mut History), is_found: bool) {
    let mut history = history_with_a_wait();
    change(&mut history);
    let findings = check(&history);
    let idle = findings
        .iter()
        .filter(|f| f.invariant == "lost" && f.description.contains("nothing running"));
    assert_eq!(idle.count() > 0, is_found, "{findings:?}");
}
