//! HTTP answers of the services behind the ports.

use actix::MailboxError;
use actix::Message;
use actix::Recipient;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use conf::api::Refusal;
use serde::Serialize;

use crate::ops::Answered;
use crate::ops::Refused;

/// Sends a message and answers with its result as JSON under `status`.
pub(crate) async fn ask<M, T>(to: &Recipient<M>, msg: M, status: StatusCode) -> HttpResponse
where
    M: Message<Result = Answered<T>> + Send + 'static,
    T: Serialize + Send + 'static,
{
    match flatten(to.send(msg).await) {
        Ok(reply) => HttpResponse::build(status).json(reply),
        Err(refused) => refuse(refused),
    }
}

/// The result of a call, or a refusal if the service has stopped.
pub(crate) fn flatten<T>(sent: Result<Answered<T>, MailboxError>) -> Answered<T> {
    sent.unwrap_or_else(|_| Err(Refused::unknown("the daemon is stopping")))
}

/// The answer that carries a refusal.
pub(crate) fn refuse(refused: Refused) -> HttpResponse {
    let status = StatusCode::from_u16(refused.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(refused.refusal)
}

/// The answer to a malformed query or body.
pub(crate) fn malformed(problem: impl std::fmt::Display) -> HttpResponse {
    HttpResponse::BadRequest().json(Refusal::not_run(format!("malformed: {problem}")))
}
