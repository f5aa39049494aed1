//! Runs that end before the response to their start has been read.

mod kit;

use base::Millis;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Guards against a failed task that goes back to the same worker at once, because the time for which it had
/// waited for room counted again: its run had ended before its start was known to be accepted.
#[test]
fn a_task_that_waited_for_room_avoids_the_worker_on_which_it_failed() {
    let mut site = Site::new(2, 9, Faults::default());
    site.run(SECOND);
    let first = site.submit("a", job(1, vec![step(1, 8, Millis(5_000))], site.now));
    site.submit("b", job(1, vec![step(1, 8, Millis(6_500))], site.now));
    site.run(SECOND);
    let holds = |w: &&mut kit::worker::FakeWorker| w.runs.keys().any(|task| task.job == first);
    let bad = site.workers.iter_mut().find(holds);
    bad.expect("a worker that runs the first job").fails = true;
    site.faults.slow = 100;
    let id = site.submit("c", job(1, vec![step(1, 8, Millis(40))], site.now));
    site.run(Millis(8_000));
    assert!(site.is_done(&id), "shown as {:?}", site.phase_shown(&id));
}
