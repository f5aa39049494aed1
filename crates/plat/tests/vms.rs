//! Client of the list of VMs, against a simulated platform that injects faults.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use base::Clock;
use base::Millis;
use fakes::fault::Fault;
use fakes::platform::Platform;
use fakes::platform_vms::VmRow;
use plat::VmList;
use plat::VmState;
use plat::Vms;
use plat::VmsConfig;
use yare::parameterized;

/// A worker, an entry VM and a row that cannot be parsed.
fn rows() -> Vec<VmRow> {
    let worker = VmRow {
        id: "w-1".to_string(),
        role: "worker".to_string(),
        domain: "tvm-north".to_string(),
        rack: "r-1".to_string(),
        address: "127.0.0.1:7001".to_string(),
        state: "leaving".to_string(),
        accels: 8,
        service: "recovery-ledger".to_string(),
        ..VmRow::default()
    };
    let entry = VmRow {
        id: "e-1".to_string(),
        role: "entry".to_string(),
        peers: Some("127.0.0.1:7003".to_string()),
        state: "live".to_string(),
        ..worker.clone()
    };
    let malformed = VmRow {
        address: "somewhere".to_string(),
        ..worker.clone()
    };
    vec![worker, entry, malformed]
}

fn start(platform: &Platform) -> Vms {
    start_at(platform.addr())
}

fn start_at(endpoint: SocketAddr) -> Vms {
    let config = VmsConfig {
        endpoints: vec![endpoint],
        poll_interval: Millis(20),
        read_timeout: Millis(100),
        connect_timeout: Millis(50),
        seed: 3,
    };
    Vms::start(config, obs::discard(), &obs::Metrics::new(), Clock::System)
}

/// Waits for a list with workers.
async fn non_empty_list(vms: &mut Vms) -> Rc<VmList> {
    loop {
        vms.changed().await;
        let list = vms.list().unwrap();
        if !list.workers.is_empty() {
            return list;
        }
    }
}

#[test]
fn parses_rows_and_skips_malformed_ones() {
    common::run(async {
        let platform = common::platform();
        platform.set_lag(Duration::from_millis(50));
        platform.set_vms(rows());
        let mut vms = start(&platform);
        let list = non_empty_list(&mut vms).await;
        assert_eq!(list.workers[0].id.as_str(), "w-1");
        assert_eq!(list.workers[0].state, VmState::Leaving);
        assert_eq!(list.entry_vms[0].peer_addr.port(), 7003);
        assert_eq!(list.skipped.len(), 1);
        vms.close();
        platform.close();
    });
}

#[parameterized(
    down = { Fault::Refuse },
    garbled = { Fault::Garble },
    hang = { Fault::Hang },
    refused = { Fault::Reject },
    truncated = { Fault::Truncate },
)]
fn keeps_last_list_during_faults(fault: Fault) {
    common::run(async move {
        let platform = common::platform();
        platform.set_vms(rows());
        let mut vms = start(&platform);
        non_empty_list(&mut vms).await;
        platform.set_fault(fault);
        let before = vms.list().unwrap();
        common::wait_until(|| before.age(Clock::System.now()) > Millis(300)).await;
        let kept = vms.list().unwrap();
        assert!(kept.age(Clock::System.now()) > Millis(200));
        assert_eq!(kept.workers, before.workers);
        platform.set_fault(Fault::Up);
        common::wait_until(|| vms.list().unwrap().read_at > kept.read_at).await;
        vms.close();
        platform.close();
    });
}

/// Answers each call on a port of its own with this body, until the first connection fails.
fn serve(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let len = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(body.as_bytes());
        }
    });
    addr
}

/// Failure: a row with a value of another type cost the whole list, so that no worker was found.
#[parameterized(
    null = { "null" },
    number_text = { r#"{"id":"w-2","role":"worker","slots":"8"}"# },
    number_large = { r#"{"id":"w-2","role":"worker","slots":18446744073709551616}"# },
    number_infinite = { r#"{"id":"w-2","role":"worker","memory":1e999}"# },
    nested = { &format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)) },
    twice = { r#"{"id":"w-2","id":"w-3","role":"worker"}"# },
)]
fn an_odd_row_costs_no_other(odd: &str) {
    let sound = serde_json::to_string(&rows()[0]).expect("a row");
    let body = format!("[{odd},{sound},{odd}]");
    common::run(async move {
        let mut vms = start_at(serve(body));
        let list = tokio::time::timeout(Duration::from_secs(5), non_empty_list(&mut vms)).await;
        let list = list.expect("the list was refused");
        assert_eq!((list.workers.len(), list.skipped.len()), (1, 2));
        assert!(list.skipped.iter().all(|why| why.len() < 400));
        vms.close();
    });
}
