//! What crashes say of a task: on small sites, around hand-overs and on machines that crash often.

mod kit;

use std::net::SocketAddr;

use base::JobId;
use base::Millis;
use batch::crash;
use batch::crash::Crash;
use batch::JobPhase;
use batch::LogKind;
use batch::RunNumber;
use batch::TaskId;
use yare::parameterized;

use kit::crashing::Back;
use kit::crashing::Crashing;
use kit::crashing::DOWN_TIME;
use kit::job;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Most workers that may crash under one task: after three it may be started twice more.
const MOST_CRASHES: usize = 5;

impl Crashing {
    fn crashes_under(&self, id: &JobId) -> usize {
        let own = self.crashes.iter().filter(|(task, _)| task.job == *id);
        own.count()
    }
}

/// Guards against a task that crashes worker after worker because each coordinator takes the crashes before
/// its time for the loss of a failure domain.
#[parameterized(
    back_under_its_id = { Back::SameId },
    back_under_another_id = { Back::OtherId },
)]
fn crashes_before_a_hand_over_count(back: Back) {
    let mut crashing = Crashing::new(6, back);
    let ids: Vec<JobId> = (0..4)
        .map(|num| {
            let small = job(2, vec![step(1, 8, SECOND)], crashing.site.now);
            crashing.site.submit(&format!("guilty-{num}"), small)
        })
        .collect();
    for _ in 0..8 {
        crashing.run(DOWN_TIME - SECOND, |_| true);
        crashing.site.take_over();
        crashing.run(SECOND + SECOND, |_| true);
    }
    crashing.run(Millis(60_000), |_| true);
    for id in ids {
        let crashes = crashing.crashes_under(&id);
        assert!(crashes <= MOST_CRASHES, "{crashes} workers crashed");
        assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
    }
}

/// Guards against a task that crashes worker after worker because all machines have crashed lately.
#[test]
fn crashes_count_where_all_machines_have_crashed() {
    let mut crashing = Crashing::new(6, Back::SameId);
    let other = job(2, vec![step(6, 8, Millis(60_000))], crashing.site.now);
    crashing.site.submit("other", other);
    for num in 0..6 {
        crashing.run(SECOND, |_| false);
        crashing.crash(num);
    }
    crashing.site.cancel(&"other".parse().expect("a job id"));
    crashing.run(DOWN_TIME + SECOND, |_| false);
    let small = job(2, vec![step(1, 1, SECOND)], crashing.site.now);
    let id = crashing.site.submit("guilty", small);
    let is_guilty = |task: &TaskId| task.job == id;
    crashing.run(Millis(50_000), is_guilty);
    let crashes = crashing.crashes_under(&id);
    assert!(crashes <= 3, "{crashes} workers crashed");
    assert_eq!(crashing.phase(&id), Some(JobPhase::Failed));
}

/// A proven crash just after the start, beside other jobs.
fn shared(run: u32) -> Crash {
    Crash {
        run: RunNumber(run),
        worker: format!("w{run}").parse().expect("a worker id"),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], run as u16)),
        age: Some(Millis::ZERO),
        sole: false,
        unsound: false,
        in_group: false,
        proven: true,
    }
}

/// The same alone.
fn alone(run: u32) -> Crash {
    Crash {
        sole: true,
        ..shared(run)
    }
}

/// The same on a machine that has crashed under other jobs.
fn on_unsound(run: u32) -> Crash {
    Crash {
        unsound: true,
        ..alone(run)
    }
}

/// The same together with most of the failure domain.
fn in_group(run: u32) -> Crash {
    Crash {
        in_group: true,
        ..alone(run)
    }
}

/// The same on one machine, whatever the run.
fn on_one(run: u32) -> Crash {
    Crash {
        run: RunNumber(run),
        ..on_unsound(1)
    }
}

/// Which crashes are enough to tell that a task is the cause.
#[parameterized(
    twice_alone = { &[alone, alone], true },
    once_alone_and_once_on_an_unsound_machine = { &[alone, on_unsound], false },
    on_two_unsound_machines = { &[on_unsound, on_unsound], false },
    on_three_unsound_machines = { &[on_unsound, on_unsound, on_unsound], true },
    three_times_on_one_unsound_machine = { &[on_one, on_one, on_one], false },
    three_times_beside_others_then_alone = { &[shared, shared, shared, alone], true },
    three_times_beside_others_then_on_an_unsound_machine = { &[shared, shared, shared, on_unsound], true },
    twice_beside_others_then_alone = { &[shared, shared, alone], false },
    four_times_with_its_domain = { &[in_group, in_group, in_group, in_group], false },
    six_times_with_its_domain = { &[in_group, in_group, in_group, in_group, in_group, in_group], false },
    three_times_with_its_domain_then_alone = { &[in_group, in_group, in_group, alone], false },
    with_its_domain_then_alone_and_beside_others = { &[in_group, in_group, shared, on_unsound], true },
    four_times_with_its_domain_and_once_beside_others = {
        &[in_group, in_group, in_group, in_group, shared], false
    },
    five_times_with_its_domain_or_beside_others = {
        &[in_group, shared, shared, in_group, shared], true
    },
)]
fn crashes_are_weighed(crashes: &[fn(u32) -> Crash], is_cause: bool) {
    let runs = 1..;
    let crashes: Vec<Crash> = runs.zip(crashes).map(|(run, crash)| crash(run)).collect();
    assert_eq!(crash::is_cause(&crashes), is_cause);
}

/// Guards against two crashes that count once: a start that was not answered is sent again under its number,
/// and reaches the next incarnation.
#[test]
fn a_run_that_crashed_two_incarnations_counts_twice() {
    let mut crashes = vec![alone(1)];
    crash::add(
        &mut crashes,
        Crash {
            born: 1,
            ..alone(1)
        },
    );
    crash::add(
        &mut crashes,
        Crash {
            born: 1,
            ..alone(1)
        },
    );
    assert_eq!(crashes.len(), 2);
    assert!(crash::is_cause(&crashes));
}

/// Guards against a crash under a run that its worker started after its restart, and before it reported that.
#[parameterized(
    still_running = { 1_000 },
    ended = { 30 },
)]
fn runs_of_the_present_incarnation_are_not_lost_with_the_one_before(work: u64) {
    let mut crashing = Crashing::new(2, Back::SameId);
    for worker in &mut crashing.site.workers {
        worker.entry_lag = SECOND;
    }
    for num in 0..4 {
        crashing.run(Millis(1_250), |_| false);
        let now = crashing.site.now;
        for worker in &mut crashing.site.workers {
            worker.restart(now);
        }
        let small = job(2, vec![step(2, 8, Millis(work))], now);
        crashing.site.submit(&format!("small-{num}"), small);
        crashing.site.turn();
        assert!(crashing.site.workers.iter().all(|w| !w.runs.is_empty()));
        crashing.run(Millis(200), |_| false);
        let log = crashing.site.scheduler.take_log();
        let mut crashes = log.iter().filter(|e| e.kind == LogKind::WorkerCrashed);
        assert!(
            crashes.all(|e| e.text.contains("; 0 runs were open")),
            "{log:#?}"
        );
        crashing.run(Millis(2_000), |_| false);
    }
}
