//! The request side of a worker stand-in.

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

/// Suggested wait after a refusal for want of a slot.
const RETRY_AFTER: Millis = Millis(50);

/// Runs a request and answers with its own body.
pub(super) async fn serve(
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Some(id) = header(req.headers(), request::ID) else {
        return HttpResponse::BadRequest().body("bt-request-id is missing: send one");
    };
    if !enter(&worker) {
        return refused(&worker, id);
    }
    let fault = worker.lock().fault;
    let mut pause = worker.config.service;
    if let RequestFault::Late(more) = fault {
        pause += Millis(more);
    }
    if pause > Millis::ZERO {
        actix_rt::time::sleep(pause.duration()).await;
    }
    let other = record(&worker, &id, &body);
    answer(fault, id, body, other).await
}

fn refused(worker: &WorkerState, id: String) -> HttpResponse {
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

fn enter(worker: &WorkerState) -> bool {
    let mut inner = worker.lock();
    if inner.running >= worker.config.slots || inner.tasks.leaving {
        return false;
    }
    inner.running += 1;
    true
}

fn record(worker: &WorkerState, id: &str, body: &Bytes) -> Option<(String, Vec<u8>)> {
    let mut inner = worker.lock();
    inner.running -= 1;
    *inner.runs.entry(id.to_string()).or_default() += 1;
    inner.last.replace((id.to_string(), body.to_vec()))
}

async fn answer(
    fault: RequestFault,
    id: String,
    body: Bytes,
    other: Option<(String, Vec<u8>)>,
) -> HttpResponse {
    match (fault, other) {
        (RequestFault::Crossed, Some((id, body))) => whole(id, body.into()),
        (RequestFault::Failing, _) => failed(id),
        (RequestFault::Silent, _) => pending().await,
        (RequestFault::Truncated, _) => truncated(id, body),
        _ => whole(id, body),
    }
}

fn head(mut answer: HttpResponseBuilder, id: &str) -> HttpResponseBuilder {
    answer.insert_header((request::ID, id));
    answer.insert_header((request::OUTCOME, Outcome::Ran.to_string()));
    answer
}

fn whole(id: String, body: Bytes) -> HttpResponse {
    head(HttpResponse::Ok(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(&body))))
        .body(body)
}

fn failed(id: String) -> HttpResponse {
    head(HttpResponse::InternalServerError(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(b""))))
        .finish()
}

fn truncated(id: String, body: Bytes) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let cut = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let parts = stream::iter([Ok(half), Err(cut)]);
    head(HttpResponse::Ok(), &id)
        .insert_header((request::DIGEST, format!("{:016x}", digest(&body))))
        .streaming(parts)
}
