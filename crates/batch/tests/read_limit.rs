//! Reads in progress at the store's limit.

use base::Millis;
use batch::ReadLimit;

/// Reads in progress from which there is no limit.
const MAX: usize = 4;

/// Number of reads that may be sent now.
fn allowed(limit: &ReadLimit, now: Millis) -> usize {
    let mut limit = *limit;
    (0..100).take_while(|_| limit.begin(now)).count()
}

/// Time for which no read may be sent.
fn pause(limit: &ReadLimit, now: Millis) -> Millis {
    let end = (0..10_000).find(|later| allowed(limit, now + Millis(*later)) > 0);
    Millis(end.expect("no end of the pause"))
}

#[test]
fn refusals_after_a_pause_double_it_up_to_a_limit() {
    let mut limit = ReadLimit::default();
    let mut now = Millis(5_000);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        assert!(limit.begin(now));
        limit.refuse(now);
        limit.end();
        pauses.push(pause(&limit, now));
        now += pause(&limit, now);
    }
    assert_eq!(pauses, [250, 500, 1_000, 1_000].map(Millis));
}

#[test]
fn refusals_of_reads_in_progress_start_one_pause() {
    let mut limit = ReadLimit::default();
    let now = Millis(5_000);
    assert_eq!(allowed(&limit, now), 100);
    (0..3).for_each(|_| assert!(limit.begin(now)));
    limit.refuse(now);
    limit.refuse(now + Millis(100));
    limit.answer(now + Millis(100), MAX);
    (0..3).for_each(|_| limit.end());
    assert_eq!(pause(&limit, now), Millis(250));
}

#[test]
fn one_read_is_sent_after_a_pause_and_one_more_with_each_answer() {
    let mut limit = ReadLimit::default();
    assert!(limit.begin(Millis(1_000)));
    limit.refuse(Millis(1_000));
    limit.end();
    let now = Millis(1_250);
    let mut counts = Vec::new();
    for _ in 0..MAX - 1 {
        counts.push(allowed(&limit, now));
        assert!(limit.begin(now));
        assert_eq!(allowed(&limit, now), counts.len() - 1);
        limit.answer(now, MAX);
        limit.end();
    }
    assert_eq!(counts, [1, 2, 3]);
    assert_eq!(allowed(&limit, now), 100);
    assert!(limit.begin(now));
    limit.refuse(now);
    limit.end();
    assert_eq!(pause(&limit, now), Millis(250), "not forgotten");
}

#[test]
fn a_read_that_has_ended_is_no_longer_in_progress() {
    let mut limit = ReadLimit::default();
    assert!(limit.begin(Millis(1_000)));
    limit.refuse(Millis(1_000));
    limit.end();
    let now = Millis(1_250);
    assert!(limit.begin(now));
    assert_eq!(allowed(&limit, now), 0);
    limit.end();
    assert_eq!(allowed(&limit, now), 1);
}
