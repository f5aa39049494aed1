//! Limits and weights of organisations.
//!
//! Load pattern: one organisation sends many wide steps at once, and what it may have running bounds
//! how many of their tasks start. A step that is not a gang then runs in waves.

use std::fmt;

use quick_error::quick_error;

use crate::spec::Resources;

/// Share of an organisation when all is full, relative to those of the others.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

quick_error! {
    /// Why a number is no weight.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub enum WeightError {
        /// It is negative or not finite.
        Invalid(value: f64) {
            display("{value} is no weight: give a number of zero or more")
        }
    }
}

impl Weight {
    /// The weight as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<f64> for Weight {
    type Error = WeightError;

    fn try_from(value: f64) -> Result<Weight, WeightError> {
        match value.is_finite() && value >= 0.0 {
            true => Ok(Weight(value)),
            false => Err(WeightError::Invalid(value)),
        }
    }
}

/// What an organisation may have running on all workers together. Zero is no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrgLimit(pub Resources);

impl OrgLimit {
    /// Whether so much may run.
    pub fn allows(&self, used: &Resources) -> bool {
        let within = |used: u64, limit: u64| limit == 0 || used <= limit;
        within(used.cpu, self.0.cpu)
            && within(used.memory, self.0.memory)
            && within(used.accels, self.0.accels)
    }

    /// How many more tasks with this need may start beside what is used. A resource that the tasks do
    /// not need holds none of them back.
    pub fn room(&self, used: &Resources, need: &Resources) -> u64 {
        let room = |limit: u64, used: u64, need: u64| match limit {
            0 => u64::MAX,
            _ => limit
                .saturating_sub(used)
                .checked_div(need)
                .unwrap_or(u64::MAX),
        };
        room(self.0.cpu, used.cpu, need.cpu)
            .min(room(self.0.memory, used.memory, need.memory))
            .min(room(self.0.accels, used.accels, need.accels))
    }

    /// What is left of these resources where the limit cuts them off.
    pub fn clamp(&self, wanted: &Resources) -> Resources {
        wanted.saturating_sub(&self.excess(wanted))
    }

    /// By how much so much use exceeds the limit.
    pub fn excess(&self, used: &Resources) -> Resources {
        let over = |used: u64, limit: u64| match limit {
            0 => 0,
            _ => used.saturating_sub(limit),
        };
        Resources {
            cpu: over(used.cpu, self.0.cpu),
            memory: over(used.memory, self.0.memory),
            accels: over(used.accels, self.0.accels),
        }
    }
}

impl fmt::Display for OrgLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
