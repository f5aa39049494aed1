//! `bronzetack version`: the version.

use std::ffi::OsString;

use super::say;
use super::wants_help;
use crate::error::CliError;

const USAGE: &str = "\
Shows the version.

Usage:
    bronzetack version

Example:
    bronzetack version
";

/// Runs the command.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return say(USAGE);
    }
    say(concat!("bronzetack ", env!("CARGO_PKG_VERSION"), "\n"))
}
