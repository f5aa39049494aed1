//! Fake platform: an etcd v3 JSON gateway and a list of VMs, with fault injection.
//!
//! It runs on its own threads. The store keeps its state during faults. Leases expire as usual
//! while a fault prevents daemons from renewing them.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::rt;
use actix_web::rt::time::sleep;
use actix_web::rt::System;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use tokio::select;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::fault::Fault;
use crate::fault::FaultSpec;
use crate::platform_calls::CallCounts;
use crate::platform_http;
use crate::platform_state::SharedState;
use crate::platform_vms::VmRow;
use crate::platform_wire::Blob;
use crate::platform_wire::PutRequest;

/// Period at which expired leases are revoked.
const LEASE_EXPIRY_PERIOD: Duration = Duration::from_millis(20);

enum Command {
    Fault(FaultSpec, mpsc::Sender<()>),
    Stop,
}

/// A running fake platform.
#[derive(Debug)]
pub struct Platform {
    shared: SharedState,
    addr: SocketAddr,
    control: SocketAddr,
    commands: UnboundedSender<Command>,
    thread: JoinHandle<()>,
}

impl Platform {
    /// Starts a fake platform that serves daemons at `addr` and its control routes at the next
    /// port. If the port of `addr` is zero, the system chooses both ports.
    ///
    /// # Panics
    ///
    /// If an address cannot be bound.
    pub fn start(addr: SocketAddr) -> Platform {
        let mut control_addr = addr;
        if addr.port() != 0 {
            control_addr.set_port(addr.port() + 1);
        }
        let data = TcpListener::bind(addr).expect("the address can be bound");
        let control = TcpListener::bind(control_addr).expect("the control address can be bound");
        let shared = SharedState::new();
        let (commands, receiver) = unbounded_channel();
        let mut platform = Platform {
            shared: shared.clone(),
            addr: data.local_addr().expect("a bound socket has an address"),
            control: control.local_addr().expect("a bound socket has an address"),
            commands: commands.clone(),
            thread: thread::spawn(|| ()),
        };
        platform.thread = thread::spawn(move || {
            let served = System::new().block_on(run(shared, data, control, commands, receiver));
            served.expect("the servers run");
        });
        platform
    }

    /// Address that daemons call.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of the control routes, such as `POST /fault`.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Sets the fault of all calls from now on. Returns once it is in force.
    pub fn set_fault(&self, fault: Fault) {
        self.set_fault_spec(FaultSpec::all(fault));
    }

    /// Sets the fault of the next `calls` calls of one kind, for example `txn`.
    pub fn set_fault_for_calls(&self, fault: Fault, kind: &str, calls: u64) {
        self.set_fault_spec(FaultSpec::next(fault, kind, calls));
    }

    fn set_fault_spec(&self, spec: FaultSpec) {
        let (sender, done) = mpsc::channel();
        if self.commands.send(Command::Fault(spec, sender)).is_ok() {
            let _ = done.recv();
        }
    }

    /// Compacts the store's history, so that watches cannot resume from earlier revisions.
    pub fn compact(&self) {
        self.shared.lock().kv.compact();
    }

    /// Restores the previous value of a key. Returns whether there was one.
    pub fn restore_previous(&self, key: &str) -> bool {
        let done = self.shared.lock().kv.restore_previous(key.as_bytes());
        self.shared.notify();
        done
    }

    /// Writes a key as another client would, bypassing all faults. Returns the store's revision.
    pub fn put(&self, key: &str, value: &[u8]) -> i64 {
        let request = PutRequest {
            key: Blob(key.as_bytes().to_vec()),
            value: Blob(value.to_vec()),
            ..PutRequest::default()
        };
        let _ = self.shared.lock().kv.put(&request);
        self.shared.notify();
        self.revision()
    }

    /// Reads the value of a key, bypassing all faults.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        state.kv.value(key.as_bytes()).map(<[u8]>::to_vec)
    }

    /// The store's revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().kv.revision()
    }

    /// Ends a lease as if it had expired.
    pub fn expire_lease(&self, lease: i64) {
        let _ = self.shared.lock().kv.revoke(lease);
        self.shared.notify();
    }

    /// Sets the list of VMs. It is served once the delay set with [`Platform::set_lag`] has passed.
    pub fn set_vms(&self, rows: Vec<VmRow>) {
        let now = self.shared.now();
        self.shared.lock().vms.set(now, rows);
    }

    /// Sets the delay after which later changes of the list of VMs are served.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().vms.set_lag(lag.as_millis() as u64);
    }

    /// Counts of the calls received.
    pub fn calls(&self) -> CallCounts {
        self.shared.lock().calls.clone()
    }

    /// Stops the servers and waits for their threads.
    pub fn close(self) {
        let _ = self.commands.send(Command::Stop);
        let _ = self.thread.join();
    }

    /// Waits until the server thread ends.
    pub fn wait(self) {
        let _ = self.thread.join();
    }
}

async fn run(
    shared: SharedState,
    data: TcpListener,
    control: TcpListener,
    commands: UnboundedSender<Command>,
    mut receiver: UnboundedReceiver<Command>,
) -> io::Result<()> {
    let addr = data.local_addr()?;
    let control_server = serve_control(&shared, control, commands)?;
    let mut data_server = Some(serve_data(&shared, data)?);
    loop {
        select! {
            command = receiver.recv() => match command {
                Some(Command::Fault(spec, done)) => {
                    let refuse = spec.fault == Fault::Refuse;
                    platform_http::set_fault(&shared, spec);
                    set_listening(&shared, &mut data_server, addr, refuse).await?;
                    let _ = done.send(());
                }
                Some(Command::Stop) | None => break,
            },
            // Locking the state revokes expired leases.
            () = sleep(LEASE_EXPIRY_PERIOD) => drop(shared.lock()),
        }
    }
    control_server.stop(false).await;
    if let Some(handle) = data_server {
        handle.stop(false).await;
    }
    Ok(())
}

/// Stops the server for daemons if `refuse` is true, otherwise starts it unless it is running.
async fn set_listening(
    shared: &SharedState,
    server: &mut Option<ServerHandle>,
    addr: SocketAddr,
    refuse: bool,
) -> io::Result<()> {
    if refuse {
        if let Some(handle) = server.take() {
            handle.stop(false).await;
        }
    } else if server.is_none() {
        *server = Some(serve_data(shared, TcpListener::bind(addr)?)?);
    }
    Ok(())
}

fn serve_data(shared: &SharedState, listener: TcpListener) -> io::Result<ServerHandle> {
    let data = Data::new(shared.clone());
    let app = move || {
        let app = App::new().app_data(data.clone());
        app.configure(platform_http::routes)
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    rt::spawn(server);
    Ok(handle)
}

fn serve_control(
    shared: &SharedState,
    listener: TcpListener,
    commands: UnboundedSender<Command>,
) -> io::Result<ServerHandle> {
    let data = Data::new(shared.clone());
    let commands = Data::new(commands);
    let app = move || {
        let app = App::new().app_data(data.clone()).app_data(commands.clone());
        let app = app.route("/fault", web::post().to(post_fault));
        app.configure(platform_http::control_routes)
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    rt::spawn(server);
    Ok(handle)
}

async fn post_fault(
    commands: Data<UnboundedSender<Command>>,
    spec: Json<FaultSpec>,
) -> HttpResponse {
    let (sender, done) = mpsc::channel();
    let sent = commands.send(Command::Fault(spec.into_inner(), sender));
    if sent.is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let _ = web::block(move || done.recv()).await;
    HttpResponse::NoContent().finish()
}
