//! A job of priority 0 inside its organisation's guarantee starts within the bound, whatever else
//! runs.

mod kit;

use base::JobId;
use base::Millis;
use batch::StepSpec;
use batch::Submitted;
use yare::parameterized;

use kit::job;
use kit::job_of;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::BOUNDS;

/// Length of the work that is in the way, much longer than the bound.
const LONG: Millis = Millis(20_000);

fn gang(count: u32, accels: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, Millis(2_000))
    }
}

fn site(workers: usize) -> Site {
    Site::new(workers, 31, Faults::default())
}

/// Submits a job and runs the site until the bound after its acceptance; panics if not all of its
/// tasks run then.
fn assert_starts_in_time(site: &mut Site, submitted: Submitted) {
    let (tasks, end) = (submitted.work.steps[0].count, submitted.at + BOUNDS.reclaim);
    let id = site.submit("guaranteed", submitted);
    while site.now < end && running(site, &id) < tasks as usize {
        site.turn();
    }
    assert_eq!(running(site, &id), tasks as usize, "tasks that run in time");
}

fn running(site: &Site, id: &JobId) -> usize {
    let tasks = site.workers.iter().flat_map(|w| w.runs.keys());
    tasks.filter(|t| t.job == *id).count()
}

/// Fills all workers with work of this priority of an organisation without a guarantee.
fn fill(site: &mut Site, priority: u32) {
    for num in 0..site.workers.len() {
        let filler = job_of("depot", priority, vec![step(4, 2, LONG)], site.now);
        site.submit(&format!("filler{num}"), filler);
    }
    site.run(Millis(1_000));
    assert!(site.workers.iter().all(|w| w.runs.len() == 4));
}

#[test]
fn a_guaranteed_job_displaces_work_of_lower_priority_in_time() {
    let mut site = site(4);
    fill(&mut site, 1);
    let submitted = job(0, vec![gang(2, 8)], site.now);
    assert_starts_in_time(&mut site, submitted);
}

/// Guards against urgent work beyond the guarantees that holds what a guarantee promises.
#[test]
fn a_guaranteed_job_displaces_urgent_work_beyond_the_guarantees_in_time() {
    let mut site = site(4);
    fill(&mut site, 0);
    let submitted = job(0, vec![gang(2, 8)], site.now);
    assert_starts_in_time(&mut site, submitted);
}

/// Guards against a time to start that is counted from when the coordinator reads the job.
#[test]
fn a_guaranteed_job_that_is_read_late_starts_in_time() {
    let mut site = site(4);
    fill(&mut site, 1);
    // The longer the work has run, the more is lost by stopping it.
    site.run(Millis(12_000));
    let accepted = site.now.since(Millis(1_800));
    assert_starts_in_time(&mut site, job(0, vec![gang(2, 8)], accepted));
}

/// Guards against a wait for a whole rack while guaranteed work is on every rack.
#[test]
fn a_guaranteed_gang_starts_in_time_when_no_rack_can_hold_it() {
    let mut site = site(4);
    for (num, worker) in site.workers.iter_mut().enumerate() {
        worker.rack = format!("r{}", num / 2);
    }
    for rack in ["r0", "r1"] {
        let near = StepSpec {
            data_rack: Some(rack.to_string()),
            ..step(1, 8, LONG)
        };
        site.submit(
            &format!("held-{rack}"),
            job_of("clinic", 0, vec![near], site.now),
        );
    }
    site.run(Millis(300));
    let busy = site.workers.iter().map(|w| w.runs.len());
    assert_eq!(busy.collect::<Vec<_>>(), [1, 0, 1, 0]);
    let one_rack = StepSpec {
        one_rack: true,
        ..gang(2, 8)
    };
    let submitted = job(0, vec![one_rack], site.now);
    assert_starts_in_time(&mut site, submitted);
}

/// Guards against a wait for the rack of the data, which guaranteed work may hold for long.
#[test]
fn a_guaranteed_job_starts_in_time_when_the_rack_of_its_data_is_held() {
    let mut site = site(4);
    for (num, worker) in site.workers.iter_mut().enumerate() {
        worker.rack = format!("r{}", num / 2);
    }
    let near = |count: u32, lasts: Millis| StepSpec {
        data_rack: Some("r0".to_string()),
        ..step(count, 8, lasts)
    };
    site.submit("held", job_of("clinic", 0, vec![near(2, LONG)], site.now));
    site.run(Millis(300));
    let submitted = job(0, vec![near(2, Millis(8_000))], site.now);
    assert_starts_in_time(&mut site, submitted);
}

fn lasting(count: u32, accels: u64) -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(count, accels, Millis(1_000))
    }
}

/// Fills all workers with work that lasts, of an organisation without a guarantee.
fn fill_for_good(site: &mut Site, steps: Vec<StepSpec>) -> JobId {
    let id = site.submit("lasting", job_of("depot", 2, steps, site.now));
    site.run(Millis(5_000));
    let used = site.workers.iter().map(|w| w.used().accels);
    assert!(used.into_iter().all(|accels| accels == 8));
    id
}

/// Guards against work that lasts and that nothing stops: the room of a guarantee was lent without an end.
#[parameterized(
    tasks = { lasting(4, 8), step(2, 8, Millis(2_000)) },
    a_gang = { lasting(4, 8), gang(2, 8) },
    small_tasks = { lasting(16, 2), gang(2, 8) },
    a_gang_that_lasts = { StepSpec { gang: true, ..lasting(4, 8) }, step(2, 8, Millis(2_000)) }
)]
fn a_guaranteed_job_displaces_work_that_lasts_in_time(lasts: StepSpec, claim: StepSpec) {
    let mut site = site(4);
    let id = fill_for_good(&mut site, vec![lasts.clone()]);
    let submitted = job(0, vec![claim], site.now);
    assert_starts_in_time(&mut site, submitted);
    site.run(Millis(6_000));
    assert_eq!(running(&site, &id), lasts.count as usize, "at work again");
}

/// Two organisations claim all that is guaranteed to them at once.
#[test]
fn guaranteed_jobs_of_two_organisations_displace_work_that_lasts_in_time() {
    let mut site = site(8);
    let pair = StepSpec {
        gang: true,
        ..lasting(2, 8)
    };
    fill_for_good(&mut site, vec![lasting(24, 1), lasting(3, 8), pair]);
    let claim = job_of("clinic", 0, vec![gang(2, 8)], site.now);
    let other = site.submit("other", claim);
    let submitted = job(0, vec![step(8, 2, Millis(4_000))], site.now);
    assert_starts_in_time(&mut site, submitted);
    assert_eq!(running(&site, &other), 2);
}

/// Work that lasts goes only where no other work makes room.
#[test]
fn a_guaranteed_job_displaces_work_that_lasts_last() {
    let mut site = site(4);
    let id = site.submit("lasting", job_of("depot", 2, vec![lasting(2, 8)], site.now));
    site.run(Millis(100));
    let filler = job_of("depot", 1, vec![step(8, 2, LONG)], site.now);
    site.submit("filler", filler);
    site.run(Millis(8_000));
    let submitted = job(0, vec![gang(2, 8)], site.now);
    assert_starts_in_time(&mut site, submitted);
    assert_eq!(running(&site, &id), 2);
}

/// Beyond the guarantees, work that lasts is not stopped, however long a job waits.
#[test]
fn an_urgent_job_beyond_the_guarantees_leaves_work_that_lasts() {
    let mut site = site(4);
    let id = fill_for_good(&mut site, vec![lasting(4, 8)]);
    let claim = job_of("depot", 0, vec![gang(2, 8)], site.now);
    site.submit("claim", claim);
    for _ in 0..600 {
        site.turn();
        assert_eq!(running(&site, &id), 4);
    }
}
