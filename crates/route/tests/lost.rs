//! The limit on sends of a request under which connections to upstreams break.

use base::Millis;
use base::RequestId;
use base::WorkerId;
use route::LostSends;

fn id(num: usize) -> RequestId {
    format!("d0~r{num}").parse().expect("a request id")
}

fn upstream(num: usize) -> WorkerId {
    format!("w{num}").parse().expect("a worker id")
}

/// Guards against a request that its caller sends again and again, each time to other upstreams, which
/// crash under it.
#[test]
fn a_request_that_crashes_upstreams_reaches_few_of_them() {
    let mut lost = LostSends::default();
    let mut crashed = 0;
    // The caller asks every 200 ms for a minute.
    for now in (0..60_000).step_by(200).map(Millis) {
        if lost.pause(&id(1), now).is_none() {
            lost.record(&id(1), &upstream(crashed), now);
            crashed += 1;
        }
    }
    assert_eq!(crashed, 4);
}

#[test]
fn one_broken_connection_holds_nothing_back() {
    let mut lost = LostSends::default();
    for _ in 0..3 {
        lost.record(&id(1), &upstream(1), Millis(0));
        assert_eq!(lost.pause(&id(1), Millis(0)), None);
    }
    lost.record(&id(1), &upstream(2), Millis(0));
    assert!(lost.pause(&id(1), Millis(4_999)).is_some());
    assert_eq!(lost.pause(&id(1), Millis(5_000)), None);
    assert_eq!(lost.pause(&id(2), Millis(0)), None);
}

#[test]
fn an_answer_clears_a_request() {
    let mut lost = LostSends::default();
    lost.record(&id(1), &upstream(1), Millis(0));
    lost.record(&id(1), &upstream(2), Millis(0));
    lost.forget(&id(1));
    assert_eq!(lost.pause(&id(1), Millis(0)), None);
}

/// Guards against a memory that callers with ever new ids can fill.
#[test]
fn the_number_of_requests_remembered_is_bounded() {
    let mut lost = LostSends::default();
    for num in 0..10_000 {
        let now = Millis(num as u64);
        lost.record(&id(num), &upstream(1), now);
        lost.record(&id(num), &upstream(2), now);
    }
    let now = Millis(10_000);
    let held = (0..10_000).filter(|num| lost.pause(&id(*num), now).is_some());
    assert!(held.count() <= 4_096);
    assert!(lost.pause(&id(9_999), now).is_some());
}
