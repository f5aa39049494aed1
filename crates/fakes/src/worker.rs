//! Fake worker: an HTTP server that serves requests as an upstream and runs tasks.

mod requests;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread::JoinHandle;

use actix_web::dev::ServerHandle;
use actix_web::web;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use base::Clock;
use base::Map;
use base::Millis;
use base::WorkerId;
use work::wire::EpochCall;
use work::wire::TaskCall;

use crate::tasks::TaskTable;

/// Configuration of a fake worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Worker id.
    pub id: WorkerId,
    /// Listening address; with port 0 the system chooses a free port.
    pub address: SocketAddr,
    /// Number of requests served at the same time.
    pub slots: usize,
    /// Time to serve one request.
    pub service_time: Millis,
}

/// A fault injected into requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestFault {
    /// Requests run, and each response carries the id and body of the request that ran before.
    Mismatched,
    /// Requests run, and the response has status 500 and no body.
    Failing,
    /// Requests run after an additional delay of this many milliseconds.
    Late(u64),
    /// No fault.
    #[default]
    None,
    /// Requests run, and the connection is closed in the middle of the response.
    Truncated,
    /// Requests run, and no response is sent.
    Silent,
}

/// Mutable state of a fake worker: what it has run, and the fault in force.
pub struct WorkerInner {
    /// Number of runs of each request id.
    pub runs: Map<String, u64>,
    /// Number of requests running now.
    pub running: usize,
    /// Fault injected into requests.
    pub fault: RequestFault,
    /// Id and body of the request that ran last.
    last: Option<(String, Vec<u8>)>,
    /// Tasks of the worker.
    pub tasks: TaskTable,
}

/// State shared between the server and the test.
#[derive(Clone)]
pub struct WorkerState {
    config: WorkerConfig,
    clock: ClockSource,
    inner: Arc<Mutex<WorkerInner>>,
}

/// Source of the time, which is the system clock.
#[derive(Clone, Copy)]
struct ClockSource;

impl ClockSource {
    fn now(self) -> Millis {
        Clock::System.now()
    }
}

impl WorkerState {
    /// Locks the state, to read it or to set faults.
    pub fn lock(&self) -> MutexGuard<'_, WorkerInner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Worker id.
    pub fn id(&self) -> &WorkerId {
        &self.config.id
    }

    /// Number of requests served at the same time.
    pub fn slots(&self) -> usize {
        self.config.slots
    }
}

/// A running fake worker.
pub struct Worker {
    address: SocketAddr,
    state: WorkerState,
    server: ServerHandle,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a fake worker on its own thread. Fails if the address cannot be bound.
    pub fn start(config: WorkerConfig) -> std::io::Result<Worker> {
        let listener = TcpListener::bind(config.address)?;
        let address = listener.local_addr()?;
        let state = WorkerState {
            inner: Arc::new(Mutex::new(WorkerInner {
                runs: Map::default(),
                running: 0,
                fault: RequestFault::None,
                last: None,
                tasks: TaskTable::new(config.id.clone()),
            })),
            config,
            clock: ClockSource,
        };
        let (server, thread) = spawn(listener, state.clone());
        Ok(Worker {
            address,
            state,
            server,
            thread,
        })
    }

    /// Address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The state shared with the server.
    pub fn state(&self) -> WorkerState {
        self.state.clone()
    }

    /// Stops the worker immediately and closes open connections.
    pub fn close(self) {
        drop(self.server.stop(false));
        let _ = self.thread.join();
    }
}

fn spawn(listener: TcpListener, state: WorkerState) -> (ServerHandle, JoinHandle<()>) {
    let (tx, rx) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let app = move || {
                App::new()
                    .app_data(web::Data::new(state.clone()))
                    .configure(routes)
            };
            let server = HttpServer::new(app)
                .workers(1)
                .disable_signals()
                .keep_alive(actix_web::http::KeepAlive::Os)
                .listen(listener)
                .expect("a bound listener")
                .run();
            let _ = tx.send(server.handle());
            let _ = server.await;
        });
    });
    (rx.recv().expect("the server's handle"), thread)
}

fn routes(app: &mut web::ServiceConfig) {
    app.app_data(web::PayloadConfig::new(64 << 20))
        .app_data(web::JsonConfig::default().limit(16 << 20))
        .route("/service/{service}", web::post().to(requests::serve))
        .route("/v1/state", web::get().to(state))
        .route("/v1/epoch", web::post().to(epoch))
        .route("/v1/tasks", web::post().to(tasks));
}

async fn state(worker: web::Data<WorkerState>) -> HttpResponse {
    let now = worker.clock.now();
    HttpResponse::Ok().json(worker.lock().tasks.state(now))
}

async fn epoch(worker: web::Data<WorkerState>, call: web::Json<EpochCall>) -> HttpResponse {
    let now = worker.clock.now();
    let accepted = worker.lock().tasks.accept_epoch(now, call.epoch);
    match accepted {
        Ok(state) => HttpResponse::Ok().json(state),
        Err(fenced) => HttpResponse::Conflict().json(fenced),
    }
}

async fn tasks(worker: web::Data<WorkerState>, call: web::Json<TaskCall>) -> HttpResponse {
    let now = worker.clock.now();
    let reply = worker.lock().tasks.call(now, call.into_inner());
    match reply {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(fenced) => HttpResponse::Conflict().json(fenced),
    }
}
