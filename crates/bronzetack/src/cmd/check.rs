//! The `check` command: reports all findings of a settings file.

use std::ffi::OsString;

use super::load_node;
use super::print;
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

/// Validates the settings file that the arguments name.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return print(USAGE);
    }
    let args = SettingsArg::parse(args)?;
    load_node(&args.settings)?;
    print("no findings\n")
}
