//! Holds signals back until a daemon can handle them.

use std::io;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;

use crate::error::CliError;

/// Signals that wait. Without this one that comes while the process starts would end it at once; on a
/// machine with little processor time the start takes long.
pub struct HeldSignals(SigSet);

impl HeldSignals {
    /// Holds back signals to the process. Call it on the only thread.
    pub fn hold(signals: &[Signal]) -> Result<HeldSignals, CliError> {
        let held = SigSet::from_iter(signals.iter().copied());
        held.thread_block().map_err(io::Error::from)?;
        Ok(HeldSignals(held))
    }

    /// Lets the signals through, also those that came meanwhile, as their handlers are installed.
    pub fn release(self) -> Result<(), CliError> {
        self.0.thread_unblock().map_err(io::Error::from)?;
        Ok(())
    }
}
