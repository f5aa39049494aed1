//! Single steps of the claim state machine, request ids and packets.

use base::DomainId;
use base::Millis;
use base::Outcome;
use base::RequestId;
use base::VmId;
use yare::parameterized;

use claim::creation_time;
use claim::home_domain;
use claim::Action;
use claim::Answer;
use claim::Batch;
use claim::Claims;
use claim::Input;
use claim::Limits;
use claim::Message;
use claim::Packet;
use claim::Reason;
use claim::Verdict;
use claim::View;
use claim::ViewNumber;

const NOW: Millis = Millis(1_000_000);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn single_member() -> Claims {
    let mut claims = Claims::new(vm("a"), "north".parse().unwrap(), Limits::default());
    claims.step(NOW, Input::View(View::first(vec![vm("a")])));
    let until = NOW + Millis::from_secs(60);
    let view = ViewNumber(1);
    claims.step(NOW, Input::Lease { view, until });
    claims
}

fn request(id: &str, attempt: u32, token: u64) -> Input {
    Input::Request {
        id: id.parse().unwrap(),
        attempt,
        token,
        deadline: NOW + Millis::from_secs(100),
    }
}

#[test]
fn single_member_dispatches_once_and_stores_the_answer() {
    let mut claims = single_member();
    let first = claims.step(NOW, request("r", 1, 1));
    assert!(matches!(first[..], [Action::Dispatch { token: 1, .. }]));
    let answer = Answer {
        outcome: Outcome::Ran,
        body: Some(vec![7].into()),
    };
    let token = 1;
    let stored = answer.clone();
    assert!(claims
        .step(NOW, Input::Answered { token, answer })
        .is_empty());
    let token = 2;
    let verdict = Verdict::Answer(stored);
    let second = claims.step(NOW, request("r", 2, 2));
    assert_eq!(second, [Action::Reply { token, verdict }]);
    claims.check().unwrap();
}

#[test]
fn upstream_refusal_lets_a_later_attempt_run() {
    let mut claims = single_member();
    claims.step(NOW, request("r", 1, 1));
    let outcome = Outcome::NotRun;
    let actions = claims.step(NOW, Input::Failed { token: 1, outcome });
    assert!(matches!(
        actions[..],
        [Action::Reply {
            verdict: Verdict::NotRun { .. },
            ..
        }]
    ));
    let again = claims.step(NOW, request("r", 2, 2));
    assert!(matches!(again[..], [Action::Dispatch { token: 2, .. }]));
}

#[parameterized(
    first = { 1, true },
    second = { 2, false },
    unnumbered = { 0, false },
)]
fn refusal_without_a_view(attempt: u32, not_run: bool) {
    let mut claims = Claims::new(vm("a"), "north".parse().unwrap(), Limits::default());
    let actions = claims.step(NOW, request("r", attempt, 1));
    let Some(Action::Reply { verdict, .. }) = actions.first() else {
        panic!("no reply: {actions:?}");
    };
    assert_eq!(matches!(verdict, Verdict::NotRun { .. }), not_run);
}

#[test]
fn without_a_lease_nothing_is_granted() {
    let mut claims = single_member();
    let late = NOW + Millis::from_secs(61);
    let actions = claims.step(late, request("r", 2, 1));
    let reason = Reason::NoLease;
    assert!(matches!(
        actions[..],
        [Action::Reply { verdict: Verdict::Unknown { reason: r, .. }, .. }] if r == reason
    ));
}

#[parameterized(
    named = { "north~x", Some("north") },
    named_port = { "port~x", Some("port") },
)]
fn home_named_in_the_id(id: &str, want: Option<&str>) {
    let domains: Vec<DomainId> = ["north", "port"]
        .iter()
        .map(|d| d.parse().unwrap())
        .collect();
    let id: RequestId = id.parse().unwrap();
    assert_eq!(home_domain(&id, &domains).map(|d| d.as_str()), want);
}

#[parameterized(
    v7 = { "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Some(1_645_557_742_000) },
    with_home = { "north~017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Some(1_645_557_742_000) },
    v4 = { "919108f7-52d1-4320-9bac-f847db4148a8", None },
    opaque = { "order-1", None },
)]
fn creation_time_from_id(id: &str, want: Option<u64>) {
    assert_eq!(creation_time(&id.parse().unwrap()), want.map(Millis));
}

#[test]
fn a_packet_with_too_many_members_is_rejected() {
    let members = (0..100).map(|i| vm(&format!("vm{i}"))).collect();
    let batch = Batch {
        domain: "north".parse().unwrap(),
        messages: vec![Message::View(View::first(members))],
    };
    assert!(Batch::try_from(Packet::from(batch)).is_err());
}
