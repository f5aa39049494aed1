//! Checks the history of a soak against the invariants that callers and workers rely on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::JobPhase;
use batch::RunNumber;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;

use crate::crashes;
use crate::denial;
use crate::growth;
use crate::history::Call;
use crate::history::History;
use crate::history::Operation;
use crate::idle;
use crate::memory;
use crate::quota;
use crate::room;

/// Time after a disruption in which a missed time bound is still excused.
const DISRUPTION_GRACE: Millis = Millis(3_000);

/// Time after the acknowledgement of a cancellation in which tasks of the job may still start.
const CANCEL_GRACE: Millis = Millis(3_000);

/// A request sent in this time before the exit of the process was observed may not have been read.
const EXIT_LAG: Millis = Millis(400);

/// A violation of an invariant.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Name of the invariant, as listed at [`check()`].
    pub invariant: &'static str,
    /// Description of the violation.
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.description)
    }
}

/// Checks all invariants and returns the violations, sorted and without duplicates:
///
/// - `answer`: calls are answered only with the statuses that callers expect.
/// - `budget`: no task starts after acknowledged failures have used up its attempts, nor goes on
///   crashing workers.
/// - `dropped`: without a disruption, a request that a daemon has read is answered, and in time.
/// - `gang`: without a disruption, the members of a gang do not time out waiting for each other.
/// - `late`: requested waves of upkeep are completed.
/// - `limit`: neither a worker's capacity nor the cap of a wave is exceeded.
/// - `lost`: accepted jobs stay known and end, but for those under which workers crashed, and none is reported
///   as cancelled or failed without a reason; in calm times, none has nothing running beside free room.
/// - `memory`: no daemon uses more memory than its machine has.
/// - `mixed`: a job is reported as completed only after all its tasks are done.
/// - `order`: a task starts only after the steps that its step depends on are done.
/// - `outdated`: no call is decided by a configuration that a change has replaced for longer than it
///   may take to be in force.
/// - `process`: daemons exit only when told to, in time and with well-formed logs.
/// - `refused`: no task of a refused job starts.
/// - `twice`: no task starts while it runs or after its completion was acknowledged.
/// - `unasked`: tasks start only for submitted jobs and steps, with the submitted specification,
///   from a checkpoint of their own step, not long after a cancellation, and not after an answer that
///   the job does not exist or was not accepted.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut report = |invariant: &'static str, description: String| {
        findings.push(Finding {
            invariant,
            description,
        });
    };
    check_events(history, &mut report);
    check_answers(history, &mut report);
    check_exits(history, &mut report);
    check_waves(history, &mut report);
    growth::check(&history.probes, &mut report);
    crashes::check(history, &mut report);
    denial::check(history, &mut report);
    match history.capacity {
        Some(capacity) => room::check(history, capacity, &mut report),
        None => idle::check(history, &mut report),
    }
    memory::check(history, &mut report);
    findings.sort();
    findings.dedup();
    findings
}

type ReportFn<'a> = dyn FnMut(&'static str, String) + 'a;

/// Step of a task: job, occurrence and step number, which all members of a gang share.
fn step_of(task: &TaskId) -> (JobId, u32, u16) {
    (task.job.clone(), task.occurrence, task.step)
}

/// State that results from the events up to a point of the history.
#[derive(Default)]
struct State<'a> {
    /// Runs in progress, by worker and task.
    running: BTreeMap<(&'a WorkerId, &'a TaskId), RunNumber>,
    /// Tasks with a run that ended as done.
    done: BTreeSet<&'a TaskId>,
    /// Tasks whose completion was acknowledged.
    acknowledged: BTreeSet<&'a TaskId>,
    /// Failed runs by task.
    failed: BTreeMap<&'a TaskId, BTreeSet<RunNumber>>,
    /// Checkpoints by step.
    checkpoints: BTreeSet<((JobId, u32, u16), &'a str)>,
}

/// Failed runs that were acknowledged at any time, also after the event being checked.
fn acknowledged_failures(history: &History) -> BTreeSet<(&TaskId, RunNumber)> {
    let acked = history.events.iter().filter_map(|e| match &e.kind {
        EventKind::Acknowledged(task, run, EndKind::Failed) => Some((task, *run)),
        _ => None,
    });
    acked.collect()
}

fn check_events(history: &History, report: &mut ReportFn<'_>) {
    let refused = refused_jobs(history);
    let cancelled = cancelled_at(history);
    let acknowledged_failures = acknowledged_failures(history);
    let mut state = State::default();
    for event in &history.events {
        match &event.kind {
            EventKind::Started {
                task,
                run,
                spec,
                checkpoint,
            } => {
                if refused.contains(&task.job) {
                    report(
                        "refused",
                        format!("{task} of a refused job started {}", location(event)),
                    );
                }
                if cancelled.get(&task.job).is_some_and(|acked| {
                    event.at > *acked + CANCEL_GRACE
                        && !history.is_disrupted(*acked - DISRUPTION_GRACE, event.at)
                }) {
                    report(
                        "unasked",
                        format!(
                            "{task} started long after its cancellation was acknowledged, {}",
                            location(event)
                        ),
                    );
                }
                check_start(
                    history,
                    &state,
                    event,
                    (task, spec, checkpoint),
                    &acknowledged_failures,
                    report,
                );
                state.running.insert((&event.worker, task), *run);
            }
            EventKind::Ended(task, run, kind) => {
                state.running.remove(&(&event.worker, task));
                match kind {
                    EndKind::Done => {
                        state.done.insert(task);
                    }
                    EndKind::Failed => {
                        state.failed.entry(task).or_default().insert(*run);
                    }
                    EndKind::Alone
                        if !history.is_disrupted(
                            event.at - DISRUPTION_GRACE - DISRUPTION_GRACE,
                            event.at,
                        ) =>
                    {
                        report(
                            "gang",
                            format!(
                                "{task} timed out waiting for the other members of its gang {}",
                                location(event)
                            ),
                        );
                    }
                    _ => {}
                }
            }
            EventKind::Acknowledged(task, _, EndKind::Done) => {
                state.acknowledged.insert(task);
            }
            EventKind::Acknowledged(..)
            | EventKind::CapacityShown(_)
            | EventKind::CrashedUnder(_) => {}
            EventKind::Crashed => state
                .running
                .retain(|(worker, _), _| *worker != &event.worker),
            EventKind::Saved(task, value) => {
                state.checkpoints.insert((step_of(task), value.as_str()));
            }
        }
    }
}

fn location(event: &Event) -> String {
    format!("on {} at {}", event.worker, event.at)
}

/// Checks the start of a run against the state before it.
fn check_start(
    history: &History,
    state: &State<'_>,
    event: &Event,
    (task, spec, checkpoint): (&TaskId, &str, &str),
    acknowledged_failures: &BTreeSet<(&TaskId, RunNumber)>,
    report: &mut ReportFn<'_>,
) {
    let Some(submission) = history.jobs.get(&task.job) else {
        return report(
            "unasked",
            format!("{task} of an unknown job started {}", location(event)),
        );
    };
    let Some(step) = submission.steps.get(usize::from(task.step)) else {
        return report(
            "unasked",
            format!("{task} of an unknown step started {}", location(event)),
        );
    };
    if submission.spec != spec {
        report(
            "unasked",
            format!(
                "{task} started with another specification than the submitted one {}",
                location(event)
            ),
        );
    }
    if !checkpoint.is_empty() && !state.checkpoints.contains(&(step_of(task), checkpoint)) {
        report(
            "unasked",
            format!(
                "{task} started from checkpoint {checkpoint}, which its step has not saved, {}",
                location(event)
            ),
        );
    }
    if let Some(((other, _), run)) = state.running.iter().find(|((_, t), _)| *t == task) {
        report(
            "twice",
            format!(
                "{task} started {} while run {run} was in progress on {other}",
                location(event)
            ),
        );
    }
    if state.acknowledged.contains(task) {
        report(
            "twice",
            format!(
                "{task} started after its completion was acknowledged, {}",
                location(event)
            ),
        );
    }
    let blocked = step.after.iter().any(|&earlier| {
        (0..submission.steps[usize::from(earlier)].count).any(|index| {
            let task = TaskId {
                step: earlier,
                index: index as u16,
                ..task.clone()
            };
            !state.done.contains(&task)
        })
    });
    if blocked {
        report(
            "order",
            format!(
                "{task} started before the steps that it depends on were done {}",
                location(event)
            ),
        );
    }
    let failures = state.failed.iter().filter(|(t, _)| match step.gang {
        true => step_of(t) == step_of(task),
        false => **t == task,
    });
    let failures: BTreeSet<RunNumber> = failures
        .flat_map(|(t, runs)| {
            runs.iter()
                .filter(|r| acknowledged_failures.contains(&(*t, **r)))
        })
        .copied()
        .collect();
    if failures.len() as u32 >= history.attempts(&task.job) {
        report(
            "budget",
            format!(
                "{task} started after {} failed runs {}",
                failures.len(),
                location(event)
            ),
        );
    }
    let mut used = step.need;
    let concurrent = state.running.keys().filter(|(w, _)| **w == event.worker);
    for (_, other) in concurrent.filter(|(_, t)| *t != task) {
        used += history.need_of(other);
    }
    let others = state.running.keys().filter(|(_, t)| *t != task);
    let others = others.map(|(_, other)| history.need_of(other));
    quota::check(history, event, others, step.need, report);
    if !crashes::capacity(history, event).fits(&used) {
        report(
            "limit",
            format!(
                "{task} exceeded the capacity of {} at {}",
                event.worker, event.at
            ),
        );
    }
}

/// Jobs whose submissions were all refused or not sent.
fn refused_jobs(history: &History) -> BTreeSet<&JobId> {
    let mut jobs: BTreeMap<&JobId, bool> = BTreeMap::new();
    for call in history.calls_of(Operation::Submit) {
        let all_refused = jobs.entry(&call.job).or_insert(true);
        *all_refused &= matches!(call.outcome, Outcome::Refused(_) | Outcome::NotConnected);
    }
    jobs.into_iter().filter(|j| j.1).map(|j| j.0).collect()
}

/// Time of the first acknowledged cancellation, by job.
fn cancelled_at(history: &History) -> BTreeMap<&JobId, Millis> {
    let mut jobs = BTreeMap::new();
    for call in history
        .calls_of(Operation::Cancel)
        .filter(|c| c.outcome == Outcome::Done)
    {
        jobs.entry(&call.job).or_insert(call.at);
    }
    jobs
}

fn check_answers(history: &History, report: &mut ReportFn<'_>) {
    let accepted = history.accepted();
    let cancel_requested: BTreeSet<&JobId> = history
        .calls_of(Operation::Cancel)
        .map(|c| &c.job)
        .collect();
    let done: BTreeMap<&TaskId, Millis> = history
        .events
        .iter()
        .filter_map(|e| match &e.kind {
            EventKind::Ended(task, _, EndKind::Done) => Some((task, e.at)),
            _ => None,
        })
        .rev()
        .collect();
    for call in &history.calls {
        let job = &call.job;
        match call.outcome {
            Outcome::Status(status) => {
                report("answer", format!("{job}: unexpected status {status}"))
            }
            Outcome::NoJob if call.operation == Operation::Query => {
                let known = accepted.get(job).is_some_and(|at| *at < call.sent);
                if known && !cancel_requested.contains(job) {
                    report(
                        "lost",
                        format!("{job} was accepted but reported as unknown at {}", call.at),
                    );
                }
            }
            Outcome::State(JobPhase::Completed) if !completed_by(history, job, &done, call.at) => {
                report(
                    "mixed",
                    format!(
                        "{job} was reported as completed at {} before all its tasks were done",
                        call.at
                    ),
                );
            }
            Outcome::State(JobPhase::Cancelled) if !cancel_requested.contains(job) => {
                report(
                    "lost",
                    format!("{job} was reported as cancelled without a request to cancel it"),
                );
            }
            Outcome::State(JobPhase::Failed) if !crashes::may_be_failed(history, job) => {
                report(
                    "lost",
                    format!("{job} was reported as failed before a task had used up its attempts"),
                );
            }
            _ => {}
        }
        check_unanswered(history, call, report);
    }
    let missed = |job: &&JobId| !crashes::crashes_workers(history, job);
    for job in history.unfinished.iter().filter(missed) {
        report(
            "lost",
            format!("{job} was accepted but did not end in time"),
        );
    }
}

/// Checks that a call got an answer: its connection did not end without one, unless the daemon's port was
/// closed, and no daemon kept its caller waiting. Requests that were read before a planned stop must be answered
/// as well.
fn check_unanswered(history: &History, call: &Call, report: &mut ReportFn<'_>) {
    let what = match call.outcome {
        Outcome::Disconnected => "ended the connection without an answer",
        Outcome::TimedOut => "gave no answer in time",
        _ => return,
    };
    if history.is_disrupted(call.sent - DISRUPTION_GRACE, call.at) || history.was_closed(call) {
        return;
    }
    let mut exits = history.exits.iter().filter(|e| e.daemon == call.daemon);
    let was_ending = exits.any(|e| call.sent + EXIT_LAG > e.at && call.sent <= e.at);
    if !was_ending {
        report(
            "dropped",
            format!(
                "{}: daemon {} {what}, sent at {}, given up at {}",
                call.job, call.daemon, call.sent, call.at
            ),
        );
    }
}

/// Whether all tasks of a job were done by this time.
fn completed_by(
    history: &History,
    job: &JobId,
    done: &BTreeMap<&TaskId, Millis>,
    by: Millis,
) -> bool {
    let Some(submission) = history.jobs.get(job) else {
        return false;
    };
    submission.steps.iter().enumerate().all(|(step, spec)| {
        (0..spec.count).all(|index| {
            let task = TaskId {
                job: job.clone(),
                occurrence: 0,
                step: step as u16,
                index: index as u16,
            };
            done.get(&task).is_some_and(|at| *at <= by)
        })
    })
}

fn check_waves(history: &History, report: &mut ReportFn<'_>) {
    for wave in &history.waves {
        if wave.max_down > wave.cap {
            report(
                "limit",
                format!(
                    "{} machines of wave {} were down at the same time",
                    wave.max_down, wave.number
                ),
            );
        }
        if !wave.completed {
            report("late", format!("wave {} was not completed", wave.number));
        }
    }
}

fn check_exits(history: &History, report: &mut ReportFn<'_>) {
    for exit in &history.exits {
        if let Some(problem) = &exit.problem {
            report(
                "process",
                format!("daemon {} at {}: {problem}", exit.daemon, exit.at),
            );
        }
    }
}
