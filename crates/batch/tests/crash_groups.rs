//! Jobs that run where a whole failure domain is lost several times: none is the cause, and none is given up.

mod kit;

use base::JobId;
use base::Millis;
use batch::JobPhase;
use batch::LogKind;
use yare::parameterized;

use kit::crashing::Back;
use kit::crashing::Crashing;
use kit::job;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Workers of the domain.
const WORKERS: usize = 8;

/// Time for which the domain has no power.
const OUTAGE: Millis = Millis(2_500);

/// Time between a start and the next loss of the domain.
const UPTIME: Millis = Millis(300);

/// A site of one failure domain, each worker in a rack of its own.
fn one_domain(back: Back) -> Crashing {
    let mut crashing = Crashing::new(WORKERS, back);
    let domain = crashing.site.workers[0].domain.clone();
    for (num, worker) in crashing.site.workers.iter_mut().enumerate() {
        worker.domain = domain.clone();
        worker.rack = format!("r{num}");
    }
    crashing
}

impl Crashing {
    /// Submits jobs of one task each that takes a whole worker.
    fn submit_whole(&mut self, count: usize) -> Vec<JobId> {
        let submitted = (0..count).map(|num| {
            let whole = job(2, vec![step(1, 8, Millis(15_000))], self.site.now);
            self.site.submit(&format!("whole-{num}"), whole)
        });
        submitted.collect()
    }

    /// The worker on which a job runs.
    fn worker_of(&self, id: &JobId) -> Option<usize> {
        let mut workers = self.site.workers.iter();
        workers.position(|w| w.runs.keys().any(|task| task.job == *id))
    }

    /// Runs the site until a job has just started. Returns its worker, if the job still runs.
    fn run_until_started(&mut self, id: &JobId) -> Option<usize> {
        for _ in 0..1_000 {
            if self.worker_of(id).is_some() {
                self.run(UPTIME, |_| false);
                break;
            }
            self.run(Millis(10), |_| false);
        }
        self.worker_of(id)
    }

    /// Polls one worker.
    fn hear(&mut self, num: usize) {
        let now = self.site.now;
        let worker = &mut self.site.workers[num];
        let poll = self.site.scheduler.poll(&worker.id, true, now);
        let report = poll.and_then(|poll| worker.poll(&poll, now));
        let report = report.expect("a report");
        self.site.scheduler.report(&worker.id, report, now, now);
    }

    /// These workers are lost together, and are back together.
    fn lose(&mut self, workers: &[usize]) {
        workers.iter().for_each(|num| self.crash(*num));
        self.run(OUTAGE, |_| false);
        workers.iter().for_each(|num| self.bring_back(*num));
    }

    fn check_completed(&mut self, ids: &[JobId]) {
        self.run(Millis(40_000), |_| false);
        let log = self.site.scheduler.take_log();
        let given_up = log.iter().filter(|e| e.kind == LogKind::JobGivenUp);
        let given_up: Vec<&str> = given_up.map(|e| e.text.as_str()).collect();
        assert!(given_up.is_empty(), "{given_up:#?}");
        for id in ids {
            assert_eq!(self.phase(id), Some(JobPhase::Completed), "{id}");
        }
    }
}

/// Guards against a job that is given up because its worker is the first of the domain to be heard again, before
/// it is known that the others were lost as well.
#[test]
fn the_first_worker_that_is_back_is_not_taken_for_the_only_one_lost() {
    let mut crashing = one_domain(Back::SameId);
    for worker in &mut crashing.site.workers {
        worker.entry_lag = SECOND;
    }
    let ids = crashing.submit_whole(1);
    for _ in 0..4 {
        crashing.run_until_started(&ids[0]);
        crashing.run(Millis(2_000), |_| false);
        let Some(first) = crashing.worker_of(&ids[0]) else {
            break;
        };
        let now = crashing.site.now;
        for worker in &mut crashing.site.workers {
            worker.restart(now);
        }
        crashing.hear(first);
    }
    crashing.check_completed(&ids);
}

/// Guards against workers that were out of reach before, and of which nothing is known, as evidence that a domain
/// was not lost.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn workers_out_of_reach_before_say_nothing_of_a_later_loss(back: Back) {
    let mut crashing = one_domain(back);
    let cut: Vec<usize> = (WORKERS / 2..WORKERS).collect();
    let rest: Vec<usize> = (0..WORKERS / 2).collect();
    for &num in &cut {
        crashing.site.workers[num].reachable = false;
    }
    crashing.run(Millis(10_000), |_| false);
    let ids = crashing.submit_whole(1);
    for _ in 0..3 {
        crashing.run_until_started(&ids[0]);
        crashing.lose(&rest);
    }
    crashing.check_completed(&ids);
}

/// Guards against a worker whose last polls were lost before the domain was: it was heard earlier than the others,
/// and is back with them.
#[test]
fn a_worker_whose_polls_were_lost_before_is_lost_with_its_domain() {
    let mut crashing = one_domain(Back::SameId);
    let all: Vec<usize> = (0..WORKERS).collect();
    let ids = crashing.submit_whole(1);
    for _ in 0..3 {
        let Some(num) = crashing.run_until_started(&ids[0]) else {
            break;
        };
        crashing.site.workers[num].reachable = false;
        crashing.run(Millis(2_000), |_| false);
        crashing.lose(&all);
    }
    crashing.check_completed(&ids);
}

/// Guards against a job that is given up for losses of its domain alone, which no task can cause.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn a_domain_that_is_lost_again_and_again_is_no_fault_of_a_job(back: Back) {
    let mut crashing = one_domain(back);
    let all: Vec<usize> = (0..WORKERS).collect();
    let ids = crashing.submit_whole(1);
    for _ in 0..6 {
        crashing.run_until_started(&ids[0]);
        crashing.lose(&all);
    }
    crashing.check_completed(&ids);
}

/// Guards against workers with suspects that are taken to have survived the loss of their domain, which they did
/// not: after two losses all tasks there are suspects.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn workers_with_suspects_do_not_survive_the_loss_of_their_domain(back: Back) {
    let mut crashing = one_domain(back);
    let all: Vec<usize> = (0..WORKERS).collect();
    let ids = crashing.submit_whole(4);
    for _ in 0..6 {
        crashing.run_until_started(&ids[0]);
        crashing.lose(&all);
    }
    crashing.check_completed(&ids);
}

/// Guards against a task that goes on crashing workers because its domain was lost with them before: each such loss
/// costs no more workers than it would without the task.
#[parameterized(
    once_same_id = { Back::SameId, 1 },
    twice_same_id = { Back::SameId, 2 },
    four_times_same_id = { Back::SameId, 4 },
    once_other_id = { Back::OtherId, 1 },
    twice_other_id = { Back::OtherId, 2 },
    four_times_other_id = { Back::OtherId, 4 },
)]
fn a_deadly_task_is_given_up_though_its_domain_was_lost_with_it(back: Back, outages: usize) {
    let mut crashing = one_domain(back);
    let guilty = job(2, vec![step(1, 1, SECOND)], crashing.site.now);
    let id = crashing.site.submit("guilty", guilty);
    for outage in 1..=outages {
        crashing.run_until_crashes(outage, |_| true);
        let up = crashing.site.workers.iter().enumerate();
        let up: Vec<usize> = up.filter(|(_, w)| w.up).map(|(num, _)| num).collect();
        up.into_iter().for_each(|num| crashing.crash(num));
    }
    crashing.run(Millis(60_000), |_| true);
    let alone = crashing.crashes.len() - outages;
    assert!(alone <= 3, "{alone} workers crashed alone");
    assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
}

/// Guards against tasks that start together again and again and crash most of a domain each time, as if that was lost.
#[parameterized(
    three_of_eight_workers = { 8, 3 },
    half = { 8, 4 },
    most = { 8, 6 },
    all = { 8, 8 },
    two_domains = { 16, 10 },
)]
fn tasks_that_crash_a_domain_together_are_given_up(workers: usize, tasks: usize) {
    for back in [Back::SameId, Back::OtherId] {
        let mut crashing = Crashing::new(workers, back);
        let ids = crashing.submit_whole(tasks);
        crashing.run(Millis(90_000), |_| true);
        for id in ids {
            let own = crashing.crashes.iter().filter(|(t, _)| t.job == id).count();
            assert!(own <= 5, "{own} workers crashed under {id}");
            assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
        }
    }
}
