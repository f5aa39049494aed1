//! Structured logs: one JSON object per line on standard error or standard output.
//!
//! A log never ends, blocks or slows the process. A thread of its own writes the lines; those that do
//! not fit into its queue, and those that the output does not take, are dropped and counted.

use std::fmt::Display;
use std::io::stderr;
use std::io::stdout;
use std::io::Write;
use std::mem::forget;
use std::panic;
use std::panic::PanicHookInfo;
use std::process::abort;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use slog::Drain;
use slog::Logger;
use slog::Never;
use slog::OwnedKV;
use slog::OwnedKVList;
use slog::Record;
use slog::SendSyncRefUnwindSafeKV;
use slog::Serializer;
use slog::KV;
use slog_async::AsyncCore;
use slog_json::Json;

use crate::event::Event;
use crate::event::Level;
use crate::output::Backlog;
use crate::output::Output;
use crate::output::Unbuffered;
use crate::short::Short;

/// Capacity of the queue of lines waiting to be written. Lines that exceed it are dropped and
/// counted, so that a slow reader of the log never blocks the process.
const QUEUE_LINES: usize = 2_048;

/// Longest wait, at the end of the process, for the lines in the queue to be written. Less than what
/// a planned stop leaves for the end of the process.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks at the queue.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Name of the thread that writes the lines.
const THREAD_NAME: &str = "log";

/// The log of a process. Clones write to the same output.
#[derive(Clone)]
pub struct Log {
    logger: Logger,
    backlog: Arc<Backlog>,
}

impl Log {
    /// A log that writes JSON lines to standard error, each with `fields`.
    ///
    /// Events of level `Debug`, which include spans, are logged only if `debug` is set.
    pub fn to_stderr<T>(fields: OwnedKV<T>, debug: bool) -> Log
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        Log::to_writer(Unbuffered(stderr()), fields, debug)
    }

    /// Same as [`Log::to_stderr`], but writes to standard output.
    pub fn to_stdout<T>(fields: OwnedKV<T>, debug: bool) -> Log
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        Log::to_writer(Unbuffered(stdout()), fields, debug)
    }

    /// Same as [`Log::to_stderr`], but writes to `out`, which must not buffer.
    pub fn to_writer<W, T>(out: W, fields: OwnedKV<T>, debug: bool) -> Log
    where
        W: Send + Write + 'static,
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        let backlog: Arc<Backlog> = Arc::default();
        let lines = Lines {
            out: Output::new(out),
            backlog: backlog.clone(),
        };
        let (queue, guard) = AsyncCore::custom(lines)
            .chan_size(QUEUE_LINES)
            .thread_name(THREAD_NAME.to_string())
            .build_with_guard();
        // The guard would wait for the output without a bound; `Log::close` has one.
        forget(guard);
        let queue = Queue {
            queue,
            backlog: backlog.clone(),
        };
        let level = if debug {
            slog::Level::Debug
        } else {
            slog::Level::Info
        };
        let drain = slog::LevelFilter::new(queue, level).fuse();
        Log {
            logger: Logger::root(drain, fields),
            backlog,
        }
    }

    /// The logger.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Waits until the lines logged so far are written. The wait is bounded, as the output may be
    /// blocked.
    pub fn close(self) {
        self.wait_until_written();
    }

    fn wait_until_written(&self) {
        let end = Instant::now() + CLOSE_TIMEOUT;
        while !self.backlog.is_empty() && Instant::now() < end {
            sleep(CLOSE_POLL_INTERVAL);
        }
    }

    /// From now on a panic on any thread is logged with its place and its reason, and ends the
    /// process. `fields` are added to those of the log.
    pub fn log_panics<T>(&self, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        let log = Log {
            logger: self.logger.new(fields),
            backlog: self.backlog.clone(),
        };
        panic::set_hook(Box::new(move |panic| log.end_by(panic)));
    }

    /// Logs a panic and ends the process, in a build that unwinds as well: without the task or the
    /// thread that panicked it would go on in part. Nothing goes to standard error, which may be
    /// blocked.
    fn end_by(&self, panic: &PanicHookInfo<'_>) -> ! {
        let thread = thread::current();
        let place = panic.location().map(|l| l.to_string());
        let payload = panic.payload();
        let text = payload.downcast_ref::<String>().map(String::as_str);
        let reason = text.or_else(|| payload.downcast_ref::<&str>().copied());
        let fields: [(&'static str, &dyn Display); 3] = [
            ("place", &place.as_deref().unwrap_or("unknown")),
            ("reason", &reason.unwrap_or("unknown")),
            ("thread", &thread.name().unwrap_or("unnamed")),
        ];
        record(&self.logger, Event::ProcessPanicked, &fields);
        self.wait_until_written();
        abort()
    }
}

/// The queue of the thread that writes the lines.
struct Queue {
    queue: AsyncCore,
    backlog: Arc<Backlog>,
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, fields: &OwnedKVList) -> Result<(), Never> {
        self.backlog.add();
        if self.queue.log(record, fields).is_err() {
            self.backlog.remove();
            self.backlog.count_dropped();
        }
        Ok(())
    }
}

/// Formats lines and writes them, on the thread of the queue.
struct Lines<W> {
    out: Output<W>,
    backlog: Arc<Backlog>,
}

impl<W: Write> Lines<W> {
    fn write(&self, record: &Record, fields: &OwnedKVList) -> std::io::Result<()> {
        let mut line = Vec::new();
        Json::default(&mut line).log(record, fields)?;
        self.out.write_line(line)
    }

    /// Logs how many lines were dropped since the last one written.
    fn report_dropped(&self, fields: &OwnedKVList) {
        let dropped = self.backlog.unreported();
        if dropped == 0 {
            return;
        }
        let event = Event::LogLinesDropped;
        let text = event.text();
        let (code, count) = (event.code(), dropped.to_string());
        let written = self.write(
            &slog::record!(
                slog::Level::Warning,
                "",
                &format_args!("{text}"),
                slog::b!("event" => code, "count" => count)
            ),
            fields,
        );
        if written.is_ok() {
            self.backlog.reported(dropped);
        }
    }
}

impl<W: Write> Drain for Lines<W> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, fields: &OwnedKVList) -> Result<(), Never> {
        self.report_dropped(fields);
        // The line that could report the error cannot be written either: it is counted instead.
        if self.write(record, fields).is_err() {
            self.backlog.count_dropped();
        }
        self.backlog.remove();
        Ok(())
    }
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
    let detail = Short(detail);
    match event.level() {
        Level::Debug => slog::debug!(log, "{}", text; "event" => code, "detail" => %detail),
        Level::Error => slog::error!(log, "{}", text; "event" => code, "detail" => %detail),
        Level::Info => slog::info!(log, "{}", text; "event" => code, "detail" => %detail),
        Level::Warn => slog::warn!(log, "{}", text; "event" => code, "detail" => %detail),
    }
}

/// Keys and values of one log line.
struct Fields<'a>(&'a [(&'static str, &'a dyn Display)]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record, out: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            out.emit_arguments(name, &format_args!("{}", Short(value)))?;
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
