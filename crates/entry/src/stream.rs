//! Connections of clients, and their end when the server closes.
//!
//! Failure pattern: a client sends a request on an idle connection just when the server closes it, and
//! the server reads the request and drops it.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::TcpStream;
use base::Millis;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::watch;

/// Time from the begin of the close in which a request that has arrived on an idle connection is read.
pub const LAST_READ_TIME: Millis = Millis(10);

/// Begin of an interim response, after which the client sends the rest of its request.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 ";

/// Whether a server closes, and how many requests it has left without a response.
#[derive(Clone, Debug)]
pub struct CloseState {
    closing: Arc<watch::Sender<bool>>,
    unanswered: Arc<AtomicUsize>,
}

impl CloseState {
    /// The state of a server that runs.
    pub fn new() -> CloseState {
        CloseState {
            closing: Arc::new(watch::Sender::new(false)),
            unanswered: Arc::default(),
        }
    }

    /// Ends idle connections once what has arrived on them is read.
    pub fn begin(&self) {
        self.closing.send_replace(true);
    }

    /// Whether the close has begun.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Number of connections that ended since the begin of the close with a request, or a part of one,
    /// and without its response.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }
}

/// Progress of the requests on a connection, which come one after the other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// No part of a request has come since the last response.
    Idle,
    /// The connection was accepted after the begin of the close, and its first request has not come.
    New,
    /// A request, or a part of one, has come, and nothing of its response was written.
    Request,
}

/// A connection of a client. While the server closes, an idle one reads as ended.
pub struct ClientStream {
    stream: TcpStream,
    state: CloseState,
    progress: Progress,
    /// Completes when idle connections end.
    close: Pin<Box<dyn Future<Output = ()>>>,
    is_closed: bool,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, state: CloseState) -> ClientStream {
        let mut closing = state.closing.subscribe();
        let progress = match *closing.borrow() {
            true => Progress::New,
            false => Progress::Idle,
        };
        let close = Box::pin(async move {
            // An error means that the server is gone.
            let _ = closing.wait_for(|closing| *closing).await;
            actix_rt::time::sleep(LAST_READ_TIME.duration()).await;
        });
        ClientStream {
            stream,
            state,
            progress,
            close,
            is_closed: false,
        }
    }

    fn note_written(&mut self, bytes: &[u8]) {
        if !bytes.starts_with(INTERIM_RESPONSE) {
            self.progress = Progress::Idle;
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.progress == Progress::Request && self.state.is_closing() {
            self.state.unanswered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress = Progress::Request;
        }
        if polled.is_pending() {
            self.is_closed = self.is_closed || self.close.as_mut().poll(cx).is_ready();
            if self.is_closed && self.progress == Progress::Idle {
                return Poll::Ready(Ok(()));
            }
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.note_written(buf);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.note_written(bufs.first().map_or(&[], |b| b));
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
