//! Daemons that carry a coordinator's calls to workers out.
//!
//! Load pattern: a coordinator with a connection to each of a thousand workers spends most of its
//! processor time and memory on HTTP, while hundreds of other daemons are idle. On large sites it
//! sends its calls in batches over a few links to delegates, each of which calls its share of the
//! workers and returns the responses.
//!
//! A delegate decides nothing and keeps no state about jobs. Every call carries the coordinator's
//! epoch, by which the worker refuses those of a former coordinator. A call whose response is lost
//! with the link is treated like one that the worker did not answer.
//!
//! Nothing in this crate does I/O or reads a clock.

mod age;
mod assignment;
mod message;
mod retry;

pub use age::AgeFilter;
pub use age::MAX_AGE;
pub use assignment::Assignment;
pub use assignment::Delegate;
pub use assignment::Route;
pub use assignment::Sizing;
pub use message::Call;
pub use message::Envelope;
pub use message::MessageError;
pub use message::Response;
pub use retry::start_with_retry;
pub use retry::START_TIMEOUT;
