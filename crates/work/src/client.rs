//! Client of the workers' task calls.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 4 << 20;

quick_error! {
    /// Why a call to a worker failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The worker has accepted a higher epoch. Nothing was done.
        Fenced(epoch: Epoch) {
            display("the worker has accepted epoch {epoch}")
        }
        /// The call may or may not have been carried out.
        Lost(why: String) {
            display("the answer was lost: {why}")
        }
        /// The call was not carried out.
        NotSent(why: String) {
            display("the call was not sent: {why}")
        }
    }
}

/// Calls workers over HTTP. One client serves all workers of a coordinator.
#[derive(Clone)]
pub struct TaskClient {
    client: Client,
    timeout: Millis,
}

impl TaskClient {
    /// A client whose calls take at most `timeout` each.
    pub fn new(timeout: Millis) -> TaskClient {
        let client = Client::builder().timeout(timeout.duration()).finish();
        TaskClient { client, timeout }
    }

    /// The longest time that a call takes.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Makes the worker accept an epoch; answers with the worker's state.
    pub async fn epoch(&self, at: SocketAddr, call: &EpochCall) -> Result<WorkerState, CallError> {
        self.post(at, "/v1/epoch", call).await
    }

    /// Carries out task operations.
    pub async fn tasks(&self, at: SocketAddr, call: &TaskCall) -> Result<TaskReply, CallError> {
        self.post(at, "/v1/tasks", call).await
    }

    async fn post<C: Serialize, A: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        call: &C,
    ) -> Result<A, CallError> {
        let url = format!("http://{at}{path}");
        let sent = self.client.post(url).send_json(call).await;
        let mut answer = sent.map_err(classify)?;
        let status = answer.status();
        let body = answer.body().limit(MAX_ANSWER).await;
        let body = body.map_err(|e| CallError::Lost(e.to_string()))?;
        if status == StatusCode::CONFLICT {
            let fenced: Fenced = parse(&body)?;
            return Err(CallError::Fenced(fenced.epoch));
        }
        if !status.is_success() {
            return Err(CallError::Lost(format!("status {status}")));
        }
        parse(&body)
    }
}

fn parse<A: DeserializeOwned>(body: &[u8]) -> Result<A, CallError> {
    serde_json::from_slice(body).map_err(|e| CallError::Lost(e.to_string()))
}

/// Only a failure to connect proves that nothing was carried out.
fn classify(error: SendRequestError) -> CallError {
    let why = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => CallError::Lost(why),
        SendRequestError::Connect(_) => CallError::NotSent(why),
        SendRequestError::Url(_) => CallError::NotSent(why),
        _ => CallError::Lost(why),
    }
}
