//! Choice of upstreams, limits, admission and retries of requests.
//!
//! [`Balancer`] decides which upstream serves a request, which request waits and which is
//! refused. [`Retries`] bounds how much load retries may add. Neither does I/O.

mod balancer;
mod check;
mod config;
mod fair;
mod health;
mod limit;
mod pool;
mod retry;

pub use balancer::Action;
pub use balancer::Ask;
pub use balancer::Balancer;
pub use balancer::Input;
pub use balancer::SendResult;
pub use balancer::Ticket;
pub use balancer::Why;
pub use check::Violation;
pub use config::Config;
pub use pool::Standing;
pub use pool::Upstream;
pub use pool::UpstreamStatus;
pub use retry::Retries;
