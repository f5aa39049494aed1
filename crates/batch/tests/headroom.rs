//! Free resources that are kept for urgent jobs.

mod kit;

use base::JobId;
use base::Millis;
use batch::headroom;
use batch::headroom::UrgentDemand;
use batch::place::best_fit;
use batch::place::Limits;
use batch::Resources;
use batch::StepSpec;
use rand::RngExt;

use kit::candidates::empty_workers;
use kit::candidates::limits;
use kit::job;
use kit::job_of;
use kit::pool;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);
const WINDOW: Millis = Millis(1_600);

/// Guards against too little being kept for bursts, by their mean, and against keeping it forever.
#[test]
fn the_most_that_came_within_a_window_is_kept_for_a_while() {
    let mut demand = UrgentDemand::default();
    assert_eq!(demand.accels(Millis(0)), 0);
    for at in [0, 500, 1_000, 4_000, 8_000, 12_000, 16_000] {
        demand.record(8, WINDOW, Millis(at));
    }
    assert_eq!(demand.accels(Millis(16_000)), 24, "three came within 1.6 s");
    assert_eq!(demand.accels(Millis(27_000)), 0, "none has come for 11 s");
    for at in [29_000, 38_000, 47_000] {
        demand.record(8, WINDOW, Millis(at));
    }
    assert_eq!(demand.accels(Millis(48_000)), 8, "the burst is 47 s old");
}

#[test]
fn only_workers_of_the_pool_are_kept_and_other_work_does_not_use_them() {
    let mut all = empty_workers(8);
    headroom::keep_free(&mut all, &"other".parse().expect("a pool"), 64);
    assert!(all.iter().all(|c| !c.urgent_only));
    headroom::keep_free(&mut all, &pool(), 24);
    assert_eq!(all.iter().filter(|c| c.urgent_only).count(), 3);
    let on_worker: &'static [u32] = &[0; 8];
    let mut free: Vec<Resources> = all.iter().map(|r| r.free).collect();
    let other = limits(&pool(), on_worker);
    while let Some(num) = best_fit(&all, &free, &step(1, 1, SECOND), &other) {
        free[num] -= step(1, 1, SECOND).occupies();
    }
    let urgent = Limits {
        uses_headroom: true,
        ..other
    };
    assert!(best_fit(&all, &free, &step(1, 8, SECOND), &urgent).is_some());
}

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// Whether the first task of a job is known to run.
fn runs(site: &Site, id: &JobId) -> bool {
    let overview = site.scheduler.job_overview(id, site.now, site.now);
    overview.is_some_and(|o| !o.runs.is_empty())
}

/// Replays urgent gangs of whole workers, alone and in bursts, on a site that checkpointing tasks of one
/// accelerator would fill. Returns how many of the gangs had workers at once.
fn started_at_once(seed: u64) -> (usize, usize) {
    let mut site = Site::new(24, seed, Faults::default());
    site.run(SECOND);
    let (mut at_once, mut all) = (0, 0);
    for round in 0..60 {
        let loose = StepSpec {
            checkpoints: round % 2 == 0,
            ..step(30, 1, Millis(2_500))
        };
        site.submit(
            &format!("loose{round}"),
            job_of("clinic", 2, vec![loose], site.now),
        );
        let burst = if round % 12 == 0 { 3 } else { 1 };
        for num in 0..burst {
            let width = site.rng.random_range(1..4);
            let name = format!("urgent{round}-{num}");
            let id = site.submit(&name, job(0, vec![gang(width, 8, Millis(900))], site.now));
            site.run(Millis(30));
            // What is kept is known after the first bursts.
            if round >= 13 {
                all += 1;
                at_once += usize::from(runs(&site, &id));
            }
        }
        site.run(Millis(600));
    }
    (at_once, all)
}

/// Guards against urgent gangs that wait for the grace of stopped runs again and again, because what is
/// kept for them is too little or is used by tasks that checkpoint.
#[test]
fn urgent_gangs_start_at_once_on_a_site_that_other_work_would_fill() {
    let counts = (1..4).map(started_at_once);
    let (at_once, all) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    assert!(at_once * 20 >= all * 19, "{at_once} of {all}");
}

/// Guards against a job that waits forever beside free workers, because they are kept for urgent jobs.
#[test]
fn a_job_that_is_not_urgent_uses_what_is_kept_after_a_while() {
    let mut site = Site::new(4, 1, Faults::default());
    site.run(SECOND);
    for round in 0..8 {
        site.submit(
            &format!("u{round}"),
            job(0, vec![gang(4, 8, Millis(100))], site.now),
        );
        site.run(SECOND);
    }
    let id = site.submit(
        "wide",
        job_of("clinic", 1, vec![gang(4, 8, Millis(60_000))], site.now),
    );
    site.run(Millis(1_500));
    assert!(!runs(&site, &id), "it can wait, so it does");
    site.run(SECOND);
    assert!(runs(&site, &id), "for 2 s");
}

/// Guards against a task that lasts and is not at work, beside free workers that are kept for urgent jobs.
#[test]
fn a_task_that_lasts_does_not_wait_for_what_is_kept() {
    let mut site = Site::new(4, 1, Faults::default());
    site.run(SECOND);
    // More than the rest of the site can hold, so that it is not quiet.
    let loose = step(20, 1, Millis(60_000));
    site.submit("loose", job_of("clinic", 2, vec![loose], site.now));
    for round in 0..4 {
        site.submit(
            &format!("u{round}"),
            job(0, vec![gang(1, 8, Millis(100))], site.now),
        );
        site.run(Millis(500));
    }
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 8, Millis(600_000))
    };
    let id = site.submit("lasting", job_of("clinic", 1, vec![lasting], site.now));
    site.run(Millis(100));
    assert!(runs(&site, &id), "a whole worker is free");
}
