//! Helpers for the tests of the links.
#![allow(dead_code, missing_docs)]

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Clock;
use base::Millis;
use base::VmId;
use bytes::Bytes;
use link::LinkConfig;
use link::LinkEvent;
use link::Links;
use link::Topic;
use obs::Metrics;
use tokio::time::sleep;
use tokio::time::timeout;

pub const TOPIC: Topic = Topic(7);

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

pub fn config(name: &str) -> LinkConfig {
    LinkConfig {
        idle_timeout: Millis(300),
        keepalive_interval: Millis(50),
        connect_timeout: Millis(300),
        dial_delay: Millis(30),
        max_backoff: Millis(100),
        ..LinkConfig::new(vm(name), "tvm-north".parse().unwrap(), "site", loopback())
    }
}

/// The links of one daemon, recording every event as text. A request is answered with its own
/// body; one with an empty body gets no reply.
pub struct Node {
    pub links: Links,
    pub events: Rc<RefCell<Vec<String>>>,
    pub metrics: Metrics,
}

impl Node {
    pub fn start(config: LinkConfig) -> Node {
        let events = Rc::new(RefCell::new(Vec::new()));
        let recorded = events.clone();
        let metrics = Metrics::new();
        let on_event = move |event| {
            let text = match event {
                LinkEvent::Down(vm) => format!("down {vm}"),
                LinkEvent::Message { from, body, .. } => {
                    format!("{from}: {}", String::from_utf8_lossy(&body))
                }
                LinkEvent::Request {
                    from, body, reply, ..
                } => {
                    let text = format!("{from}? {}", String::from_utf8_lossy(&body));
                    if !body.is_empty() {
                        reply.send(body).unwrap();
                    }
                    text
                }
                LinkEvent::Up(vm) => format!("up {vm}"),
            };
            recorded.borrow_mut().push(text);
        };
        let links = Links::start(config, obs::discard(), &metrics, Clock::System, on_event);
        Node {
            links: links.unwrap(),
            events,
            metrics,
        }
    }

    pub fn dial(&self, name: &str, addr: SocketAddr) {
        self.links.set_peers(vec![(vm(name), addr)]);
    }

    pub fn count(&self, event: &str) -> usize {
        self.events.borrow().iter().filter(|e| *e == event).count()
    }

    pub async fn wait_for(&self, event: &str, times: usize) {
        until(|| self.count(event) >= times).await;
    }

    pub fn send_text(&self, name: &str, text: &'static str) -> Result<(), link::SendError> {
        let body = Bytes::from_static(text.as_bytes());
        self.links.send(&vm(name), TOPIC, body)
    }

    /// Sends a text repeatedly until the other node received it, over any number of links.
    pub async fn send_until_received(&self, other: &Node, text: &'static str) {
        let name = other.links.vm().to_string();
        let event = format!("{}: {text}", self.links.vm());
        while other.count(&event) == 0 {
            let _ = self.send_text(&name, text);
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Runs a test on an actix system and fails it after `TEST_TIMEOUT`.
pub fn run<F: Future<Output = ()>>(test: F) {
    let bounded = async { timeout(TEST_TIMEOUT, test).await.expect("test timed out") };
    actix_rt::System::new().block_on(bounded);
}

/// Waits until a condition holds. `TEST_TIMEOUT` of `run` limits the wait.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(Duration::from_millis(2)).await;
    }
}
