//! One request to one upstream, and what is known of it afterwards.

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

/// An idle connection older than this is not used again, because what lies between its ends
/// may have lost track of it.
const IDLE_MAX: Millis = Millis(1_000);

/// Longest wait for a new connection.
const CONNECT_MAX: Millis = Millis(500);

/// A request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's id.
    pub id: RequestId,
    /// The service asked for.
    pub service: ServiceId,
    /// The body, passed on unread.
    pub body: Bytes,
    /// Time left for the whole exchange.
    pub left: Millis,
    /// View number of the claim of a non-idempotent request.
    pub fence: Option<u64>,
    /// The hop that sends it.
    pub trace: TraceParent,
    /// Whether to use a new connection.
    pub fresh: bool,
}

/// A whole answer of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// How an exchange ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The upstream refused it; it did not run.
    Busy {
        /// When to come back.
        retry: Millis,
        /// Whether it refuses all new work because it is leaving.
        leaving: bool,
    },
    /// It may have run: the answer belongs to another request.
    Foreign,
    /// It may have run: the connection broke.
    Lost(String),
    /// Nothing was sent; it did not run.
    NotSent(String),
    /// It ran.
    Ran(Answer),
    /// It may have run: there was no whole answer in time.
    Silent,
    /// It may have run: the answer was cut short.
    Truncated,
}

impl Ending {
    /// What is known about whether the request ran.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Busy { .. } | Ending::NotSent(_) => Outcome::NotRun,
            Ending::Ran(_) => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }
}

/// Sends requests to upstreams, one at a time on a connection. A connection whose exchange
/// did not end well is closed.
#[derive(Clone)]
pub struct Exchange {
    pooled: Client,
    fresh: Client,
    max_body: usize,
}

impl Exchange {
    /// Answers of more than `max_body` bytes count as truncated.
    pub fn new(max_body: usize) -> Exchange {
        Exchange {
            pooled: client(IDLE_MAX),
            fresh: client(Millis::ZERO),
            max_body,
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, at: SocketAddr, call: &Call) -> Ending {
        let whole = self.exchange(at, call);
        match actix_rt::time::timeout(call.left.duration(), whole).await {
            Ok(ending) => ending,
            Err(_) => Ending::Silent,
        }
    }

    async fn exchange(&self, at: SocketAddr, call: &Call) -> Ending {
        let client = if call.fresh {
            &self.fresh
        } else {
            &self.pooled
        };
        let url = format!("http://{at}/service/{}", call.service);
        let mut req = client
            .post(url)
            .insert_header((request::ID, call.id.as_str()))
            .insert_header((request::DEADLINE, call.left.0.to_string()))
            .insert_header((request::TRACE, call.trace.to_string()));
        if let Some(view) = call.fence {
            req = req.insert_header((request::FENCE, view.to_string()));
        }
        let mut answer = match req.send_body(call.body.clone()).await {
            Ok(answer) => answer,
            Err(error) => return unanswered(error),
        };
        let status = answer.status();
        let headers = answer.headers().clone();
        let body = answer.body().limit(self.max_body).await;
        match body {
            Ok(body) => judge(call, status, &headers, body),
            Err(_) => Ending::Truncated,
        }
    }
}

fn client(idle: Millis) -> Client {
    let connector = Connector::new()
        .limit(0)
        .timeout(CONNECT_MAX.duration())
        .conn_keep_alive(idle.duration());
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

fn unanswered(error: SendRequestError) -> Ending {
    let why = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Ending::Lost(why),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Ending::NotSent(why),
        SendRequestError::Timeout => Ending::Silent,
        _ => Ending::Lost(why),
    }
}

fn judge(call: &Call, status: StatusCode, headers: &HeaderMap, body: Bytes) -> Ending {
    if text(headers, request::ID) != Some(call.id.as_str()) {
        return Ending::Foreign;
    }
    let outcome = text(headers, request::OUTCOME).and_then(|o| o.parse().ok());
    match outcome {
        Some(Outcome::NotRun) => Ending::Busy {
            retry: Millis(number(headers, request::RETRY_AFTER)),
            leaving: text(headers, request::LEAVING) == Some("true"),
        },
        Some(Outcome::Ran) if is_whole(headers, &body) => Ending::Ran(Answer {
            status: status.as_u16(),
            body,
        }),
        Some(Outcome::Ran) => Ending::Truncated,
        _ => Ending::Lost(format!("status {status} without an outcome")),
    }
}

fn is_whole(headers: &HeaderMap, body: &[u8]) -> bool {
    let expected = text(headers, request::DIGEST).and_then(|d| u64::from_str_radix(d, 16).ok());
    expected == Some(digest(body))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> u64 {
    let parsed = text(headers, name).and_then(|n| n.parse().ok());
    parsed.unwrap_or(0)
}
