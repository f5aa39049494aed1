//! Converts job records to the form in which the API returns them.

use base::Millis;
use conf::api;
use conf::api::JobInfo;
use sched::JobOutcome;
use sched::JobPhase;
use sched::JobRecord;

/// The API form of a job record.
pub fn job_info(record: &JobRecord) -> JobInfo {
    JobInfo {
        spec: record.spec.clone(),
        phase: api_phase(record),
        domain: Some(record.domain.clone()),
        attempt: record.attempt,
        places: record
            .plan()
            .map_or_else(Vec::new, |plan| plan.places.clone()),
        reason: reason(record),
        submitted: record.submitted,
        started: start_time(record),
        ended: None,
        expected: None,
    }
}

/// The phase of a job as the API shows it.
pub fn api_phase(record: &JobRecord) -> api::JobPhase {
    match &record.phase {
        JobPhase::Done { outcome } => final_phase(outcome),
        JobPhase::Queued => api::JobPhase::Queued,
        JobPhase::Running { .. } if record.cancel => api::JobPhase::Stopping,
        JobPhase::Running { .. } => api::JobPhase::Running,
        JobPhase::Starting { .. } => api::JobPhase::Starting,
    }
}

fn final_phase(outcome: &JobOutcome) -> api::JobPhase {
    match outcome {
        JobOutcome::Cancelled { .. } => api::JobPhase::Cancelled,
        JobOutcome::Failed { .. } => api::JobPhase::Failed,
        JobOutcome::Finished => api::JobPhase::Finished,
        JobOutcome::Refused { .. } => api::JobPhase::Refused,
        JobOutcome::Unknown { .. } => api::JobPhase::Unknown,
    }
}

fn reason(record: &JobRecord) -> String {
    match &record.phase {
        JobPhase::Done { outcome } => outcome.to_string(),
        JobPhase::Queued if record.attempt.0 > 0 => "waits to be started again".to_string(),
        JobPhase::Queued => "waits for accelerators".to_string(),
        JobPhase::Running { .. } => "runs".to_string(),
        JobPhase::Starting { .. } => "accelerators are being reserved".to_string(),
    }
}

fn start_time(record: &JobRecord) -> Option<Millis> {
    match &record.phase {
        JobPhase::Running { since, .. } => Some(*since),
        _ => None,
    }
}
