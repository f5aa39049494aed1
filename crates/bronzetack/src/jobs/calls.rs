//! Calls of the coordinator to workers and its writes to the platform.

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

/// Calls a worker.
pub async fn call(client: TaskClient, at: Option<SocketAddr>, body: CallBody) -> CallResult {
    let Some(at) = at else {
        return CallResult::NotSent;
    };
    match body {
        CallBody::Epoch(call) => match client.accept_epoch(at, &call).await {
            Ok(state) => CallResult::State(state),
            Err(error) => failed(error),
        },
        CallBody::Tasks(call) => match client.apply_ops(at, &call).await {
            Ok(reply) => CallResult::Tasks(reply),
            Err(error) => failed(error),
        },
    }
}

fn failed(error: CallError) -> CallResult {
    match error {
        CallError::Fenced(epoch) => CallResult::Fenced(epoch),
        CallError::OutcomeUnknown(_) => CallResult::Lost,
        CallError::NotSent(_) => CallResult::NotSent,
    }
}

/// Writes a record if the platform holds the expected revision.
pub async fn write(store: Store, record: &JobRecord, expect: base::Revision) -> WriteResult {
    let key = keys::job(&record.spec.id);
    let value: Bytes = encode(record);
    let put = store.put_if(&key, Expect::At(expect), value, None).await;
    match put {
        Ok(WriteOutcome::Done(revision)) => WriteResult::Done(revision),
        Ok(WriteOutcome::Conflict(entry)) => WriteResult::Conflict(entry.and_then(parse)),
        Err(StoreError::OutcomeUnknown(..)) => WriteResult::Lost,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => WriteResult::NotSent,
    }
}

fn parse(entry: Entry) -> Option<Box<(JobRecord, base::Revision)>> {
    let record = decode(&entry.value)?;
    Some(Box::new((record, entry.revision)))
}
