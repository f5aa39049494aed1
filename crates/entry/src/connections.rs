//! Memory that the connections of clients take, bounded for all servers of a process together.

use std::fmt;
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;

use actix_web::error::PayloadError;
use base::Bytes;
use base::Clock;
use base::Map;
use base::Millis;
use futures_util::task::AtomicWaker;
use obs::CounterSeries;
use obs::Event;
use obs::GaugeSeries;
use obs::LogLimiter;
use obs::Metrics;
use slog::Logger;

use crate::server::max_connections;

/// Part of the memory of the process that connections may take, as a divisor.
const MEMORY_SHARE: u64 = 5;

/// Memory of an idle connection: its task and its buffers.
const CONNECTION_BYTES: usize = 12 << 10;

/// Memory of a request beside its head and body: its records, and what was read of it and not taken.
pub(crate) const REQUEST_BYTES: usize = 8 << 10;

/// Time after which a client may try again when there was no memory for its request.
pub(crate) const RETRY_AFTER_CLOSING: Millis = Millis(1_000);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The daemon, which has the whole request.
    Handled,
    /// A request of the client.
    Idle,
    /// The client, which sends the rest of a request or takes the rest of a response.
    Unfinished,
}

/// The connections of all servers of a process. Clones share the same limit.
///
/// Beyond the limit on their memory, the connection that has waited longest for its client is closed:
/// first those within a request or a response, then idle ones. Of the connections that a server may
/// have, at most half may be within a request or a response that waits for its client.
#[derive(Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

struct Shared {
    limit: usize,
    max_unfinished: usize,
    table: Mutex<Table>,
    report: Option<Report>,
}

/// Where closed connections are counted and logged.
struct Report {
    log: Logger,
    limiter: Mutex<LogLimiter>,
    closed: CounterSeries,
    bytes: GaugeSeries,
}

#[derive(Default)]
struct Table {
    used: usize,
    unfinished: usize,
    /// Number of the last change of a stage, which orders them.
    changes: u64,
    open: Map<u64, Connection>,
}

struct Connection {
    bytes: usize,
    stage: Stage,
    since: u64,
    close: Arc<CloseSignal>,
}

/// Tells the task of a connection to close it.
#[derive(Default)]
struct CloseSignal {
    is_set: AtomicBool,
    task: AtomicWaker,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections")
            .field("limit", &self.shared.limit)
            .finish_non_exhaustive()
    }
}

impl Connections {
    /// Connections without a limit on their memory.
    pub fn unlimited() -> Connections {
        Connections::with_limits(usize::MAX, usize::MAX, None)
    }

    /// Connections of a process with this much memory. A request with a body of `max_body` is received
    /// even if it exceeds their share.
    pub fn new(memory: Bytes, max_body: usize, log: Logger, metrics: &Metrics) -> Connections {
        let share = (memory.0 / MEMORY_SHARE) as usize;
        let single = CONNECTION_BYTES + REQUEST_BYTES + body_memory(max_body);
        let closed = metrics.counter(
            "connections_closed",
            "Connections of clients closed to make room for others",
        );
        let bytes = metrics.gauge(
            "connections_bytes",
            "Memory counted for the connections of clients",
        );
        let report = Report {
            log,
            limiter: Mutex::default(),
            closed: closed.series(&[]),
            bytes: bytes.series(&[]),
        };
        let max_unfinished = max_connections().div_ceil(2);
        Connections::with_limits(share.max(single), max_unfinished, Some(report))
    }

    fn with_limits(limit: usize, max_unfinished: usize, report: Option<Report>) -> Connections {
        let shared = Shared {
            limit,
            max_unfinished,
            table: Mutex::default(),
            report,
        };
        Connections {
            shared: Arc::new(shared),
        }
    }

    /// Counts an accepted connection. Fails if there is no memory for it.
    pub(crate) fn open(&self) -> io::Result<Ticket> {
        let close = Arc::<CloseSignal>::default();
        let mut table = self.shared.lock();
        table.changes += 1;
        let since = table.changes;
        let connection = Connection {
            bytes: 0,
            stage: Stage::Idle,
            since,
            close: close.clone(),
        };
        table.open.insert(since, connection);
        drop(table);
        let ticket = Ticket {
            id: since,
            shared: self.shared.clone(),
            close,
        };
        match ticket.reserve(0) {
            true => Ok(ticket),
            false => Err(out_of_memory()),
        }
    }
}

/// Memory that the body of a request takes while it is received and decoded.
pub(crate) fn body_memory(received: usize) -> usize {
    received.saturating_mul(2)
}

/// Whether a body was not received because there is no memory for it.
pub(crate) fn is_out_of_memory(error: &PayloadError) -> bool {
    matches!(error, PayloadError::Io(error) if error.kind() == io::ErrorKind::OutOfMemory)
}

/// The error of a request for which there is no memory.
pub(crate) fn out_of_memory() -> io::Error {
    let text = "the connections of all clients exceed their memory";
    io::Error::new(io::ErrorKind::OutOfMemory, text)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the connections that have waited longest while all exceed their memory, up to `asking`.
    fn make_room(&self, table: &mut Table, asking: u64) -> Vec<Connection> {
        let mut removed = Vec::new();
        while table.used > self.limit {
            let first = table.longest_waiting().filter(|id| *id != asking);
            let Some(connection) = first.and_then(|id| table.remove(id)) else {
                break;
            };
            removed.push(connection);
        }
        removed
    }

    /// Closes connections that were removed from the table, and reports the memory of the others.
    fn finish(&self, table: MutexGuard<'_, Table>, closed: &[Connection]) {
        let used = table.used;
        drop(table);
        for connection in closed {
            connection.close.is_set.store(true, Ordering::Release);
            connection.close.task.wake();
        }
        let Some(report) = &self.report else {
            return;
        };
        report.bytes.set(used as i64);
        let closed = closed.len();
        if closed == 0 {
            return;
        }
        report.closed.add(closed as u64);
        let limiter = report.limiter.lock();
        let limiter = limiter.unwrap_or_else(PoisonError::into_inner);
        if let Some(more) = limiter.admit(Clock::System.now()) {
            obs::record(
                &report.log,
                Event::ConnectionsClosed,
                &[
                    ("closed", &closed),
                    ("bytes", &used),
                    ("limit", &self.limit),
                    ("more", &more),
                ],
            );
        }
    }
}

impl Table {
    /// The connection that has waited longest for its client.
    fn longest_waiting(&self) -> Option<u64> {
        let waiting = self.open.iter().filter(|(_, c)| c.stage != Stage::Handled);
        let first = waiting.min_by_key(|(_, c)| (c.stage == Stage::Idle, c.since));
        first.map(|(id, _)| *id)
    }

    /// Counts `bytes` for a connection, and returns what was counted before.
    fn count(&mut self, id: u64, bytes: usize) -> usize {
        let Some(connection) = self.open.get_mut(&id) else {
            return 0;
        };
        let before = std::mem::replace(&mut connection.bytes, bytes);
        self.used = (self.used - before).saturating_add(bytes);
        before
    }

    fn remove(&mut self, id: u64) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        self.used -= connection.bytes;
        self.unfinished -= usize::from(connection.stage == Stage::Unfinished);
        Some(connection)
    }

    fn set_stage(&mut self, id: u64, stage: Stage) {
        self.changes += 1;
        let Some(connection) = self.open.get_mut(&id).filter(|c| c.stage != stage) else {
            return;
        };
        self.unfinished -= usize::from(connection.stage == Stage::Unfinished);
        self.unfinished += usize::from(stage == Stage::Unfinished);
        connection.stage = stage;
        connection.since = self.changes;
    }
}

/// The memory of a connection, counted until it is dropped.
pub(crate) struct Ticket {
    id: u64,
    shared: Arc<Shared>,
    close: Arc<CloseSignal>,
}

impl Ticket {
    /// Counts `bytes` beyond those of every connection, in place of what was counted before. Closes
    /// others for them if they exceed the limit. Returns whether there is memory for them; otherwise
    /// nothing changes.
    pub fn reserve(&self, bytes: usize) -> bool {
        let mut table = self.shared.lock();
        let before = table.count(self.id, CONNECTION_BYTES.saturating_add(bytes));
        let closed = self.shared.make_room(&mut table, self.id);
        let is_granted = table.open.contains_key(&self.id)
            && (table.used <= self.shared.limit
                || bytes <= before.saturating_sub(CONNECTION_BYTES));
        if !is_granted {
            table.count(self.id, before);
        }
        self.shared.finish(table, &closed);
        is_granted
    }

    /// As [`Ticket::reserve`], for memory that is taken already.
    pub fn hold(&self, bytes: usize) {
        let mut table = self.shared.lock();
        table.count(self.id, CONNECTION_BYTES.saturating_add(bytes));
        let closed = self.shared.make_room(&mut table, self.id);
        self.shared.finish(table, &closed);
    }

    /// Notes what the connection waits for from now on.
    pub fn set_stage(&self, stage: Stage) {
        let mut table = self.shared.lock();
        table.set_stage(self.id, stage);
        let mut closed = Vec::new();
        if table.unfinished > self.shared.max_unfinished {
            let first = table.longest_waiting();
            closed.extend(first.and_then(|id| table.remove(id)));
        }
        self.shared.finish(table, &closed);
    }

    /// Whether the connection has to be closed. Otherwise `task` is woken once it has to.
    pub fn is_closed(&self, task: &Waker) -> bool {
        self.close.task.register(task);
        self.close.is_set.load(Ordering::Acquire)
    }

    /// Wakes the task of the connection.
    pub fn wake(&self) {
        self.close.task.wake();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut table = self.shared.lock();
        // One that was closed to make room is not counted any more.
        let _ = table.remove(self.id);
        self.shared.finish(table, &[]);
    }
}
