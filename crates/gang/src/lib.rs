//! Admission, placement and scheduling of gang jobs, with capacity guarantees for
//! organisations.
//!
//! [`Planner`] decides which job runs where, and when. It is a deterministic state machine
//! without I/O: [`Planner::step`] takes an [`Input`] and the time, and returns the [`Action`]s
//! to carry out.

mod binding;
mod blocks;
mod check;
mod estimate;
mod event;
mod eviction;
mod fault;
mod guarantees;
mod health;
mod job;
mod lifecycle;
mod moves;
mod offer;
mod pass;
mod placement;
mod planner;
mod policy;
mod queue;
mod reservation;
mod search;
mod site;
mod status;

pub use check::Violation;
pub use event::Action;
pub use event::Ended;
pub use event::Evidence;
pub use event::Input;
pub use event::RefuseReason;
pub use event::StopReason;
pub use fault::Fault;
pub use guarantees::assign_guarantees;
pub use guarantees::GuaranteeAssignment;
pub use offer::pick_domain;
pub use offer::DomainOffer;
pub use planner::Planner;
pub use planner::Usage;
pub use policy::Departure;
pub use policy::Guarantee;
pub use policy::OrgPolicy;
pub use policy::Policy;
pub use status::OrgStatus;
pub use status::PlannerStatus;
pub use status::Shortfall;
