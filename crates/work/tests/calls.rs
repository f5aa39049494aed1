//! Task calls to a simulated worker.

use std::net::SocketAddr;

use base::Accels;
use base::Attempt;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::Epoch;
use base::Millis;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use work::wire::EpochCall;
use work::wire::OpResult;
use work::wire::TaskCall;
use work::wire::TaskKey;
use work::wire::TaskOp;
use work::wire::TaskPhase;
use work::wire::TaskSpec;
use work::CallError;
use work::TaskClient;

const TIMEOUT: Millis = Millis(2000);
const LEASE: Millis = Millis(60_000);

fn worker() -> Worker {
    let config = WorkerConfig {
        id: "w1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots: 8,
        service_time: Millis::ZERO,
    };
    Worker::start(config).unwrap()
}

fn key(attempt: u64) -> TaskKey {
    TaskKey {
        job: "job".parse().unwrap(),
        attempt: Attempt(attempt),
        task: 0,
    }
}

fn reserve(attempt: u64) -> TaskOp {
    let task = TaskSpec {
        org: "org".parse().unwrap(),
        first: 0,
        count: Accels(4),
        cores: Cores(1),
        memory: Bytes(0),
        saved: Millis::ZERO,
        payload: "run:600000".to_string(),
    };
    TaskOp::Reserve {
        key: key(attempt),
        task,
        lease: LEASE,
    }
}

fn call(epoch: u64, ops: Vec<TaskOp>) -> TaskCall {
    TaskCall {
        epoch: Epoch(epoch),
        ops,
    }
}

#[actix_rt::test]
async fn runs_and_stops_a_reserved_task() {
    let worker = worker();
    let client = TaskClient::new(TIMEOUT);
    let start = TaskOp::Start {
        key: key(1),
        lease: LEASE,
    };
    let started = client
        .apply_ops(worker.address(), &call(1, vec![reserve(1), start]))
        .await
        .unwrap();
    assert_eq!(started.results, [OpResult::Done, OpResult::Done]);
    assert_eq!(started.tasks[0].phase, TaskPhase::Running);
    let stop = TaskOp::Stop { key: key(1) };
    let stopped = client
        .apply_ops(worker.address(), &call(1, vec![stop]))
        .await
        .unwrap();
    assert_eq!(stopped.tasks[0].phase, TaskPhase::Stopped);
    worker.close();
}

#[actix_rt::test]
async fn reserves_accelerators_for_one_task_only() {
    let worker = worker();
    let client = TaskClient::new(TIMEOUT);
    let ops = vec![reserve(1), reserve(1), reserve(2)];
    let reply = client
        .apply_ops(worker.address(), &call(1, ops))
        .await
        .unwrap();
    assert_eq!(
        reply.results,
        [OpResult::Done, OpResult::Done, OpResult::Busy]
    );
    worker.close();
}

/// A reservation that is delayed in the network must not revive a task that was stopped.
#[actix_rt::test]
async fn refuses_reservation_that_arrives_after_stop() {
    let worker = worker();
    let client = TaskClient::new(TIMEOUT);
    let ops = vec![TaskOp::Stop { key: key(1) }, reserve(1)];
    let reply = client
        .apply_ops(worker.address(), &call(1, ops))
        .await
        .unwrap();
    assert_eq!(reply.results, [OpResult::Done, OpResult::NoTask]);
    worker.close();
}

#[actix_rt::test]
async fn refuses_lower_epoch() {
    let worker = worker();
    let client = TaskClient::new(TIMEOUT);
    let domain: DomainId = "north".parse().unwrap();
    let accept = EpochCall {
        domain,
        epoch: Epoch(7),
    };
    client
        .accept_epoch(worker.address(), &accept)
        .await
        .unwrap();
    let result = client
        .apply_ops(worker.address(), &call(6, vec![reserve(1)]))
        .await;
    assert_eq!(result, Err(CallError::Fenced(Epoch(7))));
    assert!(worker.state().lock().tasks.changes().is_empty());
    worker.close();
}

#[actix_rt::test]
async fn call_to_closed_worker_is_not_sent() {
    let worker = worker();
    let addr = worker.address();
    worker.close();
    let client = TaskClient::new(TIMEOUT);
    let result = client.apply_ops(addr, &call(1, vec![reserve(1)])).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}
