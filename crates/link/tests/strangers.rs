//! Connections that never become links: their memory and their descriptors.

mod common;

use std::fs;
use std::sync::Mutex;
use std::sync::PoisonError;

use base::Millis;
use common::config;
use common::run;
use common::Node;
use futures_util::future::join_all;
use link::LinkConfig;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Connections at a time, and those that say nothing.
const STRANGERS: usize = 100;
const SILENT: usize = 400;

/// Memory and descriptors that the connections may take: a quarter of the smallest machines, which have
/// 120 MB, and a twentieth of 4,000 descriptors.
const MAX_GROWTH_MB: u64 = 30;
const MAX_DESCRIPTORS: usize = 200;

/// Time limit for the handshake, so long that it ends none of these connections.
const CONNECT_TIMEOUT: Millis = Millis(60_000);

/// Length that a frame announces, and what is sent of it.
const FRAME_BYTES: usize = 2 << 20;
const SENT_BYTES: usize = FRAME_BYTES - PART.len();
static PART: [u8; 65_536] = [0; 65_536];

/// Held by the test that measures this process.
static MEASURING: Mutex<()> = Mutex::new(());

const UPGRADE: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
    sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// A binary frame with a mask of zeros, without its contents.
fn frame_head() -> Vec<u8> {
    let mut head = vec![0x82, 0xff];
    head.extend((FRAME_BYTES as u64).to_be_bytes());
    head.extend([0; 4]);
    head
}

/// Largest resident memory of this process so far, in megabytes.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("no status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.expect("no memory") / 1024
}

fn descriptors() -> usize {
    fs::read_dir("/proc/self/fd")
        .expect("no descriptors")
        .count()
}

fn node(name: &str) -> Node {
    Node::start(LinkConfig {
        connect_timeout: CONNECT_TIMEOUT,
        ..config(name)
    })
}

/// Waits until another daemon has a link to `node`.
async fn expect_a_link(node: &Node) {
    let other = Node::start(config("a"));
    other.dial("b", node.links.addr());
    node.wait_for("up a", 1).await;
    other.links.close().await;
}

/// Sends most of a frame in place of a hello; it ends early if the connection is closed.
async fn send_frame(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.links.addr()).await.unwrap();
    stream.write_all(UPGRADE.as_bytes()).await.unwrap();
    let mut answer = [0; 16];
    stream.read_exact(&mut answer).await.unwrap();
    let mut sent = stream.write_all(&frame_head()).await;
    for _ in 0..SENT_BYTES / PART.len() {
        if sent.is_ok() {
            sent = stream.write_all(&PART).await;
        }
    }
    stream
}

/// Failure: each connection, of anyone, could have a frame of 2 MiB kept before its hello was read.
#[test]
fn frames_before_a_hello_take_a_bounded_memory() {
    let _measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let node = node("b");
        let before = peak_memory();
        let streams = join_all((0..STRANGERS).map(|_| send_frame(&node))).await;
        let growth = peak_memory() - before;
        assert!(growth < MAX_GROWTH_MB, "the frames take {growth} MB");
        drop(streams);
        expect_a_link(&node).await;
        node.links.close().await;
    });
}

/// Failure: connections that said nothing took all descriptors of the process.
#[test]
fn silent_connections_take_a_bounded_number_of_descriptors() {
    let _measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
    run(async {
        let node = node("b");
        let before = descriptors();
        let mut streams = Vec::new();
        for _ in 0..SILENT {
            streams.push(TcpStream::connect(node.links.addr()).await.unwrap());
            tokio::task::yield_now().await;
        }
        // The silent ones are there while another daemon connects.
        expect_a_link(&node).await;
        let taken = descriptors() - before - streams.len();
        assert!(taken < MAX_DESCRIPTORS, "{taken} descriptors");
        node.links.close().await;
    });
}
