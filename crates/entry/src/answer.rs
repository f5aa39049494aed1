//! Calls to the services and their HTTP answers.

use actix::MailboxError;
use actix::Message;
use actix::Recipient;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use conf::api::Refusal;
use serde::Serialize;

use crate::ops::Answered;
use crate::ops::Refused;

/// Sends a message to a service and answers with the result as JSON, with HTTP status `status` on
/// success.
pub(crate) async fn call_service<M, T>(
    to: &Recipient<M>,
    msg: M,
    status: StatusCode,
) -> HttpResponse
where
    M: Message<Result = Answered<T>> + Send + 'static,
    T: Serialize + Send + 'static,
{
    match flatten(to.send(msg).await) {
        Ok(reply) => HttpResponse::build(status).json(reply),
        Err(refused) => refusal_response(refused),
    }
}

/// The result of a call, or an error with unknown outcome if the service has stopped.
pub(crate) fn flatten<T>(sent: Result<Answered<T>, MailboxError>) -> Answered<T> {
    sent.unwrap_or_else(|_| Err(Refused::unknown("the daemon is stopping")))
}

/// The HTTP answer for the error of a call.
pub(crate) fn refusal_response(refused: Refused) -> HttpResponse {
    let status = StatusCode::from_u16(refused.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(refused.refusal)
}

/// The answer to a malformed query or body.
pub(crate) fn malformed_call(problem: impl std::fmt::Display) -> HttpResponse {
    HttpResponse::BadRequest().json(Refusal::not_run(format!("malformed: {problem}")))
}
