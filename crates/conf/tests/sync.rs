//! Replication of settings: freshness and order of revisions, in random runs with fixed seeds
//! and in an exhaustive search of a small cluster, and with each safety mechanism disabled.

mod model;

use base::digest;
use base::Set;
use conf::sync::Guards;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use yare::parameterized;

use model::Move;
use model::World;

const SEEDS: u64 = 30;
const MOVES: usize = 4000;

fn pick(world: &World, rng: &mut Pcg32) -> Option<Move> {
    let (nodes, wires, reads) = world.sizes();
    let node = rng.random_range(0..nodes);
    let wire = (wires > 0).then(|| rng.random_range(0..wires));
    let read = (reads > 0).then(|| rng.random_range(0..reads));
    match rng.random_range(0..1000) {
        0..200 => Some(Move::Advance(rng.random_range(1..60))),
        200..210 => Some(Move::Advance(rng.random_range(60..900))),
        210..410 => Some(Move::Tick(node)),
        410..640 => wire.map(Move::Deliver),
        640..720 => wire.map(Move::Drop),
        720..735 => wire.filter(|_| wires < 100).map(Move::Repeat),
        735..845 => read.map(Move::Execute),
        845..925 => read.filter(|r| world.has_answer(*r)).map(Move::Answer),
        925..945 => read.map(Move::Fail),
        945..975 if !world.is_regressed() => Some(Move::Change(node)),
        975..985 if !world.is_regressed() => Some(Move::Restart(node)),
        985..992 if world.can_regress() => Some(Move::Regress),
        992..1000 => Some(Move::StepBack(node, rng.random_range(1000..5000))),
        _ => None,
    }
}

fn run(seed: u64, guards: Guards) -> Result<(), String> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut world = World::new(3, guards);
    for _ in 0..MOVES {
        if let Some(step) = pick(&world, &mut rng) {
            world.go(step)?;
        }
    }
    settle(&mut world)
}

/// Runs two seconds without faults, after which every daemon must have fresh settings.
fn settle(world: &mut World) -> Result<(), String> {
    for _ in 0..40 {
        world.go(Move::Advance(50))?;
        for node in 0..world.sizes().0 {
            world.go(Move::Tick(node))?;
        }
        while world.sizes().1 > 0 {
            world.go(Move::Deliver(0))?;
        }
        while world.sizes().2 > 0 {
            world.go(Move::Execute(0))?;
            world.go(Move::Answer(0))?;
        }
    }
    let settled = world.is_settled() && !world.is_regressed();
    settled.then_some(()).ok_or("not settled".to_string())
}

#[test]
fn random_runs_keep_the_invariants() {
    for seed in 0..SEEDS {
        assert_eq!(run(seed, Guards::default()), Ok(()), "seed {seed}");
    }
}

#[parameterized(
    echo = { Guards { echo: false, ..Guards::default() } },
    forward = { Guards { forward: false, ..Guards::default() } },
    from_call = { Guards { from_call: false, ..Guards::default() } },
    steps = { Guards { steps: false, ..Guards::default() } },
    version = { Guards { version: false, ..Guards::default() } },
)]
fn disabling_a_safety_mechanism_breaks_an_invariant(guards: Guards) {
    let broken = (0..SEEDS).find_map(|seed| run(seed, guards).err().map(|e| (seed, e)));
    let (seed, found) = broken.expect("a seed that breaks an invariant");
    println!("{guards:?}: seed {seed}: {found}");
    assert_ne!(found, "not settled");
}

/// Numbers of store reads and of messages in ten seconds without changes or faults, with a
/// tick every 100 ms.
fn quiet(count: usize) -> (u64, u64) {
    let mut world = World::new(count, Guards::default());
    settle(&mut world).unwrap();
    let (calls, notes) = (world.calls, world.notes);
    for _ in 0..100 {
        world.go(Move::Advance(100)).unwrap();
        for node in 0..count {
            world.go(Move::Tick(node)).unwrap();
            while world.sizes().1 > 0 {
                world.go(Move::Deliver(0)).unwrap();
            }
            while world.sizes().2 > 0 {
                world.go(Move::Execute(0)).unwrap();
                world.go(Move::Answer(0)).unwrap();
            }
        }
    }
    (world.calls - calls, world.notes - notes)
}

#[parameterized(one_daemon = { 1 }, eight_daemons = { 8 }, full_site = { 56 })]
fn an_idle_daemon_reads_the_store_at_most_twice_per_second(count: usize) {
    let (calls, notes) = quiet(count);
    println!("{count} daemons, 10 s: {calls} reads, {notes} messages");
    assert!(calls <= 20 * count as u64, "{calls} reads");
}

/// All next steps with the given numbers of changes and faults left, each with the number of
/// changes and faults that it uses up.
fn moves(world: &World, changes: u32, faults: u32) -> Vec<(Move, u32, u32)> {
    let (nodes, wires, reads) = world.sizes();
    let mut all = vec![(Move::Advance(500), 0, 0)];
    for node in 0..nodes {
        all.push((Move::Tick(node), 0, 0));
        if changes > 0 && !world.is_regressed() {
            all.push((Move::Change(node), 1, 0));
        }
        if faults > 0 {
            all.push((Move::StepBack(node, 1000), 0, 1));
        }
    }
    for wire in 0..wires {
        all.push((Move::Deliver(wire), 0, 0));
    }
    for read in 0..reads {
        let got = world.has_answer(read);
        let step = if got {
            Move::Answer(read)
        } else {
            Move::Execute(read)
        };
        all.push((step, 0, 0));
    }
    if faults > 0 && world.can_regress() {
        all.push((Move::Regress, 0, 1));
    }
    all
}

struct Search {
    seen: Set<u64>,
    depth: u32,
}

impl Search {
    fn visit(
        &mut self,
        world: &World,
        depth: u32,
        changes: u32,
        faults: u32,
    ) -> Result<(), String> {
        let state = format!("{world:?} {depth} {changes} {faults}");
        if depth == self.depth || !self.seen.insert(digest(state.as_bytes())) {
            return Ok(());
        }
        for (step, change, fault) in moves(world, changes, faults) {
            let mut next = world.clone();
            next.go(step).map_err(|e| format!("{step:?}: {e}"))?;
            let deeper = self.visit(&next, depth + 1, changes - change, faults - fault);
            deeper.map_err(|e| format!("{step:?}, {e}"))?;
        }
        Ok(())
    }
}

#[parameterized(two_daemons = { 2, 6 }, three_daemons = { 3, 5 })]
fn every_interleaving_keeps_the_invariants(count: usize, depth: u32) {
    let seen = Set::default();
    let mut search = Search { seen, depth };
    let mut world = World::new(count, Guards::default());
    settle(&mut world).unwrap();
    world.go(Move::Change(0)).unwrap();
    settle(&mut world).unwrap();
    assert_eq!(search.visit(&world, 0, 2, 1), Ok(()));
    println!(
        "{count} daemons, depth {depth}: {} states",
        search.seen.len()
    );
    assert!(search.seen.len() > 4_000, "{} states", search.seen.len());
}
