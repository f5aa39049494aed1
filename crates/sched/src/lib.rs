//! Life cycle of jobs, coordinator epochs and take-over.
//!
//! [`Coordinator`] carries out the placements of one failure domain: it records attempts,
//! reserves accelerators, starts gangs, renews their leases, stops them and writes their results.
//! [`Election`] acquires and renews the lock that makes a process the coordinator. Both are state
//! machines without I/O: the host feeds them inputs and carries out the actions they return.

mod batch;
mod call;
mod coord;
mod elect;
mod flow;
mod job;
mod message;
mod record;
mod stage;
mod store;
mod timing;
mod verdict;
mod worker;

pub use coord::Coordinator;
pub use coord::Violation;
pub use elect::Election;
pub use elect::LockAction;
pub use elect::LockInput;
pub use elect::LockTiming;
pub use message::Action;
pub use message::AttemptResult;
pub use message::CallBody;
pub use message::CallId;
pub use message::CallResult;
pub use message::Input;
pub use message::Report;
pub use message::StopCause;
pub use message::WriteResult;
pub use record::JobOutcome;
pub use record::JobPhase;
pub use record::JobRecord;
pub use record::RecordError;
pub use record::RecordWire;
pub use timing::SafetyOverrides;
pub use timing::Timing;
