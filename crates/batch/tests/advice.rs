//! Requests to the adviser: which workers they name, and how long a ticket is used.

mod kit;

use base::Millis;
use batch::place::Limits;
use batch::Advice;
use batch::AdviceResponse;
use batch::AdviceRule;
use batch::StepId;

use kit::candidates::empty_workers;
use kit::candidates::limits;
use kit::pool;
use kit::step;

fn step_id(num: u32) -> StepId {
    StepId {
        job: format!("j{num}").parse().expect("a job id"),
        occurrence: 0,
        step: 0,
    }
}

fn advice_rule() -> AdviceRule {
    AdviceRule {
        decision: Millis(100),
        per_worker: Millis(20),
        valid: Millis(2_000),
    }
}

/// Time until ten steps of four tasks, which all wait at once, have enough tickets. The site has
/// forty workers, and the adviser approves one in three. `named_at_most` above zero makes each
/// request name the first so many workers instead.
fn time_to_advise(named_at_most: usize) -> Millis {
    let all = empty_workers(40);
    let mut advice = Advice::default();
    let steps: Vec<StepId> = (0..10).map(step_id).collect();
    let mut now = Millis(1_000);
    loop {
        advice.begin_pass(|_| true);
        let mut short = 0;
        for id in &steps {
            let allowed = advice.allowed(id, now, |_| 1);
            if allowed.len() >= 4 {
                continue;
            }
            short += 1;
            let limits = Limits {
                allowed: Some(&allowed),
                ..limits(&pool(), &[0; 40])
            };
            let spec = step(1, 8, Millis(1_000));
            advice.enqueue(id, advice_rule(), &all, (&spec, &limits), 4 - allowed.len());
        }
        let Some(mut request) = advice.next(now, |_| 1) else {
            assert_eq!(short, 0, "steps wait without a queued request");
            return now.since(Millis(1_000));
        };
        if named_at_most > request.workers.len() {
            request.workers = all
                .iter()
                .map(|r| r.id.clone())
                .take(named_at_most)
                .collect();
        }
        let sent = now;
        now += advice_rule().decision;
        now += Millis(advice_rule().per_worker.0 * request.workers.len() as u64);
        let good = request.workers.iter().enumerate();
        let good = good.filter(|(num, _)| num % 3 == 0);
        let good = good.map(|(_, id)| (id.clone(), "t".to_string())).collect();
        let valid = Some(Millis(60_000));
        advice.apply_response(
            &request,
            AdviceResponse::Approved(good, valid),
            (sent, now),
            |_| 1,
        );
    }
}

/// The adviser serves one request at a time. Naming few workers per request serves ten waiting
/// steps sooner than naming all of them.
#[test]
fn requests_name_few_workers() {
    let few = time_to_advise(0);
    let all = time_to_advise(40);
    assert!(
        few.0 * 3 < all.0 * 2,
        "{few} with few workers named, {all} with all"
    );
}

#[test]
fn a_ticket_is_used_only_while_valid_and_in_its_incarnation() {
    let mut advice = Advice::default();
    let all = empty_workers(4);
    let spec = step(1, 8, Millis(1_000));
    let at = step_id(0);
    let limits = limits(&pool(), &[0; 40]);
    advice.enqueue(&at, advice_rule(), &all, (&spec, &limits), 1);
    let request = advice.next(Millis(1_000), |_| 7).expect("a request");
    assert_eq!(
        advice.next(Millis(1_000), |_| 7),
        None,
        "one request at a time"
    );
    let id = request.workers[0].clone();
    let good = vec![(id.clone(), "t1".to_string())];
    let times = (Millis(1_000), Millis(1_150));
    advice.apply_response(&request, AdviceResponse::Approved(good, None), times, |_| 7);
    let held = |now: u64, born: u64| advice.allowed(&at, Millis(now), |_| born).len();
    assert_eq!((held(1_200, 7), held(1_200, 8)), (1, 0));
    assert_eq!((held(2_800, 7), held(2_900, 7)), (1, 0));
    assert_eq!(advice.ticket(&at, &id), "t1");
    advice.drop_ticket(&at, &id);
    assert_eq!(advice.ticket(&at, &id), "");
}

/// Guards against asking about the same workers twice: a planning pass during a request queues them
/// again, before the response is known.
#[test]
fn a_response_drops_requests_queued_meanwhile() {
    let mut advice = Advice::default();
    let all = empty_workers(4);
    let spec = step(1, 8, Millis(1_000));
    let at = step_id(0);
    let limits = limits(&pool(), &[0; 40]);
    advice.enqueue(&at, advice_rule(), &all, (&spec, &limits), 1);
    let request = advice.next(Millis(1_000), |_| 7).expect("a request");
    advice.begin_pass(|_| true);
    advice.enqueue(&at, advice_rule(), &all, (&spec, &limits), 1);
    let times = (Millis(1_000), Millis(1_150));
    advice.apply_response(
        &request,
        AdviceResponse::Approved(Vec::new(), None),
        times,
        |_| 7,
    );
    assert_eq!(advice.next(Millis(1_200), |_| 7), None);
}

/// Failure: a ticket was used for the incarnation that a worker had when the answer came. It had been
/// issued for the one before, and the start was refused.
#[test]
fn a_ticket_is_not_used_for_an_incarnation_that_began_after_the_request() {
    let mut advice = Advice::default();
    let all = empty_workers(4);
    let spec = step(1, 8, Millis(1_000));
    let at = step_id(0);
    let limits = limits(&pool(), &[0; 40]);
    let mut ask = |born: u64, now: u64, until: u64| {
        advice.begin_pass(|_| true);
        advice.enqueue(&at, advice_rule(), &all, (&spec, &limits), 1);
        let request = advice.next(Millis(now), |_| born);
        let request = request.expect("a request");
        let good = request.workers.iter();
        let good = good.map(|id| (id.clone(), "t".to_string())).collect();
        let response = AdviceResponse::Approved(good, Some(Millis(60_000)));
        let times = (Millis(now), Millis(until));
        advice.apply_response(&request, response, times, |_| 8);
        advice.allowed(&at, Millis(until), |_| 8).len()
    };
    assert_eq!(ask(7, 1_000, 1_150), 0, "restarted meanwhile");
    assert!(ask(8, 1_200, 1_350) > 0, "asked again");
}
