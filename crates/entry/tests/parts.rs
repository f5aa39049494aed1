//! Requests that follow each other on a connection, and the limits on what is read of them.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::Millis;
use entry::Server;
use yare::parameterized;

/// Limit on the graceful stop of a server.
const STOP_TIMEOUT: Millis = Millis(2_000);

/// Longest wait for a response.
const WAIT: Duration = Duration::from_secs(10);

/// A body of several pieces.
const BODY_BYTES: usize = 100_000;

/// Size of a response, and number of requests whose responses together exceed what the kernel buffers.
const PAGE_BYTES: usize = 100_000;
const PAGES: usize = 200;

const LAST: &str = "GET /ok HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

async fn echo(body: Bytes) -> Bytes {
    body
}

async fn page() -> HttpResponse {
    HttpResponse::Ok().body(vec![b'p'; PAGE_BYTES])
}

fn start() -> Server {
    let routes = |app: &mut ServiceConfig| {
        app.app_data(web::PayloadConfig::new(BODY_BYTES));
        app.route("/ok", web::get().to(HttpResponse::Ok));
        app.route("/page", web::get().to(page));
        app.route("/echo", web::post().to(echo));
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start(address, STOP_TIMEOUT, routes).expect("cannot bind a port")
}

/// Sends `text` in pieces of `piece` bytes and reads to the end of the connection.
async fn exchange(server: &Server, text: String, piece: usize) -> String {
    let address = server.address();
    let call = move || {
        let mut stream = TcpStream::connect(address).expect("cannot connect");
        stream.set_read_timeout(Some(WAIT)).expect("cannot set it");
        stream.set_nodelay(true).expect("cannot set it");
        for part in text.as_bytes().chunks(piece) {
            // The server may have closed the connection with its response.
            if stream.write_all(part).is_err() {
                break;
            }
        }
        let mut text = Vec::new();
        // A reset ends the connection like a close; what came before counts.
        let _ = stream.read_to_end(&mut text);
        String::from_utf8(text).expect("no text")
    };
    let called = actix_rt::task::spawn_blocking(call).await;
    called.expect("cannot call")
}

/// Each request that follows another at once has its response, however they are cut.
#[parameterized(
    whole = { usize::MAX },
    pieces = { 1_000 },
    bytes = { 1 },
)]
#[test_macro(actix_rt::test)]
async fn requests_that_follow_each_other_are_answered(piece: usize) {
    let server = start();
    let head = "POST /echo HTTP/1.1\r\nhost: a\r\n";
    let parts = [
        "\r\nGET /ok HTTP/1.1\r\nhost: a\r\n\r\n".to_string(),
        format!("{head}content-length: 3\r\n\r\none"),
        format!("{head}content-length: 0\r\n\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\n3;a=b\r\ntwo\r\n0\r\n\r\n"),
        format!(
            "{head}transfer-encoding: chunked\r\n\r\n0A\r\n0\r\n\r\nthree\r\n0\r\nx: y\r\n\r\n"
        ),
        format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}expect: 100-continue\r\ncontent-length: 4\r\n\r\nfour"),
        LAST.to_string(),
    ];
    let text = exchange(&server, parts.concat(), piece).await;
    assert_eq!(text.matches("HTTP/1.1 200").count(), parts.len(), "{text}");
    let places = ["one", "two", "0\r\n\r\nthree", "four"].map(|body| text.find(body));
    assert!(places.iter().all(Option::is_some), "{text}");
    assert!(places.is_sorted(), "{text}");
}

/// A body of the largest size is received whole, in one chunk, in one thousand, or without any.
#[parameterized(
    sized = { None },
    one_chunk = { Some(BODY_BYTES) },
    chunks = { Some(100) },
)]
#[test_macro(actix_rt::test)]
async fn a_body_of_several_pieces_is_received_whole(chunk: Option<usize>) {
    let server = start();
    let body: String = (0..BODY_BYTES)
        .map(|n| char::from(b'a' + (n % 23) as u8))
        .collect();
    let head = "POST /echo HTTP/1.1\r\nhost: a\r\n";
    let request = match chunk {
        None => format!("{head}content-length: {BODY_BYTES}\r\n\r\n{body}"),
        Some(size) => {
            let chunks = body.as_bytes().chunks(size).map(|c| {
                let data = String::from_utf8_lossy(c);
                format!("{:x}\r\n{data}\r\n", c.len())
            });
            let chunks: String = chunks.collect();
            format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
        }
    };
    let text = exchange(&server, request + LAST, usize::MAX).await;
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
    assert!(text.contains(&body));
}

/// Responses that the client takes late are sent whole.
#[actix_rt::test]
async fn responses_that_are_taken_late_are_sent_whole() {
    let server = start();
    let request = "GET /page HTTP/1.1\r\nhost: a\r\n\r\n".repeat(PAGES);
    let text = exchange(&server, request + LAST, usize::MAX).await;
    assert_eq!(text.matches("HTTP/1.1 200").count(), PAGES + 1);
    assert_eq!(text.matches('p').count() / PAGE_BYTES, PAGES);
}

/// Failure: a body whose handler did not read it, and a head without an end, were buffered.
#[parameterized(
    long_head = { format!("GET /ok HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(20_000)), 431 },
    too_large = { format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n{}", "x".repeat(500_000)), 413 },
    chunks_too_large = { format!("POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nf0000\r\n{}", "x".repeat(500_000)), 413 },
    unread = { format!("GET /ok HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n{}", "x".repeat(500_000)), 200 },
)]
#[test_macro(actix_rt::test)]
async fn a_request_beyond_the_limits_has_one_response(request: String, status: u16) {
    let server = start();
    let text = exchange(&server, request, usize::MAX).await;
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text:?}");
    assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text:?}");
}
