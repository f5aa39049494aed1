//! HTTP calls to the operators' port of the first daemon that answers.

use std::net::SocketAddr;

use awc::error::SendRequestError;
use awc::http::Method;
use base::Millis;
use base::Outcome;
use conf::api::Refusal;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::exit::Failure;

/// Largest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Calls daemons, one after the other until one answers.
pub struct Client {
    at: Vec<SocketAddr>,
    timeout: Millis,
}

/// A call. Calls that change something carry their operation or job id, so that another
/// daemon may be asked when one does not answer.
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Option<Vec<u8>>,
}

/// What one daemon made of a call.
enum Answer {
    /// It answered with a status and a body.
    Got(u16, Vec<u8>),
    /// It was not reached; nothing was sent.
    NotSent(String),
    /// It may have got the call.
    Silent(String),
}

impl Client {
    /// A client of these daemons.
    pub fn new(at: Vec<SocketAddr>, timeout: Millis) -> Client {
        Client { at, timeout }
    }

    /// Reads with a query.
    pub fn get<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<R, Failure> {
        let query = encode(query)?;
        self.call(Call {
            method: Method::GET,
            path: path.to_string(),
            query,
            body: None,
        })
    }

    /// Sends a change, which names its operation or job.
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
        let mut silent = false;
        let mut reasons = Vec::new();
        for at in &self.at {
            match send(&client, *at, call).await {
                Answer::Got(status, body) => return read(status, &body, silent),
                Answer::NotSent(why) => reasons.push(format!("{at}: {why}")),
                Answer::Silent(why) => {
                    silent = true;
                    reasons.push(format!("{at}: {why}"));
                }
            }
        }
        let reason = reasons.join("; ");
        if silent && call.method != Method::GET {
            return Err(Failure::Unknown(reason));
        }
        Err(Failure::Unreachable(reason))
    }
}

/// A query string with its question mark; values are percent-encoded.
fn encode<Q: Serialize>(query: &Q) -> Result<String, Failure> {
    let wrong = |e: String| Failure::Usage(e);
    let value = serde_json::to_value(query).map_err(|e| wrong(e.to_string()))?;
    let fields = value.as_object().into_iter().flatten();
    let pairs: Vec<String> = fields.map(|(k, v)| pair(k, v)).collect();
    if pairs.is_empty() {
        return Ok(String::new());
    }
    Ok(format!("?{}", pairs.join("&")))
}

fn pair(key: &str, value: &serde_json::Value) -> String {
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

async fn send(client: &awc::Client, at: SocketAddr, call: &Call) -> Answer {
    let url = format!("http://{at}{}{}", call.path, call.query);
    let mut request = client.request(call.method.clone(), url);
    if call.body.is_some() {
        request = request.insert_header(("content-type", "application/json"));
    }
    let body = call.body.clone().unwrap_or_default();
    let mut answer = match request.send_body(body).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(err)) => return Answer::NotSent(err.to_string()),
        Err(SendRequestError::Url(err)) => return Answer::NotSent(err.to_string()),
        Err(err) => return Answer::Silent(err.to_string()),
    };
    let status = answer.status().as_u16();
    match answer.body().limit(MAX_ANSWER).await {
        Ok(body) => Answer::Got(status, body.to_vec()),
        Err(err) => Answer::Silent(err.to_string()),
    }
}

/// Reads an answer. After an earlier daemon was silent, a refusal by a later one does not
/// tell what became of the first send.
fn read<R: DeserializeOwned>(status: u16, body: &[u8], silent: bool) -> Result<R, Failure> {
    if status < 300 {
        let reply = serde_json::from_slice(body);
        return reply.map_err(|e| Failure::Unknown(format!("the answer is malformed: {e}")));
    }
    let mut refusal = serde_json::from_slice(body).unwrap_or_else(|_| stray(status, body));
    if silent {
        refusal.outcome = Outcome::Unknown;
    }
    Err(Failure::Refused(Box::new(refusal)))
}

/// An error that does not come from the daemon's own code, such as one by a balancer.
fn stray(status: u16, body: &[u8]) -> Refusal {
    let text = String::from_utf8_lossy(body);
    let reason = format!("status {status}: {}", text.trim());
    match status {
        500.. => Refusal::unknown(reason),
        _ => Refusal::not_run(reason),
    }
}
