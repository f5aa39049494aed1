//! Calls of the simulated site that arrive late, or at the next incarnation of their worker.

use base::Millis;
use base::WorkerId;
use batch::PollRequest;
use batch::StartRequest;

use super::site::Site;
use super::worker::FakeWorker;

/// Time after which a late start request is carried out, unless a test sets another.
pub const LATE_DELAY: Millis = Millis(4_000);

/// A call to a worker.
pub enum Call {
    Poll(WorkerId, PollRequest),
    Start(StartRequest),
}

/// A call that has not arrived yet.
pub struct InTransit {
    /// When it arrives, or as soon as its worker is up after that.
    due: Millis,
    call: Call,
}

impl Call {
    fn worker(&self) -> &WorkerId {
        match self {
            Call::Poll(worker, _) => worker,
            Call::Start(request) => &request.worker,
        }
    }

    /// Whether it is for this incarnation. Only a start tells.
    fn is_for(&self, worker: &FakeWorker) -> bool {
        match self {
            Call::Poll(..) => false,
            Call::Start(request) => request.born == worker.born.0,
        }
    }
}

impl Site {
    /// Lets a call wait for a worker that is down, if calls outlive incarnations. Otherwise it is lost.
    pub fn hold(&mut self, call: Call) {
        let down = self.workers.iter().any(|w| w.id == *call.worker() && !w.up);
        if self.outlives && down {
            let due = self.now;
            self.in_transit.push(InTransit { due, call });
        }
    }

    /// Lets a start request arrive late.
    pub fn delay(&mut self, request: &StartRequest) {
        let due = self.now + self.late_delay;
        let call = Call::Start(request.clone());
        self.in_transit.push(InTransit { due, call });
    }

    /// Lets the calls arrive that are due. Their responses are lost.
    pub fn deliver_calls(&mut self) {
        for waiting in std::mem::take(&mut self.in_transit) {
            let id = waiting.call.worker();
            let worker = self.workers.iter().position(|w| w.id == *id);
            let Some(num) = worker.filter(|_| waiting.due <= self.now) else {
                self.in_transit.push(waiting);
                continue;
            };
            let worker = &self.workers[num];
            let arrives = self.outlives || waiting.call.is_for(worker) && worker.reachable;
            match waiting.call {
                // It waits for the next incarnation.
                _ if self.outlives && !worker.up => self.in_transit.push(waiting),
                Call::Poll(_, request) if arrives => {
                    self.workers[num].poll(&request, self.now);
                }
                Call::Start(request) if arrives && worker.up => {
                    self.carry_out(&request);
                }
                _ => {}
            }
        }
    }

    /// Delivers the responses that are due.
    pub fn deliver_responses(&mut self) {
        let now = self.now;
        for (due, request, response) in std::mem::take(&mut self.pending_responses) {
            match due <= now {
                true => self.scheduler.start_response(&request, response, now),
                false => self.pending_responses.push((due, request, response)),
            }
        }
    }
}
