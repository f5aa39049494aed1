//! Memory of accepted jobs, by which submissions are admitted.

mod kit;

use base::Millis;
use batch::footprint::room;
use batch::footprint::Accepted;
use batch::footprint::Footprint;
use batch::Schedule;

use kit::job;
use kit::step;

const SECOND: Millis = Millis(1_000);
const MEGABYTE: u64 = 1 << 20;

fn tasks(count: u32) -> Footprint {
    let submitted = job(1, vec![step(count, 0, SECOND)], Millis(0));
    Footprint::of(&submitted.work, submitted.at)
}

fn scheduled(start: Millis, interval: Millis, runs: u32) -> Footprint {
    let mut submitted = job(1, vec![step(1, 0, SECOND)], Millis(0));
    submitted.work.schedule = Some(Schedule {
        start,
        interval,
        runs,
    });
    Footprint::of(&submitted.work, Millis(1_000_000))
}

/// Guards against tasks that take memory and are not counted.
#[test]
fn a_footprint_grows_with_tasks_and_open_occurrences() {
    assert!(tasks(2_000).0 > 100 * tasks(1).0);
    let rare = scheduled(Millis(2_000_000), Millis(60_000), 10_000);
    assert!(rare < Footprint(2 * tasks(1).0), "{rare:?}");
    let dense = scheduled(Millis(2_000_000), Millis::ZERO, 10_000);
    assert!(dense > Footprint(1_000 * rare.0 / 10), "{dense:?}");
    let overdue = scheduled(Millis::ZERO, SECOND, 10_000);
    assert!(overdue > Footprint(100 * rare.0 / 10), "{overdue:?}");
}

/// Guards against a burst that is accepted whole before the published load shows the first of it.
#[test]
fn a_burst_is_accepted_up_to_the_room_of_all_daemons() {
    let (one, room) = (Footprint(MEGABYTE), Footprint(30 * MEGABYTE));
    let mut accepted = Accepted::default();
    let burst = (0..100).filter(|n| accepted.admit(one, room, 3, Millis(*n)));
    assert_eq!(burst.count(), 10);
    // By then it is part of the published room.
    assert!(accepted.admit(one, room, 3, Millis(20_000)));
}

/// Guards against a single job that is refused though there is room for it.
#[test]
fn a_job_as_large_as_the_room_is_accepted() {
    let mut accepted = Accepted::default();
    let left = room(Footprint(4 * MEGABYTE), Footprint(MEGABYTE / 2));
    assert_eq!(left, Footprint(3 * MEGABYTE));
    assert!(accepted.admit(left, left, 100, SECOND));
    assert!(!accepted.admit(tasks(1), left, 100, SECOND));
}
