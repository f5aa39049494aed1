//! Generates load: simulated callers submit jobs, query them until they end, and cancel some.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::JobId;
use base::Millis;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use platform_fakes::FakeCaller;
use platform_fakes::Outcome;
use platform_fakes::DEADLY;
use platform_fakes::POISON;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::error::SoakError;
use crate::history::Call;
use crate::history::History;
use crate::history::Operation;
use crate::reborn::LongJobs;
use crate::site::Site;
use crate::Plan;

/// Queues that jobs are submitted to, as the fake store configures them.
const QUEUES: [&str; 4] = ["q0", "q1", "q2", ADVISED_QUEUE];

/// Queue whose tasks start only with a ticket of the adviser.
const ADVISED_QUEUE: &str = "qa";

/// Time from one submission to the next, in milliseconds, for a site of the default size.
const SUBMIT_INTERVAL_MS: std::ops::Range<u64> = 40..220;

/// Time between two queries of a job's state, in milliseconds.
const QUERY_INTERVAL_MS: std::ops::Range<u64> = 150..600;

/// Limit on the times that a submission is sent.
const MAX_SUBMISSIONS: u32 = 4;

/// Pause before a retry of a call, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 50..300;

/// Share of jobs that are cancelled, in thousandths.
const CANCELLED_PER_MILLE: u32 = 80;

/// Share of submissions without an answer that are not sent again, in thousandths.
const IMPATIENT_PER_MILLE: u32 = 200;

/// Share of jobs that are cancelled if no submission of them was answered, in thousandths.
const GIVEN_UP_PER_MILLE: u32 = 500;

/// Share of jobs whose runs all fail, in thousandths.
const POISONED_PER_MILLE: u32 = 30;

/// Share of jobs with a task that crashes its workers, in thousandths.
const DEADLY_PER_MILLE: u32 = 15;

/// Submits jobs until `end` and queries each until it has ended, at the latest until the site must have
/// settled.
/// The returned history has only calls and unfinished jobs.
pub async fn run(site: Rc<Site>, plan: &Plan, end: Millis) -> Result<History, SoakError> {
    let seed = plan.seed;
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x10ad);
    let mut deadly_rng = Pcg64::seed_from_u64(seed ^ 0xdead);
    let mut long_jobs = LongJobs::new(seed, end);
    let history = Rc::new(RefCell::new(History::default()));
    let callers = QUEUES.map(FakeCaller::new);
    let mut caller_tasks = Vec::new();
    let mut number = 0_u64;
    while site.now() < end {
        let id = format!("{:08x}{number:08x}", seed as u32);
        let id: JobId = id.parse().expect("sixteen hexadecimal digits");
        number += 1;
        // A crash by a task is no planned work.
        let deadly = deadly_rng.random_range(0..1_000) < DEADLY_PER_MILLE && !plan.planned;
        let mut submission = job(&mut rng, deadly);
        if plan.reborn {
            long_jobs.change(&mut submission, site.now());
        }
        let queue = queue(rng.random_range(0..QUEUES.len()), number, site.scale());
        site.register(&id, &submission, QUEUES[queue] == ADVISED_QUEUE);
        let job_caller = JobCaller {
            site: site.clone(),
            history: history.clone(),
            caller: callers[queue].clone(),
            rng: Pcg64::seed_from_u64(rng.random()),
            id,
            submission,
            end,
        };
        caller_tasks.push(actix_rt::spawn(job_caller.run()));
        site.sleep(Millis(rng.random_range(SUBMIT_INTERVAL_MS) / site.scale()))
            .await;
    }
    for caller_task in caller_tasks {
        caller_task.await.map_err(SoakError::task)?;
    }
    Ok(Rc::try_unwrap(history).map_or_else(|s| s.borrow().clone(), RefCell::into_inner))
}

/// Number of the queue of a job for which `drawn` was drawn. The adviser answers one call at a time on a site of
/// any size, so on a large one only one job in `scale` of those that would need it does.
fn queue(drawn: usize, number: u64, scale: u64) -> usize {
    match QUEUES[drawn] == ADVISED_QUEUE && number % scale != 0 {
        true => number as usize % (QUEUES.len() - 1),
        false => drawn,
    }
}

fn step(rng: &mut Pcg64, count: u32, accels: u64, duration_ms: std::ops::Range<u64>) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu: 1_000,
            memory: 500,
            accels,
        },
        estimate: Millis(rng.random_range(duration_ms)),
        ..StepSpec::default()
    }
}

/// Random job: independent tasks, a gang, long tasks with checkpoints, or two dependent steps. Its first
/// task crashes its workers if it is `deadly`.
fn job(rng: &mut Pcg64, deadly: bool) -> Submission {
    let (count, accels) = (rng.random_range(1..5), rng.random_range(1..5));
    let mut steps = vec![step(rng, count, 1, 100..500)];
    match rng.random_range(0..10) {
        0..4 => {}
        4..6 => {
            steps[0] = step(rng, count + 1, accels, 300..900);
            steps[0].gang = true;
            steps[0].checkpoints = rng.random_bool(0.5);
        }
        6..8 => {
            steps[0] = step(rng, count, accels, 700..2_500);
            steps[0].checkpoints = true;
        }
        _ => {
            let mut second = step(rng, count, 2, 100..800);
            second.after = vec![0];
            steps.push(second);
        }
    }
    let poison = rng.random_range(0..1_000) < POISONED_PER_MILLE;
    let spec_text = match (deadly, poison) {
        (true, _) => DEADLY,
        (false, true) => POISON,
        (false, false) => "work",
    };
    Submission {
        spec: format!("{spec_text} {}", rng.random_range(0..1_000)),
        steps,
        schedule: None,
    }
}

/// A caller that submits and follows one job.
struct JobCaller {
    site: Rc<Site>,
    history: Rc<RefCell<History>>,
    caller: FakeCaller,
    rng: Pcg64,
    id: JobId,
    submission: Submission,
    end: Millis,
}

impl JobCaller {
    async fn run(mut self) {
        let Some(accepted) = self.submit().await else {
            return;
        };
        let cancels = self.rng.random_range(0..1_000)
            < match accepted {
                true => CANCELLED_PER_MILLE,
                false => GIVEN_UP_PER_MILLE,
            };
        if cancels {
            self.pause(0..800).await;
            self.cancel().await;
        }
        while self.site.now() < self.site.settled_by(self.end) {
            self.pause(QUERY_INTERVAL_MS).await;
            let outcome = self.call(Operation::Query).await;
            if matches!(outcome, Outcome::State(phase) if phase.is_final()) {
                return;
            }
            if outcome == Outcome::NoJob && (cancels || !accepted) {
                return;
            }
        }
        if accepted {
            self.history.borrow_mut().unfinished.insert(self.id.clone());
        }
    }

    async fn pause(&mut self, millis: std::ops::Range<u64>) {
        let span = Millis(self.rng.random_range(millis));
        self.site.sleep(span).await;
    }

    /// Whether an acceptance was received; `None` if every attempt was refused or not sent.
    async fn submit(&mut self) -> Option<bool> {
        let mut refused = true;
        for _ in 0..MAX_SUBMISSIONS {
            match self.call(Operation::Submit).await {
                Outcome::Done => return Some(true),
                Outcome::Refused(retry_after) => {
                    if self.rng.random_bool(0.5) {
                        break;
                    }
                    let retry_after = retry_after.min(Duration::from_secs(2));
                    self.site
                        .sleep(Millis(retry_after.as_millis() as u64))
                        .await;
                }
                Outcome::NotConnected => self.pause(RETRY_PAUSE_MS).await,
                _ => {
                    refused = false;
                    if self.rng.random_range(0..1_000) < IMPATIENT_PER_MILLE {
                        break;
                    }
                    self.pause(RETRY_PAUSE_MS).await;
                }
            }
        }
        (!refused).then_some(false)
    }

    /// Requests the cancellation until it is acknowledged, the job is unknown, or time is up.
    async fn cancel(&mut self) {
        while self.site.now() < self.site.settled_by(self.end) {
            match self.call(Operation::Cancel).await {
                Outcome::Done | Outcome::NoJob => return,
                _ => self.pause(RETRY_PAUSE_MS).await,
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
