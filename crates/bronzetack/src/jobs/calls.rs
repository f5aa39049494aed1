//! Calls from the coordinator to workers, and its writes of job records to the platform store.

use std::net::SocketAddr;

use bytes::Bytes;
use plat::Entry;
use plat::Expect;
use plat::Store;
use plat::StoreError;
use plat::WriteOutcome;
use sched::CallBody;
use sched::CallResult;
use sched::JobRecord;
use sched::WriteResult;
use work::CallError;
use work::TaskClient;

use super::records::decode;
use super::records::encode;
use crate::keys;

/// Sends a call to the worker at `addr`. Without an address the call counts as not sent.
pub async fn call_worker(
    client: TaskClient,
    addr: Option<SocketAddr>,
    body: CallBody,
) -> CallResult {
    let Some(addr) = addr else {
        return CallResult::NotSent;
    };
    match body {
        CallBody::Epoch(call) => match client.accept_epoch(addr, &call).await {
            Ok(state) => CallResult::State(state),
            Err(error) => failure_result(error),
        },
        CallBody::Tasks(call) => match client.apply_ops(addr, &call).await {
            Ok(reply) => CallResult::Tasks(reply),
            Err(error) => failure_result(error),
        },
    }
}

fn failure_result(error: CallError) -> CallResult {
    match error {
        CallError::Fenced(epoch) => CallResult::Fenced(epoch),
        CallError::OutcomeUnknown(_) => CallResult::Lost,
        CallError::NotSent(_) => CallResult::NotSent,
    }
}

/// Writes a record if the platform still holds revision `expect` of it.
pub async fn write_record(store: Store, record: &JobRecord, expect: base::Revision) -> WriteResult {
    let key = keys::job(&record.spec.id);
    let value: Bytes = encode(record);
    let put = store.put_if(&key, Expect::At(expect), value, None).await;
    match put {
        Ok(WriteOutcome::Done(revision)) => WriteResult::Done(revision),
        Ok(WriteOutcome::Conflict(entry)) => WriteResult::Conflict(entry.and_then(decode_entry)),
        Err(StoreError::OutcomeUnknown(..)) => WriteResult::Lost,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => WriteResult::NotSent,
    }
}

fn decode_entry(entry: Entry) -> Option<Box<(JobRecord, base::Revision)>> {
    let record = decode(&entry.value)?;
    Some(Box::new((record, entry.revision)))
}
