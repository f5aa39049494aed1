//! Handling of requests by a fake worker.

use std::future::pending;

use actix_web::http::header::HeaderMap;
use actix_web::web;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use base::digest;
use base::Millis;
use base::Outcome;
use bytes::Bytes;
use futures_util::stream;
use work::request;

use super::RequestFault;
use super::WorkerState;

/// Retry delay suggested to a caller that is refused.
const RETRY_AFTER: Millis = Millis(50);

/// Runs a request and responds with the body of the request, changed by the fault in force.
pub(super) async fn serve(
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Some(id) = header(req.headers(), request::ID) else {
        return HttpResponse::BadRequest().body("bt-request-id is missing: send one");
    };
    if !acquire_slot(&worker) {
        return refusal(&worker, id);
    }
    let fault = worker.lock().fault;
    let mut delay = worker.config.service_time;
    if let RequestFault::Late(extra) = fault {
        delay += Millis(extra);
    }
    if delay > Millis::ZERO {
        actix_rt::time::sleep(delay.duration()).await;
    }
    let previous = finish_run(&worker, &id, &body);
    respond(fault, id, body, previous).await
}

fn refusal(worker: &WorkerState, id: String) -> HttpResponse {
    let leaving = worker.lock().tasks.leaving;
    HttpResponse::ServiceUnavailable()
        .insert_header((request::ID, id))
        .insert_header((request::OUTCOME, Outcome::NotRun.to_string()))
        .insert_header((request::RETRY_AFTER, RETRY_AFTER.0.to_string()))
        .insert_header((request::LEAVING, leaving.to_string()))
        .finish()
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_string)
}

/// Takes a slot, unless all are taken or the worker is leaving.
fn acquire_slot(worker: &WorkerState) -> bool {
    let mut inner = worker.lock();
    if inner.running >= worker.config.slots || inner.tasks.leaving {
        return false;
    }
    inner.running += 1;
    true
}

/// Frees the slot and records the run. Returns the id and body of the request that ran before.
fn finish_run(worker: &WorkerState, id: &str, body: &Bytes) -> Option<(String, Vec<u8>)> {
    let mut inner = worker.lock();
    inner.running -= 1;
    *inner.runs.entry(id.to_string()).or_default() += 1;
    inner.last.replace((id.to_string(), body.to_vec()))
}

async fn respond(
    fault: RequestFault,
    id: String,
    body: Bytes,
    previous: Option<(String, Vec<u8>)>,
) -> HttpResponse {
    match (fault, previous) {
        (RequestFault::Mismatched, Some((id, body))) => complete_response(id, body.into()),
        (RequestFault::Failing, _) => failed_response(id),
        (RequestFault::Silent, _) => pending().await,
        (RequestFault::Truncated, _) => truncated_response(id, body),
        _ => complete_response(id, body),
    }
}

/// Adds the headers of a request that has run.
fn add_headers(mut response: HttpResponseBuilder, id: &str) -> HttpResponseBuilder {
    response.insert_header((request::ID, id));
    response.insert_header((request::OUTCOME, Outcome::Ran.to_string()));
    response
}

fn complete_response(id: String, body: Bytes) -> HttpResponse {
    add_headers(HttpResponse::Ok(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(&body))))
        .body(body)
}

fn failed_response(id: String) -> HttpResponse {
    add_headers(HttpResponse::InternalServerError(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(b""))))
        .finish()
}

fn truncated_response(id: String, body: Bytes) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let parts = stream::iter([Ok(half), Err(reset)]);
    add_headers(HttpResponse::Ok(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(&body))))
        .streaming(parts)
}
