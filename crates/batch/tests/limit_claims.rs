//! Room under an organisation's limit that is kept for a step which cannot start keeps no other work of the
//! organisation waiting beside free workers.

mod kit;

use base::Millis;
use batch::StepSpec;

use kit::idle::IdleWatch;
use kit::job;
use kit::limits::limited;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// Guards against a claim that lasts for as long as its gang waits for a long task of its organisation.
#[test]
fn small_work_does_not_wait_for_a_gang_that_a_limit_holds_back() {
    let mut site = Site::new(24, 7, Faults::default());
    site.scheduler.configure(&limited(2, 60));
    site.run(SECOND);
    site.submit("a", job(1, vec![step(5, 8, Millis(60_000))], site.now));
    site.run(SECOND);
    site.submit("b", job(1, vec![gang(4, 8, Millis(5_000))], site.now));
    site.run(SECOND);
    let id = site.submit("c", job(2, vec![step(4, 1, Millis(5_000))], site.now));
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(10_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// Guards against a claim for work that no worker can run.
#[test]
fn small_work_does_not_wait_for_an_urgent_step_that_no_worker_can_run() {
    let mut site = Site::new(24, 7, Faults::default());
    site.scheduler.configure(&limited(2, 16));
    site.run(SECOND);
    let odd = StepSpec {
        label: Some("none".to_string()),
        ..step(2, 8, Millis(5_000))
    };
    site.submit("b", job(0, vec![odd], site.now));
    site.run(SECOND);
    let id = site.submit("c", job(2, vec![step(4, 1, Millis(5_000))], site.now));
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(30_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}
