//! The scheduler on workers whose capacity changes while they run.

mod kit;

use base::Millis;
use batch::Resources;
use batch::RunNumber;
use batch::StepSpec;
use batch::TaskId;
use rand::RngExt;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::worker::FakeRun;
use kit::FRESH;

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
    site.scheduler.update_worker(entry, FRESH);
    let starts = site.scheduler.records_stored(pending, site.now);
    assert!(starts.is_empty(), "8 accelerators on a worker of 4");
}

/// The starts that are sent if the first worker's capacity shrinks to 4 accelerators after the plan.
fn starts_after_shrinking(workers: usize, planned: StepSpec) -> usize {
    let mut site = Site::new(workers, 1, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![planned], site.now));
    site.scheduler.plan(site.now, site.now);
    let pending = site.scheduler.take_pending();
    site.workers[0].capacity = shrunk(4);
    let entry = site.workers[0].entry(site.now);
    site.scheduler.update_worker(entry, FRESH);
    site.scheduler.records_stored(pending, site.now).len()
}

#[test]
fn only_starts_that_do_not_fit_any_more_are_taken_back() {
    assert_eq!(starts_after_shrinking(1, step(8, 1, SECOND)), 4);
}

#[test]
fn a_gang_is_taken_back_whole_if_the_room_of_one_member_is_gone() {
    let mut gang = step(3, 8, SECOND);
    gang.gang = true;
    assert_eq!(starts_after_shrinking(3, gang), 0);
}

/// Capacities shrink and grow under load, with hand-overs and an unreliable store; the site checks at
/// each start that the runs fit.
#[test]
fn starts_fit_while_capacities_change() {
    for seed in 0..40 {
        let faults = Faults {
            unanswered: 20,
            store: 600,
            ..Faults::default()
        };
        let mut site = Site::new(6, seed, faults);
        for round in 0..40 {
            let mut gang = step(1 + round % 4, 2, Millis(900));
            gang.gang = round % 3 == 0;
            gang.checkpoints = round % 2 == 0;
            let submitted = job(round % 3, vec![gang], site.now);
            site.submit(&format!("j{round}"), submitted);
            for _ in 0..2 {
                let num = site.rng.random_range(0..6);
                site.workers[num].capacity = shrunk(site.rng.random_range(0..=8));
                site.run(Millis(150));
            }
            if round % 13 == 12 {
                site.take_over();
            }
        }
        site.workers.iter_mut().for_each(|w| w.capacity = shrunk(8));
        site.run(Millis(20_000));
        for round in 0..40 {
            let id = format!("j{round}").parse().expect("a job id");
            assert!(site.is_done(&id), "seed {seed}: {id} has not ended");
        }
    }
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

/// Guards against a start beside a run that a worker began late, after it was given up: until it is
/// stopped, it occupies the worker.
#[test]
fn nothing_starts_beside_an_unwanted_run_that_fills_the_worker() {
    let mut site = Site::new(1, 1, Faults::default());
    let first = site.submit("a", job(1, vec![step(1, 8, SECOND)], site.now));
    site.run(Millis(3_000));
    assert!(site.is_done(&first));
    let task = TaskId {
        job: first,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let late = FakeRun {
        run: RunNumber(9),
        gang: None,
        started: site.now,
        work: Millis(20_000),
        need: shrunk(8),
        stopping: None,
        lasting: false,
        fails: false,
    };
    site.workers[0].runs.insert(task, late);
    site.run(Millis(150));
    let second = site.submit("b", job(1, vec![step(1, 8, SECOND)], site.now));
    // The site checks at each start that the runs fit.
    site.run(Millis(5_000));
    assert!(site.is_done(&second));
}
