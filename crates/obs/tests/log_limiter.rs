//! Rate limit of repeated log lines.

use base::Millis;
use obs::LogLimiter;

#[test]
fn allows_one_line_per_second_and_counts_suppressed_lines() {
    let limiter = LogLimiter::default();
    let written = (0..250).filter_map(|turn| limiter.admit(Millis(5_000 + 10 * turn)));
    assert_eq!(written.collect::<Vec<u64>>(), [0, 99, 99]);
}
