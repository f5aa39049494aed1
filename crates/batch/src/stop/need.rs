//! Whether an urgent step needs a stop.

use base::Millis;

/// Input to [`decide`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// Whether a guarantee demands room now, whatever becomes of the step's own objective.
    pub pressing: bool,
    /// Time left until the step must start to meet its objective; `None` if that has passed.
    pub slack: Option<Millis>,
    /// Expected time until it can start without a stop; `None` if it never can.
    pub earliest: Option<Millis>,
}

/// What is done for an urgent step that finds no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Room is kept for it, as it is expected to start in time.
    Keep,
    /// It ends late all the same.
    Late,
    /// Runs are stopped.
    Stop,
}

/// Part of the slack within which a start is waited for, in percent. Durations are estimates: a run
/// that ends later than expected must leave time for a stop.
const WAIT_PERCENT: u64 = 50;

/// Decides whether runs are stopped for an urgent step that finds no room.
pub fn decide(need: &Need) -> Decision {
    if need.pressing {
        return Decision::Stop;
    }
    let Some(slack) = need.slack else {
        return Decision::Late;
    };
    let wait = Millis(slack.0 * WAIT_PERCENT / 100);
    match need.earliest {
        Some(earliest) if earliest <= wait => Decision::Keep,
        _ => Decision::Stop,
    }
}
