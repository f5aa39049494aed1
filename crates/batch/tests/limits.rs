//! What an organisation may have running is never exceeded, whatever fails, and the rest of its work
//! goes on.

mod kit;

use base::Millis;
use batch::ActiveRun;
use batch::JobPhase;
use batch::LogKind;
use batch::OddRows;
use batch::Report;
use batch::Resources;
use batch::RunNumber;
use batch::StepSpec;
use batch::TaskId;
use rand::RngExt;
use yare::parameterized;

use kit::job;
use kit::job_of;
use kit::limits::limited;
use kit::limits::org;
use kit::limits::weighted;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);

/// Length of the work that is in the way.
const LONG: Millis = Millis(20_000);

/// A site whose organisations may each have this many accelerators in use.
fn site(workers: usize, accels: u64, faults: Faults) -> Site {
    let mut site = Site::new(workers, 17, faults);
    site.scheduler.configure(&limited(2, accels));
    site
}

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// Runs the site and checks at each turn that what runs stays within the limit.
fn run_within(site: &mut Site, span: Millis, accels: u64) {
    let end = site.now + span;
    while site.now < end {
        site.turn();
        site.check_counted(false);
        for name in ["board", "clinic"] {
            let runs = site.running_of(&org(name));
            assert!(runs.accels <= accels, "{name} runs {runs} at {}", site.now);
        }
    }
}

/// Guards against a wide step that starts all its tasks at once, or that waits until they all fit.
#[test]
fn a_step_wider_than_the_limit_runs_in_waves() {
    let mut site = site(8, 10, Faults::default());
    let id = site.submit("a", job(1, vec![step(35, 1, SECOND)], site.now));
    run_within(&mut site, Millis(500), 10);
    assert_eq!(site.running_of(&org("board")).accels, 10);
    run_within(&mut site, Millis(6_000), 10);
    assert!(site.is_done(&id));
}

/// Guards against a gang of which only the part within the limit starts.
#[test]
fn gangs_that_fit_one_at_a_time_run_one_after_the_other() {
    let mut site = site(8, 10, Faults::default());
    let ids = ["a", "b", "c"].map(|name| {
        let submitted = job(1, vec![gang(6, 1, SECOND)], site.now);
        site.submit(name, submitted)
    });
    run_within(&mut site, Millis(6_000), 10);
    assert!(ids.iter().all(|id| site.is_done(id)));
}

/// Guards against a limit of one organisation that holds another back.
#[test]
fn each_organisation_has_its_own_limit() {
    let mut site = site(8, 8, Faults::default());
    for name in ["board", "clinic"] {
        let submitted = job_of(name, 1, vec![step(30, 1, LONG)], site.now);
        site.submit(name, submitted);
    }
    site.run(SECOND);
    let runs = ["board", "clinic"].map(|name| site.running_of(&org(name)).accels);
    assert_eq!(runs, [8, 8]);
}

/// Guards against small tasks that take all room under the limit as it becomes free, so that a gang
/// of the same organisation never starts.
#[test]
fn a_gang_is_not_starved_by_small_tasks_of_its_organisation() {
    let mut site = site(8, 8, Faults::default());
    // What runs ends one by one.
    for num in 0..8 {
        let submitted = job(1, vec![step(1, 1, Millis(600 + 100 * num))], site.now);
        site.submit(&format!("first{num}"), submitted);
    }
    site.run(Millis(100));
    let id = site.submit("gang", job(1, vec![gang(8, 1, SECOND)], site.now));
    // Twice as much work as may run.
    for num in 0..32 {
        let submitted = job(1, vec![step(2, 1, SECOND)], site.now);
        site.submit(&format!("small{num}"), submitted);
        run_within(&mut site, Millis(125), 8);
    }
    assert!(site.is_done(&id));
}

/// A limit may be lower than what runs: nothing is stopped and nothing starts.
#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing() {
    let mut site = site(8, 20, Faults::default());
    site.submit("a", job(1, vec![step(16, 1, Millis(3_000))], site.now));
    site.run(SECOND);
    let before = site.all_runs();
    site.scheduler.configure(&limited(3, 4));
    site.submit("b", job(1, vec![step(4, 1, SECOND)], site.now));
    site.run(SECOND);
    assert_eq!((before.len(), site.all_runs()), (16, before));
}

#[test]
fn a_raised_limit_takes_effect_at_once() {
    let mut site = site(8, 2, Faults::default());
    site.submit("a", job(1, vec![step(16, 1, LONG)], site.now));
    site.run(SECOND);
    assert_eq!(site.running_of(&org("board")).accels, 2);
    site.scheduler.configure(&limited(3, 12));
    site.run(Millis(100));
    assert_eq!(site.running_of(&org("board")).accels, 12);
}

/// Guards against starts that were planned under a higher limit and are sent under a lower one.
#[parameterized(tasks = { false, 4 }, whole_gang = { true, 0 })]
fn a_start_in_flight_counts_by_the_limit_when_it_is_sent(is_gang: bool, sent: usize) {
    let mut site = site(8, 10, Faults::default());
    site.run(Millis(200));
    let spec = StepSpec {
        gang: is_gang,
        ..step(8, 1, LONG)
    };
    let submitted = job(1, vec![spec], site.now);
    site.submit("a", submitted);
    site.scheduler.plan(site.now, site.now);
    let pending = site.scheduler.take_pending();
    site.scheduler.configure(&limited(3, 4));
    let starts = site.scheduler.records_stored(pending, site.now);
    assert_eq!(starts.len(), sent);
    assert_eq!(site.counted(&org("board")).accels, sent as u64);
}

/// A coordinator that is suspended between a plan and the answer of the store sends none of it.
#[test]
fn a_coordinator_that_was_suspended_sends_no_outdated_start() {
    let mut site = site(8, 10, Faults::default());
    site.run(Millis(200));
    let submitted = job(1, vec![step(8, 1, LONG)], site.now);
    site.submit("a", submitted);
    site.scheduler.plan(site.now, site.now);
    let pending = site.scheduler.take_pending();
    site.now += Millis(3_000);
    assert!(site.scheduler.records_stored(pending, site.now).is_empty());
    assert_eq!(site.counted(&org("board")), Resources::default());
    run_within(&mut site, SECOND, 10);
    assert_eq!(site.running_of(&org("board")).accels, 8);
}

/// Guards against a successor that does not count starts that its predecessor has recorded, whose
/// answers it never gets.
#[test]
fn starts_without_an_answer_count_after_a_hand_over() {
    let faults = Faults {
        slow: 100,
        ..Faults::default()
    };
    let mut site = site(8, 10, faults);
    let id = site.submit("a", job(1, vec![step(40, 1, SECOND)], site.now));
    for _ in 0..6 {
        run_within(&mut site, Millis(310), 10);
        site.take_over();
        site.scheduler.configure(&limited(2, 10));
    }
    site.faults = Faults::default();
    run_within(&mut site, Millis(12_000), 10);
    assert!(site.is_done(&id));
}

/// Guards against tasks that start in place of those whose start arrives seconds late.
#[test]
fn a_start_that_arrives_late_still_counts() {
    let faults = Faults {
        late_requests: 300,
        lost: 200,
        ..Faults::default()
    };
    let mut site = site(8, 10, faults);
    let ids: Vec<_> = (0..20)
        .map(|num| {
            let submitted = job(1, vec![step(5, 1, SECOND)], site.now);
            site.submit(&format!("j{num}"), submitted)
        })
        .collect();
    run_within(&mut site, Millis(20_000), 10);
    site.faults = Faults::default();
    run_within(&mut site, Millis(20_000), 10);
    assert!(ids.iter().all(|id| site.is_done(id)));
}

/// Guards against tasks that start in place of those on a worker that is out of reach and runs on.
#[test]
fn runs_on_a_worker_out_of_reach_count_until_its_lease_ends() {
    let mut site = site(4, 12, Faults::default());
    let id = site.submit("a", job(1, vec![step(24, 1, Millis(8_000))], site.now));
    run_within(&mut site, SECOND, 12);
    let lost = site.workers.iter_mut().find(|w| !w.runs.is_empty());
    let lost = lost.expect("a worker in use");
    (lost.reachable, lost.listed) = (false, false);
    run_within(&mut site, Millis(4_000), 12);
    assert_eq!(site.counted(&org("board")).accels, 12);
    run_within(&mut site, Millis(40_000), 12);
    assert!(site.is_done(&id));
}

/// Nothing starts while the store does not take records, and nothing of it counts twice after.
#[test]
fn an_outage_of_the_store_loses_no_count() {
    let mut site = site(8, 10, Faults::default());
    let id = site.submit("a", job(1, vec![step(40, 1, SECOND)], site.now));
    run_within(&mut site, Millis(500), 10);
    site.faults.store = 1_000;
    run_within(&mut site, Millis(4_000), 10);
    site.faults.store = 0;
    run_within(&mut site, Millis(8_000), 10);
    site.check_counted(true);
    assert!(site.is_done(&id));
}

/// Guards against runs that a worker reports, that are not wanted there and that nobody counts.
#[test]
fn an_unwanted_run_counts_until_it_is_gone() {
    let mut site = site(8, 4, Faults::default());
    site.run(Millis(200));
    let submitted = job(1, vec![step(4, 1, LONG)], site.now);
    let id = site.submit("a", submitted);
    let unwanted = ActiveRun {
        task: TaskId {
            job: id,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: RunNumber(7),
        saved: String::new(),
        percent: 10,
        load: None,
    };
    let worker = (site.workers[0].id.clone(), site.workers[0].born);
    let report = |running: Vec<ActiveRun>, now: Millis| Report {
        born: Some(worker.1 .0),
        clock: (now - worker.1).0,
        running,
        ended: Vec::new(),
        odd: OddRows::default(),
    };
    let mut starts = |running: Vec<ActiveRun>| {
        let now = site.now;
        site.scheduler
            .report(&worker.0, report(running, now), now, now);
        site.scheduler.plan(now, now);
        let pending = site.scheduler.take_pending();
        site.scheduler.records_stored(pending, now).len()
    };
    assert_eq!(starts(vec![unwanted]), 3);
    assert_eq!(starts(Vec::new()), 1);
}

/// Guards against a guarantee that work of the same organisation keeps from starting: it holds all
/// that the organisation may have running.
#[parameterized(work_that_ends = { false }, work_that_lasts = { true })]
fn a_guaranteed_job_displaces_work_of_its_own_organisation_under_the_limit(lasting: bool) {
    let mut site = site(8, 24, Faults::default());
    for num in 0..6 {
        let spec = StepSpec {
            lasting,
            ..step(4, 2, LONG)
        };
        let submitted = job(1, vec![spec], site.now);
        site.submit(&format!("filler{num}"), submitted);
    }
    run_within(&mut site, SECOND, 24);
    assert_eq!(site.running_of(&org("board")).accels, 24);
    let submitted = job(0, vec![gang(2, 8, SECOND)], site.now);
    let id = site.submit("guaranteed", submitted);
    let accepted = site.now;
    let starts = |site: &Site| site.all_runs().iter().filter(|(t, _)| t.job == id).count();
    while starts(&site) < 2 && site.now < accepted + BOUNDS.reclaim {
        run_within(&mut site, Millis(10), 24);
    }
    assert_eq!(starts(&site), 2, "tasks that run in time");
}

/// Guards against stopping the work of others for a step that its organisation's limit holds back.
#[test]
fn nothing_of_another_organisation_is_stopped_for_a_step_over_the_limit() {
    let mut site = site(4, 16, Faults::default());
    let other = job_of("clinic", 1, vec![step(8, 2, LONG)], site.now);
    let other = site.submit("other", other);
    site.run(Millis(300));
    let own = job(0, vec![step(2, 8, LONG)], site.now);
    site.submit("own", own);
    site.run(Millis(300));
    let next = job(0, vec![gang(2, 8, SECOND)], site.now);
    site.submit("next", next);
    site.run(Millis(3_000));
    let left = site
        .all_runs()
        .iter()
        .filter(|(t, _)| t.job == other)
        .count();
    assert_eq!(left, 8, "runs of the other organisation");
}

/// Best-effort tasks count with the processor time that they ask for.
#[test]
fn best_effort_tasks_count_in_full() {
    let mut site = Site::new(8, 17, Faults::default());
    let mut catalog = limited(2, 0);
    catalog.orgs[0].limit.0.cpu = 10_000;
    site.scheduler.configure(&catalog);
    let fills = StepSpec {
        fills: true,
        ..step(20, 0, LONG)
    };
    site.submit("a", job(1, vec![fills], site.now));
    site.run(SECOND);
    assert_eq!(site.running_of(&org("board")).cpu, 10_000);
}

/// The limit was lowered below a gang that is accepted: it waits, with one line in the log, and starts
/// once the limit allows it.
#[test]
fn a_gang_over_a_lowered_limit_waits_and_is_logged() {
    let mut site = site(8, 4, Faults::default());
    let submitted = job(1, vec![gang(6, 1, SECOND)], site.now);
    let id = site.submit("a", submitted.clone());
    site.run(Millis(3_000));
    let log = site.scheduler.take_log();
    let held: Vec<_> = log
        .iter()
        .filter(|e| e.kind == LogKind::LimitReached)
        .collect();
    assert_eq!(held.len(), 1);
    assert!(held[0].text.contains("can never start under this limit"));
    assert_eq!(site.scheduler.org_states()[0].held, 1);
    site.scheduler.configure(&limited(3, 5));
    let log = site.scheduler.take_log();
    assert!(log.iter().any(|e| e.kind == LogKind::LimitTooLow));
    site.scheduler.configure(&limited(4, 8));
    site.run(Millis(2_000));
    assert!(site.is_done(&id));
}

/// What a caller is told of a job that can never run under the limit.
#[parameterized(
    gang_too_wide = { gang(6, 2, SECOND), true },
    gang_that_fits = { gang(4, 2, SECOND), false },
    task_too_large = { step(1, 9, SECOND), true },
    wide_step = { step(100, 1, SECOND), false },
)]
fn a_job_that_never_fits_is_told_so(spec: StepSpec, refused: bool) {
    let submitted = job(1, vec![step(1, 1, SECOND), spec], Millis(0));
    let why = limited(2, 8).over_limit(&submitted);
    assert_eq!(why.is_some(), refused, "{why:?}");
    assert!(why.is_none_or(|w| w.starts_with("step 1: ") && w.contains("limit of board")));
}

/// Configurations without limits and weights change nothing, and state that is older than a change of
/// the configuration may be holds starts only where there are some. Failure: while a version without any limit
/// was in force, starts went on for seconds after the next one had set a limit.
#[test]
fn documents_may_be_no_older_than_a_lowered_limit() {
    assert!(limited(2, 1).may_limit());
    assert!(!limited(2, 0).may_limit());
    assert!(weighted(2, &[("board", Some(1.0))]).may_limit());
    assert!(!weighted(2, &[("board", None)]).may_limit());
    let ages = BOUNDS.derive().start_ages;
    assert!(ages.limits < BOUNDS.config_apply);
    assert!(ages.limits > BOUNDS.derive().watch_wait);
}

/// All faults at random, with hand-overs and changing limits. No start brings an organisation above
/// the highest limit that may be in force, and the coordinator counts at least what runs.
#[parameterized(a = { 1 }, b = { 2 }, c = { 3 }, d = { 4 }, e = { 5 }, f = { 6 })]
fn no_fault_brings_an_organisation_above_its_limit(seed: u64) {
    let faults = Faults {
        lost: 20,
        unanswered: 30,
        late_requests: 20,
        store: 30,
        fail: 20,
        slow: 5,
    };
    let mut site = Site::new(8, seed, faults);
    let mut catalog = limited(2, 24);
    site.scheduler.configure(&catalog);
    // Each change of the limit, with the time from which it was in force.
    let mut limits = vec![(Millis::ZERO, 24)];
    let mut ids = Vec::new();
    for turn in 0..6_000_u64 {
        let now = site.now;
        if turn % 20 == 0 && turn < 4_000 {
            let is_gang = site.rng.random_range(0..3) == 0;
            let spec = StepSpec {
                gang: is_gang,
                ..step(
                    site.rng.random_range(1..7),
                    site.rng.random_range(1..3),
                    Millis(site.rng.random_range(50..2_000)),
                )
            };
            let name = ["board", "clinic"][site.rng.random_range(0..2)];
            let priority = site.rng.random_range(0..3);
            let submitted = job_of(name, priority, vec![spec], now);
            ids.push(site.submit(&format!("j{turn}"), submitted));
        }
        if turn % 700 == 699 {
            let accels = site.rng.random_range(12..32);
            catalog = limited(catalog.version + 1, accels);
            site.scheduler.configure(&catalog);
            limits.push((now, accels));
        }
        let num = site.rng.random_range(0..site.workers.len());
        match site.rng.random_range(0..200) {
            0 => site.workers[num].reachable = false,
            1 => site.workers[num].restart(now),
            2 => site.workers[num].hangs = true,
            3..8 => (site.workers[num].reachable, site.workers[num].hangs) = (true, false),
            _ => {}
        }
        if turn % 450 == 449 {
            site.take_over();
            site.scheduler.configure(&catalog);
        }
        let before = site.all_runs();
        site.turn();
        site.check_counted(false);
        // A limit may be in force until a start that was sent under it has arrived or is refused.
        let old = limits.partition_point(|(at, _)| *at + Millis(10_000) < site.now);
        let most = limits[old.saturating_sub(1)..]
            .iter()
            .map(|(_, accels)| *accels)
            .max();
        for name in ["board", "clinic"] {
            let runs = site.running_of(&org(name)).accels;
            let starts = site.all_runs().difference(&before).count() > 0;
            assert!(
                !starts || runs <= most.unwrap_or(0),
                "{name} runs {runs} of {most:?} at {}",
                site.now
            );
        }
    }
    site.faults = Faults::default();
    site.workers
        .iter_mut()
        .for_each(|w| (w.reachable, w.hangs) = (true, false));
    site.run(Millis(60_000));
    for id in ids {
        assert!(
            site.phase_shown(&id).is_some_and(JobPhase::is_final),
            "{id}"
        );
    }
    site.check_counted(true);
    assert_eq!(site.counted(&org("board")), Resources::default());
}
