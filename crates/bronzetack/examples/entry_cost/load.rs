//! Callers: closed loops, or a steady rate.

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

/// Bytes of a request and of its answer.
const BODY: usize = 256;

/// Which way requests go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Path {
    /// Through a daemon; whether they are idempotent.
    Daemon(SocketAddr, bool),
    /// To the worker.
    Direct(SocketAddr),
}

/// What to send.
pub struct Case {
    /// Which way.
    pub path: Path,
    /// Requests a second; as many as possible without it.
    pub rate: Option<f64>,
    /// Closed loops.
    pub callers: usize,
    /// How long.
    pub length: Duration,
}

/// What came back.
pub struct Told {
    /// Requests that ran.
    pub ok: u64,
    /// All others.
    pub failed: u64,
    latency: Histogram<u64>,
}

impl Told {
    /// Requests that ran in a second.
    pub fn rate(&self, length: Duration) -> f64 {
        self.ok as f64 / length.as_secs_f64()
    }

    /// A quantile of the latency in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

/// Runs a case.
pub async fn run(case: &Case) -> Told {
    let told = Rc::new(RefCell::new(Told {
        ok: 0,
        failed: 0,
        latency: Histogram::new(3).expect("a histogram"),
    }));
    let connector = Connector::new().limit(0);
    let client = Client::builder().connector(connector).finish();
    let end = Instant::now() + case.length;
    let mut tasks = Vec::new();
    match case.rate {
        None => {
            for _ in 0..case.callers {
                tasks.push(actix_rt::spawn(closed(
                    client.clone(),
                    case.path,
                    end,
                    told.clone(),
                )));
            }
        }
        Some(rate) => steady(&client, case, rate, &told, &mut tasks).await,
    }
    for task in tasks {
        let _ = task.await;
    }
    let told = Rc::try_unwrap(told).unwrap_or_else(|_| panic!("requests are open"));
    told.into_inner()
}

async fn closed(client: Client, path: Path, end: Instant, told: Rc<RefCell<Told>>) {
    while Instant::now() < end {
        one(&client, path, Instant::now(), &told).await;
    }
}

async fn steady(
    client: &Client,
    case: &Case,
    rate: f64,
    told: &Rc<RefCell<Told>>,
    tasks: &mut Vec<actix_rt::task::JoinHandle<()>>,
) {
    let begun = Instant::now();
    let total = (rate * case.length.as_secs_f64()) as u64;
    for i in 0..total {
        let due = Duration::from_secs_f64(i as f64 / rate);
        if let Some(wait) = due.checked_sub(begun.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        let (client, path, told) = (client.clone(), case.path, told.clone());
        let sent = Instant::now();
        tasks.push(actix_rt::spawn(async move {
            one(&client, path, sent, &told).await
        }));
    }
}

async fn one(client: &Client, path: Path, sent: Instant, told: &Rc<RefCell<Told>>) {
    let (at, way, idempotent) = match path {
        Path::Daemon(at, idempotent) => (at, "v1/requests", idempotent),
        Path::Direct(at) => (at, "service", true),
    };
    let answer = client
        .post(format!("http://{at}/{way}/ledger"))
        .insert_header((request::ID, Uuid::now_v7().to_string()))
        .insert_header((request::ORG, "board"))
        .insert_header((request::IDEMPOTENT, idempotent.to_string()))
        .send_body(vec![b'x'; BODY])
        .await;
    let ran = match answer {
        Ok(mut answer) => answer.status().is_success() && answer.body().await.is_ok(),
        Err(_) => false,
    };
    let mut told = told.borrow_mut();
    if ran {
        told.ok += 1;
        let _ = told.latency.record(sent.elapsed().as_micros() as u64);
    } else {
        told.failed += 1;
    }
}
