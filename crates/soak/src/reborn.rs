//! Workers that are started again at once under their ids and addresses, singly or all of a failure domain, serve what
//! was sent to their former lives, and are cut off soon after.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use std::rc::Rc;

use base::Millis;
use batch::Resources;
use batch::StepSpec;
use batch::Submission;
use platform_fakes::FaultRates;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::error::SoakError;
use crate::site::Site;
use crate::Plan;

/// Time from one restart to the next, in milliseconds, for a site of the default size.
const INTERVAL_MS: Range<u64> = 800..2_400;

/// Share of the restarts that hit a whole failure domain, in thousandths.
const DOMAIN_PER_MILLE: u32 = 250;

/// Time before a restart in which the worker holds orders, and shares of the orders that it holds, in thousandths. It
/// executes them seconds later.
const DELAYS_MS: [Range<u64>; 2] = [0..1, 500..1_500];
const DELAYED_PER_MILLE: [u32; 2] = [500, 900];

/// Time from then in which calls to the worker wait on their way, in milliseconds.
const HOLD_MS: [Range<u64>; 2] = [0..300, 0..1_500];

/// Time from a restart until what waited gets through, in milliseconds.
const THROUGH_MS: Range<u64> = 0..300;

/// Time from then until the worker is cut off, in milliseconds.
const CUT_AFTER_MS: [Range<u64>; 2] = [0..1_500, 1_000..3_000];

/// Duration of a cut, in milliseconds. Most outlast the workers' leases.
const CUT_MS: Range<u64> = 4_000..10_000;

/// Share of the jobs that are long, in thousandths.
const LONG_PER_MILLE: u32 = 150;

/// Duration of a long task, in milliseconds. It outlasts any lease, and takes what a job may take after the end of all
/// faults.
const LONG_MS: Range<u64> = 6_500..7_500;

/// Thousandths of a core that a long task needs: less than others, so that these find room under a cap.
const LONG_CPU: u64 = 100;

/// Time before the end of the load in which no long job is submitted.
const LAST_LONG: Millis = Millis(8_000);

/// Generator of long jobs.
pub struct LongJobs {
    rng: Pcg64,
    end: Millis,
}

impl LongJobs {
    /// Generator for a load until `end`.
    pub fn new(seed: u64, end: Millis) -> LongJobs {
        let rng = Pcg64::seed_from_u64(seed ^ 0x1096);
        LongJobs { rng, end }
    }

    /// Makes some jobs long.
    pub fn change(&mut self, submission: &mut Submission, now: Millis) {
        let drawn = self.rng.random_range(0..1_000);
        let step = StepSpec {
            count: self.rng.random_range(1..4),
            need: Resources {
                cpu: LONG_CPU,
                memory: 500,
                accels: 1,
            },
            estimate: Millis(self.rng.random_range(LONG_MS)),
            checkpoints: self.rng.random_bool(0.5),
            ..StepSpec::default()
        };
        if drawn < LONG_PER_MILLE && now + LAST_LONG < self.end {
            submission.steps = vec![step];
        }
    }
}

/// Lets orders outlive the workers' incarnations, and injects restarts until `end`, if the plan has any. All cuts are
/// over then.
pub async fn run(site: Rc<Site>, plan: &Plan, end: Millis) -> Result<(), SoakError> {
    if !plan.reborn {
        return Ok(());
    }
    let mut rng = Pcg64::seed_from_u64(plan.seed ^ 0x12eb);
    for handle in site.workers.borrow().iter() {
        handle.worker.set_outliving(true);
        handle.relay.set_persistent(true);
    }
    let busy = Rc::new(RefCell::new(BTreeSet::new()));
    let mut restarts = Vec::new();
    loop {
        let interval = rng.random_range(INTERVAL_MS) / site.scale();
        site.sleep(Millis(interval)).await;
        let restart = Restart::draw(&site, &busy, &mut rng, end);
        if site.now() >= end {
            break;
        }
        if !restart.workers.is_empty() {
            restarts.push(actix_rt::spawn(restart.inject()));
        }
    }
    for restart in restarts {
        restart.await.map_err(SoakError::task)?;
    }
    Ok(())
}

/// A time from one of these ranges.
fn draw(rng: &mut Pcg64, ranges: &[Range<u64>]) -> Millis {
    let range = &ranges[rng.random_range(0..ranges.len())];
    Millis(rng.random_range(range.clone()))
}

/// A restart of workers and the cut that follows.
struct Restart {
    site: Rc<Site>,
    busy: Rc<RefCell<BTreeSet<usize>>>,
    workers: Vec<usize>,
    delays: Millis,
    hold: Millis,
    delayed: u32,
    through: Millis,
    cut_after: Millis,
    cut: Millis,
    /// Whether the workers reach the store during the cut.
    renewing: bool,
    end: Millis,
}

impl Restart {
    fn draw(
        site: &Rc<Site>,
        busy: &Rc<RefCell<BTreeSet<usize>>>,
        rng: &mut Pcg64,
        end: Millis,
    ) -> Restart {
        let all = site.workers.borrow().len();
        let first = rng.random_range(0..all);
        let whole = rng.random_range(0..1_000) < DOMAIN_PER_MILLE;
        let workers = (0..all).filter(|num| *num == first || whole && num % 2 == first % 2);
        let free = workers.filter(|num| !busy.borrow().contains(num));
        Restart {
            site: site.clone(),
            busy: busy.clone(),
            workers: free.collect(),
            delays: draw(rng, &DELAYS_MS),
            hold: draw(rng, &HOLD_MS),
            delayed: DELAYED_PER_MILLE[rng.random_range(0..DELAYED_PER_MILLE.len())],
            through: Millis(rng.random_range(THROUGH_MS)),
            cut_after: draw(rng, &CUT_AFTER_MS),
            cut: Millis(rng.random_range(CUT_MS)),
            renewing: rng.random_bool(0.5),
            end,
        }
    }

    async fn inject(self) {
        self.busy.borrow_mut().extend(&self.workers);
        let now = self.site.now();
        let time = self.delays + self.hold + self.through + self.cut_after + self.cut;
        let last = (now + time).min(self.end);
        let description = format!(
            "workers {:?} delay {} per mille of the orders for {}, start again after {} more, are cut off after {} for {}",
            self.workers,
            self.delayed,
            self.delays,
            self.hold,
            self.through + self.cut_after,
            self.cut
        );
        self.site.record_fault(last, false, description);
        let rates = FaultRates {
            delayed: self.delayed,
            ..FaultRates::default()
        };
        for num in &self.workers {
            let workers = self.site.workers.borrow();
            workers[*num].worker.set_fault_rates(rates);
        }
        self.wait(self.delays).await;
        for num in &self.workers {
            self.site.workers.borrow()[*num]
                .relay
                .set_paused(true, false);
        }
        self.wait(self.hold).await;
        for num in &self.workers {
            let workers = self.site.workers.borrow();
            workers[*num].worker.crash();
            workers[*num].worker.restart();
        }
        self.wait(self.through).await;
        self.set_cut(false);
        self.wait(self.cut_after).await;
        self.set_cut(true);
        self.wait(self.cut).await;
        for num in &self.workers {
            // What was sent into the cut is lost.
            self.site.workers.borrow()[*num].relay.reset();
        }
        self.set_cut(false);
        self.busy
            .borrow_mut()
            .retain(|num| !self.workers.contains(num));
    }

    /// Waits for this time, but no longer than the faults last.
    async fn wait(&self, time: Millis) {
        let left = self.end.since(self.site.now());
        self.site.sleep(time.min(left)).await;
    }

    fn set_cut(&self, cut: bool) {
        for num in &self.workers {
            let mut workers = self.site.workers.borrow_mut();
            workers[*num].relay.set_paused(cut, cut);
            workers[*num].renewing = self.renewing || !cut;
        }
    }
}
