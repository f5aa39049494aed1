//! Stored records of a job, encoded as CBOR.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::WorkerId;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::adrift::AdriftStarts;
use crate::bounds::CALL_LIFE;
use crate::catalog::Queue;
use crate::crash::Crash;
use crate::job::EndedAdrift;
use crate::job::Job;
use crate::job::JobPhase;
use crate::job::Occurrence;
use crate::job::OpenRun;
use crate::job::RunPhase;
use crate::job::StepState;
use crate::job::TaskState;
use crate::spec::RunNumber;
use crate::spec::Submission;
use crate::spec::TaskId;
use crate::spec::MAX_ESTIMATE;

quick_error! {
    /// Why a record could not be read or written.
    #[derive(Debug)]
    pub enum RecordError {
        /// The bytes are not a record of this format.
        Malformed(text: String) {
            display("malformed record: {text}")
        }
        /// Encoding failed.
        Encode(text: String) {
            display("cannot encode the record: {text}")
        }
        /// The record is longer than the store takes, with no checkpoint in it.
        TooLong(size: usize, most: usize) {
            display("the record takes {size} bytes, and the store takes {most}: submit smaller jobs")
        }
    }
}

/// Longest target time of a job, as long as the longest estimate of all its steps.
const MAX_OBJECTIVE: Millis = Millis(MAX_ESTIMATE.0 << 6);

/// Largest number of a priority.
const MAX_PRIORITY: u32 = 1 << 16;

/// An accepted job, with the settings of its queue at that time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submitted {
    /// Name of the queue.
    pub queue: String,
    /// The pool that runs its tasks.
    pub pool: ServiceId,
    /// The organisation of the caller, unless the queue is public.
    pub org: Option<OrgId>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Target time from acceptance to completion, set by the queue.
    pub objective: Millis,
    /// Unix time at which it was accepted.
    pub at: Millis,
    /// The submission.
    pub work: Submission,
}

impl Submitted {
    /// A job accepted on `queue` at the Unix time `at`.
    pub fn new(queue: &Queue, org: Option<OrgId>, at: Millis, mut work: Submission) -> Submitted {
        work.bound();
        let stretched = work.critical_path().0 as f64 * queue.stretch;
        Submitted {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            org,
            priority: queue.priority.min(MAX_PRIORITY),
            attempts: queue.attempts,
            objective: MAX_OBJECTIVE.min(Millis(stretched as u64) + queue.latency),
            at,
            work,
        }
    }
}

impl Submitted {
    /// Unix time from which the waiting time of an occurrence is counted.
    pub fn due(&self, occurrence: u32) -> Millis {
        let at = self.work.schedule.map(|s| s.due(occurrence));
        at.map_or(self.at, |at| at.max(self.at))
    }
}

/// The record stored under a job's id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobRecord {
    /// The job was accepted. Boxed, because the value is large.
    Accepted(Box<Submitted>),
    /// The job was refused at this Unix time; a later submission may replace the record.
    Refused(Millis),
}

impl JobRecord {
    /// Encodes the record as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        encode(self)
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<JobRecord, RecordError> {
        let mut record = decode(bytes)?;
        if let JobRecord::Accepted(submitted) = &mut record {
            let ordered = submitted.work.check_order();
            ordered.map_err(|e| RecordError::Malformed(e.to_string()))?;
            submitted.work.bound();
            submitted.objective = submitted.objective.min(MAX_OBJECTIVE);
        }
        Ok(record)
    }
}

/// The recorded progress of a job's tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// State of the job that callers see.
    pub phase: JobPhase,
    next: u32,
    open: BTreeMap<u32, Vec<StepRecord>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashRecord>,
    /// Tasks with an open run whose start was answered at each attempt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    answered: Vec<TaskKey>,
    /// Tasks with an open run that is over, and that an earlier request may still start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    adrift: Vec<TaskKey>,
    /// Tasks that do not start again, with an ended run that an earlier request may still start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    ended: Vec<(TaskKey, RunNumber)>,
}

/// Occurrence, step and index of a task.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct TaskKey(u32, u16, u16);

impl TaskKey {
    fn of_job(self, job: &Job) -> TaskId {
        TaskId {
            job: job.id.clone(),
            occurrence: self.0,
            step: self.1,
            index: self.2,
        }
    }
}

impl From<&TaskId> for TaskKey {
    fn from(task: &TaskId) -> TaskKey {
        TaskKey(task.occurrence, task.step, task.index)
    }
}

/// An encoded record, and how many checkpoints were left out of it for its length.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedProgress {
    /// The bytes.
    pub value: Vec<u8>,
    /// Number of checkpoints that were left out.
    pub left_out: usize,
}

/// Failed runs of the gang, and the tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct StepRecord(Vec<RunNumber>, Vec<TaskRecord>);

/// Latest run, failed runs, whether done, saved progress, and the open run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct TaskRecord(
    RunNumber,
    Vec<RunNumber>,
    bool,
    String,
    Option<OpenRunRecord>,
);

/// A loss of a worker under a run of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct CrashRecord {
    occurrence: u32,
    step: u16,
    index: u16,
    run: RunNumber,
    worker: WorkerId,
    born: u64,
    address: SocketAddr,
    age: Option<Millis>,
    sole: bool,
    #[serde(default)]
    unsound: bool,
    in_group: bool,
    proven: bool,
}

/// Run number, worker, and the worker's incarnation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct OpenRunRecord(RunNumber, WorkerId, u64);

impl Progress {
    /// Encodes the record as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        encode(self)
    }

    /// Encodes the record in at most `most` bytes. If it is longer, checkpoints are left out: first of
    /// tasks that run, as their workers report them again, and the longest first. `gangs` tells which
    /// steps are gangs.
    pub fn encode_within(
        &self,
        most: usize,
        gangs: impl FnOnce() -> Vec<bool>,
    ) -> Result<EncodedProgress, RecordError> {
        let value = encode(self)?;
        if value.len() <= most {
            return Ok(EncodedProgress { value, left_out: 0 });
        }
        let mut shorter = self.clone();
        let left_out = shorter.leave_out(value.len() - most, &gangs());
        let value = encode(&shorter)?;
        match value.len() <= most {
            true => Ok(EncodedProgress { value, left_out }),
            false => Err(RecordError::TooLong(value.len(), most)),
        }
    }

    /// Leaves checkpoints of at least `excess` bytes out. Members of a gang start from the same one, so
    /// theirs are left out together. Returns how many were.
    fn leave_out(&mut self, excess: usize, gangs: &[bool]) -> usize {
        let mut groups: Vec<Vec<&mut TaskRecord>> = Vec::new();
        for steps in self.open.values_mut() {
            for (num, step) in steps.iter_mut().enumerate() {
                let tasks = step.1.iter_mut().filter(|task| !task.3.is_empty());
                match gangs.get(num).copied().unwrap_or_default() {
                    true => groups.push(tasks.collect()),
                    false => groups.extend(tasks.map(|task| vec![task])),
                }
            }
        }
        let size = |group: &[&mut TaskRecord]| group.iter().map(|task| task.3.len()).sum::<usize>();
        let runs = |group: &[&mut TaskRecord]| group.iter().any(|task| task.4.is_some());
        groups.sort_by_key(|group| (!runs(group), Reverse(size(group))));
        let (mut freed, mut left_out) = (0, 0);
        for group in groups {
            if freed >= excess {
                break;
            }
            freed += size(&group);
            left_out += group.len();
            group.into_iter().for_each(|task| task.3.clear());
        }
        left_out
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Progress, RecordError> {
        decode(bytes)
    }

    /// Restores the recorded progress into a newly created job. Returns false if the two do not
    /// have the same steps and tasks.
    pub fn restore(self, job: &mut Job, now: Millis) -> bool {
        let task_counts: Vec<usize> = job
            .submitted
            .work
            .steps
            .iter()
            .map(|s| s.count as usize)
            .collect();
        let matches = |steps: &Vec<StepRecord>| {
            steps.len() == task_counts.len()
                && steps.iter().zip(&task_counts).all(|(s, w)| s.1.len() == *w)
        };
        if !self.open.values().all(matches) {
            return false;
        }
        job.phase = self.phase;
        job.next = self.next;
        let states = self.open.into_iter().map(|(num, steps)| {
            let steps = steps.into_iter().map(|s| s.restore(now)).collect();
            (num, Occurrence { steps })
        });
        job.open = states.collect();
        for key in self.answered {
            let task = key.of_job(job);
            if let Some(open) = job.task_mut(&task).and_then(|t| t.open.as_mut()) {
                open.adrift = AdriftStarts::default();
            }
        }
        for key in self.adrift {
            let task = key.of_job(job);
            if let Some(open) = job.task_mut(&task).and_then(|t| t.open.as_mut()) {
                open.phase = RunPhase::Adrift;
            }
        }
        let ended = self.ended.into_iter().map(|(key, run)| EndedAdrift {
            task: key.of_job(job),
            run,
            until: now + CALL_LIFE,
        });
        job.adrift = ended.collect();
        for record in self.crashes {
            record.restore(job);
        }
        true
    }
}

impl From<&Job> for Progress {
    fn from(job: &Job) -> Progress {
        let steps = |o: &Occurrence| o.steps.iter().map(StepRecord::from).collect();
        let done = job.phase.is_final();
        let open = job
            .open
            .iter()
            .filter(|(_, o)| !done || o.steps.iter().any(StepState::is_open));
        Progress {
            phase: job.phase,
            next: job.next,
            open: open.map(|(&num, o)| (num, steps(o))).collect(),
            crashes: match done {
                true => Vec::new(),
                false => crash_records(job),
            },
            answered: tasks_with(job, |open| {
                open.phase != RunPhase::Planned && open.adrift.until().is_none()
            }),
            adrift: tasks_with(job, |open| open.phase == RunPhase::Adrift),
            ended: job
                .adrift
                .iter()
                .map(|a| (TaskKey::from(&a.task), a.run))
                .collect(),
        }
    }
}

/// The tasks whose open run fulfils a condition.
fn tasks_with(job: &Job, holds: impl Fn(&OpenRun) -> bool) -> Vec<TaskKey> {
    let open = job.open_tasks().into_iter().filter(|task| {
        let open = job.task(task).and_then(|t| t.open.as_deref());
        open.is_some_and(&holds)
    });
    open.map(|task| TaskKey::from(&task)).collect()
}

fn crash_records(job: &Job) -> Vec<CrashRecord> {
    let mut records = Vec::new();
    for (&occurrence, state) in &job.open {
        for (step, steps) in state.steps.iter().enumerate() {
            for (index, task) in steps.tasks.iter().enumerate() {
                records.extend(task.crashes.iter().map(|crash| CrashRecord {
                    occurrence,
                    step: step as u16,
                    index: index as u16,
                    run: crash.run,
                    worker: crash.worker.clone(),
                    born: crash.born,
                    address: crash.address,
                    age: crash.age,
                    sole: crash.sole,
                    unsound: crash.unsound,
                    in_group: crash.in_group,
                    proven: crash.proven,
                }));
            }
        }
    }
    records
}

impl CrashRecord {
    fn restore(self, job: &mut Job) {
        let task = TaskId {
            job: job.id.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        };
        let crash = Crash {
            run: self.run,
            worker: self.worker,
            born: self.born,
            address: self.address,
            age: self.age,
            sole: self.sole,
            unsound: self.unsound,
            in_group: self.in_group,
            proven: self.proven,
        };
        if let Some(task) = job.task_mut(&task) {
            task.crashes.push(crash);
        }
    }
}

impl From<&StepState> for StepRecord {
    fn from(step: &StepState) -> StepRecord {
        let tasks = step.tasks.iter().map(TaskRecord::from).collect();
        StepRecord(step.failed.clone(), tasks)
    }
}

impl StepRecord {
    fn restore(self, now: Millis) -> StepState {
        StepState {
            tasks: self.1.into_iter().map(|t| t.restore(now)).collect(),
            failed: self.0,
            ..StepState::default()
        }
    }
}

impl From<&TaskState> for TaskRecord {
    fn from(task: &TaskState) -> TaskRecord {
        let open = task.open.as_ref();
        let open = open.map(|o| OpenRunRecord(o.run, o.worker.clone(), o.born));
        // No run continues from the checkpoint of a task that is done.
        let saved = match task.done {
            true => String::new(),
            false => task.saved.clone(),
        };
        TaskRecord(task.run, task.failed.clone(), task.done, saved, open)
    }
}

impl TaskRecord {
    fn restore(self, now: Millis) -> TaskState {
        let mut adrift = AdriftStarts::default();
        adrift.lose(now + CALL_LIFE);
        let inherit = |OpenRunRecord(run, worker, born)| OpenRun {
            phase: RunPhase::Inherited,
            adrift,
            share: None,
            restored: true,
            ..OpenRun::planned(run, worker, born, now)
        };
        let open = self.4.map(inherit).map(Box::new);
        TaskState {
            run: self.0,
            failed: self.1,
            done: self.2,
            saved: self.3,
            open,
            avoid: Vec::new(),
            crashes: Vec::new(),
            held_since: None,
            idle_since: None,
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RecordError> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(value, &mut bytes);
    written.map_err(|e| RecordError::Encode(e.to_string()))?;
    Ok(bytes)
}

fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|e| RecordError::Malformed(e.to_string()))
}
