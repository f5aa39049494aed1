//! Sends requests to the adviser, one at a time.

use std::rc::Rc;

use base::Millis;
use batch::AdviceResponse;

use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Longest time between two checks whether a request is due.
const CHECK_INTERVAL: Millis = Millis(50);

/// Sends the requests that the scheduler returns until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    while !lead.ended.get() {
        let request = lead.scheduler.borrow_mut().next_advice(shared.now());
        let Some(request) = request else {
            // The check is also repeated after a time-out, when no pass has ended.
            let _ =
                actix_rt::time::timeout(CHECK_INTERVAL.duration(), lead.pass_done.notified()).await;
            continue;
        };
        let sent = shared.now();
        let response = match &shared.adviser {
            Some(adviser) => adviser.advise(&request).await,
            None => AdviceResponse::Failed("no adviser is configured".to_string()),
        };
        let now = shared.now();
        lead.scheduler
            .borrow_mut()
            .advice_response(&request, response, sent, now);
        lead.wake.notify_one();
    }
}
