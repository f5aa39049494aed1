//! `tackctl check`: validates a daemon's settings file.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;

use crate::failure::Failure;
use crate::output;
use crate::parse_args;

pub const USAGE: &str = "\
Checks a daemon's settings file. Lists each finding with its line, column and remedy.

Usage: tackctl check FILE [--json]

Exit code 3 if there are findings.

Example:
    tackctl check /etc/bronzetack/node.jsonc";

xflags::xflags! {
    cmd args {
        /// Prints JSON.
        optional --json
        /// The settings file.
        required file: PathBuf
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let name = args.file.display().to_string();
    let text = fs::read_to_string(&args.file);
    let text = text.map_err(|e| Failure::not_run(format!("{name}: {e}")))?;
    let findings = conf::node::load(&text, &name).err().unwrap_or_default();
    if !findings.is_empty() {
        return Err(Failure::Findings(findings));
    }
    if args.json {
        return output::print("{\"findings\":[]}\n");
    }
    output::print(&format!("{name}: no findings\n"))
}
