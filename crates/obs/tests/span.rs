//! Spans and the `traceparent` header.

use base::Millis;
use obs::Span;
use obs::TraceParent;
use yare::parameterized;

#[test]
fn traceparent_round_trips_through_text() {
    let parent = TraceParent::root();
    assert_eq!(parent.to_string().parse(), Ok(parent));
}

#[test]
fn child_span_keeps_the_trace_id() {
    let parent = TraceParent::root();
    let span = Span::start("hop", Some(parent), Millis::ZERO);
    assert_eq!(span.context().trace, parent.trace);
    assert_ne!(span.context().span, parent.span);
}

#[parameterized(
    empty = { "" },
    unknown_version = { "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" },
    zero_trace = { "00-00000000000000000000000000000000-b7ad6b7169203331-01" },
    zero_span = { "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01" },
    short_ids = { "00-0af7-b7ad-01" },
    not_hex = { "00-0af7651916cd43dd8448eb211c80319z-b7ad6b7169203331-01" },
)]
fn rejects_invalid_traceparents(text: &str) {
    assert!(text.parse::<TraceParent>().is_err());
}
