//! Client of the platform's list of VMs, which may be out of date.

use std::cell::RefCell;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::spawn;
use awc::http::StatusCode;
use awc::Client;
use base::Accels;
use base::Backoff;
use base::Bytes;
use base::Clock;
use base::Cores;
use base::DomainId;
use base::IdError;
use base::Millis;
use base::RackId;
use base::ServiceId;
use base::VmId;
use base::WorkerId;
use obs::emit;
use obs::Counter;
use obs::Event;
use obs::Metrics;
use obs::SubjectLimiter;
use quick_error::quick_error;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::value::RawValue;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call;

const PATH_VMS: &str = "/v1/vms";

const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Longest pause after the first failure. Later pauses grow up to the poll interval.
const FIRST_RETRY_PAUSE: Millis = Millis(200);

quick_error! {
    /// Why a row of the list cannot be parsed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum VmError {
        /// An address is malformed.
        Addr(e: AddrParseError) {
            from()
            display("{e}")
        }
        /// An id is malformed.
        Id(e: IdError) {
            from()
            display("{e}")
        }
        /// The role or the state is unknown.
        UnknownValue(text: String) {
            display("{text:?} is neither a role nor a state")
        }
    }
}

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is about to leave and must get no new work.
    Leaving,
    /// The VM is in service.
    Live,
}

/// An entry VM, which accepts the requests of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Its id.
    pub id: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address at which it serves callers.
    pub addr: SocketAddr,
    /// Address at which it accepts connections of other entry VMs.
    pub peer_addr: SocketAddr,
    /// Its state.
    pub state: VmState,
}

/// A worker that serves requests and runs tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerVm {
    /// Its id.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack.
    pub rack: RackId,
    /// Address at which it serves requests and task calls.
    pub addr: SocketAddr,
    /// Its state.
    pub state: VmState,
    /// Number of accelerators.
    pub accels: Accels,
    /// Number of CPU cores.
    pub cores: Cores,
    /// Size of the memory.
    pub memory: Bytes,
    /// The service that it offers, if any.
    pub service: Option<ServiceId>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
}

/// The list of VMs and the time at which it was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// Entry VMs, ordered by id.
    pub entry_vms: Vec<EntryVm>,
    /// Workers, ordered by id.
    pub workers: Vec<WorkerVm>,
    /// For each row that could not be parsed, its id and the error.
    pub skipped: Vec<String>,
    /// When the response was received.
    pub read_at: Millis,
}

impl VmList {
    /// Time since the list was read.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.read_at)
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Row {
    id: String,
    role: String,
    domain: String,
    rack: String,
    address: String,
    peers: Option<String>,
    state: String,
    accels: u32,
    cores: u32,
    memory: u64,
    service: String,
    slots: u32,
    connections: u32,
}

impl TryFrom<Row> for EntryVm {
    type Error = VmError;

    fn try_from(row: Row) -> Result<EntryVm, VmError> {
        let addr: SocketAddr = row.address.parse()?;
        Ok(EntryVm {
            id: row.id.parse()?,
            domain: row.domain.parse()?,
            addr,
            peer_addr: row.peers.map_or(Ok(addr), |p| p.parse())?,
            state: parse_state(&row.state)?,
        })
    }
}

impl TryFrom<Row> for WorkerVm {
    type Error = VmError;

    fn try_from(row: Row) -> Result<WorkerVm, VmError> {
        let service = match row.service.as_str() {
            "" => None,
            text => Some(text.parse()?),
        };
        Ok(WorkerVm {
            id: row.id.parse()?,
            domain: row.domain.parse()?,
            rack: row.rack.parse()?,
            addr: row.address.parse()?,
            state: parse_state(&row.state)?,
            accels: Accels(row.accels),
            cores: Cores(row.cores),
            memory: Bytes(row.memory),
            service,
            slots: row.slots,
            connections: row.connections,
        })
    }
}

fn parse_state(text: &str) -> Result<VmState, VmError> {
    match text {
        "leaving" => Ok(VmState::Leaving),
        "live" => Ok(VmState::Live),
        other => Err(VmError::UnknownValue(other.to_string())),
    }
}

/// Longest part of a row that a log line quotes.
const MAX_QUOTE_CHARS: usize = 200;

/// Parses the rows that it can and notes the others in `skipped`.
fn parse_list(rows: Vec<Box<RawValue>>, now: Millis) -> VmList {
    let mut list = VmList {
        read_at: now,
        ..VmList::default()
    };
    for row in rows {
        let row: Row = match serde_json::from_str(row.get()) {
            Ok(row) => row,
            Err(error) => {
                let start: String = row.get().chars().take(MAX_QUOTE_CHARS).collect();
                list.skipped.push(format!("{error}: {start}"));
                continue;
            }
        };
        let id = row.id.clone();
        let added = match row.role.as_str() {
            "entry" => EntryVm::try_from(row).map(|vm| list.entry_vms.push(vm)),
            "worker" => WorkerVm::try_from(row).map(|vm| list.workers.push(vm)),
            other => Err(VmError::UnknownValue(other.to_string())),
        };
        if let Err(error) = added {
            list.skipped.push(format!("{id:?}: {error}"));
        }
    }
    list.entry_vms.sort_by(|a, b| a.id.cmp(&b.id));
    list.workers.sort_by(|a, b| a.id.cmp(&b.id));
    list
}

/// Configuration of a [`Vms`] client.
#[derive(Clone, Debug)]
pub struct VmsConfig {
    /// Endpoints of the list. After a failure, the client uses the next one.
    pub endpoints: Vec<SocketAddr>,
    /// Mean time between two reads; each pause differs from it by up to a quarter.
    pub poll_interval: Millis,
    /// Longest duration of a read.
    pub read_timeout: Millis,
    /// Longest time to open a connection.
    pub connect_timeout: Millis,
    /// Seed of the random generator that spreads pauses.
    pub seed: u64,
}

/// Polls the list of VMs and keeps the result of the last successful read.
#[derive(Debug)]
pub struct Vms {
    list: Rc<RefCell<Option<Rc<VmList>>>>,
    /// Number of successful reads.
    reads: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl Vms {
    /// Starts polling on the current arbiter.
    pub fn start(config: VmsConfig, log: Logger, metrics: &Metrics, clock: Clock) -> Vms {
        let list = Rc::new(RefCell::new(None));
        let (sender, reads) = watch::channel(0);
        let poller = Poller {
            client: call::new_client(config.connect_timeout.duration()),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            backoff: Backoff::new(FIRST_RETRY_PAUSE, config.poll_interval),
            list: list.clone(),
            reads: sender,
            counter: metrics.counter("vm_list_reads", "Reads of the platform's list of VMs"),
            endpoint_index: 0,
            refused_log: SubjectLimiter::default(),
            config,
            log,
            clock,
        };
        let task = spawn(poller.run());
        Vms { list, reads, task }
    }

    /// Result of the last successful read; `None` before the first.
    pub fn list(&self) -> Option<Rc<VmList>> {
        self.list.borrow().clone()
    }

    /// Waits for the next successful read.
    pub async fn changed(&mut self) {
        let _ = self.reads.changed().await;
    }

    /// Stops polling.
    pub fn close(self) {
        self.task.abort();
    }
}

struct Poller {
    config: VmsConfig,
    client: Client,
    rng: Pcg64Mcg,
    backoff: Backoff,
    list: Rc<RefCell<Option<Rc<VmList>>>>,
    /// Number of successful reads.
    reads: watch::Sender<u64>,
    counter: Counter,
    /// Index of the endpoint in use, modulo the number of endpoints.
    endpoint_index: usize,
    /// Rate limit of log lines about rows that cannot be parsed.
    refused_log: SubjectLimiter,
    log: Logger,
    clock: Clock,
}

impl Poller {
    async fn run(mut self) {
        loop {
            let result = self.fetch().await;
            let label = if result.is_ok() { "done" } else { "failed" };
            self.counter.add(&[("result", label)], 1);
            let random = self.rng.random::<f64>();
            let pause = match result {
                Ok(list) => self.update_list(list, random),
                Err(error) => self.report_failure(&error, random),
            };
            sleep(pause.duration()).await;
        }
    }

    /// Replaces the list and returns the pause before the next read.
    fn update_list(&mut self, list: VmList, random: f64) -> Millis {
        self.backoff.reset();
        for row in &list.skipped {
            if self.refused_log.admit(row, list.read_at) {
                emit(&self.log, Event::InputRefused, row);
            }
        }
        self.list.replace(Some(Rc::new(list)));
        self.reads.send_modify(|count| *count += 1);
        let interval = self.config.poll_interval.0 as f64;
        Millis((interval * (0.75 + 0.5 * random)) as u64)
    }

    /// Logs a failed read and returns the pause before the next one.
    fn report_failure(&mut self, error: &str, random: f64) -> Millis {
        emit(&self.log, Event::StoreUnreachable, error);
        self.endpoint_index = self.endpoint_index.wrapping_add(1);
        self.backoff.next(random)
    }

    async fn fetch(&mut self) -> Result<VmList, String> {
        let endpoints = &self.config.endpoints;
        if endpoints.is_empty() {
            return Err("no endpoint is configured".to_string());
        }
        let addr = endpoints[self.endpoint_index % endpoints.len()];
        let request = self.client.get(format!("http://{addr}{PATH_VMS}"));
        let exchange = async {
            let mut response = request.send().await.map_err(|e| e.to_string())?;
            if response.status() != StatusCode::OK {
                return Err(format!("status {}", response.status()));
            }
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            body.map_err(|e| e.to_string())
        };
        let body = timeout(self.config.read_timeout.duration(), exchange).await;
        let body = body.map_err(|_| "no answer in time".to_string())??;
        let rows: Vec<Box<RawValue>> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        Ok(parse_list(rows, self.clock.now()))
    }
}
