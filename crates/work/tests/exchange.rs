//! Requests to a simulated worker, with and without injected faults.

use std::net::SocketAddr;

use base::Millis;
use base::Outcome;
use bytes::Bytes;
use fakes::worker::RequestFault;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use obs::TraceParent;
use work::ExchangeResult;
use work::UpstreamClient;
use work::UpstreamRequest;
use yare::parameterized;

const MAX_BODY: usize = 1 << 20;
const LONG_TIMEOUT: Millis = Millis(5_000);
const SHORT_TIMEOUT: Millis = Millis(100);

fn worker(slots: usize) -> Worker {
    let config = WorkerConfig {
        id: "w1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots,
        service_time: Millis::ZERO,
    };
    Worker::start(config).unwrap()
}

fn call(id: &str, time_left: Millis) -> UpstreamRequest {
    UpstreamRequest {
        id: id.parse().unwrap(),
        service: "ledger".parse().unwrap(),
        body: Bytes::from(format!("body of {id}").repeat(100)),
        time_left,
        fence: None,
        trace: TraceParent::root(),
        new_connection: false,
    }
}

/// Sends one request without a fault and a second one with it. Returns the result of the second
/// and how often it ran.
async fn send_with_fault(fault: RequestFault, slots: usize) -> (ExchangeResult, u64) {
    let worker = worker(slots);
    let client = UpstreamClient::new(MAX_BODY);
    client
        .send(worker.address(), &call("first", LONG_TIMEOUT))
        .await;
    worker.state().lock().fault = fault;
    let result = client
        .send(worker.address(), &call("second", SHORT_TIMEOUT))
        .await;
    let runs = worker.state().lock().runs.get("second").copied();
    worker.close();
    (result, runs.unwrap_or(0))
}

#[parameterized(
    no_fault = { RequestFault::None, 8, Outcome::Ran },
    wrong_id = { RequestFault::Mismatched, 8, Outcome::Unknown },
    failing = { RequestFault::Failing, 8, Outcome::Ran },
    truncated = { RequestFault::Truncated, 8, Outcome::Unknown },
    no_response = { RequestFault::Silent, 8, Outcome::Unknown },
    late = { RequestFault::Late(600_000), 8, Outcome::Unknown },
    no_slot = { RequestFault::None, 0, Outcome::NotRun },
)]
fn reports_outcome(fault: RequestFault, slots: usize, expected: Outcome) {
    let system = actix_rt::System::new();
    let (result, runs) = system.block_on(send_with_fault(fault, slots));
    assert_eq!(result.outcome(), expected, "{result:?}");
    assert!(expected != Outcome::NotRun || runs == 0);
}

#[actix_rt::test]
async fn returns_response_of_own_request() {
    let worker = worker(8);
    let call = call("one", LONG_TIMEOUT);
    let result = UpstreamClient::new(MAX_BODY)
        .send(worker.address(), &call)
        .await;
    let ExchangeResult::Ran(response) = result else {
        panic!("{result:?}");
    };
    assert_eq!(response.body, call.body);
    worker.close();
}

#[actix_rt::test]
async fn does_not_reuse_connection_after_timeout() {
    let worker = worker(8);
    let client = UpstreamClient::new(MAX_BODY);
    worker.state().lock().fault = RequestFault::Late(150);
    let result = client
        .send(worker.address(), &call("late", SHORT_TIMEOUT))
        .await;
    assert_eq!(result, ExchangeResult::TimedOut);
    worker.state().lock().fault = RequestFault::None;
    for i in 0..20 {
        let call = call(&format!("next-{i}"), LONG_TIMEOUT);
        let result = client.send(worker.address(), &call).await;
        assert_eq!(result.outcome(), Outcome::Ran, "{result:?}");
    }
    worker.close();
}

#[actix_rt::test]
async fn request_to_closed_upstream_is_not_run() {
    let worker = worker(8);
    let addr = worker.address();
    worker.close();
    let result = UpstreamClient::new(MAX_BODY)
        .send(addr, &call("one", LONG_TIMEOUT))
        .await;
    assert_eq!(result.outcome(), Outcome::NotRun, "{result:?}");
}

#[actix_rt::test]
async fn treats_oversized_response_as_truncated() {
    let worker = worker(8);
    let result = UpstreamClient::new(100)
        .send(worker.address(), &call("one", LONG_TIMEOUT))
        .await;
    assert_eq!(result, ExchangeResult::Truncated);
    worker.close();
}
