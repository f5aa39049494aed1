//! A TCP relay that can blackhole, reset, close, delay or pause its connections.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

const BUFFER_BYTES: usize = 64 * 1024;

/// Read timeout, after which a connection checks whether it has been reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Period at which a paused connection checks whether it may continue.
const PAUSE_POLL_PERIOD: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct RelayState {
    /// Connections accepted so far. They are numbered from 0.
    accepted: AtomicU64,
    /// Connections with a lower number are blackholed.
    blackholed: AtomicU64,
    /// Connections with a lower number have been reset.
    reset: AtomicU64,
    /// Bytes forwarded so far, in both directions together.
    bytes: AtomicU64,
    /// Whether the relay has been closed.
    closed: AtomicBool,
    /// Whether new connections are closed immediately.
    refusing: AtomicBool,
    /// Delay of all bytes in milliseconds.
    delay: AtomicU64,
    /// Whether bytes to the target, and bytes from the target, are paused.
    paused: [AtomicBool; 2],
    streams: Mutex<Vec<TcpStream>>,
    /// When the target accepted no connection.
    refusals: Mutex<Vec<Instant>>,
}

impl RelayState {
    fn refusals(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.refusals.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn streams(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_reset(&self, number: u64) -> bool {
        number < self.reset.load(Ordering::SeqCst)
    }
}

/// A running relay in front of one target address. It runs on its own threads.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<RelayState>,
    thread: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free loopback port. It connects to `target` for each connection accepted.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start(target: SocketAddr) -> Relay {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(loopback).expect("a free port");
        let addr = listener
            .local_addr()
            .expect("a bound socket has an address");
        let shared = Arc::new(RelayState::default());
        let state = shared.clone();
        let thread = thread::spawn(move || accept(&listener, target, &state));
        Relay {
            addr,
            shared,
            thread,
        }
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

    /// Blackholes all open connections for good: bytes are discarded, and the end of a stream is
    /// not forwarded.
    pub fn blackhole(&self) {
        self.shared
            .blackholed
            .store(self.accepted(), Ordering::SeqCst);
    }

    /// Closes all open connections.
    pub fn disconnect(&self) {
        for stream in self.shared.streams().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Resets all open connections (TCP RST).
    pub fn reset(&self) {
        self.shared.reset.store(self.accepted(), Ordering::SeqCst);
        for stream in self.shared.streams().drain(..) {
            // Setting the option fails for a connection already closed, which needs no reset.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Sets whether bytes to the target, and bytes from the target, are paused.
    pub fn set_paused(&self, to_target: bool, from_target: bool) {
        self.shared.paused[0].store(to_target, Ordering::SeqCst);
        self.shared.paused[1].store(from_target, Ordering::SeqCst);
    }

    /// Delays the bytes of each read by this much, which also limits the throughput.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay.store(millis, Ordering::SeqCst);
    }

    /// Sets whether new connections are closed immediately.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Closes all connections and the listening socket.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.set_paused(false, false);
        let _ = TcpStream::connect(self.addr);
        let _ = self.thread.join();
        for stream in self.shared.streams().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<RelayState>) {
    for stream in listener.incoming() {
        if shared.closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(client) = stream else {
            continue;
        };
        if shared.refusing.load(Ordering::SeqCst) {
            continue;
        }
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(target) else {
            // Recorded before the client can notice that its connection is closed.
            shared.refusals().push(Instant::now());
            continue;
        };
        let _ = relay(client, server, number, shared);
    }
}

fn relay(
    client: TcpStream,
    server: TcpStream,
    number: u64,
    shared: &Arc<RelayState>,
) -> std::io::Result<()> {
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
    }
    let mut streams = shared.streams();
    streams.push(client.try_clone()?);
    streams.push(server.try_clone()?);
    drop(streams);
    let state = shared.clone();
    let (from, to) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || forward(from, to, number, 0, &state));
    let state = shared.clone();
    thread::spawn(move || forward(server, client, number, 1, &state));
    Ok(())
}

/// Forwards bytes from one stream to the other until either ends. `direction` is the index into
/// `RelayState::paused`.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    number: u64,
    direction: usize,
    shared: &RelayState,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let len = match from.read(&mut buffer) {
            Ok(len) => len,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                match shared.is_reset(number) {
                    true => return,
                    false => continue,
                }
            }
            Err(_) => 0,
        };
        let delay = shared.delay.load(Ordering::SeqCst);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        while shared.paused[direction].load(Ordering::SeqCst) && !shared.is_reset(number) {
            thread::sleep(PAUSE_POLL_PERIOD);
        }
        if shared.is_reset(number) {
            return;
        }
        let blackholed = number < shared.blackholed.load(Ordering::SeqCst);
        if len == 0 {
            if !blackholed {
                let _ = to.shutdown(Shutdown::Write);
            }
            return;
        }
        if blackholed {
            continue;
        }
        if to.write_all(&buffer[..len]).is_err() {
            return;
        }
        shared.bytes.fetch_add(len as u64, Ordering::SeqCst);
    }
}
