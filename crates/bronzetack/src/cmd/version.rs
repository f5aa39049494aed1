//! The `version` command: prints the version of the program.

use std::ffi::OsString;

use super::print;
use super::wants_help;
use crate::error::CliError;

const USAGE: &str = "\
Shows the version.

Usage:
    bronzetack version

Example:
    bronzetack version
";

/// Prints the version, or the help text.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return print(USAGE);
    }
    print(concat!("bronzetack ", env!("CARGO_PKG_VERSION"), "\n"))
}
