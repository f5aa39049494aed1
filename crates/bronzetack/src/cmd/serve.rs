//! `bronzetack serve`: runs the daemon until it is told to stop.

use std::ffi::OsString;
use std::process::exit;

use bronzetack::Daemon;
use conf::node::NodeConfig;
use obs::Event;
use slog::Logger;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use super::load;
use super::say;
use super::wants_help;
use super::SettingsArg;
use crate::error::CliError;
use crate::error::START;

const USAGE: &str = "\
Runs the daemon. SIGTERM or SIGINT begins a planned stop, which cuts no request in
progress; a second one ends the daemon at once. Logs go to standard error.

Usage:
    bronzetack serve --settings <file>

Exit codes: 0 stopped as planned, 1 could not start or was ended early, 2 wrong usage,
3 findings in the settings.

Example:
    bronzetack serve --settings node.jsonc
";

/// Runs the command.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return say(USAGE);
    }
    let args = SettingsArg::parse(args)?;
    let node = load(&args.settings)?;
    actix_rt::System::new().block_on(serve(node))
}

async fn serve(node: NodeConfig) -> Result<(), CliError> {
    let log = obs::to_stderr(slog::o!(), node.log.debug);
    let mut stops = Stops::new()?;
    let daemon = Daemon::start(node, log.clone()).await?;
    let ports = daemon.ports();
    say(&format!(
        "callers {} operators {} peers {}\n",
        ports.callers, ports.operators, ports.peers
    ))?;
    stops.next().await;
    actix_rt::spawn(end_on_second(stops, log));
    daemon.close().await;
    Ok(())
}

async fn end_on_second(mut stops: Stops, log: Logger) {
    stops.next().await;
    obs::emit(&log, Event::StopForced, "second signal");
    exit(i32::from(START));
}

/// Signals that ask for a stop.
struct Stops {
    interrupt: Signal,
    terminate: Signal,
}

impl Stops {
    fn new() -> Result<Stops, CliError> {
        Ok(Stops {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
