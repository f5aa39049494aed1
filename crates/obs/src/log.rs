//! Structured logs: one JSON object per line on standard error or standard output.

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

/// Capacity of the queue of lines waiting to be written. Lines that exceed it are dropped and
/// counted, so that a slow reader of the log never blocks the process.
const QUEUE_LINES: usize = 2_048;

/// A logger that writes JSON lines to standard error, each with `fields`.
///
/// Events of level `Debug`, which include spans, are logged only if `debug` is set.
pub fn to_stderr<T>(fields: OwnedKV<T>, debug: bool) -> Logger
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    json_logger(stderr(), fields, debug)
}

/// Same as [`to_stderr`], but writes to standard output.
pub fn to_stdout<T>(fields: OwnedKV<T>, debug: bool) -> Logger
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    json_logger(stdout(), fields, debug)
}

fn json_logger<W, T>(out: W, fields: OwnedKV<T>, debug: bool) -> Logger
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
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(drain, fields)
}

/// A logger that discards all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Logs an event with free text under the key `detail`, such as an id or an error.
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

/// Keys and values of one log line.
struct Fields<'a>(&'a [(&'static str, &'a dyn Display)]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record, out: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            out.emit_arguments(name, &format_args!("{value}"))?;
        }
        Ok(())
    }
}

/// Logs an event with keys and values, such as the id of a request and the version of the data
/// from which it was answered.
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
