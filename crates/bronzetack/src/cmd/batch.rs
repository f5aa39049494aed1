//! The `batch` command: runs one daemon of the scheduler of a whole site.

use std::ffi::OsString;
use std::path::Path;
use std::process::exit;

use bronzetack::BatchDaemon;
use conf::batch;
use conf::batch::BatchConfig;
use obs::Event;
use obs::Log;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use super::print;
use super::read_settings;
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
    let args = SettingsArg::parse(args)?;
    let settings = load_batch(&args.settings)?;
    actix_rt::System::new().block_on(serve(settings, &args.settings))
}

/// Reads and validates a settings file for `batch`.
pub fn load_batch(path: &Path) -> Result<BatchConfig, CliError> {
    let (text, name) = read_settings(path)?;
    Ok(batch::load(&text, &name)?)
}

async fn serve(settings: BatchConfig, path: &Path) -> Result<(), CliError> {
    let output = Log::to_stdout(slog::o!(), settings.debug);
    output.log_panics(slog::o!(
        "vm" => settings.vm.to_string(),
        "domain" => settings.domain.to_string()
    ));
    let result = run_daemon(settings, path, &output).await;
    output.close();
    result
}

async fn run_daemon(settings: BatchConfig, path: &Path, output: &Log) -> Result<(), CliError> {
    let log = output.logger();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = BatchDaemon::start(settings, log.clone())
        .inspect_err(|error| obs::emit(log, Event::ServiceFailed, &error.to_string()))?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match load_batch(path) {
                Ok(settings) => daemon.reload(&settings),
                Err(error) => obs::emit(log, Event::SettingsRefused, &error.to_string()),
            },
        }
    }
    let output = output.clone();
    actix_rt::spawn(async move {
        interrupt.recv().await;
        let text = "SIGINT during the stop";
        obs::emit(output.logger(), Event::StopForced, text);
        output.close();
        exit(i32::from(EXIT_START));
    });
    daemon.close().await;
    Ok(())
}
