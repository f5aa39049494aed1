//! Trace spans, one per hop, linked by the W3C `traceparent` header.

use std::fmt;
use std::str::FromStr;

use base::Millis;
use quick_error::quick_error;
use slog::Drain;
use slog::Logger;

use crate::event::Event;

quick_error! {
    /// A `traceparent` header that is not valid.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SpanError {
        /// The value of the header.
        Malformed(text: String) {
            display("{text:?} is not a traceparent: want 00-<32 hex>-<16 hex>-<2 hex>")
        }
    }
}

/// The trace and the span under which the next hop opens its span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// Id of the trace; never zero.
    pub trace: u128,
    /// Id of the span; never zero.
    pub span: u64,
    /// Whether the caller may have recorded the trace: the `sampled` flag of the header.
    pub sampled: bool,
}

impl TraceParent {
    /// A new trace with random ids.
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

/// A span of a trace: one hop of a request or job. It is logged when it is closed.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    start: Millis,
    parent: TraceParent,
    own: TraceParent,
}

impl Span {
    /// Starts a span that is a child of `parent`, or in a new trace if there is no parent.
    pub fn start(name: &'static str, parent: Option<TraceParent>, now: Millis) -> Span {
        let parent = parent.unwrap_or_else(TraceParent::root);
        Span {
            name,
            start: now,
            parent,
            own: parent.child(),
        }
    }

    /// The parent of the next hop's span, for its `traceparent` header.
    pub fn context(&self) -> TraceParent {
        self.own
    }

    /// Ends the span and logs it with its duration and `result` if debug events are logged.
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
