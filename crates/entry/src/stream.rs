//! Connections of clients: what is read of them, and their end when the server closes.
//!
//! Failure pattern: a client sends a request on an idle connection just when the server closes it, and
//! the server reads the request and drops it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::TcpStream;
use actix_rt::time::Sleep;
use base::Millis;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::watch;

use crate::connections::out_of_memory;
use crate::exchange::Exchange;
use crate::exchange::Reading;
use crate::framing::Part;

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

/// Most bytes read from a connection at once, and read ahead of the end of the current request.
const MAX_AHEAD: usize = 4 << 10;

/// Size that a request line with headers stays below.
const MAX_HEAD: usize = 16 << 10;

/// Response to a larger one.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Most bytes discarded after a response that was sent before the end of its request, so that the client
/// reads it, and the time for them.
const MAX_DISCARDED: usize = 8 << 20;
const DISCARD_TIME: Millis = Millis(1_000);

/// A connection of a client. While the server closes, an idle one reads as ended.
///
/// It passes one request at a time on, so that the HTTP library buffers no further ones.
pub struct ClientStream {
    stream: TcpStream,
    state: CloseState,
    exchange: Rc<Exchange>,
    progress: Progress,
    /// Completes when idle connections end.
    close: Pin<Box<dyn Future<Output = ()>>>,
    is_closed: bool,
    /// Bytes read and not passed on, from `passed`.
    ahead: Vec<u8>,
    passed: usize,
    /// Bytes passed on of the current head.
    head: usize,
    /// Whether bytes were passed on since the HTTP library was last woken to handle them.
    has_passed: bool,
    /// Bytes discarded, and the end of the time for them.
    discarded: usize,
    discard_end: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, state: CloseState, exchange: Rc<Exchange>) -> ClientStream {
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
            exchange,
            progress,
            close,
            is_closed: false,
            ahead: Vec::new(),
            passed: 0,
            head: 0,
            has_passed: false,
            discarded: 0,
            discard_end: None,
        }
    }

    /// The request in progress.
    pub fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }

    fn note_written(&mut self, bytes: &[u8]) {
        if !bytes.starts_with(INTERIM_RESPONSE) {
            self.progress = Progress::Idle;
        }
    }

    /// Reads ahead unless something was. Returns whether the client has ended its side.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.passed < self.ahead.len() {
            return Poll::Ready(Ok(false));
        }
        let mut piece = [0; MAX_AHEAD];
        let mut read = ReadBuf::new(&mut piece);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.ahead.clear();
        self.ahead.extend_from_slice(read.filled());
        self.passed = 0;
        Poll::Ready(Ok(self.ahead.is_empty()))
    }

    /// Passes bytes of the current part of a request on.
    fn poll_pass(
        &mut self,
        mut part: Part,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if ready!(self.poll_ahead(cx))? {
            return Poll::Ready(Ok(()));
        }
        let ahead = &self.ahead[self.passed..];
        let ahead = &ahead[..ahead.len().min(buf.remaining())];
        let (count, is_end) = part.advance(ahead);
        buf.put_slice(&ahead[..count]);
        self.passed += count;
        self.has_passed = true;
        self.progress = Progress::Request;
        if let Part::Head(_) = part {
            self.head += count;
            self.exchange.receive_head(self.head)?;
            if is_end {
                self.head = 0;
            }
        }
        self.exchange.pass(part, count, is_end);
        Poll::Ready(Ok(()))
    }

    /// Refuses a head that is too large.
    fn refuse_head(&mut self, cx: &mut Context<'_>) {
        // The client may not take the response; its connection is closed either way.
        let _ = Pin::new(&mut self.stream).poll_write(cx, HEAD_TOO_LARGE);
        self.progress = Progress::Idle;
        self.exchange.discard();
    }

    /// Waits for the response, and reads ahead to notice the end of the connection.
    fn poll_wait(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.passed < self.ahead.len() {
            return Poll::Pending;
        }
        match ready!(self.poll_ahead(cx))? {
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }

    /// Discards what the client sends. Ends when the client does, or at the limits.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sleep = || Box::pin(actix_rt::time::sleep(DISCARD_TIME.duration()));
        let end = self.discard_end.get_or_insert_with(sleep);
        if end.as_mut().poll(cx).is_ready() || self.discarded > MAX_DISCARDED {
            return Poll::Ready(Ok(()));
        }
        self.passed = self.ahead.len();
        if ready!(self.poll_ahead(cx))? {
            return Poll::Ready(Ok(()));
        }
        self.discarded += self.ahead.len();
        cx.waker().wake_by_ref();
        Poll::Pending
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
        if self.exchange.is_closed(cx.waker()) {
            return Poll::Ready(Err(out_of_memory()));
        }
        // The HTTP library handles what it has read once it can read no more.
        if std::mem::take(&mut self.has_passed) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.head >= MAX_HEAD {
            self.head = 0;
            self.refuse_head(cx);
        }
        let polled = match self.exchange.reading() {
            Reading::Discard => self.poll_discard(cx),
            Reading::Pass(part) => self.poll_pass(part, cx, buf),
            Reading::Wait => self.poll_wait(cx),
        };
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
        if self.exchange.is_closed(cx.waker()) {
            return Poll::Ready(Err(out_of_memory()));
        }
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        match polled {
            Poll::Ready(Ok(1..)) => self.note_written(buf),
            Poll::Ready(_) => {}
            Poll::Pending => self.exchange.blocked(),
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.exchange.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
