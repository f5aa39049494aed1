//! Log lines and metrics of the scheduler's decisions.

use std::fmt::Display;

use base::JobId;
use batch::account::EndedJob;
use batch::account::LostRun;
use batch::account::Outcome;
use batch::IdleWait;
use batch::LogDetail;
use batch::LogEntry;
use batch::LogKind;
use batch::Obstacle;
use obs::Counter;
use obs::Event;
use obs::Metrics;

use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Core-milliseconds in a core-second.
const MS_PER_SECOND: u64 = 1_000;

/// Metrics of jobs, of runs without a result, and of waits beside free room.
pub struct EndMetrics {
    jobs: Counter,
    late: Counter,
    lost: Counter,
    idle: Counter,
}

impl EndMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> EndMetrics {
        EndMetrics {
            jobs: metrics.counter("batch_jobs_ended", "Jobs by outcome"),
            late: metrics.counter(
                "batch_late_urgent_ms",
                "Time of urgent jobs that were not in time, by what it was spent on",
            ),
            lost: metrics.counter(
                "batch_lost_core_ms",
                "Work of runs without a result, by cause",
            ),
            idle: metrics.counter(
                "batch_waits_beside_room",
                "Waits of work beside free room, by what it waited for",
            ),
        }
    }

    fn count_job(&self, ended: &EndedJob) {
        let class = if ended.priority == 0 {
            "urgent"
        } else {
            "other"
        };
        let outcome = ended.outcome.to_string();
        self.jobs.add(&[("class", class), ("outcome", &outcome)], 1);
        if matches!(ended.outcome, Outcome::Cancelled | Outcome::InTime) {
            return;
        }
        for (stage, span) in &ended.stages {
            self.late.add(&[("stage", stage.name())], span.0);
        }
    }

    fn count_run(&self, lost: &LostRun) {
        let of = if lost.loss.member { "gang" } else { "run" };
        let labels = [("cause", lost.loss.cause.name()), ("of", of)];
        self.lost.add(&labels, lost.work);
    }
}

/// Logs and counts the decisions taken since the last call.
pub fn log(shared: &Shared, lead: &Leadership) {
    let entries = lead.scheduler.borrow_mut().take_log();
    for entry in entries {
        match &entry.detail {
            Some(LogDetail::EndedJob(ended)) => log_job(shared, &entry, ended),
            Some(LogDetail::IdleWait(idle)) => log_idle(shared, &entry, idle),
            Some(LogDetail::LostRun(lost)) => log_run(shared, lost),
            None => log_decision(shared, lead, &entry),
        }
    }
}

fn log_decision(shared: &Shared, lead: &Leadership, entry: &LogEntry) {
    if let Some(job) = &entry.job {
        let mut history = lead.history.borrow_mut();
        history.record(job, &entry.text, shared.now());
    }
    let event = match entry.kind {
        LogKind::Decision | LogKind::JobEnded | LogKind::RunLost => Event::SchedulingDecision,
        LogKind::GuaranteeDelayed => {
            shared.guarantees_delayed.add(&[], 1);
            Event::GuaranteeDelayed
        }
        LogKind::WaitsBesideRoom => Event::WaitsBesideRoom,
        LogKind::LimitReached => Event::OrgLimitReached,
        LogKind::LimitTooLow => Event::OrgLimitTooLow,
        LogKind::CapacityChanged => Event::CapacityChanged,
        LogKind::JobGivenUp => {
            shared.jobs_given_up.add(&[], 1);
            Event::JobGivenUp
        }
        LogKind::WorkerCrashed => {
            shared.worker_crashes.add(&[], 1);
            Event::WorkerCrashed
        }
    };
    let job = job_name(entry.job.as_ref());
    obs::record(&shared.log, event, &[("job", &job), ("why", &entry.text)]);
}

fn job_name(job: Option<&JobId>) -> String {
    job.map(|j| j.to_string()).unwrap_or_default()
}

fn log_job(shared: &Shared, entry: &LogEntry, ended: &EndedJob) {
    shared.ends.count_job(ended);
    let job = job_name(entry.job.as_ref());
    let work = ended.stopped_work / MS_PER_SECOND;
    let mut fields: Vec<(&'static str, &dyn Display)> = vec![
        ("job", &job),
        ("queue", &ended.queue),
        ("priority", &ended.priority),
        ("outcome", &ended.outcome),
        ("took_ms", &ended.took.0),
        ("objective_ms", &ended.objective.0),
        ("speed", &ended.speed.0),
        ("stopped_runs", &ended.stopped_runs),
        ("stopped_core_s", &work),
    ];
    let stages = ended.stages.iter();
    fields.extend(stages.map(|(stage, span)| (stage.name(), &span.0 as &dyn Display)));
    obs::record(&shared.log, Event::JobEnded, &fields);
}

fn log_idle(shared: &Shared, entry: &LogEntry, idle: &IdleWait) {
    let stage = idle.stage.name();
    shared.ends.idle.add(&[("stage", stage)], 1);
    let Some(suppressed) = shared.idle_log.admit(shared.now()) else {
        return;
    };
    let job = job_name(entry.job.as_ref());
    let obstacle = idle.obstacle.map_or("", Obstacle::name);
    let fields: &[(&'static str, &dyn Display)] = &[
        ("job", &job),
        ("stage", &stage),
        ("obstacle", &obstacle),
        ("waited_ms", &idle.waited.0),
        ("why", &entry.text),
        ("more", &suppressed),
    ];
    obs::record(&shared.log, Event::WaitsBesideRoom, fields);
}

fn log_run(shared: &Shared, lost: &LostRun) {
    shared.ends.count_run(lost);
    let room_for = job_name(lost.loss.room_for.as_ref());
    let fields: &[(&'static str, &dyn Display)] = &[
        ("task", &lost.task),
        ("run", &lost.run),
        ("worker", &lost.worker),
        ("cause", &lost.loss.cause.name()),
        ("member", &lost.loss.member),
        ("room_for", &room_for),
        ("ran_ms", &lost.ran.0),
        ("core_ms", &lost.work),
    ];
    obs::record(&shared.log, Event::RunLost, fields);
}
