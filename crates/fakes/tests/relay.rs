//! Faults of a relay as both ends of a connection see them.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fakes::fault_relay::Relay;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Time in which bytes arrive that are not held up.
const ARRIVAL: Duration = Duration::from_millis(1_000);

/// Time for which nothing may arrive.
const SILENCE: Duration = Duration::from_millis(150);

struct Ends {
    relay: Relay,
    target: TcpListener,
    client: TcpStream,
    server: TcpStream,
}

impl Ends {
    fn open() -> Ends {
        let target = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Relay::start(target.local_addr().expect("a bound socket"));
        let (client, server) = connect(&relay, &target);
        Ends {
            relay,
            target,
            client,
            server,
        }
    }
}

fn connect(relay: &Relay, target: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(relay.addr()).expect("the relay listens");
    let (server, _) = target.accept().expect("the relay connects");
    (client, server)
}

/// What arrives within this time: bytes, nothing at the end of the stream, or an error.
fn receive(stream: &mut TcpStream, time: Duration) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(time)).expect("a valid time");
    let mut buffer = [0; 64];
    let len = stream.read(&mut buffer).map_err(|e| e.kind())?;
    Ok(buffer[..len].to_vec())
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("an open connection");
}

fn expect_exchange(client: &mut TcpStream, server: &mut TcpStream) {
    send(client, b"question");
    assert_eq!(receive(server, ARRIVAL), Ok(b"question".to_vec()));
    send(server, b"answer");
    assert_eq!(receive(client, ARRIVAL), Ok(b"answer".to_vec()));
}

const NOTHING: Result<Vec<u8>, ErrorKind> = Err(ErrorKind::WouldBlock);

const END: Result<Vec<u8>, ErrorKind> = Ok(Vec::new());

#[test]
fn bytes_and_ends_of_streams_are_forwarded() {
    let mut ends = Ends::open();
    expect_exchange(&mut ends.client, &mut ends.server);
    let half = ends.client.shutdown(std::net::Shutdown::Write);
    half.expect("an open connection");
    assert_eq!(receive(&mut ends.server, ARRIVAL), END);
    send(&mut ends.server, b"late answer");
    let answer = receive(&mut ends.client, ARRIVAL);
    assert_eq!(answer, Ok(b"late answer".to_vec()));
    drop(ends.server);
    assert_eq!(receive(&mut ends.client, ARRIVAL), END);
    assert_eq!(ends.relay.accepted(), 1);
    assert_eq!(ends.relay.bytes(), 25);
}

#[test]
fn reset_resets_open_connections_only() {
    let mut ends = Ends::open();
    ends.relay.reset();
    let reset = Err(ErrorKind::ConnectionReset);
    assert_eq!(receive(&mut ends.client, ARRIVAL), reset);
    assert_eq!(receive(&mut ends.server, ARRIVAL), reset);
    let (mut client, mut server) = connect(&ends.relay, &ends.target);
    expect_exchange(&mut client, &mut server);
}

#[test]
fn disconnect_ends_open_connections_only() {
    let mut ends = Ends::open();
    ends.relay.disconnect();
    assert_eq!(receive(&mut ends.client, ARRIVAL), END);
    assert_eq!(receive(&mut ends.server, ARRIVAL), END);
    let (mut client, mut server) = connect(&ends.relay, &ends.target);
    expect_exchange(&mut client, &mut server);
}

#[test]
fn blackholed_connections_are_silent_until_they_are_reset() {
    let mut ends = Ends::open();
    ends.relay.blackhole();
    send(&mut ends.client, b"question");
    send(&mut ends.server, b"answer");
    assert_eq!(receive(&mut ends.server, SILENCE), NOTHING);
    assert_eq!(receive(&mut ends.client, SILENCE), NOTHING);
    let (mut client, mut server) = connect(&ends.relay, &ends.target);
    expect_exchange(&mut client, &mut server);
    drop(ends.client);
    assert_eq!(receive(&mut ends.server, SILENCE), NOTHING);
    ends.relay.reset();
    let reset = Err(ErrorKind::ConnectionReset);
    assert_eq!(receive(&mut ends.server, ARRIVAL), reset);
    assert_eq!(receive(&mut client, ARRIVAL), reset);
}

#[test]
fn paused_bytes_arrive_after_the_pause() {
    let mut ends = Ends::open();
    ends.relay.set_paused(true, false);
    send(&mut ends.client, b"question");
    send(&mut ends.server, b"answer");
    let answer = receive(&mut ends.client, ARRIVAL);
    assert_eq!(answer, Ok(b"answer".to_vec()));
    assert_eq!(receive(&mut ends.server, SILENCE), NOTHING);
    ends.relay.set_paused(false, false);
    let question = receive(&mut ends.server, ARRIVAL);
    assert_eq!(question, Ok(b"question".to_vec()));
    ends.relay.set_paused(false, true);
    drop(ends.server);
    assert_eq!(receive(&mut ends.client, SILENCE), NOTHING);
    ends.relay.set_paused(false, false);
    assert_eq!(receive(&mut ends.client, ARRIVAL), END);
}

#[test]
fn paused_connections_can_be_reset() {
    let mut ends = Ends::open();
    ends.relay.set_paused(true, true);
    send(&mut ends.client, b"question");
    thread::sleep(SILENCE);
    ends.relay.reset();
    let reset = Err(ErrorKind::ConnectionReset);
    assert_eq!(receive(&mut ends.client, ARRIVAL), reset);
}

#[test]
fn delay_holds_up_each_read() {
    let mut ends = Ends::open();
    ends.relay.set_delay(SILENCE * 2);
    let start = Instant::now();
    expect_exchange(&mut ends.client, &mut ends.server);
    assert!(start.elapsed() >= SILENCE * 4);
    ends.relay.set_delay(Duration::ZERO);
    expect_exchange(&mut ends.client, &mut ends.server);
}

#[test]
fn refusing_closes_new_connections_only() {
    let mut ends = Ends::open();
    ends.relay.set_refusing(true);
    let mut refused = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    assert_eq!(receive(&mut refused, ARRIVAL), END);
    expect_exchange(&mut ends.client, &mut ends.server);
    assert!(ends.relay.refusals().is_empty());
}

#[test]
fn refusals_of_the_target_are_recorded() {
    let ends = Ends::open();
    drop(ends.target);
    let mut refused = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    assert_eq!(receive(&mut refused, ARRIVAL), END);
    assert_eq!(ends.relay.refusals().len(), 1);
}

/// A target that accepts connections late, as one that has many others to accept.
fn full_target() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a bound socket");
    let target = TcpListener::from(socket);
    let address = target.local_addr().expect("a bound socket");
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, SILENCE) {
        waiting.push(stream);
    }
    (target, waiting)
}

/// The order of a coordinator that had given it up, and died, reached a worker seconds later: the relay had taken
/// the bytes long before it was connected.
#[test]
fn nothing_is_sent_for_a_client_that_gives_up_before_the_target_is_connected() {
    let (target, waiting) = full_target();
    let relay = Relay::start(target.local_addr().expect("a bound socket"));
    let mut patient = TcpStream::connect(relay.addr()).expect("the relay listens");
    send(&mut patient, b"question");
    let mut impatient = TcpStream::connect(relay.addr()).expect("the relay listens");
    send(&mut impatient, b"order");
    thread::sleep(SILENCE);
    drop(impatient);
    let mut received: Vec<Result<Vec<u8>, ErrorKind>> = Vec::new();
    for _ in 0..waiting.len() + 2 {
        let (mut server, _) = target.accept().expect("a connection");
        received.push(receive(&mut server, SILENCE));
    }
    assert!(received.contains(&Ok(b"question".to_vec())), "{received:?}");
    assert!(!received.contains(&Ok(b"order".to_vec())), "{received:?}");
}

/// The same with a network that keeps what a client has sent: the target serves it.
#[test]
fn a_persistent_relay_sends_what_clients_left_before_the_target_was_connected() {
    let (target, waiting) = full_target();
    let relay = Relay::start(target.local_addr().expect("a bound socket"));
    relay.set_persistent(true);
    let mut impatient = TcpStream::connect(relay.addr()).expect("the relay listens");
    send(&mut impatient, b"order");
    thread::sleep(SILENCE);
    drop(impatient);
    let mut received: Vec<Result<Vec<u8>, ErrorKind>> = Vec::new();
    for _ in 0..=waiting.len() {
        let (mut server, _) = target.accept().expect("a connection");
        received.push(receive(&mut server, SILENCE));
    }
    assert!(received.contains(&Ok(b"order".to_vec())), "{received:?}");
}

#[test]
fn a_persistent_relay_connects_to_the_next_target_at_the_address() {
    let ends = Ends::open();
    let address = ends.target.local_addr().expect("a bound socket");
    ends.relay.set_persistent(true);
    drop((ends.target, ends.server));
    let mut patient = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    send(&mut patient, b"question");
    let mut impatient = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    send(&mut impatient, b"order");
    assert_eq!(receive(&mut patient, SILENCE), NOTHING);
    drop(impatient);
    let target = TcpListener::bind(address).expect("the address is free again");
    let mut received: Vec<(TcpStream, Vec<u8>)> = Vec::new();
    for _ in 0..2 {
        let (mut server, _) = target.accept().expect("the relay connects");
        let bytes = receive(&mut server, ARRIVAL).expect("bytes");
        received.push((server, bytes));
    }
    received.sort_by(|a, b| a.1.cmp(&b.1));
    assert_eq!(received[0].1, b"order");
    assert_eq!(received[1].1, b"question");
    send(&mut received[1].0, b"answer");
    let answer = receive(&mut patient, ARRIVAL);
    assert_eq!(answer, Ok(b"answer".to_vec()));
    assert!(ends.relay.refusals().is_empty());
}

#[test]
fn a_persistent_relay_connects_after_a_pause() {
    let ends = Ends::open();
    ends.relay.set_persistent(true);
    ends.relay.set_paused(true, true);
    let mut client = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    send(&mut client, b"order");
    ends.target.set_nonblocking(true).expect("a bound socket");
    thread::sleep(SILENCE);
    let early = ends.target.accept().map_err(|e| e.kind());
    assert_eq!(early.err(), Some(ErrorKind::WouldBlock));
    drop(client);
    ends.target.set_nonblocking(false).expect("a bound socket");
    ends.relay.set_paused(false, false);
    let (mut server, _) = ends.target.accept().expect("the relay connects");
    assert_eq!(receive(&mut server, ARRIVAL), Ok(b"order".to_vec()));
}

/// A connection that still waits is ended like an open one.
#[test]
fn a_connection_that_waits_for_the_target_can_be_reset() {
    let ends = Ends::open();
    ends.relay.set_persistent(true);
    ends.relay.set_paused(true, true);
    let mut client = TcpStream::connect(ends.relay.addr()).expect("the relay listens");
    send(&mut client, b"order");
    thread::sleep(SILENCE);
    ends.relay.reset();
    let reset = Err(ErrorKind::ConnectionReset);
    assert_eq!(receive(&mut client, ARRIVAL), reset);
}

#[test]
fn close_ends_connections_and_listening() {
    let mut ends = Ends::open();
    let address = ends.relay.addr();
    ends.relay.set_paused(true, true);
    send(&mut ends.client, b"question");
    ends.relay.close();
    assert_eq!(receive(&mut ends.server, ARRIVAL), END);
    assert_eq!(receive(&mut ends.client, ARRIVAL), END);
    assert!(TcpStream::connect(address).is_err());
}
