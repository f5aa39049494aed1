//! Workers as the placement functions take them.

use base::Millis;
use batch::place::Candidate;
use batch::place::Limits;
use batch::preempt::VictimKind;
use batch::speed::Speed;
use batch::suit::SpeedNeed;
use batch::Resources;

use super::pool;

/// Capacity of each worker.
pub const WHOLE: Resources = Resources {
    cpu: 32_000,
    memory: 64_000,
    accels: 8,
};

/// Empty workers, four on each rack.
pub fn empty_workers(count: usize) -> Vec<Candidate> {
    let candidate = |num: usize| Candidate {
        id: format!("w{num:02}").parse().expect("a worker id"),
        pool: pool(),
        labels: Vec::new().into(),
        rack: Some(format!("r{}", num / 4).into()),
        capacity: WHOLE,
        free: WHOLE,
        releasing: Resources::default(),
        excess: Resources::default(),
        running: Vec::new(),
        reserved_until: None,
        urgent_only: false,
        penalty: 0,
        paused: false,
        has_serving: false,
        speed: Speed::USUAL,
        known: true,
        runs: 0,
    };
    (0..count).map(candidate).collect()
}

/// Limits that allow every worker of the pool.
pub fn limits(pool: &base::ServiceId, on_worker: &'static [u32]) -> Limits<'static> {
    Limits {
        pool: Box::leak(Box::new(pool.clone())),
        avoid: &[],
        on_worker,
        remote: true,
        rack: None,
        duration: Millis(1_000),
        uses_headroom: false,
        paused: false,
        reserved: false,
        displaces: VictimKind::Ordinary,
        allowed: None,
        speed: SpeedNeed::default(),
    }
}
