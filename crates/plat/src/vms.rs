//! Client of the platform's lagging list of VMs.

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
use quick_error::quick_error;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call;

const PATH_VMS: &str = "/v1/vms";

/// Longest answer in bytes.
const MAX_LIST: usize = 8 * 1024 * 1024;

/// Pause after the first failure.
const PAUSE_FIRST: Millis = Millis(200);

quick_error! {
    /// Why a row of the list cannot be understood.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum VmError {
        /// An address.
        Addr(e: AddrParseError) {
            from()
            display("{e}")
        }
        /// An identifier.
        Id(e: IdError) {
            from()
            display("{e}")
        }
        /// A role or state that is not known.
        Word(text: String) {
            display("{text:?} is neither a role nor a state")
        }
    }
}

/// State of a VM as the platform shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// It leaves; it must get no new work.
    Leaving,
    /// It is in service.
    Live,
}

/// An entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Its id.
    pub id: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it serves callers.
    pub addr: SocketAddr,
    /// Where it accepts links of its peers.
    pub peers: SocketAddr,
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
    /// Where it serves.
    pub addr: SocketAddr,
    /// Its state.
    pub state: VmState,
    /// Accelerators.
    pub accels: Accels,
    /// Cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Bytes,
    /// The service that it offers.
    pub service: Option<ServiceId>,
    /// Requests that it takes at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// The list of VMs, and when it was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// Entry VMs in the order of their ids.
    pub entries: Vec<EntryVm>,
    /// Workers in the order of their ids.
    pub workers: Vec<WorkerVm>,
    /// Rows that could not be understood.
    pub skipped: Vec<String>,
    /// When the answer was received.
    pub read: Millis,
}

impl VmList {
    /// Time since the list was read.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.read)
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
            peers: row.peers.map_or(Ok(addr), |p| p.parse())?,
            state: state(&row.state)?,
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
            state: state(&row.state)?,
            accels: Accels(row.accels),
            cores: Cores(row.cores),
            memory: Bytes(row.memory),
            service,
            slots: row.slots,
            connections: row.connections,
        })
    }
}

fn state(text: &str) -> Result<VmState, VmError> {
    match text {
        "leaving" => Ok(VmState::Leaving),
        "live" => Ok(VmState::Live),
        other => Err(VmError::Word(other.to_string())),
    }
}

fn read_list(rows: Vec<Row>, now: Millis) -> VmList {
    let mut list = VmList {
        read: now,
        ..VmList::default()
    };
    for row in rows {
        let id = row.id.clone();
        let added = match row.role.as_str() {
            "entry" => EntryVm::try_from(row).map(|vm| list.entries.push(vm)),
            "worker" => WorkerVm::try_from(row).map(|vm| list.workers.push(vm)),
            other => Err(VmError::Word(other.to_string())),
        };
        if let Err(error) = added {
            list.skipped.push(format!("{id:?}: {error}"));
        }
    }
    list.entries.sort_by(|a, b| a.id.cmp(&b.id));
    list.workers.sort_by(|a, b| a.id.cmp(&b.id));
    list
}

/// Where the list is and how often to read it.
#[derive(Clone, Debug)]
pub struct VmsConfig {
    /// Endpoints, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// Time between two reads, give or take a quarter.
    pub period: Millis,
    /// Time for one read.
    pub deadline: Millis,
    /// Time for one connection to be made.
    pub connect: Millis,
    /// Seed of the random pauses.
    pub seed: u64,
}

/// Reads the list again and again and keeps the last good one.
#[derive(Debug)]
pub struct Vms {
    list: Rc<RefCell<Option<Rc<VmList>>>>,
    reads: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl Vms {
    /// Starts to read. Runs on the present arbiter.
    pub fn start(config: VmsConfig, log: Logger, metrics: &Metrics, clock: Clock) -> Vms {
        let list = Rc::new(RefCell::new(None));
        let (sender, reads) = watch::channel(0);
        let poller = Poller {
            client: call::client(config.connect.duration()),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            backoff: Backoff::new(PAUSE_FIRST, config.period),
            list: list.clone(),
            reads: sender,
            counter: metrics.counter("vm_list_reads", "Reads of the platform's list of VMs"),
            next: 0,
            config,
            log,
            clock,
        };
        let task = spawn(poller.run());
        Vms { list, reads, task }
    }

    /// The last good list, if any was read.
    pub fn list(&self) -> Option<Rc<VmList>> {
        self.list.borrow().clone()
    }

    /// Waits for the next good read.
    pub async fn changed(&mut self) {
        let _ = self.reads.changed().await;
    }

    /// Stops reading.
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
    reads: watch::Sender<u64>,
    counter: Counter,
    next: usize,
    log: Logger,
    clock: Clock,
}

impl Poller {
    async fn run(mut self) {
        loop {
            let result = self.read().await;
            let label = if result.is_ok() { "done" } else { "failed" };
            self.counter.add(&[("result", label)], 1);
            let unit = self.rng.random::<f64>();
            let pause = match result {
                Ok(list) => self.keep(list, unit),
                Err(error) => self.fail(&error, unit),
            };
            sleep(pause.duration()).await;
        }
    }

    fn keep(&mut self, list: VmList, unit: f64) -> Millis {
        self.backoff.reset();
        for row in &list.skipped {
            emit(&self.log, Event::InputRefused, row);
        }
        self.list.replace(Some(Rc::new(list)));
        self.reads.send_modify(|count| *count += 1);
        let period = self.config.period.0 as f64;
        Millis((period * (0.75 + 0.5 * unit)) as u64)
    }

    fn fail(&mut self, error: &str, unit: f64) -> Millis {
        emit(&self.log, Event::StoreUnreachable, error);
        self.next = self.next.wrapping_add(1);
        self.backoff.next(unit)
    }

    async fn read(&mut self) -> Result<VmList, String> {
        let endpoints = &self.config.endpoints;
        if endpoints.is_empty() {
            return Err("no endpoint is configured".to_string());
        }
        let addr = endpoints[self.next % endpoints.len()];
        let request = self.client.get(format!("http://{addr}{PATH_VMS}"));
        let exchange = async {
            let mut response = request.send().await.map_err(|e| e.to_string())?;
            if response.status() != StatusCode::OK {
                return Err(format!("status {}", response.status()));
            }
            let body = response.body().limit(MAX_LIST).await;
            body.map_err(|e| e.to_string())
        };
        let body = timeout(self.config.deadline.duration(), exchange).await;
        let body = body.map_err(|_| "no answer in time".to_string())??;
        let rows: Vec<Row> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        Ok(read_list(rows, self.clock.now()))
    }
}
