//! Repetition of starts that a worker does not answer.
//!
//! Load pattern: for some seconds one call in twenty is not answered and is carried out late. Two of
//! five gangs of eight then have a member whose start is lost, and would be stopped and begin again.
//! A repeated start has the same run number, which the worker carries out once, so it is safe.

use std::future::Future;

use base::Millis;
use batch::StartResponse;

/// Time-outs of the attempts. A worker answers within a few milliseconds.
const TIMEOUTS: [Millis; 2] = [Millis(200), Millis(400)];

/// Sum of the time-outs of all attempts.
pub const START_TIMEOUT: Millis = Millis(TIMEOUTS[0].0 + TIMEOUTS[1].0);

/// Starts a run by attempts with the time-outs given to them, until one is answered. A refusal after
/// an attempt without an answer is not final, because that attempt may still be carried out. `now` is a
/// clock that counts suspensions: a process that stood still between two attempts does not repeat the
/// start, which may then reach the worker's next incarnation.
pub async fn start_with_retry<F, R>(attempt: F, now: impl Fn() -> Millis) -> StartResponse
where
    F: Fn(Millis) -> R,
    R: Future<Output = StartResponse>,
{
    let mut unanswered = None;
    let until = now() + START_TIMEOUT;
    for timeout in TIMEOUTS {
        if unanswered.is_some() && now() >= until {
            break;
        }
        match attempt(timeout).await {
            StartResponse::Unknown(why) => unanswered = Some(why),
            StartResponse::Refused(why) if unanswered.is_some() => {
                return StartResponse::Unknown(format!("refused after a lost answer: {why}"));
            }
            StartResponse::Accepted(clock) if unanswered.is_some() => {
                return StartResponse::Repeated(clock);
            }
            StartResponse::NoTicket if unanswered.is_some() => {
                let why = "the ticket ended after a lost answer";
                return StartResponse::Unknown(why.to_string());
            }
            response => return response,
        }
    }
    StartResponse::Unknown(unanswered.unwrap_or_default())
}
