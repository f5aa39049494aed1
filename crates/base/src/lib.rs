//! Types that all other crates share: identifiers, sizes, rates, time, findings and jobs.
//!
//! Only [`listen`] opens a socket and only [`Clock::System`] reads the clock of the operating system;
//! nothing else here does I/O.

mod backoff;
mod budget;
mod clock;
mod digest;
mod finding;
mod ids;
mod job;
mod listen;
mod map;
mod outcome;
mod size;

pub use backoff::Backoff;
pub use budget::MemoryBudget;
pub use budget::TakenMemory;
pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::Millis;
pub use digest::digest;
pub use digest::rank;
pub use finding::Finding;
pub use finding::Findings;
pub use ids::Attempt;
pub use ids::DomainId;
pub use ids::Epoch;
pub use ids::Fence;
pub use ids::IdError;
pub use ids::JobId;
pub use ids::JobKind;
pub use ids::MachineId;
pub use ids::OrgId;
pub use ids::RackId;
pub use ids::RequestId;
pub use ids::Revision;
pub use ids::ServiceId;
pub use ids::VmId;
pub use ids::WorkerId;
pub use job::GangPlan;
pub use job::JobSpec;
pub use job::Shape;
pub use job::Spread;
pub use job::TaskPlace;
pub use job::WorkerSpec;
pub use listen::listen;
pub use map::Map;
pub use map::Set;
pub use outcome::Outcome;
pub use size::Accels;
pub use size::Bytes;
pub use size::Cores;
pub use size::Rate;
pub use size::SizeError;
