//! Shapes, guarantees and placement of gang jobs.
//!
//! [`Planner`] holds all decisions on which job runs where, and when. It is pure: it is told
//! what happened, with the time, and answers with what is to be done.

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
pub use guarantees::find_witness;
pub use guarantees::Witness;
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
