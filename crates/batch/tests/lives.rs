//! Workers that are back under their ids and take calls meant for their former incarnation.

mod kit;

use base::Millis;
use batch::JobPhase;
use rand::RngExt;
use yare::parameterized;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::worker::FakeWorker;

const SECOND: Millis = Millis(1_000);

/// Time after a restart until the entry of a worker shows it.
const ENTRY_LAG: Millis = Millis(1_000);

/// Longer than any lease.
const LONG: Millis = Millis(30_000);

fn site(workers: usize, seed: u64, faults: Faults) -> Site {
    let mut site = Site::new(workers, seed, faults);
    site.outlives = true;
    site
}

/// The worker that runs something.
fn used(site: &Site) -> usize {
    let used = site.workers.iter().position(|w| !w.runs.is_empty());
    used.expect("a worker in use")
}

/// Lets a worker crash and start again at once.
fn restart(site: &mut Site, num: usize) {
    let now = site.now;
    site.workers[num].restart(now);
}

/// A poll meant for the former incarnation gave the next one the longest lease, as its clock starts anew. The
/// coordinator counted with a usual one, and started its tasks elsewhere while they ran.
#[parameterized(
    before_its_report = { Millis(20) },
    after_its_report = { Millis(120) },
    later = { Millis(300) },
)]
fn tasks_of_a_worker_cut_off_after_its_restart_wait_for_its_longest_lease(after: Millis) {
    let mut site = site(2, 1, Faults::default());
    // Half a poll's time passes until the next report.
    site.run(SECOND + Millis(50));
    site.workers
        .iter_mut()
        .for_each(|w| w.entry_lag = ENTRY_LAG);
    restart(&mut site, 0);
    restart(&mut site, 1);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(after);
    let num = used(&site);
    site.workers[num].reachable = false;
    site.run(Millis(60_000));
    assert!(site.is_done(&id));
}

/// A start that waited for a worker to come back was carried out by an incarnation that the coordinator could
/// not reach, whose entry showed it. The lease of the former one was taken for that of the run.
#[parameterized(
    shown = { Millis::ZERO },
    shown_late = { Millis(3_000) },
)]
fn a_start_taken_by_an_incarnation_out_of_reach_runs_once(entry_lag: Millis) {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = site(1, 2, late);
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(Millis(10));
    site.faults = Faults::default();
    site.workers[0].entry_lag = entry_lag;
    restart(&mut site, 0);
    site.workers[0].reachable = false;
    site.workers.push(FakeWorker::new(1, site.now));
    site.run(Millis(4_500));
    assert_eq!(used(&site), 0);
    site.run(Millis(70_000));
    assert!(site.is_done(&id));
}

/// A start without an answer was taken for ended when the next incarnation did not report it, and that one
/// carried it out later.
#[test]
fn a_late_start_is_turned_away_by_the_next_incarnation() {
    let late = Faults {
        late_requests: 1_000,
        ..Faults::default()
    };
    let mut site = site(2, 3, late);
    site.run(SECOND);
    let id = site.submit("a", job(1, vec![step(1, 1, LONG)], site.now));
    site.run(Millis(100));
    site.faults = Faults::default();
    site.workers
        .iter_mut()
        .for_each(|w| w.entry_lag = ENTRY_LAG);
    restart(&mut site, 0);
    restart(&mut site, 1);
    site.run(Millis(40_000));
    assert!(site.is_done(&id));
}

/// All of that by chance: workers crash and are back at once or after a while, singly or all of a domain, are
/// cut off soon after, and starts arrive late.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
    fifth = { 5 },
    sixth = { 6 },
    seventh = { 7 },
    eighth = { 8 },
)]
fn nothing_runs_twice_while_workers_come_back_and_are_cut_off(seed: u64) {
    let faults = Faults {
        late_requests: 100,
        unanswered: 20,
        ..Faults::default()
    };
    let mut site = site(8, seed, faults);
    let jobs: Vec<_> = (0..12)
        .map(|n| {
            let work = Millis(site.rng.random_range(1_000..20_000));
            site.submit(&format!("j{n}"), job(1, vec![step(4, 1, work)], site.now))
        })
        .collect();
    for _ in 0..12 {
        site.run(Millis(2_000));
        let domain = site.rng.random_range(0..2);
        let away = Millis(site.rng.random_range(0..800));
        let single = site.rng.random_range(0..3) == 0;
        let hit: Vec<usize> = (0..8).filter(|n| n % 2 == domain).collect();
        let hit = if single { vec![hit[0]] } else { hit };
        let lag = Millis(site.rng.random_range(0..2_000));
        hit.iter().for_each(|n| site.workers[*n].entry_lag = lag);
        hit.iter().for_each(|n| site.workers[*n].up = false);
        site.run(away);
        hit.iter().for_each(|n| restart(&mut site, *n));
        let cut = Millis(site.rng.random_range(0..2_500));
        site.run(cut);
        hit.iter().for_each(|n| site.workers[*n].reachable = false);
        let span = Millis(site.rng.random_range(1_000..9_000));
        site.run(span);
        hit.iter().for_each(|n| site.workers[*n].reachable = true);
        if site.rng.random_range(0..4) == 0 {
            site.take_over();
        }
    }
    site.faults = Faults::default();
    site.run(Millis(60_000));
    // Four crashes are enough to give a job up.
    for id in jobs {
        let phase = site.phase_shown(&id);
        assert!(phase.is_some_and(JobPhase::is_final), "{id}: {phase:?}");
    }
}
