//! The adviser's word: who is asked about, when, and how long it counts.

mod kit;

use base::Millis;
use batch::place::Limits;
use batch::Advice;
use batch::AdviceRule;
use batch::Advised;
use batch::StepId;

use kit::pool;
use kit::rooms::limits;
use kit::rooms::rooms;
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

/// A site of forty workers, of which an adviser lets each third one through, and ten steps of
/// four tasks wait at once. Returns the time until all of them have places.
fn time_to_advise(named_at_most: usize) -> Millis {
    let all = rooms(40);
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
            advice.want(id, advice_rule(), &all, (&spec, &limits), 4 - allowed.len());
        }
        let Some(mut order) = advice.next(now) else {
            assert_eq!(short, 0, "steps wait and nobody asks");
            return now.since(Millis(1_000));
        };
        if named_at_most > order.workers.len() {
            order.workers = all
                .iter()
                .map(|r| r.id.clone())
                .take(named_at_most)
                .collect();
        }
        let sent = now;
        now += advice_rule().decision;
        now += Millis(advice_rule().per_worker.0 * order.workers.len() as u64);
        let good = order.workers.iter().enumerate();
        let good = good.filter(|(num, _)| num % 3 == 0);
        let good = good.map(|(_, id)| (id.clone(), "t".to_string())).collect();
        let valid = Some(Millis(60_000));
        advice.answer(&order, Advised::Good(good, valid), (sent, now), |_| 1);
    }
}

/// Ten steps wait at once, and the adviser serves one call at a time: to ask about few workers
/// serves them sooner than to ask about all of them.
#[test]
fn few_workers_are_asked_for_at_a_time() {
    let few = time_to_advise(0);
    let all = time_to_advise(40);
    assert!(few.0 * 3 < all.0 * 2, "{few} against {all}");
}

#[test]
fn a_ticket_is_used_in_its_time_and_life_only() {
    let mut advice = Advice::default();
    let all = rooms(4);
    let spec = step(1, 8, Millis(1_000));
    let at = step_id(0);
    let limits = limits(&pool(), &[0; 40]);
    advice.want(&at, advice_rule(), &all, (&spec, &limits), 1);
    let order = advice.next(Millis(1_000)).expect("a call");
    assert_eq!(advice.next(Millis(1_000)), None, "one call at a time");
    let id = order.workers[0].clone();
    let good = vec![(id.clone(), "t1".to_string())];
    let times = (Millis(1_000), Millis(1_150));
    advice.answer(&order, Advised::Good(good, None), times, |_| 7);
    let held = |now: u64, born: u64| advice.allowed(&at, Millis(now), |_| born).len();
    assert_eq!((held(1_200, 7), held(1_200, 8)), (1, 0));
    assert_eq!((held(2_800, 7), held(2_900, 7)), (1, 0));
    assert_eq!(advice.ticket(&at, &id), "t1");
    advice.drop_ticket(&at, &id);
    assert_eq!(advice.ticket(&at, &id), "");
}

/// A pass during a call wanted the same workers again, and they were asked about twice.
#[test]
fn what_is_wanted_during_a_call_is_dropped_by_its_answer() {
    let mut advice = Advice::default();
    let all = rooms(4);
    let spec = step(1, 8, Millis(1_000));
    let at = step_id(0);
    let limits = limits(&pool(), &[0; 40]);
    advice.want(&at, advice_rule(), &all, (&spec, &limits), 1);
    let order = advice.next(Millis(1_000)).expect("a call");
    advice.begin_pass(|_| true);
    advice.want(&at, advice_rule(), &all, (&spec, &limits), 1);
    let times = (Millis(1_000), Millis(1_150));
    advice.answer(&order, Advised::Good(Vec::new(), None), times, |_| 7);
    assert_eq!(advice.next(Millis(1_200)), None);
}
