//! Random operations from fixed seeds, with all invariants checked after each step.

mod world;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use world::Op;
use world::World;
use yare::parameterized;

const STEPS: usize = 12_000;

#[parameterized(
    one = { 1 },
    two = { 2 },
    three = { 3 },
    four = { 4 },
)]
fn invariants_hold(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new();
    for step in 0..STEPS {
        let op = Op(rng.random(), rng.random(), rng.random());
        if let Some(failure) = world.run(op) {
            panic!(
                "step {step}: {failure}; the soak example with --seed {seed} lists the operations"
            );
        }
    }
}
