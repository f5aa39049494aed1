//! The promises, checked over what was seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::JobPhase;
use batch::Resources;
use batch::RunNumber;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;
use platform_fakes::CAPACITY;

use crate::log::Asked;
use crate::log::Call;
use crate::log::Log;

/// Time after a disruption in which its effects are excused.
const CONTACT: Millis = Millis(3_000);

/// Time after the acknowledgement of a cancellation in which a task may still be started.
const CANCEL: Millis = Millis(3_000);

/// Time before the end of a process was seen in which a request may not have been read any more.
const LAST: Millis = Millis(400);

/// Time that a process takes until it listens.
const START: Millis = Millis(1_500);

/// A promise that was broken.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.text)
    }
}

/// Checks all promises.
pub fn check(log: &Log) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut add = |promise: &'static str, text: String| {
        found.push(Finding { promise, text });
    };
    workers(log, &mut add);
    answers(log, &mut add);
    processes(log, &mut add);
    waves(log, &mut add);
    found.sort();
    found.dedup();
    found
}

type Add<'a> = dyn FnMut(&'static str, String) + 'a;

/// Position of a task's step: all members of a gang share it.
fn step_of(task: &TaskId) -> (JobId, u32, u16) {
    (task.job.clone(), task.occurrence, task.step)
}

/// What the facts say up to one of them.
#[derive(Default)]
struct Seen<'a> {
    /// Runs that go on, by worker and task.
    running: BTreeMap<(&'a WorkerId, &'a TaskId), RunNumber>,
    done: BTreeSet<&'a TaskId>,
    /// Tasks whose end as done was acknowledged.
    closed: BTreeSet<&'a TaskId>,
    failed: BTreeMap<&'a TaskId, BTreeSet<RunNumber>>,
    saved: BTreeSet<((JobId, u32, u16), &'a str)>,
}

/// Failed runs that have been acknowledged, whenever that was.
fn counted(log: &Log) -> BTreeSet<(&TaskId, RunNumber)> {
    let acked = log.facts.iter().filter_map(|f| match &f.kind {
        EventKind::Acknowledged(task, run, EndKind::Failed) => Some((task, *run)),
        _ => None,
    });
    acked.collect()
}

fn workers(log: &Log, add: &mut Add<'_>) {
    let refused = refused(log);
    let cancelled = cancelled(log);
    let counted = counted(log);
    let mut seen = Seen::default();
    for fact in &log.facts {
        match &fact.kind {
            EventKind::Started {
                task,
                run,
                spec,
                checkpoint: saved,
            } => {
                if refused.contains(&task.job) {
                    add(
                        "refused",
                        format!("{task} of a refused job starts {}", at(fact)),
                    );
                }
                if cancelled.get(&task.job).is_some_and(|acked| {
                    fact.at > *acked + CANCEL && !log.is_disrupted(*acked - CONTACT, fact.at)
                }) {
                    add(
                        "unasked",
                        format!("{task} starts long after its cancellation {}", at(fact)),
                    );
                }
                begun(log, &seen, fact, (task, spec, saved), &counted, add);
                seen.running.insert((&fact.worker, task), *run);
            }
            EventKind::Ended(task, run, kind) => {
                seen.running.remove(&(&fact.worker, task));
                match kind {
                    EndKind::Done => {
                        seen.done.insert(task);
                    }
                    EndKind::Failed => {
                        seen.failed.entry(task).or_default().insert(*run);
                    }
                    EndKind::Alone if !log.is_disrupted(fact.at - CONTACT - CONTACT, fact.at) => {
                        add(
                            "gang",
                            format!("{task} waited in vain for its gang {}", at(fact)),
                        );
                    }
                    _ => {}
                }
            }
            EventKind::Acknowledged(task, _, EndKind::Done) => {
                seen.closed.insert(task);
            }
            EventKind::Acknowledged(..) => {}
            EventKind::Crashed => seen
                .running
                .retain(|(worker, _), _| *worker != &fact.worker),
            EventKind::Saved(task, value) => {
                seen.saved.insert((step_of(task), value.as_str()));
            }
        }
    }
}

fn at(fact: &Event) -> String {
    format!("on {} at {}", fact.worker, fact.at)
}

/// Checks the begin of a run against what went before.
fn begun(
    log: &Log,
    seen: &Seen<'_>,
    fact: &Event,
    (task, spec, saved): (&TaskId, &str, &str),
    counted: &BTreeSet<(&TaskId, RunNumber)>,
    add: &mut Add<'_>,
) {
    let Some(work) = log.jobs.get(&task.job) else {
        return add("unasked", format!("{task} of no job starts {}", at(fact)));
    };
    let Some(step) = work.steps.get(usize::from(task.step)) else {
        return add("unasked", format!("{task} of no step starts {}", at(fact)));
    };
    if work.spec != spec {
        add(
            "unasked",
            format!("{task} starts with another description {}", at(fact)),
        );
    }
    if !saved.is_empty() && !seen.saved.contains(&(step_of(task), saved)) {
        add(
            "unasked",
            format!(
                "{task} starts from {saved}, which is not its own, {}",
                at(fact)
            ),
        );
    }
    if let Some(((other, _), run)) = seen.running.iter().find(|((_, t), _)| *t == task) {
        add(
            "twice",
            format!(
                "{task} starts {} while run {run} goes on on {other}",
                at(fact)
            ),
        );
    }
    if seen.closed.contains(task) {
        add(
            "twice",
            format!("{task} starts after its recorded end {}", at(fact)),
        );
    }
    let waits = step.after.iter().any(|&before| {
        (0..work.steps[usize::from(before)].count).any(|index| {
            let task = TaskId {
                step: before,
                index: index as u16,
                ..task.clone()
            };
            !seen.done.contains(&task)
        })
    });
    if waits {
        add(
            "order",
            format!("{task} starts before its turn {}", at(fact)),
        );
    }
    let failures = seen.failed.iter().filter(|(t, _)| match step.gang {
        true => step_of(t) == step_of(task),
        false => **t == task,
    });
    let failures: BTreeSet<RunNumber> = failures
        .flat_map(|(t, runs)| runs.iter().filter(|r| counted.contains(&(*t, **r))))
        .copied()
        .collect();
    if failures.len() as u32 >= log.attempts {
        add(
            "budget",
            format!(
                "{task} starts after {} failures {}",
                failures.len(),
                at(fact)
            ),
        );
    }
    let mut used = step.need;
    let beside = seen.running.keys().filter(|(w, _)| **w == fact.worker);
    for (_, other) in beside.filter(|(_, t)| *t != task) {
        let need = log.jobs.get(&other.job);
        let need = need.and_then(|j| j.steps.get(usize::from(other.step)));
        used += need.map_or(Resources::default(), |s| s.need);
    }
    if !CAPACITY.fits(&used) {
        add(
            "limit",
            format!(
                "{task} brings {} over its capacity at {}",
                fact.worker, fact.at
            ),
        );
    }
}

/// Jobs of which every submission was refused.
fn refused(log: &Log) -> BTreeSet<&JobId> {
    let mut jobs: BTreeMap<&JobId, bool> = BTreeMap::new();
    for call in log.of(Asked::Submit) {
        let all = jobs.entry(&call.job).or_insert(true);
        *all &= matches!(call.told, Outcome::Refused(_) | Outcome::NotConnected);
    }
    jobs.into_iter().filter(|j| j.1).map(|j| j.0).collect()
}

/// When the cancellation of each job was acknowledged.
fn cancelled(log: &Log) -> BTreeMap<&JobId, Millis> {
    let mut jobs = BTreeMap::new();
    for call in log.of(Asked::Cancel).filter(|c| c.told == Outcome::Done) {
        jobs.entry(&call.job).or_insert(call.at);
    }
    jobs
}

fn answers(log: &Log, add: &mut Add<'_>) {
    let accepted = log.accepted();
    let tried: BTreeSet<&JobId> = log.of(Asked::Cancel).map(|c| &c.job).collect();
    let done: BTreeMap<&TaskId, Millis> = log
        .facts
        .iter()
        .filter_map(|f| match &f.kind {
            EventKind::Ended(task, _, EndKind::Done) => Some((task, f.at)),
            _ => None,
        })
        .rev()
        .collect();
    for call in &log.calls {
        let job = &call.job;
        match call.told {
            Outcome::Status(status) => add("answer", format!("{job}: status {status}")),
            Outcome::NoJob if call.asked == Asked::Look => {
                let known = accepted.get(job).is_some_and(|at| *at < call.sent);
                if known && !tried.contains(job) {
                    add(
                        "lost",
                        format!("{job} is accepted and not known at {}", call.at),
                    );
                }
            }
            Outcome::State(JobPhase::Completed) if !is_done(log, job, &done, call.at) => {
                add(
                    "mixed",
                    format!("{job} is shown as completed at {}", call.at),
                );
            }
            Outcome::State(JobPhase::Cancelled) if !tried.contains(job) => {
                add(
                    "lost",
                    format!("{job} is shown as cancelled, which nobody asked for"),
                );
            }
            Outcome::State(JobPhase::Failed) if !has_failed(log, job) => {
                add(
                    "lost",
                    format!("{job} is shown as failed without enough failures"),
                );
            }
            _ => {}
        }
        dropped(log, call, add);
    }
    for job in &log.unsettled {
        add("lost", format!("{job} was accepted and has not ended"));
    }
}

/// A request that was read before a planned stop gets its answer.
fn dropped(log: &Log, call: &Call, add: &mut Add<'_>) {
    if call.told != Outcome::Disconnected || log.is_disrupted(call.sent - CONTACT, call.at) {
        return;
    }
    let exits = log.exits.iter().filter(|e| e.daemon == call.daemon);
    let is_away = exits.into_iter().any(|exit| {
        let boots = log.boots.iter().filter(|b| b.0 == call.daemon);
        let next = boots.map(|b| b.1).find(|at| *at >= exit.at);
        let back = next.map_or(Millis::MAX, |at| at + START);
        call.sent + LAST > exit.at && call.sent < back
    });
    if !is_away {
        add(
            "dropped",
            format!(
                "{}: no answer of daemon {} at {}",
                call.job, call.daemon, call.at
            ),
        );
    }
}

fn is_done(log: &Log, job: &JobId, done: &BTreeMap<&TaskId, Millis>, by: Millis) -> bool {
    let Some(work) = log.jobs.get(job) else {
        return false;
    };
    work.steps.iter().enumerate().all(|(step, spec)| {
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

fn has_failed(log: &Log, job: &JobId) -> bool {
    let mut failures: BTreeMap<(u16, Option<u16>), BTreeSet<RunNumber>> = BTreeMap::new();
    for fact in &log.facts {
        let EventKind::Ended(task, run, EndKind::Failed) = &fact.kind else {
            continue;
        };
        let work = log.jobs.get(&task.job).filter(|_| task.job == *job);
        if let Some(spec) = work.and_then(|w| w.steps.get(usize::from(task.step))) {
            let index = (!spec.gang).then_some(task.index);
            failures.entry((task.step, index)).or_default().insert(*run);
        }
    }
    failures
        .values()
        .any(|runs| runs.len() as u32 >= log.attempts)
}

fn waves(log: &Log, add: &mut Add<'_>) {
    for wave in &log.waves {
        if wave.most > wave.cap {
            add(
                "limit",
                format!("{} machines of wave {} were down", wave.most, wave.number),
            );
        }
        if !wave.is_over {
            add("late", format!("wave {} is not over", wave.number));
        }
    }
}

fn processes(log: &Log, add: &mut Add<'_>) {
    for exit in &log.exits {
        if let Some(why) = &exit.wrong {
            add(
                "process",
                format!("daemon {} at {}: {why}", exit.daemon, exit.at),
            );
        }
    }
}
