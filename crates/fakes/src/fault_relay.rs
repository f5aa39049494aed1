//! A TCP relay whose connections can go silent, while new ones work.

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
use std::thread;
use std::thread::JoinHandle;

const BUFFER: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Shared {
    accepted: AtomicU64,
    silent: AtomicU64,
    bytes: AtomicU64,
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// A running relay in front of one address. It runs on threads of its own.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on loopback that connects to `target` for each connection.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> Relay {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).expect("a free port");
        let addr = listener
            .local_addr()
            .expect("a bound socket has an address");
        let shared = Arc::new(Shared::default());
        let copy = shared.clone();
        let thread = thread::spawn(move || accept(&listener, target, &copy));
        Relay {
            addr,
            shared,
            thread,
        }
    }

    /// Where to connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Bytes passed on so far, both ways together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Makes all present connections silent for good: bytes vanish, and no end is passed on.
    pub fn silence(&self) {
        self.shared.silent.store(self.accepted(), Ordering::SeqCst);
    }

    /// Ends all present connections.
    pub fn cut(&self) {
        let mut streams = self
            .shared
            .streams
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends all connections and refuses new ones.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        let _ = self.thread.join();
        let mut streams = self
            .shared
            .streams
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(near) = stream else {
            continue;
        };
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(far) = TcpStream::connect(target) else {
            continue;
        };
        let _ = relay(near, far, number, shared);
    }
}

fn relay(
    near: TcpStream,
    far: TcpStream,
    number: u64,
    shared: &Arc<Shared>,
) -> std::io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let mut streams = shared.streams.lock().unwrap_or_else(|e| e.into_inner());
    streams.push(near.try_clone()?);
    streams.push(far.try_clone()?);
    drop(streams);
    let copy = shared.clone();
    let (from, to) = (near.try_clone()?, far.try_clone()?);
    thread::spawn(move || pump(from, to, number, &copy));
    let copy = shared.clone();
    thread::spawn(move || pump(far, near, number, &copy));
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, shared: &Shared) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let len = from.read(&mut buffer).unwrap_or(0);
        let silent = number < shared.silent.load(Ordering::SeqCst);
        if len == 0 {
            if !silent {
                let _ = to.shutdown(Shutdown::Write);
            }
            return;
        }
        if silent {
            continue;
        }
        if to.write_all(&buffer[..len]).is_err() {
            return;
        }
        shared.bytes.fetch_add(len as u64, Ordering::SeqCst);
    }
}
