//! Connections that are closed when all together exceed their memory.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::Bytes;
use base::Millis;
use entry::Connections;
use entry::Server;
use obs::Metrics;
use slog::Discard;
use slog::Logger;

/// Limit on the graceful stop of a server.
const STOP_TIMEOUT: Millis = Millis(2_000);

/// Longest wait for a response.
const WAIT: Duration = Duration::from_secs(10);

/// Time in which a client's bytes arrive.
const ARRIVAL: Duration = Duration::from_millis(200);

async fn hang() -> HttpResponse {
    std::future::pending().await
}

/// Starts a server that has memory for one request without a body.
fn start(metrics: &Metrics) -> Server {
    let routes = |app: &mut ServiceConfig| {
        app.route("/ok", web::get().to(HttpResponse::Ok));
        app.route("/hang", web::get().to(hang));
    };
    let log = Logger::root(Discard, slog::o!());
    let connections = Connections::new(Bytes(0), 0, log, metrics);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start_on(&[address], STOP_TIMEOUT, &connections, routes).expect("cannot bind a port")
}

/// A client that has sent `text`.
async fn connect(server: &Server, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).expect("cannot connect");
    stream.set_read_timeout(Some(WAIT)).expect("cannot set it");
    stream.write_all(text.as_bytes()).expect("cannot send");
    actix_rt::time::sleep(ARRIVAL).await;
    stream
}

/// What the server sends until it closes the connection.
async fn read(mut stream: TcpStream) -> String {
    let read = actix_rt::task::spawn_blocking(move || {
        let mut text = String::new();
        match stream.read_to_string(&mut text) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => "open".to_string(),
            // A reset ends the connection like a close.
            _ => text,
        }
    });
    read.await.expect("cannot read")
}

const CALL: &str = "GET /ok HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Failure: a client that did not end its request kept the memory that others needed.
#[actix_rt::test]
async fn a_request_that_does_not_end_makes_room_for_others() {
    let metrics = Metrics::new();
    let server = start(&metrics);
    let stuck = connect(&server, "GET /ok HTTP/1.1\r\nhost: a\r\n").await;
    let text = read(connect(&server, CALL).await).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
    assert_eq!(read(stuck).await, "");
    let text = metrics.text().expect("no metrics");
    assert!(text.contains("connections_closed_total 1"), "{text}");
    assert!(text.contains("connections_bytes 0"), "{text}");
}

/// Guards against a request that the server handles being closed for others, which are refused instead.
#[actix_rt::test]
async fn a_request_that_is_handled_is_not_closed_for_others() {
    let metrics = Metrics::new();
    let server = start(&metrics);
    let handled = connect(&server, "GET /hang HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert_eq!(read(connect(&server, CALL).await).await, "");
    handled.set_nonblocking(true).expect("cannot set the mode");
    assert_eq!(read(handled).await, "open");
    let text = metrics.text().expect("no metrics");
    assert!(text.contains("connections_closed_total 0"), "{text}");
}
