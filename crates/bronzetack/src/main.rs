//! Entry point of the `bronzetack` program: selects the command and sets the exit code.

mod cmd;
mod error;

use std::process::ExitCode;

use crate::error::CliError;

const USAGE: &str = "\
bronzetack schedules multi-accelerator jobs and carries requests under guarantees.

Usage:
    bronzetack <command> [<args>...]
    bronzetack [options]

Options:
    -h, --help    Show this message.

Commands:
    batch      Run a daemon of a whole site's scheduler
    check      Check a settings file and report all findings
    serve      Run the daemon
    version    Show the version
";

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.is_empty() {
        cmd::print_error(USAGE.trim_end());
        return ExitCode::from(error::EXIT_USAGE);
    }
    let command = args.remove(0);
    let result = match command.to_string_lossy().as_ref() {
        "batch" => cmd::batch::run(args),
        "check" => cmd::check::run(args),
        "serve" => cmd::serve::run(args),
        "version" => cmd::version::run(args),
        "-h" | "--help" | "help" => cmd::print(USAGE),
        other => Err(CliError::Command(other.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            cmd::print_error(&format!("bronzetack: {error}"));
            ExitCode::from(error.code())
        }
    }
}
