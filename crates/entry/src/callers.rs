//! Routes of the callers' port: requests, health and readiness.

use actix::Recipient;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use base::digest;
use base::Findings;
use base::Millis;
use base::Outcome;
use bytes::Bytes;
use serde::Serialize;
use work::request;

use crate::connections::is_out_of_memory;
use crate::connections::RETRY_AFTER_CLOSING;
use crate::head::RequestHead;
use crate::msg::Reply;
use crate::msg::ServeRequest;
use crate::ready::Ready;

/// Retry delay for callers of a daemon that is stopping.
const RETRY_AFTER_STOPPING: Millis = Millis(1_000);

/// JSON body of the answer to a request that did not run or whose outcome is unknown.
#[derive(Debug, Serialize)]
struct Refusal<'a> {
    outcome: Outcome,
    reason: &'a str,
    #[serde(skip_serializing_if = "Findings::is_empty")]
    findings: Findings,
}

/// Adds the routes of the callers' port. `requests` forwards the requests; `max_body` is the largest
/// accepted body in bytes.
pub fn callers_routes(
    app: &mut web::ServiceConfig,
    requests: Recipient<ServeRequest>,
    ready: Ready,
    max_body: usize,
) {
    app.app_data(web::Data::new(requests))
        .app_data(web::Data::new(ready))
        .app_data(web::PayloadConfig::new(max_body))
        .route("/v1/requests/{service}", web::post().to(serve))
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(readiness));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive")
}

async fn readiness(ready: web::Data<Ready>) -> HttpResponse {
    match ready.is_ready() {
        true => HttpResponse::Ok().body("ready"),
        false => HttpResponse::ServiceUnavailable().body("not ready"),
    }
}

async fn serve(
    requests: web::Data<Recipient<ServeRequest>>,
    path: web::Path<String>,
    req: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let head = match RequestHead::from_headers(&path, req.headers()) {
        Ok(head) => head,
        Err(findings) => return malformed_headers(findings),
    };
    let body = match body {
        Ok(body) => body,
        Err(error) if error.as_error().is_some_and(is_out_of_memory) => {
            // An earlier send of the same id may have run.
            let busy = Reply::Unknown {
                why: error.to_string(),
                retry: RETRY_AFTER_CLOSING,
            };
            return response(head.id.as_str(), busy);
        }
        Err(error) => return invalid_body(&error),
    };
    let id = head.id.clone();
    let sent = requests.send(ServeRequest { head, body }).await;
    let reply = sent.unwrap_or_else(|_| Reply::Unknown {
        why: "the daemon is stopping".to_string(),
        retry: RETRY_AFTER_STOPPING,
    });
    response(id.as_str(), reply)
}

fn malformed_headers(findings: Findings) -> HttpResponse {
    let reason = "the request is malformed";
    not_run_response(StatusCode::BAD_REQUEST, reason, findings)
}

/// The answer to a body that is too large or could not be read completely.
fn invalid_body(error: &actix_web::Error) -> HttpResponse {
    match error.as_response_error().status_code() {
        StatusCode::PAYLOAD_TOO_LARGE => {
            let reason = "the body is larger than the daemon takes";
            not_run_response(StatusCode::PAYLOAD_TOO_LARGE, reason, Findings::new())
        }
        _ => {
            let reason = format!("the body cannot be read: {error}");
            not_run_response(StatusCode::BAD_REQUEST, &reason, Findings::new())
        }
    }
}

fn not_run_response(status: StatusCode, reason: &str, findings: Findings) -> HttpResponse {
    HttpResponse::build(status)
        .insert_header((request::OUTCOME, Outcome::NotRun.to_string()))
        .json(Refusal {
            outcome: Outcome::NotRun,
            reason,
            findings,
        })
}

fn response(id: &str, reply: Reply) -> HttpResponse {
    let outcome = reply.outcome();
    let (status, retry, why) = match reply {
        Reply::Ran { status, body } => return ran_response(id, status, body),
        Reply::NotRun { why, retry } => (StatusCode::SERVICE_UNAVAILABLE, retry, why),
        Reply::Unknown { why, retry } => (StatusCode::GATEWAY_TIMEOUT, retry, why),
    };
    HttpResponse::build(status)
        .insert_header((request::ID, id))
        .insert_header((request::OUTCOME, outcome.to_string()))
        .insert_header((request::RETRY_AFTER, retry.0.to_string()))
        .json(Refusal {
            outcome,
            reason: &why,
            findings: Findings::new(),
        })
}

fn ran_response(id: &str, status: u16, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .insert_header((request::ID, id))
        .insert_header((request::OUTCOME, Outcome::Ran.to_string()))
        .insert_header((request::DIGEST, format!("{:016x}", digest(&body))))
        .body(body)
}
