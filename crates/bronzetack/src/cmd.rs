//! The commands, a file each.

pub mod batch;
pub mod check;
pub mod serve;
pub mod version;

use std::ffi::OsString;
use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use conf::node;
use conf::node::NodeConfig;

use crate::error::CliError;

/// Prints a text.
pub fn say(text: &str) -> Result<(), CliError> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Whether help is asked for.
fn wants_help(args: &[OsString]) -> bool {
    args.iter().any(|arg| arg == "-h" || arg == "--help")
}

/// Reads a settings file: its text, and the name that findings show.
fn read(path: &Path) -> Result<(String, String), CliError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| CliError::Read(name.clone(), e))?;
    Ok((text, name))
}

/// Reads and checks the settings file of `serve`.
fn load(path: &Path) -> Result<NodeConfig, CliError> {
    let (text, name) = read(path)?;
    Ok(node::load(&text, &name)?)
}

/// The settings file that the arguments name.
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
