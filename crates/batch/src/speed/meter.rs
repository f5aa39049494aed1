//! Rate of progress of one run, from the percent in successive reports.
//!
//! Only differences count, so that a run that continues from saved progress is measured like any
//! other, and only those on the worker's own clock, so that late reports do no harm. Readings that
//! no honest run can show start the measurement anew.

use base::Millis;

/// Span of progress after which the measurement moves on. A rate comes from the last one or two
/// spans, so a worker that changes its speed shows it after this time.
const SPAN: u64 = 1_500;

/// Readings from this percent on are not used: a run may stand there until it ends.
const LAST_PERCENT: u32 = 98;

/// Least progress, in percent, and least time for a rate.
const MIN_PROGRESS: u32 = 4;
const MIN_TIME: u64 = 250;

/// Time after which also a smaller progress gives a rate.
const SLOW_TIME: u64 = 2_000;

/// Variance of a difference of two readings in whole percent.
const ROUNDING: f64 = 1.0 / 6.0;

/// Progress that a reading below one percent stands for.
const HALF_PERCENT: f64 = 0.5;

/// Difference of logarithms from which a rate has changed, and from which a rise is not believed.
const CHANGE: f64 = 0.25;
const JUMP: f64 = 0.8;

/// Standard deviations by which a change must exceed the rounding.
const CLEAR: f64 = 3.0;

/// Time for which a run that has not begun to progress is waited for: for the other members of its
/// gang, or for saved progress to be restored.
const BEGIN_TIME: u64 = 4_000;

/// Most that the worker's clock and the coordinator's may differ between two readings: a share of
/// the span, one in so many, and the age of a response.
const CLOCK_SHARE: u64 = 20;
const CLOCK_SLACK: u64 = 700;

/// Number of readings that no honest run can show from which a run is not measured any more.
const MAX_FAULTS: u8 = 2;

/// Uncertainty of when a run ended, in milliseconds.
const END_TIME: f64 = 40.0;

/// A reading of a run's progress.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    percent: u32,
    clock: u64,
    now: Millis,
}

/// A measured rate of progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Logarithm of the rate in percent per millisecond.
    pub log: f64,
    /// Variance of the logarithm that comes from the measurement.
    pub variance: f64,
}

/// Measures the rate of progress of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// The reading from which the rate is taken, and the one that follows it in that role.
    from: Option<Reading>,
    next: Option<Reading>,
    last: Option<Reading>,
    /// Reading of the worker's clock and percent at first.
    first: Option<Reading>,
    rate: Option<Rate>,
    faults: u8,
    changed: bool,
}

impl Meter {
    /// Records that a run without saved progress began at this reading of the worker's clock.
    pub fn begin(&mut self, clock: u64, now: Millis) {
        if self.last.is_none() {
            self.restart(Reading {
                percent: 0,
                clock,
                now,
            });
        }
    }

    /// Adds a reading of the percent and of the worker's clock, which arrived at `now`. Returns
    /// whether the rate is a new one.
    pub fn read(&mut self, percent: u32, clock: u64, now: Millis) -> bool {
        let reading = Reading {
            percent,
            clock,
            now,
        };
        let (Some(last), Some(from)) = (self.last, self.from) else {
            self.restart(reading);
            return false;
        };
        if clock <= last.clock {
            if clock + CLOCK_SLACK < last.clock {
                self.fault(reading);
            }
            return false;
        }
        if percent < last.percent || clocks_differ(&last, &reading) {
            self.fault(reading);
            return false;
        }
        if percent >= LAST_PERCENT || self.faults >= MAX_FAULTS {
            return false;
        }
        let begins = self
            .first
            .is_some_and(|first| first.percent == percent && clock - first.clock < BEGIN_TIME);
        if begins {
            self.restart(reading);
            return false;
        }
        let step = step_rate(&last, &reading);
        if let (Some(before), Some(step)) = (self.rate, step) {
            let change = step.log - before.log;
            let clear = change * change > CLEAR * CLEAR * (step.variance + before.variance);
            if clear && change > JUMP {
                self.fault(reading);
                return false;
            }
            if clear && change.abs() > CHANGE {
                self.restart(last);
                self.rate = Some(step);
                self.changed = true;
            }
        }
        let from = self.from.unwrap_or(from);
        self.last = Some(reading);
        match self.next {
            Some(next) if clock - next.clock >= SPAN => {
                self.from = Some(next);
                self.next = Some(reading);
            }
            None if clock - from.clock >= SPAN => self.next = Some(reading),
            _ => {}
        }
        let found = rate(&from, &reading);
        self.rate = found.or(self.rate);
        found.is_some()
    }

    /// Adds the end of a run that has succeeded. Returns whether the rate is a new one.
    pub fn finish(&mut self, clock: u64) -> bool {
        let Some(from) = self
            .from
            .filter(|f| f.clock < clock && f.percent < LAST_PERCENT)
        else {
            return false;
        };
        if self.faults > 0 || self.rate.is_some() {
            return false;
        }
        let span = (clock - from.clock) as f64;
        let late = END_TIME / span;
        let progress = f64::from(100 - from.percent);
        self.rate = Some(Rate {
            log: (progress / span).ln(),
            variance: ROUNDING / (progress * progress) + late * late,
        });
        true
    }

    /// The latest rate.
    pub fn rate(&self) -> Option<Rate> {
        self.rate.filter(|_| self.faults < MAX_FAULTS)
    }

    /// Whether the run has changed its own rate since the last call, which only its worker can
    /// cause.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Expected time until the run ends, from its rate.
    pub fn time_left(&self, percent: u32) -> Option<Millis> {
        let rate = self.rate()?;
        let left = f64::from(100u32.saturating_sub(percent));
        Some(Millis((left / rate.log.exp()) as u64))
    }

    fn restart(&mut self, reading: Reading) {
        self.first.get_or_insert(reading);
        self.from = Some(reading);
        self.next = None;
        self.last = Some(reading);
    }

    fn fault(&mut self, reading: Reading) {
        self.faults = self.faults.saturating_add(1);
        self.rate = None;
        self.restart(reading);
    }
}

fn clocks_differ(last: &Reading, reading: &Reading) -> bool {
    let own = reading.now.since(last.now).0;
    let its = reading.clock - last.clock;
    own.abs_diff(its) > its / CLOCK_SHARE + CLOCK_SLACK
}

/// The rate between two readings, if there is enough progress or time between them.
fn rate(from: &Reading, to: &Reading) -> Option<Rate> {
    let span = to.clock.saturating_sub(from.clock);
    let progress = to.percent.saturating_sub(from.percent);
    let enough = progress >= MIN_PROGRESS || span >= SLOW_TIME;
    step_rate(from, to).filter(|_| enough)
}

/// The rate between two readings, however uncertain.
fn step_rate(from: &Reading, to: &Reading) -> Option<Rate> {
    let span = to.clock.saturating_sub(from.clock);
    let progress = to.percent.saturating_sub(from.percent);
    let progress = f64::from(progress).max(HALF_PERCENT);
    (span >= MIN_TIME).then(|| Rate {
        log: (progress / span as f64).ln(),
        variance: ROUNDING / (progress * progress),
    })
}
