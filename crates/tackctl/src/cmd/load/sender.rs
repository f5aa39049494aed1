//! Sends the requests of a load on time.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::SendRequestError;
use base::Millis;
use base::OrgId;
use base::Outcome;
use base::ServiceId;
use futures_util::future::join_all;
use tokio::time::sleep_until;
use tokio::time::Instant;
use uuid::Uuid;

use crate::cmd::load::report::Report;
use crate::cmd::load::report::Seen;
use crate::cmd::load::report::Tally;

/// Time past a request's deadline after which its answer is given up.
const GRACE: Millis = Millis(1000);
/// Largest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// What to send.
pub struct Plan {
    /// Callers' ports, used in turn.
    pub to: Vec<SocketAddr>,
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub org: OrgId,
    /// Requests a second.
    pub rate: u64,
    /// Length of the run.
    pub seconds: u64,
    /// Most requests in progress.
    pub concurrency: usize,
    /// Percentage of non-idempotent requests.
    pub percent: u64,
    /// Body of each request.
    pub body: Vec<u8>,
    /// Deadline of each request.
    pub deadline: Millis,
}

impl Plan {
    /// When the request with this number is due, after the start.
    fn due(&self, num: u64) -> Duration {
        Duration::from_nanos(num.saturating_mul(1_000_000_000) / self.rate)
    }

    /// Spreads the non-idempotent requests evenly.
    fn is_idempotent(&self, num: u64) -> bool {
        (num + 1) * self.percent / 100 == num * self.percent / 100
    }
}

/// Runs the plan.
pub async fn run(plan: Rc<Plan>) -> Report {
    let tally = Rc::new(RefCell::new(Tally::new()));
    let next = Rc::new(Cell::new(0));
    let start = Instant::now();
    let lanes = (0..plan.concurrency).map(|_| {
        let (plan, tally, next) = (plan.clone(), tally.clone(), next.clone());
        actix_rt::spawn(lane(plan, tally, next, start))
    });
    join_all(lanes).await;
    let report = tally.borrow().report(start.elapsed().as_secs_f64());
    report
}

/// Sends one request after the other, each when it is due.
async fn lane(plan: Rc<Plan>, tally: Rc<RefCell<Tally>>, next: Rc<Cell<u64>>, start: Instant) {
    let timeout = (plan.deadline + GRACE).duration();
    let client = awc::Client::builder()
        .disable_redirects()
        .timeout(timeout)
        .finish();
    loop {
        let num = next.get();
        if num >= plan.rate * plan.seconds {
            return;
        }
        next.set(num + 1);
        let due = start + plan.due(num);
        sleep_until(due).await;
        let seen = send(&plan, &client, num).await;
        tally
            .borrow_mut()
            .add(seen, due.elapsed().as_micros() as u64);
    }
}

async fn send(plan: &Plan, client: &awc::Client, num: u64) -> Seen {
    let to = plan.to[num as usize % plan.to.len()];
    let id = Uuid::now_v7().to_string();
    let request = client
        .post(format!("http://{to}/v1/requests/{}", plan.service))
        .insert_header(("bt-request-id", id.as_str()))
        .insert_header(("bt-org", plan.org.as_str()))
        .insert_header(("bt-deadline-ms", plan.deadline.0.to_string()))
        .insert_header(("bt-idempotent", plan.is_idempotent(num).to_string()))
        .insert_header(("bt-attempt", "1"));
    let mut answer = match request.send_body(plan.body.clone()).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(_)) => return Seen::Own(Outcome::NotRun),
        Err(_) => return Seen::Own(Outcome::Unknown),
    };
    let header = |name: &str| {
        let value = answer.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    if header("bt-request-id").is_some_and(|got| got != id) {
        return Seen::Foreign;
    }
    let outcome = header("bt-outcome").and_then(|o| o.parse().ok());
    if answer.body().limit(MAX_ANSWER).await.is_err() {
        return Seen::Own(Outcome::Unknown);
    }
    Seen::Own(outcome.unwrap_or(Outcome::Unknown))
}
