//! Connections that arrive while a daemon stands still.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Connections that are opened at once to each port.
const CONNECTIONS: usize = 300;

/// The kernel sends the first packet of a connection again after a second if it was dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for a daemon to start, or to answer a caller.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

struct Daemon {
    process: Child,
    callers: SocketAddr,
    links: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon whose store cannot be reached, and waits until its ports are open.
    fn start() -> Daemon {
        let ports: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        let text = format!(
            r#"{{
                "vm": "e0", "domain": "d0",
                "addresses": {{ "callers": "{}", "ready": "{}", "operators": "{}", "links": "{}" }},
                "store": {{ "address": "{}" }},
                "bounds": {{ "max-hold": "6s", "stop": "6s", "heartbeat": "300ms" }},
            }}"#,
            ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        let name = format!("bronzetack-backlog-{}.jsonc", std::process::id());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).expect("cannot write the settings");
        let process = Command::new(env!("CARGO_BIN_EXE_bronzetack"))
            .args(["batch", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("cannot start the daemon");
        let daemon = Daemon {
            process,
            callers: ports[0],
            links: ports[3],
            settings,
        };
        let started = Instant::now();
        for port in [daemon.callers, daemon.links] {
            while TcpStream::connect(port).is_err() {
                assert!(started.elapsed() < READY_TIMEOUT, "{port} stays closed");
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        daemon
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.process.id() as i32);
        kill(id, signal).expect("the daemon has ended");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.process.kill().expect("cannot kill the daemon");
        self.process.wait().expect("cannot wait for the daemon");
        fs::remove_file(&self.settings).expect("cannot remove the settings");
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    listener.local_addr().expect("no address")
}

/// Failure: a daemon that stood still for a moment had a queue for 128 new connections. Further
/// callers and daemons could not connect for a second or more.
#[test]
fn a_burst_of_connections_waits_for_a_daemon_that_stands_still() {
    let daemon = Daemon::start();
    daemon.signal(Signal::SIGSTOP);
    let connect = |address: SocketAddr| {
        let connected = (0..CONNECTIONS).map(|num| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
            stream.unwrap_or_else(|e| panic!("connection {num} to {address}: {e}"))
        });
        connected.collect::<Vec<_>>()
    };
    let callers = connect(daemon.callers);
    let _peers = connect(daemon.links);
    daemon.signal(Signal::SIGCONT);
    for mut stream in callers {
        let timeout = Some(READY_TIMEOUT);
        stream.set_read_timeout(timeout).expect("no time-out");
        stream
            .write_all(b"GET /-/readyz HTTP/1.1\r\nhost: h\r\n\r\n")
            .expect("cannot send");
        let mut start = [0; 9];
        stream.read_exact(&mut start).expect("no answer");
        assert_eq!(&start, b"HTTP/1.1 ");
    }
}
