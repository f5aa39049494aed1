//! Repeated lines are gathered.

use base::Millis;
use obs::Gather;

#[test]
fn a_kind_writes_one_line_a_second_with_the_number_held_back() {
    let gather = Gather::default();
    let written = (0..250).filter_map(|turn| gather.pass(Millis(5_000 + 10 * turn)));
    assert_eq!(written.collect::<Vec<u64>>(), [0, 99, 99]);
}
