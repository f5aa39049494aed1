//! Runs the fake platform as a process: `cargo run --example platform -- 127.0.0.1:2379`.
//!
//! Faults are set at the next higher port, for example
//! `curl -d '{"fault":"lose","kind":"txn","calls":1}' -H 'content-type: application/json'
//! http://127.0.0.1:2380/fault`.

use std::env;
use std::net::SocketAddr;

use fakes::platform::Platform;

const DEFAULT_ADDR: &str = "127.0.0.1:2379";

fn main() {
    let addr = env::args().nth(1).unwrap_or(DEFAULT_ADDR.to_string());
    let addr: SocketAddr = addr
        .parse()
        .expect("the address is an IP address and a port");
    let platform = Platform::start(addr);
    println!(
        "platform {} control {}",
        platform.addr(),
        platform.control()
    );
    platform.wait();
}
