//! A TCP relay that can refuse all connections, or stall the open ones while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a connection checks the state of the relay.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    /// Closes open connections and refuses new ones.
    cut: AtomicBool,
    /// Connections accepted under an earlier generation forward nothing.
    generation: AtomicU64,
}

/// A relay in front of an address.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Starts a relay that forwards to `to`.
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind(super::loopback()).expect("relay binds a port");
        let address = listener.local_addr().expect("bound socket has an address");
        let state = Arc::new(State::default());
        let relay = Relay {
            address,
            state: state.clone(),
        };
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                accept(inbound, to, &state);
            }
        });
        relay
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and refuses new ones.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
    }

    /// Accepts connections again.
    pub fn restore(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }

    /// Leaves open connections established but forwards nothing on them any more; new ones work.
    pub fn stall(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn accept(inbound: TcpStream, to: SocketAddr, state: &Arc<State>) {
    if state.cut.load(Ordering::SeqCst) {
        return;
    }
    let Ok(outbound) = TcpStream::connect(to) else {
        return;
    };
    let generation = state.generation.load(Ordering::SeqCst);
    let directions = [
        (inbound.try_clone(), outbound.try_clone()),
        (outbound.try_clone(), inbound.try_clone()),
    ];
    for (from, to) in directions {
        if let (Ok(from), Ok(to)) = (from, to) {
            let state = state.clone();
            thread::spawn(move || forward(from, to, &state, generation));
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, state: &State, generation: u64) {
    let mut buf = [0u8; 16 << 10];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    loop {
        if state.cut.load(Ordering::SeqCst) {
            break;
        }
        if state.generation.load(Ordering::SeqCst) != generation {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => {
                let is_current = state.generation.load(Ordering::SeqCst) == generation;
                if is_current && to.write_all(&buf[..len]).is_err() {
                    break;
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
