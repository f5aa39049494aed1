//! Bad input on the three ports of a real daemon: a clear answer each, and it serves on.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use awc::Client;
use serde_json::json;
use serde_json::Value;
use work::request;
use yare::parameterized;

use support::callers;
use support::callers::add_org;
use support::callers::change;
use support::callers::get_json;
use support::callers::job;
use support::callers::phase;
use support::callers::post;
use support::callers::send_as;
use support::callers::Request;
use support::eventually;
use support::Site;
use support::SOON;

/// Largest body that the daemon takes, in bytes.
const MAX_BODY: usize = 1 << 20;

/// A call as bytes: method, path, headers and body.
struct Raw {
    get: bool,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

/// Id and organisation of a request.
const NAMED: &[(&str, &str)] = &[(request::ID, "bad-1"), (request::ORG, "board")];

const BAD_HEADERS: &[(&str, &str)] = &[
    (request::ID, "not an id"),
    (request::ORG, "board"),
    (request::DEADLINE, "soon"),
    (request::IDEMPOTENT, "maybe"),
];

const LONG_DEADLINE: &[(&str, &str)] = &[
    (request::ID, "bad-1"),
    (request::ORG, "board"),
    (request::DEADLINE, "300001"),
];

const JSON: &[(&str, &str)] = &[("content-type", "application/json")];

fn read(path: &'static str) -> Raw {
    Raw {
        get: true,
        path,
        headers: &[],
        body: String::new(),
    }
}

fn write(path: &'static str, headers: &'static [(&str, &str)], body: &str) -> Raw {
    Raw {
        get: false,
        path,
        headers,
        body: body.to_string(),
    }
}

fn large(path: &'static str, headers: &'static [(&str, &str)]) -> Raw {
    write(path, headers, &" ".repeat(MAX_BODY + 1))
}

/// Status, the outcome in the header, and the body of the answer.
fn call(at: SocketAddr, raw: Raw) -> (u16, String, Value) {
    actix_rt::System::new().block_on(async {
        let url = format!("http://{at}{}", raw.path);
        let client = Client::builder().timeout(SOON).finish();
        let mut call = match raw.get {
            true => client.get(url),
            false => client.post(url),
        };
        for header in raw.headers {
            call = call.append_header(*header);
        }
        let mut answer = call.send_body(raw.body).await.expect("an answer");
        let outcome = answer.headers().get(request::OUTCOME).cloned();
        let outcome = outcome.map(|o| o.to_str().unwrap_or_default().to_string());
        let body = answer.body().await.expect("a whole answer");
        let body = serde_json::from_slice(&body).unwrap_or_default();
        (answer.status().as_u16(), outcome.unwrap_or_default(), body)
    })
}

/// A site of one daemon and one worker, with a work area of its own.
fn site() -> Site {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let num = NEXT.fetch_add(1, Ordering::Relaxed);
    Site::start(&format!("interface-{num}"), 1, 1, 1)
}

/// A request still runs.
fn serves(site: &Site) {
    let heard = callers::send(site.daemons[0].ports.callers, &callers::Request::once());
    assert_eq!(heard.outcome, "ran", "{heard:?}");
}

#[parameterized(
    missing_headers = { write("/v1/requests/ledger", &[], "x"), 400, "malformed" },
    bad_headers = { write("/v1/requests/ledger", BAD_HEADERS, "x"), 400, "malformed" },
    long_deadline = { write("/v1/requests/ledger", LONG_DEADLINE, "x"), 400, "malformed" },
    large_body = { large("/v1/requests/ledger", NAMED), 413, "larger" },
    unknown_service = { write("/v1/requests/nothing", NAMED, "x"), 503, "no upstream offers" },
    job_not_json = { write("/v1/jobs", JSON, "{"), 400, "malformed" },
    job_unknown_field = { write("/v1/jobs", JSON, r#"{"id":"a","colour":1}"#), 400, "colour" },
    job_large = { large("/v1/jobs", JSON), 413, "larger" },
    job_unknown = { read("/v1/jobs/nobody"), 404, "no job" },
    job_bad_id = { read("/v1/jobs/a%20b"), 400, "malformed" },
    jobs_bad_query = { read("/v1/jobs?limit=many"), 400, "malformed" },
    cancel_not_json = { write("/v1/jobs/cancel", JSON, "[]"), 400, "malformed" },
    unknown_path = { read("/v2/anything"), 404, "no such path" },
    wrong_method = { read("/v1/requests/ledger"), 404, "no such path" },
)]
fn a_caller_gets_a_clear_refusal(raw: Raw, status: u16, reason: &str) {
    let site = site();
    let (got, _, body) = call(site.daemons[0].ports.callers, raw);
    assert_eq!(got, status, "{body}");
    assert_eq!(body["outcome"], "not-run", "{body}");
    let said = body["reason"].as_str().unwrap_or_default();
    assert!(said.contains(reason), "{body}");
    assert_eq!(site.runs("bad-1"), 0);
    serves(&site);
    site.close();
}

#[parameterized(
    settings_not_json = { write("/v1/settings", JSON, "{"), 400 },
    settings_large = { large("/v1/settings", JSON), 413 },
    key_missing = { read("/v1/settings/explain"), 400 },
    key_unknown = { read("/v1/settings/explain?key=colour"), 400 },
    place_malformed = { read("/v1/settings?at=somewhere"), 400 },
    domain_call_empty = { write("/v1/domains/d0/out", JSON, "{}"), 400 },
    unknown_path = { write("/v1/nothing", JSON, "{}"), 404 },
)]
fn an_operator_gets_a_clear_refusal(raw: Raw, status: u16) {
    let site = site();
    let (got, _, body) = call(site.daemons[0].ports.operators, raw);
    assert_eq!(got, status, "{body}");
    assert_eq!(body["outcome"], "not-run", "{body}");
    assert!(!body["reason"].as_str().unwrap_or_default().is_empty());
    serves(&site);
    site.close();
}

#[test]
fn a_refused_request_carries_its_outcome_in_the_header() {
    let site = site();
    let at = site.daemons[0].ports.callers;
    for raw in [
        write("/v1/requests/ledger", &[], "x"),
        large("/v1/requests/ledger", NAMED),
        write("/v1/requests/nothing", NAMED, "x"),
    ] {
        let (status, outcome, body) = call(at, raw);
        assert_eq!(outcome, "not-run", "{status} {body}");
    }
    site.close();
}

#[test]
fn all_findings_of_a_change_come_together_and_nothing_is_applied() {
    let site = site();
    let at = site.daemons[0].ports.operators;
    add_org(at);
    let before = get_json(at, "/v1/settings")["revision"].clone();
    let edits = json!([
        { "edit": "set", "at": "site", "key": "isolate-share", "value": 101 },
        { "edit": "set", "at": "org=board", "key": "out", "value": true },
        { "edit": "set", "at": "org=stranger", "key": "weight", "value": 2 },
        { "edit": "set", "at": "org=board", "key": "weight", "value": 2 },
    ]);
    let (status, answer) = change(at, edits);
    assert_eq!(status, 422, "{answer}");
    assert_eq!(
        answer["findings"].as_array().map(Vec::len),
        Some(3),
        "{answer}"
    );
    assert_eq!(get_json(at, "/v1/settings")["revision"], before);
    serves(&site);
    site.close();
}

#[parameterized(
    larger_than_a_worker = { 1, 9 },
    larger_than_the_domain = { 2, 8 },
)]
fn a_job_that_can_never_run_is_refused(tasks: u32, accels: u32) {
    let site = site();
    let at = site.daemons[0].ports.callers;
    let spec = job("never", tasks, accels, "run:10", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("refused", || phase(at, "never") == "refused");
    let info = get_json(at, "/v1/jobs/never");
    let said = info["reason"].as_str().unwrap_or_default();
    assert!(
        said.contains("no failure domain can hold its shape"),
        "{info}"
    );
    serves(&site);
    site.close();
}

#[test]
fn a_job_of_an_unknown_organisation_is_refused_at_once() {
    let site = site();
    let at = site.daemons[0].ports.callers;
    let mut spec = job("never", 1, 1, "run:10", None);
    spec["org"] = json!("stranger");
    let (status, answer) = post(at, "/v1/jobs", &spec);
    assert_eq!((status, &answer["outcome"]), (404, &json!("not-run")));
    assert_eq!(get_json(at, "/v1/jobs/never")["outcome"], "not-run");
    serves(&site);
    site.close();
}

#[test]
fn a_request_of_an_unknown_organisation_does_not_run() {
    let site = site();
    let request = Request::once();
    let heard = send_as(site.daemons[0].ports.callers, "stranger", &request);
    assert_eq!(heard.outcome, "not-run", "{heard:?}");
    assert_eq!(site.runs(&request.id), 0);
    site.close();
}

#[test]
fn a_gang_without_tasks_is_refused_at_once() {
    let site = site();
    let at = site.daemons[0].ports.callers;
    let (status, answer) = post(at, "/v1/jobs", &job("none", 0, 1, "run:10", None));
    assert_eq!((status, &answer["outcome"]), (422, &json!("not-run")));
    serves(&site);
    site.close();
}

/// What a port sends until it ends the connection.
fn ended(at: SocketAddr, bytes: &[u8], shut: bool) -> Vec<u8> {
    let mut conn = TcpStream::connect(at).expect("a connection");
    conn.set_read_timeout(Some(SOON)).expect("a timeout");
    conn.write_all(bytes).expect("sent bytes");
    if shut {
        conn.shutdown(Shutdown::Write)
            .expect("a half-closed connection");
    }
    let mut heard = Vec::new();
    if let Err(error) = conn.read_to_end(&mut heard) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    heard
}

#[parameterized(
    nothing = { b"" },
    http = { b"GET / HTTP/1.1\r\nhost: peer\r\n\r\n" },
    noise = { b"\x00\xff\x16\x03\x01 not a daemon \r\n\r\n" },
    half_a_handshake = { b"GET / HTTP/1.1\r\nupgrade: websocket\r\n" },
)]
fn a_stranger_on_the_peer_port_is_turned_away(bytes: &[u8]) {
    let site = site();
    ended(site.daemons[0].ports.peers, bytes, false);
    serves(&site);
    site.close();
}

#[test]
fn headers_that_never_end_are_given_up_on() {
    let site = site();
    let at = site.daemons[0].ports.callers;
    let heard = ended(at, b"POST /v1/requests/ledger HTTP/1.1\r\nhost:", false);
    assert!(heard.starts_with(b"HTTP/1.1 408"), "{heard:?}");
    serves(&site);
    site.close();
}

#[test]
fn a_request_with_a_truncated_body_does_not_run() {
    let site = site();
    let at = site.daemons[0].ports.callers;
    let head = "POST /v1/requests/ledger HTTP/1.1\r\nhost: d\r\nbt-request-id: cut-1\r\n\
                bt-org: board\r\ncontent-length: 100\r\n\r\nten bytes.";
    ended(at, head.as_bytes(), true);
    serves(&site);
    assert_eq!(site.runs("cut-1"), 0);
    site.close();
}
