//! HTTP client for the operators' port. Tries the daemons in order until one answers.

use std::net::SocketAddr;

use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Method;
use base::Millis;
use base::Outcome;
use conf::api::Refusal;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::failure::Failure;

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Calls the daemons in order until one answers.
pub struct Client {
    daemons: Vec<SocketAddr>,
    timeout: Millis,
}

/// One HTTP call. Calls that change something carry an operation id or a job id, which makes it
/// safe to repeat them at the next daemon when one does not answer.
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Option<Vec<u8>>,
}

/// Result of sending a call to one daemon.
enum CallResult {
    /// The daemon answered with this status and body.
    Answered(u16, Vec<u8>),
    /// No connection was made, so the call was not sent. Holds the error.
    NotSent(String),
    /// The call may have been received, but no complete response came. Holds the error.
    NoAnswer(String),
}

impl Client {
    /// A client that tries these daemons in order, each with this timeout.
    pub fn new(daemons: Vec<SocketAddr>, timeout: Millis) -> Client {
        Client { daemons, timeout }
    }

    /// Sends a GET request with the fields of `query` as query parameters.
    pub fn get<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<R, Failure> {
        let query = encode_query(query)?;
        self.call(Call {
            method: Method::GET,
            path: path.to_string(),
            query,
            body: None,
        })
    }

    /// Sends a POST request. The body carries an operation id or a job id, so that the call can be
    /// repeated at another daemon.
    pub fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, Failure> {
        let body = serde_json::to_vec(body).map_err(|e| Failure::Usage(e.to_string()))?;
        self.call(Call {
            method: Method::POST,
            path: path.to_string(),
            query: String::new(),
            body: Some(body),
        })
    }

    fn call<R: DeserializeOwned>(&self, call: Call) -> Result<R, Failure> {
        actix_rt::System::new().block_on(self.try_all(&call))
    }

    async fn try_all<R: DeserializeOwned>(&self, call: &Call) -> Result<R, Failure> {
        let client = awc::Client::builder()
            .disable_redirects()
            .timeout(self.timeout.duration())
            .finish();
        let mut unanswered = false;
        let mut reasons = Vec::new();
        for at in &self.daemons {
            match send(&client, *at, call).await {
                CallResult::Answered(status, body) => return decode(status, &body, unanswered),
                CallResult::NotSent(why) => reasons.push(format!("{at}: {why}")),
                CallResult::NoAnswer(why) => {
                    unanswered = true;
                    reasons.push(format!("{at}: {why}"));
                }
            }
        }
        let reason = reasons.join("; ");
        if unanswered && call.method != Method::GET {
            return Err(Failure::Unknown(reason));
        }
        Err(Failure::Unreachable(reason))
    }
}

/// Encodes the fields of `query` as a query string that starts with a question mark, with
/// percent-encoded values. Empty if there are no fields.
fn encode_query<Q: Serialize>(query: &Q) -> Result<String, Failure> {
    let usage = |e: String| Failure::Usage(e);
    let value = serde_json::to_value(query).map_err(|e| usage(e.to_string()))?;
    let fields = value.as_object().into_iter().flatten();
    let pairs: Vec<String> = fields.map(|(k, v)| query_pair(k, v)).collect();
    if pairs.is_empty() {
        return Ok(String::new());
    }
    Ok(format!("?{}", pairs.join("&")))
}

fn query_pair(key: &str, value: &serde_json::Value) -> String {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    let mut pair = format!("{key}=");
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            pair.push(byte as char);
        } else {
            pair.push_str(&format!("%{byte:02X}"));
        }
    }
    pair
}

async fn send(client: &awc::Client, at: SocketAddr, call: &Call) -> CallResult {
    let url = format!("http://{at}{}{}", call.path, call.query);
    let mut request = client.request(call.method.clone(), url);
    if call.body.is_some() {
        request = request.insert_header(("content-type", "application/json"));
    }
    let body = call.body.clone().unwrap_or_default();
    let mut response = match request.send_body(body).await {
        Ok(response) => response,
        // The connection ended in place of an answer, after the request was sent.
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
            return CallResult::NoAnswer("the connection ended without an answer".to_string())
        }
        Err(SendRequestError::Connect(err)) => return CallResult::NotSent(err.to_string()),
        Err(SendRequestError::Url(err)) => return CallResult::NotSent(err.to_string()),
        Err(err) => return CallResult::NoAnswer(err.to_string()),
    };
    let status = response.status().as_u16();
    match response.body().limit(MAX_RESPONSE_BYTES).await {
        Ok(body) => CallResult::Answered(status, body.to_vec()),
        Err(err) => CallResult::NoAnswer(err.to_string()),
    }
}

/// Decodes a response. If an earlier daemon did not answer, that daemon may have executed the call,
/// so the outcome of a refusal by a later one is reported as unknown.
fn decode<R: DeserializeOwned>(status: u16, body: &[u8], unanswered: bool) -> Result<R, Failure> {
    if status < 300 {
        let reply = serde_json::from_slice(body);
        return reply.map_err(|e| Failure::Unknown(format!("the answer is malformed: {e}")));
    }
    let mut refusal = serde_json::from_slice(body).unwrap_or_else(|_| other_error(status, body));
    if unanswered {
        refusal.outcome = Outcome::Unknown;
    }
    Err(Failure::Refused(Box::new(refusal)))
}

/// An error response that is not a [`Refusal`], such as one from a load balancer.
fn other_error(status: u16, body: &[u8]) -> Refusal {
    let text = String::from_utf8_lossy(body);
    let reason = format!("status {status}: {}", text.trim());
    match status {
        500.. => Refusal::unknown(reason),
        _ => Refusal::not_run(reason),
    }
}
