//! Watches of a prefix that resume after faults without gaps.

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

/// Messages that wait for the consumer before the watch stops reading.
const QUEUE: usize = 256;

/// Pause after the first failure, and the longest.
const PAUSE_FIRST: Millis = Millis(100);
const PAUSE_MAX: Millis = Millis(3000);

/// What a watch tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// Changes in order, whole revisions at a time.
    Changes(Vec<Change>),
    /// All keys of the prefix. Keys that are not listed do not exist; changes before it may
    /// not have been told.
    Resync(Listing),
}

/// A running watch.
#[derive(Debug)]
pub struct Watch {
    events: Receiver<WatchEvent>,
    task: JoinHandle<()>,
}

impl Watch {
    /// The next event. `None` only after the store client was closed.
    pub async fn next(&mut self) -> Option<WatchEvent> {
        self.events.recv().await
    }

    /// Ends the watch.
    pub fn close(self) {
        self.task.abort();
    }
}

impl Store {
    /// Watches the keys that start with a prefix, from the first change after `from`.
    /// Without it, the first event is a [`WatchEvent::Resync`] with all keys.
    ///
    /// A watch that breaks or tells nothing for a while is opened again from the last
    /// revision told. If the store has forgotten that one, a `Resync` is told.
    pub fn watch(&self, prefix: &str, from: Option<Revision>) -> Watch {
        let (sender, events) = channel(QUEUE);
        let task = Task {
            store: self.clone(),
            prefix: prefix.to_string(),
            last: from,
            events: sender,
            backoff: Backoff::new(PAUSE_FIRST, PAUSE_MAX),
        };
        let task = spawn(task.run());
        Watch { events, task }
    }
}

/// Why one connection of a watch ended.
enum End {
    Broken(String),
    Compacted,
    Quiet,
    Unwanted,
}

struct Task {
    store: Store,
    prefix: String,
    last: Option<Revision>,
    events: Sender<WatchEvent>,
    backoff: Backoff,
}

impl Task {
    async fn run(mut self) {
        while !self.events.is_closed() && !self.store.inner.is_closed() {
            let Some(last) = self.last else {
                self.resync().await;
                continue;
            };
            match self.follow(last).await {
                End::Broken(why) => {
                    self.pause().await;
                    self.note(Event::WatchRestarted, &why);
                }
                End::Compacted => {
                    self.note(Event::WatchCompacted, &self.prefix);
                    self.pause().await;
                    self.last = None;
                }
                End::Quiet => self.store.inner.metrics.resumed.add(&[("why", "quiet")], 1),
                End::Unwanted => return,
            }
        }
    }

    fn note(&self, event: Event, why: &str) {
        let label = match event {
            Event::WatchCompacted => "compacted",
            _ => "broken",
        };
        self.store.inner.metrics.resumed.add(&[("why", label)], 1);
        emit(&self.store.inner.log, event, why);
    }

    async fn pause(&mut self) {
        let unit = self.store.inner.unit();
        sleep(self.backoff.next(unit).duration()).await;
    }

    async fn resync(&mut self) {
        match self.store.list(&self.prefix).await {
            Ok(listing) => {
                self.last = Some(listing.revision);
                let _ = self.events.send(WatchEvent::Resync(listing)).await;
            }
            Err(error) => {
                self.pause().await;
                sleep(error.after().duration()).await;
            }
        }
    }

    /// Opens one connection and tells what comes over it until it ends.
    async fn follow(&mut self, last: Revision) -> End {
        let inner = self.store.inner.clone();
        let end = inner.clock.now() + inner.config.deadline;
        if let Err(error) = inner.admit(self.store.priority(), end).await {
            return End::Broken(error.to_string());
        }
        let start = inner.clock.now();
        let body = match encode(&WatchCall::new(&self.prefix, last.next())) {
            Ok(body) => body,
            Err(error) => return End::Broken(error),
        };
        let opened = open(&self.store, body).await;
        inner.record(PATH_WATCH, start, opened.as_ref().err());
        let stream = match opened {
            Ok(stream) => stream,
            Err(failure) => return End::Broken(format!("{failure:?}")),
        };
        let waiting = Waiting::new(&self.store);
        let end = self.read(Lines::new(stream)).await;
        drop(waiting);
        if !matches!(end, End::Quiet) {
            inner.rotate();
        }
        end
    }

    async fn read<S, E>(&mut self, mut lines: Lines<S>) -> End
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
    {
        let quiet = self.store.inner.config.quiet.duration();
        let mut created = false;
        loop {
            let line = match self.next_line(&mut lines, quiet).await {
                Ok(line) => line,
                Err(End::Quiet) if !created => {
                    return End::Broken("no first message".to_string());
                }
                Err(end) => return end,
            };
            let message = match Message::parse(&line) {
                Ok(message) => message,
                Err(error) => return End::Broken(error.to_string()),
            };
            self.backoff.reset();
            match message {
                Message::Canceled => return End::Broken("canceled by the store".to_string()),
                Message::Changes(changes) => self.tell(changes).await,
                Message::Compacted => return End::Compacted,
                Message::Progress(revision) => self.advance(revision),
                Message::Created => created = true,
            }
        }
    }

    async fn next_line<S, E>(&self, lines: &mut Lines<S>, quiet: Duration) -> Result<Bytes, End>
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
    {
        tokio::select! {
            line = timeout(quiet, lines.next()) => match line {
                Ok(Some(line)) => Ok(line),
                Ok(None) => Err(End::Broken("the connection ended".to_string())),
                Err(_) => Err(End::Quiet),
            },
            () = self.events.closed() => Err(End::Unwanted),
        }
    }

    async fn tell(&mut self, changes: Vec<Change>) {
        let known = self.last.unwrap_or_default();
        let new: Vec<Change> = changes
            .into_iter()
            .filter(|c| c.revision() > known)
            .collect();
        let Some(last) = new.last().map(Change::revision) else {
            return;
        };
        self.last = Some(last);
        let _ = self.events.send(WatchEvent::Changes(new)).await;
    }

    fn advance(&mut self, revision: Revision) {
        self.last = self.last.max(Some(revision));
    }
}

/// Counts a waiting watch in the budget until it is dropped.
struct Waiting {
    store: Store,
}

impl Waiting {
    fn new(store: &Store) -> Waiting {
        store.inner.count_watch(1);
        Waiting {
            store: store.clone(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.store.inner.count_watch(-1);
    }
}

fn encode<T: Serialize>(call: &T) -> Result<Vec<u8>, String> {
    serde_json::to_vec(call).map_err(|e| e.to_string())
}

/// Opens a connection that nothing else uses.
async fn open(
    store: &Store,
    body: Vec<u8>,
) -> Result<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin, Failure> {
    let inner = &store.inner;
    let Some(addr) = inner.endpoint() else {
        return Err(Failure::NotSent("no endpoint is configured".to_string()));
    };
    let place = format!("{addr}{PATH_WATCH}");
    let request = inner.watch.post(format!("http://{place}"));
    let sent = request.content_type("application/json").send_body(body);
    let response = match timeout(inner.config.deadline.duration(), sent).await {
        Ok(result) => result.map_err(|e| call::send_failure(&place, &e))?,
        Err(_) => return Err(Failure::Lost(format!("{place}: no answer in time"))),
    };
    if response.status() != StatusCode::OK {
        return Err(Failure::Refused(format!("{place}: {}", response.status())));
    }
    Ok(response)
}
