//! A whole site whose workers differ in speed, from their reports to the placement of gangs. Guards
//! against urgent gangs that are late on slow workers although faster ones are idle, also after a
//! change of the coordinator.

mod kit;

use base::JobId;
use base::Millis;
use batch::StepSpec;
use batch::Submitted;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SPEEDS: [u64; 3] = [60, 100, 160];

/// Work of an urgent gang, and the time in which it must end.
const WORK: Millis = Millis(2_000);
const IN_TIME: Millis = Millis(3_300);

/// Number of workers of the site.
const COUNT: usize = 24;

fn site(speeds: &[u64], seed: u64) -> Site {
    let mut site = Site::new(COUNT, seed, Faults::default());
    for (num, worker) in site.workers.iter_mut().enumerate() {
        worker.speed = speeds[(num * 7 + seed as usize) % speeds.len()];
    }
    site
}

fn gang(count: u32, accels: u64, work: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, work)
    }
}

/// Submits a gang that has time to spare on all workers, so that they show their speed.
fn learn(site: &mut Site) {
    let all = gang(COUNT as u32 * 2, 4, Millis(3_000));
    site.submit(&format!("b{:x}", site.now.0), job(1, vec![all], site.now));
    site.run(Millis(7_000));
}

/// Runs urgent gangs of five one after the other, and returns how many end in time.
fn in_time(site: &mut Site, count: usize) -> usize {
    let mut ended = 0;
    for num in 0..count {
        let submitted = Submitted {
            objective: IN_TIME,
            ..job(0, vec![gang(5, 8, WORK)], site.now)
        };
        let id: JobId = site.submit(&format!("a{num:x}{:x}", site.now.0), submitted);
        site.run(IN_TIME);
        ended += usize::from(site.is_done(&id));
        for e in site.scheduler.take_log() {
            println!("{} {:?} {}", site.now, e.job, e.text);
        }
        site.run(Millis(1_500));
    }
    ended
}

/// Without any slow worker in the way, all gangs end in time once the speeds are known.
#[test]
fn urgent_gangs_end_in_time_once_speeds_are_known() {
    for seed in 0..5 {
        let mut site = site(&SPEEDS, seed);
        learn(&mut site);
        assert_eq!(in_time(&mut site, 4), 4, "seed {seed}");
    }
}

/// The coordinator is lost in the middle of learning; the next one goes on from the record.
#[test]
fn a_new_coordinator_knows_what_the_former_knew() {
    let mut site = site(&SPEEDS, 1);
    learn(&mut site);
    site.take_over();
    assert_eq!(in_time(&mut site, 2), 2);
}

/// Guards against a record that is dropped because an estimate is made when only some workers have answered
/// the new coordinator: these show no difference, and the others are then not looked up.
#[test]
fn a_record_survives_workers_that_answer_one_after_the_other() {
    let mut site = site(&[100, 100, 130], 1);
    learn(&mut site);
    learn(&mut site);
    let known = site.scheduler.known_speeds();
    assert!(known > 8, "{known} speeds are known");
    let late: Vec<usize> = (4..site.workers.len()).collect();
    for &num in &late {
        site.workers[num].reachable = false;
    }
    site.take_over();
    site.run(Millis(50));
    for &num in &late {
        site.workers[num].reachable = true;
    }
    site.run(Millis(150));
    let recalled = site.scheduler.known_speeds();
    assert!(recalled * 10 >= known * 9, "{recalled} of {known}");
}

/// The record is lost with the coordinator: the next one learns again, and nothing else goes wrong.
#[test]
fn a_lost_record_only_costs_learning() {
    let mut site = site(&SPEEDS, 2);
    site.keeps_speeds = false;
    learn(&mut site);
    site.take_over();
    site.run(Millis(1_000));
    learn(&mut site);
    assert_eq!(in_time(&mut site, 3), 3);
}

/// Nothing but urgent gangs comes: while too few workers are known to be fast enough, the unknown ones
/// are tried all the same.
#[test]
fn urgent_gangs_alone_find_the_fast_workers() {
    let mut site = site(&SPEEDS, 2);
    in_time(&mut site, 12);
    assert_eq!(in_time(&mut site, 3), 3);
}

/// Workers that are alike never count as different, and no speed is recorded.
#[test]
fn alike_workers_stay_alike() {
    let mut site = site(&[100], 3);
    learn(&mut site);
    assert_eq!(in_time(&mut site, 2), 2);
    assert_eq!(site.scheduler.known_speeds(), 0);
    assert!(site.scheduler.speed_record(site.now).is_none());
}

/// Workers restart, as after a replacement of half the pool: their speed is unknown until they have
/// run something.
#[test]
fn restarted_workers_are_unknown_again() {
    let mut site = site(&SPEEDS, 4);
    learn(&mut site);
    let before = site.scheduler.known_speeds();
    let now = site.now;
    for worker in &mut site.workers[..COUNT / 2] {
        worker.restart(now);
    }
    site.run(Millis(1_000));
    let after = site.scheduler.known_speeds();
    assert!(before >= COUNT * 9 / 10, "only {before} were known");
    assert_eq!(after, before - COUNT / 2);
}
