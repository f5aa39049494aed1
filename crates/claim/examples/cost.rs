//! Measures the cost of a claim: processor time, messages, bytes on the link and memory:
//! `cargo run --release -p claim --example cost -- --requests 200000`

use std::collections::VecDeque;
use std::time::Instant;

use base::Millis;
use base::Outcome;
use base::VmId;

use claim::Action;
use claim::Answer;
use claim::Batch;
use claim::Body;
use claim::Claims;
use claim::Input;
use claim::Limits;
use claim::Message;
use claim::Packet;
use claim::View;
use claim::ViewNumber;

/// Size of an answer body.
const ANSWER_BYTES: usize = 256;

/// Request rate at which the simulated clock advances.
const REQUESTS_PER_SECOND: u64 = 200;

struct Site {
    names: Vec<VmId>,
    nodes: Vec<Claims>,
    messages: u64,
    bytes: u64,
    measure: bool,
    dispatched: u64,
}

impl Site {
    fn step(&mut self, now: Millis, vm: usize, input: Input) {
        let mut queue = VecDeque::from([(vm, input)]);
        while let Some((vm, input)) = queue.pop_front() {
            for action in self.nodes[vm].step(now, input) {
                match action {
                    Action::Dispatch { token, .. } => {
                        self.dispatched += 1;
                        let answer = Answer {
                            outcome: Outcome::Ran,
                            body: Some(Body::from(vec![0; ANSWER_BYTES])),
                        };
                        queue.push_back((vm, Input::Answered { token, answer }));
                    }
                    Action::Send { to, msg } => {
                        self.messages += 1;
                        self.bytes += if self.measure { packet_size(&msg) } else { 0 };
                        let from = self.names[vm].clone();
                        let to = self.names.iter().position(|n| *n == to).unwrap();
                        queue.push_back((to, Input::Peer { from, msg }));
                    }
                    _ => {}
                }
            }
        }
    }
}

fn packet_size(msg: &Message) -> u64 {
    let packet = Packet::from(Batch {
        domain: "north".parse().unwrap(),
        messages: vec![msg.clone()],
    });
    let mut bytes = Vec::new();
    ciborium::into_writer(&packet, &mut bytes).unwrap();
    bytes.len() as u64
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    number.unwrap_or(0)
}

fn id(now: Millis, number: u64) -> String {
    let high = now.0 >> 16;
    let low = now.0 & 0xffff;
    format!("north~{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn run(requests: u64, measure: bool) -> Site {
    let names: Vec<VmId> = ["vm-1", "vm-2"]
        .iter()
        .map(|n| n.parse().unwrap())
        .collect();
    let limits = Limits::default();
    let new = |vm: &VmId| Claims::new(vm.clone(), "north".parse().unwrap(), limits.clone());
    let mut site = Site {
        nodes: names.iter().map(new).collect(),
        names: names.clone(),
        messages: 0,
        bytes: 0,
        measure,
        dispatched: 0,
    };
    let mut now = Millis(1_700_000_000_000);
    for vm in 0..2 {
        site.step(now, vm, Input::View(View::first(names.clone())));
        let view = ViewNumber(1);
        let until = Millis::MAX;
        site.step(now, vm, Input::Lease { view, until });
    }
    for token in 0..requests {
        now += Millis(1000 / REQUESTS_PER_SECOND);
        let vm = (token % 2) as usize;
        let request = Input::Request {
            id: id(now, token).parse().unwrap(),
            attempt: 1,
            token,
            deadline: now + Millis::from_secs(10),
        };
        site.step(now, vm, request);
        if token % 10 == 0 {
            site.step(now, 0, Input::Tick);
            site.step(now, 1, Input::Tick);
        }
    }
    site
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let at = args.iter().position(|a| a == "--requests");
    let requests = at
        .and_then(|i| args.get(i + 1)?.parse().ok())
        .unwrap_or(200_000);
    let measured = run(2000, true);
    let per = |sum: u64, count: u64| sum as f64 / count as f64;
    println!(
        "messages {:.2} and bytes {:.0} a request (one message a packet, answers of {ANSWER_BYTES} bytes)",
        per(measured.messages, measured.dispatched),
        per(measured.bytes, measured.dispatched),
    );
    let before = resident_kib();
    let start = Instant::now();
    let site = run(requests, false);
    let span = start.elapsed();
    let rows: usize = site.nodes.iter().map(|n| n.record_count()).sum();
    let bodies: usize = site.nodes.iter().map(|n| n.body_bytes()).sum();
    let grown = (resident_kib() - before) * 1024;
    println!(
        "processor {:.0} ns a request, both VMs together",
        span.as_nanos() as f64 / requests as f64
    );
    println!(
        "rows {rows} in both tables, answers {bodies} bytes, resident {grown} bytes, \
         {:.0} bytes a row beside answers",
        (grown as f64 - bodies as f64) / rows as f64
    );
    println!("platform calls a thousand requests: 0 (no action of the machine is one)");
}
