//! Requests of callers through the HTTP port to fake workers.

use std::net::SocketAddr;

use actix::Actor;
use actix::Addr;
use awc::Client;
use awc::ClientRequest;
use base::Clock;
use base::Millis;
use entry::callers_routes;
use entry::ClaimClient;
use entry::Claimed;
use entry::Ready;
use entry::Requests;
use entry::RequestsConfig;
use entry::Server;
use entry::SetUpstreams;
use entry::Target;
use fakes::worker::RequestFault;
use fakes::worker::Worker;
use fakes::worker::WorkerConfig;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use route::Availability;
use route::Config;
use route::Upstream;
use work::request;
use yare::parameterized;

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const STOP_TIMEOUT: Millis = Millis(1_000);
const MAX_BODY_BYTES: usize = 64 << 10;

fn worker(name: &str, fault: RequestFault) -> Worker {
    let config = WorkerConfig {
        id: name.parse().unwrap(),
        address: SocketAddr::from((LOOPBACK, 0)),
        slots: 8,
        service_time: Millis::ZERO,
    };
    let worker = Worker::start(config).unwrap();
    worker.state().lock().fault = fault;
    worker
}

fn target(worker: &Worker) -> Target {
    let upstream = Upstream {
        id: worker.state().id().clone(),
        domain: "north".parse().unwrap(),
        service: "ledger".parse().unwrap(),
        slots: 8,
        availability: Availability::Live,
    };
    Target {
        upstream,
        address: worker.address(),
    }
}

/// Grants every claim and returns every settled reply unchanged.
fn allow_all_claims() -> ClaimClient {
    let mut claims = ClaimClient::unavailable();
    claims.claim = std::rc::Rc::new(|_| Box::pin(async { Claimed::Send { fence: 1, token: 1 } }));
    claims
}

/// A server on the callers' port with its request service.
struct Site {
    server: Server,
    requests: Addr<Requests>,
    ready: Ready,
}

async fn site(workers: &[&Worker], claims: ClaimClient) -> Site {
    let requests = Requests::new(RequestsConfig {
        route: Config::new("north".parse().unwrap()),
        max_answer: MAX_BODY_BYTES,
        max_open: 64,
        clock: Clock::System,
        log: obs::discard(),
        metrics: obs::Metrics::new(),
        claims,
        rng: Pcg64::seed_from_u64(1),
    });
    let requests = requests.start();
    let targets = workers.iter().map(|w| target(w)).collect();
    requests.send(SetUpstreams(targets)).await.unwrap();
    let ready = Ready::default();
    let recipient = requests.clone().recipient();
    let flag = ready.clone();
    let routes = move |app: &mut actix_web::web::ServiceConfig| {
        callers_routes(app, recipient.clone(), flag.clone(), MAX_BODY_BYTES)
    };
    let server = Server::start(SocketAddr::from((LOOPBACK, 0)), STOP_TIMEOUT, routes).unwrap();
    Site {
        server,
        requests,
        ready,
    }
}

fn post(site: &Site, id: &str, idempotent: bool) -> ClientRequest {
    let url = format!("http://{}/v1/requests/ledger", site.server.address());
    let client = Client::default();
    client
        .post(url)
        .insert_header((request::ID, id))
        .insert_header((request::ORG, "board"))
        .insert_header((request::DEADLINE, "2000"))
        .insert_header((request::IDEMPOTENT, idempotent.to_string()))
}

/// Sends a request and returns its outcome and whether the answer names a retry delay.
async fn outcome(site: &Site, id: &str, idempotent: bool) -> (String, bool) {
    let answer = post(site, id, idempotent).send_body("body").await.unwrap();
    let headers = answer.headers();
    let outcome = headers.get(request::OUTCOME).unwrap().to_str().unwrap();
    (
        outcome.to_string(),
        headers.contains_key(request::RETRY_AFTER),
    )
}

#[actix_rt::test]
async fn a_caller_gets_the_complete_answer() {
    let worker = worker("w1", RequestFault::None);
    let site = site(&[&worker], allow_all_claims()).await;
    let mut answer = post(&site, "r1", false).send_body("body").await.unwrap();
    assert_eq!(answer.headers().get(request::ID).unwrap(), "r1");
    assert_eq!(answer.body().await.unwrap(), "body");
    assert_eq!(worker.state().lock().runs["r1"], 1);
    site.server.close().await;
    worker.close();
}

#[parameterized(
    none = { RequestFault::None, "ran" },
    crossed = { RequestFault::Mismatched, "unknown" },
    truncated = { RequestFault::Truncated, "unknown" },
    silent = { RequestFault::Silent, "unknown" },
)]
fn a_non_idempotent_request_is_sent_once(fault: RequestFault, expected: &str) {
    actix_rt::System::new().block_on(async {
        let worker = worker("w1", RequestFault::None);
        let site = site(&[&worker], allow_all_claims()).await;
        outcome(&site, "r0", true).await;
        worker.state().lock().fault = fault;
        let (outcome, has_retry) = outcome(&site, "r1", false).await;
        assert_eq!(outcome, expected);
        assert_eq!(has_retry, expected != "ran");
        assert_eq!(worker.state().lock().runs["r1"], 1);
        site.server.close().await;
        worker.close();
    });
}

#[parameterized(
    truncated = { RequestFault::Truncated },
    silent = { RequestFault::Silent },
)]
fn an_idempotent_request_is_retried_on_another_upstream(fault: RequestFault) {
    actix_rt::System::new().block_on(async {
        let bad = worker("bad", fault);
        let good = worker("good", RequestFault::None);
        let site = site(&[&bad, &good], ClaimClient::unavailable()).await;
        for i in 0..4 {
            let (outcome, _) = outcome(&site, &format!("r{i}"), true).await;
            assert_eq!(outcome, "ran");
        }
        site.server.close().await;
        bad.close();
        good.close();
    });
}

#[actix_rt::test]
async fn without_upstreams_a_request_is_refused_with_a_retry_delay() {
    let site = site(&[], allow_all_claims()).await;
    assert_eq!(
        outcome(&site, "r1", false).await,
        ("not-run".to_string(), true)
    );
    site.server.close().await;
}

#[parameterized(
    first = { Some("1"), "not-run" },
    resend = { Some("2"), "unknown" },
    not_stated = { None, "unknown" },
)]
fn a_refused_resend_is_not_reported_as_not_run(attempt: Option<&str>, expected: &str) {
    let attempt = attempt.map(str::to_string);
    let expected = expected.to_string();
    actix_rt::System::new().block_on(async move {
        let site = site(&[], ClaimClient::unavailable()).await;
        let mut req = post(&site, "r1", true);
        if let Some(attempt) = attempt {
            req = req.insert_header((request::ATTEMPT, attempt));
        }
        let answer = req.send_body("body").await.unwrap();
        assert_eq!(
            answer.headers().get(request::OUTCOME).unwrap(),
            expected.as_str()
        );
        assert!(answer.headers().contains_key(request::RETRY_AFTER));
        site.server.close().await;
    });
}

#[actix_rt::test]
async fn a_request_without_a_claim_is_not_sent() {
    let worker = worker("w1", RequestFault::None);
    let site = site(&[&worker], ClaimClient::unavailable()).await;
    let (outcome, _) = outcome(&site, "r1", false).await;
    assert_eq!(outcome, "unknown");
    assert!(worker.state().lock().runs.is_empty());
    site.server.close().await;
    worker.close();
}

#[parameterized(
    no_id = { request::ID, None, 400 },
    bad_id = { request::ID, Some("a b"), 400 },
    no_org = { request::ORG, None, 400 },
    bad_deadline = { request::DEADLINE, Some("soon"), 400 },
    long_deadline = { request::DEADLINE, Some("300001"), 400 },
    bad_flag = { request::IDEMPOTENT, Some("maybe"), 400 },
    bad_trace = { request::TRACE, Some("00-1-2-3"), 400 },
)]
fn malformed_headers_are_refused(name: &str, value: Option<&str>, status: u16) {
    let name = name.to_string();
    let value = value.map(str::to_string);
    actix_rt::System::new().block_on(async move {
        let worker = worker("w1", RequestFault::None);
        let site = site(&[&worker], allow_all_claims()).await;
        let mut req = post(&site, "r1", true);
        let key: awc::http::header::HeaderName = name.parse().unwrap();
        req.headers_mut().remove(&key);
        if let Some(value) = value {
            req.headers_mut().insert(key, value.parse().unwrap());
        }
        let mut answer = req.send_body("body").await.unwrap();
        assert_eq!(answer.status().as_u16(), status);
        let body = answer.body().await.unwrap();
        let text = String::from_utf8_lossy(&body);
        assert!(text.contains(&name), "{text}");
        assert!(worker.state().lock().runs.is_empty());
        site.server.close().await;
        worker.close();
    });
}

#[actix_rt::test]
async fn an_oversized_body_is_refused() {
    let worker = worker("w1", RequestFault::None);
    let site = site(&[&worker], allow_all_claims()).await;
    let body = vec![0u8; MAX_BODY_BYTES + 1];
    let answer = post(&site, "r1", true).send_body(body).await.unwrap();
    assert_eq!(answer.status().as_u16(), 413);
    assert!(worker.state().lock().runs.is_empty());
    site.server.close().await;
    worker.close();
}

#[actix_rt::test]
async fn readiness_follows_the_flag() {
    let site = site(&[], allow_all_claims()).await;
    let url = format!("http://{}/ready", site.server.address());
    let status =
        |url: String| async move { Client::default().get(url).send().await.unwrap().status() };
    assert_eq!(status(url.clone()).await, 503);
    site.ready.set(true);
    assert_eq!(status(url).await, 200);
    drop(site.requests);
    site.server.close().await;
}
