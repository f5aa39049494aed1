//! Callers of the site: requests at a steady rate, and gang jobs.

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

/// The organisation of all requests and jobs.
const ORG: &str = "board";

/// Time that callers leave for an answer.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time for all jobs to finish.
const JOBS_MAX: Duration = Duration::from_secs(60);

/// What to send.
pub struct Load {
    /// How long.
    pub seconds: Duration,
    /// Requests a second.
    pub rate: u64,
    /// Gang jobs.
    pub jobs: usize,
}

/// What one caller was told of its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Heard {
    /// No answer at all.
    Nothing,
    /// The request did not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// One request and its end.
pub struct Sent {
    /// The caller's id.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What the caller was told.
    pub heard: Heard,
}

/// What all callers were told.
pub struct Told {
    /// Every request.
    pub requests: Vec<Sent>,
    /// Answers that were not the caller's own, or not whole.
    pub foreign: u64,
    /// Jobs submitted.
    pub jobs_sent: u64,
    /// Jobs finished.
    pub jobs_done: u64,
    latency: Histogram<u64>,
}

impl Told {
    /// Requests sent.
    pub fn sent(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Requests answered well.
    pub fn ok(&self) -> u64 {
        self.count(Heard::Ran)
    }

    /// Requests refused.
    pub fn not_run(&self) -> u64 {
        self.count(Heard::NotRun)
    }

    /// Requests whose outcome is not known.
    pub fn unknown(&self) -> u64 {
        self.count(Heard::Unknown) + self.count(Heard::Nothing)
    }

    /// A quantile of the latency in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    fn count(&self, heard: Heard) -> u64 {
        self.requests.iter().filter(|r| r.heard == heard).count() as u64
    }
}

/// Runs the load and waits for the end of all of it.
pub async fn run(site: &Site, load: &Load) -> Told {
    set_up(site.operators()[0]).await;
    let told = Rc::new(RefCell::new(Told {
        requests: Vec::new(),
        foreign: 0,
        jobs_sent: 0,
        jobs_done: 0,
        latency: Histogram::new(3).expect("a histogram"),
    }));
    let jobs = actix_rt::spawn(run_jobs(site.callers(), load.jobs));
    send_all(&site.callers(), load, &told).await;
    let (sent, done) = jobs.await.expect("the jobs' task");
    let told = Rc::try_unwrap(told).unwrap_or_else(|_| panic!("requests are open"));
    Told {
        jobs_sent: sent,
        jobs_done: done,
        ..told.into_inner()
    }
}

/// Creates the organisation.
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
        .expect("an answer");
    let body = answer.body().await.expect("a body");
    assert!(
        answer.status().is_success(),
        "{}",
        String::from_utf8_lossy(&body)
    );
}

fn client() -> Client {
    Client::builder().timeout(DEADLINE * 2).finish()
}

async fn send_all(callers: &[SocketAddr], load: &Load, told: &Rc<RefCell<Told>>) {
    let client = client();
    let begun = Instant::now();
    let total = load.seconds.as_secs() * load.rate;
    let mut tasks = Vec::new();
    for i in 0..total {
        let due = Duration::from_micros(i * 1_000_000 / load.rate);
        if let Some(wait) = due.checked_sub(begun.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        let at = callers[i as usize % callers.len()];
        tasks.push(actix_rt::spawn(send(
            client.clone(),
            at,
            i % 2 == 0,
            told.clone(),
        )));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn send(client: Client, at: SocketAddr, idempotent: bool, told: Rc<RefCell<Told>>) {
    let id = Uuid::now_v7().to_string();
    let body = format!("record {id} ").repeat(20);
    let begun = Instant::now();
    let (heard, own) = exchange(&client, at, &id, idempotent, &body).await;
    let mut told = told.borrow_mut();
    let _ = told.latency.record(begun.elapsed().as_micros() as u64);
    told.foreign += u64::from(!own);
    told.requests.push(Sent {
        id,
        idempotent,
        heard,
    });
}

/// What was heard, and whether the answer was the caller's own and whole.
async fn exchange(
    client: &Client,
    at: SocketAddr,
    id: &str,
    idempotent: bool,
    body: &str,
) -> (Heard, bool) {
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
        return (Heard::Nothing, true);
    };
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    let own = header(request::ID) == Some(id);
    let outcome = header(request::OUTCOME).unwrap_or_default().to_string();
    let got = answer.body().await;
    match outcome.as_str() {
        "ran" => {
            let whole = got.is_ok_and(|got| digest(&got) == digest(body.as_bytes()));
            (Heard::Ran, own && whole)
        }
        "not-run" => (Heard::NotRun, own),
        _ => (Heard::Unknown, own),
    }
}

/// Submits gang jobs and waits for them; answers with the numbers submitted and finished.
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
    let begun = Instant::now();
    let mut done = 0;
    while !open.is_empty() && begun.elapsed() < JOBS_MAX {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let mut left = Vec::new();
        for id in open {
            match phase(&client, callers[0], &id).await.as_deref() {
                Some("finished") => done += 1,
                _ => left.push(id),
            }
        }
        open = left;
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
