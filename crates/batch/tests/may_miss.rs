//! Stops that the coordinator orders take no more tasks of a long-running step out of service than it
//! may miss, whatever they make room for.

mod kit;

use base::JobId;
use base::MachineId;
use base::Millis;
use base::Set;
use batch::wave::MachineEntry;
use batch::wave::MachineState;
use batch::wave::UpkeepResponse;
use batch::wave::Wave;
use batch::StepSpec;
use yare::parameterized;

use kit::job;
use kit::job_of;
use kit::limits::limited;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// A step of tasks that last, `may_miss` of which may be away at a time.
fn lasting(count: u32, accels: u64, may_miss: u32) -> StepSpec {
    StepSpec {
        lasting: true,
        may_miss,
        ..step(count, accels, SECOND)
    }
}

/// Number of tasks of the first step of a job that work and are not being stopped.
fn at_work(site: &Site, id: &JobId) -> u32 {
    let runs = site.workers.iter().flat_map(|w| &w.runs);
    let runs =
        runs.filter(|(task, run)| task.job == *id && task.step == 0 && run.stopping.is_none());
    runs.count() as u32
}

/// Submits a long-running job and waits until all tasks of its first step work.
fn start_lasting(site: &mut Site, org: &str, steps: Vec<StepSpec>) -> JobId {
    let count = steps[0].count;
    let id = site.submit(&format!("lasting-{org}"), job_of(org, 2, steps, site.now));
    site.run(Millis(300));
    assert_eq!(at_work(site, &id), count);
    id
}

/// Runs the site and returns the most tasks of the first step of a job that were away at a time.
fn most_away(site: &mut Site, id: &JobId, count: u32, span: Millis) -> u32 {
    let end = site.now + span;
    let mut most = 0;
    while site.now < end {
        site.turn();
        most = most.max(count - at_work(site, id));
    }
    most
}

/// Guards against a limit that was asked about for each task by itself: an urgent gang had three of
/// four tasks stopped at once, though one may be missed.
#[parameterized(
    a_gang = { vec![gang(3, 8, Millis(2_000))] },
    tasks = { vec![step(3, 8, Millis(2_000))] },
    two_steps = { vec![step(1, 8, Millis(2_000)), gang(2, 8, Millis(2_000))] }
)]
fn an_urgent_job_stops_no_more_tasks_than_may_be_missed(steps: Vec<StepSpec>) {
    let mut site = Site::new(4, 8, Faults::default());
    let id = start_lasting(&mut site, "depot", vec![lasting(4, 8, 1)]);
    site.submit("urgent", job(0, steps, site.now));
    assert!(most_away(&mut site, &id, 4, Millis(8_000)) <= 1);
}

/// Several jobs of one pass share what a step may miss.
#[test]
fn urgent_jobs_together_stop_no_more_tasks_than_may_be_missed() {
    let mut site = Site::new(4, 8, Faults::default());
    let id = start_lasting(&mut site, "depot", vec![lasting(8, 4, 2)]);
    for num in 0..4 {
        let org = ["board", "clinic"][num % 2];
        let submitted = job_of(org, 0, vec![step(1, 8, SECOND)], site.now);
        site.submit(&format!("urgent{num}"), submitted);
    }
    assert!(most_away(&mut site, &id, 8, Millis(8_000)) <= 2);
}

/// The members of a gang go together, so a gang wider than what may be missed stays.
#[test]
fn a_gang_is_not_stopped_beyond_what_may_be_missed() {
    let mut site = Site::new(4, 8, Faults::default());
    let whole = StepSpec {
        gang: true,
        ..lasting(4, 8, 2)
    };
    let id = start_lasting(&mut site, "depot", vec![whole]);
    site.submit("urgent", job(0, vec![step(1, 8, SECOND)], site.now));
    assert!(most_away(&mut site, &id, 4, Millis(6_000)) <= 2);
}

/// The same for the work of an organisation that its own limit holds back.
#[test]
fn a_job_under_its_limit_stops_no_more_tasks_than_may_be_missed() {
    let mut site = Site::new(8, 8, Faults::default());
    site.scheduler.configure(&limited(2, 24));
    let id = start_lasting(&mut site, "board", vec![lasting(6, 4, 1)]);
    site.submit("urgent", job(0, vec![gang(2, 8, SECOND)], site.now));
    assert!(most_away(&mut site, &id, 6, Millis(6_000)) <= 1);
}

/// What may not be missed stays, and a claim takes what no limit protects.
#[test]
fn a_guaranteed_job_takes_what_may_be_missed_and_what_has_no_limit() {
    let mut site = Site::new(4, 8, Faults::default());
    let id = start_lasting(&mut site, "depot", vec![lasting(3, 8, 1), lasting(1, 8, 0)]);
    site.run(Millis(5_000));
    let urgent = site.submit("urgent", job(0, vec![gang(2, 8, Millis(4_000))], site.now));
    assert!(most_away(&mut site, &id, 3, BOUNDS.reclaim) <= 1);
    let started = site
        .all_runs()
        .iter()
        .filter(|(t, _)| t.job == urgent)
        .count();
    assert_eq!(started, 2, "tasks that run in time");
}

/// Requests upkeep of the machines of all workers, `cap` at a time, for a time. Returns those whose
/// upkeep has begun, and the most tasks of the first step of a job that were away at a time.
fn run_wave(site: &mut Site, cap: usize, span: Millis, (id, count): (&JobId, u32)) -> (usize, u32) {
    let entry = |w: &kit::worker::FakeWorker| MachineEntry {
        id: format!("m-{}", w.id).parse().expect("a machine id"),
        state: MachineState::Up,
        worker: Some(w.id.clone()),
    };
    let machines: Vec<MachineEntry> = site.workers.iter().map(entry).collect();
    let wave = Wave {
        number: 1,
        machines: machines.iter().map(|m| m.id.clone()).collect(),
        span,
        cap,
    };
    let (begin, end) = (site.now, site.now + span);
    let (mut begun, mut most) = (Set::<MachineId>::default(), 0);
    while site.now < end {
        site.turn();
        most = most.max(count - at_work(site, id));
        let now = site.now;
        let scheduler = &mut site.scheduler;
        scheduler.waves().set_machines(machines.clone(), now);
        scheduler.set_waves([(wave.clone(), begin)].iter());
        for request in scheduler.plan_upkeep(SECOND, now) {
            begun.insert(request.machine.clone());
            scheduler.upkeep_response(&request, &UpkeepResponse::Begun, now);
        }
    }
    (begun.len(), most)
}

/// Guards against a wave that never ends: work without a limit held its machine back like work of which
/// no task may be missed.
#[test]
fn long_running_work_without_a_limit_holds_no_upkeep_up() {
    let mut site = Site::new(2, 8, Faults::default());
    let id = start_lasting(&mut site, "depot", vec![lasting(1, 8, 0)]);
    let (begun, _) = run_wave(&mut site, 2, Millis(10_000), (&id, 1));
    assert_eq!(begun, 2);
}

/// Guards against a stop for upkeep in vain: a task that was being stopped held its machine back, which
/// took the task again.
#[test]
fn upkeep_takes_no_more_tasks_than_may_be_missed() {
    let mut site = Site::new(3, 8, Faults::default());
    let id = start_lasting(&mut site, "depot", vec![lasting(3, 8, 1)]);
    let (begun, most) = run_wave(&mut site, 1, Millis(10_000), (&id, 3));
    assert_eq!(begun, 3);
    assert!(most <= 1, "{most} tasks away");
}
