//! Requests that waited while the daemon stood still.

use base::Millis;
use batch::stall::StallDetector;
use batch::stall::BEAT_INTERVAL;

const START: Millis = Millis(1_000_000);

/// Failure: a paused daemon read a submission after its caller had given up and another daemon had
/// answered that there was no such job, and stored it as if it had just been sent.
#[test]
fn a_request_read_after_a_stall_may_have_waited() {
    let mut detector = StallDetector::new(START);
    let resumed = START + Millis(5_000);
    assert!(detector.beat(resumed));
    assert!(detector.beat(resumed + Millis(500)));
    assert!(!detector.beat(resumed + Millis(1_200)));
}

/// Failure: the detector ran before the request was read, and hid the stall from it.
#[test]
fn a_beat_does_not_hide_a_stall_from_the_next_request() {
    let mut detector = StallDetector::new(START);
    detector.beat(START + Millis(3_000));
    assert!(detector.beat(START + Millis(3_001)));
}

/// Failure: requests of a daemon that runs as usual counted as late, and refused callers who came again
/// were sent away.
#[test]
fn a_daemon_that_runs_is_not_stalled() {
    let mut detector = StallDetector::new(START);
    let beats = (1..40).map(|num| START + Millis(num * BEAT_INTERVAL.0 * 2));
    assert!(!beats.into_iter().any(|now| detector.beat(now)));
}
