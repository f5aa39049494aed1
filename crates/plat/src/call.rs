//! One HTTP exchange with one endpoint of the store, and what its failure means.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::Client;
use awc::Connector;
use bytes::Bytes;
use tokio::time::timeout;

use crate::wire::ErrorReply;

/// Longest answer in bytes.
pub const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Kinds of errors, as in gRPC, that mean that the call was not carried out: malformed call,
/// not found, no permission, resource exhausted, failed precondition, out of range,
/// unknown method, not authenticated.
const REFUSALS: [i32; 8] = [3, 5, 7, 8, 9, 11, 12, 16];

/// Texts of errors, among those of other kinds, that mean the same.
const REFUSED_TEXTS: [&str; 2] = ["no leader", "too many requests"];

/// Why an exchange has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The endpoint may have carried out the call.
    Lost(String),
    /// No byte of the call was sent.
    NotSent(String),
    /// The endpoint refused the call for a reason that another endpoint may not have.
    Refused(String),
    /// The endpoint refused the call, as any other would.
    Rejected(String),
}

/// A client with connections of its own. A connection whose exchange did not end in a whole
/// answer is closed, since dropping the exchange drops its connection.
pub fn client(connect: Duration) -> Client {
    let connector = Connector::new().timeout(connect);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Posts a body and reads the whole answer before the time is up.
pub async fn post(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
    span: Duration,
) -> Result<Bytes, Failure> {
    match timeout(span, exchange(client, addr, path, body)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Lost(format!("{addr}{path}: no answer in time"))),
    }
}

async fn exchange(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, Failure> {
    let place = format!("{addr}{path}");
    let request = client.post(format!("http://{place}"));
    let sent = request.content_type("application/json").send_body(body);
    let mut response = sent.await.map_err(|e| send_failure(&place, &e))?;
    let status = response.status();
    let read = response.body().limit(MAX_ANSWER).await;
    let data = read.map_err(|e| Failure::Lost(format!("{place}: {e}")))?;
    if status == StatusCode::OK {
        return Ok(data);
    }
    Err(error_answer(&place, status, &data))
}

/// What a failed send means. `Disconnected` is reported when a connection ends before the
/// head of the answer, that is after the call was sent.
pub fn send_failure(place: &str, error: &SendRequestError) -> Failure {
    let text = format!("{place}: {error}");
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Failure::Lost(text),
        SendRequestError::Connect(_) => Failure::NotSent(text),
        SendRequestError::Url(_) => Failure::NotSent(text),
        _ => Failure::Lost(text),
    }
}

fn error_answer(place: &str, status: StatusCode, data: &[u8]) -> Failure {
    let Ok(reply) = serde_json::from_slice::<ErrorReply>(data) else {
        return Failure::Lost(format!("{place}: status {status}"));
    };
    let text = format!("{place}: {}", reply.message);
    if REFUSALS.contains(&reply.code) {
        return Failure::Rejected(text);
    }
    if REFUSED_TEXTS.iter().any(|t| reply.message.contains(t)) {
        return Failure::Refused(text);
    }
    Failure::Lost(text)
}
