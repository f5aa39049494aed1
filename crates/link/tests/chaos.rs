//! Three daemons linked to each other through relays that cut or stall connections at random.

mod common;

use std::cell::Cell;
use std::time::Duration;

use base::Millis;
use common::config;
use common::run;
use common::until;
use common::vm;
use common::Node;
use fakes::fault_relay::Relay;
use link::LinkConfig;
use link::Topic;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;
use yare::parameterized;

const NAMES: [&str; 3] = ["a", "b", "c"];
const FAULTS: u32 = 40;

struct Mesh {
    nodes: Vec<Node>,
    relays: Vec<Relay>,
}

fn mesh() -> Mesh {
    let start = |name: &&str| {
        Node::start(LinkConfig {
            dial_delay: Millis(5),
            max_backoff: Millis(20),
            idle_timeout: Millis(100),
            keepalive_interval: Millis(20),
            ..config(name)
        })
    };
    let nodes: Vec<Node> = NAMES.iter().map(start).collect();
    let mut relays = Vec::new();
    for from in 0..NAMES.len() {
        let mut peers = Vec::new();
        for to in (0..NAMES.len()).filter(|to| *to != from) {
            let relay = Relay::start(nodes[to].links.addr());
            peers.push((vm(NAMES[to]), relay.addr()));
            relays.push(relay);
        }
        nodes[from].links.set_peers(peers);
    }
    Mesh { nodes, relays }
}

/// Sends increasing numbers between all pairs of nodes until `done` is set.
async fn send_numbers(nodes: &[Node], done: &Cell<bool>) {
    let mut number = 0u64;
    while !done.get() {
        for (from, to) in pairs() {
            number += 1;
            // Zero-padded, so that the texts sort like the numbers.
            let body = format!("{number:08}").into();
            let _ = nodes[from].links.send(&vm(NAMES[to]), Topic(1), body);
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Cuts or stalls random relays `FAULTS` times, then sets `done`.
async fn inject_faults(relays: &[Relay], seed: u64, done: &Cell<bool>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..FAULTS {
        let relay = &relays[rng.random_range(0..relays.len())];
        if rng.random::<bool>() {
            relay.disconnect();
        } else {
            relay.blackhole();
        }
        sleep(Duration::from_millis(rng.random_range(0..40))).await;
    }
    done.set(true);
}

/// Indices of all ordered pairs of different nodes.
fn pairs() -> impl Iterator<Item = (usize, usize)> {
    let all = (0..NAMES.len()).flat_map(|a| (0..NAMES.len()).map(move |b| (a, b)));
    all.filter(|(a, b)| a != b)
}

/// Sends increasing numbers, above those of `send_numbers`, until one arrives.
async fn send_until_received(from: &Node, to: &Node) {
    let prefix = format!("{}: 9", from.links.vm());
    let arrived = || to.events.borrow().iter().any(|e| e.starts_with(&prefix));
    let mut number = 90_000_000u64;
    while !arrived() {
        number += 1;
        let _ = from
            .links
            .send(to.links.vm(), Topic(1), number.to_string().into());
        sleep(Duration::from_millis(5)).await;
    }
}

/// Whether both ends of each pair hold the same link.
fn links_agree(nodes: &[Node]) -> bool {
    pairs().all(|(a, b)| {
        let of_a = nodes[a].links.peer(&vm(NAMES[b])).and_then(|p| p.link);
        let of_b = nodes[b].links.peer(&vm(NAMES[a])).and_then(|p| p.link);
        of_a.is_some() && of_a == of_b
    })
}

/// Checks the events of one peer at a node: up and down alternate, and messages arrive only while
/// the link is up, in order and at most once.
fn check_events(node: &Node, peer: &str) {
    let (mut up, mut last) = (false, String::new());
    for event in node.events.borrow().iter() {
        if *event == format!("up {peer}") {
            assert!(!up, "up without a down in between");
            up = true;
        } else if *event == format!("down {peer}") {
            assert!(up, "down without an up before");
            up = false;
        } else if let Some(number) = event.strip_prefix(&format!("{peer}: ")) {
            assert!(up, "message while the link is down");
            assert!(
                number > last.as_str(),
                "message {number} arrived after {last}"
            );
            last = number.to_string();
        }
    }
    assert!(up && !last.is_empty());
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn links_recover_and_keep_order(seed: u64) {
    run(async move {
        let mesh = mesh();
        until(|| links_agree(&mesh.nodes)).await;
        let done = Cell::new(false);
        let faults = inject_faults(&mesh.relays, seed, &done);
        tokio::join!(send_numbers(&mesh.nodes, &done), faults);
        until(|| links_agree(&mesh.nodes)).await;
        for (from, to) in pairs() {
            send_until_received(&mesh.nodes[from], &mesh.nodes[to]).await;
        }
        for (from, to) in pairs() {
            check_events(&mesh.nodes[to], NAMES[from]);
        }
        for node in mesh.nodes {
            node.links.close().await;
        }
        for relay in mesh.relays {
            relay.close();
        }
    });
}
