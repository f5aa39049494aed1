//! A TCP relay that can blackhole, reset, close, delay or pause its connections.
//!
//! All relays of a process share a few threads.

use std::future::pending;
use std::io;
use std::io::Read;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 64 * 1024;

/// Threads that carry the bytes of all relays, some of which serve several sites at a time.
const THREADS: usize = 6;

/// Pause after a connection could not be accepted, or be made to a target that is away.
const RETRY: Duration = Duration::from_millis(20);

/// What the owner of a relay has requested. Connections are numbered from 0.
#[derive(Debug, Default)]
struct Controls {
    /// Connections with a lower number are blackholed.
    blackholed: u64,
    /// Connections with a lower number have been reset.
    reset: u64,
    /// Connections with a lower number have been closed.
    disconnected: u64,
    /// Whether the relay has been closed.
    closed: bool,
    /// Whether new connections are closed immediately.
    refusing: bool,
    /// Delay of the bytes of each read.
    delay: Duration,
    /// Whether bytes to the target, and bytes from the target, are paused.
    paused: [bool; 2],
    /// Whether a connection waits for a target that is away, and is made although its client has given up.
    persistent: bool,
}

/// How a connection stops forwarding at the owner's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    Blackhole,
    Close,
    Reset,
}

impl Controls {
    fn stop(&self, number: u64) -> Option<Stop> {
        match () {
            () if number < self.reset => Some(Stop::Reset),
            () if self.closed || number < self.disconnected => Some(Stop::Close),
            () if number < self.blackholed => Some(Stop::Blackhole),
            () => None,
        }
    }
}

#[derive(Debug, Default)]
struct RelayState {
    /// Connections accepted so far.
    accepted: AtomicU64,
    /// Bytes forwarded so far, in both directions together.
    bytes: AtomicU64,
    controls: watch::Sender<Controls>,
    /// When the target accepted no connection.
    refusals: Mutex<Vec<Instant>>,
}

impl RelayState {
    fn refusals(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.refusals.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits until the controls satisfy the condition.
    async fn wait_for(&self, condition: impl FnMut(&Controls) -> bool) {
        // The sender is part of this state, so the wait cannot fail.
        let _ = self.controls.subscribe().wait_for(condition).await;
    }

    /// Waits until a connection must stop; a blackholed one does so only to be closed or reset.
    async fn stopped(&self, number: u64, blackholed: bool) -> Stop {
        let stop = |c: &Controls| c.stop(number);
        let stop = |c: &Controls| stop(c).filter(|s| !blackholed || *s != Stop::Blackhole);
        self.wait_for(|c| stop(c).is_some()).await;
        stop(&self.controls.borrow()).unwrap_or(Stop::Close)
    }
}

/// A running relay in front of one target address. It is closed when it is dropped.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<RelayState>,
    /// Disconnected once the listening socket and all connections are closed.
    open: mpsc::Receiver<()>,
}

impl Relay {
    /// Starts a relay on a free loopback port. It connects to `target` for each connection accepted.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start(target: SocketAddr) -> Relay {
        Relay::open(target).expect("a free port")
    }

    /// Starts a relay like [`Relay::start`]. Fails if no loopback port can be bound.
    pub fn open(target: SocketAddr) -> io::Result<Relay> {
        let listener = StdListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(RelayState::default());
        let (held, open) = mpsc::channel();
        runtime().spawn(accept(listener, target, shared.clone(), held));
        Ok(Relay { addr, shared, open })
    }

    /// Address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Bytes forwarded so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Times at which a connection was accepted and closed at once because the target did not accept
    /// one.
    pub fn refusals(&self) -> Vec<Instant> {
        self.shared.refusals().clone()
    }

    /// Blackholes all open connections until they are closed: bytes are discarded, and the end of a
    /// stream is not forwarded. An end that closes its connection has it closed by the relay as well.
    pub fn blackhole(&self) {
        let accepted = self.accepted();
        self.control(|c| c.blackholed = accepted);
    }

    /// Closes all open connections.
    pub fn disconnect(&self) {
        let accepted = self.accepted();
        self.control(|c| c.disconnected = accepted);
    }

    /// Resets all open connections (TCP RST).
    pub fn reset(&self) {
        let accepted = self.accepted();
        self.control(|c| c.reset = accepted);
    }

    /// Sets whether bytes to the target, and bytes from the target, are paused.
    pub fn set_paused(&self, to_target: bool, from_target: bool) {
        self.control(|c| c.paused = [to_target, from_target]);
    }

    /// Sets whether what clients send reaches whatever listens at the target's address next: a new connection waits for
    /// a target that is away, and while bytes to the target are paused, and is then made although its client has given
    /// up meanwhile.
    pub fn set_persistent(&self, persistent: bool) {
        self.control(|c| c.persistent = persistent);
    }

    /// Delays the bytes of each read by this much, which also limits the throughput.
    pub fn set_delay(&self, delay: Duration) {
        self.control(|c| c.delay = delay);
    }

    /// Sets whether new connections are closed immediately.
    pub fn set_refusing(&self, refusing: bool) {
        self.control(|c| c.refusing = refusing);
    }

    /// Closes all connections and the listening socket.
    pub fn close(self) {
        self.control(|c| c.closed = true);
        // Nothing is ever sent: the error is that the last socket has been closed.
        let _ = self.open.recv();
    }

    fn control(&self, change: impl FnOnce(&mut Controls)) {
        self.shared.controls.send_modify(change);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.control(|c| c.closed = true);
    }
}

/// The runtime of the next relay. All runtimes start with the first relay.
fn runtime() -> &'static Handle {
    static RUNTIMES: OnceLock<Vec<Handle>> = OnceLock::new();
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let start = || (0..THREADS).map(|_| start_runtime()).collect();
    let runtimes = RUNTIMES.get_or_init(start);
    &runtimes[NEXT.fetch_add(1, Ordering::Relaxed) % THREADS]
}

/// Starts a runtime on a thread of its own.
fn start_runtime() -> Handle {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be created");
    let handle = runtime.handle().clone();
    thread::spawn(move || runtime.block_on(pending::<()>()));
    handle
}

async fn accept(
    listener: StdListener,
    target: SocketAddr,
    shared: Arc<RelayState>,
    held: mpsc::Sender<()>,
) {
    let listener = TcpListener::from_std(listener).expect("a bound listener");
    loop {
        let accepted = tokio::select! {
            biased;
            () = shared.wait_for(|c| c.closed) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else {
            sleep(RETRY).await;
            continue;
        };
        if shared.controls.borrow().refusing {
            continue;
        }
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        let (shared, held) = (shared.clone(), held.clone());
        tokio::spawn(async move {
            connect(client, target, number, &shared).await;
            drop(held);
        });
    }
}

async fn connect(client: TcpStream, target: SocketAddr, number: u64, shared: &RelayState) {
    let server = tokio::select! {
        biased;
        // Only a persistent relay may wait for long.
        () = shared.wait_for(|c| c.closed || c.persistent && c.stop(number).is_some_and(|s| s != Stop::Blackhole)) => {
            let stop = shared.controls.borrow().stop(number);
            return end(client, stop.unwrap_or(Stop::Close));
        }
        server = open(target, shared) => server,
    };
    let Ok(server) = server else {
        // Recorded before the client can notice that its connection is closed.
        shared.refusals().push(Instant::now());
        return;
    };
    // Without a relay, a client that gave up before it was connected would have sent nothing.
    let ready = client.ready(Interest::READABLE).now_or_never();
    let gone = ready.is_some_and(|r| r.is_ok_and(|r| r.is_read_closed()));
    if gone && !shared.controls.borrow().persistent {
        return;
    }
    relay(client, server, number, shared).await;
}

/// Opens a connection to the target. A persistent relay does so once bytes to the target are not paused, and waits for
/// one that is away.
async fn open(target: SocketAddr, shared: &RelayState) -> io::Result<TcpStream> {
    loop {
        shared.wait_for(|c| !c.persistent || !c.paused[0]).await;
        match TcpStream::connect(target).await {
            Err(_) if shared.controls.borrow().persistent => sleep(RETRY).await,
            opened => return opened,
        }
    }
}

/// Forwards bytes until both ends have closed the connection or it must stop.
async fn relay(mut client: TcpStream, mut server: TcpStream, number: u64, shared: &RelayState) {
    // An error means that the connection has already ended, which the first read shows.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let stop = tokio::select! {
        biased;
        stop = shared.stopped(number, false) => stop,
        _ = join(
            forward(from_client, to_server, 0, number, shared),
            forward(from_server, to_client, 1, number, shared),
        ) => return,
    };
    if stop == Stop::Blackhole {
        let client = discard(client, number, shared);
        join(client, discard(server, number, shared)).await;
    } else {
        end(client, stop);
        end(server, stop);
    }
}

/// Forwards bytes from one stream to the other until either ends. `direction` is the index into
/// `Controls::paused`.
async fn forward(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: usize,
    number: u64,
    shared: &RelayState,
) {
    loop {
        let buffer = read(&from).await;
        let delay = shared.controls.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // What was read may have been sent after the connection was to stop.
        shared
            .wait_for(|c| !c.paused[direction] && c.stop(number).is_none())
            .await;
        if buffer.is_empty() {
            // Fails if the other end has closed the connection as well.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer).await.is_err() {
            return;
        }
        shared
            .bytes
            .fetch_add(buffer.len() as u64, Ordering::SeqCst);
    }
}

/// Reads what has arrived; empty at the end of the stream. A buffer is held only while it has bytes, as most
/// connections are idle.
async fn read(from: &ReadHalf<'_>) -> Vec<u8> {
    loop {
        if from.readable().await.is_err() {
            return Vec::new();
        }
        let mut buffer = vec![0; BUFFER_BYTES];
        match from.try_read(&mut buffer) {
            Ok(len) => {
                buffer.truncate(len);
                return buffer;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Vec::new(),
        }
    }
}

/// Discards the bytes of one end of a blackholed connection until that end closes it.
async fn discard(mut stream: TcpStream, number: u64, shared: &RelayState) {
    let (from, _) = stream.split();
    let stop = tokio::select! {
        biased;
        stop = shared.stopped(number, true) => stop,
        () = async { while !read(&from).await.is_empty() {} } => Stop::Close,
    };
    end(stream, stop);
}

/// Closes or resets a connection.
fn end(stream: TcpStream, stop: Stop) {
    // Errors mean that the connection has already ended.
    if stop == Stop::Reset {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        return;
    }
    let Ok(mut stream) = stream.into_std() else {
        return;
    };
    let _ = stream.shutdown(Shutdown::Both);
    // Closing a socket with unread bytes would reset the connection.
    let mut buffer = vec![0; BUFFER_BYTES];
    while stream.read(&mut buffer).is_ok_and(|len| len > 0) {}
}
