//! `bronzetack check`: all findings of a settings file.

use std::ffi::OsString;

use super::load;
use super::say;
use super::wants_help;
use super::SettingsArg;
use crate::error::CliError;

const USAGE: &str = "\
Checks a settings file. Every finding is reported with its line, column and a remedy.

Usage:
    bronzetack check --settings <file>

Exit codes: 0 no findings, 2 wrong usage, 3 findings.

Example:
    bronzetack check --settings node.jsonc
";

/// Runs the command.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return say(USAGE);
    }
    let args = SettingsArg::parse(args)?;
    load(&args.settings)?;
    say("no findings\n")
}
