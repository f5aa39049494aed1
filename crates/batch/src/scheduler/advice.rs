//! Requests to the adviser and its responses.

use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::advice::AdviceRequest;
use crate::advice::AdviceResponse;

impl Scheduler {
    /// The next request to the adviser, if one is due and none is in flight.
    pub fn next_advice(&mut self, now: Millis) -> Option<AdviceRequest> {
        let workers = &self.workers;
        let born = |id: &WorkerId| workers.get(id).map_or(0, |w| w.born);
        self.advice.next(now, born)
    }

    /// Processes the response to a request to the adviser that was sent at `sent`.
    pub fn advice_response(
        &mut self,
        request: &AdviceRequest,
        response: AdviceResponse,
        sent: Millis,
        now: Millis,
    ) {
        let text = match &response {
            AdviceResponse::Approved(approved, _) => {
                let (approved, all) = (approved.len(), request.workers.len());
                format!(
                    "adviser approved {approved} of {all} workers for step {}",
                    request.step
                )
            }
            AdviceResponse::Partial(approved, _, why) => {
                let (approved, all) = (approved.len(), request.workers.len());
                format!(
                    "adviser approved {approved} of {all} workers for step {}, with a row that \
                     cannot be read: {why}",
                    request.step
                )
            }
            AdviceResponse::Failed(why) => format!(
                "request to the adviser for step {} failed: {why}",
                request.step
            ),
        };
        // While the adviser keeps failing, only the first failure is logged.
        if !(self.advice.is_failing() && matches!(response, AdviceResponse::Failed(_))) {
            self.log(Some(&request.step.job), text);
        }
        let workers = &self.workers;
        let born = |id: &WorkerId| workers.get(id).map_or(0, |w| w.born);
        self.advice
            .apply_response(request, response, (sent, now), born);
    }
}
