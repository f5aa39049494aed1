//! Trace spans, one for each hop, linked by the W3C `traceparent` header.

use std::fmt;
use std::str::FromStr;

use base::Millis;
use quick_error::quick_error;
use slog::Drain;
use slog::Logger;

use crate::event::Event;

quick_error! {
    /// Why a `traceparent` header was not understood.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SpanError {
        /// The header's text.
        Malformed(text: String) {
            display("{text:?} is not a traceparent: want 00-<32 hex>-<16 hex>-<2 hex>")
        }
    }
}

/// The position in a trace: the trace and the span that a new span is a child of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// The trace.
    pub trace: u128,
    /// The span.
    pub span: u64,
    /// Whether the caller records the trace.
    pub sampled: bool,
}

impl TraceParent {
    /// A new trace that begins here.
    pub fn root() -> TraceParent {
        TraceParent {
            trace: rand::random::<u128>() | 1,
            span: rand::random::<u64>() | 1,
            sampled: true,
        }
    }

    fn child(self) -> TraceParent {
        TraceParent {
            span: rand::random::<u64>() | 1,
            ..self
        }
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl FromStr for TraceParent {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<TraceParent, SpanError> {
        let malformed = || SpanError::Malformed(text.to_string());
        let parts: Vec<&str> = text.split('-').collect();
        let [version, trace, span, flags] = parts[..] else {
            return Err(malformed());
        };
        if version != "00" || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return Err(malformed());
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| malformed())?;
        let span = u64::from_str_radix(span, 16).map_err(|_| malformed())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| malformed())?;
        if trace == 0 || span == 0 {
            return Err(malformed());
        }
        Ok(TraceParent {
            trace,
            span,
            sampled: flags & 1 == 1,
        })
    }
}

/// One hop of a request or job. Logged as an event when it is closed.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    start: Millis,
    parent: TraceParent,
    own: TraceParent,
}

impl Span {
    /// Starts a span below `parent`, or a new trace without one.
    pub fn start(name: &'static str, parent: Option<TraceParent>, now: Millis) -> Span {
        let parent = parent.unwrap_or_else(TraceParent::root);
        Span {
            name,
            start: now,
            parent,
            own: parent.child(),
        }
    }

    /// What the next hop takes as its parent.
    pub fn context(&self) -> TraceParent {
        self.own
    }

    /// Ends the span and logs it with its result.
    pub fn close(self, log: &Logger, now: Millis, result: &str) {
        if !log.is_debug_enabled() {
            return;
        }
        let code = Event::SpanClosed.code();
        slog::debug!(log, "{}", Event::SpanClosed.text(); "event" => code, "span" => self.name,
            "trace" => format!("{:032x}", self.own.trace),
            "id" => format!("{:016x}", self.own.span),
            "parent" => format!("{:016x}", self.parent.span),
            "ms" => now.since(self.start).0, "result" => result);
    }
}
