//! Each promise that the soak checks is shown to be able to break.

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
use soak::Asked;
use soak::Call;
use soak::Exit;
use soak::Log;
use soak::Upkeep;
use soak::Window;
use std::time::Duration;
use yare::parameterized;

fn job() -> JobId {
    "000000000000000a".parse().expect("a job id")
}

fn worker(num: u64) -> WorkerId {
    format!("w{num}").parse().expect("a worker id")
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

fn fact(at: u64, num: u64, what: EventKind) -> Event {
    Event {
        at: Millis(at),
        worker: worker(num),
        incarnation: 1,
        kind: what,
    }
}

fn began(task: TaskId, run: u32) -> EventKind {
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

fn acked(task: TaskId, run: u32, kind: EndKind) -> EventKind {
    EventKind::Acknowledged(task, RunNumber(run), kind)
}

fn call(at: u64, asked: Asked, told: Outcome) -> Call {
    Call {
        job: job(),
        asked,
        daemon: 0,
        sent: Millis(at - 2),
        at: Millis(at),
        told,
    }
}

/// A job of two steps that ran as it should.
fn clean() -> Log {
    let mut second = step(1, 8);
    second.after = vec![0];
    let work = Submission {
        spec: "work".to_string(),
        steps: vec![step(1, 1), second],
        schedule: None,
    };
    let (one, two) = (task(0, 0), task(1, 0));
    Log {
        jobs: [(job(), work)].into(),
        attempts: 2,
        calls: vec![
            call(10_010, Asked::Submit, Outcome::Done),
            call(10_500, Asked::Look, Outcome::State(JobPhase::Completed)),
        ],
        facts: vec![
            fact(10_050, 1, began(one.clone(), 1)),
            fact(10_150, 1, ended(one.clone(), 1, EndKind::Done)),
            fact(10_160, 1, acked(one, 1, EndKind::Done)),
            fact(10_200, 1, began(two.clone(), 1)),
            fact(10_300, 1, ended(two, 1, EndKind::Done)),
        ],
        ..Log::default()
    }
}

fn promises(log: &Log) -> Vec<&'static str> {
    check(log).into_iter().map(|f| f.promise).collect()
}

#[test]
fn a_run_as_it_should_be_has_no_findings() {
    assert_eq!(check(&clean()), []);
}

fn twice_at_once(log: &mut Log) {
    log.facts.insert(1, fact(10_100, 2, began(task(0, 0), 2)));
}

fn twice_after_its_end(log: &mut Log) {
    log.facts.insert(3, fact(10_170, 2, began(task(0, 0), 2)));
}

fn over_capacity(log: &mut Log) {
    log.facts.insert(4, fact(10_210, 1, began(task(0, 0), 2)));
    log.facts.remove(2);
}

fn before_its_turn(log: &mut Log) {
    log.facts.swap(0, 3);
}

fn out_of_attempts(log: &mut Log) {
    let failed = |run| {
        let task = task(0, 0);
        [
            fact(10_020, 1, began(task.clone(), run)),
            fact(10_030, 1, ended(task.clone(), run, EndKind::Failed)),
            fact(10_040, 1, acked(task, run, EndKind::Failed)),
        ]
    };
    let before: Vec<Event> = failed(1).into_iter().chain(failed(2)).collect();
    log.facts.splice(0..0, before);
}

fn of_no_job(log: &mut Log) {
    log.jobs.clear();
    log.facts.truncate(1);
    log.calls.clear();
}

fn with_another_description(log: &mut Log) {
    log.jobs.get_mut(&job()).expect("the job").spec = "other".to_string();
}

fn from_foreign_progress(log: &mut Log) {
    let EventKind::Started {
        checkpoint: saved, ..
    } = &mut log.facts[0].kind
    else {
        panic!("the first fact is a start");
    };
    *saved = "1f".to_string();
}

fn long_after_its_cancellation(log: &mut Log) {
    log.calls[0] = call(6_000, Asked::Submit, Outcome::Done);
    log.calls
        .insert(1, call(6_500, Asked::Cancel, Outcome::Done));
}

fn of_a_refused_job(log: &mut Log) {
    log.calls[0].told = Outcome::Refused(Duration::from_secs(1));
}

fn alone(log: &mut Log) {
    let what = ended(task(0, 0), 1, EndKind::Alone);
    log.facts.insert(1, fact(10_060, 1, what));
}

fn completed_too_early(log: &mut Log) {
    log.calls[1].at = Millis(10_250);
}

fn not_known(log: &mut Log) {
    log.calls.push(call(10_600, Asked::Look, Outcome::NoJob));
}

fn failed_without_cause(log: &mut Log) {
    log.calls[1].told = Outcome::State(JobPhase::Failed);
}

fn cancelled_by_nobody(log: &mut Log) {
    log.calls[1].told = Outcome::State(JobPhase::Cancelled);
}

fn never_ended(log: &mut Log) {
    log.unsettled.insert(job());
}

fn strange_answer(log: &mut Log) {
    log.calls
        .push(call(10_600, Asked::Look, Outcome::Status(500)));
}

fn no_answer(log: &mut Log) {
    log.calls
        .push(call(10_600, Asked::Look, Outcome::Disconnected));
}

fn ended_by_itself(log: &mut Log) {
    log.exits.push(Exit {
        daemon: 0,
        at: Millis(20_000),
        lines: 1,
        wrong: Some("ended by itself".to_string()),
    });
}

fn wave(most: usize, is_over: bool) -> Upkeep {
    Upkeep {
        number: 3,
        cap: 2,
        most,
        is_over,
    }
}

fn too_many_down(log: &mut Log) {
    log.waves.push(wave(3, true));
}

fn wave_without_end(log: &mut Log) {
    log.waves.push(wave(2, false));
}

#[parameterized(
    twice = { twice_at_once, "twice" },
    again = { twice_after_its_end, "twice" },
    capacity = { over_capacity, "limit" },
    turn = { before_its_turn, "order" },
    attempts = { out_of_attempts, "budget" },
    no_job = { of_no_job, "unasked" },
    description = { with_another_description, "unasked" },
    progress = { from_foreign_progress, "unasked" },
    cancellation = { long_after_its_cancellation, "unasked" },
    refused = { of_a_refused_job, "refused" },
    gang = { alone, "gang" },
    early = { completed_too_early, "mixed" },
    unknown = { not_known, "lost" },
    failed = { failed_without_cause, "lost" },
    cancelled = { cancelled_by_nobody, "lost" },
    unsettled = { never_ended, "lost" },
    status = { strange_answer, "answer" },
    broken = { no_answer, "dropped" },
    process = { ended_by_itself, "process" },
    upkeep = { too_many_down, "limit" },
    wave = { wave_without_end, "late" },
)]
fn a_broken_promise_is_found(spoil: fn(&mut Log), promise: &str) {
    let mut log = clean();
    spoil(&mut log);
    assert!(promises(&log).contains(&promise), "{:?}", check(&log));
}

/// What has a bound in time is excused while a disruption is near; what has none is not.
#[parameterized(
    cancellation = { long_after_its_cancellation, true },
    gang = { alone, true },
    broken = { no_answer, true },
    twice = { twice_at_once, false },
    refused = { of_a_refused_job, false },
)]
fn a_disruption_excuses_only_what_has_a_bound(spoil: fn(&mut Log), excused: bool) {
    let mut log = clean();
    spoil(&mut log);
    log.windows.push(Window {
        from: Millis(9_000),
        until: Millis(10_900),
        planned: false,
        what: "a worker crashes".to_string(),
    });
    assert_eq!(check(&log).is_empty(), excused, "{:?}", check(&log));
}
