//! Life cycle of jobs, coordinator epochs and take-over.
//!
//! [`Coordinator`] carries out the placements of one failure domain: it records attempts,
//! reserves accelerators, starts gangs, renews their leases, stops them and writes their results.
//! [`Election`] acquires and renews the lock that makes a process the coordinator. Both are state
//! machines without I/O: the host feeds them inputs and carries out the actions they return.

mod attempt;
mod batch;
mod call;
mod coordinator;
mod election;
mod job;
mod message;
mod record;
mod result;
mod stage;
mod store;
mod timing;
mod worker;

pub use coordinator::Coordinator;
pub use coordinator::Violation;
pub use election::Election;
pub use election::LockAction;
pub use election::LockInput;
pub use election::LockTiming;
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
