//! Callers that send requests and resend them under the same id to other daemons.

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

/// Time that callers leave for one answer.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time after which a caller stops waiting for an answer.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Most sends of one request.
const SENDS: u32 = 4;

/// Longest pause before a resend, in milliseconds.
const RESEND: u64 = 500;

/// Requests of one caller's client at once.
const OPEN: usize = 2_000;

/// What one answer said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// No whole answer.
    Nothing,
    /// It did not run and will not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// One request and all that its caller was told.
pub struct Sent {
    /// The caller's id.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What each send heard, in order.
    pub heard: Vec<Heard>,
}

/// What all callers were told.
#[derive(Default)]
pub struct Told {
    /// Every request.
    pub requests: Vec<Sent>,
    /// Answers with the id or the body of another request.
    pub foreign: u64,
    /// Answers told as whole that are shorter than their request's body.
    pub truncated: u64,
}

struct Caller {
    client: Client,
    site: Rc<RefCell<Site>>,
    told: RefCell<Told>,
    open: std::cell::Cell<usize>,
}

/// Sends `total` requests at `rate` a second and waits for the end of all of them.
pub async fn run(site: Rc<RefCell<Site>>, total: u64, rate: u64, seed: u64) -> Told {
    let caller = Rc::new(Caller {
        client: Client::builder()
            .connector(awc::Connector::new().limit(OPEN))
            .timeout(TIMEOUT)
            .finish(),
        site,
        told: RefCell::default(),
        open: std::cell::Cell::new(0),
    });
    let mut rng = Pcg64::seed_from_u64(seed);
    let begun = Instant::now();
    for i in 0..total {
        let due = Duration::from_micros(i * 1_000_000 / rate);
        if let Some(wait) = due.checked_sub(begun.elapsed()) {
            actix_rt::time::sleep(wait).await;
        }
        while caller.open.get() >= OPEN {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        caller.open.set(caller.open.get() + 1);
        actix_rt::spawn(request(caller.clone(), rng.random()));
    }
    while caller.open.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    caller.told.take()
}

/// One request with its resends, driven by a seed of its own.
async fn request(caller: Rc<Caller>, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut sent = Sent {
        id: Uuid::now_v7().to_string(),
        idempotent: rng.random(),
        heard: Vec::new(),
    };
    let daemons = caller.site.borrow().len();
    let mut daemon = rng.random_range(0..daemons);
    for attempt in 1..=SENDS {
        let at = caller.site.borrow().callers(daemon);
        let heard = exchange(&caller, at, &sent, attempt).await;
        sent.heard.push(heard);
        if heard == Heard::Ran {
            break;
        }
        let wait = rng.random_range(0..RESEND);
        actix_rt::time::sleep(Duration::from_millis(wait)).await;
        daemon = (daemon + rng.random_range(1..daemons)) % daemons;
    }
    caller.told.borrow_mut().requests.push(sent);
    caller.open.set(caller.open.get() - 1);
}

async fn exchange(caller: &Caller, at: SocketAddr, sent: &Sent, attempt: u32) -> Heard {
    let body = format!("record {} ", sent.id).repeat(4);
    let call = caller
        .client
        .post(format!("http://{at}/v1/requests/ledger"))
        .insert_header((request::ID, sent.id.as_str()))
        .insert_header((request::ORG, "board"))
        .insert_header((request::DEADLINE, DEADLINE.as_millis().to_string()))
        .insert_header((request::IDEMPOTENT, sent.idempotent.to_string()))
        .insert_header((request::ATTEMPT, attempt.to_string()));
    let Ok(mut answer) = call.send_body(body.clone()).await else {
        return Heard::Nothing;
    };
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    let is_own = header(request::ID) == Some(sent.id.as_str());
    let outcome = header(request::OUTCOME).unwrap_or_default().to_string();
    let is_good = answer.status().is_success();
    let Ok(got) = answer.body().await else {
        return Heard::Nothing;
    };
    let mut told = caller.told.borrow_mut();
    match outcome.as_str() {
        "ran" => {
            let is_short = is_good && got.len() < body.len();
            let is_same = !is_good || digest(&got) == digest(body.as_bytes());
            told.truncated += u64::from(is_short);
            told.foreign += u64::from(!is_own || (!is_short && !is_same));
            Heard::Ran
        }
        "not-run" => {
            told.foreign += u64::from(!is_own);
            Heard::NotRun
        }
        _ => Heard::Unknown,
    }
}
