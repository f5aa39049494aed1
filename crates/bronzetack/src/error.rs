//! The one error of the commands, with the exit code of each kind of failure.

use std::io;

use base::Findings;
use bronzetack::DaemonError;
use quick_error::quick_error;

/// Exit code of a daemon that could not start.
pub const START: u8 = 1;

/// Exit code of wrong usage.
pub const USAGE: u8 = 2;

/// Exit code of findings in the input.
pub const FINDINGS: u8 = 3;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CliError {
        /// The arguments are not understood.
        Args(error: xflags::Error) {
            from()
            display("{error}")
        }
        /// There is no such command.
        Command(name: String) {
            display("no command {name:?}: see bronzetack --help")
        }
        /// The daemon could not start.
        Daemon(error: DaemonError) {
            from()
            display("{error}")
        }
        /// The settings have problems.
        Findings(findings: Findings) {
            from()
            display("{} findings\n{findings}", findings.len())
        }
        /// Input or output failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A file could not be read.
        Read(file: String, error: io::Error) {
            display("{file}: {error}: name a readable file")
        }
    }
}

impl CliError {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            CliError::Args(_) | CliError::Command(_) => USAGE,
            CliError::Daemon(_) | CliError::Io(_) => START,
            CliError::Findings(_) | CliError::Read(..) => FINDINGS,
        }
    }
}
