//! Room that is withheld from work which could use it: nothing waits for long beside free room because a
//! gang waits for it, or for a place that would suit better.

mod kit;

use base::Millis;
use batch::StepSpec;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

fn gang(count: u32, accels: u64, lasts: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accels, lasts)
    }
}

/// Guards against logs that say `room` of work that waits beside room: what keeps it is told by its name.
#[test]
fn a_wait_beside_free_room_tells_what_keeps_the_room() {
    let mut site = Site::new(24, 2, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 1, Millis(30_000))], site.now));
    site.run(SECOND);
    site.submit("b", job(1, vec![gang(24, 8, Millis(5_000))], site.now));
    site.run(SECOND);
    let id = site.submit("c", job(2, vec![step(30, 1, Millis(40_000))], site.now));
    site.run(Millis(1_900));
    let overview = site.scheduler.job_overview(&id, site.now, site.now);
    let steps = overview.expect("the job is known").steps;
    assert_eq!(steps[0].waits_for, Some("room"));
    let first = steps[0].withheld.first().expect("an obstacle");
    assert_eq!(first, &("reserved", 191));
}

/// All jobs with nothing running are counted, by organisation and pool, also those without a log line.
#[test]
fn jobs_with_nothing_running_are_counted_by_organisation() {
    let mut site = Site::new(1, 3, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 8, Millis(30_000))], site.now));
    site.run(SECOND);
    for num in 0..5 {
        let org = if num < 3 { "board" } else { "clinic" };
        let waits = kit::job_of(org, 1, vec![step(1, 8, SECOND)], site.now);
        site.submit(&format!("{:016x}", num), waits);
        site.run(Millis(100));
    }
    assert!(site.scheduler.wait_summaries(site.now).is_empty());
    site.run(Millis(3_000));
    let summaries = site.scheduler.wait_summaries(site.now);
    let counts: Vec<(String, usize)> = summaries
        .iter()
        .map(|s| (s.org.as_ref().expect("an organisation").to_string(), s.jobs))
        .collect();
    assert_eq!(
        counts,
        [("board".to_string(), 3), ("clinic".to_string(), 2)]
    );
    assert_eq!(summaries[0].longest[0].1.to_string(), "0000000000000000");
    assert_eq!(summaries[0].reasons.get("room"), Some(&3));
}
