//! Writes to standard output and standard error, either of which may be closed.

use std::io;
use std::io::ErrorKind;
use std::io::Write;

use crate::failure::Failure;

/// Writes a text to standard output. A reader that has closed it, as `head` does, wants no more.
pub fn print(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(Failure::Output(error)),
        _ => Ok(()),
    }
}

/// Writes a line to standard error. If that fails, the exit code still says what happened.
pub fn print_error(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}
