//! Calls to the services and their HTTP answers.

use actix::MailboxError;
use actix::Message;
use actix::Recipient;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use conf::api::Refusal;
use serde::Serialize;

use crate::ops::ApiError;
use crate::ops::ApiResult;

/// Sends a message to a service and answers with the result as JSON, with HTTP status `status` on
/// success.
pub(crate) async fn call_service<M, T>(
    to: &Recipient<M>,
    msg: M,
    status: StatusCode,
) -> HttpResponse
where
    M: Message<Result = ApiResult<T>> + Send + 'static,
    T: Serialize + Send + 'static,
{
    match flatten(to.send(msg).await) {
        Ok(reply) => HttpResponse::build(status).json(reply),
        Err(error) => error_response(error),
    }
}

/// The result of a call, or an error with unknown outcome if the service has stopped.
pub(crate) fn flatten<T>(sent: Result<ApiResult<T>, MailboxError>) -> ApiResult<T> {
    sent.unwrap_or_else(|_| Err(ApiError::unknown("the daemon is stopping")))
}

/// The HTTP answer for the error of a call.
pub(crate) fn error_response(error: ApiError) -> HttpResponse {
    let status = StatusCode::from_u16(error.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(error.refusal)
}

/// The answer to a malformed query or body.
pub(crate) fn malformed_call(problem: impl std::fmt::Display) -> HttpResponse {
    HttpResponse::BadRequest().json(Refusal::not_run(format!("malformed: {problem}")))
}
