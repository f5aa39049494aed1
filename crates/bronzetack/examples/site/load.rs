//! Load on the site: requests at a constant rate, and gang jobs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use base::digest;
use hdrhistogram::Histogram;
use serde_json::json;
use serde_json::Value;
use uuid::Uuid;
use work::request;

use crate::start::Site;

/// Organisation of all requests and jobs.
const ORG: &str = "board";

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);

/// Longest wait for all jobs to finish.
const JOBS_TIMEOUT: Duration = Duration::from_secs(60);

/// Size of the load.
pub struct Load {
    /// Duration of the request load.
    pub length: Duration,
    /// Requests per second.
    pub rate: u64,
    /// Number of gang jobs.
    pub jobs: usize,
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller got no answer.
    NoAnswer,
    /// The request did not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// A request and its outcome.
pub struct Sent {
    /// Request id chosen by the caller.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Outcome reported to the caller.
    pub outcome: Outcome,
}

/// Results of a load.
pub struct Results {
    /// All requests.
    pub requests: Vec<Sent>,
    /// Answers with the id or the body of another request, or with an incomplete body.
    pub foreign: u64,
    /// Jobs submitted.
    pub jobs_sent: u64,
    /// Jobs finished.
    pub jobs_done: u64,
    latency: Histogram<u64>,
}

impl Results {
    /// Requests sent.
    pub fn sent(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Requests reported as run.
    pub fn ok(&self) -> u64 {
        self.count(Outcome::Ran)
    }

    /// Requests reported as not run.
    pub fn not_run(&self) -> u64 {
        self.count(Outcome::NotRun)
    }

    /// Requests with an unknown outcome or without an answer.
    pub fn unknown(&self) -> u64 {
        self.count(Outcome::Unknown) + self.count(Outcome::NoAnswer)
    }

    /// Quantile of the latency in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    fn count(&self, outcome: Outcome) -> u64 {
        self.requests
            .iter()
            .filter(|r| r.outcome == outcome)
            .count() as u64
    }
}

/// Runs the load and waits until all requests and jobs have ended.
pub async fn run(site: &Site, load: &Load) -> Results {
    set_up(site.operators()[0]).await;
    let results = Rc::new(RefCell::new(Results {
        requests: Vec::new(),
        foreign: 0,
        jobs_sent: 0,
        jobs_done: 0,
        latency: Histogram::new(3).expect("3 digits are a valid precision"),
    }));
    let jobs = actix_rt::spawn(run_jobs(site.callers(), load.jobs));
    send_all(&site.callers(), load, &results).await;
    let (sent, done) = jobs.await.expect("the task of the jobs ends");
    let results =
        Rc::try_unwrap(results).unwrap_or_else(|_| panic!("a request still refers to the results"));
    Results {
        jobs_sent: sent,
        jobs_done: done,
        ..results.into_inner()
    }
}

/// Creates the organisation of the load.
async fn set_up(at: SocketAddr) {
    let call = json!({
        "op": Uuid::new_v4().to_string(),
        "who": "example",
        "edits": [{ "edit": "add-org", "org": ORG }],
    });
    let url = format!("http://{at}/v1/settings");
    let mut answer = client()
        .post(url)
        .send_json(&call)
        .await
        .expect("settings call answered");
    let body = answer.body().await.expect("complete answer");
    assert!(
        answer.status().is_success(),
        "{}",
        String::from_utf8_lossy(&body)
    );
}

fn client() -> Client {
    Client::builder().timeout(DEADLINE * 2).finish()
}

async fn send_all(callers: &[SocketAddr], load: &Load, results: &Rc<RefCell<Results>>) {
    let client = client();
    let started = Instant::now();
    let total = load.length.as_secs() * load.rate;
    let mut tasks = Vec::new();
    for i in 0..total {
        let due = Duration::from_micros(i * 1_000_000 / load.rate);
        if let Some(wait) = due.checked_sub(started.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        let at = callers[i as usize % callers.len()];
        tasks.push(actix_rt::spawn(send(
            client.clone(),
            at,
            i % 2 == 0,
            results.clone(),
        )));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn send(client: Client, at: SocketAddr, idempotent: bool, results: Rc<RefCell<Results>>) {
    let id = Uuid::now_v7().to_string();
    let body = format!("record {id} ").repeat(20);
    let started = Instant::now();
    let (outcome, is_own) = exchange(&client, at, &id, idempotent, &body).await;
    let mut results = results.borrow_mut();
    let _ = results.latency.record(started.elapsed().as_micros() as u64);
    results.foreign += u64::from(!is_own);
    results.requests.push(Sent {
        id,
        idempotent,
        outcome,
    });
}

/// Sends a request. Returns its outcome and whether the answer has the id of the request and, if it
/// ran, the complete body.
async fn exchange(
    client: &Client,
    at: SocketAddr,
    id: &str,
    idempotent: bool,
    body: &str,
) -> (Outcome, bool) {
    let sent = client
        .post(format!("http://{at}/v1/requests/ledger"))
        .insert_header((request::ID, id))
        .insert_header((request::ORG, ORG))
        .insert_header((request::DEADLINE, DEADLINE.as_millis().to_string()))
        .insert_header((request::IDEMPOTENT, idempotent.to_string()))
        .insert_header((request::ATTEMPT, "1"))
        .send_body(body.to_string())
        .await;
    let Ok(mut answer) = sent else {
        return (Outcome::NoAnswer, true);
    };
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    let is_own = header(request::ID) == Some(id);
    let outcome = header(request::OUTCOME).unwrap_or_default().to_string();
    let got = answer.body().await;
    match outcome.as_str() {
        "ran" => {
            let is_whole = got.is_ok_and(|got| digest(&got) == digest(body.as_bytes()));
            (Outcome::Ran, is_own && is_whole)
        }
        "not-run" => (Outcome::NotRun, is_own),
        _ => (Outcome::Unknown, is_own),
    }
}

/// Submits gang jobs and waits for them. Returns the numbers of jobs submitted and finished.
async fn run_jobs(callers: Vec<SocketAddr>, count: usize) -> (u64, u64) {
    let client = client();
    let mut open = Vec::new();
    for i in 0..count {
        let id = format!("job-{}", Uuid::new_v4());
        let at = callers[i % callers.len()];
        if submit(&client, at, &id, i).await {
            open.push(id);
        }
    }
    let started = Instant::now();
    let mut done = 0;
    while !open.is_empty() && started.elapsed() < JOBS_TIMEOUT {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let mut unfinished = Vec::new();
        for id in open {
            match phase(&client, callers[0], &id).await.as_deref() {
                Some("finished") => done += 1,
                _ => unfinished.push(id),
            }
        }
        open = unfinished;
    }
    for id in &open {
        println!("job {id}: {:?}", phase(&client, callers[0], id).await);
    }
    (count as u64, done)
}

async fn submit(client: &Client, at: SocketAddr, id: &str, i: usize) -> bool {
    let tasks = 1 + i % 4;
    let spec = json!({
        "id": id,
        "org": ORG,
        "kind": "reconcile",
        "shape": { "tasks": tasks, "accels": 4 },
        "length": 500,
        "idempotent": i % 2 == 0,
        "payload": "run:500",
    });
    let answer = client
        .post(format!("http://{at}/v1/jobs"))
        .send_json(&spec)
        .await;
    answer.is_ok_and(|a| a.status().is_success())
}

async fn phase(client: &Client, at: SocketAddr, id: &str) -> Option<String> {
    let url = format!("http://{at}/v1/jobs/{id}");
    let mut answer = client.get(url).send().await.ok()?;
    let body = answer.body().await.ok()?;
    let info: Value = serde_json::from_slice(&body).ok()?;
    Some(info["phase"].as_str()?.to_string())
}
