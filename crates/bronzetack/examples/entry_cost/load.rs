//! Load generator with a closed loop or a constant rate.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::Connector;
use hdrhistogram::Histogram;
use uuid::Uuid;
use work::request;

/// Length in bytes of the body of a request; the answer has the same.
const BODY_LEN: usize = 256;

/// Destination of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Route {
    /// A daemon's port for callers, and whether the requests are idempotent.
    Daemon(SocketAddr, bool),
    /// The worker itself.
    Direct(SocketAddr),
}

/// Load of one case.
pub struct Case {
    /// Destination of the requests.
    pub path: Route,
    /// Constant rate in requests per second; `None` runs a closed loop.
    pub rate: Option<f64>,
    /// Concurrent callers of the closed loop.
    pub callers: usize,
    /// Duration of the load.
    pub length: Duration,
}

/// Results of a case.
pub struct Results {
    /// Requests answered with success.
    pub ok: u64,
    /// All other requests.
    pub failed: u64,
    latency: Histogram<u64>,
}

impl Results {
    /// Successful requests per second.
    pub fn rate(&self, length: Duration) -> f64 {
        self.ok as f64 / length.as_secs_f64()
    }

    /// Quantile of the latency of successful requests, in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

/// Runs a case.
pub async fn run(case: &Case) -> Results {
    let results = Rc::new(RefCell::new(Results {
        ok: 0,
        failed: 0,
        latency: Histogram::new(3).expect("3 digits are a valid precision"),
    }));
    let connector = Connector::new().limit(0);
    let client = Client::builder().connector(connector).finish();
    let end = Instant::now() + case.length;
    let mut tasks = Vec::new();
    match case.rate {
        None => {
            for _ in 0..case.callers {
                tasks.push(actix_rt::spawn(closed_loop(
                    client.clone(),
                    case.path,
                    end,
                    results.clone(),
                )));
            }
        }
        Some(rate) => constant_rate(&client, case, rate, &results, &mut tasks).await,
    }
    for task in tasks {
        let _ = task.await;
    }
    let results =
        Rc::try_unwrap(results).unwrap_or_else(|_| panic!("a request still refers to the results"));
    results.into_inner()
}

async fn closed_loop(client: Client, path: Route, end: Instant, results: Rc<RefCell<Results>>) {
    while Instant::now() < end {
        send(&client, path, Instant::now(), &results).await;
    }
}

async fn constant_rate(
    client: &Client,
    case: &Case,
    rate: f64,
    results: &Rc<RefCell<Results>>,
    tasks: &mut Vec<actix_rt::task::JoinHandle<()>>,
) {
    let started = Instant::now();
    let total = (rate * case.length.as_secs_f64()) as u64;
    for i in 0..total {
        let due = Duration::from_secs_f64(i as f64 / rate);
        if let Some(wait) = due.checked_sub(started.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        let (client, path, results) = (client.clone(), case.path, results.clone());
        let sent = Instant::now();
        tasks.push(actix_rt::spawn(async move {
            send(&client, path, sent, &results).await
        }));
    }
}

async fn send(client: &Client, path: Route, sent: Instant, results: &Rc<RefCell<Results>>) {
    let (at, way, idempotent) = match path {
        Route::Daemon(at, idempotent) => (at, "v1/requests", idempotent),
        Route::Direct(at) => (at, "service", true),
    };
    let answer = client
        .post(format!("http://{at}/{way}/ledger"))
        .insert_header((request::ID, Uuid::now_v7().to_string()))
        .insert_header((request::ORG, "board"))
        .insert_header((request::IDEMPOTENT, idempotent.to_string()))
        .send_body(vec![b'x'; BODY_LEN])
        .await;
    let ran = match answer {
        Ok(mut answer) => answer.status().is_success() && answer.body().await.is_ok(),
        Err(_) => false,
    };
    let mut results = results.borrow_mut();
    if ran {
        results.ok += 1;
        let _ = results.latency.record(sent.elapsed().as_micros() as u64);
    } else {
        results.failed += 1;
    }
}
