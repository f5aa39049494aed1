//! Blocking HTTP calls to a daemon as a caller or an operator. `at` is the port called.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde_json::json;
use serde_json::Value;
use uuid::Uuid;
use work::request;

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A request to the service `ledger`.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub idempotent: bool,
    /// Number of the send, counted from 1; not stated if `None`.
    pub attempt: Option<u32>,
    pub deadline: Duration,
    pub body: String,
}

impl Request {
    /// A non-idempotent request. Its id is new and contains the current time.
    pub fn non_idempotent() -> Request {
        let id = Uuid::now_v7().to_string();
        Request {
            body: format!("record {id}"),
            id,
            idempotent: false,
            attempt: Some(1),
            deadline: Duration::from_secs(5),
        }
    }

    /// An idempotent request.
    pub fn idempotent() -> Request {
        Request {
            idempotent: true,
            ..Request::non_idempotent()
        }
    }

    /// The same request with another send number.
    pub fn resend(&self, attempt: u32) -> Request {
        Request {
            attempt: Some(attempt),
            ..self.clone()
        }
    }
}

/// Reply to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status; 0 without a complete answer.
    pub status: u16,
    /// `ran`, `not-run` or `unknown`; empty without a complete answer.
    pub outcome: String,
    /// Request id in the answer's header.
    pub id: String,
    pub body: String,
    /// Delay in milliseconds after which the caller may retry.
    pub retry: Option<u64>,
}

fn block<T>(work: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(work)
}

/// Sends a request of the tests' organisation and waits for the reply.
pub fn send(at: SocketAddr, request: &Request) -> Reply {
    block(send_async(at, request.clone()))
}

/// Sends a request of another organisation and waits for the reply.
pub fn send_as(at: SocketAddr, org: &str, request: &Request) -> Reply {
    block(send_org(at, org, request.clone()))
}

/// Sends a request of the tests' organisation.
pub async fn send_async(at: SocketAddr, request: Request) -> Reply {
    send_org(at, "board", request).await
}

async fn send_org(at: SocketAddr, org: &str, request: Request) -> Reply {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let mut call = client
        .post(format!("http://{at}/v1/requests/ledger"))
        .insert_header((request::ID, request.id))
        .insert_header((request::ORG, org))
        .insert_header((request::DEADLINE, request.deadline.as_millis().to_string()))
        .insert_header((request::IDEMPOTENT, request.idempotent.to_string()));
    if let Some(attempt) = request.attempt {
        call = call.insert_header((request::ATTEMPT, attempt.to_string()));
    }
    let Ok(mut answer) = call.send_body(request.body).await else {
        return no_reply();
    };
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_string()
    };
    let reply = Reply {
        status: answer.status().as_u16(),
        outcome: header(request::OUTCOME),
        id: header(request::ID),
        retry: header(request::RETRY_AFTER).parse().ok(),
        body: String::new(),
    };
    match answer.body().await {
        Ok(body) => Reply {
            body: String::from_utf8_lossy(&body).to_string(),
            ..reply
        },
        Err(_) => no_reply(),
    }
}

fn no_reply() -> Reply {
    Reply {
        status: 0,
        outcome: String::new(),
        id: String::new(),
        body: String::new(),
        retry: None,
    }
}

/// Sends a GET. Returns the status and the body; `None` without a complete answer.
pub fn get(at: SocketAddr, path: &str) -> Option<(u16, String)> {
    block(async {
        let client = Client::builder().timeout(TIMEOUT).finish();
        let mut answer = client.get(format!("http://{at}{path}")).send().await.ok()?;
        let body = answer.body().await.ok()?;
        Some((
            answer.status().as_u16(),
            String::from_utf8_lossy(&body).to_string(),
        ))
    })
}

/// Gets a JSON document; null without a valid one.
pub fn get_json(at: SocketAddr, path: &str) -> Value {
    let body = get(at, path).map(|(_, body)| body).unwrap_or_default();
    serde_json::from_str(&body).unwrap_or(Value::Null)
}

/// Posts a JSON document. Returns the status and the JSON answer; 0 and null without an answer.
pub fn post(at: SocketAddr, path: &str, call: &Value) -> (u16, Value) {
    block(async {
        let client = Client::builder().timeout(TIMEOUT).finish();
        let sent = client
            .post(format!("http://{at}{path}"))
            .send_json(call)
            .await;
        let Ok(mut answer) = sent else {
            return (0, Value::Null);
        };
        let status = answer.status().as_u16();
        let body = answer.body().await.unwrap_or_default();
        (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
    })
}

/// Changes settings with a new operation id.
pub fn change(at: SocketAddr, edits: Value) -> (u16, Value) {
    let op = Uuid::new_v4().to_string();
    post(
        at,
        "/v1/settings",
        &json!({ "op": op, "who": "test", "edits": edits }),
    )
}

/// Creates the tests' organisation unless it exists.
pub fn add_org(at: SocketAddr) {
    let orgs = get_json(at, "/v1/orgs")["orgs"].as_array().cloned();
    if orgs.unwrap_or_default().iter().any(|o| o["org"] == "board") {
        return;
    }
    let (status, answer) = change(at, json!([{ "edit": "add-org", "org": "board" }]));
    assert_eq!(status, 200, "{answer}");
}

/// Takes a failure domain out of service (`out`) or back into service (`back`).
pub fn set_domain(at: SocketAddr, domain: &str, verb: &str) -> (u16, Value) {
    let op = Uuid::new_v4().to_string();
    let call = json!({ "op": op, "who": "test" });
    post(at, &format!("/v1/domains/{domain}/{verb}"), &call)
}

/// A job with `tasks` tasks of `accels` accelerators each, bound to a failure domain if one is
/// given.
pub fn job(id: &str, tasks: u32, accels: u32, payload: &str, domain: Option<&str>) -> Value {
    json!({
        "id": id, "org": "board", "kind": "reconcile", "domain": domain,
        "shape": { "tasks": tasks, "accels": accels },
        "length": 500, "idempotent": true, "payload": payload,
    })
}

/// Phase of a job; empty if the daemon does not know the job.
pub fn phase(at: SocketAddr, id: &str) -> String {
    let info = get_json(at, &format!("/v1/jobs/{id}"));
    info["phase"].as_str().unwrap_or_default().to_string()
}
