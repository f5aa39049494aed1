//! The subcommands, one module each, and the helpers that they share.

pub mod batch;
pub mod check;
mod reader;
pub mod serve;
mod signals;
pub mod version;

use std::ffi::OsString;
use std::fs;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use conf::node;
use conf::node::NodeConfig;

use crate::error::CliError;

/// Writes a text to standard output, without adding a newline. A reader that has closed it, as `head`
/// does, wants no more.
pub fn print(text: &str) -> Result<(), CliError> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CliError::Output(error)),
        _ => Ok(()),
    }
}

/// Writes a line to standard error. If that fails, the exit code still says what happened.
pub fn print_error(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Whether the arguments contain a help flag.
fn wants_help(args: &[OsString]) -> bool {
    args.iter().any(|arg| arg == "-h" || arg == "--help")
}

/// Reads a settings file. Returns its text, and its path as shown in findings.
fn read_settings(path: &Path) -> Result<(String, String), CliError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| CliError::Read(name.clone(), e))?;
    Ok((text, name))
}

/// Reads and validates a settings file for `serve`.
fn load_node(path: &Path) -> Result<NodeConfig, CliError> {
    let (text, name) = read_settings(path)?;
    Ok(node::load(&text, &name)?)
}

/// Parsed arguments of a command whose only flag is `--settings`.
struct SettingsArg {
    settings: PathBuf,
}

impl SettingsArg {
    fn parse(args: Vec<OsString>) -> Result<SettingsArg, CliError> {
        let flags = Flags::from_vec(args)?;
        Ok(SettingsArg {
            settings: flags.settings,
        })
    }
}

xflags::xflags! {
    /// A command that reads a settings file.
    cmd flags {
        /// The settings file.
        required --settings settings: PathBuf
    }
}
