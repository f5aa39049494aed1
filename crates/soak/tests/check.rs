//! Tests of the checks: a valid history has no findings, and each kind of violation is found.

use std::collections::BTreeSet;

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
use soak::Exit;
use soak::FaultWindow;
use soak::History;
use soak::Operation;
use soak::Probe;
use soak::WaveResult;
use std::time::Duration;
use yare::parameterized;

fn job() -> JobId {
    "000000000000000a".parse().expect("a valid job id")
}

fn worker(num: u64) -> WorkerId {
    format!("w{num}").parse().expect("a valid worker id")
}

fn task(step: u16, index: u16) -> TaskId {
    TaskId {
        job: job(),
        occurrence: 0,
        step,
        index,
    }
}

fn step(count: u32, accels: u64) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu: 1_000,
            memory: 100,
            accels,
        },
        ..StepSpec::default()
    }
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

fn acknowledged(task: TaskId, run: u32, kind: EndKind) -> EventKind {
    EventKind::Acknowledged(task, RunNumber(run), kind)
}

fn call(at: u64, operation: Operation, outcome: Outcome) -> Call {
    Call {
        job: job(),
        operation,
        daemon: 0,
        sent: Millis(at - 2),
        at: Millis(at),
        outcome,
    }
}

/// A valid history: one job whose two steps run one after the other, and are reported as completed.
fn valid_history() -> History {
    let mut second = step(1, 8);
    second.after = vec![0];
    let submission = Submission {
        spec: "work".to_string(),
        steps: vec![step(1, 1), second],
        schedule: None,
    };
    let (one, two) = (task(0, 0), task(1, 0));
    History {
        jobs: [(job(), submission)].into(),
        max_attempts: 2,
        calls: vec![
            call(10_010, Operation::Submit, Outcome::Done),
            call(
                10_500,
                Operation::Query,
                Outcome::State(JobPhase::Completed),
            ),
        ],
        events: vec![
            event(10_050, 1, started(one.clone(), 1)),
            event(10_150, 1, ended(one.clone(), 1, EndKind::Done)),
            event(10_160, 1, acknowledged(one, 1, EndKind::Done)),
            event(10_200, 1, started(two.clone(), 1)),
            event(10_300, 1, ended(two, 1, EndKind::Done)),
        ],
        ..History::default()
    }
}

fn violated_invariants(history: &History) -> Vec<&'static str> {
    check(history).into_iter().map(|f| f.invariant).collect()
}

#[test]
fn valid_history_has_no_findings() {
    assert_eq!(check(&valid_history()), []);
}

fn start_while_running(history: &mut History) {
    history
        .events
        .insert(1, event(10_100, 2, started(task(0, 0), 2)));
}

fn start_after_acknowledgement(history: &mut History) {
    history
        .events
        .insert(3, event(10_170, 2, started(task(0, 0), 2)));
}

fn exceed_capacity(history: &mut History) {
    history
        .events
        .insert(4, event(10_210, 1, started(task(0, 0), 2)));
    history.events.remove(2);
}

fn start_before_earlier_step(history: &mut History) {
    history.events.swap(0, 3);
}

fn start_without_attempts_left(history: &mut History) {
    let failed = |run| {
        let task = task(0, 0);
        [
            event(10_020, 1, started(task.clone(), run)),
            event(10_030, 1, ended(task.clone(), run, EndKind::Failed)),
            event(10_040, 1, acknowledged(task, run, EndKind::Failed)),
        ]
    };
    let before: Vec<Event> = failed(1).into_iter().chain(failed(2)).collect();
    history.events.splice(0..0, before);
}

fn start_of_unknown_job(history: &mut History) {
    history.jobs.clear();
    history.events.truncate(1);
    history.calls.clear();
}

fn start_with_other_spec(history: &mut History) {
    history
        .jobs
        .get_mut(&job())
        .expect("the history has the job")
        .spec = "other".to_string();
}

fn start_from_foreign_checkpoint(history: &mut History) {
    let EventKind::Started { checkpoint, .. } = &mut history.events[0].kind else {
        panic!("the first event starts a run");
    };
    *checkpoint = "1f".to_string();
}

fn start_after_cancellation(history: &mut History) {
    history.calls[0] = call(6_000, Operation::Submit, Outcome::Done);
    history
        .calls
        .insert(1, call(6_500, Operation::Cancel, Outcome::Done));
}

fn start_after_denial(history: &mut History) {
    history.calls[0] = call(6_000, Operation::Submit, Outcome::Unknown);
    history
        .calls
        .insert(1, call(6_500, Operation::Cancel, Outcome::NoJob));
}

fn start_of_refused_job(history: &mut History) {
    history.calls[0].outcome = Outcome::Refused(Duration::from_secs(1));
}

fn gang_timeout(history: &mut History) {
    let kind = ended(task(0, 0), 1, EndKind::Alone);
    history.events.insert(1, event(10_060, 1, kind));
}

fn reported_completed_early(history: &mut History) {
    history.calls[1].at = Millis(10_250);
}

fn reported_unknown(history: &mut History) {
    history
        .calls
        .push(call(10_600, Operation::Query, Outcome::NoJob));
}

fn reported_failed_without_failures(history: &mut History) {
    history.calls[1].outcome = Outcome::State(JobPhase::Failed);
}

fn reported_cancelled_without_request(history: &mut History) {
    history.calls[1].outcome = Outcome::State(JobPhase::Cancelled);
}

fn unfinished_job(history: &mut History) {
    history.unfinished.insert(job());
}

fn unexpected_status(history: &mut History) {
    history
        .calls
        .push(call(10_600, Operation::Query, Outcome::Status(500)));
}

fn no_answer(history: &mut History) {
    history
        .calls
        .push(call(10_600, Operation::Query, Outcome::Disconnected));
}

fn no_answer_in_time(history: &mut History) {
    no_answer(history);
    history.calls[2].outcome = Outcome::TimedOut;
}

fn no_answer_before_exit(history: &mut History) {
    no_answer(history);
    history.exits.push(exit(11_600));
}

fn no_answer_after_restart(history: &mut History) {
    no_answer(history);
    history.exits.push(exit(10_500));
    history.process_starts.push((0, Millis(10_550)));
}

fn exit(at: u64) -> Exit {
    Exit {
        daemon: 0,
        at: Millis(at),
        lines: 1,
        delayed: BTreeSet::new(),
        problem: None,
    }
}

/// The second step takes eight accelerators; a cap of six allows six, a tenth of it and one task.
fn exceed_cap(history: &mut History) {
    let six = Resources {
        cpu: 0,
        memory: 0,
        accels: 6,
    };
    history.caps = vec![(Millis(2_000), six)];
    let other: JobId = "000000000000000b".parse().expect("a valid job id");
    let submission = Submission {
        spec: "work".to_string(),
        steps: vec![step(1, 7)],
        schedule: None,
    };
    history.jobs.insert(other.clone(), submission);
    let other = TaskId {
        job: other,
        ..task(0, 0)
    };
    let at = 10_195;
    history.events.insert(3, event(at, 2, started(other, 1)));
}

fn exceed_earlier_cap(history: &mut History) {
    exceed_cap(history);
    let (_, six) = history.caps[0];
    let eight = Resources { accels: 8, ..six };
    history.caps = vec![(Millis(1_000), eight), (Millis(6_000), six)];
}

fn unexpected_exit(history: &mut History) {
    history.exits.push(Exit {
        daemon: 0,
        at: Millis(20_000),
        lines: 1,
        delayed: BTreeSet::new(),
        problem: Some("ended without a request".to_string()),
    });
}

fn wave(max_down: usize, completed: bool) -> WaveResult {
    WaveResult {
        number: 3,
        cap: 2,
        max_down,
        completed,
    }
}

fn exceed_wave_cap(history: &mut History) {
    history.waves.push(wave(3, true));
}

fn incomplete_wave(history: &mut History) {
    history.waves.push(wave(2, false));
}

fn old_configuration(history: &mut History) {
    history.probes.push(Probe {
        daemon: 0,
        added: Millis(1_000),
        sent: Millis(3_100),
        outcome: Outcome::Status(404),
    });
}

#[parameterized(
    running_task = { start_while_running, "twice" },
    acknowledged_task = { start_after_acknowledgement, "twice" },
    worker_capacity = { exceed_capacity, "limit" },
    step_order = { start_before_earlier_step, "order" },
    attempts_used_up = { start_without_attempts_left, "budget" },
    unknown_job = { start_of_unknown_job, "unasked" },
    other_spec = { start_with_other_spec, "unasked" },
    foreign_checkpoint = { start_from_foreign_checkpoint, "unasked" },
    after_cancellation = { start_after_cancellation, "unasked" },
    after_denial = { start_after_denial, "unasked" },
    refused_job = { start_of_refused_job, "refused" },
    incomplete_gang = { gang_timeout, "gang" },
    completed_early = { reported_completed_early, "mixed" },
    unknown_accepted = { reported_unknown, "lost" },
    reported_failed = { reported_failed_without_failures, "lost" },
    reported_cancelled = { reported_cancelled_without_request, "lost" },
    unfinished = { unfinished_job, "lost" },
    status = { unexpected_status, "answer" },
    connection_ended = { no_answer, "dropped" },
    answer_overdue = { no_answer_in_time, "dropped" },
    connection_ended_before_exit = { no_answer_before_exit, "dropped" },
    connection_ended_after_restart = { no_answer_after_restart, "dropped" },
    org_cap = { exceed_cap, "quota" },
    lowered_org_cap = { exceed_earlier_cap, "quota" },
    process_exit = { unexpected_exit, "process" },
    wave_cap = { exceed_wave_cap, "limit" },
    late_wave = { incomplete_wave, "late" },
    unknown_queue = { old_configuration, "outdated" },
)]
fn violation_is_found(violate: fn(&mut History), invariant: &str) {
    let mut history = valid_history();
    violate(&mut history);
    assert!(
        violated_invariants(&history).contains(&invariant),
        "{:?}",
        check(&history)
    );
}

/// A disruption excuses missed time bounds, and no violation of other invariants.
#[parameterized(
    after_cancellation = { start_after_cancellation, true },
    incomplete_gang = { gang_timeout, true },
    connection_ended = { no_answer, true },
    answer_overdue = { no_answer_in_time, true },
    running_task = { start_while_running, false },
    refused_job = { start_of_refused_job, false },
)]
fn disruption_excuses_only_time_bounds(violate: fn(&mut History), excused: bool) {
    let mut history = valid_history();
    violate(&mut history);
    history.faults.push(FaultWindow {
        start: Millis(9_000),
        end: Millis(10_900),
        planned: false,
        description: "worker 0 crashes".to_string(),
    });
    assert_eq!(check(&history).is_empty(), excused, "{:?}", check(&history));
}

/// Failure: a daemon had closed its port a second before its exit, and the relay in front of it closed
/// callers' connections. The check took that for calls that the daemon had read and not answered.
#[parameterized(
    during_the_call = { 0, 10_599, true },
    another_daemon = { 1, 10_599, false },
    before_the_call = { 0, 10_590, false },
    after_the_call = { 0, 10_603, false },
)]
fn only_a_closed_port_excuses_a_call_without_an_answer(daemon: usize, at: u64, excused: bool) {
    let mut history = valid_history();
    no_answer_before_exit(&mut history);
    history.refusals.push((daemon, Millis(at)));
    assert_eq!(check(&history).is_empty(), excused, "{:?}", check(&history));
}

/// A cap that was lowered may be in force for a while, and one that sets no limit is not exceeded.
#[parameterized(
    lowered_just_now = { vec![(1_000, 20), (9_000, 6)], true },
    no_limit = { vec![(1_000, 0)], true },
    no_limit_until_just_now = { vec![(1_000, 0), (9_000, 6)], true },
    high = { vec![(1_000, 7)], true },
    low = { vec![(1_000, 6)], false },
    lowered_before = { vec![(1_000, 20), (5_000, 6)], false },
)]
fn the_highest_cap_that_may_be_in_force_counts(caps: Vec<(u64, u64)>, allowed: bool) {
    let mut history = valid_history();
    exceed_cap(&mut history);
    let caps = caps.into_iter().map(|(at, accels)| {
        let cap = Resources {
            cpu: 0,
            memory: 0,
            accels,
        };
        (Millis(at), cap)
    });
    history.caps = caps.collect();
    assert_eq!(check(&history).is_empty(), allowed, "{:?}", check(&history));
}
