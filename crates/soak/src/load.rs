//! Callers: each submits a job, asks for it until it has ended, and some cancel.

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
use platform_fakes::POISON;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::log::Asked;
use crate::log::Call;
use crate::log::Log;
use crate::site::Site;

/// The queues.
const QUEUES: [&str; 4] = ["q0", "q1", "q2", ADVISED];

/// The queue whose steps an adviser decides about.
const ADVISED: &str = "qa";

/// Time between two jobs, in milliseconds, for a site of the usual size.
const GAP: std::ops::Range<u64> = 40..220;

/// Time between two questions for a job's state, in milliseconds.
const ASK: std::ops::Range<u64> = 150..600;

/// Times that a submission is sent.
const TRIES: u32 = 4;

/// Pause of a caller that got no answer, in milliseconds.
const AGAIN: std::ops::Range<u64> = 50..300;

/// Jobs of a thousand that are cancelled, and that can never be done.
const CANCELLED: u32 = 80;
const POISONED: u32 = 30;

/// Sends jobs until `end`, and asks for them until they have ended, at the latest at `last`.
pub async fn run(site: Rc<Site>, seed: u64, end: Millis, last: Millis) -> Log {
    let beat = actix_rt::spawn(site.clone().beat());
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x10ad);
    let seen = Rc::new(RefCell::new(Log::default()));
    let callers = QUEUES.map(FakeCaller::new);
    let mut drives = Vec::new();
    let mut number = 0_u64;
    while site.now() < end {
        let id = format!("{:08x}{number:08x}", seed as u32);
        let id: JobId = id.parse().expect("sixteen digits");
        number += 1;
        let work = job(&mut rng);
        let queue = rng.random_range(0..QUEUES.len());
        site.register(&id, &work, QUEUES[queue] == ADVISED);
        let drive = Drive {
            site: site.clone(),
            seen: seen.clone(),
            caller: callers[queue].clone(),
            rng: Pcg64::seed_from_u64(rng.random()),
            id,
            work,
            last,
        };
        drives.push(actix_rt::spawn(drive.run()));
        site.sleep(Millis(rng.random_range(GAP) / site.scale()))
            .await;
    }
    for drive in drives {
        drive.await.expect("a caller has panicked");
    }
    // Looks at the processes go on until the site is finished.
    drop(beat);
    Rc::try_unwrap(seen).map_or_else(|s| s.borrow().clone(), RefCell::into_inner)
}

fn step(rng: &mut Pcg64, count: u32, accels: u64, lasts: std::ops::Range<u64>) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu: 1_000,
            memory: 500,
            accels,
        },
        estimate: Millis(rng.random_range(lasts)),
        ..StepSpec::default()
    }
}

fn job(rng: &mut Pcg64) -> Submission {
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
    let poison = rng.random_range(0..1_000) < POISONED;
    let text = match poison {
        true => POISON,
        false => "work",
    };
    Submission {
        spec: format!("{text} {}", rng.random_range(0..1_000)),
        steps,
        schedule: None,
    }
}

/// One caller with one job.
struct Drive {
    site: Rc<Site>,
    seen: Rc<RefCell<Log>>,
    caller: FakeCaller,
    rng: Pcg64,
    id: JobId,
    work: Submission,
    last: Millis,
}

impl Drive {
    async fn run(mut self) {
        let Some(accepted) = self.submit().await else {
            return;
        };
        let cancels = self.rng.random_range(0..1_000) < CANCELLED;
        if cancels {
            self.pause(0..800).await;
            self.cancel().await;
        }
        while self.site.now() < self.last {
            self.pause(ASK).await;
            let told = self.call(Asked::Look).await;
            if matches!(told, Outcome::State(phase) if phase.is_final()) {
                return;
            }
            if told == Outcome::NoJob && (cancels || !accepted) {
                return;
            }
        }
        if accepted {
            self.seen.borrow_mut().unsettled.insert(self.id.clone());
        }
    }

    async fn pause(&mut self, millis: std::ops::Range<u64>) {
        let span = Millis(self.rng.random_range(millis));
        self.site.sleep(span).await;
    }

    /// Whether the job was accepted; `None` if every try was refused.
    async fn submit(&mut self) -> Option<bool> {
        let mut refused = true;
        for _ in 0..TRIES {
            match self.call(Asked::Submit).await {
                Outcome::Done => return Some(true),
                Outcome::Refused(after) => {
                    if self.rng.random_bool(0.5) {
                        break;
                    }
                    let after = after.min(Duration::from_secs(2));
                    self.site.sleep(Millis(after.as_millis() as u64)).await;
                }
                Outcome::NotConnected => self.pause(AGAIN).await,
                _ => {
                    refused = false;
                    self.pause(AGAIN).await;
                }
            }
        }
        (!refused).then_some(false)
    }

    async fn cancel(&mut self) {
        while self.site.now() < self.last {
            match self.call(Asked::Cancel).await {
                Outcome::Done | Outcome::NoJob => return,
                _ => self.pause(AGAIN).await,
            }
        }
    }

    async fn call(&mut self, asked: Asked) -> Outcome {
        let daemon = self.rng.random_range(0..self.site.size());
        let to = self.site.entry(daemon);
        let sent = self.site.now();
        let told = match asked {
            Asked::Submit => self.caller.submit(to, &self.id, &self.work).await,
            Asked::Look => self.caller.query(to, &self.id).await,
            Asked::Cancel => self.caller.cancel(to, &self.id).await,
        };
        self.seen.borrow_mut().calls.push(Call {
            job: self.id.clone(),
            asked,
            daemon,
            sent,
            at: self.site.now(),
            told,
        });
        told
    }
}
