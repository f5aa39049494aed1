//! Requests to a worker stand-in that answers well and badly.

use std::net::SocketAddr;

use base::Millis;
use base::Outcome;
use bytes::Bytes;
use fakes::worker::RequestFault;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use obs::TraceParent;
use work::Call;
use work::Ending;
use work::Exchange;
use yare::parameterized;

const MAX_BODY: usize = 1 << 20;
const LEFT: Millis = Millis(5_000);
const SHORT: Millis = Millis(100);

fn worker(slots: usize) -> Worker {
    let config = WorkerConfig {
        id: "w1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots,
        service: Millis::ZERO,
    };
    Worker::start(config).unwrap()
}

fn call(id: &str, left: Millis) -> Call {
    Call {
        id: id.parse().unwrap(),
        service: "ledger".parse().unwrap(),
        body: Bytes::from(format!("body of {id}").repeat(100)),
        left,
        fence: None,
        trace: TraceParent::root(),
        fresh: false,
    }
}

async fn run(fault: RequestFault, slots: usize) -> (Ending, u64) {
    let worker = worker(slots);
    let exchange = Exchange::new(MAX_BODY);
    exchange.send(worker.address(), &call("first", LEFT)).await;
    worker.state().lock().fault = fault;
    let ending = exchange
        .send(worker.address(), &call("second", SHORT))
        .await;
    let runs = worker.state().lock().runs.get("second").copied();
    worker.close();
    (ending, runs.unwrap_or(0))
}

#[parameterized(
    whole = { RequestFault::None, 8, Outcome::Ran },
    crossed = { RequestFault::Crossed, 8, Outcome::Unknown },
    failing = { RequestFault::Failing, 8, Outcome::Ran },
    truncated = { RequestFault::Truncated, 8, Outcome::Unknown },
    silent = { RequestFault::Silent, 8, Outcome::Unknown },
    late = { RequestFault::Late(600_000), 8, Outcome::Unknown },
    no_slot = { RequestFault::None, 0, Outcome::NotRun },
)]
fn outcome(fault: RequestFault, slots: usize, outcome: Outcome) {
    let system = actix_rt::System::new();
    let (ending, runs) = system.block_on(run(fault, slots));
    assert_eq!(ending.outcome(), outcome, "{ending:?}");
    assert!(outcome != Outcome::NotRun || runs == 0);
}

#[actix_rt::test]
async fn the_answer_is_the_own_one() {
    let worker = worker(8);
    let call = call("one", LEFT);
    let ending = Exchange::new(MAX_BODY).send(worker.address(), &call).await;
    let Ending::Ran(answer) = ending else {
        panic!("{ending:?}");
    };
    assert_eq!(answer.body, call.body);
    worker.close();
}

#[actix_rt::test]
async fn a_connection_that_timed_out_is_not_used_again() {
    let worker = worker(8);
    let exchange = Exchange::new(MAX_BODY);
    worker.state().lock().fault = RequestFault::Late(150);
    let late = exchange.send(worker.address(), &call("late", SHORT)).await;
    assert_eq!(late, Ending::Silent);
    worker.state().lock().fault = RequestFault::None;
    for i in 0..20 {
        let call = call(&format!("next-{i}"), LEFT);
        let ending = exchange.send(worker.address(), &call).await;
        assert_eq!(ending.outcome(), Outcome::Ran, "{ending:?}");
    }
    worker.close();
}

#[actix_rt::test]
async fn a_dead_upstream_gets_nothing() {
    let worker = worker(8);
    let at = worker.address();
    worker.close();
    let ending = Exchange::new(MAX_BODY).send(at, &call("one", LEFT)).await;
    assert_eq!(ending.outcome(), Outcome::NotRun, "{ending:?}");
}

#[actix_rt::test]
async fn an_answer_over_the_bound_is_not_passed_on() {
    let worker = worker(8);
    let ending = Exchange::new(100)
        .send(worker.address(), &call("one", LEFT))
        .await;
    assert_eq!(ending, Ending::Truncated);
    worker.close();
}
