//! Checks that no accepted job waits with nothing running beside free room.
//!
//! It counts only in calm times, and only against what is certain: room is what no run has used at any time of
//! the wait, and usage in doubt is taken for more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use batch::TaskId;
use batch::CALL_LIFE;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;
use platform_fakes::CAPACITY;

use crate::crashes;
use crate::history::History;
use crate::history::Operation;
use crate::quota;

/// Time for which a job may have nothing running.
pub const IDLE_TIME: Millis = Millis(3_000);

/// Time after any fault until a wait counts.
const CALM_TIME: Millis = Millis(4_000);

/// A job counts if there is room for this many times what it needs.
pub const ROOM_FACTOR: u64 = 2;

/// A wait of a job: from when until when it had nothing running, and the step whose turn had come.
struct Wait<'a> {
    start: Millis,
    end: Millis,
    step: &'a StepSpec,
}

/// Reports each accepted job that nobody wanted to cancel and that had nothing running for too long.
pub fn check(history: &History, report: &mut dyn FnMut(&'static str, String)) {
    let calls = history.calls_of(Operation::Cancel);
    let cancelled: BTreeSet<&JobId> = calls.map(|c| &c.job).collect();
    let known_until = known_until(history);
    let mut events: BTreeMap<&JobId, Vec<&Event>> = BTreeMap::new();
    for event in &history.events {
        match &event.kind {
            EventKind::Started { task, .. } | EventKind::Ended(task, ..) => {
                events.entry(&task.job).or_default().push(event);
            }
            _ => {}
        }
    }
    let crashes = crashes_by_worker(history);
    let calm = calm_times(history);
    for (job, accepted) in history.accepted() {
        let (Some(submission), Some(until)) = (history.jobs.get(&job), known_until.get(&job))
        else {
            continue;
        };
        if cancelled.contains(&job) || crashes::crashes_workers(history, &job) {
            continue;
        }
        let events = events.get(&job).map_or(&[][..], |e| e);
        let longest = longest_wait(history, &job);
        for wait in waits(history, submission, events, &crashes, accepted, *until) {
            let windows = calm.iter().map(|(from, to)| Wait {
                start: wait.start.max(*from),
                end: wait.end.min(*to),
                ..wait
            });
            for window in windows.filter(|w| w.end.since(w.start) >= longest) {
                if has_room(history, &window) {
                    let (start, end) = (window.start, window.end);
                    let text =
                        format!("{job} had nothing running beside free room from {start} to {end}");
                    report("lost", text);
                }
            }
        }
    }
}

/// Time for which a job may have nothing running. A start without an answer may be carried out for some time by a
/// later incarnation of its worker; a task that ran elsewhere meanwhile would run twice.
fn longest_wait(history: &History, job: &JobId) -> Millis {
    match history.exits.iter().any(|e| e.delayed.contains(job)) {
        true => IDLE_TIME + CALL_LIFE,
        false => IDLE_TIME,
    }
}

/// Until when each job is known not to have ended: its first final state, or the last answer about it.
fn known_until(history: &History) -> BTreeMap<&JobId, Millis> {
    let mut ended: BTreeSet<&JobId> = BTreeSet::new();
    let mut until = BTreeMap::new();
    for call in history.calls_of(Operation::Query) {
        if ended.contains(&call.job) {
            continue;
        }
        if let Outcome::State(phase) = call.outcome {
            until.insert(&call.job, call.sent);
            if phase.is_final() {
                ended.insert(&call.job);
            }
        }
    }
    until
}

fn crashes_by_worker(history: &History) -> BTreeMap<&WorkerId, Vec<Millis>> {
    let mut crashes: BTreeMap<&WorkerId, Vec<Millis>> = BTreeMap::new();
    let crashed = |e: &&Event| matches!(e.kind, EventKind::Crashed);
    for event in history.events.iter().filter(crashed) {
        crashes.entry(&event.worker).or_default().push(event.at);
    }
    crashes
}

/// Times without a fault, also a planned one, that begin some time after the last one.
pub fn calm_times(history: &History) -> Vec<(Millis, Millis)> {
    let mut faults: Vec<(Millis, Millis)> =
        history.faults.iter().map(|f| (f.start, f.end)).collect();
    faults.sort();
    let mut calm = Vec::new();
    let mut from = Millis::ZERO;
    for (start, end) in faults {
        calm.push((from, start));
        from = from.max(end + CALM_TIME);
    }
    calm.push((from, Millis(u64::MAX)));
    calm
}

/// Times in which a job had nothing running while a step's turn had come.
fn waits<'a>(
    history: &History,
    submission: &'a Submission,
    events: &[&Event],
    crashes: &BTreeMap<&WorkerId, Vec<Millis>>,
    accepted: Millis,
    until: Millis,
) -> Vec<Wait<'a>> {
    let mut running: BTreeMap<&TaskId, &Event> = BTreeMap::new();
    let mut done: BTreeSet<(u16, u16)> = BTreeSet::new();
    let mut failed: BTreeMap<(u16, u16), u32> = BTreeMap::new();
    let mut waits = Vec::new();
    let mut idle_since = accepted;
    // The end of the last run on a worker that has crashed since is the crash.
    let lost_at = |run: &Event, by: Millis| {
        let crashes = crashes.get(&run.worker).map_or(&[][..], |c| c);
        crashes
            .iter()
            .find(|at| **at >= run.at && **at <= by)
            .copied()
    };
    for at in events.iter().map(|e| e.at).chain([until]).enumerate() {
        let (num, at) = at;
        let lost: Vec<(&TaskId, Millis)> = running
            .iter()
            .filter_map(|(task, run)| Some((*task, lost_at(run, at)?)))
            .collect();
        for (task, crash) in lost {
            running.remove(task);
            idle_since = idle_since.max(crash);
        }
        if running.is_empty() && at > idle_since {
            let step = due(submission, &done, &failed, history.max_attempts);
            waits.extend(step.map(|step| Wait {
                start: idle_since,
                end: at,
                step,
            }));
        }
        let Some(event) = events.get(num) else {
            continue;
        };
        match &event.kind {
            EventKind::Started { task, .. } => {
                running.insert(task, event);
            }
            EventKind::Ended(task, _, kind) => {
                running.remove(task);
                idle_since = idle_since.max(at);
                match kind {
                    EndKind::Done => drop(done.insert((task.step, task.index))),
                    EndKind::Failed => *failed.entry((task.step, task.index)).or_default() += 1,
                    _ => {}
                }
            }
            _ => {}
        }
    }
    waits
}

/// A step with tasks that are left and whose turn has come; none once a task has used up its attempts.
fn due<'a>(
    submission: &'a Submission,
    done: &BTreeSet<(u16, u16)>,
    failed: &BTreeMap<(u16, u16), u32>,
    max_attempts: u32,
) -> Option<&'a StepSpec> {
    if failed.values().any(|num| *num >= max_attempts) {
        return None;
    }
    let is_done = |step: usize| {
        let mut tasks = 0..submission.steps[step].count;
        tasks.all(|index| done.contains(&(step as u16, index as u16)))
    };
    let mut steps = submission.steps.iter().enumerate();
    let due = steps.find(|(num, step)| {
        !is_done(*num)
            && step
                .after
                .iter()
                .all(|earlier| is_done(usize::from(*earlier)))
    });
    due.map(|(_, step)| step)
}

/// Whether under half of the workers' capacity was in use in this time, and there was room for what the job
/// needs twice over, on workers that the adviser approves as well.
fn has_room(history: &History, wait: &Wait<'_>) -> bool {
    let unlimited = |at| quota::is_unlimited(history, at);
    if !unlimited(wait.start) || !unlimited(wait.end) {
        return false;
    }
    let mut used: BTreeMap<&WorkerId, Resources> = BTreeMap::new();
    let mut runs: BTreeMap<(&WorkerId, &TaskId), Resources> = BTreeMap::new();
    let mut capacities: BTreeMap<&WorkerId, Resources> = BTreeMap::new();
    for event in history.events.iter().take_while(|e| e.at < wait.end) {
        let worker = &event.worker;
        capacities.entry(worker).or_insert(CAPACITY);
        match &event.kind {
            EventKind::Started { task, .. } => {
                let need = history.need_of(task);
                runs.insert((worker, task), need);
                *used.entry(worker).or_default() += need;
            }
            // What ends in the time itself is counted as in use.
            EventKind::Ended(task, ..) if event.at <= wait.start => {
                if let (Some(need), Some(used)) =
                    (runs.remove(&(worker, task)), used.get_mut(worker))
                {
                    *used -= need;
                }
            }
            EventKind::Crashed if event.at <= wait.start => {
                runs.retain(|(w, _), _| *w != worker);
                used.remove(worker);
            }
            EventKind::CapacityShown(capacity) => drop(capacities.insert(worker, *capacity)),
            _ => {}
        }
    }
    let need = wait.step.need;
    let (mut all, mut in_use, mut room) = (Resources::default(), Resources::default(), 0);
    for (worker, capacity) in &capacities {
        let used = used.get(worker).copied().unwrap_or_default();
        all += *capacity;
        in_use += used;
        if platform_fakes::is_approved(worker.as_str()) {
            room += fitting(capacity, &used, &need);
        }
    }
    let wanted = match wait.step.gang {
        true => u64::from(wait.step.count),
        false => 1,
    };
    let half = |all: u64, used: u64| used * 2 < all;
    half(all.cpu, in_use.cpu)
        && half(all.memory, in_use.memory)
        && half(all.accels, in_use.accels)
        && room >= wanted * ROOM_FACTOR
}

/// Number of tasks with this need that fit into what is left of a capacity.
pub fn fitting(capacity: &Resources, used: &Resources, need: &Resources) -> u64 {
    let fits = |capacity: u64, used: u64, need: u64| {
        let left = capacity.saturating_sub(used);
        left.checked_div(need).unwrap_or(u64::MAX)
    };
    fits(capacity.cpu, used.cpu, need.cpu)
        .min(fits(capacity.memory, used.memory, need.memory))
        .min(fits(capacity.accels, used.accels, need.accels))
}
