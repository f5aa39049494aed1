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

use model::Cluster;
use model::Step;

const SEEDS: u64 = 30;
const STEPS: usize = 4000;

fn random_step(cluster: &Cluster, rng: &mut Pcg32) -> Option<Step> {
    let (nodes, packets, reads) = cluster.counts();
    let node = rng.random_range(0..nodes);
    let packet = (packets > 0).then(|| rng.random_range(0..packets));
    let read = (reads > 0).then(|| rng.random_range(0..reads));
    match rng.random_range(0..1000) {
        0..200 => Some(Step::Advance(rng.random_range(1..60))),
        200..210 => Some(Step::Advance(rng.random_range(60..900))),
        210..410 => Some(Step::Tick(node)),
        410..640 => packet.map(Step::Deliver),
        640..720 => packet.map(Step::Drop),
        720..735 => packet.filter(|_| packets < 100).map(Step::Duplicate),
        735..845 => read.map(Step::Execute),
        845..925 => read.filter(|r| cluster.has_answer(*r)).map(Step::Answer),
        925..945 => read.map(Step::Fail),
        945..975 if !cluster.is_rolled_back() => Some(Step::Change(node)),
        975..985 if !cluster.is_rolled_back() => Some(Step::Restart(node)),
        985..992 if cluster.can_roll_back() => Some(Step::RollBack),
        992..1000 => Some(Step::ClockBack(node, rng.random_range(1000..5000))),
        _ => None,
    }
}

fn run(seed: u64, guards: Guards) -> Result<(), String> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut cluster = Cluster::new(3, guards);
    for _ in 0..STEPS {
        if let Some(step) = random_step(&cluster, &mut rng) {
            cluster.perform(step)?;
        }
    }
    settle(&mut cluster)
}

/// Runs two seconds without faults, after which every daemon must have fresh settings.
fn settle(cluster: &mut Cluster) -> Result<(), String> {
    for _ in 0..40 {
        cluster.perform(Step::Advance(50))?;
        for node in 0..cluster.counts().0 {
            cluster.perform(Step::Tick(node))?;
        }
        while cluster.counts().1 > 0 {
            cluster.perform(Step::Deliver(0))?;
        }
        while cluster.counts().2 > 0 {
            cluster.perform(Step::Execute(0))?;
            cluster.perform(Step::Answer(0))?;
        }
    }
    let settled = cluster.is_settled() && !cluster.is_rolled_back();
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
    monotonic = { Guards { monotonic: false, ..Guards::default() } },
    call_time = { Guards { call_time: false, ..Guards::default() } },
    clock_steps = { Guards { clock_steps: false, ..Guards::default() } },
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
fn idle_traffic(count: usize) -> (u64, u64) {
    let mut cluster = Cluster::new(count, Guards::default());
    settle(&mut cluster).unwrap();
    let (read_count, message_count) = (cluster.read_count, cluster.message_count);
    for _ in 0..100 {
        cluster.perform(Step::Advance(100)).unwrap();
        for node in 0..count {
            cluster.perform(Step::Tick(node)).unwrap();
            while cluster.counts().1 > 0 {
                cluster.perform(Step::Deliver(0)).unwrap();
            }
            while cluster.counts().2 > 0 {
                cluster.perform(Step::Execute(0)).unwrap();
                cluster.perform(Step::Answer(0)).unwrap();
            }
        }
    }
    (
        cluster.read_count - read_count,
        cluster.message_count - message_count,
    )
}

#[parameterized(one_daemon = { 1 }, eight_daemons = { 8 }, full_site = { 56 })]
fn an_idle_daemon_reads_the_store_at_most_twice_per_second(count: usize) {
    let (read_count, message_count) = idle_traffic(count);
    println!("{count} daemons, 10 s: {read_count} reads, {message_count} messages");
    assert!(read_count <= 20 * count as u64, "{read_count} reads");
}

/// All next steps with the given numbers of changes and faults left, each with the number of
/// changes and faults that it uses up.
fn next_steps(cluster: &Cluster, changes: u32, faults: u32) -> Vec<(Step, u32, u32)> {
    let (nodes, packets, reads) = cluster.counts();
    let mut all = vec![(Step::Advance(500), 0, 0)];
    for node in 0..nodes {
        all.push((Step::Tick(node), 0, 0));
        if changes > 0 && !cluster.is_rolled_back() {
            all.push((Step::Change(node), 1, 0));
        }
        if faults > 0 {
            all.push((Step::ClockBack(node, 1000), 0, 1));
        }
    }
    for packet in 0..packets {
        all.push((Step::Deliver(packet), 0, 0));
    }
    for read in 0..reads {
        let got = cluster.has_answer(read);
        let step = if got {
            Step::Answer(read)
        } else {
            Step::Execute(read)
        };
        all.push((step, 0, 0));
    }
    if faults > 0 && cluster.can_roll_back() {
        all.push((Step::RollBack, 0, 1));
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
        cluster: &Cluster,
        depth: u32,
        changes: u32,
        faults: u32,
    ) -> Result<(), String> {
        let state = format!("{cluster:?} {depth} {changes} {faults}");
        if depth == self.depth || !self.seen.insert(digest(state.as_bytes())) {
            return Ok(());
        }
        for (step, change, fault) in next_steps(cluster, changes, faults) {
            let mut next = cluster.clone();
            next.perform(step).map_err(|e| format!("{step:?}: {e}"))?;
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
    let mut cluster = Cluster::new(count, Guards::default());
    settle(&mut cluster).unwrap();
    cluster.perform(Step::Change(0)).unwrap();
    settle(&mut cluster).unwrap();
    assert_eq!(search.visit(&cluster, 0, 2, 1), Ok(()));
    println!(
        "{count} daemons, depth {depth}: {} states",
        search.seen.len()
    );
    assert!(search.seen.len() > 4_000, "{} states", search.seen.len());
}
