//! Scheduling of batch jobs, whose tasks run on the workers of one site.
//!
//! One coordinator owns a [`Scheduler`], which holds the state of all jobs and workers. It is a
//! pure state machine: its inputs are observations (submissions, cancellations, reports of workers,
//! responses to requests), its outputs are the requests to send and the records to store. Nothing
//! in this crate does I/O or reads a clock.

mod admit;
mod advice;
mod bounds;
pub mod candidacy;
mod catalog;
pub mod clearance;
mod duration;
pub mod health;
mod job;
pub mod outage;
pub mod place;
mod plan;
pub mod preempt;
pub mod rank;
mod rate_limit;
mod record;
pub mod reserve;
mod scheduler;
mod spec;
pub mod throttle;
pub mod wave;
mod worker;

pub use admit::admit;
pub use admit::Load;
pub use admit::PoolLoad;
pub use admit::PromisedCapacity;
pub use admit::Verdict;
pub use admit::Work;
pub use advice::Advice;
pub use advice::AdviceRequest;
pub use advice::AdviceResponse;
pub use advice::AdviceRule;
pub use bounds::Bounds;
pub use bounds::DerivedBounds;
pub use bounds::StartAges;
pub use bounds::REQUEST_TIMEOUT;
pub use catalog::Catalog;
pub use catalog::CatalogLimits;
pub use catalog::Org;
pub use catalog::Pool;
pub use catalog::Queue;
pub use catalog::QueueMatch;
pub use job::JobPhase;
pub use rate_limit::RateLimit;
pub use record::JobRecord;
pub use record::Progress;
pub use record::RecordError;
pub use record::Submitted;
pub use scheduler::LogEntry;
pub use scheduler::LogKind;
pub use scheduler::PendingWrite;
pub use scheduler::PollRequest;
pub use scheduler::Scheduler;
pub use scheduler::SeenEnd;
pub use scheduler::StartRequest;
pub use scheduler::StartResponse;
pub use scheduler::StopRequest;
pub use scheduler::ThrottleRequest;
pub use spec::Resources;
pub use spec::RunNumber;
pub use spec::Schedule;
pub use spec::StepId;
pub use spec::StepSpec;
pub use spec::Submission;
pub use spec::SubmissionError;
pub use spec::TaskId;
pub use worker::ActiveRun;
pub use worker::EndKind;
pub use worker::EndedRun;
pub use worker::Report;
pub use worker::WorkerEntry;
pub use worker::WorkerState;
