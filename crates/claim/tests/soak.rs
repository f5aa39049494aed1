//! Random runs with fixed seeds; the example makes longer ones.

mod cases;
mod model;

use yare::parameterized;

const STEPS: usize = 20_000;

#[parameterized(
    numbered_timed = { 0 },
    unnumbered_timed = { 1 },
    numbered_opaque = { 2 },
    unnumbered_opaque = { 3 },
    numbered_timed_again = { 4 },
    unnumbered_opaque_again = { 7 },
    closed_id_at_a_new_owner = { 2323 },
)]
fn no_violation_found(seed: u64) {
    let limits = cases::limits(Default::default());
    let walk = model::walk(seed, STEPS, &limits);
    assert_eq!(walk.violation, None);
    assert!(walk.ran > 20, "too few requests ran: {walk:?}");
}
