//! Invalid input on the three ports of a real daemon: it is refused with a reason, and the daemon
//! continues to serve.

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
use support::WAIT_TIMEOUT;

/// Largest body that the daemon accepts, in bytes.
const MAX_BODY_LEN: usize = 1 << 20;

/// An HTTP call with arbitrary headers and body.
struct RawCall {
    /// Whether the method is GET, otherwise POST.
    get: bool,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

/// Headers of a valid request.
const VALID_HEADERS: &[(&str, &str)] = &[(request::ID, "bad-1"), (request::ORG, "board")];

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

fn get(path: &'static str) -> RawCall {
    RawCall {
        get: true,
        path,
        headers: &[],
        body: String::new(),
    }
}

fn post_raw(path: &'static str, headers: &'static [(&str, &str)], body: &str) -> RawCall {
    RawCall {
        get: false,
        path,
        headers,
        body: body.to_string(),
    }
}

fn too_large(path: &'static str, headers: &'static [(&str, &str)]) -> RawCall {
    post_raw(path, headers, &" ".repeat(MAX_BODY_LEN + 1))
}

/// Sends a call. Returns the status, the outcome in the header and the JSON body of the answer.
fn call(at: SocketAddr, raw: RawCall) -> (u16, String, Value) {
    actix_rt::System::new().block_on(async {
        let url = format!("http://{at}{}", raw.path);
        let client = Client::builder().timeout(WAIT_TIMEOUT).finish();
        let mut call = match raw.get {
            true => client.get(url),
            false => client.post(url),
        };
        for header in raw.headers {
            call = call.append_header(*header);
        }
        let mut answer = call.send_body(raw.body).await.expect("call answered");
        let outcome = answer.headers().get(request::OUTCOME).cloned();
        let outcome = outcome.map(|o| o.to_str().unwrap_or_default().to_string());
        let body = answer.body().await.expect("complete answer");
        let body = serde_json::from_slice(&body).unwrap_or_default();
        (answer.status().as_u16(), outcome.unwrap_or_default(), body)
    })
}

/// Starts a site of one daemon and one worker under a name of its own.
fn start_site() -> Site {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let num = NEXT.fetch_add(1, Ordering::Relaxed);
    Site::start(&format!("interface-{num}"), 1, 1, 1)
}

/// Verifies that a request still runs.
fn assert_serves(site: &Site) {
    let reply = callers::send(
        site.daemons[0].ports.callers,
        &callers::Request::non_idempotent(),
    );
    assert_eq!(reply.outcome, "ran", "{reply:?}");
}

#[parameterized(
    missing_headers = { post_raw("/v1/requests/ledger", &[], "x"), 400, "malformed" },
    bad_headers = { post_raw("/v1/requests/ledger", BAD_HEADERS, "x"), 400, "malformed" },
    long_deadline = { post_raw("/v1/requests/ledger", LONG_DEADLINE, "x"), 400, "malformed" },
    large_body = { too_large("/v1/requests/ledger", VALID_HEADERS), 413, "larger" },
    unknown_service = { post_raw("/v1/requests/nothing", VALID_HEADERS, "x"), 503, "no upstream offers" },
    job_not_json = { post_raw("/v1/jobs", JSON, "{"), 400, "malformed" },
    job_unknown_field = { post_raw("/v1/jobs", JSON, r#"{"id":"a","colour":1}"#), 400, "colour" },
    job_large = { too_large("/v1/jobs", JSON), 413, "larger" },
    job_unknown = { get("/v1/jobs/nobody"), 404, "no job" },
    job_bad_id = { get("/v1/jobs/a%20b"), 400, "malformed" },
    jobs_bad_query = { get("/v1/jobs?limit=many"), 400, "malformed" },
    cancel_not_json = { post_raw("/v1/jobs/cancel", JSON, "[]"), 400, "malformed" },
    unknown_path = { get("/v2/anything"), 404, "no such path" },
    wrong_method = { get("/v1/requests/ledger"), 404, "no such path" },
)]
fn an_invalid_call_of_a_caller_is_refused_with_a_reason(raw: RawCall, status: u16, reason: &str) {
    let site = start_site();
    let (got, _, body) = call(site.daemons[0].ports.callers, raw);
    assert_eq!(got, status, "{body}");
    assert_eq!(body["outcome"], "not-run", "{body}");
    let got_reason = body["reason"].as_str().unwrap_or_default();
    assert!(got_reason.contains(reason), "{body}");
    assert_eq!(site.runs("bad-1"), 0);
    assert_serves(&site);
    site.close();
}

#[parameterized(
    settings_not_json = { post_raw("/v1/settings", JSON, "{"), 400 },
    settings_large = { too_large("/v1/settings", JSON), 413 },
    key_missing = { get("/v1/settings/explain"), 400 },
    key_unknown = { get("/v1/settings/explain?key=colour"), 400 },
    place_malformed = { get("/v1/settings?at=somewhere"), 400 },
    domain_call_empty = { post_raw("/v1/domains/d0/out", JSON, "{}"), 400 },
    unknown_path = { post_raw("/v1/nothing", JSON, "{}"), 404 },
)]
fn an_invalid_call_of_an_operator_is_refused_with_a_reason(raw: RawCall, status: u16) {
    let site = start_site();
    let (got, _, body) = call(site.daemons[0].ports.operators, raw);
    assert_eq!(got, status, "{body}");
    assert_eq!(body["outcome"], "not-run", "{body}");
    assert!(!body["reason"].as_str().unwrap_or_default().is_empty());
    assert_serves(&site);
    site.close();
}

#[test]
fn a_refused_request_carries_its_outcome_in_the_header() {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    for raw in [
        post_raw("/v1/requests/ledger", &[], "x"),
        too_large("/v1/requests/ledger", VALID_HEADERS),
        post_raw("/v1/requests/nothing", VALID_HEADERS, "x"),
    ] {
        let (status, outcome, body) = call(at, raw);
        assert_eq!(outcome, "not-run", "{status} {body}");
    }
    site.close();
}

#[test]
fn a_change_with_findings_reports_all_of_them_and_applies_nothing() {
    let site = start_site();
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
    assert_serves(&site);
    site.close();
}

#[parameterized(
    larger_than_a_worker = { 1, 9 },
    larger_than_the_domain = { 2, 8 },
)]
fn a_job_that_can_never_run_is_refused(tasks: u32, accels: u32) {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    let spec = job("never", tasks, accels, "run:10", None);
    assert_eq!(post(at, "/v1/jobs", &spec).0, 201);
    eventually("the job is refused", || phase(at, "never") == "refused");
    let info = get_json(at, "/v1/jobs/never");
    let got_reason = info["reason"].as_str().unwrap_or_default();
    assert!(
        got_reason.contains("no failure domain can hold its shape"),
        "{info}"
    );
    assert_serves(&site);
    site.close();
}

#[test]
fn a_job_of_an_unknown_organisation_is_refused_at_once() {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    let mut spec = job("never", 1, 1, "run:10", None);
    spec["org"] = json!("stranger");
    let (status, answer) = post(at, "/v1/jobs", &spec);
    assert_eq!((status, &answer["outcome"]), (404, &json!("not-run")));
    assert_eq!(get_json(at, "/v1/jobs/never")["outcome"], "not-run");
    assert_serves(&site);
    site.close();
}

#[test]
fn a_request_of_an_unknown_organisation_does_not_run() {
    let site = start_site();
    let request = Request::non_idempotent();
    let reply = send_as(site.daemons[0].ports.callers, "stranger", &request);
    assert_eq!(reply.outcome, "not-run", "{reply:?}");
    assert_eq!(site.runs(&request.id), 0);
    site.close();
}

#[test]
fn a_gang_without_tasks_is_refused_at_once() {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    let (status, answer) = post(at, "/v1/jobs", &job("none", 0, 1, "run:10", None));
    assert_eq!((status, &answer["outcome"]), (422, &json!("not-run")));
    assert_serves(&site);
    site.close();
}

/// Sends bytes, and then the end of the stream if `shut`. Returns all that the port sends until it
/// closes the connection.
fn read_until_closed(at: SocketAddr, bytes: &[u8], shut: bool) -> Vec<u8> {
    let mut conn = TcpStream::connect(at).expect("port accepts a connection");
    conn.set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("read time-out can be set");
    conn.write_all(bytes).expect("bytes can be sent");
    if shut {
        conn.shutdown(Shutdown::Write)
            .expect("write side can be closed");
    }
    let mut reply = Vec::new();
    if let Err(error) = conn.read_to_end(&mut reply) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    reply
}

#[parameterized(
    nothing = { b"" },
    http = { b"GET / HTTP/1.1\r\nhost: peer\r\n\r\n" },
    not_http = { b"\x00\xff\x16\x03\x01 not a daemon \r\n\r\n" },
    half_a_handshake = { b"GET / HTTP/1.1\r\nupgrade: websocket\r\n" },
)]
fn the_peer_port_closes_connections_that_are_no_links(bytes: &[u8]) {
    let site = start_site();
    read_until_closed(site.daemons[0].ports.peers, bytes, false);
    assert_serves(&site);
    site.close();
}

#[test]
fn incomplete_headers_time_out_with_status_408() {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    let reply = read_until_closed(at, b"POST /v1/requests/ledger HTTP/1.1\r\nhost:", false);
    assert!(reply.starts_with(b"HTTP/1.1 408"), "{reply:?}");
    assert_serves(&site);
    site.close();
}

#[test]
fn a_request_with_a_truncated_body_does_not_run() {
    let site = start_site();
    let at = site.daemons[0].ports.callers;
    let head = "POST /v1/requests/ledger HTTP/1.1\r\nhost: d\r\nbt-request-id: cut-1\r\n\
                bt-org: board\r\ncontent-length: 100\r\n\r\nten bytes.";
    read_until_closed(at, head.as_bytes(), true);
    assert_serves(&site);
    assert_eq!(site.runs("cut-1"), 0);
    site.close();
}
