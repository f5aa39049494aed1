//! Streaming answer of a watch on the platform stand-in.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use actix_web::web::Bytes;
use futures_util::stream::unfold;
use futures_util::Stream;
use serde::Serialize;
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

use crate::fault::Fault;
use crate::platform_state::Shared;
use crate::platform_wire::Num;
use crate::platform_wire::Streamed;
use crate::platform_wire::WatchCreate;
use crate::platform_wire::WatchReply;

/// Time between progress messages, for watches that ask for them.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

struct WatchState {
    shared: Shared,
    call: WatchCreate,
    changes: Receiver<u64>,
    next: i64,
    pending: VecDeque<WatchReply>,
    ended: bool,
}

impl Drop for WatchState {
    fn drop(&mut self) {
        self.shared.lock().calls.watches -= 1;
    }
}

impl WatchState {
    fn new(shared: Shared, call: WatchCreate) -> WatchState {
        let changes = shared.subscribe();
        let mut state = shared.lock();
        state.calls.watches += 1;
        let header = state.kv.header();
        let compacted = state.kv.compacted();
        drop(state);
        let next = match call.start_revision.0 {
            0 => header.revision.0 + 1,
            from => from,
        };
        let mut pending = VecDeque::new();
        pending.push_back(WatchReply {
            header: header.clone(),
            created: true,
            ..WatchReply::default()
        });
        let ended = next < compacted;
        if ended {
            pending.push_back(WatchReply {
                header,
                canceled: true,
                compact_revision: Num(compacted),
                ..WatchReply::default()
            });
        }
        WatchState {
            shared,
            call,
            changes,
            next,
            pending,
            ended,
        }
    }

    async fn next_message(&mut self) -> Option<WatchReply> {
        loop {
            let fault = self.shared.lock().fault.fault;
            if fault == Fault::WatchBroken {
                return None;
            }
            if matches!(fault, Fault::Hang | Fault::WatchSilent) {
                self.changes.changed().await.ok()?;
                continue;
            }
            if let Some(reply) = self.pending.pop_front() {
                return Some(reply);
            }
            if self.ended {
                return None;
            }
            self.read_events();
            if self.pending.is_empty() {
                self.wait().await?;
            }
        }
    }

    fn read_events(&mut self) {
        self.changes.mark_unchanged();
        let state = self.shared.lock();
        let header = state.kv.header();
        let range_end = &self.call.range_end.0;
        let events = state.kv.events(&self.call.key.0, range_end, self.next);
        drop(state);
        self.next = self.next.max(header.revision.0 + 1);
        if !events.is_empty() {
            self.pending.push_back(WatchReply {
                header,
                events,
                ..WatchReply::default()
            });
        }
    }

    async fn wait(&mut self) -> Option<()> {
        if !self.call.progress_notify {
            return self.changes.changed().await.ok();
        }
        match timeout(PROGRESS_PERIOD, self.changes.changed()).await {
            Ok(changed) => changed.ok(),
            Err(_) => {
                self.push_progress();
                Some(())
            }
        }
    }

    fn push_progress(&mut self) {
        let mut header = self.shared.lock().kv.header();
        header.revision = Num(self.next - 1);
        self.pending.push_back(WatchReply {
            header,
            ..WatchReply::default()
        });
    }
}

/// The messages of a watch, one JSON text a line.
pub fn messages(
    shared: Shared,
    call: WatchCreate,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(WatchState::new(shared, call), |mut state| async move {
        let reply = state.next_message().await?;
        Some((Ok(line(reply)), state))
    })
}

/// One message of a streaming answer with its line end.
pub fn line<T: Serialize>(result: T) -> Bytes {
    let mut text = serde_json::to_vec(&Streamed { result }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}
