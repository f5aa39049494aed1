//! The `batch` command: runs one daemon of the scheduler of a whole site.

use std::ffi::OsString;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;

use bronzetack::BatchDaemon;
use conf::batch;
use conf::batch::BatchConfig;
use nix::sys::signal::Signal;
use obs::Event;
use obs::Log;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal as SignalStream;
use tokio::signal::unix::SignalKind;

use super::print;
use super::read_settings;
use super::reader::SettingsReader;
use super::signals::HeldSignals;
use super::wants_help;
use super::SettingsArg;
use crate::error::CliError;
use crate::error::EXIT_START;

const USAGE: &str = "\
Runs a daemon of a whole site's scheduler. SIGTERM and SIGINT begin a planned stop. A further
SIGTERM changes nothing, a further SIGINT ends the daemon at once. SIGHUP reads the settings file
again. Logs go to standard output.

Usage:
    bronzetack batch --settings <file>

Exit codes: 0 stopped as planned, 1 could not start or was ended early, 2 wrong usage,
3 findings in the settings.

Example:
    bronzetack batch --settings site.jsonc
";

/// Parses the arguments and runs the daemon until it is stopped.
pub fn run(args: Vec<OsString>) -> Result<(), CliError> {
    if wants_help(&args) {
        return print(USAGE);
    }
    let held = HeldSignals::hold(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let args = SettingsArg::parse(args)?;
    actix_rt::System::new().block_on(serve(args.settings, held))
}

/// Reads and validates a settings file for `batch`.
pub fn load_batch(path: &Path) -> Result<BatchConfig, CliError> {
    let (text, name) = read_settings(path)?;
    Ok(batch::load(&text, &name)?)
}

async fn serve(path: PathBuf, held: HeldSignals) -> Result<(), CliError> {
    let mut signals = Signals::new()?;
    held.release()?;
    let mut reader = SettingsReader::start(path)?;
    reader.request();
    let settings = tokio::select! {
        _ = signals.stop() => return Ok(()),
        settings = reader.next() => settings.inspect_err(log_refusal)?,
    };
    let output = Log::to_stdout(slog::o!(), settings.debug);
    output.log_panics(slog::o!(
        "vm" => settings.vm.to_string(),
        "domain" => settings.domain.to_string()
    ));
    let result = run_daemon(settings, reader, signals, &output).await;
    output.close();
    result
}

/// Logs why the settings cannot be used at the start.
fn log_refusal(error: &CliError) {
    let output = Log::to_stdout(slog::o!(), false);
    let text = error.to_string();
    obs::emit(output.logger(), Event::ServiceFailed, &text);
    output.close();
}

/// Streams of the signals that a daemon handles.
struct Signals {
    terminate: SignalStream,
    interrupt: SignalStream,
    hangup: SignalStream,
}

impl Signals {
    fn new() -> Result<Signals, CliError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal that requests a planned stop.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn run_daemon(
    settings: BatchConfig,
    mut reader: SettingsReader,
    mut signals: Signals,
    output: &Log,
) -> Result<(), CliError> {
    let log = output.logger();
    let daemon = BatchDaemon::start(settings, log.clone())
        .inspect_err(|error| obs::emit(log, Event::ServiceFailed, &error.to_string()))?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reader.request(),
            settings = reader.next() => match settings {
                Ok(settings) => daemon.reload(&settings),
                Err(error) => obs::emit(log, Event::SettingsRefused, &error.to_string()),
            },
        }
    }
    let output = output.clone();
    actix_rt::spawn(async move {
        signals.interrupt.recv().await;
        let text = "SIGINT during the stop";
        obs::emit(output.logger(), Event::StopForced, text);
        output.close();
        exit(i32::from(EXIT_START));
    });
    daemon.close().await;
    Ok(())
}
