//! What a coordinator records about speeds. Guards against a new coordinator that places urgent gangs
//! as if workers were alike, and against one that believes a record it should not.

use base::Map;
use base::Millis;
use base::ServiceId;
use batch::speed::fit;
use batch::speed::worker_key;
use batch::speed::Evidence;
use batch::speed::Kind;
use batch::speed::Level;
use batch::speed::PoolFit;
use batch::speed::Rate;
use batch::speed::Sample;
use batch::speed::SpeedRecord;

const WALL: Millis = Millis(1_800_000_000_000);

/// Most bytes of a record for each worker and for all else.
const BYTES_EACH: usize = 10;
const BYTES_ALL: usize = 400;

/// A pool of which gangs have shown the speeds.
fn pool_fit() -> PoolFit {
    let mut pool = PoolFit::default();
    let mut workers = vec![Evidence::default(); 30];
    for (num, worker) in workers.iter_mut().enumerate() {
        for step in 0..4 {
            worker.add(Sample {
                step,
                run: step << 16 | num as u64,
                rate: Rate {
                    log: [-0.5, 0.0, 0.5][num % 3],
                    variance: 0.001,
                },
                kind: Kind::Member,
                at: Millis(1_000),
            });
        }
    }
    let mut all: Vec<&mut Evidence> = workers.iter_mut().collect();
    for _ in 0..5 {
        fit(&mut pool, &mut all, Millis(1_000));
    }
    assert!(pool.differ, "the pool's workers differ");
    pool
}

fn record(workers: usize) -> SpeedRecord {
    let pool: ServiceId = "pool".parse().expect("a pool");
    let mut pools = Map::default();
    pools.insert(pool, pool_fit());
    let levels = (0..workers).map(|num| {
        let id = format!("i-{num:010x}").parse().expect("a worker id");
        let level = Level {
            log: (num as f64 * 0.37).sin() * 0.5,
            deviation: 0.05,
        };
        (worker_key(&id, 1_000 + num as u64), level)
    });
    SpeedRecord {
        at: WALL,
        queues: [("q0".to_string(), (120, 300))].into_iter().collect(),
        pools,
        workers: levels.collect(),
    }
}

/// Levels and ratios are read as they were written, up to their rounding.
#[test]
fn a_record_is_read_as_it_was_written() {
    let written = record(350);
    let bytes = written.encode().expect("encoded");
    let read = SpeedRecord::decode(&bytes, WALL + Millis(3_000)).expect("a record");
    assert_eq!(read.queues, written.queues);
    assert_eq!(read.workers.len(), 350);
    for (key, level) in &written.workers {
        let found = read.workers[key];
        assert!(
            (found.log - level.log).abs() <= 0.011,
            "{found:?} {level:?}"
        );
    }
}

/// The budget of the store and of slow links: ten bytes a worker.
#[test]
fn a_record_is_small() {
    for workers in [350, 1_100, 5_000] {
        let bytes = record(workers).encode().expect("encoded").len();
        assert!(
            bytes <= workers * BYTES_EACH + BYTES_ALL,
            "{bytes} for {workers}"
        );
    }
}

/// A record that is cut, at any byte, is refused and does no harm.
#[test]
fn a_cut_record_is_refused() {
    let bytes = record(20).encode().expect("encoded");
    for length in 0..bytes.len() {
        assert!(
            SpeedRecord::decode(&bytes[..length], WALL).is_err(),
            "cut at {length}"
        );
    }
}

/// A record of another version, as after a change of the format back and forth.
#[test]
fn a_record_of_another_version_is_refused() {
    let mut bytes = record(20).encode().expect("encoded");
    let at = bytes
        .windows(7)
        .position(|w| w == b"version")
        .expect("the field")
        + 7;
    bytes[at] += 1;
    assert!(SpeedRecord::decode(&bytes, WALL).is_err());
}

/// A record that was left by a coordinator of long ago.
#[test]
fn a_stale_record_is_refused() {
    let bytes = record(20).encode().expect("encoded");
    assert!(SpeedRecord::decode(&bytes, WALL + Millis(3_600_000)).is_err());
}

/// A machine comes back as another worker, or a worker restarts under its id: it is unknown.
#[test]
fn another_incarnation_has_another_key() {
    let id = "i-1".parse().expect("a worker id");
    let other = "i-2".parse().expect("a worker id");
    assert_ne!(worker_key(&id, 1), worker_key(&id, 2));
    assert_ne!(worker_key(&id, 1), worker_key(&other, 1));
}
