//! Checks of tasks that crash workers, and of workers whose capacity changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::Resources;
use batch::RunNumber;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::CAPACITY;
use platform_fakes::DOWN_TIME;

use crate::history::FaultWindow;
use crate::history::History;
use crate::site::DEFAULT_HEARTBEAT;

/// Time in which a daemon may be out of touch. A shrunken capacity binds after this and a renewal of the
/// worker's registration.
const OUT_OF_TOUCH: Millis = Millis(3_000);

/// Workers that may crash under a task until its later starts count.
const CRASHES: usize = 3;

/// Number of those later starts that is too many.
const STARTS_TOO_MANY: usize = 3;

/// Workers that must have crashed under a task before its job may be given up.
const CRASHES_TO_FAIL: usize = 2;

/// Crashes by tasks, as disruptions.
pub fn windows(events: &[Event]) -> Vec<FaultWindow> {
    let crashes = events.iter().filter_map(|event| match &event.kind {
        EventKind::CrashedUnder(task) => Some(FaultWindow {
            start: event.at,
            end: event.at + DOWN_TIME,
            planned: false,
            description: format!("{task} crashes {}", event.worker),
        }),
        _ => None,
    });
    crashes.collect()
}

/// Checks that no task goes on crashing workers.
pub fn check(history: &History, report: &mut dyn FnMut(&'static str, String)) {
    let mut crashes: BTreeMap<&TaskId, usize> = BTreeMap::new();
    let mut later: BTreeMap<&TaskId, usize> = BTreeMap::new();
    for event in &history.events {
        match &event.kind {
            EventKind::CrashedUnder(task) => *crashes.entry(task).or_default() += 1,
            EventKind::Started { task, .. } if crashes.get(task) >= Some(&CRASHES) => {
                *later.entry(task).or_default() += 1;
            }
            _ => {}
        }
    }
    for (task, starts) in later.iter().filter(|(_, num)| **num >= STARTS_TOO_MANY) {
        report(
            "budget",
            format!(
                "{task} started {starts} times more after {CRASHES} workers had crashed under it"
            ),
        );
    }
}

/// Whether a task or gang of a job has failed as often as it has attempts.
fn attempts_exhausted(history: &History, job: &JobId) -> bool {
    let mut failures: BTreeMap<(u16, Option<u16>), BTreeSet<RunNumber>> = BTreeMap::new();
    for event in &history.events {
        let EventKind::Ended(task, run, EndKind::Failed) = &event.kind else {
            continue;
        };
        let submission = history.jobs.get(&task.job).filter(|_| task.job == *job);
        if let Some(spec) = submission.and_then(|w| w.steps.get(usize::from(task.step))) {
            let index = (!spec.gang).then_some(task.index);
            failures.entry((task.step, index)).or_default().insert(*run);
        }
    }
    failures
        .values()
        .any(|runs| runs.len() as u32 >= history.attempts(job))
}

/// Whether a task of the job has crashed workers. Each crash takes its time, and nobody misses the job.
pub fn crashes_workers(history: &History, job: &JobId) -> bool {
    let mut events = history.events.iter();
    events.any(|e| matches!(&e.kind, EventKind::CrashedUnder(task) if task.job == *job))
}

/// Whether a job may be shown as failed: a task has used up its attempts, or workers crashed under one.
pub fn may_be_failed(history: &History, job: &JobId) -> bool {
    attempts_exhausted(history, job) || may_be_given_up(history, job)
}

/// Whether so many workers have crashed under a task of the job that it may be given up.
fn may_be_given_up(history: &History, job: &JobId) -> bool {
    let mut running: BTreeMap<(&WorkerId, &TaskId), ()> = BTreeMap::new();
    let mut crashes: BTreeMap<&TaskId, usize> = BTreeMap::new();
    for event in &history.events {
        match &event.kind {
            EventKind::Started { task, .. } if task.job == *job => {
                running.insert((&event.worker, task), ());
            }
            EventKind::Ended(task, ..) if task.job == *job => {
                running.remove(&(&event.worker, task));
            }
            EventKind::Crashed => running.retain(|(worker, task), ()| {
                let crashed = *worker == &event.worker;
                if crashed {
                    *crashes.entry(task).or_default() += 1;
                }
                !crashed
            }),
            _ => {}
        }
    }
    crashes.values().any(|num| *num >= CRASHES_TO_FAIL)
}

/// What a worker may be taken to offer when this event happens: in each resource the most that its
/// registration has shown lately.
pub fn capacity(history: &History, event: &Event) -> Resources {
    let since = event.at - OUT_OF_TOUCH - history.heartbeat.max(DEFAULT_HEARTBEAT);
    let mut most = CAPACITY;
    for shown in history.events.iter().filter(|e| e.worker == event.worker) {
        let EventKind::CapacityShown(capacity) = shown.kind else {
            continue;
        };
        if shown.at > event.at {
            break;
        }
        most = match shown.at <= since {
            true => capacity,
            false => Resources {
                cpu: most.cpu.max(capacity.cpu),
                memory: most.memory.max(capacity.memory),
                accels: most.accels.max(capacity.accels),
            },
        };
    }
    most
}
