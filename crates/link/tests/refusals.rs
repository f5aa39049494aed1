//! Peers and messages that the accepting side refuses, and the close codes that it sends.

mod common;

use common::config;
use common::run;
use common::vm;
use common::Node;
use futures_util::SinkExt;
use futures_util::StreamExt;
use link::encode;
use link::Hello;
use link::LinkConfig;
use link::LinkId;
use link::Packet;
use link::Secret;
use link::Topic;
use link::PROTOCOL_VERSION;
use tokio::net::TcpStream;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;
use yare::parameterized;

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        site: "site".to_string(),
        secret: Some(Secret("s3".to_string())),
        vm: vm("a"),
        domain: "tvm-north".parse().unwrap(),
        number: 1,
        lost: None,
    }
}

fn node() -> Node {
    Node::start(LinkConfig {
        secret: Some(Secret("s3".to_string())),
        ..config("b")
    })
}

async fn connect(node: &Node) -> WebSocketStream<TcpStream> {
    let addr = node.links.addr();
    let stream = TcpStream::connect(addr).await.unwrap();
    client_async(format!("ws://{addr}/"), stream)
        .await
        .unwrap()
        .0
}

/// Reads until the close frame and returns its code and reason.
async fn read_close(socket: &mut WebSocketStream<TcpStream>) -> (u16, String) {
    loop {
        match socket.next().await {
            Some(Ok(Message::Close(Some(frame)))) => {
                return (frame.code.into(), frame.reason.to_string());
            }
            Some(Ok(_)) => (),
            other => panic!("{other:?}"),
        }
    }
}

#[parameterized(
    no_secret = { Hello { secret: None, ..hello() }, 4001, "the peer's secret differs" },
    own_id = { Hello { vm: vm("b"), ..hello() }, 4004, "VM b answers at the peer's address" },
    secret = { Hello { secret: Some(Secret("s4".to_string())), ..hello() }, 4001, "the peer's secret differs" },
    site = { Hello { site: "other".to_string(), ..hello() }, 4001, "the peer's site differs" },
    version = { Hello { version: 99, ..hello() }, 4002, "the peer speaks version 99" },
)]
fn foreign_peers_are_refused(hello: Hello, code: u16, reason: &'static str) {
    run(async move {
        let node = node();
        let mut socket = connect(&node).await;
        let data = hello.encode().unwrap();
        socket.send(Message::Binary(data)).await.unwrap();
        assert_eq!(read_close(&mut socket).await, (code, reason.to_string()));
        assert_eq!(node.events.borrow().len(), 0);
        node.links.close().await;
    });
}

#[parameterized(
    empty = { Message::Binary(Vec::new().into()), 1007 },
    garbage = { Message::Binary(vec![0xff; 10].into()), 1007 },
    oversized = { Message::Binary(vec![0; 3_000_000].into()), 1009 },
    no_hello = { Message::Binary(encode(&[packet()]).unwrap()), 1007 },
    text = { Message::Text("hello".into()), 1007 },
)]
fn invalid_first_messages_close_the_link(message: Message, code: u16) {
    run(async move {
        let node = node();
        let mut socket = connect(&node).await;
        let _ = socket.send(message).await;
        assert_eq!(read_close(&mut socket).await.0, code);
        assert_eq!(node.events.borrow().len(), 0);
        node.links.close().await;
    });
}

#[parameterized(
    empty = { Message::Binary(Vec::new().into()), 1007 },
    garbage = { Message::Binary(vec![0xff; 10].into()), 1007 },
    oversized = { Message::Binary(vec![0; 3_000_000].into()), 1009 },
    text = { Message::Text("hello".into()), 1007 },
    trailing = { Message::Binary([&encode(&[packet()]).unwrap()[..], &[0]].concat().into()), 1007 },
)]
fn invalid_later_messages_close_the_link(message: Message, code: u16) {
    run(async move {
        let node = node();
        let mut socket = connect(&node).await;
        let data = hello().encode().unwrap();
        socket.send(Message::Binary(data)).await.unwrap();
        node.wait_for("up a", 1).await;
        let good = encode(&[packet()]).unwrap();
        socket.send(Message::Binary(good)).await.unwrap();
        node.wait_for("a: x", 1).await;
        let _ = socket.send(message).await;
        assert_eq!(read_close(&mut socket).await.0, code);
        node.wait_for("down a", 1).await;
        node.links.close().await;
    });
}

fn packet() -> Packet {
    Packet::Message {
        topic: Topic(1),
        body: "x".into(),
    }
}

#[test]
fn a_peer_that_sends_nothing_is_disconnected() {
    run(async {
        let node = node();
        let stream = TcpStream::connect(node.links.addr()).await.unwrap();
        let metrics = node.metrics.clone();
        common::until(|| metrics.text().unwrap().contains("why=\"silent\"")).await;
        drop(stream);
        node.links.close().await;
    });
}

#[test]
fn a_second_link_with_a_lower_number_is_refused() {
    run(async {
        let node = node();
        let mut first = connect(&node).await;
        let newer = Hello {
            number: 5,
            ..hello()
        };
        let data = newer.encode().unwrap();
        first.send(Message::Binary(data)).await.unwrap();
        node.wait_for("up a", 1).await;
        let mut second = connect(&node).await;
        let data = hello().encode().unwrap();
        second.send(Message::Binary(data)).await.unwrap();
        assert_eq!(read_close(&mut second).await.0, 4003);
        let link = node.links.peer(&vm("a")).unwrap().link;
        let kept = LinkId {
            dialer: vm("a"),
            number: 5,
        };
        assert_eq!(link, Some(kept));
        node.links.close().await;
    });
}

#[test]
fn messages_of_a_replaced_link_are_dropped() {
    run(async {
        let node = node();
        let mut old = connect(&node).await;
        let first = hello().encode().unwrap();
        old.send(Message::Binary(first)).await.unwrap();
        node.wait_for("up a", 1).await;
        for number in 2..60 {
            let mut new = connect(&node).await;
            let next = Hello { number, ..hello() };
            let data = next.encode().unwrap();
            new.send(Message::Binary(data)).await.unwrap();
            let late = encode(&[packet()]).unwrap();
            old.send(Message::Binary(late)).await.unwrap();
            let _ = read_close(&mut old).await;
            node.wait_for("up a", number as usize).await;
            assert_eq!(node.events.borrow().last().unwrap(), "up a");
            old = new;
        }
        node.links.close().await;
    });
}
