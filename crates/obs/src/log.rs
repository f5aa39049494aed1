//! Structured logs: one JSON object a line on standard error.

use std::fmt::Display;
use std::io::stderr;
use std::io::stdout;
use std::io::Write;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::OwnedKV;
use slog::Record;
use slog::SendSyncRefUnwindSafeKV;
use slog::Serializer;
use slog::KV;

use crate::event::Event;
use crate::event::Level;

/// Lines that wait for the writer. Further ones are dropped and counted, so that a slow reader
/// of the log never blocks the program.
const QUEUE: usize = 2_048;

/// A logger that writes JSON lines to standard error.
///
/// `debug` also lets through events of level `Debug`, spans among them.
pub fn to_stderr<T>(fields: OwnedKV<T>, debug: bool) -> Logger
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    to(stderr(), fields, debug)
}

/// As [`to_stderr`], on standard output.
pub fn to_stdout<T>(fields: OwnedKV<T>, debug: bool) -> Logger
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    to(stdout(), fields, debug)
}

fn to<W, T>(out: W, fields: OwnedKV<T>, debug: bool) -> Logger
where
    W: Send + Write + 'static,
    T: SendSyncRefUnwindSafeKV + 'static,
{
    let json = slog_json::Json::default(out);
    let level = if debug {
        slog::Level::Debug
    } else {
        slog::Level::Info
    };
    let drain = slog::LevelFilter::new(Mutex::new(json).fuse(), level).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .build()
        .fuse();
    Logger::root(drain, fields)
}

/// A logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Logs an event with the details of this occurrence, such as ids and errors.
pub fn emit(log: &Logger, event: Event, detail: &str) {
    if event.level() == Level::Debug && !log.is_debug_enabled() {
        return;
    }
    let code = event.code();
    let text = event.text();
    match event.level() {
        Level::Debug => slog::debug!(log, "{}", text; "event" => code, "detail" => detail),
        Level::Error => slog::error!(log, "{}", text; "event" => code, "detail" => detail),
        Level::Info => slog::info!(log, "{}", text; "event" => code, "detail" => detail),
        Level::Warn => slog::warn!(log, "{}", text; "event" => code, "detail" => detail),
    }
}

/// Fields of one log line.
struct Fields<'a>(&'a [(&'static str, &'a dyn Display)]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record, out: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            out.emit_arguments(name, &format_args!("{value}"))?;
        }
        Ok(())
    }
}

/// Logs an event with fields, such as the id of a request and what its answer was based on.
pub fn record(log: &Logger, event: Event, fields: &[(&'static str, &dyn Display)]) {
    if event.level() == Level::Debug && !log.is_debug_enabled() {
        return;
    }
    let code = event.code();
    let text = event.text();
    let fields = Fields(fields);
    match event.level() {
        Level::Debug => slog::debug!(log, "{}", text; "event" => code, fields),
        Level::Error => slog::error!(log, "{}", text; "event" => code, fields),
        Level::Info => slog::info!(log, "{}", text; "event" => code, fields),
        Level::Warn => slog::warn!(log, "{}", text; "event" => code, fields),
    }
}
