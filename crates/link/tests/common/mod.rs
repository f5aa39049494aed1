//! Helpers of the tests of the links.
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

const BOUND: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

pub fn config(name: &str) -> LinkConfig {
    LinkConfig {
        silence: Millis(300),
        beat: Millis(50),
        connect: Millis(300),
        patience: Millis(30),
        pause: Millis(100),
        ..LinkConfig::new(vm(name), "tvm-north".parse().unwrap(), "site", loopback())
    }
}

/// A daemon's links with all that they told. Requests are answered with their content, unless
/// it is empty.
pub struct Node {
    pub links: Links,
    pub events: Rc<RefCell<Vec<String>>>,
    pub metrics: Metrics,
}

impl Node {
    pub fn start(config: LinkConfig) -> Node {
        let events = Rc::new(RefCell::new(Vec::new()));
        let told = events.clone();
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
            told.borrow_mut().push(text);
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

    pub async fn told(&self, event: &str, times: usize) {
        until(|| self.count(event) >= times).await;
    }

    pub fn say(&self, name: &str, text: &'static str) -> Result<(), link::SendError> {
        let body = Bytes::from_static(text.as_bytes());
        self.links.send(&vm(name), TOPIC, body)
    }

    /// Says a text until the other node has it, over as many links as it takes.
    pub async fn reach(&self, other: &Node, text: &'static str) {
        let name = other.links.vm().to_string();
        let event = format!("{}: {text}", self.links.vm());
        while other.count(&event) == 0 {
            let _ = self.say(&name, text);
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Runs a test on an arbiter, within a bound.
pub fn run<F: Future<Output = ()>>(test: F) {
    let bounded = async { timeout(BOUND, test).await.expect("the test ends in time") };
    actix_rt::System::new().block_on(bounded);
}

/// Waits until a condition holds; the bound of `run` limits the wait.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(Duration::from_millis(2)).await;
    }
}
