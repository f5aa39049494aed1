//! Work that could wait beside free room: pauses of workers on which runs fail keep work from those that
//! fail all they start and never from most of the room, and no preference holds work back for long.

mod kit;

use base::JobId;
use base::Map;
use base::Millis;
use batch::health::WorkerFailures;
use batch::JobPhase;
use batch::StepSpec;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// Longest time for which due work may have nothing running beside free room.
const MAX_IDLE: Millis = Millis(3_000);

fn job_id(num: usize) -> JobId {
    format!("{num:016x}").parse().expect("a job id")
}

fn lasting(accels: u64) -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(1, accels, SECOND)
    }
}

fn has_run(site: &Site, id: &JobId) -> bool {
    let runs = |w: &kit::worker::FakeWorker| w.runs.keys().any(|task| task.job == *id);
    site.workers.iter().any(runs)
}

/// How long each of some jobs has had nothing running.
#[derive(Default)]
struct Watch {
    since: Map<JobId, Millis>,
    worst: Millis,
}

impl Watch {
    /// Runs the site, and notes the longest time that one of the jobs had nothing running.
    fn run(&mut self, site: &mut Site, ids: &[JobId], span: Millis) {
        let end = site.now + span;
        while site.now < end {
            site.turn();
            for id in ids {
                if has_run(site, id) || site.is_done(id) || is_failed(site, id) {
                    self.since.remove(id);
                    continue;
                }
                let since = *self.since.entry(id.clone()).or_insert(site.now);
                self.worst = self.worst.max(site.now.since(since));
            }
        }
    }
}

fn is_failed(site: &Site, id: &JobId) -> bool {
    site.phase_shown(id) == Some(JobPhase::Failed)
}

/// Guards against pauses of all workers: tasks that last and fail now and then added up on each
/// worker, as such tasks never end `done`, until nothing was started anywhere for 48 s.
#[test]
fn tasks_that_last_and_fail_once_each_are_soon_at_work_again() {
    let mut site = Site::new(4, 5, Faults::default());
    let ids: Vec<JobId> = (0..24).map(job_id).collect();
    for id in &ids {
        site.submit(&id.to_string(), job(1, vec![lasting(1)], site.now));
    }
    site.run(Millis(8_000));
    assert!(ids.iter().all(|id| has_run(&site, id)));
    let mut watch = Watch::default();
    for id in &ids {
        let runs = site.workers.iter_mut().flat_map(|w| &mut w.runs);
        for (_, run) in runs.filter(|(task, _)| task.job == *id) {
            run.fails = true;
        }
        watch.run(&mut site, &ids, Millis(500));
    }
    watch.run(&mut site, &ids, Millis(30_000));
    assert!(watch.worst <= MAX_IDLE, "away for {}", watch.worst);
}

/// Load pattern: a burst of jobs that fail wherever they run. They paused all workers in turn.
#[test]
fn hopeless_jobs_keep_no_other_work_from_idle_workers() {
    let mut site = Site::new(12, 6, Faults::default());
    for num in 0..60 {
        let id = site.submit(
            &job_id(num).to_string(),
            job(1, vec![step(1, 1, Millis(200))], site.now),
        );
        site.always_failing.insert(id);
    }
    site.run(SECOND);
    let ids: Vec<JobId> = (100..112).map(job_id).collect();
    for id in &ids {
        site.submit(&id.to_string(), job(1, vec![step(1, 2, SECOND)], site.now));
    }
    let mut watch = Watch::default();
    watch.run(&mut site, &ids, Millis(20_000));
    assert!(watch.worst <= MAX_IDLE, "waited for {}", watch.worst);
    assert!(ids.iter().all(|id| site.is_done(id)));
}

#[test]
fn a_worker_that_fails_all_it_starts_gets_little_of_the_work() {
    let mut site = Site::new(8, 7, Faults::default());
    site.workers[3].fails = true;
    let ids: Vec<JobId> = (0..200).map(job_id).collect();
    let mut failing_starts = 0;
    for id in &ids {
        site.submit(&id.to_string(), job(1, vec![step(1, 2, SECOND)], site.now));
        let before = site.workers[3].runs.len();
        site.run(Millis(100));
        failing_starts += site.workers[3].runs.len().saturating_sub(before);
    }
    site.run(Millis(20_000));
    assert!(ids.iter().all(|id| site.is_done(id)));
    assert!(failing_starts <= 12, "{failing_starts} starts");
}

/// Load pattern: hopeless jobs come at once, then workers fail all that they start, then they are
/// well again. Work that lasts runs all the while.
#[test]
fn nothing_waits_beside_free_room_while_jobs_and_workers_fail() {
    for seed in 0..2 {
        let mut site = Site::new(48, seed, Faults::default());
        let services: Vec<JobId> = (0..40).map(job_id).collect();
        for id in &services {
            site.submit(&id.to_string(), job(1, vec![lasting(2)], site.now));
        }
        site.run(Millis(2_000));
        let mut watch = Watch::default();
        for num in 1_000..1_120 {
            let id = site.submit(
                &job_id(num).to_string(),
                job(1, vec![step(1, 1, Millis(100))], site.now),
            );
            site.always_failing.insert(id);
            watch.run(&mut site, &services, Millis(10));
        }
        let mut watched = services.clone();
        for (num, turns) in [(0, 60), (30, 60), (0, 100)] {
            site.workers.iter_mut().for_each(|w| w.fails = false);
            site.workers[..num].iter_mut().for_each(|w| w.fails = true);
            for turn in 0..turns {
                let id = job_id(10_000 + watched.len());
                site.submit(&id.to_string(), job(1, vec![step(1, 1, SECOND)], site.now));
                watched.push(id);
                if turn % 5 == 0 {
                    let id = &services[turn % services.len()];
                    let runs = site.workers.iter_mut().flat_map(|w| &mut w.runs);
                    for (_, run) in runs.filter(|(task, _)| task.job == *id) {
                        run.fails = true;
                    }
                }
                watch.run(&mut site, &watched, Millis(100));
            }
        }
        watch.run(&mut site, &watched, Millis(10_000));
        assert!(
            watch.worst <= MAX_IDLE,
            "waited for {}, seed {seed}",
            watch.worst
        );
    }
}

/// Guards against work that waits for a rack that is gone: with an estimate of ten minutes it had nothing
/// running for as long, beside idle workers on other racks.
#[test]
fn work_does_not_wait_for_a_rack_that_is_gone() {
    let mut site = Site::new(8, 8, Faults::default());
    site.run(SECOND);
    for worker in &mut site.workers[..4] {
        worker.up = false;
        worker.listed = false;
    }
    site.run(Millis(8_000));
    let near = StepSpec {
        data_rack: Some("r0".to_string()),
        ..step(1, 1, Millis(600_000))
    };
    let id = site.submit("a", job(1, vec![near], site.now));
    let mut watch = Watch::default();
    watch.run(&mut site, &[id], Millis(10_000));
    assert!(watch.worst <= MAX_IDLE, "waited for {}", watch.worst);
}

/// Guards against room that is kept for a gang which cannot start: tasks that last counted as about to end,
/// so a gang as wide as the site had all idle workers reserved.
#[test]
fn a_gang_that_waits_for_a_task_that_lasts_keeps_no_worker_idle() {
    let mut site = Site::new(4, 9, Faults::default());
    site.submit("a", job(2, vec![lasting(4)], site.now));
    site.run(SECOND);
    let gang = StepSpec {
        gang: true,
        ..step(4, 8, Millis(5_000))
    };
    site.submit("b", job(1, vec![gang], site.now));
    site.run(SECOND);
    let id = site.submit("c", job(2, vec![step(1, 1, SECOND)], site.now));
    let mut watch = Watch::default();
    watch.run(&mut site, &[id], Millis(8_000));
    assert!(watch.worst <= MAX_IDLE, "waited for {}", watch.worst);
}

/// Failures that are long past are no sign of a worker that fails now.
#[test]
fn failures_far_apart_do_not_add_up() {
    let mut failures = WorkerFailures::default();
    for num in 0..20 {
        let now = Millis(3_600_000 * (num as u64 + 1));
        failures.record(&job_id(num), false, now);
        assert!(failures.paused_until() <= now, "paused by failure {num}");
    }
}

#[test]
fn a_job_that_is_itself_responsible_pauses_no_worker() {
    let mut failures = WorkerFailures::default();
    let now = SECOND;
    failures.record(&job_id(1), false, now);
    failures.record(&job_id(2), false, now);
    assert!(failures.paused_until() > now);
    failures.exonerate(&job_id(2), false);
    assert!(failures.paused_until() <= now);
}
