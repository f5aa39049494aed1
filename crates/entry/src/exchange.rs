//! Progress of a request and its response, shared by the stream of a connection and the handler.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::Payload;
use actix_web::dev::ServiceRequest;
use actix_web::error::PayloadError;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::HttpMessage;
use bytes::Bytes;
use futures_util::Stream;

use crate::connections::body_memory;
use crate::connections::out_of_memory;
use crate::connections::Stage;
use crate::connections::Ticket;
use crate::connections::REQUEST_BYTES;
use crate::framing::Part;

/// Most bytes of a body that are passed on before the handler takes them.
const MAX_UNTAKEN: usize = 4 << 10;

/// Size of a head up to which the buffers of any request hold it.
const MIN_COUNTED: usize = 4 << 10;

/// Largest buffer of a response that the HTTP library keeps for the next one.
const MAX_KEPT: usize = 128 << 10;

/// What the stream does with the bytes of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reading {
    /// Discards them: the response was sent before the end of the request.
    Discard,
    /// Passes on this part of the request.
    Pass(Part),
    /// Leaves them until the response is sent: the request is complete, or its body is not read.
    Wait,
}

/// The current request of a connection and its response.
pub(crate) struct Exchange {
    ticket: Ticket,
    reading: Cell<Reading>,
    /// Bytes of the body that the handler has not taken.
    untaken: Cell<usize>,
    /// Bytes of the body that the handler has taken.
    taken: Cell<usize>,
    /// Whether the handler takes no more of the body, and whether it took all of it.
    body: Cell<Body>,
    /// Whether the response was passed to the HTTP library.
    is_answered: Cell<bool>,
    /// Memory that the connection keeps between requests.
    kept: Cell<usize>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Body {
    Abandoned,
    Complete,
    Expected,
}

impl Exchange {
    /// The state of a connection that waits for its first request.
    pub fn new(ticket: Ticket) -> Exchange {
        Exchange {
            ticket,
            reading: Cell::new(Reading::Pass(Part::head())),
            untaken: Cell::new(0),
            taken: Cell::new(0),
            body: Cell::new(Body::Complete),
            is_answered: Cell::new(false),
            kept: Cell::new(0),
        }
    }

    /// Begins to handle a request, and counts what is taken of its body.
    pub fn begin(self: &Rc<Exchange>, request: &mut ServiceRequest) -> OpenRequest {
        let length = request.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
        let is_chunked = request.chunked().unwrap_or(false);
        let part = match (request.take_payload(), length) {
            (Payload::None, _) | (_, Some(0)) => None,
            (payload, length) => {
                let counted = CountedPayload {
                    payload,
                    exchange: self.clone(),
                };
                let payload = Box::pin(counted);
                request.set_payload(Payload::Stream { payload });
                Some(match length {
                    _ if is_chunked => Part::chunked(),
                    Some(length) => Part::Sized(length),
                    None => Part::Endless,
                })
            }
        };
        self.untaken.set(0);
        self.taken.set(0);
        match part {
            Some(part) => {
                self.body.set(Body::Expected);
                self.reading.set(Reading::Pass(part));
            }
            None => {
                self.body.set(Body::Complete);
                self.reading.set(Reading::Wait);
                self.ticket.set_stage(Stage::Handled);
            }
        }
        self.ticket.wake();
        OpenRequest {
            exchange: self.clone(),
        }
    }

    /// What to do with the bytes that come next.
    pub fn reading(&self) -> Reading {
        match self.reading.get() {
            Reading::Pass(Part::Head(_)) | Reading::Discard => self.reading.get(),
            _ if self.body.get() == Body::Abandoned => Reading::Wait,
            Reading::Pass(_) if self.untaken.get() >= MAX_UNTAKEN => Reading::Wait,
            reading => reading,
        }
    }

    /// Counts the memory of a request whose head is so long so far. Fails if there is none for it.
    pub fn receive_head(&self, received: usize) -> io::Result<()> {
        if received > MIN_COUNTED {
            self.kept.set(self.kept.get().max(body_memory(received)));
        }
        self.taken.set(0);
        match self.ticket.reserve(self.held()) {
            true => Ok(()),
            false => Err(out_of_memory()),
        }
    }

    /// Memory of the request in progress.
    fn held(&self) -> usize {
        let body = body_memory(self.taken.get());
        body.saturating_add(REQUEST_BYTES + self.kept.get())
    }

    /// Notes that bytes of the current part were passed on, and whether they end it.
    pub fn pass(&self, part: Part, count: usize, is_end: bool) {
        self.reading.set(match is_end {
            true => Reading::Wait,
            false => Reading::Pass(part),
        });
        match part {
            Part::Head(_) => self.ticket.set_stage(Stage::Unfinished),
            _ if is_end => self.ticket.set_stage(Stage::Handled),
            _ => {}
        }
        if !matches!(part, Part::Head(_)) {
            self.untaken.set(self.untaken.get() + count);
        }
    }

    /// Discards what comes until the connection ends.
    pub fn discard(&self) {
        self.reading.set(Reading::Discard);
        self.ticket.set_stage(Stage::Unfinished);
    }

    /// Notes that all that the HTTP library has written was sent.
    pub fn flushed(&self) {
        if !self.is_answered.replace(false) {
            return;
        }
        self.ticket.hold(self.kept.get());
        match self.body.get() {
            Body::Complete => {
                self.reading.set(Reading::Pass(Part::head()));
                self.ticket.set_stage(Stage::Idle);
            }
            Body::Abandoned | Body::Expected => self.discard(),
        }
        self.ticket.wake();
    }

    /// Notes that the client does not take the response for now.
    pub fn blocked(&self) {
        self.ticket.set_stage(Stage::Unfinished);
    }

    /// Whether the connection has to be closed. Otherwise `task` is woken once it has to.
    pub fn is_closed(&self, task: &Waker) -> bool {
        self.ticket.is_closed(task)
    }
}

/// A request until its response is passed to the HTTP library.
pub(crate) struct OpenRequest {
    exchange: Rc<Exchange>,
}

impl OpenRequest {
    /// Whether the handler has read the request to its end.
    pub fn is_complete(&self) -> bool {
        self.exchange.body.get() == Body::Complete
    }

    /// Counts the body of the response, which keeps the request open until it is passed on.
    pub fn respond(self, body: BoxBody) -> OpenBody {
        let exchange = &self.exchange;
        if let BodySize::Sized(size) = body.size() {
            let buffers = body_memory(usize::try_from(size).unwrap_or(usize::MAX));
            let kept = exchange.kept.get().max(buffers.min(MAX_KEPT));
            exchange.kept.set(kept);
            let held = exchange.held().saturating_add(buffers);
            exchange.ticket.hold(held);
        }
        OpenBody { body, _open: self }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.exchange.is_answered.set(true);
    }
}

/// Body of a response, with its request.
pub(crate) struct OpenBody {
    body: BoxBody,
    _open: OpenRequest,
}

impl MessageBody for OpenBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Body of a request, which counts what its handler takes.
struct CountedPayload {
    payload: Payload,
    exchange: Rc<Exchange>,
}

impl Stream for CountedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        let polled = Pin::new(&mut self.payload).poll_next(cx);
        let exchange = &self.exchange;
        match &polled {
            Poll::Pending => {
                if exchange.untaken.replace(0) >= MAX_UNTAKEN {
                    exchange.ticket.wake();
                }
            }
            Poll::Ready(None) => exchange.body.set(Body::Complete),
            Poll::Ready(Some(Ok(part))) => {
                let taken = exchange.taken.get();
                exchange.taken.set(taken.saturating_add(part.len()));
                if !exchange.ticket.reserve(exchange.held()) {
                    return Poll::Ready(Some(Err(PayloadError::Io(out_of_memory()))));
                }
            }
            Poll::Ready(Some(Err(_))) => {}
        }
        polled
    }
}

impl Drop for CountedPayload {
    fn drop(&mut self) {
        if self.exchange.body.get() == Body::Expected {
            self.exchange.body.set(Body::Abandoned);
        }
    }
}
