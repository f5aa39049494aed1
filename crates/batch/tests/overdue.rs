//! Work that has had nothing running for long is kept from free room by no preference, on a busy pool
//! either.

mod kit;

use base::JobId;
use base::Millis;
use batch::StepSpec;
use yare::parameterized;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

/// A site of which three of four workers are in use for as long as a test lasts.
fn busy_site() -> Site {
    let mut site = Site::new(48, 6, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(36, 8, Millis(60_000))], site.now));
    site.run(SECOND);
    site
}

fn lasting() -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(2, 1, Millis(600_000))
    }
}

/// Time until a task of a job first runs; none if none does in 10 s. If work `flows`, a small job comes
/// each half second.
fn time_to_start(site: &mut Site, id: &JobId, flows: bool) -> Option<Millis> {
    let submitted = site.now;
    for turn in 0..1_000 {
        if flows && turn % 50 == 0 {
            let small = job(1, vec![step(1, 1, Millis(100))], site.now);
            site.submit(&format!("{:016x}", 0xe000 + turn), small);
        }
        site.turn();
        let mut runs = site.workers.iter().flat_map(|w| w.runs.keys());
        if runs.any(|task| task.job == *id) {
            return Some(site.now.since(submitted));
        }
    }
    None
}

fn check_wait(waited: Option<Millis>) {
    assert!(
        waited.is_some_and(|w| w <= MAX_IDLE),
        "waited for {waited:?}"
    );
}

/// Guards against a task that lasts and is kept from room that a gang waits for: it is due at any time,
/// however busy the pool is, and while work keeps coming nothing ended its wait.
#[test]
fn a_task_that_lasts_does_not_wait_for_a_gang_while_work_comes() {
    let mut site = busy_site();
    let wide = StepSpec {
        gang: true,
        ..step(13, 8, Millis(5_000))
    };
    site.submit("b", job(1, vec![wide], site.now));
    site.run(SECOND);
    let id = site.submit("c", job(1, vec![lasting()], site.now));
    check_wait(time_to_start(&mut site, &id, true));
}

/// Guards against a wait for the rack of the data that grows with the length of the work: while the rack was
/// full, nothing ran beside a quarter of the pool without any work.
#[parameterized(
    of_a_task_that_lasts = { lasting(), true },
    of_a_long_task = { step(2, 1, Millis(20_000)), false },
)]
fn a_task_does_not_wait_for_long_for_the_rack_of_its_data(spec: StepSpec, flows: bool) {
    let mut site = busy_site();
    let full = site.workers.iter().find(|w| !w.runs.is_empty());
    let rack = full.map(|w| w.rack.clone()).expect("a worker in use");
    let on_rack = site.workers.iter().filter(|w| w.rack == rack);
    assert!(on_rack.into_iter().all(|w| w.used().accels == 8));
    let near = StepSpec {
        data_rack: Some(rack),
        ..spec
    };
    let id = site.submit("c", job(1, vec![near], site.now));
    check_wait(time_to_start(&mut site, &id, flows));
}
