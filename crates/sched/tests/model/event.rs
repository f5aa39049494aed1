//! Events that can happen in a simulated world.

use base::JobId;
use work::wire::TaskKey;

/// An event. Numbers are indices into the lists of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The store processes a write in flight.
    ApplyWrite(usize),
    /// A caller cancels a job.
    Cancel(JobId),
    /// A worker carries out a call in flight, and a duplicate of the call stays in flight.
    DuplicateCall(usize),
    /// A node restarts and loses its state.
    CrashNode(usize),
    /// A worker restarts and loses its state.
    CrashWorker(usize),
    /// A worker carries out a call in flight.
    DeliverCall(usize),
    /// A coordinator is told that it lost the lock.
    Depose(usize),
    /// A node is elected; the former holder of the lock is not told.
    Elect(usize),
    /// A running task ends, with success if the flag is set.
    EndTask(usize, TaskKey, bool),
    /// The settings watch of a node stalls, or works again.
    ToggleWatch(usize),
    /// A worker carries out a call, and the coordinator receives the result at once.
    CallRoundTrip(usize),
    /// Operators take the failure domain out of service.
    TakeDomainOut,
    /// A node is paused. Its calls that no worker has carried out stay unsent until it resumes.
    Pause(usize),
    /// The planner of a node places a job; the number selects the workers.
    Plan(usize, JobId, u32),
    /// A coordinator receives the result of a call.
    DeliverReply(usize),
    /// A paused node continues.
    Resume(usize),
    /// The store processes a write, and the coordinator receives the result at once.
    WriteRoundTrip(usize),
    /// The planner of a node stops a job.
    Stop(usize, JobId),
    /// Time advances by one tick.
    Tick,
    /// The record watch of a node delivers the records that changed.
    DeliverRecords(usize),
    /// A coordinator receives the result of a write.
    DeliverWriteResult(usize),
}

impl Event {
    /// Whether the event counts as a fault, of which a search allows a limited number.
    pub fn is_fault(&self) -> bool {
        use Event::*;
        matches!(
            self,
            Cancel(_)
                | DuplicateCall(_)
                | CrashNode(_)
                | CrashWorker(_)
                | Depose(_)
                | Elect(_)
                | EndTask(..)
                | ToggleWatch(_)
                | TakeDomainOut
                | Pause(_)
                | Stop(..)
        )
    }
}
