//! The scheduler on workers whose capacity changes while they run.

mod kit;

use base::Millis;
use batch::Resources;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// A worker's capacity with only `accels` accelerators.
fn shrunk(accels: u64) -> Resources {
    Resources {
        cpu: 32_000,
        memory: 64_000,
        accels,
    }
}

/// Guards against a start by the room that the plan saw: while its record was written, the capacity of
/// the worker shrank.
#[test]
fn nothing_starts_beyond_a_capacity_that_shrank_after_the_plan() {
    let mut site = Site::new(1, 1, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 8, SECOND)], site.now));
    site.scheduler.plan(site.now, site.now);
    let pending = site.scheduler.take_pending();
    assert_eq!(pending.records.len(), 1, "the start is planned");
    site.workers[0].capacity = shrunk(4);
    let entry = site.workers[0].entry(site.now);
    site.scheduler.update_worker(entry);
    let starts = site.scheduler.records_stored(pending, site.now);
    assert!(starts.is_empty(), "8 accelerators on a worker of 4");
}

/// Guards against room that is counted twice: of what a stopped run frees, the part by which the runs
/// exceed a shrunken capacity is not free.
#[test]
fn work_is_stopped_also_for_what_exceeds_a_shrunken_capacity() {
    let mut site = Site::new(1, 1, Faults::default());
    // Checkpoints make the stops cheap enough for the urgent job.
    let mut long = step(8, 1, Millis(60_000));
    long.checkpoints = true;
    site.submit("a", job(2, vec![long], site.now));
    site.run(SECOND);
    assert_eq!(site.workers[0].runs.len(), 8);
    site.workers[0].capacity = shrunk(4);
    site.run(SECOND);
    site.submit("urgent", job(0, vec![step(1, 2, SECOND)], site.now));
    site.scheduler.plan(site.now, site.now);
    let stopped = site.scheduler.stop_requests(site.now).len();
    assert_eq!(stopped, 6, "2 of 4 accelerators are left to 8 runs");
}
