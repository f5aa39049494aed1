//! Tests of the stored form of job records.

mod model;

use base::Attempt;
use base::Millis;
use model::site;
use sched::JobPhase;
use sched::JobRecord;
use sched::RecordError;
use sched::RecordWire;
use serde_json::json;
use serde_json::Value;

fn record() -> JobRecord {
    let spec = site::job_spec("j", 2, true);
    let plan = site::plan(&spec.id, 2, 0);
    let mut rec = JobRecord::new(spec, site::domain(), Millis(5));
    rec.attempt = Attempt(1);
    rec.phase = JobPhase::Starting { plan };
    rec
}

fn stored() -> Value {
    serde_json::to_value(RecordWire::from(record())).expect("serialises")
}

fn read(value: Value) -> Result<JobRecord, RecordError> {
    let wire: RecordWire = serde_json::from_value(value).expect("a stored record");
    JobRecord::try_from(wire)
}

#[test]
fn record_round_trips() {
    assert_eq!(read(stored()), Ok(record()));
}

#[test]
fn newer_version_is_rejected() {
    let mut value = stored();
    value["version"] = json!(2);
    assert_eq!(read(value), Err(RecordError::Version(2)));
}

#[test]
fn plan_of_another_attempt_is_rejected() {
    let mut value = stored();
    value["attempt"] = json!(3);
    assert_eq!(read(value), Err(RecordError::Plan));
}
