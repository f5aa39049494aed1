//! Load balancing, concurrency limits, admission control and retry budgets of requests.
//!
//! [`Balancer`] decides which upstream serves a request, which requests wait and which are
//! refused. [`RetryBudget`] limits the load that retries add, [`LostSends`] the
//! upstreams that a request can crash. None performs I/O.

mod balancer;
mod check;
mod config;
mod fair;
mod health;
mod limit;
mod lost;
mod pool;
mod retry;

pub use balancer::Action;
pub use balancer::Balancer;
pub use balancer::Input;
pub use balancer::RefusalReason;
pub use balancer::Request;
pub use balancer::SendResult;
pub use balancer::Ticket;
pub use check::Violation;
pub use config::Config;
pub use lost::LostPause;
pub use lost::LostSends;
pub use pool::Availability;
pub use pool::Upstream;
pub use pool::UpstreamStatus;
pub use retry::RetryBudget;
