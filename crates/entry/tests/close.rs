//! Requests on open connections while a server closes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::Millis;
use entry::Server;

/// Limit on the graceful stop of a server.
const STOP_TIMEOUT: Millis = Millis(2_000);

/// Time for which a handler blocks the thread of the server.
const BLOCKED: Duration = Duration::from_millis(400);

/// Time in which a client's bytes arrive.
const ARRIVAL: Duration = Duration::from_millis(100);

const GET: &str = "GET /ok HTTP/1.1\r\nhost: a\r\n\r\n";

async fn block() -> HttpResponse {
    thread::sleep(BLOCKED);
    HttpResponse::Ok().finish()
}

async fn hang() -> HttpResponse {
    std::future::pending().await
}

fn start() -> Server {
    let routes = |app: &mut ServiceConfig| {
        app.route("/ok", web::get().to(HttpResponse::Ok));
        app.route("/block", web::get().to(block));
        app.route("/hang", web::get().to(hang));
        app.route("/echo", web::post().to(|body: Bytes| async { body }));
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start(address, STOP_TIMEOUT, routes).expect("cannot bind a port")
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("cannot connect");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("cannot set it");
    stream
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("cannot send");
}

/// Reads until the end of the connection on a thread of its own.
fn read_all(mut stream: TcpStream) -> JoinHandle<String> {
    thread::spawn(move || {
        let mut text = String::new();
        // A reset ends the connection like a close; what came before counts.
        let _ = stream.read_to_string(&mut text);
        text
    })
}

/// Sends a request on a new connection and reads its response, which has no body. The connection stays
/// open.
async fn connect_and_call(server: &Server) -> TcpStream {
    let mut stream = connect(server);
    let call = move || {
        send(&mut stream, GET);
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("no response");
            text.push(byte[0]);
        }
        stream
    };
    let called = actix_rt::task::spawn_blocking(call).await;
    called.expect("no response")
}

async fn read(reader: JoinHandle<String>) -> String {
    let joined = actix_rt::task::spawn_blocking(|| reader.join()).await;
    joined.expect("cannot join").expect("the reader panicked")
}

/// Failure: a server that closed read requests that had arrived on idle connections and dropped them.
#[actix_rt::test]
async fn a_request_that_arrived_before_the_close_is_answered() {
    let server = start();
    let mut idle = connect_and_call(&server).await;
    let mut busy = connect(&server);
    send(&mut busy, "GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    actix_rt::time::sleep(ARRIVAL).await;
    send(&mut idle, GET);
    let reader = read_all(idle);
    actix_rt::time::sleep(ARRIVAL).await;
    let unanswered = server.close().await;
    let text = read(reader).await;
    assert!(text.starts_with("HTTP/1.1 200"), "no response: {text:?}");
    assert_eq!(unanswered, 0);
}

#[actix_rt::test]
async fn idle_connections_end_at_once_when_the_server_closes() {
    let server = start();
    let idle = connect_and_call(&server).await;
    let reader = read_all(idle);
    let unused = read_all(connect(&server));
    actix_rt::time::sleep(ARRIVAL).await;
    let unanswered = actix_rt::time::timeout(BLOCKED, server.close()).await;
    assert_eq!(unanswered, Ok(0));
    assert_eq!(read(reader).await, "");
    assert_eq!(read(unused).await, "");
}

/// The rest of a request that has begun is read, also after an interim response.
#[yare::parameterized(
    plain = { "" },
    expected = { "expect: 100-continue\r\n" },
)]
#[test_macro(actix_rt::test)]
async fn a_request_that_arrives_across_the_close_is_answered(header: &str) {
    let server = start();
    let mut slow = connect_and_call(&server).await;
    let head = format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n{header}\r\n");
    send(&mut slow, &head);
    let mut rest = slow.try_clone().expect("cannot clone");
    let reader = read_all(slow);
    actix_rt::time::sleep(ARRIVAL).await;
    let sender = thread::spawn(move || {
        thread::sleep(BLOCKED);
        send(&mut rest, "body");
    });
    assert_eq!(server.close().await, 0);
    sender.join().expect("cannot send");
    let text = read(reader).await;
    assert!(
        text.contains("HTTP/1.1 200") && text.ends_with("body"),
        "{text:?}"
    );
}

#[actix_rt::test]
async fn a_request_cut_off_at_the_stop_timeout_is_counted() {
    let server = start();
    let mut held = connect(&server);
    send(&mut held, "GET /hang HTTP/1.1\r\nhost: a\r\n\r\n");
    let reader = read_all(held);
    actix_rt::time::sleep(ARRIVAL).await;
    assert_eq!(server.close().await, 1);
    assert_eq!(read(reader).await, "");
}

/// Failure: a client with a request in progress at the begin of the close was answered on an open
/// connection, went on to send requests there, and the last one had no response.
#[actix_rt::test]
async fn the_answer_to_a_request_in_progress_closes_its_connection() {
    let server = start();
    let mut stream = connect(&server);
    send(&mut stream, "GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    let reader = read_all(stream);
    actix_rt::time::sleep(ARRIVAL).await;
    let begun = Instant::now();
    server.close().await;
    let text = read(reader).await;
    assert!(text.starts_with("HTTP/1.1 200"), "no response: {text:?}");
    assert!(text.contains("connection: close"), "left open: {text:?}");
    assert!(begun.elapsed() < STOP_TIMEOUT.duration(), "closed late");
}
