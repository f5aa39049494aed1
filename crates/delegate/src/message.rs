//! Messages between a coordinator and its delegates, in CBOR.

use std::net::SocketAddr;

use base::Fence;
use base::Millis;
use base::WorkerId;
use batch::ActiveRun;
use batch::EndKind;
use batch::EndedRun;
use batch::OddEnd;
use batch::OddRows;
use batch::OddRun;
use batch::PollRequest;
use batch::Report;
use batch::RunNumber;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::TaskId;
use batch::ThrottleRequest;
use bytes::Bytes;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// A message that cannot be encoded or decoded.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MessageError {
        /// Holds the cause.
        Malformed(text: String) {
            display("malformed message between daemons: {text}")
        }
    }
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Polls a worker.
    Poll(WorkerId, PollRequest),
    /// Starts a run.
    Start(Box<StartRequest>),
    /// Stops a run.
    Stop(StopRequest),
    /// Limits the processor share of a run.
    Throttle(ThrottleRequest),
}

/// A call and the sender's wall-clock time at which it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Wall-clock time of the sender.
    pub sent: Millis,
    /// The call.
    pub call: Call,
}

/// Response of a worker, or why there is none.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A poll, a stop or a throttle has no valid response. Holds the cause, and whether the request
    /// was certainly not sent.
    Failed(String, bool),
    /// The worker refused a poll because a later coordinator is active.
    Fenced,
    /// The worker refused a poll. Holds the HTTP status.
    Refused(u16),
    /// Report in response to a poll.
    Report(Report),
    /// Response to a start.
    Started(StartResponse),
    /// Response to a stop: a reading of the worker's clock if it was accepted.
    Stopped(Option<u64>),
    /// Whether a throttle was accepted.
    Throttled(bool),
}

impl Envelope {
    /// Encodes the message.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        to_cbor(&EnvelopeWire(self.sent.0, CallWire::from(&self.call)))
    }

    /// Decodes a message.
    pub fn decode(data: &[u8]) -> Result<Envelope, MessageError> {
        let EnvelopeWire(sent, call) = from_cbor(data)?;
        Ok(Envelope {
            sent: Millis(sent),
            call: Call::from(call),
        })
    }
}

impl Response {
    /// Encodes the message.
    pub fn encode(&self) -> Result<Bytes, MessageError> {
        to_cbor(&ResponseWire::from(self))
    }

    /// Decodes a message.
    pub fn decode(data: &[u8]) -> Result<Response, MessageError> {
        Ok(Response::from(from_cbor::<ResponseWire>(data)?))
    }
}

#[derive(Deserialize, Serialize)]
struct EnvelopeWire(u64, CallWire);

/// Task, run, worker, address and fencing token: what every call about a run names.
#[derive(Deserialize, Serialize)]
struct RunWire(TaskWire, u32, WorkerId, SocketAddr, u64);

/// Job, occurrence, step and index.
#[derive(Deserialize, Serialize)]
struct TaskWire(base::JobId, u32, u16, u16);

#[derive(Deserialize, Serialize)]
enum CallWire {
    /// Worker, address, deadline, acknowledged end, wait and fencing token.
    #[serde(rename = "p")]
    Poll(WorkerId, SocketAddr, Option<u64>, u64, u64, u64),
    /// Run, incarnation, specification, saved progress, ticket and deadline.
    #[serde(rename = "s")]
    Start(RunWire, u64, String, String, String, u64),
    #[serde(rename = "x")]
    Stop(RunWire),
    /// Run and share in percent.
    #[serde(rename = "t")]
    Throttle(RunWire, u32),
}

#[derive(Deserialize, Serialize)]
enum ResponseWire {
    #[serde(rename = "e")]
    Failed(String, bool),
    #[serde(rename = "f")]
    Fenced,
    #[serde(rename = "n")]
    Refused(u16),
    /// Incarnation, clock, active runs and ended runs.
    #[serde(rename = "r")]
    Report(Option<u64>, u64, Vec<ActiveWire>, Vec<EndedWire>),
    /// The same and the rows of both lists that cannot be read.
    #[serde(rename = "ro")]
    OddReport(
        Option<u64>,
        u64,
        Vec<ActiveWire>,
        Vec<EndedWire>,
        Vec<OddRunWire>,
        Vec<OddEndWire>,
    ),
    #[serde(rename = "a")]
    Accepted(u64),
    #[serde(rename = "ar")]
    Repeated(u64),
    #[serde(rename = "sf")]
    StartFenced,
    #[serde(rename = "st")]
    NoTicket,
    #[serde(rename = "sn")]
    StartRefused(String),
    #[serde(rename = "su")]
    StartUnknown(String),
    #[serde(rename = "x")]
    Stopped(Option<u64>),
    #[serde(rename = "t")]
    Throttled(bool),
}

/// Task, run, saved progress, percent and measurement.
#[derive(Deserialize, Serialize)]
struct ActiveWire(TaskWire, u32, String, u32, Option<u64>);

/// Number, task, run, kind and saved progress.
#[derive(Deserialize, Serialize)]
struct EndedWire(u64, TaskWire, u32, KindWire, String);

/// Task, run and what is wrong with the row.
#[derive(Deserialize, Serialize)]
struct OddRunWire(Option<TaskWire>, Option<u32>, String);

/// Lowest and highest number, task and what is wrong with the row.
#[derive(Deserialize, Serialize)]
struct OddEndWire(u64, u64, Option<TaskWire>, String);

#[derive(Deserialize, Serialize)]
enum KindWire {
    #[serde(rename = "a")]
    Alone,
    #[serde(rename = "b")]
    Broken,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "f")]
    Failed,
    #[serde(rename = "l")]
    Lapsed,
    #[serde(rename = "s")]
    Stopped,
}

impl From<&TaskId> for TaskWire {
    fn from(task: &TaskId) -> TaskWire {
        TaskWire(task.job.clone(), task.occurrence, task.step, task.index)
    }
}

impl From<TaskWire> for TaskId {
    fn from(wire: TaskWire) -> TaskId {
        let TaskWire(job, occurrence, step, index) = wire;
        TaskId {
            job,
            occurrence,
            step,
            index,
        }
    }
}

impl From<&Call> for CallWire {
    fn from(call: &Call) -> CallWire {
        match call {
            Call::Poll(worker, r) => CallWire::Poll(
                worker.clone(),
                r.address,
                r.deadline,
                r.acked_end,
                r.wait.0,
                r.fence.0,
            ),
            Call::Start(r) => CallWire::Start(
                run_wire(&r.task, r.run, &r.worker, r.address, r.fence),
                r.born,
                r.spec.clone(),
                r.saved.clone(),
                r.ticket.clone(),
                r.deadline,
            ),
            Call::Stop(r) => {
                CallWire::Stop(run_wire(&r.task, r.run, &r.worker, r.address, r.fence))
            }
            Call::Throttle(r) => CallWire::Throttle(
                run_wire(&r.task, r.run, &r.worker, r.address, r.fence),
                r.percent,
            ),
        }
    }
}

fn run_wire(
    task: &TaskId,
    run: RunNumber,
    worker: &WorkerId,
    address: SocketAddr,
    fence: Fence,
) -> RunWire {
    RunWire(task.into(), run.0, worker.clone(), address, fence.0)
}

impl From<CallWire> for Call {
    fn from(wire: CallWire) -> Call {
        match wire {
            CallWire::Poll(worker, address, deadline, acked_end, wait, fence) => Call::Poll(
                worker,
                PollRequest {
                    address,
                    deadline,
                    acked_end,
                    wait: Millis(wait),
                    fence: Fence(fence),
                },
            ),
            CallWire::Start(wire, born, spec, saved, ticket, deadline) => {
                let RunWire(task, run, worker, address, fence) = wire;
                Call::Start(Box::new(StartRequest {
                    task: task.into(),
                    run: RunNumber(run),
                    worker,
                    born,
                    address,
                    spec,
                    saved,
                    ticket,
                    deadline,
                    fence: Fence(fence),
                    // Known only to the coordinator, and needed only there.
                    planned_at: Millis::ZERO,
                }))
            }
            CallWire::Stop(RunWire(task, run, worker, address, fence)) => Call::Stop(StopRequest {
                task: task.into(),
                run: RunNumber(run),
                worker,
                address,
                fence: Fence(fence),
            }),
            CallWire::Throttle(RunWire(task, run, worker, address, fence), percent) => {
                Call::Throttle(ThrottleRequest {
                    task: task.into(),
                    run: RunNumber(run),
                    worker,
                    address,
                    percent,
                    fence: Fence(fence),
                })
            }
        }
    }
}

impl From<&Response> for ResponseWire {
    fn from(response: &Response) -> ResponseWire {
        match response {
            Response::Failed(why, unsent) => ResponseWire::Failed(why.clone(), *unsent),
            Response::Fenced => ResponseWire::Fenced,
            Response::Refused(status) => ResponseWire::Refused(*status),
            Response::Report(report) => report_wire(report),
            Response::Started(StartResponse::Accepted(clock)) => ResponseWire::Accepted(*clock),
            Response::Started(StartResponse::Repeated(clock)) => ResponseWire::Repeated(*clock),
            Response::Started(StartResponse::Fenced) => ResponseWire::StartFenced,
            Response::Started(StartResponse::NoTicket) => ResponseWire::NoTicket,
            Response::Started(StartResponse::Refused(why)) => {
                ResponseWire::StartRefused(why.clone())
            }
            Response::Started(StartResponse::Unknown(why)) => {
                ResponseWire::StartUnknown(why.clone())
            }
            Response::Stopped(clock) => ResponseWire::Stopped(*clock),
            Response::Throttled(accepted) => ResponseWire::Throttled(*accepted),
        }
    }
}

impl From<ResponseWire> for Response {
    fn from(wire: ResponseWire) -> Response {
        match wire {
            ResponseWire::Failed(why, unsent) => Response::Failed(why, unsent),
            ResponseWire::Fenced => Response::Fenced,
            ResponseWire::Refused(status) => Response::Refused(status),
            ResponseWire::Report(born, clock, running, ended) => Response::Report(Report {
                born,
                clock,
                running: running.into_iter().map(ActiveRun::from).collect(),
                ended: ended.into_iter().map(EndedRun::from).collect(),
                odd: OddRows::default(),
            }),
            ResponseWire::OddReport(born, clock, running, ended, odd_runs, odd_ends) => {
                Response::Report(Report {
                    born,
                    clock,
                    running: running.into_iter().map(ActiveRun::from).collect(),
                    ended: ended.into_iter().map(EndedRun::from).collect(),
                    odd: OddRows {
                        running: odd_runs.into_iter().map(OddRun::from).collect(),
                        ended: odd_ends.into_iter().map(OddEnd::from).collect(),
                    },
                })
            }
            ResponseWire::Accepted(clock) => Response::Started(StartResponse::Accepted(clock)),
            ResponseWire::Repeated(clock) => Response::Started(StartResponse::Repeated(clock)),
            ResponseWire::StartFenced => Response::Started(StartResponse::Fenced),
            ResponseWire::NoTicket => Response::Started(StartResponse::NoTicket),
            ResponseWire::StartRefused(why) => Response::Started(StartResponse::Refused(why)),
            ResponseWire::StartUnknown(why) => Response::Started(StartResponse::Unknown(why)),
            ResponseWire::Stopped(clock) => Response::Stopped(clock),
            ResponseWire::Throttled(accepted) => Response::Throttled(accepted),
        }
    }
}

fn report_wire(report: &Report) -> ResponseWire {
    let running = report.running.iter().map(ActiveWire::from).collect();
    let ended = report.ended.iter().map(EndedWire::from).collect();
    if report.odd.count() == 0 {
        return ResponseWire::Report(report.born, report.clock, running, ended);
    }
    ResponseWire::OddReport(
        report.born,
        report.clock,
        running,
        ended,
        report.odd.running.iter().map(OddRunWire::from).collect(),
        report.odd.ended.iter().map(OddEndWire::from).collect(),
    )
}

impl From<&OddRun> for OddRunWire {
    fn from(row: &OddRun) -> OddRunWire {
        let task = row.task.as_ref().map(TaskWire::from);
        OddRunWire(task, row.run.map(|run| run.0), row.why.clone())
    }
}

impl From<OddRunWire> for OddRun {
    fn from(wire: OddRunWire) -> OddRun {
        let OddRunWire(task, run, why) = wire;
        OddRun {
            task: task.map(TaskId::from),
            run: run.map(RunNumber),
            why,
        }
    }
}

impl From<&OddEnd> for OddEndWire {
    fn from(row: &OddEnd) -> OddEndWire {
        let task = row.task.as_ref().map(TaskWire::from);
        OddEndWire(row.first, row.last, task, row.why.clone())
    }
}

impl From<OddEndWire> for OddEnd {
    fn from(wire: OddEndWire) -> OddEnd {
        let OddEndWire(first, last, task, why) = wire;
        OddEnd {
            first,
            last,
            task: task.map(TaskId::from),
            why,
        }
    }
}

impl From<&ActiveRun> for ActiveWire {
    fn from(run: &ActiveRun) -> ActiveWire {
        let task = TaskWire::from(&run.task);
        ActiveWire(task, run.run.0, run.saved.clone(), run.percent, run.load)
    }
}

impl From<ActiveWire> for ActiveRun {
    fn from(wire: ActiveWire) -> ActiveRun {
        let ActiveWire(task, run, saved, percent, load) = wire;
        ActiveRun {
            task: task.into(),
            run: RunNumber(run),
            saved,
            percent,
            load,
        }
    }
}

impl From<&EndedRun> for EndedWire {
    fn from(end: &EndedRun) -> EndedWire {
        let kind = match end.kind {
            EndKind::Alone => KindWire::Alone,
            EndKind::Broken => KindWire::Broken,
            EndKind::Done => KindWire::Done,
            EndKind::Failed => KindWire::Failed,
            EndKind::Lapsed => KindWire::Lapsed,
            EndKind::Stopped => KindWire::Stopped,
        };
        let task = TaskWire::from(&end.task);
        EndedWire(end.number, task, end.run.0, kind, end.saved.clone())
    }
}

impl From<EndedWire> for EndedRun {
    fn from(wire: EndedWire) -> EndedRun {
        let EndedWire(number, task, run, kind, saved) = wire;
        let kind = match kind {
            KindWire::Alone => EndKind::Alone,
            KindWire::Broken => EndKind::Broken,
            KindWire::Done => EndKind::Done,
            KindWire::Failed => EndKind::Failed,
            KindWire::Lapsed => EndKind::Lapsed,
            KindWire::Stopped => EndKind::Stopped,
        };
        EndedRun {
            number,
            task: task.into(),
            run: RunNumber(run),
            kind,
            saved,
        }
    }
}

fn to_cbor<T: Serialize>(value: &T) -> Result<Bytes, MessageError> {
    let mut data = Vec::new();
    let written = ciborium::into_writer(value, &mut data);
    written.map_err(|e| MessageError::Malformed(e.to_string()))?;
    Ok(Bytes::from(data))
}

fn from_cbor<T: DeserializeOwned>(data: &[u8]) -> Result<T, MessageError> {
    ciborium::from_reader(data).map_err(|e| MessageError::Malformed(e.to_string()))
}
