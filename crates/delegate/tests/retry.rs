//! Repetition of starts that a worker does not answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::ready;

use base::Millis;
use batch::StartResponse;
use delegate::start_with_retry;
use yare::parameterized;

fn accepted() -> StartResponse {
    StartResponse::Accepted(7)
}

fn lost() -> StartResponse {
    StartResponse::Unknown("lost".to_string())
}

fn refused() -> StartResponse {
    StartResponse::Refused("room".to_string())
}

/// Failure: a lost answer stopped the run and broke its gang, although the worker would have
/// confirmed the run on a second call.
#[parameterized(
    at_once = { vec![accepted()], 1, "accepted" },
    after_a_lost_answer = { vec![lost(), accepted()], 2, "repeated" },
    never = { vec![lost(), lost()], 2, "unknown" },
    turned_down = { vec![refused()], 1, "refused" },
    fenced = { vec![lost(), StartResponse::Fenced], 2, "fenced" },
    // The first attempt may still be carried out, so the run must be stopped by its number.
    turned_down_after_a_lost_answer = { vec![lost(), refused()], 2, "unknown" },
    no_ticket = { vec![StartResponse::NoTicket], 1, "no ticket" },
    no_ticket_after_a_lost_answer = { vec![lost(), StartResponse::NoTicket], 2, "unknown" },
)]
fn an_unanswered_start_is_repeated(responses: Vec<StartResponse>, calls: usize, result: &str) {
    let all = responses.len();
    let responses = RefCell::new(responses);
    let attempt = |_| ready(responses.borrow_mut().remove(0));
    let response = actix_rt::System::new().block_on(start_with_retry(attempt, || Millis(1)));
    assert_eq!(all - responses.borrow().len(), calls);
    let found = match response {
        StartResponse::Accepted(_) => "accepted",
        StartResponse::Repeated(_) => "repeated",
        StartResponse::Fenced => "fenced",
        StartResponse::NoTicket => "no ticket",
        StartResponse::Refused(_) => "refused",
        StartResponse::Unknown(_) => "unknown",
    };
    assert_eq!(found, result);
}

/// Failure: a delegate that was suspended during a start repeated it when it woke up. The worker had
/// been started again meanwhile, and its next incarnation carried the start out.
#[test]
fn a_start_is_not_repeated_after_a_suspension() {
    let (calls, clock) = (Cell::new(0), Cell::new(Millis(1_000)));
    let attempt = |_| {
        calls.set(calls.get() + 1);
        clock.set(clock.get() + Millis(4_000));
        ready(lost())
    };
    let start = start_with_retry(attempt, || clock.get());
    let response = actix_rt::System::new().block_on(start);
    assert_eq!(calls.get(), 1);
    assert_eq!(response, lost());
}
