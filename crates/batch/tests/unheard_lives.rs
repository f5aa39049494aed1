//! Beliefs about an incarnation that was not heard, driven call by call.

mod kit;

use base::Epoch;
use base::Fence;
use base::Millis;
use base::WorkerId;
use batch::PollRequest;
use batch::Report;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use yare::parameterized;

use kit::catalog;
use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::worker::FakeRun;
use kit::worker::FakeWorker;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);
const LONG: Millis = Millis(30_000);
const STEP: Millis = Millis(10);

/// A coordinator and workers whose calls are delivered by the test.
struct Rig {
    now: Millis,
    fence: u64,
    scheduler: Scheduler,
    workers: Vec<FakeWorker>,
}

impl Rig {
    fn new(workers: usize) -> Rig {
        let now = Millis(1_000_000);
        let workers = (0..workers).map(|n| FakeWorker::new(n, now - Millis(60_000)));
        let mut rig = Rig {
            now,
            fence: 1,
            scheduler: Scheduler::new(Epoch(1), BOUNDS, catalog(), now),
            workers: workers.collect(),
        };
        rig.list();
        for num in 0..rig.workers.len() {
            rig.poll(num);
        }
        rig
    }

    /// Publishes the entries, which raises the revision of the store.
    fn list(&mut self) {
        let now = self.now;
        let entries = self.workers.iter_mut().map(|w| w.entry(now)).collect();
        self.scheduler.set_workers(entries, now);
        self.fence += 1;
        self.scheduler.raise_fence(Fence(self.fence));
    }

    fn id(&self, num: usize) -> WorkerId {
        self.workers[num].id.clone()
    }

    fn send_poll(&mut self, num: usize) -> PollRequest {
        let id = self.id(num);
        let request = self.scheduler.poll(&id, true, self.now);
        request.expect("a poll")
    }

    fn answer(&mut self, num: usize, request: &PollRequest) -> Report {
        let report = self.workers[num].poll(request, self.now);
        report.expect("a report")
    }

    fn poll(&mut self, num: usize) {
        let request = self.send_poll(num);
        let report = self.answer(num, &request);
        let id = self.id(num);
        self.scheduler.report(&id, report, self.now, self.now);
    }

    fn number(&self, request: &StartRequest) -> usize {
        let found = self.workers.iter().position(|w| w.id == request.worker);
        found.expect("a worker")
    }

    /// Lets time pass.
    fn pass(&mut self, span: Millis) {
        self.now += span;
        self.scheduler.tick(self.now, self.now);
    }

    /// Plans, and returns the starts to send.
    fn starts(&mut self) -> Vec<StartRequest> {
        self.scheduler.plan(self.now, self.now);
        let pending = self.scheduler.take_pending();
        self.scheduler.records_stored(pending, self.now)
    }

    fn carry_out(&mut self, request: &StartRequest) -> StartResponse {
        let run = FakeRun {
            run: request.run,
            gang: None,
            started: self.now,
            work: LONG,
            need: step(1, 1, LONG).need,
            stopping: None,
            fails: false,
            lasting: false,
        };
        let num = self.number(request);
        self.workers[num].start(request, run, self.now)
    }
}

/// A poll that renews the lease in terms of the former clock is sent with a token to which nothing was
/// answered yet, gets no answer, and is carried out after a report to the next poll, which has the same token.
/// The lease is then longer than the coordinator reckons.
#[test]
fn a_late_renewal_with_the_present_token_extends_no_lease_unnoticed() {
    let mut rig = Rig::new(2);
    rig.pass(Millis(1_000));
    rig.poll(0);
    rig.poll(1);
    // The report of the former incarnation arrives after the entry of the next one.
    let asked = rig.now;
    let request = rig.send_poll(0);
    let former = rig.answer(0, &request);
    rig.pass(Millis(300));
    let now = rig.now;
    rig.workers[0].restart(now);
    rig.pass(Millis(100));
    rig.list();
    let id = rig.id(0);
    rig.scheduler.report(&id, former, asked, rig.now);
    let late = rig.send_poll(0);
    rig.pass(Millis(600));
    rig.scheduler.poll_failed(&id);
    rig.list();
    rig.pass(Millis(100));
    let next = rig.send_poll(0);
    println!(
        "late {:?} {:?}, next {:?} {:?}",
        late.deadline, late.fence, next.deadline, next.fence
    );
    let report = rig.answer(0, &next);
    rig.scheduler.report(&id, report, rig.now, rig.now);
    // Worker 1 is away for a moment, so that the task starts on worker 0.
    let other = rig.id(1);
    rig.scheduler.poll_failed(&other);
    let job = "a".parse().expect("a job id");
    let submitted = kit::job(1, vec![step(1, 1, LONG)], rig.now);
    rig.scheduler.add(job, submitted, None, rig.now);
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(rig.number(&starts[0]), 0);
    let response = rig.carry_out(&starts[0]);
    rig.scheduler.start_response(&starts[0], response, rig.now);
    // Renewed for two seconds, then cut off. Now the late poll arrives.
    for _ in 0..20 {
        rig.pass(Millis(100));
        rig.poll(0);
        rig.poll(1);
    }
    let _ = rig.workers[0].poll(&late, rig.now);
    let cut = rig.now;
    for _ in 0..3_000 {
        rig.pass(STEP);
        if rig.now.0 % 100 == 0 {
            rig.list();
            rig.scheduler.poll_failed(&id);
            rig.poll(1);
        }
        if !rig.starts().is_empty() {
            let since = rig.now.since(cut);
            assert!(
                rig.workers[0].is_lease_expired(rig.now),
                "started elsewhere {since} after the cut, and the worker's lease goes on"
            );
            return;
        }
    }
    panic!("never started elsewhere");
}

/// The next incarnation answers a start after it has answered a poll, and the report arrives last. It does not
/// list the run yet.
#[test]
fn a_report_from_before_an_answered_start_closes_nothing() {
    let mut site = Site::new(2, 1, Faults::default());
    site.outlives = true;
    site.run(SECOND + Millis(50));
    let now = site.now;
    site.workers.iter_mut().for_each(|w| w.entry_lag = SECOND);
    (0..2).for_each(|n| site.workers[n].restart(now));
    let sent = site.now;
    let ids: Vec<WorkerId> = site.workers.iter().map(|w| w.id.clone()).collect();
    let mut reports = Vec::new();
    for (num, id) in ids.iter().enumerate() {
        let request = site.scheduler.poll(id, true, now).expect("a poll");
        reports.push(site.workers[num].poll(&request, now).expect("a report"));
    }
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(STEP);
    let used = site.workers.iter().position(|w| !w.runs.is_empty());
    let used = used.expect("a worker in use");
    let now = site.now;
    site.scheduler
        .report(&ids[used], reports.swap_remove(used), sent, now);
    site.run(Millis(60_000));
    assert!(site.is_done(&id));
}

/// The next incarnation accepts a stop of a run that it has begun late, and a report of the former one arrives
/// after that. Its clock is far ahead.
#[test]
fn a_report_of_the_former_incarnation_proves_no_stop_of_the_next() {
    let mut rig = Rig::new(2);
    let job = "a".parse().expect("a job id");
    let submitted = kit::job(1, vec![step(1, 1, LONG)], rig.now);
    rig.scheduler.add(job, submitted, None, rig.now);
    let starts = rig.starts();
    let num = rig.number(&starts[0]);
    let id = rig.id(num);
    rig.pass(Millis(600));
    let why = "lost".to_string();
    rig.scheduler
        .start_response(&starts[0], StartResponse::Unknown(why), rig.now);
    let asked = rig.now;
    let request = rig.send_poll(num);
    let former = rig.answer(num, &request);
    let now = rig.now;
    rig.workers[num].restart(now);
    rig.pass(Millis(50));
    let _ = rig.carry_out(&starts[0]);
    // Its failure domain is taken out, so the run is stopped instead of being requested again.
    let domain = rig.workers[num].domain.clone();
    rig.scheduler
        .exclude_domains([domain].into_iter().collect());
    rig.pass(Millis(50));
    rig.starts();
    let stops = rig.scheduler.stop_requests(rig.now);
    let now = rig.now;
    let clock = rig.workers[num].stop(&stops[0], now).expect("accepted");
    rig.scheduler.stop_accepted(&stops[0], clock, rig.now);
    rig.pass(Millis(20));
    rig.scheduler.report(&id, former, asked, rig.now);
    rig.poll(1 - num);
    rig.pass(Millis(120));
    rig.poll(1 - num);
    let again = rig.starts();
    assert!(
        again.is_empty() || rig.workers[num].runs.is_empty(),
        "started again while the run is being stopped"
    );
    rig.pass(SECOND);
    assert_eq!(
        rig.scheduler.stop_requests(rig.now).len(),
        1,
        "the run is taken for ended while it is being stopped"
    );
}

/// A start without an answer is carried out by an incarnation that reaches neither the coordinator nor the
/// store, so that the entry goes.
#[parameterized(
    entry_goes_after_three_heartbeats = { Millis(4_500) },
    entry_goes_later = { Millis(7_000) },
)]
fn a_start_taken_by_an_incarnation_without_an_entry_runs_once(listed: Millis) {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = Site::new(1, 2, late);
    site.outlives = true;
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(Millis(10));
    site.faults = Faults::default();
    site.workers[0].entry_lag = LONG;
    let now = site.now;
    site.workers[0].restart(now);
    site.workers[0].reachable = false;
    site.workers.push(FakeWorker::new(1, site.now));
    site.run(listed);
    site.workers[0].listed = false;
    site.run(Millis(70_000));
    assert!(site.is_done(&id));
}

/// The same with an entry that stays that of the former incarnation.
#[test]
fn a_start_taken_by_an_incarnation_never_shown_runs_once() {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = Site::new(1, 2, late);
    site.outlives = true;
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(Millis(10));
    site.faults = Faults::default();
    site.workers[0].entry_lag = LONG;
    let now = site.now;
    site.workers[0].restart(now);
    site.workers[0].reachable = false;
    site.workers.push(FakeWorker::new(1, site.now));
    site.run(Millis(70_000));
    assert!(site.is_done(&id));
}

/// A start without an answer was given up because the worker had accepted the stop, or had answered to a higher
/// token, and did not list the run. The worker starts again, and its next incarnation, which knows neither,
/// takes the start before its first poll. The task runs elsewhere by then.
#[parameterized(
    reachable = { true },
    cut_off = { false },
)]
fn what_a_worker_refuses_its_next_incarnation_does_not(reachable: bool) {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = Site::new(1, 2, late);
    site.outlives = true;
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(STEP);
    site.faults = Faults::default();
    site.workers.push(FakeWorker::new(1, site.now));
    // The start arrives 4 s after it was sent.
    site.run(Millis(3_980));
    let now = site.now;
    site.workers[0].restart(now);
    site.workers[0].reachable = reachable;
    site.run(Millis(70_000));
    assert!(site.is_done(&id));
}
