//! Calls to the adviser, one at a time.

use std::rc::Rc;

use base::Millis;
use batch::AdviceResponse;

use crate::batch::lead::Lead;
use crate::batch::shared::Shared;

/// Longest time between two looks whether a call is due.
const TICK: Millis = Millis(50);

/// Asks as the book wants until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Lead>) {
    while !lead.over.get() {
        let order = lead.book.borrow_mut().next_advice(shared.now());
        let Some(order) = order else {
            // A timeout only means that nothing has happened.
            let _ = actix_rt::time::timeout(TICK.duration(), lead.planned.notified()).await;
            continue;
        };
        let sent = shared.now();
        let answer = match &shared.adviser {
            Some(adviser) => adviser.advise(&order).await,
            None => AdviceResponse::Failed("the settings name no adviser".to_string()),
        };
        let now = shared.now();
        lead.book
            .borrow_mut()
            .advice_response(&order, answer, sent, now);
        lead.wake.notify_one();
    }
}
