//! What may happen next in a world.

use base::JobId;
use work::wire::TaskKey;

/// One event. Indexes are positions in the lists of the world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The store takes a write in flight.
    Apply(usize),
    /// A caller cancels a job.
    Cancel(JobId),
    /// A worker carries out a call in flight, which stays in flight as a duplicate.
    Copy(usize),
    /// A coordinator's process is replaced.
    CrashNode(usize),
    /// A worker restarts and knows nothing.
    CrashWorker(usize),
    /// A worker carries out a call in flight.
    Deliver(usize),
    /// A coordinator learns that it was deposed.
    Depose(usize),
    /// A node is elected; the former holder is not told.
    Elect(usize),
    /// A running task ends by itself, with success or not.
    End(usize, TaskKey, bool),
    /// A node's watch of the settings falls silent, or works again.
    Mute(usize),
    /// A call is carried out and answered in one go.
    Exchange(usize),
    /// Operators take the failure domain out.
    Out,
    /// A coordinator's process is paused, its unsent calls too.
    Pause(usize),
    /// The planner of a node places a job, by a number that picks workers.
    Plan(usize, JobId, u32),
    /// A coordinator receives the result of a call.
    Reply(usize),
    /// A paused process goes on.
    Resume(usize),
    /// A write is taken and answered in one go.
    Store(usize),
    /// The planner of a node stops a job.
    Stop(usize, JobId),
    /// Time passes.
    Tick,
    /// A node's watch delivers the records that changed.
    Watch(usize),
    /// A coordinator receives the result of a write.
    Wrote(usize),
}

impl Event {
    /// Whether the event is a fault, of which a search allows few.
    pub fn is_fault(&self) -> bool {
        use Event::*;
        matches!(
            self,
            Cancel(_)
                | Copy(_)
                | CrashNode(_)
                | CrashWorker(_)
                | Depose(_)
                | Elect(_)
                | End(..)
                | Mute(_)
                | Out
                | Pause(_)
                | Stop(..)
        )
    }
}
