//! Limits derived from the bounds of a deployment.

mod kit;

use base::Millis;
use batch::Bounds;
use yare::parameterized;

use kit::BOUNDS;

/// Time from the decision on a start until the worker has begun it, with a second attempt.
const START_TIME: Millis = Millis(600);

/// Guards against starts based on state that a bound no longer allows to be acted on.
#[parameterized(
    small = { 2_000, 2_000, 1_500 },
    large = { 3_000, 3_000, 1_500 },
    slow_heartbeat = { 2_000, 3_000, 3_000 },
)]
fn a_start_depends_on_state_within_its_bounds(drain: u64, config_apply: u64, heartbeat: u64) {
    let bounds = Bounds {
        drain: Millis(drain),
        config_apply: Millis(config_apply),
        heartbeat: Millis(heartbeat),
        ..BOUNDS
    };
    let times = bounds.derive();
    let ages = times.start_ages;
    assert!(ages.workers + START_TIME <= bounds.drain);
    assert!(ages.documents + START_TIME <= bounds.evacuate);
    assert!(ages.requests + START_TIME <= bounds.cancel);
    // While the store answers at once, nothing is held back.
    let workers = times.worker_wait + times.gather_time + times.worker_wait;
    assert!(workers < ages.workers, "{workers}");
    let watched = times.watch_wait + times.watch_wait;
    assert!(watched < ages.documents.min(ages.requests));
    assert!(watched < bounds.config_apply);
}
