//! Time in milliseconds and its sources: the system clock or a manual clock for tests.

use std::cell::Cell;
use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::clock_gettime;
use nix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;

/// A point in time or a duration in milliseconds.
///
/// Points in time count from the Unix epoch. Addition and subtraction saturate.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The Unix epoch, or an empty duration.
    pub const ZERO: Millis = Millis(0);

    /// Later than any time that a clock shows.
    pub const MAX: Millis = Millis(u64::MAX);

    /// A duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs * 1000)
    }

    /// The time elapsed from `earlier` to `self`; zero if `earlier` is the later one.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The same duration as the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Millis) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    /// Parses `1500`, `1500ms`, `3s` or `1.5s`. Digits after the third decimal place are cut off.
    fn from_str(text: &str) -> Result<Millis, ParseIntError> {
        if let Some(num) = text.strip_suffix("ms") {
            return num.parse().map(Millis);
        }
        let Some(num) = text.strip_suffix('s') else {
            return text.parse().map(Millis);
        };
        match num.split_once('.') {
            Some((whole, part)) => {
                let whole: u64 = whole.parse()?;
                let thousandths: u64 = format!("{part:0<3.3}").parse()?;
                Ok(Millis(
                    whole.saturating_mul(1000).saturating_add(thousandths),
                ))
            }
            None => num.parse().map(Millis::from_secs),
        }
    }
}

/// Source of the current time.
#[derive(Clone, Debug)]
pub enum Clock {
    /// A clock that a test or a simulation moves.
    Manual(ManualClock),
    /// The clock of the operating system.
    System,
}

impl Clock {
    /// The current time. It never decreases: steps of the wall clock after the first call in
    /// this process have no effect.
    pub fn now(&self) -> Millis {
        match self {
            Clock::Manual(clock) => clock.now(),
            Clock::System => system_now(),
        }
    }

    /// The current wall-clock time, which may jump forwards or backwards.
    pub fn wall(&self) -> Millis {
        match self {
            Clock::Manual(clock) => clock.now(),
            Clock::System => Millis(wall_now()),
        }
    }
}

/// A clock that moves only by [`ManualClock::advance`]. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now: Rc<Cell<u64>>,
}

impl ManualClock {
    /// A clock set to `now`.
    pub fn new(now: Millis) -> ManualClock {
        ManualClock {
            now: Rc::new(Cell::new(now.0)),
        }
    }

    /// The time to which the clock is set.
    pub fn now(&self) -> Millis {
        Millis(self.now.get())
    }

    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.set(self.now.get() + span.0);
    }
}

/// The wall-clock time of the first call plus the time elapsed since then, so that later steps of the
/// wall clock have no effect. Time in which the VM is suspended counts: what was known before is as
/// old as others see it.
fn system_now() -> Millis {
    static START: OnceLock<(u64, u64)> = OnceLock::new();
    let (start, wall) = START.get_or_init(|| (since_boot(), wall_now()));
    Millis(wall + since_boot().saturating_sub(*start))
}

/// Milliseconds since the VM was started, including those in which it was suspended.
fn since_boot() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.map_or_else(|_| monotonic(), |t| t.as_millis() as u64)
}

/// Milliseconds since the first call, for kernels without a clock that counts suspensions.
fn monotonic() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

fn wall_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
