//! Accounts of the time of urgent jobs and of the work of runs without a result.

mod kit;

use base::JobId;
use base::Millis;
use batch::account::EndedJob;
use batch::account::LossCause;
use batch::account::LostRun;
use batch::account::Outcome;
use batch::account::Stage;
use batch::LogDetail;
use batch::StepSpec;
use rand::RngExt;

use kit::job;
use kit::job_of;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);

/// Most by which the sum of the stages may be off: the time between two passes.
const ROUNDING: Millis = Millis(20);

#[derive(Default)]
struct Accounts {
    ended: Vec<(JobId, EndedJob)>,
    lost: Vec<LostRun>,
}

impl Accounts {
    fn take(&mut self, site: &mut Site) {
        for entry in site.scheduler.take_log() {
            match entry.detail {
                Some(LogDetail::EndedJob(ended)) => {
                    self.ended.push((entry.job.expect("a job"), ended));
                }
                Some(LogDetail::LostRun(lost)) => self.lost.push(lost),
                Some(LogDetail::IdleWait(_)) | None => {}
            }
        }
    }

    fn stage(&self, id: &JobId, stage: Stage) -> Millis {
        let (_, ended) = self.ended.iter().find(|(job, _)| job == id).expect("ended");
        let found = ended.stages.iter().find(|(s, _)| *s == stage);
        found.map_or(Millis::ZERO, |(_, span)| *span)
    }
}

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

fn run(site: &mut Site, span: Millis) -> Accounts {
    let mut accounts = Accounts::default();
    let end = site.now + span;
    while site.now < end {
        site.turn();
        accounts.take(site);
    }
    accounts
}

/// Guards against an urgent job that is late because of the stops made for it, while nothing says so.
#[test]
fn waiting_for_stopped_runs_shows_as_grace() {
    let mut site = Site::new(2, 1, Faults::default());
    site.run(SECOND);
    site.submit("loose", job(2, vec![step(2, 8, Millis(20_000))], site.now));
    site.run(SECOND);
    let urgent = site.submit("urgent", job(0, vec![gang(2, 8, SECOND)], site.now));
    let accounts = run(&mut site, Millis(4_000));
    let grace = accounts.stage(&urgent, Stage::Grace);
    let takes = Millis(BOUNDS.stop_grace.0 / 2);
    assert!(
        grace + ROUNDING >= takes,
        "the workers take {takes}, not {grace}"
    );
    assert_eq!(accounts.stage(&urgent, Stage::Room), Millis::ZERO);
    assert_eq!(accounts.lost.len(), 2);
    for lost in &accounts.lost {
        assert_eq!(lost.loss.cause, LossCause::Urgent);
        assert_eq!(lost.loss.room_for.as_ref(), Some(&urgent));
        // 2 cores and 8 accelerators, which count as 8 cores each, for about 1.4 s.
        assert!((66_000..=110_000).contains(&lost.work), "{}", lost.work);
    }
}

/// Guards against a sum of stopped work that holds the weight by which urgent work is stopped last.
#[test]
fn urgent_work_that_is_stopped_counts_as_what_it_is() {
    let mut site = Site::new(3, 1, Faults::default());
    site.run(SECOND);
    for num in 0..3 {
        let work = step(1, 8, Millis(20_000));
        site.submit(
            &format!("board{num}"),
            job_of("board", 0, vec![work], site.now),
        );
    }
    site.run(SECOND);
    let claim = job_of("clinic", 0, vec![step(1, 8, SECOND)], site.now);
    let claim = site.submit("claim", claim);
    let accounts = run(&mut site, Millis(6_000));
    let found = accounts.ended.iter().find(|(job, _)| *job == claim);
    let (_, ended) = found.expect("it takes the room of the third one");
    assert_eq!(ended.stopped_runs, 1);
    // 2 cores and 8 accelerators, which count as 8 cores each, for some seconds.
    let work = ended.stopped_work;
    assert!((66_000..400_000).contains(&work), "{work}");
}

/// Guards against work lost with a gang that counts as if each member had failed by itself.
#[test]
fn members_of_a_broken_gang_are_told_from_the_one_that_failed() {
    let mut site = Site::new(2, 1, Faults::default());
    site.workers[0].fails = true;
    site.run(SECOND);
    let urgent = site.submit("urgent", job(0, vec![gang(2, 8, SECOND)], site.now));
    let mut accounts = run(&mut site, Millis(2_500));
    let of = |member: bool| {
        accounts
            .lost
            .iter()
            .filter(move |l| l.loss.member == member)
    };
    assert!(of(false).all(|l| l.loss.cause == LossCause::Failed));
    assert!(of(false).count() > 0 && of(true).count() > 0);
    site.workers[0].fails = false;
    let later = run(&mut site, Millis(20_000));
    accounts.ended.extend(later.ended);
    assert!(accounts.stage(&urgent, Stage::Lost) > Millis::ZERO);
}

/// Guards against time of a job that no stage has, or two have, under faults of all kinds.
#[test]
fn the_stages_of_a_job_add_up_to_its_time() {
    for seed in 0..12 {
        let faults = Faults {
            lost: 10,
            unanswered: 10,
            store: 200,
            fail: 30,
            slow: 3,
            ..Faults::default()
        };
        let mut site = Site::new(8, seed, faults);
        site.run(SECOND);
        let mut accounts = Accounts::default();
        for num in 0..60 {
            let (width, accels) = (
                site.rng.random_range(1..4),
                1 << site.rng.random_range(0..4),
            );
            let org = if num % 2 == 0 { "board" } else { "clinic" };
            let priority = num % 3;
            let work = gang(width, accels, Millis(700));
            site.submit(
                &format!("j{num}"),
                job_of(org, priority, vec![work], site.now),
            );
            site.run(Millis(150));
            accounts.take(&mut site);
        }
        site.run(Millis(20_000));
        accounts.take(&mut site);
        let urgent = accounts.ended.iter().filter(|(_, e)| e.priority == 0);
        assert_eq!(urgent.clone().count(), 20, "seed {seed}");
        for (id, ended) in urgent {
            let sum = ended.stages.iter().map(|(_, span)| span.0).sum::<u64>();
            let off = sum.abs_diff(ended.took.0);
            assert!(off <= ROUNDING.0, "seed {seed}: {id} {ended:?}");
        }
    }
}

/// Guards against jobs that count as in time by another bound than that of their callers.
#[test]
fn an_outcome_follows_from_the_objective() {
    let mut site = Site::new(1, 1, Faults::default());
    site.run(SECOND);
    for num in 0..6 {
        site.submit(
            &format!("j{num}"),
            job(0, vec![step(1, 8, SECOND)], site.now),
        );
    }
    let accounts = run(&mut site, Millis(15_000));
    assert_eq!(accounts.ended.len(), 6);
    let in_time = |e: &EndedJob| e.outcome == Outcome::InTime;
    for (_, ended) in &accounts.ended {
        assert_eq!(in_time(ended), ended.took <= ended.objective, "{ended:?}");
    }
    // The objective is three times the work and a second, so the last two are late.
    let count = accounts.ended.iter().filter(|(_, e)| in_time(e)).count();
    assert!((3..=4).contains(&count), "{count} in time");
}
