//! Load of requests that are resent under the same id to other daemons until they are reported as
//! run.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use base::digest;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use uuid::Uuid;
use work::request;

use crate::site::Site;

/// Deadline that callers give for each send.
const DEADLINE: Duration = Duration::from_secs(2);

/// Client time-out of each send.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Most sends of one request.
const MAX_SENDS: u32 = 4;

/// Longest pause before a resend, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 500;

/// Most requests in progress at once.
const MAX_OPEN: usize = 2_000;

/// Outcome of one send, as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller got no complete answer.
    NoAnswer,
    /// The request did not run and will not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// A request and the outcomes reported to its caller.
pub struct Sent {
    /// Request id chosen by the caller.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Outcome of each send, in order.
    pub outcomes: Vec<Outcome>,
}

/// Results of a load.
#[derive(Default)]
pub struct Results {
    /// All requests.
    pub requests: Vec<Sent>,
    /// Answers with the id or the body of another request.
    pub foreign: u64,
    /// Answers reported as complete that are shorter than the body of their request.
    pub truncated: u64,
}

struct Load {
    client: Client,
    site: Rc<RefCell<Site>>,
    results: RefCell<Results>,
    /// Requests in progress.
    open: std::cell::Cell<usize>,
}

/// Sends `total` requests at `rate` per second and waits until all have ended.
pub async fn run(site: Rc<RefCell<Site>>, total: u64, rate: u64, seed: u64) -> Results {
    let load = Rc::new(Load {
        client: Client::builder()
            .connector(awc::Connector::new().limit(MAX_OPEN))
            .timeout(TIMEOUT)
            .finish(),
        site,
        results: RefCell::default(),
        open: std::cell::Cell::new(0),
    });
    let mut rng = Pcg64::seed_from_u64(seed);
    let started = Instant::now();
    for i in 0..total {
        let due = Duration::from_micros(i * 1_000_000 / rate);
        if let Some(wait) = due.checked_sub(started.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        while load.open.get() >= MAX_OPEN {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        load.open.set(load.open.get() + 1);
        actix_rt::spawn(request(load.clone(), rng.random()));
    }
    while load.open.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    load.results.take()
}

/// Sends one request and its resends. The seed determines the daemons and the pauses.
async fn request(load: Rc<Load>, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut sent = Sent {
        id: Uuid::now_v7().to_string(),
        idempotent: rng.random(),
        outcomes: Vec::new(),
    };
    let daemons = load.site.borrow().len();
    let mut daemon = rng.random_range(0..daemons);
    for attempt in 1..=MAX_SENDS {
        let at = load.site.borrow().callers(daemon);
        let outcome = exchange(&load, at, &sent, attempt).await;
        sent.outcomes.push(outcome);
        if outcome == Outcome::Ran {
            break;
        }
        let delay = rng.random_range(0..MAX_RESEND_DELAY_MS);
        actix_rt::time::sleep(Duration::from_millis(delay)).await;
        daemon = (daemon + rng.random_range(1..daemons)) % daemons;
    }
    load.results.borrow_mut().requests.push(sent);
    load.open.set(load.open.get() - 1);
}

async fn exchange(load: &Load, at: SocketAddr, sent: &Sent, attempt: u32) -> Outcome {
    let body = format!("record {} ", sent.id).repeat(4);
    let call = load
        .client
        .post(format!("http://{at}/v1/requests/ledger"))
        .insert_header((request::ID, sent.id.as_str()))
        .insert_header((request::ORG, "board"))
        .insert_header((request::DEADLINE, DEADLINE.as_millis().to_string()))
        .insert_header((request::IDEMPOTENT, sent.idempotent.to_string()))
        .insert_header((request::ATTEMPT, attempt.to_string()));
    let Ok(mut answer) = call.send_body(body.clone()).await else {
        return Outcome::NoAnswer;
    };
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    let is_matching_id = header(request::ID) == Some(sent.id.as_str());
    let outcome = header(request::OUTCOME).unwrap_or_default().to_string();
    let is_success = answer.status().is_success();
    let Ok(got) = answer.body().await else {
        return Outcome::NoAnswer;
    };
    let mut results = load.results.borrow_mut();
    match outcome.as_str() {
        "ran" => {
            let is_short = is_success && got.len() < body.len();
            let is_same_body = !is_success || digest(&got) == digest(body.as_bytes());
            results.truncated += u64::from(is_short);
            results.foreign += u64::from(!is_matching_id || (!is_short && !is_same_body));
            Outcome::Ran
        }
        "not-run" => {
            results.foreign += u64::from(!is_matching_id);
            Outcome::NotRun
        }
        _ => Outcome::Unknown,
    }
}
