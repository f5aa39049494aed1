//! The scheduler against tasks that crash the workers that start them.

mod kit;

use std::net::SocketAddr;

use base::JobId;
use base::Millis;
use batch::crash;
use batch::crash::Crash;
use batch::JobPhase;
use batch::Progress;
use batch::RunNumber;
use batch::TaskId;
use yare::parameterized;

use kit::crashing::Back;
use kit::crashing::Crashing;
use kit::crashing::DOWN_TIME;
use kit::job;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Most workers that may crash under one task where one coordinator sees them all.
const MAX_CRASHES: usize = 3;

/// Most workers that may crash under one task in any case: after three it may be started twice more.
const MOST_CRASHES: usize = 5;

/// Guards against a task that crashes one worker after the other for as long as its job exists: a run
/// that ends with its worker counted as no attempt.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn a_task_that_crashes_its_workers_is_given_up(back: Back) {
    let mut crashing = Crashing::new(8, back);
    let now = crashing.site.now;
    let sound = job(2, vec![step(24, 1, Millis(4_000))], now);
    let sound = crashing.site.submit("sound", sound);
    let guilty = job(2, vec![step(1, 1, SECOND)], now);
    let guilty = crashing.site.submit("guilty", guilty);
    crashing.run(Millis(60_000), |task| task.job == guilty);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
    assert_eq!(crashing.phase(&sound), Some(JobPhase::Completed));
}

/// Guards against crashes that only the coordinator's memory counts: the next coordinator began at zero.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn crashes_are_not_forgotten_by_a_new_coordinator(back: Back) {
    let mut crashing = Crashing::new(8, back);
    let (sound, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    for crash in 1..=2 {
        crashing.run_until_crashes(crash, is_guilty);
        // The worker is back and the crash is recorded.
        crashing.run(DOWN_TIME + SECOND, is_guilty);
        crashing.site.take_over();
    }
    crashing.run(Millis(40_000), is_guilty);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MOST_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
    assert_eq!(crashing.phase(&sound), Some(JobPhase::Completed));
}

/// Guards against a coordinator that dies before the crash is known, each time.
#[test]
fn a_task_that_outlives_coordinators_is_given_up_all_the_same() {
    let mut crashing = Crashing::new(8, Back::SameId);
    let (_, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    for crash in 1..=MAX_CRASHES {
        crashing.run_until_crashes(crash, is_guilty);
        crashing.run(SECOND, is_guilty);
        crashing.site.take_over();
    }
    crashing.run(Millis(40_000), is_guilty);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MOST_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
}

/// Guards against a second worker that is lost together with tasks of other jobs: a suspect runs alone.
#[test]
fn a_suspect_shares_no_worker_with_other_jobs() {
    let mut crashing = Crashing::new(8, Back::OtherId);
    let (sound, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    crashing.run_until_crashes(1, is_guilty);
    while crashing.crashes.len() == 1 {
        crashing.run(Millis(10), is_guilty);
        let on_workers = crashing.jobs_on_workers();
        let mut with_guilty = on_workers.iter().filter(|jobs| jobs.contains(&guilty));
        assert!(with_guilty.all(|jobs| jobs.len() == 1), "{on_workers:?}");
    }
    crashing.run(Millis(20_000), is_guilty);
    assert!(crashing.crashes.len() <= MAX_CRASHES);
    assert_eq!(crashing.phase(&sound), Some(JobPhase::Completed));
}

/// Guards against a job that is given up for a crash that another one has caused: both had just started on
/// the worker.
#[test]
fn a_job_is_given_up_for_crashes_of_its_own_only() {
    for others in 1..8 {
        let mut crashing = Crashing::new(8, Back::OtherId);
        let now = crashing.site.now;
        let ids: Vec<JobId> = (0..=others)
            .map(|num| {
                let small = job(2, vec![step(1, 1, SECOND)], now);
                crashing.site.submit(&format!("guilty-{num}"), small)
            })
            .collect();
        crashing.run(Millis(60_000), |_| true);
        for id in ids {
            assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
            let own = crashing.crashes.iter().filter(|(task, _)| task.job == id);
            let own = own.count();
            assert!((2..=MOST_CRASHES).contains(&own), "{own} workers crashed");
        }
    }
}

/// Guards against a gang, a long-running task or a further occurrence that goes on crashing workers.
#[parameterized(
    gang = { true, false },
    long_running = { false, true },
)]
fn any_kind_of_task_that_crashes_workers_is_given_up(gang: bool, lasting: bool) {
    let mut crashing = Crashing::new(12, Back::OtherId);
    let length = if lasting { Millis(600_000) } else { SECOND };
    let mut guilty = step(6, 4, length);
    guilty.gang = gang;
    guilty.lasting = lasting;
    let (sound, guilty) = crashing.submit_pair(guilty);
    crashing.run(Millis(60_000), |task| task.job == guilty && task.index == 0);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
    assert_eq!(crashing.phase(&sound), Some(JobPhase::Completed));
}

#[test]
fn no_occurrence_starts_after_the_job_was_given_up() {
    let mut crashing = Crashing::new(8, Back::OtherId);
    let now = crashing.site.now;
    let mut submitted = job(2, vec![step(1, 1, SECOND)], now);
    submitted.work.schedule = Some(batch::Schedule {
        start: now,
        interval: Millis(20_000),
        runs: 5,
    });
    let id = crashing.site.submit("scheduled", submitted);
    crashing.run(Millis(120_000), |_| true);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
}

/// Guards against sound jobs that are given up because the power of their failure domain fails again and
/// again.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn a_failure_domain_that_loses_power_makes_no_task_suspect(back: Back) {
    let mut crashing = Crashing::new(16, back);
    let long = job(2, vec![step(40, 1, Millis(9_000))], crashing.site.now);
    let id = crashing.site.submit("long", long);
    for _ in 0..6 {
        crashing.run(Millis(2_000), |_| false);
        let domain = crashing.site.workers[0].domain.clone();
        let lost = crashing.site.workers.iter().enumerate();
        let lost: Vec<usize> = lost
            .filter(|(_, w)| w.domain == domain)
            .map(|(num, _)| num)
            .collect();
        lost.into_iter().for_each(|num| crashing.crash(num));
        crashing.run(DOWN_TIME, |_| false);
    }
    crashing.run(Millis(30_000), |_| false);
    assert_eq!(crashing.phase(&id), Some(JobPhase::Completed));
}

/// Guards against crashes of several tasks that are taken for the loss of a small failure domain, so that
/// none of the tasks is given up.
#[test]
fn workers_of_a_small_domain_that_crash_in_turn_are_not_lost_together() {
    let mut crashing = Crashing::new(6, Back::SameId);
    let now = crashing.site.now;
    for num in 0..6 {
        let whole = job(2, vec![step(1, 8, Millis(30_000))], now);
        crashing.site.submit(&format!("whole-{num}"), whole);
    }
    crashing.run(Millis(300), |_| false);
    let first = crashing.site.workers[0].domain.clone();
    for num in (0..6).filter(|num| num % 2 == 0) {
        assert_eq!(crashing.site.workers[num].domain, first);
        crashing.crash(num);
        crashing.run(Millis(700), |_| false);
    }
    crashing.run(DOWN_TIME, |_| false);
    let suspects = crashing.site.scheduler.overview(crashing.site.now).suspects;
    assert!(
        !suspects.is_empty(),
        "each of the three was taken for the domain"
    );
}

/// Guards against a job that is given up for the crashes of one bad machine: it crashes whatever runs.
#[test]
fn a_machine_that_crashes_under_everything_takes_no_job_with_it() {
    let mut crashing = Crashing::new(6, Back::OtherId);
    let now = crashing.site.now;
    let jobs: Vec<JobId> = (0..12)
        .map(|num| {
            let small = job(2, vec![step(2, 1, Millis(2_000))], now);
            crashing.site.submit(&format!("small-{num}"), small)
        })
        .collect();
    for _ in 0..12 {
        crashing.run(SECOND, |_| false);
        if crashing.site.workers[0].up {
            crashing.crash(0);
        }
        crashing.run(Millis(3_500), |_| false);
    }
    for id in jobs {
        assert_eq!(crashing.phase(&id), Some(JobPhase::Completed));
    }
}

/// Guards against work that waits for a lease although its worker is known to have ended.
#[test]
fn runs_of_a_crashed_worker_start_again_once_another_is_in_its_place() {
    let mut crashing = Crashing::new(2, Back::OtherId);
    let long = job(2, vec![step(1, 8, Millis(20_000))], crashing.site.now);
    crashing.site.submit("long", long);
    crashing.run(Millis(12_000), |_| false);
    let used = |w: &kit::worker::FakeWorker| !w.runs.is_empty();
    let num = crashing.site.workers.iter().position(used).expect("a run");
    crashing.crash(num);
    crashing.run(DOWN_TIME + Millis(300), |_| false);
    let mut up = crashing.site.workers.iter().filter(|w| w.up);
    assert!(up.any(used), "its lease has not expired yet");
}

/// Guards against a job that is given up because its workers were cut off: silence is no crash.
#[test]
fn workers_that_are_only_silent_count_as_no_crash() {
    let mut crashing = Crashing::new(8, Back::SameId);
    let lone = job(2, vec![step(1, 8, Millis(7_000))], crashing.site.now);
    let id = crashing.site.submit("lone", lone);
    for _ in 0..4 {
        crashing.run(SECOND, |_| false);
        let holds = |w: &&mut kit::worker::FakeWorker| w.reachable && !w.runs.is_empty();
        if let Some(worker) = crashing.site.workers.iter_mut().find(holds) {
            worker.reachable = false;
        }
        crashing.run(Millis(7_000), |_| false);
        crashing
            .site
            .workers
            .iter_mut()
            .for_each(|w| w.reachable = true);
    }
    crashing.run(Millis(15_000), |_| false);
    assert_eq!(crashing.phase(&id), Some(JobPhase::Completed));
}

/// Guards against a start that is sent before the crashes that hold it back are stored.
#[test]
fn crashes_are_recorded_in_an_unreliable_store() {
    let mut crashing = Crashing::new(8, Back::OtherId);
    crashing.site.faults.store = 300;
    let (_, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    for crash in 1..=2 {
        crashing.run_until_crashes(crash, is_guilty);
        crashing.run(DOWN_TIME + SECOND, is_guilty);
        crashing.site.take_over();
    }
    crashing.run(Millis(40_000), is_guilty);
    let crashes = crashing.crashes.len();
    assert!(crashes <= MOST_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
}

/// Guards against a task that is cleared by a start that waits for the store: it has not run.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn a_start_that_is_not_sent_clears_no_suspect(back: Back) {
    let mut crashing = Crashing::new(8, back);
    let (_, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    for _ in 0..2 * MOST_CRASHES {
        let before = crashing.crashes.len();
        for _ in 0..1_000 {
            if crashing.crashes.len() > before {
                break;
            }
            crashing.run(Millis(10), is_guilty);
        }
        crashing.site.faults.store = 1_000;
        crashing.run(DOWN_TIME + Millis(4_000), is_guilty);
        crashing.site.faults.store = 0;
    }
    let crashes = crashing.crashes.len();
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&guilty), Some(JobPhase::Failed));
}

fn crash_of(run: u32, age: Option<u64>, sole: bool, proven: bool) -> Crash {
    Crash {
        run: RunNumber(run),
        worker: format!("w{run}").parse().expect("a worker id"),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], run as u16)),
        age: age.map(Millis),
        sole,
        unsound: false,
        in_group: false,
        proven,
    }
}

/// What the crashes under a task say of it: whether it is a suspect, and whether it is the cause.
#[parameterized(
    out_of_reach = { &[(Some(0), true, false)], false, false },
    after_running_well = { &[(Some(4_000), false, true)], false, false },
    just_started = { &[(Some(0), false, true)], true, false },
    inherited = { &[(None, false, true)], false, false },
    twice_beside_others = { &[(Some(0), false, true), (Some(0), false, true)], true, false },
    beside_others_then_alone = { &[(Some(0), false, true), (Some(0), true, true)], true, false },
    twice_alone = { &[(Some(0), true, true), (Some(0), true, true)], true, true },
    second_is_not_proven = { &[(Some(0), true, true), (Some(0), true, false)], true, false },
    late_and_alone = { &[(Some(4_000), true, true), (Some(4_000), true, true)], true, false },
    three_times_alone = {
        &[(Some(4_000), true, true), (None, true, true), (Some(0), true, true)], true, true
    },
    four_times_beside_others = { &[(Some(0), false, true); 4], true, false },
    five_times_beside_others = { &[(Some(0), false, true); 5], true, true },
)]
fn crashes_are_attributed(crashes: &[(Option<u64>, bool, bool)], is_suspect: bool, is_cause: bool) {
    let crashes = crashes.iter().enumerate();
    let crashes =
        crashes.map(|(num, (age, sole, proven))| crash_of(num as u32 + 1, *age, *sole, *proven));
    let crashes: Vec<Crash> = crashes.collect();
    assert_eq!(crash::is_suspect(&crashes), is_suspect);
    assert_eq!(crash::is_cause(&crashes), is_cause);
}

#[test]
fn crashes_are_read_back_from_a_record() {
    let mut crashing = Crashing::new(8, Back::OtherId);
    let (_, guilty) = crashing.submit_pair(step(1, 1, SECOND));
    let is_guilty = |task: &TaskId| task.job == guilty;
    crashing.run_until_crashes(1, is_guilty);
    let later = job(2, vec![step(1, 1, SECOND)], crashing.site.now);
    let later = crashing.site.submit("later", later);
    crashing.run(DOWN_TIME + SECOND, is_guilty);
    let encoded = |id: &JobId| {
        let progress = crashing.site.stored[id].1.clone().expect("a record");
        let bytes = progress.encode().expect("an encoded record");
        assert_eq!(Progress::decode(&bytes).expect("a record"), progress);
        String::from_utf8_lossy(&bytes).into_owned()
    };
    assert!(encoded(&guilty).contains("crashes"));
    // Other records are as they were before there was this field.
    assert!(!encoded(&later).contains("crashes"));
}

/// Guards against a record that grows with each cut link for as long as a job exists.
#[test]
fn the_number_of_losses_kept_for_a_task_is_bounded() {
    let mut crashes = vec![crash_of(1, Some(0), false, true)];
    for run in 2..50 {
        crash::add(&mut crashes, crash_of(run, Some(0), false, false));
    }
    assert_eq!(crashes.len(), 8);
    assert!(crashes[0].proven, "what is proven is kept");
    crash::add(&mut crashes, crash_of(49, Some(0), false, true));
    assert_eq!(crashes.len(), 8);
    assert!(crashes.last().is_some_and(|c| c.proven));
}
