//! Links between daemons, with and without network faults and misbehaving peers.

mod common;

use base::Millis;
use bytes::Bytes;
use common::config;
use common::run;
use common::until;
use common::vm;
use common::Node;
use common::TOPIC;
use fakes::fault_relay::Relay;
use link::CallError;
use link::LinkConfig;
use link::SendError;
use yare::parameterized;

const REPLY_TIMEOUT: Millis = Millis(5000);

async fn pair() -> (Node, Node) {
    let a = Node::start(config("a"));
    let b = Node::start(config("b"));
    a.dial("b", b.links.addr());
    a.wait_for("up b", 1).await;
    b.wait_for("up a", 1).await;
    (a, b)
}

async fn close(a: Node, b: Node) {
    a.links.close().await;
    b.links.close().await;
}

#[test]
fn messages_pass_both_ways_in_order() {
    run(async {
        let (a, b) = pair().await;
        for text in ["1", "2", "3"] {
            a.send_text("b", text).unwrap();
            b.send_text("a", text).unwrap();
        }
        a.wait_for("b: 3", 1).await;
        b.wait_for("a: 3", 1).await;
        assert_eq!(a.events.borrow()[1..], ["b: 1", "b: 2", "b: 3"]);
        assert_eq!(b.events.borrow()[1..], ["a: 1", "a: 2", "a: 3"]);
        assert!(a.links.peer(&vm("b")).unwrap().heard > Millis::ZERO);
        close(a, b).await;
    });
}

#[test]
fn a_request_gets_its_reply() {
    run(async {
        let (a, b) = pair().await;
        let to = vm("b");
        let first = a
            .links
            .request(&to, TOPIC, Bytes::from_static(b"x"), REPLY_TIMEOUT);
        let second = a
            .links
            .request(&to, TOPIC, Bytes::from_static(b"y"), REPLY_TIMEOUT);
        let (first, second) = tokio::join!(first, second);
        assert_eq!(first, Ok(Bytes::from_static(b"x")));
        assert_eq!(second, Ok(Bytes::from_static(b"y")));
        let none = a
            .links
            .request(&to, TOPIC, Bytes::new(), REPLY_TIMEOUT)
            .await;
        assert_eq!(none, Err(CallError::NoReply));
        let down = a
            .links
            .request(&vm("c"), TOPIC, Bytes::new(), REPLY_TIMEOUT)
            .await;
        assert_eq!(down, Err(CallError::NotSent(SendError::Down)));
        close(a, b).await;
    });
}

#[parameterized(
    cut = { true, CallError::Lost("the link ended") },
    silent = { false, CallError::Lost("no reply in time") },
)]
fn a_lost_reply_is_reported(cut: bool, expected: CallError) {
    run(async move {
        let (a, b) = (Node::start(config("a")), Node::start(config("b")));
        let relay = Relay::start(b.links.addr());
        a.dial("b", relay.addr());
        a.wait_for("up b", 1).await;
        relay.blackhole();
        let to = vm("b");
        let reply = a
            .links
            .request(&to, TOPIC, Bytes::from_static(b"x"), Millis(100));
        let fault = async {
            if cut {
                relay.disconnect();
            }
        };
        let (reply, ()) = tokio::join!(reply, fault);
        assert_eq!(reply, Err(expected));
        relay.close();
        close(a, b).await;
    });
}

#[parameterized(cut = { true }, silent = { false })]
fn a_broken_link_is_replaced(cut: bool) {
    run(async move {
        let (a, b) = (Node::start(config("a")), Node::start(config("b")));
        let relay = Relay::start(b.links.addr());
        a.dial("b", relay.addr());
        a.send_until_received(&b, "before").await;
        if cut {
            relay.disconnect();
        } else {
            relay.blackhole();
        }
        a.wait_for("down b", 1).await;
        b.wait_for("down a", 1).await;
        a.send_until_received(&b, "after").await;
        assert!(relay.accepted() >= 2);
        relay.close();
        close(a, b).await;
    });
}

/// Only one side notices that the link is broken and dials again. The other side, which still holds
/// the old link, must accept the new one.
#[test]
fn a_new_link_is_accepted_from_a_peer_that_lost_the_old_one() {
    run(async {
        let long_timeout = LinkConfig {
            idle_timeout: Millis::from_secs(60),
            ..config("a")
        };
        let (a, b) = (Node::start(long_timeout), Node::start(config("b")));
        let relay = Relay::start(b.links.addr());
        a.dial("b", relay.addr());
        a.send_until_received(&b, "before").await;
        b.dial("a", a.links.addr());
        relay.blackhole();
        b.wait_for("down a", 1).await;
        b.send_until_received(&a, "after").await;
        relay.close();
        close(a, b).await;
    });
}

#[test]
fn one_link_remains_when_both_dial_at_once() {
    run(async {
        for _ in 0..20 {
            let at_once = |name| LinkConfig {
                dial_delay: Millis::ZERO,
                ..config(name)
            };
            let (a, b) = (Node::start(at_once("a")), Node::start(at_once("b")));
            a.dial("b", b.links.addr());
            b.dial("a", a.links.addr());
            until(|| {
                let of_a = a.links.peer(&vm("b")).and_then(|p| p.link);
                let of_b = b.links.peer(&vm("a")).and_then(|p| p.link);
                of_a.is_some() && of_a == of_b
            })
            .await;
            a.send_until_received(&b, "hello").await;
            b.send_until_received(&a, "hello").await;
            close(a, b).await;
        }
    });
}

#[test]
fn a_full_queue_refuses_messages() {
    run(async {
        let small = LinkConfig {
            queue_limit: 10_000,
            frame_limit: 4_000,
            ..config("a")
        };
        let (a, b) = (Node::start(small), Node::start(config("b")));
        a.dial("b", b.links.addr());
        a.wait_for("up b", 1).await;
        let body = Bytes::from(vec![b'x'; 1_000]);
        let sent = (0..100)
            .map(|_| a.links.send(&vm("b"), TOPIC, body.clone()))
            .filter(Result::is_ok)
            .count();
        assert_eq!(sent, 9);
        let full = a.links.send(&vm("b"), TOPIC, body.clone());
        assert_eq!(full, Err(SendError::Full));
        let large = a.links.send(&vm("b"), TOPIC, Bytes::from(vec![0; 4_000]));
        assert_eq!(large, Err(SendError::TooLarge));
        until(|| b.events.borrow().len() == 10).await;
        assert_eq!(a.links.send(&vm("b"), TOPIC, body), Ok(()));
        close(a, b).await;
    });
}

#[test]
fn close_sends_queued_messages() {
    run(async {
        let (a, b) = pair().await;
        for _ in 0..2_000 {
            a.send_text("b", "bulk").unwrap();
            b.send_text("a", "bulk").unwrap();
        }
        a.send_text("b", "last").unwrap();
        let closed = a.links.clone();
        a.links.close().await;
        b.wait_for("a: last", 1).await;
        assert_eq!(b.count("a: bulk"), 2_000);
        b.wait_for("down a", 1).await;
        assert_eq!(
            closed.send(&vm("b"), TOPIC, Bytes::new()),
            Err(SendError::Closed)
        );
        b.links.close().await;
    });
}

#[test]
fn a_removed_peer_is_not_dialed_again() {
    run(async {
        let (a, b) = (Node::start(config("a")), Node::start(config("b")));
        let relay = Relay::start(b.links.addr());
        a.dial("b", relay.addr());
        a.wait_for("up b", 1).await;
        a.links.set_peers(Vec::new());
        a.send_until_received(&b, "still up").await;
        relay.disconnect();
        a.wait_for("down b", 1).await;
        until(|| a.links.peers().is_empty()).await;
        assert_eq!(relay.accepted(), 1);
        relay.close();
        close(a, b).await;
    });
}

#[test]
fn another_vm_at_the_address_is_refused() {
    run(async {
        let (a, b) = (Node::start(config("a")), Node::start(config("b")));
        a.dial("c", b.links.addr());
        let ended = a.metrics.clone();
        until(|| ended.text().unwrap().contains("why=\"wrong-peer\"")).await;
        assert_eq!(a.count("up c") + a.count("up b"), 0);
        close(a, b).await;
    });
}
