//! Runs one fake worker as a process:
//! `cargo run -p fakes --example worker -- w1 127.0.0.1:9001`.
//!
//! Daemons find it in the platform's list of VMs, which is set with `POST /vms` at the control port
//! of the fake platform.

use std::env;
use std::net::SocketAddr;

use base::Millis;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;

/// Number of requests served at the same time.
const SLOTS: usize = 8;

/// Time to serve one request.
const SERVICE_TIME: Millis = Millis(2);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let [id, address] = &args[..] else {
        panic!("give an id and an address, such as w1 127.0.0.1:9001");
    };
    let address: SocketAddr = address
        .parse()
        .expect("the address is an IP address and a port");
    let worker = Worker::start(WorkerConfig {
        id: id.parse().expect("the id is an identifier"),
        address,
        slots: SLOTS,
        service_time: SERVICE_TIME,
    });
    let worker = worker.expect("the address is free");
    println!("worker {id} at {}", worker.address());
    loop {
        std::thread::park();
    }
}
