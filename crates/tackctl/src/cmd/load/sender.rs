//! Sends the requests of a load run at their due times.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::ConnectError;
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
use crate::cmd::load::report::RequestResult;
use crate::cmd::load::report::Stats;

/// Time past a request's deadline after which the client stops waiting for the response.
const RESPONSE_GRACE: Millis = Millis(1000);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Parameters of a load run.
pub struct Plan {
    /// Callers' ports, used round-robin.
    pub targets: Vec<SocketAddr>,
    /// Service that the requests are for.
    pub service: ServiceId,
    /// Organisation that sends the requests.
    pub org: OrgId,
    /// Requests per second.
    pub rate: u64,
    /// Length of the run.
    pub seconds: u64,
    /// Limit of requests in progress.
    pub concurrency: usize,
    /// Percentage of non-idempotent requests.
    pub percent: u64,
    /// Body of each request.
    pub body: Vec<u8>,
    /// Deadline of each request.
    pub deadline: Millis,
}

impl Plan {
    /// When request number `num` is due, as time since the start of the run.
    fn due(&self, num: u64) -> Duration {
        Duration::from_nanos(num.saturating_mul(1_000_000_000) / self.rate)
    }

    /// Whether request number `num` is idempotent. Distributes the non-idempotent ones evenly.
    fn is_idempotent(&self, num: u64) -> bool {
        (num + 1) * self.percent / 100 == num * self.percent / 100
    }
}

/// Runs the plan with one task for each allowed concurrent request.
pub async fn run(plan: Rc<Plan>) -> Report {
    let stats = Rc::new(RefCell::new(Stats::new()));
    let next = Rc::new(Cell::new(0));
    let start = Instant::now();
    let senders = (0..plan.concurrency).map(|_| {
        let (plan, stats, next) = (plan.clone(), stats.clone(), next.clone());
        actix_rt::spawn(send_all(plan, stats, next, start))
    });
    join_all(senders).await;
    let report = stats.borrow().report(start.elapsed().as_secs_f64());
    report
}

/// Sends the next unsent request, when it is due, until none is left.
async fn send_all(plan: Rc<Plan>, stats: Rc<RefCell<Stats>>, next: Rc<Cell<u64>>, start: Instant) {
    let timeout = (plan.deadline + RESPONSE_GRACE).duration();
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
        let result = send(&plan, &client, num).await;
        stats
            .borrow_mut()
            .add(result, due.elapsed().as_micros() as u64);
    }
}

async fn send(plan: &Plan, client: &awc::Client, num: u64) -> RequestResult {
    let to = plan.targets[num as usize % plan.targets.len()];
    let id = Uuid::now_v7().to_string();
    let request = client
        .post(format!("http://{to}/v1/requests/{}", plan.service))
        .insert_header(("bt-request-id", id.as_str()))
        .insert_header(("bt-org", plan.org.as_str()))
        .insert_header(("bt-deadline-ms", plan.deadline.0.to_string()))
        .insert_header(("bt-idempotent", plan.is_idempotent(num).to_string()))
        .insert_header(("bt-attempt", "1"));
    let mut response = match request.send_body(plan.body.clone()).await {
        Ok(response) => response,
        // The connection ended in place of an answer, after the request was sent.
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
            return RequestResult::Ended(Outcome::Unknown)
        }
        Err(SendRequestError::Connect(_)) => return RequestResult::Ended(Outcome::NotRun),
        Err(_) => return RequestResult::Ended(Outcome::Unknown),
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    if header("bt-request-id").is_some_and(|got| got != id) {
        return RequestResult::Foreign;
    }
    let outcome = header("bt-outcome").and_then(|o| o.parse().ok());
    if response.body().limit(MAX_RESPONSE_BYTES).await.is_err() {
        return RequestResult::Ended(Outcome::Unknown);
    }
    RequestResult::Ended(outcome.unwrap_or(Outcome::Unknown))
}
