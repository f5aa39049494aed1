//! Callers of a traffic, who submit, follow and cancel jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::JobId;
use base::Millis;
use batch::Submission;
use platform_fakes::FakeCaller;
use platform_fakes::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::Traffic;
use super::FINISH_TIME;
use super::WATCH_TIME;
use crate::error::SoakError;
use crate::history::Call;
use crate::history::History;
use crate::history::Operation;
use crate::history::Owned;
use crate::site::Site;

/// Time between two queries of a job's state, in milliseconds.
const QUERY_INTERVAL_MS: std::ops::Range<u64> = 1_000..3_000;

/// Time from the acceptance of a job until it is cancelled, in milliseconds.
const CANCEL_AFTER_MS: std::ops::Range<u64> = 0..8_000;

/// Pause before a retry of a call, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..600;

/// Longest pause that a refusal asks for and a caller keeps to.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Limit on the times that a call is made.
const MAX_CALLS: u32 = 5;

/// Time over which the questions about accepted jobs after the traffic are spread, in milliseconds.
const FINISH_SPREAD_MS: u64 = 3_000;

/// Submits jobs until `end` and follows them until waits are watched no more.
/// The returned history has only calls and jobs without an answer.
pub async fn run(
    site: Rc<Site>,
    traffic: &Traffic,
    seed: u64,
    end: Millis,
) -> Result<History, SoakError> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x7aff);
    let history = Rc::new(RefCell::new(History::default()));
    let (queues, orgs) = (traffic.queues(), traffic.organisations());
    let common = FakeCaller::new("");
    let mut callers = Vec::new();
    let start = site.now();
    for (number, (at, job)) in traffic.arrivals(&mut rng).into_iter().enumerate() {
        site.sleep((start + at).since(site.now())).await;
        let id = format!("{:04x}{number:012x}", seed as u16);
        let id: JobId = id.parse().expect("sixteen hexadecimal digits");
        let (queue, org) = (&queues[job.kind], &orgs[job.org]);
        let owned = Owned {
            queue: queue.name.clone(),
            org: org.name.clone(),
            attempts: queue.attempts,
        };
        site.register_owned(&id, &job.submission, job.work, owned);
        let caller = Caller {
            site: site.clone(),
            history: history.clone(),
            caller: common.for_queue(&queue.name).for_key(&org.key),
            rng: Pcg64::seed_from_u64(rng.random()),
            id,
            submission: job.submission,
            cancelled: job.cancelled,
            end,
        };
        callers.push(actix_rt::spawn(caller.run()));
    }
    for caller in callers {
        caller.await.map_err(SoakError::task)?;
    }
    Ok(Rc::try_unwrap(history).map_or_else(|s| s.borrow().clone(), RefCell::into_inner))
}

/// A caller that submits and follows one job.
struct Caller {
    site: Rc<Site>,
    history: Rc<RefCell<History>>,
    caller: FakeCaller,
    rng: Pcg64,
    id: JobId,
    submission: Submission,
    cancelled: bool,
    end: Millis,
}

impl Caller {
    async fn run(mut self) {
        if !self.submit().await {
            return;
        }
        let finish = self.end + FINISH_TIME;
        let cancel = self.pause_ms(CANCEL_AFTER_MS);
        let cancel_at = self.cancelled.then(|| self.site.now() + cancel);
        let mut ended = false;
        let mut asked = false;
        while !(ended && asked) && self.site.now() < finish + WATCH_TIME {
            if cancel_at.is_some_and(|at| at <= self.site.now()) {
                self.cancel().await;
                return;
            }
            let mut wait = self.pause_ms(QUERY_INTERVAL_MS);
            if ended {
                let spread = self.rng.random_range(0..FINISH_SPREAD_MS);
                wait = (finish + Millis(spread)).since(self.site.now());
            }
            self.site.sleep(wait).await;
            let after = self.site.now() >= finish;
            let outcome = match after && !asked {
                true => self.finish().await,
                false => self.call(Operation::Query).await,
            };
            asked |= after;
            ended |= matches!(outcome, Outcome::State(phase) if phase.is_final());
        }
    }

    /// Asks for the job until there is an answer, and notes if there is none.
    async fn finish(&mut self) -> Outcome {
        for _ in 0..MAX_CALLS {
            let outcome = self.call(Operation::Query).await;
            if matches!(outcome, Outcome::State(_) | Outcome::NoJob) {
                return outcome;
            }
            self.pause().await;
        }
        self.history.borrow_mut().unanswered.insert(self.id.clone());
        Outcome::TimedOut
    }

    fn pause_ms(&mut self, millis: std::ops::Range<u64>) -> Millis {
        Millis(self.rng.random_range(millis))
    }

    async fn pause(&mut self) {
        let span = self.pause_ms(RETRY_PAUSE_MS);
        self.site.sleep(span).await;
    }

    /// Whether an acceptance was received.
    async fn submit(&mut self) -> bool {
        for _ in 0..MAX_CALLS {
            match self.call(Operation::Submit).await {
                Outcome::Done => return true,
                Outcome::Refused(retry_after) => {
                    let retry_after = retry_after.min(MAX_RETRY_AFTER);
                    let span = Millis(retry_after.as_millis() as u64);
                    self.site.sleep(span).await;
                }
                _ => self.pause().await,
            }
        }
        false
    }

    /// Requests the cancellation until it is acknowledged, the job is unknown, or time is up.
    async fn cancel(&mut self) {
        while self.site.now() < self.end + FINISH_TIME {
            match self.call(Operation::Cancel).await {
                Outcome::Done | Outcome::NoJob => return,
                _ => self.pause().await,
            }
        }
    }

    /// Calls a random daemon and records the call.
    async fn call(&mut self, operation: Operation) -> Outcome {
        let daemon = self.rng.random_range(0..self.site.daemon_count());
        let to = self.site.caller_address(daemon);
        let sent = self.site.now();
        let outcome = match operation {
            Operation::Submit => self.caller.submit(to, &self.id, &self.submission).await,
            Operation::Query => self.caller.query(to, &self.id).await,
            Operation::Cancel => self.caller.cancel(to, &self.id).await,
        };
        self.history.borrow_mut().calls.push(Call {
            job: self.id.clone(),
            operation,
            daemon,
            sent,
            at: self.site.now(),
            outcome,
        });
        outcome
    }
}
