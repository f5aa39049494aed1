//! HTTP exchanges with an endpoint of the store and the classification of their failures.

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

pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// gRPC status codes that imply that the call was not carried out: `INVALID_ARGUMENT`,
/// `NOT_FOUND`, `PERMISSION_DENIED`, `RESOURCE_EXHAUSTED`, `FAILED_PRECONDITION`,
/// `OUT_OF_RANGE`, `UNIMPLEMENTED` and `UNAUTHENTICATED`.
const NOT_APPLIED_CODES: [i32; 8] = [3, 5, 7, 8, 9, 11, 12, 16];

/// Messages that imply the same under any other status code.
const NOT_APPLIED_MESSAGES: [&str; 2] = ["no leader", "too many requests"];

/// Why an exchange failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No usable response was received; the endpoint may have carried out the call.
    OutcomeUnknown(String),
    /// No connection was made, so the call was not sent.
    NotSent(String),
    /// The endpoint refused the call; another endpoint may accept it.
    Refused(String),
    /// The endpoint refused the call; any other endpoint would, too.
    Rejected(String),
}

/// Creates a client with its own connection pool. Dropping an exchange before its complete
/// response was read closes the connection.
pub fn new_client(connect_timeout: Duration) -> Client {
    let connector = Connector::new().timeout(connect_timeout);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Posts a JSON body and reads the complete response. Fails with [`Failure::OutcomeUnknown`] if
/// that takes longer than `limit`.
pub async fn post(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
    limit: Duration,
) -> Result<Bytes, Failure> {
    match timeout(limit, exchange(client, addr, path, body)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::OutcomeUnknown(format!(
            "{addr}{path}: no answer in time"
        ))),
    }
}

async fn exchange(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, Failure> {
    let target = format!("{addr}{path}");
    let request = client.post(format!("http://{target}"));
    let sent = request.content_type("application/json").send_body(body);
    let mut response = sent.await.map_err(|e| classify_send_error(&target, &e))?;
    let status = response.status();
    let read = response.body().limit(MAX_RESPONSE_BYTES).await;
    let data = read.map_err(|e| Failure::OutcomeUnknown(format!("{target}: {e}")))?;
    if status == StatusCode::OK {
        return Ok(data);
    }
    Err(classify_error_response(&target, status, &data))
}

/// Classifies the failure to send a request. `Disconnected` is reported when a connection ends
/// before the head of the response, that is, after the call was sent.
pub fn classify_send_error(target: &str, error: &SendRequestError) -> Failure {
    let text = format!("{target}: {error}");
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Failure::OutcomeUnknown(text),
        SendRequestError::Connect(_) => Failure::NotSent(text),
        SendRequestError::Url(_) => Failure::NotSent(text),
        _ => Failure::OutcomeUnknown(text),
    }
}

fn classify_error_response(target: &str, status: StatusCode, data: &[u8]) -> Failure {
    let Ok(reply) = serde_json::from_slice::<ErrorReply>(data) else {
        return Failure::OutcomeUnknown(format!("{target}: status {status}"));
    };
    let text = format!("{target}: {}", reply.message);
    if NOT_APPLIED_CODES.contains(&reply.code) {
        return Failure::Rejected(text);
    }
    if NOT_APPLIED_MESSAGES
        .iter()
        .any(|t| reply.message.contains(t))
    {
        return Failure::Refused(text);
    }
    Failure::OutcomeUnknown(text)
}
