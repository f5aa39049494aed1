//! Watches of all keys with a prefix, which resume after failures without missing changes.

use std::time::Duration;

use actix_rt::spawn;
use awc::http::StatusCode;
use base::Backoff;
use base::Millis;
use base::Revision;
use bytes::Bytes;
use futures_util::Stream;
use obs::emit;
use obs::Event;
use serde::Serialize;
use tokio::sync::mpsc::channel;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call;
use crate::call::Failure;
use crate::lines::Lines;
use crate::store::Store;
use crate::types::Change;
use crate::types::Listing;
use crate::watch_wire::Message;
use crate::watch_wire::WatchCall;

const PATH_WATCH: &str = "/v3/watch";

/// Number of events that may wait for the consumer. The watch reads no further until there is room.
const MAX_QUEUED_EVENTS: usize = 256;

/// Longest pause after the first failure.
const FIRST_RETRY_PAUSE: Millis = Millis(100);
/// Longest pause after any failure.
const MAX_RETRY_PAUSE: Millis = Millis(3000);

/// Event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// Changes in the order of their revisions. All changes of a revision are in one event.
    Changes(Vec<Change>),
    /// All keys with the prefix. Replaces what earlier events reported: keys that are not listed do
    /// not exist, and changes before this event may be missing.
    Resync(Listing),
}

/// A running watch, opened by [`Store::watch`].
#[derive(Debug)]
pub struct Watch {
    events: Receiver<WatchEvent>,
    task: JoinHandle<()>,
}

impl Watch {
    /// Waits for the next event. Returns `None` only after the store client was closed.
    pub async fn next(&mut self) -> Option<WatchEvent> {
        self.events.recv().await
    }

    /// Stops the watch.
    pub fn close(self) {
        self.task.abort();
    }
}

impl Store {
    /// Watches the keys that start with a prefix, from the first change after `from`. If `from` is
    /// `None`, the first event is a [`WatchEvent::Resync`] with all keys.
    ///
    /// A watch that fails or receives no message for some time is opened again after the last
    /// revision received. If the store has compacted that revision, the next event is a `Resync`.
    pub fn watch(&self, prefix: &str, from: Option<Revision>) -> Watch {
        let (sender, events) = channel(MAX_QUEUED_EVENTS);
        let task = WatchTask {
            store: self.clone(),
            prefix: prefix.to_string(),
            last: from,
            events: sender,
            backoff: Backoff::new(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE),
        };
        let task = spawn(task.run());
        Watch { events, task }
    }
}

/// Why a stream of a watch ended.
enum StreamEnd {
    /// The stream failed.
    Broken(String),
    /// The store has compacted the revision to start from.
    Compacted,
    /// No message was received for some time.
    Idle,
    /// The consumer closed the watch.
    Closed,
}

struct WatchTask {
    store: Store,
    prefix: String,
    /// Last revision received; `None` if a resync is due.
    last: Option<Revision>,
    events: Sender<WatchEvent>,
    backoff: Backoff,
}

impl WatchTask {
    async fn run(mut self) {
        while !self.events.is_closed() && !self.store.inner.is_closed() {
            let Some(last) = self.last else {
                self.resync().await;
                continue;
            };
            match self.run_stream(last).await {
                StreamEnd::Broken(reason) => {
                    self.pause().await;
                    self.record_restart(Event::WatchRestarted, &reason);
                }
                StreamEnd::Compacted => {
                    self.record_restart(Event::WatchCompacted, &self.prefix);
                    self.pause().await;
                    self.last = None;
                }
                StreamEnd::Idle => self.store.inner.metrics.resumed.add(&[("why", "quiet")], 1),
                StreamEnd::Closed => return,
            }
        }
    }

    /// Counts and logs that the watch is opened again.
    fn record_restart(&self, event: Event, reason: &str) {
        let label = match event {
            Event::WatchCompacted => "compacted",
            _ => "broken",
        };
        self.store.inner.metrics.resumed.add(&[("why", label)], 1);
        emit(&self.store.inner.log, event, reason);
    }

    async fn pause(&mut self) {
        let random = self.store.inner.random();
        sleep(self.backoff.next(random).duration()).await;
    }

    /// Reads all keys and passes them on as a resync.
    async fn resync(&mut self) {
        match self.store.list(&self.prefix).await {
            Ok(listing) => {
                self.last = Some(listing.revision);
                let _ = self.events.send(WatchEvent::Resync(listing)).await;
            }
            Err(error) => {
                self.pause().await;
                sleep(error.retry_after().duration()).await;
            }
        }
    }

    /// Opens a stream and passes its changes on until it ends.
    async fn run_stream(&mut self, last: Revision) -> StreamEnd {
        let inner = self.store.inner.clone();
        let deadline = inner.clock.now() + inner.config.call_timeout;
        if let Err(error) = inner.admit(self.store.priority(), deadline).await {
            return StreamEnd::Broken(error.to_string());
        }
        let start = inner.clock.now();
        let body = match encode(&WatchCall::new(&self.prefix, last.next())) {
            Ok(body) => body,
            Err(error) => return StreamEnd::Broken(error),
        };
        let opened = open_stream(&self.store, body).await;
        inner.record_result(PATH_WATCH, start, opened.as_ref().err());
        let stream = match opened {
            Ok(stream) => stream,
            Err(failure) => return StreamEnd::Broken(format!("{failure:?}")),
        };
        let guard = WatchGuard::new(&self.store);
        let end = self.read_stream(Lines::new(stream)).await;
        drop(guard);
        if !matches!(end, StreamEnd::Idle) {
            inner.use_next_endpoint();
        }
        end
    }

    /// Reads messages and passes their changes on until the stream ends.
    async fn read_stream<S, E>(&mut self, mut lines: Lines<S>) -> StreamEnd
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
    {
        let idle_timeout = self.store.inner.config.idle_timeout.duration();
        let mut created = false;
        loop {
            let line = match self.next_line(&mut lines, idle_timeout).await {
                Ok(line) => line,
                Err(StreamEnd::Idle) if !created => {
                    return StreamEnd::Broken(
                        "the store did not confirm the watch in time".to_string(),
                    );
                }
                Err(end) => return end,
            };
            let message = match Message::parse(&line) {
                Ok(message) => message,
                Err(error) => return StreamEnd::Broken(error.to_string()),
            };
            self.backoff.reset();
            match message {
                Message::Canceled => return StreamEnd::Broken("canceled by the store".to_string()),
                Message::Changes(changes) => self.send_changes(changes).await,
                Message::Compacted => return StreamEnd::Compacted,
                Message::Progress(revision) => self.advance(revision),
                Message::Created => created = true,
            }
        }
    }

    async fn next_line<S, E>(
        &self,
        lines: &mut Lines<S>,
        idle_timeout: Duration,
    ) -> Result<Bytes, StreamEnd>
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
    {
        tokio::select! {
            line = timeout(idle_timeout, lines.next()) => match line {
                Ok(Some(line)) => Ok(line),
                Ok(None) => Err(StreamEnd::Broken("the connection ended".to_string())),
                Err(_) => Err(StreamEnd::Idle),
            },
            () = self.events.closed() => Err(StreamEnd::Closed),
        }
    }

    /// Passes on the changes that are later than the last revision received.
    async fn send_changes(&mut self, changes: Vec<Change>) {
        let received = self.last.unwrap_or_default();
        let new: Vec<Change> = changes
            .into_iter()
            .filter(|c| c.revision() > received)
            .collect();
        let Some(last) = new.last().map(Change::revision) else {
            return;
        };
        self.last = Some(last);
        let _ = self.events.send(WatchEvent::Changes(new)).await;
    }

    /// Records that all changes up to a revision were received.
    fn advance(&mut self, revision: Revision) {
        self.last = self.last.max(Some(revision));
    }
}

/// Counts a waiting watch in the call budget until it is dropped.
struct WatchGuard {
    store: Store,
}

impl WatchGuard {
    fn new(store: &Store) -> WatchGuard {
        store.inner.add_watches(1);
        WatchGuard {
            store: store.clone(),
        }
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.store.inner.add_watches(-1);
    }
}

fn encode<T: Serialize>(call: &T) -> Result<Vec<u8>, String> {
    serde_json::to_vec(call).map_err(|e| e.to_string())
}

/// Opens a stream of messages on a connection of its own.
async fn open_stream(
    store: &Store,
    body: Vec<u8>,
) -> Result<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin, Failure> {
    let inner = &store.inner;
    let Some(addr) = inner.endpoint() else {
        return Err(Failure::NotSent("no endpoint is configured".to_string()));
    };
    let target = format!("{addr}{PATH_WATCH}");
    let request = inner.watch_client.post(format!("http://{target}"));
    let sent = request.content_type("application/json").send_body(body);
    let response = match timeout(inner.config.call_timeout.duration(), sent).await {
        Ok(result) => result.map_err(|e| call::classify_send_error(&target, &e))?,
        Err(_) => {
            return Err(Failure::OutcomeUnknown(format!(
                "{target}: no answer in time"
            )))
        }
    };
    if response.status() != StatusCode::OK {
        return Err(Failure::Refused(format!("{target}: {}", response.status())));
    }
    Ok(response)
}
