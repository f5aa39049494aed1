//! Stops of runs for urgent steps that find no room: which steps they can help, what each of them
//! costs, how much may be lost, and who gets the room.
//!
//! Load pattern: a burst of urgent gangs arrives at a site that is full of longer work. Stopped for
//! each of them as it arrives, the same runs are stopped again and again, also for gangs that would
//! have started in time by themselves or end late all the same, and the room goes to whoever is next.

pub(crate) mod kept;
mod need;
mod price;
mod totals;

pub use need::decide;
pub use need::Decision;
pub use need::Need;
pub use price::Price;
pub use price::StopInput;
pub use totals::StopTotals;
