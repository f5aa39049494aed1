//! The error type shared by all commands, and the exit code for each variant.

use std::io;

use base::Findings;
use bronzetack::DaemonError;
use quick_error::quick_error;

/// Exit code if the daemon could not start, or if input or output failed.
pub const EXIT_START: u8 = 1;

/// Exit code for invalid arguments or an unknown command.
pub const EXIT_USAGE: u8 = 2;

/// Exit code if the settings file has findings or could not be read.
pub const EXIT_FINDINGS: u8 = 3;

quick_error! {
    /// A failure of a command; its text goes to standard error.
    #[derive(Debug)]
    pub enum CliError {
        /// The arguments could not be parsed.
        Args(error: xflags::Error) {
            from()
            display("{error}")
        }
        /// The command is unknown. Holds the name given.
        Command(name: String) {
            display("no command {name:?}: see bronzetack --help")
        }
        /// The daemon could not start.
        Daemon(error: DaemonError) {
            from()
            display("{error}")
        }
        /// The settings file is invalid.
        Findings(findings: Findings) {
            from()
            display("{} findings\n{findings}", findings.len())
        }
        /// Input or output failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// Standard output could not be written.
        Output(error: io::Error) {
            display("cannot write to standard output: {error}: free it or choose another")
        }
        /// A settings file could not be read. Holds its path.
        Read(file: String, error: io::Error) {
            display("{file}: {error}: name a readable file")
        }
    }
}

impl CliError {
    /// The process exit code for this error.
    pub fn code(&self) -> u8 {
        match self {
            CliError::Args(_) | CliError::Command(_) => EXIT_USAGE,
            CliError::Daemon(_) | CliError::Io(_) | CliError::Output(_) => EXIT_START,
            CliError::Findings(_) | CliError::Read(..) => EXIT_FINDINGS,
        }
    }
}
