//! HTTP routes of the fake platform.

use std::io;
use std::time::Duration;

use actix_web::body::BodyStream;
use actix_web::body::SizedStream;
use actix_web::http::StatusCode;
use actix_web::rt::spawn;
use actix_web::rt::time::sleep;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use futures_util::future::pending;
use futures_util::stream::iter;
use futures_util::stream::once;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fault::Fault;
use crate::fault::FaultSpec;
use crate::platform_kv::Kv;
use crate::platform_kv::KvError;
use crate::platform_state::SharedState;
use crate::platform_vms::VmRow;
use crate::platform_watch;
use crate::platform_wire::ErrorResponse;
use crate::platform_wire::LeaseRequest;
use crate::platform_wire::LeaseResponse;
use crate::platform_wire::Num;
use crate::platform_wire::Streamed;
use crate::platform_wire::WatchRequest;

/// Delay before the end of a truncated response, so that its first half reaches the caller.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
// gRPC status codes.
const GRPC_INVALID_ARGUMENT: i32 = 3;
const GRPC_NOT_FOUND: i32 = 5;
const GRPC_OUT_OF_RANGE: i32 = 11;
const GRPC_UNAVAILABLE: i32 = 14;

/// The routes of the etcd gateway and of the list of VMs, which daemons call.
pub fn routes(config: &mut ServiceConfig) {
    config.app_data(web::PayloadConfig::new(MAX_BODY_BYTES));
    config.route("/v3/kv/range", web::post().to(range));
    config.route("/v3/kv/put", web::post().to(put));
    config.route("/v3/kv/deleterange", web::post().to(delete));
    config.route("/v3/kv/txn", web::post().to(txn));
    config.route("/v3/lease/grant", web::post().to(grant));
    config.route("/v3/lease/revoke", web::post().to(revoke));
    config.route("/v3/lease/keepalive", web::post().to(keep_alive));
    config.route("/v3/watch", web::post().to(watch));
    config.route("/v1/vms", web::get().to(vms));
}

async fn range(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    handle(&shared, "range", &body, |kv, request, _| kv.range(&request)).await
}

async fn put(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    handle(&shared, "put", &body, |kv, request, _| kv.put(&request)).await
}

async fn delete(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    let execute = |kv: &mut Kv, request, _| Ok(kv.delete(&request));
    handle(&shared, "deleterange", &body, execute).await
}

async fn txn(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    handle(&shared, "txn", &body, |kv, request, _| kv.txn(&request)).await
}

async fn grant(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    let execute = |kv: &mut Kv, request: LeaseRequest, now| {
        let id = kv.grant(request.id.0, request.ttl.0, now);
        Ok(lease_response(kv, id, request.ttl.0))
    };
    handle(&shared, "grant", &body, execute).await
}

async fn revoke(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    let execute = |kv: &mut Kv, request: LeaseRequest, _| {
        kv.revoke(request.id.0)?;
        Ok(lease_response(kv, 0, 0))
    };
    handle(&shared, "revoke", &body, execute).await
}

async fn keep_alive(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    let execute = |kv: &mut Kv, request: LeaseRequest, now| {
        let ttl = kv.keep_alive(request.id.0, now).unwrap_or(0);
        let result = lease_response(kv, request.id.0, ttl);
        Ok(Streamed { result })
    };
    handle(&shared, "keepalive", &body, execute).await
}

async fn watch(shared: Data<SharedState>, body: Bytes) -> HttpResponse {
    let fault = shared.begin_call("watch");
    let Ok(request) = serde_json::from_slice::<WatchRequest>(&body) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            GRPC_INVALID_ARGUMENT,
            "malformed body",
        );
    };
    if let Some(response) = inject_before(&shared, fault).await {
        return response;
    }
    let stream = platform_watch::messages(shared.get_ref().clone(), request.create_request);
    HttpResponse::Ok()
        .content_type("application/json")
        .body(BodyStream::new(stream))
}

async fn vms(shared: Data<SharedState>) -> HttpResponse {
    let fault = shared.begin_call("vms");
    if let Some(response) = inject_before(&shared, fault).await {
        return response;
    }
    let now = shared.now();
    let rows: Vec<VmRow> = shared.lock().vms.rows(now);
    respond(&shared, fault, &rows).await
}

fn lease_response(kv: &Kv, id: i64, ttl: i64) -> LeaseResponse {
    LeaseResponse {
        header: kv.header(),
        id: Num(id),
        ttl: Num(ttl),
    }
}

/// Handles a call to the store: decodes the body, injects the fault in force, executes the call
/// with `execute` and encodes the result.
async fn handle<C, R>(
    shared: &SharedState,
    kind: &str,
    body: &[u8],
    execute: impl FnOnce(&mut Kv, C, u64) -> Result<R, KvError> + 'static,
) -> HttpResponse
where
    C: DeserializeOwned + 'static,
    R: Serialize,
{
    let fault = shared.begin_call(kind);
    let Ok(request) = serde_json::from_slice::<C>(body) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            GRPC_INVALID_ARGUMENT,
            "malformed body",
        );
    };
    if let Some(response) = inject_before(shared, fault).await {
        return response;
    }
    if let Fault::Late(ms) = fault {
        let shared = shared.clone();
        spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            let now = shared.now();
            let _ = execute(&mut shared.lock().kv, request, now);
            shared.notify();
        });
        return pending().await;
    }
    let now = shared.now();
    let result = execute(&mut shared.lock().kv, request, now);
    shared.notify();
    match result {
        Ok(reply) => respond(shared, fault, &reply).await,
        Err(KvError::Compacted) => {
            let text = "etcdserver: mvcc: required revision has been compacted";
            error_response(StatusCode::BAD_REQUEST, GRPC_OUT_OF_RANGE, text)
        }
        Err(KvError::NoLease) => {
            let text = "etcdserver: requested lease not found";
            error_response(StatusCode::NOT_FOUND, GRPC_NOT_FOUND, text)
        }
    }
}

/// Injects the faults that act before a call is executed. Returns a response if the call must not
/// be executed.
async fn inject_before(shared: &SharedState, fault: Fault) -> Option<HttpResponse> {
    match fault {
        Fault::Hang => Some(hang(shared, Fault::Hang).await),
        Fault::Reject => {
            let text = "etcdserver: no leader";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(error_response(status, GRPC_UNAVAILABLE, text))
        }
        Fault::Slow(ms) => {
            sleep(Duration::from_millis(ms)).await;
            None
        }
        _ => None,
    }
}

/// Responds with `reply`, changed by the faults that act after a call was executed.
async fn respond<R: Serialize>(shared: &SharedState, fault: Fault, reply: &R) -> HttpResponse {
    let text = serde_json::to_vec(reply).unwrap_or_default();
    let mut response = HttpResponse::Ok();
    response.content_type("application/json");
    match fault {
        Fault::Lose => hang(shared, Fault::Lose).await,
        Fault::Garble => response.body("{\"header\": <garbled>"),
        Fault::Truncate => {
            let length = text.len() as u64;
            let half = Bytes::from(text[..text.len() / 2].to_vec());
            let reset = io::Error::from(io::ErrorKind::ConnectionReset);
            let end = once(async move {
                sleep(TRUNCATION_DELAY).await;
                Err(reset)
            });
            let parts = iter([Ok(half)]).chain(Box::pin(end));
            response.body(SizedStream::new(length, parts))
        }
        _ => response.body(text),
    }
}

/// Waits until the fault is no longer in force, then responds with a timeout error. Never returns
/// for a fault that is limited to a number of calls.
async fn hang(shared: &SharedState, fault: Fault) -> HttpResponse {
    let mut changes = shared.subscribe();
    loop {
        let current = shared.lock().fault.clone();
        let over = current.calls.is_none() && current.fault != fault;
        if over || changes.changed().await.is_err() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return error_response(status, GRPC_UNAVAILABLE, "etcdserver: request timed out");
        }
    }
}

fn error_response(status: StatusCode, code: i32, text: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorResponse {
        error: text.to_string(),
        message: text.to_string(),
        code,
    })
}

/// The routes of the control port: `POST /fault`, `POST /vms`, `POST /compact`, `POST /older` and
/// `GET /calls`. The caller of this function adds `/fault`, since `refuse` closes the listening
/// socket.
pub fn control_routes(config: &mut ServiceConfig) {
    config.route("/vms", web::post().to(set_vms));
    config.route("/compact", web::post().to(compact));
    config.route("/older", web::post().to(restore_previous));
    config.route("/calls", web::get().to(calls));
}

async fn set_vms(shared: Data<SharedState>, rows: Json<Vec<VmRow>>) -> HttpResponse {
    let now = shared.now();
    shared.lock().vms.set(now, rows.into_inner());
    HttpResponse::NoContent().finish()
}

async fn compact(shared: Data<SharedState>) -> HttpResponse {
    shared.lock().kv.compact();
    HttpResponse::NoContent().finish()
}

/// The body is the key in plain bytes.
async fn restore_previous(shared: Data<SharedState>, key: Bytes) -> HttpResponse {
    let done = shared.lock().kv.restore_previous(&key);
    shared.notify();
    if done {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn calls(shared: Data<SharedState>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().calls)
}

/// Sets the fault and returns the previous one.
pub fn set_fault(shared: &SharedState, spec: FaultSpec) -> FaultSpec {
    let old = std::mem::replace(&mut shared.lock().fault, spec);
    shared.notify();
    old
}
