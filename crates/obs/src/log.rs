//! Structured logs: one JSON object a line on standard error.

use std::io::stderr;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::OwnedKV;
use slog::SendSyncRefUnwindSafeKV;

use crate::event::Event;
use crate::event::Level;

/// A logger that writes JSON lines to standard error.
///
/// `debug` also lets through events of level `Debug`, spans among them.
pub fn to_stderr<T>(fields: OwnedKV<T>, debug: bool) -> Logger
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    let json = slog_json::Json::default(stderr());
    let level = if debug {
        slog::Level::Debug
    } else {
        slog::Level::Info
    };
    let drain = slog::LevelFilter::new(Mutex::new(json).fuse(), level).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
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
