//! Workers that are kept for tasks which are suspected of crashing workers.

mod kit;

use base::Millis;
use batch::StepSpec;

use kit::idle::IdleWatch;
use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

/// Guards against room that is kept for suspects as long as they are suspected: with one on each of most
/// workers, nothing else ran there beside them.
#[test]
fn work_does_not_wait_for_long_beside_suspects() {
    let mut site = Site::new(16, 4, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(4, 8, Millis(90_000))], site.now));
    site.run(SECOND);
    let spread = StepSpec {
        per_worker: Some(1),
        ..step(12, 1, Millis(60_000))
    };
    let suspect = site.submit("b", job(1, vec![spread], site.now));
    for _ in 0..2 {
        site.run(Millis(7_000));
        for num in 0..site.workers.len() {
            let now = site.now;
            let worker = &mut site.workers[num];
            if worker.runs.keys().any(|task| task.job == suspect) {
                worker.restart(now);
            }
        }
    }
    site.run(Millis(3_000));
    let runs = |w: &kit::worker::FakeWorker| w.runs.keys().filter(|t| t.job == suspect).count();
    let running: usize = site.workers.iter().map(runs).sum();
    assert_eq!(running, 12, "{:?}", site.phase_shown(&suspect));
    let id = site.submit("c", job(2, vec![step(4, 1, Millis(5_000))], site.now));
    let mut watch = IdleWatch::default();
    watch.run(&mut site, &[id], Millis(20_000));
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}
