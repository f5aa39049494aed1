//! Streaming response of a watch on the fake platform.

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
use crate::platform_state::SharedState;
use crate::platform_wire::Num;
use crate::platform_wire::Streamed;
use crate::platform_wire::WatchCreateRequest;
use crate::platform_wire::WatchResponse;

/// Period of progress notifications, for watches that request them.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

struct WatchState {
    shared: SharedState,
    request: WatchCreateRequest,
    changes: Receiver<u64>,
    /// First revision not yet sent.
    next_revision: i64,
    /// Messages to send before new events are read.
    pending: VecDeque<WatchResponse>,
    /// Whether the watch ends once `pending` is empty.
    ended: bool,
}

impl Drop for WatchState {
    fn drop(&mut self) {
        self.shared.lock().calls.watches -= 1;
    }
}

impl WatchState {
    fn new(shared: SharedState, request: WatchCreateRequest) -> WatchState {
        let changes = shared.subscribe();
        let mut state = shared.lock();
        state.calls.watches += 1;
        let header = state.kv.header();
        let compacted = state.kv.compacted();
        drop(state);
        let next_revision = match request.start_revision.0 {
            0 => header.revision.0 + 1,
            from => from,
        };
        let mut pending = VecDeque::new();
        pending.push_back(WatchResponse {
            header: header.clone(),
            created: true,
            ..WatchResponse::default()
        });
        let ended = next_revision < compacted;
        if ended {
            pending.push_back(WatchResponse {
                header,
                canceled: true,
                compact_revision: Num(compacted),
                ..WatchResponse::default()
            });
        }
        WatchState {
            shared,
            request,
            changes,
            next_revision,
            pending,
            ended,
        }
    }

    async fn next_message(&mut self) -> Option<WatchResponse> {
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
        let range_end = &self.request.range_end.0;
        let events = state
            .kv
            .events(&self.request.key.0, range_end, self.next_revision);
        drop(state);
        self.next_revision = self.next_revision.max(header.revision.0 + 1);
        if !events.is_empty() {
            self.pending.push_back(WatchResponse {
                header,
                events,
                ..WatchResponse::default()
            });
        }
    }

    async fn wait(&mut self) -> Option<()> {
        if !self.request.progress_notify {
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
        header.revision = Num(self.next_revision - 1);
        self.pending.push_back(WatchResponse {
            header,
            ..WatchResponse::default()
        });
    }
}

/// The messages of a watch, one JSON object per line.
pub fn messages(
    shared: SharedState,
    request: WatchCreateRequest,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(WatchState::new(shared, request), |mut state| async move {
        let reply = state.next_message().await?;
        Some((Ok(encode_line(reply)), state))
    })
}

/// Encodes one message of a streaming response, with a line feed at the end.
pub fn encode_line<T: Serialize>(result: T) -> Bytes {
    let mut text = serde_json::to_vec(&Streamed { result }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}
