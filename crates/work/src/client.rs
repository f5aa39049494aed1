//! Client for the task protocol of the workers.

use std::net::SocketAddr;

use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::Client;
use base::Epoch;
use base::Millis;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::wire::EpochCall;
use crate::wire::Fenced;
use crate::wire::TaskCall;
use crate::wire::TaskReply;
use crate::wire::WorkerState;

const MAX_RESPONSE_BYTES: usize = 4 << 20;

quick_error! {
    /// Why a call to a worker failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The worker has accepted this higher epoch. The call was not carried out.
        Fenced(epoch: Epoch) {
            display("the worker has accepted epoch {epoch}")
        }
        /// No usable response was received; the call may have been carried out.
        OutcomeUnknown(why: String) {
            display("the answer was lost: {why}")
        }
        /// The call was not carried out.
        NotSent(why: String) {
            display("the call was not sent: {why}")
        }
    }
}

/// HTTP client that a coordinator uses for all of its workers.
#[derive(Clone)]
pub struct TaskClient {
    client: Client,
    timeout: Millis,
}

impl TaskClient {
    /// Creates a client whose calls take at most `timeout` each.
    pub fn new(timeout: Millis) -> TaskClient {
        let client = Client::builder().timeout(timeout.duration()).finish();
        TaskClient { client, timeout }
    }

    /// Upper bound on the duration of a call.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Makes the worker accept an epoch and returns the worker's state.
    ///
    /// Fails with [`CallError::Fenced`] if the worker has accepted a higher epoch.
    pub async fn accept_epoch(
        &self,
        addr: SocketAddr,
        call: &EpochCall,
    ) -> Result<WorkerState, CallError> {
        self.post(addr, "/v1/epoch", call).await
    }

    /// Sends task operations and returns their results.
    ///
    /// Fails with [`CallError::Fenced`] if the worker has accepted a higher epoch.
    pub async fn apply_ops(
        &self,
        addr: SocketAddr,
        call: &TaskCall,
    ) -> Result<TaskReply, CallError> {
        self.post(addr, "/v1/tasks", call).await
    }

    async fn post<C: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        call: &C,
    ) -> Result<R, CallError> {
        let url = format!("http://{addr}{path}");
        let sent = self.client.post(url).send_json(call).await;
        let mut response = sent.map_err(classify_error)?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| CallError::OutcomeUnknown(e.to_string()))?;
        if status == StatusCode::CONFLICT {
            let fenced: Fenced = parse(&body)?;
            return Err(CallError::Fenced(fenced.epoch));
        }
        if !status.is_success() {
            return Err(CallError::OutcomeUnknown(format!("status {status}")));
        }
        parse(&body)
    }
}

fn parse<R: DeserializeOwned>(body: &[u8]) -> Result<R, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::OutcomeUnknown(e.to_string()))
}

/// Only a failure to connect or an invalid URL proves that the call was not carried out.
/// `Disconnected` is reported when a connection ends before the head of the response, that is,
/// after the call was sent.
fn classify_error(error: SendRequestError) -> CallError {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => CallError::OutcomeUnknown(reason),
        SendRequestError::Connect(_) => CallError::NotSent(reason),
        SendRequestError::Url(_) => CallError::NotSent(reason),
        _ => CallError::OutcomeUnknown(reason),
    }
}
