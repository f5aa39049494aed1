//! Closed connections of a relay leave no descriptors and threads behind. Both are counted for the whole
//! process, so this test has one of its own.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fakes::fault_relay::Relay;

/// Connections that are open at the same time.
const CONNECTIONS: usize = 50;

/// Rounds in which that many connections are opened and closed.
const ROUNDS: usize = 4;

/// Time in which what is closed must be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Descriptors and threads of this process.
fn usage() -> (usize, usize) {
    let count = |dir| fs::read_dir(dir).expect("a Linux system").count();
    (count("/proc/self/fd"), count("/proc/self/task"))
}

fn expect_release(before: (usize, usize), what: &str) {
    let start = Instant::now();
    while start.elapsed() < RELEASE_TIMEOUT {
        let (descriptors, threads) = usage();
        if descriptors <= before.0 && threads <= before.1 {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{what}: {before:?} before, {:?} after", usage());
}

/// A connection through the relay that has carried a byte: both ends.
fn connect(relay: &Relay, target: &TcpListener) -> (TcpStream, TcpStream) {
    let mut client = TcpStream::connect(relay.addr()).expect("the relay listens");
    client.write_all(b"x").expect("an open connection");
    let (mut server, _) = target.accept().expect("the relay connects");
    server.read_exact(&mut [0]).expect("an open connection");
    (client, server)
}

type Ends = Vec<(TcpStream, TcpStream)>;

/// A soak of 16 daemons and 80 workers ran out of descriptors, as its relays kept all they had opened.
#[test]
fn closed_connections_release_descriptors_and_threads() {
    let target = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = target.local_addr().expect("a bound socket");
    let relay = Relay::start(address);
    drop(connect(&relay, &target));
    thread::sleep(Duration::from_millis(200));
    let before = usage();
    let open = || -> Ends {
        let connections = (0..CONNECTIONS).map(|_| connect(&relay, &target));
        connections.collect()
    };
    for _ in 0..ROUNDS {
        drop(open());
        expect_release(before, "closed by both ends");

        let ends = open();
        relay.reset();
        drop(ends);
        expect_release(before, "reset");

        let ends = open();
        relay.disconnect();
        drop(ends);
        expect_release(before, "disconnected");

        let (clients, servers): (Vec<_>, Vec<_>) = open().into_iter().unzip();
        relay.blackhole();
        drop(clients);
        // The ends of the clients are released although the servers keep theirs.
        let held = (before.0 + 2 * CONNECTIONS, usize::MAX);
        expect_release(held, "blackholed and closed by clients");
        drop(servers);
        expect_release(before, "blackholed and closed by both ends");
    }
    let ends = open();
    let threads = usage().1;
    assert!(
        threads <= before.1,
        "{CONNECTIONS} connections take {} more threads",
        threads - before.1
    );
    let relays: Vec<Relay> = (0..CONNECTIONS).map(|_| Relay::start(address)).collect();
    let threads = usage().1;
    assert!(
        threads <= before.1,
        "{CONNECTIONS} relays take {} more threads",
        threads - before.1
    );
    drop(relays);
    drop(ends);
    expect_release(before, "relays dropped");
    let ends = open();
    relay.close();
    drop(ends);
    expect_release((before.0 - 1, before.1), "relay closed");
}
