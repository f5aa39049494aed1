//! HTTP exchanges with upstreams and the classification of their results.

use std::net::SocketAddr;

use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use awc::http::StatusCode;
use awc::Client;
use awc::Connector;
use base::digest;
use base::Millis;
use base::Outcome;
use base::RequestId;
use base::ServiceId;
use bytes::Bytes;
use obs::TraceParent;

use crate::request;

/// Idle time after which a pooled connection is not used again: a middlebox on the path may
/// have dropped its state.
const MAX_IDLE: Millis = Millis(1_000);

const CONNECT_TIMEOUT: Millis = Millis(500);

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id that the caller gave the request.
    pub id: RequestId,
    /// The service that is requested.
    pub service: ServiceId,
    /// The body, passed on unchanged.
    pub body: Bytes,
    /// Time left until the whole response must have been received.
    pub time_left: Millis,
    /// Number of the membership view under which a non-idempotent request was claimed; `None`
    /// for an idempotent one.
    pub fence: Option<u64>,
    /// Trace context of the span that sends the request.
    pub trace: TraceParent,
    /// Whether to open a new connection instead of taking one from the pool.
    pub new_connection: bool,
}

/// A complete response of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// The body, whose digest matches the header.
    pub body: Bytes,
}

/// Result of an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeResult {
    /// The upstream refused the request; it did not run.
    Busy {
        /// How long to wait before the next attempt.
        retry: Millis,
        /// Whether the upstream is leaving and refuses all new work.
        leaving: bool,
    },
    /// The response carries the id of another request; the request may have run.
    IdMismatch,
    /// The connection failed or the response states no outcome; the request may have run.
    ResponseLost(String),
    /// The request was not sent and did not run.
    NotSent(String),
    /// The request ran.
    Ran(UpstreamResponse),
    /// No complete response was received in time; the request may have run.
    TimedOut,
    /// The response is incomplete or larger than the limit; the request may have run.
    Truncated,
}

impl ExchangeResult {
    /// Whether the request ran, as far as the result shows.
    pub fn outcome(&self) -> Outcome {
        match self {
            ExchangeResult::Busy { .. } | ExchangeResult::NotSent(_) => Outcome::NotRun,
            ExchangeResult::Ran(_) => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }
}

/// HTTP client for upstreams. A connection carries one request at a time and is closed unless
/// its complete response was read.
#[derive(Clone)]
pub struct UpstreamClient {
    pooled: Client,
    unpooled: Client,
    max_body: usize,
}

impl UpstreamClient {
    /// Creates a client that treats response bodies of more than `max_body` bytes as truncated.
    pub fn new(max_body: usize) -> UpstreamClient {
        UpstreamClient {
            pooled: new_client(MAX_IDLE),
            unpooled: new_client(Millis::ZERO),
            max_body,
        }
    }

    /// Sends a request and reads the complete response.
    pub async fn send(&self, addr: SocketAddr, call: &UpstreamRequest) -> ExchangeResult {
        let exchange = self.exchange(addr, call);
        match actix_rt::time::timeout(call.time_left.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => ExchangeResult::TimedOut,
        }
    }

    async fn exchange(&self, addr: SocketAddr, call: &UpstreamRequest) -> ExchangeResult {
        let client = if call.new_connection {
            &self.unpooled
        } else {
            &self.pooled
        };
        let url = format!("http://{addr}/service/{}", call.service);
        let mut req = client
            .post(url)
            .insert_header((request::ID, call.id.as_str()))
            .insert_header((request::DEADLINE, call.time_left.0.to_string()))
            .insert_header((request::TRACE, call.trace.to_string()));
        if let Some(view) = call.fence {
            req = req.insert_header((request::FENCE, view.to_string()));
        }
        let mut response = match req.send_body(call.body.clone()).await {
            Ok(response) => response,
            Err(error) => return classify_error(error),
        };
        let status = response.status();
        let headers = response.headers().clone();
        let body = response.body().limit(self.max_body).await;
        match body {
            Ok(body) => classify_response(call, status, &headers, body),
            Err(_) => ExchangeResult::Truncated,
        }
    }
}

fn new_client(max_idle: Millis) -> Client {
    let connector = Connector::new()
        .limit(0)
        .timeout(CONNECT_TIMEOUT.duration())
        .conn_keep_alive(max_idle.duration());
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

fn classify_error(error: SendRequestError) -> ExchangeResult {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            ExchangeResult::ResponseLost(reason)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => ExchangeResult::NotSent(reason),
        SendRequestError::Timeout => ExchangeResult::TimedOut,
        _ => ExchangeResult::ResponseLost(reason),
    }
}

fn classify_response(
    call: &UpstreamRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> ExchangeResult {
    if text_header(headers, request::ID) != Some(call.id.as_str()) {
        return ExchangeResult::IdMismatch;
    }
    let outcome = text_header(headers, request::OUTCOME).and_then(|o| o.parse().ok());
    match outcome {
        Some(Outcome::NotRun) => ExchangeResult::Busy {
            retry: Millis(number_header(headers, request::RETRY_AFTER)),
            leaving: text_header(headers, request::LEAVING) == Some("true"),
        },
        Some(Outcome::Ran) if is_complete(headers, &body) => {
            ExchangeResult::Ran(UpstreamResponse {
                status: status.as_u16(),
                body,
            })
        }
        Some(Outcome::Ran) => ExchangeResult::Truncated,
        _ => ExchangeResult::ResponseLost(format!("status {status} without an outcome")),
    }
}

/// Whether the body matches its digest header.
fn is_complete(headers: &HeaderMap, body: &[u8]) -> bool {
    let expected =
        text_header(headers, request::DIGEST).and_then(|d| u64::from_str_radix(d, 16).ok());
    expected == Some(digest(body))
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a numeric header; 0 if it is absent or malformed.
fn number_header(headers: &HeaderMap, name: &str) -> u64 {
    let parsed = text_header(headers, name).and_then(|n| n.parse().ok());
    parsed.unwrap_or(0)
}
