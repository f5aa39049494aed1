//! Numbered log events, metrics and trace spans.

mod event;
mod log;
mod log_limiter;
mod metrics;
mod output;
mod short;
mod span;

pub use event::Event;
pub use event::Level;
pub use log::discard;
pub use log::emit;
pub use log::record;
pub use log::Log;
pub use log_limiter::LogLimiter;
pub use log_limiter::SubjectLimiter;
pub use metrics::Counter;
pub use metrics::CounterSeries;
pub use metrics::Gauge;
pub use metrics::GaugeSeries;
pub use metrics::Histogram;
pub use metrics::Metrics;
pub use span::Span;
pub use span::SpanError;
pub use span::TraceParent;
