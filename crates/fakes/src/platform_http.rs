//! HTTP routes of the platform stand-in.

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
use crate::platform_kv::Refusal;
use crate::platform_state::Shared;
use crate::platform_vms::VmRow;
use crate::platform_watch;
use crate::platform_wire::ErrorReply;
use crate::platform_wire::LeaseCall;
use crate::platform_wire::LeaseReply;
use crate::platform_wire::Num;
use crate::platform_wire::Streamed;
use crate::platform_wire::WatchCall;

/// Lets the first half of a truncated answer reach the caller before the end.
const CUT_DELAY: Duration = Duration::from_millis(20);
const MAX_BODY: usize = 4 * 1024 * 1024;
const CODE_INVALID: i32 = 3;
const CODE_NOT_FOUND: i32 = 5;
const CODE_OUT_OF_RANGE: i32 = 11;
const CODE_UNAVAILABLE: i32 = 14;

/// The routes that daemons call.
pub fn routes(config: &mut ServiceConfig) {
    config.app_data(web::PayloadConfig::new(MAX_BODY));
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

async fn range(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    answer(&shared, "range", &body, |kv, call, _| kv.range(&call)).await
}

async fn put(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    answer(&shared, "put", &body, |kv, call, _| kv.put(&call)).await
}

async fn delete(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    let work = |kv: &mut Kv, call, _| Ok(kv.delete(&call));
    answer(&shared, "deleterange", &body, work).await
}

async fn txn(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    answer(&shared, "txn", &body, |kv, call, _| kv.txn(&call)).await
}

async fn grant(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    let work = |kv: &mut Kv, call: LeaseCall, now| {
        let id = kv.grant(call.id.0, call.ttl.0, now);
        Ok(lease_reply(kv, id, call.ttl.0))
    };
    answer(&shared, "grant", &body, work).await
}

async fn revoke(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    let work = |kv: &mut Kv, call: LeaseCall, _| {
        kv.revoke(call.id.0)?;
        Ok(lease_reply(kv, 0, 0))
    };
    answer(&shared, "revoke", &body, work).await
}

async fn keep_alive(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    let work = |kv: &mut Kv, call: LeaseCall, now| {
        let ttl = kv.keep_alive(call.id.0, now).unwrap_or(0);
        let result = lease_reply(kv, call.id.0, ttl);
        Ok(Streamed { result })
    };
    answer(&shared, "keepalive", &body, work).await
}

async fn watch(shared: Data<Shared>, body: Bytes) -> HttpResponse {
    let fault = shared.enter("watch");
    let Ok(call) = serde_json::from_slice::<WatchCall>(&body) else {
        return refuse(StatusCode::BAD_REQUEST, CODE_INVALID, "malformed body");
    };
    if let Some(response) = before(&shared, fault).await {
        return response;
    }
    let stream = platform_watch::messages(shared.get_ref().clone(), call.create_request);
    HttpResponse::Ok()
        .content_type("application/json")
        .body(BodyStream::new(stream))
}

async fn vms(shared: Data<Shared>) -> HttpResponse {
    let fault = shared.enter("vms");
    if let Some(response) = before(&shared, fault).await {
        return response;
    }
    let now = shared.now();
    let rows: Vec<VmRow> = shared.lock().vms.rows(now);
    after(&shared, fault, &rows).await
}

fn lease_reply(kv: &Kv, id: i64, ttl: i64) -> LeaseReply {
    LeaseReply {
        header: kv.header(),
        id: Num(id),
        ttl: Num(ttl),
    }
}

async fn answer<C, R>(
    shared: &Shared,
    kind: &str,
    body: &[u8],
    work: impl FnOnce(&mut Kv, C, u64) -> Result<R, Refusal> + 'static,
) -> HttpResponse
where
    C: DeserializeOwned + 'static,
    R: Serialize,
{
    let fault = shared.enter(kind);
    let Ok(call) = serde_json::from_slice::<C>(body) else {
        return refuse(StatusCode::BAD_REQUEST, CODE_INVALID, "malformed body");
    };
    if let Some(response) = before(shared, fault).await {
        return response;
    }
    if let Fault::Late(ms) = fault {
        let shared = shared.clone();
        spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            let now = shared.now();
            let _ = work(&mut shared.lock().kv, call, now);
            shared.notify();
        });
        return pending().await;
    }
    let now = shared.now();
    let result = work(&mut shared.lock().kv, call, now);
    shared.notify();
    match result {
        Ok(reply) => after(shared, fault, &reply).await,
        Err(Refusal::Compacted) => {
            let text = "etcdserver: mvcc: required revision has been compacted";
            refuse(StatusCode::BAD_REQUEST, CODE_OUT_OF_RANGE, text)
        }
        Err(Refusal::NoLease) => {
            let text = "etcdserver: requested lease not found";
            refuse(StatusCode::NOT_FOUND, CODE_NOT_FOUND, text)
        }
    }
}

/// Shows the faults that keep a call from taking effect.
async fn before(shared: &Shared, fault: Fault) -> Option<HttpResponse> {
    match fault {
        Fault::Hang => Some(hang(shared, Fault::Hang).await),
        Fault::Reject => {
            let text = "etcdserver: no leader";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(refuse(status, CODE_UNAVAILABLE, text))
        }
        Fault::Slow(ms) => {
            sleep(Duration::from_millis(ms)).await;
            None
        }
        _ => None,
    }
}

/// Shows the faults of the answer.
async fn after<R: Serialize>(shared: &Shared, fault: Fault, reply: &R) -> HttpResponse {
    let text = serde_json::to_vec(reply).unwrap_or_default();
    let mut response = HttpResponse::Ok();
    response.content_type("application/json");
    match fault {
        Fault::Lose => hang(shared, Fault::Lose).await,
        Fault::Garble => response.body("{\"header\": <garbled>"),
        Fault::Truncate => {
            let whole = text.len() as u64;
            let half = Bytes::from(text[..text.len() / 2].to_vec());
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            let end = once(async move {
                sleep(CUT_DELAY).await;
                Err(cut)
            });
            let parts = iter([Ok(half)]).chain(Box::pin(end));
            response.body(SizedStream::new(whole, parts))
        }
        _ => response.body(text),
    }
}

/// Waits until the fault is over, or for ever if it applied to single calls.
async fn hang(shared: &Shared, fault: Fault) -> HttpResponse {
    let mut changes = shared.subscribe();
    loop {
        let now = shared.lock().fault.clone();
        let over = now.calls.is_none() && now.fault != fault;
        if over || changes.changed().await.is_err() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return refuse(status, CODE_UNAVAILABLE, "etcdserver: request timed out");
        }
    }
}

fn refuse(status: StatusCode, code: i32, text: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorReply {
        error: text.to_string(),
        message: text.to_string(),
        code,
    })
}

/// The routes of the control port: `POST /fault`, `POST /vms`, `POST /compact`,
/// `POST /older` and `GET /calls`. `/fault` is served by the caller of this function,
/// since some faults concern the listening socket.
pub fn control_routes(config: &mut ServiceConfig) {
    config.route("/vms", web::post().to(set_vms));
    config.route("/compact", web::post().to(compact));
    config.route("/older", web::post().to(restore_older));
    config.route("/calls", web::get().to(calls));
}

async fn set_vms(shared: Data<Shared>, rows: Json<Vec<VmRow>>) -> HttpResponse {
    let now = shared.now();
    shared.lock().vms.set(now, rows.into_inner());
    HttpResponse::NoContent().finish()
}

async fn compact(shared: Data<Shared>) -> HttpResponse {
    shared.lock().kv.compact();
    HttpResponse::NoContent().finish()
}

/// The body is the key as it is.
async fn restore_older(shared: Data<Shared>, key: Bytes) -> HttpResponse {
    let done = shared.lock().kv.restore_older(&key);
    shared.notify();
    if done {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn calls(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().calls)
}

/// Sets the fault; answers the one before.
pub fn set_fault(shared: &Shared, spec: FaultSpec) -> FaultSpec {
    let old = std::mem::replace(&mut shared.lock().fault, spec);
    shared.notify();
    old
}
