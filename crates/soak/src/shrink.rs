//! Changes the capacities of workers while they run, twice in a row at times.

use std::rc::Rc;

use base::Millis;
use batch::Resources;
use platform_fakes::CAPACITY;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::site::Site;

/// Time from one change to the next, in milliseconds, for a site of the default size.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 200..1_500;

/// Share of the workers that have their usual capacity after a change.
const USUAL_PER_MILLE: u32 = 400;

/// Shrinks and grows workers until `end`; then all have their usual capacity again.
pub async fn run(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x5117);
    while site.now() < end {
        let interval = rng.random_range(CHANGE_INTERVAL_MS) / site.scale();
        site.sleep(Millis(interval)).await;
        let num = rng.random_range(0..site.workers.borrow().len());
        let accels = match rng.random_range(0..1_000) < USUAL_PER_MILLE {
            true => CAPACITY.accels,
            false => rng.random_range(0..=CAPACITY.accels),
        };
        site.workers.borrow()[num].worker.set_capacity(Resources {
            accels,
            cpu: CAPACITY.cpu * accels.max(1) / CAPACITY.accels,
            ..CAPACITY
        });
    }
    for handle in site.workers.borrow().iter() {
        handle.worker.set_capacity(CAPACITY);
    }
}
