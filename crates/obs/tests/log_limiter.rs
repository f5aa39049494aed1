//! Rate limit of repeated log lines.

use base::Millis;
use obs::LogLimiter;
use obs::SubjectLimiter;

#[test]
fn allows_one_line_per_second_and_counts_suppressed_lines() {
    let limiter = LogLimiter::default();
    let written = (0..250).filter_map(|turn| limiter.admit(Millis(5_000 + 10 * turn)));
    assert_eq!(written.collect::<Vec<u64>>(), [0, 99, 99]);
}

/// Guards against a log that is filled by one subject, or by very many.
#[test]
fn a_subject_gets_one_line_a_minute() {
    let limiter = SubjectLimiter::default();
    assert!(limiter.admit("a", Millis(0)) && limiter.admit("b", Millis(0)));
    assert!(!limiter.admit("a", Millis(59_999)) && limiter.admit("a", Millis(60_000)));
    let written = (0..10_000).filter(|num| limiter.admit(&num.to_string(), Millis(60_000)));
    assert!(written.count() <= 1_000);
    assert!(limiter.admit("c", Millis(120_000)));
}
