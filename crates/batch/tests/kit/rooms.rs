//! Workers as the placement functions take them.

use base::Millis;
use batch::place::Limits;
use batch::place::Room;
use batch::Resources;

use super::pool;

/// Capacity of each worker.
pub const WHOLE: Resources = Resources {
    cpu: 32_000,
    memory: 64_000,
    accels: 8,
};

/// Empty workers, four on each rack.
pub fn rooms(count: usize) -> Vec<Room> {
    let room = |num: usize| Room {
        id: format!("w{num:02}").parse().expect("a worker id"),
        pool: pool(),
        labels: Vec::new(),
        rack: Some(format!("r{}", num / 4)),
        capacity: WHOLE,
        free: WHOLE,
        coming: Resources::default(),
        running: Vec::new(),
        kept: None,
        urgent_only: false,
        slowness: 0,
        serves: false,
    };
    (0..count).map(room).collect()
}

/// Limits that allow every worker of the pool.
pub fn limits(pool: &base::ServiceId, on_worker: &'static [u32]) -> Limits<'static> {
    Limits {
        pool: Box::leak(Box::new(pool.clone())),
        avoid: &[],
        on_worker,
        remote: true,
        rack: None,
        lasts: Millis(1_000),
        urgent: false,
        allowed: None,
    }
}
