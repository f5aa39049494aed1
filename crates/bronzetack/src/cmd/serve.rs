//! The `serve` command: runs the daemon until a signal stops it.

use std::ffi::OsString;
use std::path::Path;
use std::process::exit;

use bronzetack::Daemon;
use conf::node::NodeConfig;
use nix::sys::signal::Signal as SystemSignal;
use obs::Event;
use obs::Log;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use super::load_node;
use super::print;
use super::signals::HeldSignals;
use super::wants_help;
use super::SettingsArg;
use crate::error::CliError;
use crate::error::EXIT_START;

const USAGE: &str = "\
Runs the daemon. SIGTERM or SIGINT begins a planned stop, which cuts no request in
progress; a second one ends the daemon at once. SIGHUP is ignored: settings change with
a revision on the platform. Logs go to standard error.

Usage:
    bronzetack serve --settings <file>

Exit codes: 0 stopped as planned, 1 could not start or was ended early, 2 wrong usage,
3 findings in the settings.

Example:
    bronzetack serve --settings node.jsonc
";

/// Parses the arguments and runs the daemon until it is stopped.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return print(USAGE);
    }
    let signals = [
        SystemSignal::SIGTERM,
        SystemSignal::SIGINT,
        SystemSignal::SIGHUP,
    ];
    let held = HeldSignals::hold(&signals)?;
    let args = SettingsArg::parse(args)?;
    actix_rt::System::new().block_on(serve(&args.settings, held))
}

async fn serve(path: &Path, held: HeldSignals) -> Result<(), CliError> {
    let signals = StopSignals::new()?;
    let hangup = signal(SignalKind::hangup())?;
    held.release()?;
    let node = load_node(path)?;
    let output = Log::to_stderr(slog::o!(), node.log.debug);
    output.log_panics(slog::o!("domain" => node.domain.to_string()));
    actix_rt::spawn(log_hangups(hangup, output.clone()));
    let result = run_daemon(node, signals, &output).await;
    output.close();
    result
}

async fn run_daemon(
    node: NodeConfig,
    mut signals: StopSignals,
    output: &Log,
) -> Result<(), CliError> {
    let daemon = Daemon::start(node, output.logger().clone()).await?;
    let ports = daemon.ports();
    let text = format!(
        "callers {} operators {} peers {}",
        ports.callers, ports.operators, ports.peers
    );
    if let Err(error) = print(&format!("{text}\n")) {
        let detail = format!("{text}: {error}");
        obs::emit(output.logger(), Event::PortsNotPrinted, &detail);
    }
    signals.next().await;
    actix_rt::spawn(exit_on_second(signals, output.clone()));
    daemon.close().await;
    Ok(())
}

async fn log_hangups(mut hangup: Signal, output: Log) {
    while hangup.recv().await.is_some() {
        let text = "settings change with a revision on the platform";
        obs::emit(output.logger(), Event::HangupIgnored, text);
    }
}

async fn exit_on_second(mut signals: StopSignals, output: Log) {
    signals.next().await;
    obs::emit(output.logger(), Event::StopForced, "second signal");
    output.close();
    exit(i32::from(EXIT_START));
}

/// Streams of the signals that request a planned stop.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn new() -> Result<StopSignals, CliError> {
        Ok(StopSignals {
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
