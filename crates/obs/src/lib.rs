//! Numbered log events, metrics and trace spans.

mod event;
mod gather;
mod log;
mod metrics;
mod span;

pub use event::Event;
pub use event::Level;
pub use gather::Gather;
pub use log::discard;
pub use log::emit;
pub use log::record;
pub use log::to_stderr;
pub use log::to_stdout;
pub use metrics::Counter;
pub use metrics::Gauge;
pub use metrics::GaugeSeries;
pub use metrics::Histogram;
pub use metrics::Metrics;
pub use metrics::Series;
pub use span::Span;
pub use span::SpanError;
pub use span::TraceParent;
