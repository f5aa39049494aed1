//! Tests of the life cycle of jobs under one coordinator and across a take-over.

mod model;

use base::JobId;
use base::Millis;
use model::site::job_spec;
use model::site::plan;
use model::site::worker_id;
use model::site::Site;
use sched::Input;
use sched::JobOutcome;
use sched::JobPhase;
use sched::Report;
use sched::StopCause;
use work::wire::TaskPhase;
use yare::parameterized;

/// A site with two workers and a running gang of two tasks.
fn running_site(restartable: bool) -> (Site, JobId) {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, restartable));
    site.feed(Input::Plan(plan(&id, 2, 0)));
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
    (site, id)
}

#[test]
fn gang_runs_and_finishes() {
    let (mut site, id) = running_site(false);
    assert!(matches!(site.phase(&id), JobPhase::Running { .. }));
    site.run(30_000);
    assert_eq!(site.count(&id, TaskPhase::Running), 2, "leases are renewed");
    site.end_tasks(&id, TaskPhase::Finished);
    site.run(7_000);
    assert_eq!(site.outcome(&id), Some(&JobOutcome::Finished));
    site.run(8_000);
    assert!(
        site.workers.values().all(|w| w.tasks.is_empty()),
        "workers forget ended tasks"
    );
    assert_eq!(site.coord.counts(), (0, 0));
}

#[test]
fn gang_is_adopted_by_the_next_coordinator() {
    let (mut site, id) = running_site(false);
    site.run(3_000);
    site.elect(2);
    assert!(site.reported(|r| matches!(r, Report::Adopted { .. })));
    site.run(30_000);
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
    site.end_tasks(&id, TaskPhase::Finished);
    site.run(7_000);
    assert_eq!(site.outcome(&id), Some(&JobOutcome::Finished));
}

#[parameterized(
    restartable = { true, None },
    not_restartable = { false, Some(true) },
)]
fn gang_on_unreachable_worker_is_stopped(restartable: bool, failed: Option<bool>) {
    let (mut site, id) = running_site(restartable);
    site.unreachable.push(worker_id(1));
    site.run(18_000);
    assert_eq!(
        site.count(&id, TaskPhase::Running),
        1,
        "only on the unreachable worker"
    );
    assert!(site.reported(|r| *r == Report::WorkerSilent(worker_id(1))));
    site.run(30_000);
    assert_eq!(site.count(&id, TaskPhase::Running), 0);
    assert_eq!(
        site.outcome(&id)
            .map(|o| !matches!(o, JobOutcome::Finished)),
        failed
    );
}

#[test]
fn start_is_aborted_when_a_worker_does_not_answer() {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, false));
    site.unreachable.push(worker_id(1));
    site.feed(Input::Plan(plan(&id, 2, 0)));
    site.run(4_000);
    assert_eq!(*site.phase(&id), JobPhase::Queued);
    let blames =
        |r: &Report| matches!(r, Report::Aborted { blame, .. } if *blame == [worker_id(1)]);
    assert!(site.reported(blames));
    site.unreachable.clear();
    site.run(1_000);
    site.feed(Input::Plan(plan(&id, 2, 0)));
    assert_eq!(
        site.count(&id, TaskPhase::Running),
        2,
        "the job never ran, so it may start again"
    );
}

#[test]
fn write_with_a_lost_answer_is_repeated() {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, false));
    site.lose_reply = true;
    site.feed(Input::Plan(plan(&id, 2, 0)));
    assert_eq!(
        site.count(&id, TaskPhase::Held),
        0,
        "nothing is reserved before the record is known to be durable"
    );
    site.run(1_000);
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
}

#[test]
fn nothing_starts_without_permit_or_when_domain_is_out() {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, false));
    site.feed(Input::Permit {
        until: Millis::ZERO,
    });
    site.feed(Input::Plan(plan(&id, 2, 0)));
    site.run(5_000);
    assert_eq!(site.writes, 0);
    site.permit();
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
    site.feed(Input::DomainOut(true));
    let other = site.submit(job_spec("k", 2, false));
    site.feed(Input::Plan(plan(&other, 2, 1)));
    site.run(1_000);
    assert_eq!(site.count(&other, TaskPhase::Running), 0);
    assert_eq!(
        site.count(&id, TaskPhase::Running),
        2,
        "running gangs are not stopped"
    );
}

#[test]
fn running_gangs_continue_during_a_platform_outage() {
    let (mut site, id) = running_site(false);
    site.store_down = true;
    site.feed(Input::LockSuspect(true));
    let other = site.submit(job_spec("k", 2, true));
    site.feed(Input::Plan(plan(&other, 2, 1)));
    site.run(120_000);
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
    assert_eq!(site.count(&other, TaskPhase::Held), 0);
    site.store_down = false;
    site.feed(Input::LockSuspect(false));
    assert_eq!(site.count(&other, TaskPhase::Running), 2);
}

#[test]
fn fenced_coordinator_makes_no_more_calls() {
    let (mut site, _) = running_site(true);
    for worker in site.workers.values_mut() {
        worker.epoch = base::Epoch(9);
    }
    site.run(7_000);
    assert!(site.reported(|r| matches!(r, Report::Deposed { by: Some(_) })));
    let calls = site.calls;
    site.run(30_000);
    assert_eq!(site.calls, calls);
}

#[test]
fn outcome_of_cancelled_jobs_says_whether_they_ran() {
    let (mut site, ran) = running_site(true);
    let queued = site.submit(job_spec("q", 2, true));
    site.cancel(&ran);
    site.cancel(&queued);
    let outcome = |ran| Some(JobOutcome::Cancelled { ran });
    assert_eq!(site.outcome(&ran), outcome(true).as_ref());
    assert_eq!(site.outcome(&queued), outcome(false).as_ref());
}

#[test]
fn requeued_job_keeps_its_saved_work() {
    let (mut site, id) = running_site(true);
    site.feed(Input::Stop {
        jobs: vec![id.clone()],
        checkpoint: true,
        cause: StopCause::Requeue,
    });
    let (rec, _) = &site.store.records[&id];
    assert_eq!((&rec.phase, rec.saved), (&JobPhase::Queued, Millis(1)));
    assert!(rec.ran);
    assert_eq!(site.count(&id, TaskPhase::Running), 0);
}

#[test]
fn jobs_cancelled_together_cost_one_call_a_worker() {
    let mut site = Site::new(2);
    site.elect(1);
    let name = |i: u32| format!("j{i}");
    let ids: Vec<JobId> = (0..30)
        .map(|i| site.submit(job_spec(&name(i), 2, true)))
        .collect();
    for (i, id) in (0..).zip(&ids) {
        site.feed(Input::Plan(plan(id, 2, i)));
        site.run(200);
    }
    let (calls, writes) = (site.calls, site.writes);
    site.feed(Input::Stop {
        jobs: ids.clone(),
        checkpoint: false,
        cause: StopCause::Cancel,
    });
    site.run(100);
    assert_eq!(site.calls - calls, 2);
    assert_eq!(site.writes - writes, 30);
    assert!(ids.iter().all(|id| site.outcome(id).is_some()));
}

#[test]
fn renewals_cost_one_call_a_worker() {
    let mut site = Site::new(2);
    site.elect(1);
    for i in 0..30 {
        let id = site.submit(job_spec(&format!("j{i}"), 2, true));
        site.feed(Input::Plan(plan(&id, 2, i)));
        site.run(100);
    }
    // Young jobs are polled more often than they are renewed; wait until all are old.
    site.run(60_000);
    let calls = site.calls;
    site.run(60_000);
    assert_eq!(site.calls - calls, 20, "60 s / 6 s for each of 2 workers");
}

#[test]
fn replies_to_unknown_calls_are_ignored() {
    let (mut site, id) = running_site(false);
    for call in 0..20 {
        site.feed(Input::Reply {
            call: sched::CallId(call),
            worker: worker_id(0),
            result: sched::CallResult::Fenced(base::Epoch(9)),
        });
    }
    assert!(site.coord.is_ready());
    assert_eq!(site.count(&id, TaskPhase::Running), 2);
}

/// Guards against a job that crashes its workers for as long as it exists: an attempt that was lost with a
/// worker counted as none.
#[test]
fn a_job_that_crashes_each_worker_is_given_up() {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, true));
    let mut attempts = 0;
    while site.outcome(&id).is_none() && attempts < 20 {
        attempts += 1;
        site.feed(Input::Plan(plan(&id, 2, 0)));
        site.run(100);
        // The worker restarts, and knows nothing of its tasks.
        let crashed = site.workers.get_mut(&worker_id(0)).expect("a worker");
        crashed.tasks.clear();
        site.run(25_000);
        if attempts == 2 {
            site.elect(2);
            site.run(1_000);
        }
    }
    assert_eq!(attempts, 4);
    let outcome = site.outcome(&id).expect("an outcome");
    assert!(matches!(outcome, JobOutcome::Failed { .. }), "{outcome:?}");
}

/// Guards against a job that is given up for losses of workers that are years apart.
#[test]
fn an_attempt_that_ran_for_long_clears_the_losses_before_it() {
    let mut site = Site::new(2);
    site.elect(1);
    let id = site.submit(job_spec("j", 2, true));
    for attempt in 1..=8 {
        site.feed(Input::Plan(plan(&id, 2, 0)));
        site.run(if attempt % 3 == 0 { 60_000 } else { 100 });
        let crashed = site.workers.get_mut(&worker_id(0)).expect("a worker");
        crashed.tasks.clear();
        site.run(25_000);
        assert_eq!(site.outcome(&id), None);
    }
}
