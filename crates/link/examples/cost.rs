//! Measures the cost of links: CPU time of both ends and TCP payload bytes per message, and the same
//! per second for an idle link.
//!
//! `cargo run --release -p link --example cost`

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Clock;
use base::Millis;
use base::VmId;
use bytes::Bytes;
use fakes::fault_relay::Relay;
use link::LinkConfig;
use link::LinkEvent;
use link::Links;
use link::Topic;
use nix::sys::resource::getrusage;
use nix::sys::resource::UsageWho;
use obs::Metrics;
use tokio::time::sleep;

const TOPIC: Topic = Topic(1);

/// Messages of a run that sends in bursts.
const MESSAGES: u32 = 100_000;

/// Messages or requests of a run that sends one at a time.
const SINGLES: u32 = 20_000;

/// Messages that are sent before waiting for the receiver.
const BURST: u32 = 100;

/// Links of the idle run.
const IDLE_LINKS: usize = 50;

/// Length of the idle run.
const IDLE_SPAN: Duration = Duration::from_secs(5);

struct Node {
    links: Links,
    ups: Rc<Cell<u32>>,
    received: Rc<Cell<u32>>,
}

fn node(name: &str) -> Node {
    let vm: VmId = name.parse().expect("a VM id");
    let domain = "d".parse().expect("a failure domain");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = LinkConfig::new(vm, domain, "cost", listen);
    let (ups, received) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (up, got) = (ups.clone(), received.clone());
    let on_event = move |event| match event {
        LinkEvent::Message { .. } => got.set(got.get() + 1),
        LinkEvent::Request { body, reply, .. } => drop(reply.send(body)),
        LinkEvent::Up(_) => up.set(up.get() + 1),
        LinkEvent::Down(_) => (),
    };
    let log = obs::discard();
    let links = Links::start(config, log, &Metrics::new(), Clock::System, on_event);
    Node {
        links: links.expect("a free port"),
        ups,
        received,
    }
}

/// CPU time of this thread in microseconds.
fn cpu_time_us() -> f64 {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).expect("getrusage failed");
    let (user, system) = (usage.user_time(), usage.system_time());
    let secs = user.tv_sec() + system.tv_sec();
    let micros = user.tv_usec() + system.tv_usec();
    secs as f64 * 1e6 + micros as f64
}

async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::task::yield_now().await;
    }
}

async fn pair() -> (Node, Node) {
    let (a, b) = (node("a"), node("b"));
    a.links
        .set_peers(vec![(b.links.vm().clone(), b.links.addr())]);
    until(|| a.ups.get() == 1 && b.ups.get() == 1).await;
    (a, b)
}

/// Sends messages of `size` bytes, waiting for the receiver after each `burst` of them.
async fn send(a: &Node, b: &Node, size: usize, count: u32, burst: u32) {
    let body = Bytes::from(vec![7; size]);
    let to = b.links.vm().clone();
    let start = b.received.get();
    for i in 1..=count {
        a.links.send(&to, TOPIC, body.clone()).expect("room");
        if i % burst == 0 {
            until(|| b.received.get() == start + i).await;
        }
    }
}

/// Prints CPU time and bytes per message.
async fn messages(size: usize, count: u32, burst: u32) {
    let (a, b) = pair().await;
    let start = cpu_time_us();
    send(&a, &b, size, count, burst).await;
    let micros = (cpu_time_us() - start) / f64::from(count);
    let bytes = wire_bytes(size, count / 10, burst).await;
    println!("{size:>6} B x {burst:>3} at once: {micros:>6.2} us, {bytes:>7.1} B a message");
    a.links.close().await;
    b.links.close().await;
}

/// TCP payload bytes per message in both directions.
async fn wire_bytes(size: usize, count: u32, burst: u32) -> f64 {
    let (a, b) = (node("a"), node("b"));
    let relay = Relay::start(b.links.addr());
    a.links
        .set_peers(vec![(b.links.vm().clone(), relay.addr())]);
    until(|| a.ups.get() == 1 && b.ups.get() == 1).await;
    let start = relay.bytes();
    send(&a, &b, size, count, burst).await;
    let bytes = (relay.bytes() - start) as f64 / f64::from(count);
    a.links.close().await;
    b.links.close().await;
    relay.close();
    bytes
}

/// Prints the CPU time of a request with its reply.
async fn requests() {
    let (a, b) = pair().await;
    let start = cpu_time_us();
    for _ in 0..SINGLES {
        let body = Bytes::from_static(&[7; 256]);
        let reply = a.links.request(b.links.vm(), TOPIC, body, Millis(1000));
        reply.await.expect("a reply");
    }
    let micros = (cpu_time_us() - start) / f64::from(SINGLES);
    println!("   256 B request and reply: {micros:.2} us");
    a.links.close().await;
    b.links.close().await;
}

/// Prints CPU time and bytes of an idle link per second.
async fn idle() {
    let hub = node("hub");
    let nodes: Vec<Node> = (0..IDLE_LINKS).map(|i| node(&format!("n{i}"))).collect();
    let relays: Vec<Relay> = nodes.iter().map(|n| Relay::start(n.links.addr())).collect();
    let ids = nodes.iter().map(|n| n.links.vm().clone());
    let peers = ids.zip(relays.iter().map(Relay::addr)).collect();
    hub.links.set_peers(peers);
    until(|| hub.ups.get() as usize == IDLE_LINKS).await;
    let bytes = |relays: &[Relay]| relays.iter().map(Relay::bytes).sum::<u64>();
    let (start, sent) = (cpu_time_us(), bytes(&relays));
    sleep(IDLE_SPAN).await;
    let scale = IDLE_SPAN.as_secs_f64() * IDLE_LINKS as f64;
    let micros = (cpu_time_us() - start) / scale;
    let rate = (bytes(&relays) - sent) as f64 / scale;
    println!("idle link, both ends: {micros:.1} us and {rate:.1} B a second");
    hub.links.close().await;
    for node in nodes {
        node.links.close().await;
    }
    for relay in relays {
        relay.close();
    }
}

fn main() {
    actix_rt::System::new().block_on(async {
        for size in [64, 256, 1024, 16_384] {
            messages(size, MESSAGES, BURST).await;
        }
        messages(256, SINGLES, 1).await;
        requests().await;
        idle().await;
    });
}
