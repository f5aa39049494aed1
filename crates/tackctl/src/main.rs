//! The `tackctl` operator tool: parses the command name and runs the command.

mod client;
mod cmd;
mod failure;
mod log_line;
mod output;
mod render;
mod report;
mod session;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::failure::Failure;

const USAGE: &str = "\
tackctl: command line tool for operators of a bronzetack site

Usage: tackctl COMMAND [ARGUMENTS]

Commands:
    check       Lists the findings of a daemon's settings file
    domain      Takes a failure domain out of service or returns it
    help        Shows the usage of a command
    job         Submits, shows, lists and cancels jobs
    load        Sends requests at a fixed rate and reports latencies
    org         Creates, removes and lists organisations
    report      Shows why jobs were late and work was lost, from the daemons' logs
    settings    Reads and changes the operators' settings
    shape       Adds, removes and lists guaranteed shapes
    site        Shows a site of `bronzetack batch`, its jobs and its workers
    status      Shows the site as a daemon sees it
    worker      Lists workers

Options of every command that calls a daemon:
    --at HOST:PORT      Operators' port of a daemon; repeat it to name fallbacks.
                        Default: 127.0.0.1:7002
    --json              Prints JSON
    --timeout MS        Timeout of the call to each daemon. Default: 10000
    --who NAME          Operator recorded with a change. Default: $USER

Exit codes:
    0 done
    1 refused; not run
    2 wrong usage
    3 the input has findings; nothing was changed
    4 conflict with another change; nothing was changed
    5 no daemon was reached; nothing was changed
    6 unknown: the change may have taken effect; repeat it with the --op shown or, for a job
      submission, with the same job id
    7 done, but the reply could not be written; a reader that closes the output is no error

Example:
    tackctl status --at 127.0.0.1:7002";

fn main() -> ExitCode {
    let mut args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.is_empty() {
        output::print_error(USAGE);
        return Failure::Usage(String::new()).exit_code();
    }
    let name = args.remove(0);
    let json = args.iter().any(|a| a == "--json");
    match dispatch(&name.to_string_lossy(), args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(json),
    }
}

fn dispatch(name: &str, args: Vec<OsString>) -> Result<(), Failure> {
    if args.iter().any(|a| a == "--help" || a == "-h") {
        return help(name);
    }
    match name {
        "check" => cmd::check::run(args),
        "domain" => cmd::domain::run(args),
        "job" => cmd::job::run(args),
        "load" => cmd::load::run(args),
        "org" => cmd::org::run(args),
        "report" => cmd::report::run(args),
        "settings" => cmd::settings::run(args),
        "shape" => cmd::shape::run(args),
        "site" => cmd::site::run(args),
        "status" => cmd::status::run(args),
        "worker" => cmd::worker::run(args),
        "help" => help(&args.first().map_or("".into(), |a| a.to_string_lossy())),
        "-h" | "--help" => help(""),
        _ => Err(Failure::Usage(format!("unknown command {name}\n\n{USAGE}"))),
    }
}

fn help(name: &str) -> Result<(), Failure> {
    let usage = match name {
        "" | "help" => USAGE,
        "check" => cmd::check::USAGE,
        "domain" => cmd::domain::USAGE,
        "job" => cmd::job::USAGE,
        "load" => cmd::load::USAGE,
        "org" => cmd::org::USAGE,
        "report" => cmd::report::USAGE,
        "settings" => cmd::settings::USAGE,
        "shape" => cmd::shape::USAGE,
        "site" => cmd::site::USAGE,
        "status" => cmd::status::USAGE,
        "worker" => cmd::worker::USAGE,
        _ => return Err(Failure::Usage(format!("unknown command {name}"))),
    };
    output::print(&format!("{usage}\n"))
}
