//! A TCP relay whose connections can go silent, be reset, be delayed or be cut one way.

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

use socket2::SockRef;

const BUFFER: usize = 64 * 1024;

/// Longest wait for bytes before a connection looks whether it has been reset.
const READ: Duration = Duration::from_millis(20);

/// Pause between two looks whether a cut has healed.
const HEAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Shared {
    accepted: AtomicU64,
    silent: AtomicU64,
    reset: AtomicU64,
    bytes: AtomicU64,
    closed: AtomicBool,
    refuses: AtomicBool,
    /// Delay of all bytes in milliseconds.
    delay: AtomicU64,
    /// Whether bytes towards the target, and back, are held up.
    cut: [AtomicBool; 2],
    streams: Mutex<Vec<TcpStream>>,
}

impl Shared {
    fn streams(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_reset(&self, number: u64) -> bool {
        number < self.reset.load(Ordering::SeqCst)
    }
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
        for stream in self.shared.streams().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Resets all present connections.
    pub fn reset(&self) {
        self.shared.reset.store(self.accepted(), Ordering::SeqCst);
        for stream in self.shared.streams().drain(..) {
            // One that has been closed meanwhile needs no reset.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Holds up bytes towards the target, and back, until this is called again.
    pub fn hold(&self, there: bool, back: bool) {
        self.shared.cut[0].store(there, Ordering::SeqCst);
        self.shared.cut[1].store(back, Ordering::SeqCst);
    }

    /// Delays all bytes.
    pub fn delay(&self, by: Duration) {
        let millis = by.as_millis() as u64;
        self.shared.delay.store(millis, Ordering::SeqCst);
    }

    /// Sets whether new connections are ended at once.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::SeqCst);
    }

    /// Ends all connections and refuses new ones.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.hold(false, false);
        let _ = TcpStream::connect(self.addr);
        let _ = self.thread.join();
        for stream in self.shared.streams().drain(..) {
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
        if shared.refuses.load(Ordering::SeqCst) {
            continue;
        }
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
    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ))?;
    }
    let mut streams = shared.streams();
    streams.push(near.try_clone()?);
    streams.push(far.try_clone()?);
    drop(streams);
    let copy = shared.clone();
    let (from, to) = (near.try_clone()?, far.try_clone()?);
    thread::spawn(move || pump(from, to, number, 0, &copy));
    let copy = shared.clone();
    thread::spawn(move || pump(far, near, number, 1, &copy));
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, way: usize, shared: &Shared) {
    let mut buffer = vec![0; BUFFER];
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
        while shared.cut[way].load(Ordering::SeqCst) && !shared.is_reset(number) {
            thread::sleep(HEAL);
        }
        if shared.is_reset(number) {
            return;
        }
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
