//! Log entries about work that waits beside free room.

mod kit;

use base::Millis;
use batch::account::Stage;
use batch::IdleWait;
use batch::LogDetail;
use batch::StepSpec;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const SECOND: Millis = Millis(1_000);

/// The waits beside free room that were logged, each with its text.
fn idle_waits(site: &mut Site) -> Vec<(IdleWait, String)> {
    let entries = site.scheduler.take_log().into_iter();
    let waits = entries.filter_map(|entry| match entry.detail {
        Some(LogDetail::IdleWait(wait)) => Some((wait, entry.text)),
        _ => None,
    });
    waits.collect()
}

/// Turns in which starts are held: workers are polled, and nothing is planned.
fn hold_starts(site: &mut Site, span: Millis) {
    let end = site.now + span;
    while site.now < end {
        site.now += Millis(100);
        site.scheduler.tick(site.now, site.now);
    }
}

/// Guards against waits whose cause no log shows: starts were held, and nothing said that a job had
/// been waiting beside idle workers all the while.
#[test]
fn a_wait_beside_free_room_is_logged_once_with_its_cause() {
    let mut site = Site::new(4, 1, Faults::default());
    site.run(SECOND);
    site.submit("a", job(1, vec![step(1, 1, SECOND)], site.now));
    hold_starts(&mut site, Millis(1_900));
    assert_eq!(idle_waits(&mut site), vec![]);
    hold_starts(&mut site, Millis(4_000));
    let waits = idle_waits(&mut site);
    assert_eq!(waits.len(), 1, "{waits:?}");
    let (wait, text) = &waits[0];
    assert_eq!(wait.stage, Stage::Held);
    assert!(wait.waited >= Millis(2_000), "{wait:?}");
    assert!(text.contains("4 silent"), "{text}");
}

#[test]
fn a_wait_for_room_is_not_logged_as_one_beside_free_room() {
    let mut site = Site::new(2, 1, Faults::default());
    site.submit("a", job(1, vec![step(2, 8, Millis(20_000))], site.now));
    site.run(SECOND);
    site.submit("b", job(1, vec![step(1, 1, SECOND)], site.now));
    site.run(Millis(10_000));
    assert_eq!(idle_waits(&mut site), vec![]);
}

#[test]
fn a_task_that_lasts_and_stays_away_is_logged_though_others_of_its_job_run() {
    let mut site = Site::new(4, 1, Faults::default());
    let lasting = StepSpec {
        lasting: true,
        per_worker: Some(1),
        ..step(2, 1, SECOND)
    };
    site.submit("a", job(1, vec![lasting], site.now));
    site.run(SECOND);
    let used = site.workers.iter_mut().find(|w| !w.runs.is_empty());
    used.expect("a worker in use").restart(site.now);
    site.now += Millis(100);
    site.poll();
    hold_starts(&mut site, Millis(3_000));
    let waits = idle_waits(&mut site);
    assert_eq!(waits.len(), 1, "{waits:?}");
    assert_eq!(waits[0].0.stage, Stage::Held);
}
