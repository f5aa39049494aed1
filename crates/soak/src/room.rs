//! Checks that no accepted job of a traffic has nothing running beside free room.
//!
//! The workers' state is looked at at short intervals. Only calm times count, as after the traffic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::EndKind;
use batch::Resources;
use batch::RunNumber;
use batch::StepSpec;
use batch::TaskId;
use platform_fakes::Event;
use platform_fakes::EventKind;
use platform_fakes::Outcome;

use crate::crashes;
use crate::history::History;
use crate::history::Operation;
use crate::idle;
use crate::idle::IDLE_TIME;
use crate::idle::ROOM_FACTOR;

/// Time between two looks.
const LOOK_INTERVAL: Millis = Millis(50);

/// Percent of the capacity that is half of it.
const HALF: u64 = 50;

/// How much of the pool's capacity is in use while a job waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Usage {
    /// Under half of each resource.
    UnderHalf,
    /// Under half of the processor time.
    UnderHalfCpu,
    /// Any part.
    Any,
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Usage::UnderHalf => "under half of each resource in use",
            Usage::UnderHalfCpu => "under half of the processor time in use",
            Usage::Any => "any part in use",
        })
    }
}

const USAGES: [Usage; 3] = [Usage::UnderHalf, Usage::UnderHalfCpu, Usage::Any];

/// A wait of a job that had nothing running beside free room.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The job.
    pub job: JobId,
    /// When it had nothing running.
    pub start: Millis,
    /// End of that time.
    pub end: Millis,
    /// What was in use all the while.
    pub usage: Usage,
    /// A task of the step whose turn had come.
    pub step: u16,
    /// Tasks of the step, and the fewest of them that fitted at a time.
    pub tasks: u32,
    least: Room,
}

/// What there is for a waiting job.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// Tasks that fit.
    fitting: u64,
    /// Processor time, memory and accelerators in use, in percent of all.
    used: [u64; 3],
}

impl Room {
    /// The less of both in each regard.
    fn least(self, other: Room) -> Room {
        let used = [0, 1, 2].map(|num| self.used[num].max(other.used[num]));
        Room {
            fitting: self.fitting.min(other.fitting),
            used,
        }
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Wait {
            job,
            start,
            end,
            step,
            tasks,
            least,
            ..
        } = self;
        let (fitting, [cpu, memory, accels]) = (least.fitting, least.used);
        write!(
            f,
            "{job} had nothing running beside free room from {start} to {end}: step {step} of {tasks} tasks, \
             {fitting} fitted, at most {cpu}% of cpu, {memory}% of memory and {accels}% of accelerators in use"
        )
    }
}

/// Reports waits while under half of each resource was in use, and jobs that no daemon could be asked for.
pub fn check(history: &History, capacity: Resources, report: &mut dyn FnMut(&'static str, String)) {
    for wait in waits(history, capacity) {
        if wait.usage == Usage::UnderHalf {
            report("lost", wait.to_string());
        }
    }
    for job in &history.unanswered {
        report(
            "lost",
            format!("{job} was accepted and no answer came about it after the traffic"),
        );
    }
}

/// All waits for [`IDLE_TIME`] or longer. Those with less in use are not listed again as ones with more.
pub fn waits(history: &History, capacity: Resources) -> Vec<Wait> {
    let mut replay = Replay::new(history, capacity);
    let calm = idle::calm_times(history);
    let last = history
        .events
        .iter()
        .map(|e| e.at)
        .max()
        .unwrap_or_default();
    let until = history
        .calls
        .iter()
        .map(|c| c.at)
        .max()
        .unwrap_or_default()
        .max(last);
    let mut events = history.events.iter().peekable();
    let mut now = Millis::ZERO;
    while now <= until {
        while let Some(event) = events.next_if(|e| e.at <= now) {
            replay.apply(event);
        }
        let is_calm = calm.iter().any(|(from, to)| *from <= now && now < *to);
        replay.look(now, is_calm);
        now += LOOK_INTERVAL;
    }
    replay.look(until, false);
    replay.found.retain(|w| w.end.since(w.start) >= IDLE_TIME);
    replay
        .found
        .sort_by_key(|w| (w.job.clone(), w.start, w.usage));
    let mut seen: Vec<Wait> = Vec::new();
    for wait in replay.found {
        let covers = |w: &Wait| w.job == wait.job && w.start <= wait.start && w.end >= wait.end;
        if !seen.iter().any(covers) {
            seen.push(wait);
        }
    }
    seen
}

/// A job that may wait.
struct Job<'a> {
    steps: &'a [StepSpec],
    attempts: u32,
    /// When it was accepted, and until when it is known not to have ended.
    accepted: Millis,
    until: Millis,
    running: BTreeSet<(&'a WorkerId, &'a TaskId)>,
    done: Vec<BTreeSet<u16>>,
    /// Failed runs of each task, or of a gang.
    failed: BTreeMap<(u16, Option<u16>), BTreeSet<RunNumber>>,
    /// Since when it waits, by what is in use, and the least room since.
    waiting: [Option<(Millis, Room)>; USAGES.len()],
}

impl Job<'_> {
    /// The first step with tasks that are left and whose turn has come; none once a task has used up its
    /// attempts.
    fn due(&self) -> Option<usize> {
        let exhausted = |runs: &BTreeSet<RunNumber>| runs.len() as u32 >= self.attempts;
        if self.failed.values().any(exhausted) {
            return None;
        }
        let is_done = |step: usize| self.done[step].len() >= self.steps[step].count as usize;
        (0..self.steps.len()).find(|step| {
            let mut after = self.steps[*step].after.iter();
            !is_done(*step) && after.all(|earlier| is_done(usize::from(*earlier)))
        })
    }

    fn end(&mut self, task: &TaskId, run: RunNumber, kind: EndKind) {
        let step = usize::from(task.step);
        let gang = self.steps.get(step).is_some_and(|s| s.gang);
        match kind {
            EndKind::Done => {
                if let Some(done) = self.done.get_mut(step) {
                    done.insert(task.index);
                }
            }
            EndKind::Failed => {
                let index = (!gang).then_some(task.index);
                self.failed
                    .entry((task.step, index))
                    .or_default()
                    .insert(run);
            }
            _ => {}
        }
    }
}

/// The jobs and the workers at a time.
struct Replay<'a> {
    history: &'a History,
    jobs: BTreeMap<JobId, Job<'a>>,
    workers: BTreeMap<&'a WorkerId, Resources>,
    used: BTreeMap<&'a WorkerId, Resources>,
    runs: BTreeMap<(&'a WorkerId, &'a TaskId), Resources>,
    found: Vec<Wait>,
}

impl<'a> Replay<'a> {
    fn new(history: &'a History, capacity: Resources) -> Replay<'a> {
        let cancelled: BTreeSet<&JobId> = history
            .calls_of(Operation::Cancel)
            .map(|c| &c.job)
            .collect();
        let mut until: BTreeMap<&JobId, Millis> = BTreeMap::new();
        for call in history.calls_of(Operation::Query) {
            let alive = matches!(call.outcome, Outcome::State(phase) if !phase.is_final());
            let known = until.entry(&call.job).or_default();
            *known = if alive {
                (*known).max(call.sent)
            } else {
                *known
            };
        }
        let accepted = history.accepted().into_iter();
        let counted = accepted
            .filter(|(id, _)| !cancelled.contains(id) && !crashes::crashes_workers(history, id));
        let jobs = counted.filter_map(|(id, accepted)| {
            let steps = &history.jobs.get(&id)?.steps;
            let job = Job {
                steps,
                attempts: history.attempts(&id),
                accepted,
                until: until.get(&id).copied()?,
                running: BTreeSet::new(),
                done: vec![BTreeSet::new(); steps.len()],
                failed: BTreeMap::new(),
                waiting: [None; USAGES.len()],
            };
            Some((id, job))
        });
        Replay {
            jobs: jobs.collect(),
            workers: history
                .events
                .iter()
                .map(|e| (&e.worker, capacity))
                .collect(),
            used: BTreeMap::new(),
            runs: BTreeMap::new(),
            history,
            found: Vec::new(),
        }
    }

    fn apply(&mut self, event: &'a Event) {
        let worker = &event.worker;
        match &event.kind {
            EventKind::Started { task, .. } => {
                let need = self.history.need_of(task);
                if self.runs.insert((worker, task), need).is_none() {
                    *self.used.entry(worker).or_default() += need;
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.running.insert((worker, task));
                }
            }
            EventKind::Ended(task, run, kind) => {
                self.free(worker, task);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.end(task, *run, *kind);
                }
            }
            EventKind::Crashed => {
                let runs = self.runs.keys().filter(|(w, _)| *w == worker);
                for (worker, task) in runs.copied().collect::<Vec<_>>() {
                    self.free(worker, task);
                }
            }
            EventKind::CapacityShown(capacity) => drop(self.workers.insert(worker, *capacity)),
            _ => {}
        }
    }

    fn free(&mut self, worker: &'a WorkerId, task: &'a TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running.remove(&(worker, task));
        }
        let need = self.runs.remove(&(worker, task));
        if let (Some(need), Some(used)) = (need, self.used.get_mut(worker)) {
            *used -= need;
        }
    }

    /// Processor time, memory and accelerators in use, in percent of all.
    fn used(&self) -> [u64; 3] {
        let (mut all, mut used) = (Resources::default(), Resources::default());
        self.workers.values().for_each(|c| all += *c);
        self.used.values().for_each(|u| used += *u);
        let percent = |all: u64, used: u64| used * 100 / all.max(1);
        [
            percent(all.cpu, used.cpu),
            percent(all.memory, used.memory),
            percent(all.accels, used.accels),
        ]
    }

    /// Number of tasks of a step that fit.
    fn fitting(&self, step: &StepSpec) -> u64 {
        let fitting = self.workers.iter().map(|(worker, capacity)| {
            let used = self.used.get(worker).copied().unwrap_or_default();
            let fits = idle::fitting(capacity, &used, &step.need);
            fits.min(step.per_worker.map_or(u64::MAX, u64::from))
        });
        fitting.sum()
    }

    fn look(&mut self, now: Millis, is_calm: bool) {
        let used = self.used();
        let usages = USAGES.map(|usage| match usage {
            Usage::UnderHalf => used.iter().all(|part| *part < HALF),
            Usage::UnderHalfCpu => used[0] < HALF,
            Usage::Any => true,
        });
        let ids = self.jobs.keys().cloned().collect::<Vec<JobId>>();
        for id in ids {
            let job = &self.jobs[&id];
            let alive = job.accepted <= now && now <= job.until;
            if (!alive || !is_calm) && job.waiting.iter().all(Option::is_none) {
                continue;
            }
            let due = (alive && is_calm && job.running.is_empty()).then(|| job.due());
            let room = due.flatten().map(|step| {
                let spec = &job.steps[step];
                let wanted = if spec.gang { u64::from(spec.count) } else { 1 } * ROOM_FACTOR;
                (step, self.fitting(spec), wanted)
            });
            let beside = room.filter(|(_, fitting, wanted)| fitting >= wanted);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for (num, usage) in USAGES.into_iter().enumerate() {
                match (beside, &mut job.waiting[num]) {
                    (Some((_, fitting, _)), waiting) if usages[num] => {
                        let room = Room { fitting, used };
                        let (_, least) = waiting.get_or_insert((now, room));
                        *least = least.least(room);
                    }
                    (_, waiting) => {
                        let Some((start, least)) = waiting.take() else {
                            continue;
                        };
                        let step = job.due().or(room.map(|r| r.0)).unwrap_or_default();
                        self.found.push(Wait {
                            job: id.clone(),
                            start,
                            end: now,
                            usage,
                            step: step as u16,
                            tasks: job.steps[step].count,
                            least,
                        });
                    }
                }
            }
        }
    }
}
