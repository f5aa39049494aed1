//! Speeds of workers relative to their pool, learned from the progress of runs.
//!
//! Load pattern: one worker of a pool is nearly three times as fast as another, and nothing but the
//! progress of what runs there shows it. A gang is as slow as its slowest member, so an urgent one
//! on workers chosen by room alone is late more often than not.

use std::fmt;

use base::Millis;

mod estimate;
mod fit;
mod memory;
mod meter;

pub use estimate::Estimate;
pub use estimate::Evidence;
pub use estimate::Kind;
pub use estimate::Sample;
pub use fit::fit;
pub use fit::PoolFit;
pub use memory::worker_key;
pub use memory::Level;
pub use memory::QueueRatio;
pub use memory::SpeedRecord;
pub use meter::Meter;
pub use meter::Rate;

/// Speed of a worker in percent of what is usual in its pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Speed(pub u32);

impl Speed {
    /// The speed that is usual in a pool.
    pub const USUAL: Speed = Speed(100);

    /// From the logarithm of the relative speed.
    pub fn from_log(log: f64) -> Speed {
        Speed(((log.exp() * 100.0).round() as u32).clamp(MIN_SPEED, MAX_SPEED))
    }

    /// Time that work takes which takes `usual` at the usual speed.
    pub fn time(self, usual: Millis) -> Millis {
        Millis(usual.0.saturating_mul(100) / u64::from(self.0.max(1)))
    }

    /// Time at the usual speed of work that took `span` at this one.
    pub fn usual_time(self, span: Millis) -> Millis {
        Millis(span.0.saturating_mul(u64::from(self.0)) / 100)
    }

    /// Class of speeds that placement does not tell apart. Each is a tenth wider than the one below.
    pub fn class(self) -> i32 {
        ((f64::from(self.0) / 100.0).ln() / CLASS_WIDTH).round() as i32
    }
}

impl Default for Speed {
    fn default() -> Speed {
        Speed::USUAL
    }
}

impl fmt::Display for Speed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Limits on speeds, in percent.
const MIN_SPEED: u32 = 10;
const MAX_SPEED: u32 = 1_000;

/// Difference of the logarithms of two classes.
const CLASS_WIDTH: f64 = 0.1;
