//! Choice of upstreams, queueing, refusals and isolation.

use base::DomainId;
use base::Map;
use base::Millis;
use base::OrgId;
use base::ServiceId;
use base::WorkerId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use route::Action;
use route::Availability;
use route::Balancer;
use route::Config;
use route::Input;
use route::RefusalReason;
use route::Request;
use route::SendResult;
use route::Ticket;
use route::Upstream;
use yare::parameterized;

const START: Millis = Millis(1_000_000);
const SLOTS: u32 = 4;

fn own_domain() -> DomainId {
    "north".parse().unwrap()
}

fn service() -> ServiceId {
    "ledger".parse().unwrap()
}

fn upstream(name: &str, domain: &str) -> Upstream {
    Upstream {
        id: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        service: service(),
        slots: SLOTS,
        availability: Availability::Live,
    }
}

fn balancer(upstreams: Vec<Upstream>) -> Balancer<Pcg64> {
    let mut balancer = Balancer::new(Config::new(own_domain()), Pcg64::seed_from_u64(1));
    balancer.step(START, Input::Upstreams(upstreams));
    balancer
}

fn request(ticket: u64, org: &str, deadline: Millis) -> Input {
    Input::Request(Request {
        ticket: Ticket(ticket),
        org: org.parse().unwrap(),
        service: service(),
        deadline,
        avoid: Vec::new(),
    })
}

fn simple_request(ticket: u64) -> Input {
    request(ticket, "org", START + Millis(60_000))
}

fn done(ticket: u64, result: SendResult) -> Input {
    Input::Done {
        ticket: Ticket(ticket),
        result,
    }
}

fn sent_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(upstream.clone()),
        _ => None,
    })
}

fn refusal(actions: &[Action]) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { why, .. } => Some(*why),
        _ => None,
    })
}

#[test]
fn the_own_domain_is_preferred_until_its_limit() {
    let mut balancer = balancer(vec![upstream("far", "south"), upstream("near", "north")]);
    let sent: Vec<_> = (0..4)
        .map(|i| sent_to(&balancer.step(START, simple_request(i))))
        .collect();
    let names: Vec<_> = sent.iter().flatten().map(WorkerId::as_str).collect();
    assert_eq!(names, ["near", "near", "far", "far"]);
}

#[test]
fn a_listed_leaving_upstream_gets_no_new_requests() {
    let mut leaving = upstream("near", "north");
    leaving.availability = Availability::Leaving;
    let mut balancer = balancer(vec![leaving, upstream("far", "south")]);
    let sent = sent_to(&balancer.step(START, simple_request(1)));
    assert_eq!(sent.unwrap().as_str(), "far");
}

#[test]
fn an_upstream_that_reports_leaving_gets_no_new_requests() {
    let mut balancer = balancer(vec![upstream("near", "north"), upstream("far", "south")]);
    balancer.step(START, simple_request(1));
    balancer.step(START, done(1, SendResult::Leaving));
    let sent = sent_to(&balancer.step(START, simple_request(2)));
    assert_eq!(sent.unwrap().as_str(), "far");
}

#[parameterized(
    no_service = { vec![], 60_000, RefusalReason::NoService },
    deadline_passed = { vec![upstream("near", "north")], 0, RefusalReason::Deadline },
)]
fn a_request_that_cannot_be_served_is_refused_at_once(
    upstreams: Vec<Upstream>,
    left: u64,
    why: RefusalReason,
) {
    let mut balancer = balancer(upstreams);
    let actions = balancer.step(START, request(1, "org", START + Millis(left)));
    assert_eq!(refusal(&actions), Some(why));
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_passes() {
    let mut balancer = balancer(vec![upstream("near", "north")]);
    (0..2).for_each(|i| drop(balancer.step(START, simple_request(i))));
    let deadline = START + Millis(100);
    assert!(balancer.step(START, request(9, "org", deadline)).is_empty());
    let actions = balancer.step(deadline, Input::Tick);
    assert_eq!(refusal(&actions), Some(RefusalReason::Deadline));
    assert_eq!(balancer.queued(), 0);
}

#[test]
fn organisations_are_served_in_proportion_to_their_weights() {
    let mut balancer = balancer(vec![upstream("near", "north")]);
    let weights = [("big", 3.0), ("small", 1.0)];
    let weights: Map<OrgId, f64> = weights
        .map(|(o, w)| (o.parse().unwrap(), w))
        .into_iter()
        .collect();
    balancer.step(START, Input::Weights(weights));
    (0..2).for_each(|i| drop(balancer.step(START, simple_request(i))));
    for i in 0..40 {
        balancer.step(START, request(100 + i, "small", START + Millis(60_000)));
        balancer.step(START, request(200 + i, "big", START + Millis(60_000)));
    }
    let mut running = vec![0, 1];
    let mut served = Vec::new();
    while served.len() < 20 {
        let ticket = running.remove(0);
        for action in balancer.step(START, done(ticket, SendResult::Inconclusive)) {
            if let Action::Send { ticket, .. } = action {
                running.push(ticket.0);
                served.push(ticket.0);
            }
        }
    }
    let big = served.iter().filter(|t| **t >= 200).count();
    assert_eq!(big, 15);
}

#[test]
fn a_request_refused_for_lack_of_a_slot_goes_to_another_upstream() {
    let mut balancer = balancer(vec![upstream("a", "north"), upstream("b", "north")]);
    let first = sent_to(&balancer.step(START, simple_request(1))).unwrap();
    let again = balancer.step(START, done(1, SendResult::Busy));
    let second = sent_to(&again).unwrap();
    assert_ne!(first, second);
    assert_eq!(balancer.in_progress(), 1);
}

#[test]
fn a_full_queue_admits_an_organisation_below_its_share() {
    let mut balancer = balancer(vec![upstream("near", "north")]);
    let far = START + Millis(100_000_000);
    for i in 0..1026 {
        balancer.step(START, request(i, "large", far));
    }
    let full = balancer.step(START, request(5000, "large", far));
    assert_eq!(refusal(&full), Some(RefusalReason::QueueFull));
    let actions = balancer.step(START, request(6000, "small", far));
    let dropped = Action::Refuse {
        ticket: Ticket(1025),
        why: RefusalReason::QueueFull,
        retry: Millis(50),
    };
    assert_eq!(actions, [dropped]);
    assert_eq!(balancer.queued(), 1024);
    balancer.check().unwrap();
}

#[test]
fn a_failing_upstream_is_isolated_and_restored_by_a_probe() {
    let upstreams = ["a", "b", "c"].map(|name| upstream(name, "north"));
    let mut balancer = balancer(upstreams.to_vec());
    let mut isolated = None;
    for i in 0..200 {
        let actions = balancer.step(START, simple_request(i));
        let is_bad = sent_to(&actions).unwrap().as_str() == "a";
        let result = if is_bad {
            SendResult::Failed
        } else {
            SendResult::Served
        };
        let ended = balancer.step(START, done(i, result));
        isolated = isolated.or(ended.first().cloned());
    }
    let bad: WorkerId = "a".parse().unwrap();
    assert_eq!(isolated, Some(Action::Isolated(bad.clone())));
    let later = START + Config::new(own_domain()).isolation;
    let mut restored = None;
    for i in 1000..1200 {
        balancer.step(later, simple_request(i));
        let ended = balancer.step(later, done(i, SendResult::Served));
        restored = restored.or(ended.first().cloned());
    }
    assert_eq!(restored, Some(Action::Restored(bad)));
}

#[test]
fn the_share_of_isolated_upstreams_is_limited() {
    let upstreams = ["a", "b", "c"].map(|name| upstream(name, "north"));
    let mut balancer = balancer(upstreams.to_vec());
    for i in 0..300 {
        balancer.step(START, simple_request(i));
        balancer.step(START, done(i, SendResult::Failed));
    }
    let isolated = balancer.status().iter().filter(|s| s.isolated).count();
    assert_eq!(isolated, 1);
}

#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 })]
fn random_runs_keep_the_invariants(seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut balancer = balancer(Vec::new());
    let mut now = START;
    let mut in_flight = Vec::new();
    for ticket in 0..20_000 {
        now += Millis(rng.random_range(0..3));
        let input = match rng.random_range(0..100) {
            0 => Input::Upstreams(random_upstreams(&mut rng)),
            1..45 => random_request(&mut rng, now, ticket),
            45..50 => Input::Cancel(Ticket(rng.random_range(0..ticket + 1))),
            50..55 => Input::Tick,
            _ if in_flight.is_empty() => Input::Tick,
            _ => {
                let at = rng.random_range(0..in_flight.len());
                done(in_flight.swap_remove(at), random_result(&mut rng))
            }
        };
        for action in balancer.step(now, input) {
            if let Action::Send { ticket, .. } = action {
                in_flight.push(ticket.0);
            }
        }
        balancer.check().unwrap();
    }
}

fn random_upstreams(rng: &mut Pcg64) -> Vec<Upstream> {
    let all = (0..12).filter(|_| rng.random_bool(0.7)).collect::<Vec<_>>();
    let one = |i: u32| {
        let domain = if i < 6 { "north" } else { "south" };
        upstream(&format!("w{i}"), domain)
    };
    all.into_iter().map(one).collect()
}

fn random_request(rng: &mut Pcg64, now: Millis, ticket: u64) -> Input {
    let org = ["a", "b", "c"][rng.random_range(0..3)];
    request(ticket, org, now + Millis(rng.random_range(0..500)))
}

fn random_result(rng: &mut Pcg64) -> SendResult {
    let all = [
        SendResult::Busy,
        SendResult::Failed,
        SendResult::Leaving,
        SendResult::Served,
        SendResult::Inconclusive,
    ];
    all[rng.random_range(0..all.len())]
}
