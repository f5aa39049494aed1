//! Work on queues with an adviser, which answers one request at a time.

mod kit;

use base::Millis;
use base::WorkerId;
use batch::AdviceRequest;
use batch::AdviceResponse;
use batch::AdviceRule;
use batch::Catalog;
use batch::StepSpec;
use yare::parameterized;

use kit::catalog;
use kit::idle::IdleWatch;
use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Time after which a start without an answer must be active at its worker, which takes it again.
const MAX_REPEAT: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

const RULE: AdviceRule = AdviceRule {
    decision: Millis(100),
    per_worker: Millis(20),
    valid: Millis(2_000),
};

/// The configuration with an adviser on all queues.
fn advised() -> Catalog {
    let plain = catalog();
    let mut queues = plain.queues.clone();
    queues.iter_mut().for_each(|q| q.advice = Some(RULE));
    Catalog::new(2, queues, plain.pools, plain.orgs, plain.limits)
}

/// An adviser that approves all workers.
#[derive(Default)]
struct Adviser {
    /// The request that it works on, when that was sent, and when it responds.
    current: Option<(AdviceRequest, Millis, Millis)>,
}

impl Adviser {
    /// Runs the site with this adviser for one turn.
    fn turn(&mut self, site: &mut Site) {
        site.turn();
        let now = site.now;
        if let Some((request, sent, _)) = self.current.take_if(|(_, _, due)| *due <= now) {
            let named = request.workers.iter();
            let worker = |id: &WorkerId| site.workers.iter().find(|w| w.id == *id);
            let approved = named.filter_map(|id| Some((id.clone(), worker(id)?.ticket())));
            let response = AdviceResponse::Approved(approved.collect(), None);
            site.scheduler
                .advice_response(&request, response, sent, now);
        }
        if let Some(request) = site.scheduler.next_advice(now) {
            let due = now + RULE.call_time(request.workers.len());
            self.current = Some((request, now, due));
        }
    }

    fn run(&mut self, site: &mut Site, span: Millis) {
        let end = site.now + span;
        while site.now < end {
            self.turn(site);
        }
    }
}

/// Guards against an adviser that only steps without room are answered by: gangs that waited for room asked
/// again whenever their tickets ended, before all work that ranks lower, which had nothing running beside
/// more than half of the site.
#[test]
fn gangs_that_wait_for_room_do_not_keep_the_adviser_from_others() {
    let mut site = Site::new(24, 7, Faults::default());
    let mut adviser = Adviser::default();
    site.scheduler.configure(&advised());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(9, 8, Millis(60_000))], site.now));
    adviser.run(&mut site, Millis(3_000));
    for num in 0..8 {
        let wide = StepSpec {
            gang: true,
            ..step(18, 8, Millis(20_000))
        };
        site.submit(&format!("b{num}"), job(1, vec![wide], site.now));
    }
    adviser.run(&mut site, SECOND);
    let id = site.submit("c", job(2, vec![step(4, 1, Millis(5_000))], site.now));
    let mut watch = IdleWatch::default();
    let end = site.now + Millis(20_000);
    while site.now < end {
        adviser.turn(&mut site);
        watch.note(&site, std::slice::from_ref(&id));
    }
    assert!(watch.worst.0 <= MAX_IDLE, "waited for {}", watch.worst.0);
}

/// Failure: a start without an answer was requested again without a ticket, or with that of the former
/// incarnation. Its worker refused it each time, and the task waited until no start could be carried out any more.
#[parameterized(
    new_coordinator = { Site::take_over },
    next_incarnation = { |site: &mut Site| site.workers[0].restart(site.now) },
)]
fn a_start_that_is_requested_again_has_a_ticket(change: fn(&mut Site)) {
    let mut site = Site::new(1, 2, Faults::default());
    let mut adviser = Adviser::default();
    site.workers[0].checks_tickets = true;
    site.workers[0].mute = true;
    site.scheduler.configure(&advised());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 1, Millis(30_000))], site.now));
    adviser.run(&mut site, Millis(200));
    change(&mut site);
    site.scheduler.configure(&advised());
    site.workers[0].mute = false;
    adviser.run(&mut site, MAX_REPEAT);
    assert_eq!(site.workers[0].runs.len(), 1);
}
