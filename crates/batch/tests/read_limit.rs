//! Pauses of reads at the store's limit.

use base::Millis;
use batch::ReadLimit;

#[test]
fn refusals_after_a_pause_double_it_up_to_a_limit() {
    let mut limit = ReadLimit::default();
    let mut now = Millis(5_000);
    assert!(!limit.is_paused(now));
    let mut pauses = Vec::new();
    for _ in 0..5 {
        limit.refuse(now);
        let begun = now;
        while limit.is_paused(now) {
            limit.refuse(now);
            now += Millis(1);
        }
        pauses.push(now.since(begun).0);
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000]);
}

#[test]
fn a_pause_is_short_again_after_reads_were_answered_as_long_as_the_last_one() {
    let mut limit = ReadLimit::default();
    limit.refuse(Millis(1_000));
    limit.refuse(Millis(1_250));
    limit.answer(Millis(1_800));
    limit.refuse(Millis(1_900));
    assert!(limit.is_paused(Millis(2_899)), "forgotten too early");
    limit.answer(Millis(3_900));
    limit.refuse(Millis(4_000));
    assert!(!limit.is_paused(Millis(4_250)), "not forgotten");
}
