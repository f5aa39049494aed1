//! Scheduling of batch jobs, whose tasks run on the workers of one site.
//!
//! One coordinator owns a [`Book`], which holds the state of all jobs and workers. It is a pure
//! state machine: its inputs are observations (submissions, cancellations, reports of workers,
//! responses to requests), its outputs are the requests to send and the records to store. Nothing
//! in this crate does I/O or reads a clock.

mod admit;
mod advice;
mod book;
mod bounds;
mod catalog;
mod job;
pub mod place;
mod plan;
pub mod preempt;
mod quota;
pub mod rank;
mod record;
pub mod reserve;
mod spec;
pub mod throttle;
pub mod wave;
mod worker;

pub use admit::admit;
pub use admit::Load;
pub use admit::PoolLoad;
pub use admit::Promises;
pub use admit::Verdict;
pub use admit::Work;
pub use advice::Advice;
pub use advice::AdviceRequest;
pub use advice::AdviceResponse;
pub use advice::AdviceRule;
pub use book::Book;
pub use book::Note;
pub use book::Pending;
pub use book::PollRequest;
pub use book::StartRequest;
pub use book::StartResponse;
pub use book::StopRequest;
pub use book::ThrottleRequest;
pub use bounds::Bounds;
pub use bounds::Derived;
pub use bounds::REQUEST_TIMEOUT;
pub use catalog::Catalog;
pub use catalog::CatalogLimits;
pub use catalog::Found;
pub use catalog::Pool;
pub use catalog::Queue;
pub use catalog::Tenant;
pub use job::JobPhase;
pub use quota::Quota;
pub use record::JobRecord;
pub use record::Progress;
pub use record::RecordError;
pub use record::Submitted;
pub use spec::Resources;
pub use spec::RunNumber;
pub use spec::Schedule;
pub use spec::StepId;
pub use spec::StepSpec;
pub use spec::Submission;
pub use spec::SubmissionError;
pub use spec::TaskId;
pub use worker::EndKind;
pub use worker::EndRow;
pub use worker::Report;
pub use worker::RunRow;
pub use worker::WorkerState;
pub use worker::WorkerView;
