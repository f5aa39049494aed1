//! Which submissions may be rejected while the store is out: replays of the failures by which a
//! rejected job would run after all. A caller's first attempt at one daemon was sent to the store
//! and left open, or was accepted; a second attempt reaches another daemon.

use base::JobId;
use base::Millis;
use base::Revision;
use batch::clearance::Instance;
use batch::clearance::Member;
use batch::clearance::Standing;
use batch::clearance::Unclear;
use batch::clearance::Vouch;
use yare::parameterized;

const NOW: Millis = Millis(100_000);

fn id() -> JobId {
    "00000000000000aa".parse().expect("a job id")
}

fn member(num: u64) -> Member {
    Member {
        instance: Instance(num),
        callers: ([10, 0, 0, num as u8], 80).into(),
    }
}

/// Daemons that have all joined at `NOW` - 50 s and read the list at revision 50. The first one is
/// the coordinator, which knows all accepted jobs up to revision 60.
fn site(size: u64) -> Vec<Standing> {
    let start = NOW.since(Millis(50_000));
    let mut site: Vec<Standing> = (0..size).map(|num| started(num, size, start)).collect();
    for daemon in &mut site {
        list(daemon, size, Millis(1_000));
    }
    site[0].booked_until(Revision(60));
    site
}

fn started(num: u64, size: u64, at: Millis) -> Standing {
    let mut daemon = Standing::new(member(num));
    daemon.registered(Revision(num + 1), at);
    daemon.listed((0..size).map(member).collect(), Revision(40), at);
    (0..size).for_each(|other| daemon.reached(member(other).callers));
    assert!(daemon.try_join(at));
    daemon
}

fn list(daemon: &mut Standing, size: u64, age: Millis) {
    let members = (0..size).map(member).collect();
    daemon.listed(members, Revision(50), NOW.since(age));
}

/// Whether daemon `by` may reject the submission; those of `silent` do not answer.
fn ask(site: &mut [Standing], by: usize, silent: &[u64]) -> Result<(), Unclear> {
    let (question, asked) = site[by].question(&id(), NOW, NOW)?;
    let answers: Vec<Option<Vouch>> = asked
        .iter()
        .map(|m| m.instance.0)
        .map(|num| match silent.contains(&num) {
            true => None,
            false => Some(site[num as usize].answer(&question, NOW)),
        })
        .collect();
    site[by].judge(&question, &asked, &answers, NOW)
}

#[test]
fn a_submission_that_nobody_has_written_may_be_rejected() {
    assert_eq!(ask(&mut site(4), 1, &[]), Ok(()));
}

/// The first attempt was sent and has no answer.
#[parameterized(
    by_another_daemon = { 2 },
    by_the_same_daemon = { 1 },
)]
fn an_open_write_anywhere_keeps_it_from_being_rejected(at: u64) {
    let mut site = site(4);
    assert!(site[at as usize].begin(&id(), NOW, NOW).is_some());
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::Written(Instance(at))));
}

/// Two writes of the same id were under way at once, and only one of them is known to have failed.
#[test]
fn one_of_two_writes_that_failed_leaves_the_other_open() {
    let mut site = site(4);
    site[2].begin(&id(), NOW, NOW).expect("a write");
    site[2].begin(&id(), NOW, NOW).expect("a write");
    site[2].undo(&id());
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::Written(Instance(2))));
    site[2].undo(&id());
    assert_eq!(ask(&mut site, 1, &[]), Ok(()));
}

/// The attempt was handed to a daemon that did not answer, and may still be on its way there.
#[test]
fn a_submission_on_its_way_to_another_daemon_is_not_rejected() {
    let mut site = site(4);
    site[3].note(&id(), NOW);
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::Written(Instance(3))));
}

/// A daemon that is cut off may have written it.
#[test]
fn a_daemon_that_does_not_answer_keeps_it_from_being_rejected() {
    assert_eq!(
        ask(&mut site(4), 1, &[3]),
        Err(Unclear::Silent(Instance(3)))
    );
}

/// A daemon was killed with a write under way; the process that took its place knows nothing of it.
#[test]
fn a_new_process_does_not_vouch_for_the_one_before_it() {
    let mut site = site(4);
    let (question, asked) = site[1].question(&id(), NOW, NOW).expect("a question");
    let mut successor = started(9, 4, NOW);
    let answers: Vec<Option<Vouch>> = asked
        .iter()
        .map(|m| match m.instance.0 {
            3 => Some(successor.answer(&question, NOW)),
            num => Some(site[num as usize].answer(&question, NOW)),
        })
        .collect();
    assert_eq!(
        site[1].judge(&question, &asked, &answers, NOW),
        Err(Unclear::Silent(Instance(3)))
    );
}

/// The daemon that rejects was itself restarted, and its earlier process is still listed.
#[test]
fn a_restarted_daemon_does_not_vouch_for_its_earlier_process() {
    let mut site = site(4);
    let mut listed: Vec<Member> = (0..4).map(member).collect();
    listed.push(Member {
        instance: Instance(8),
        callers: member(1).callers,
    });
    site[1].listed(listed, Revision(50), NOW);
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::Silent(Instance(8))));
}

/// A daemon accepted the job, answered its caller and was lost; the entry of the daemon is gone.
#[test]
fn a_job_accepted_by_a_daemon_that_is_gone_is_not_rejected() {
    let mut site = site(4);
    site[0].book_job(id());
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::Written(Instance(0))));
}

/// No coordinator is left that knows what the lost daemons have accepted, or it knows only part.
#[parameterized(
    nobody = { false },
    outdated = { true },
)]
fn without_a_list_of_accepted_jobs_nothing_is_rejected(outdated: bool) {
    let mut site = site(4);
    site[0].restart_book();
    if outdated {
        site[0].booked_until(Revision(49));
    }
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::NoBook));
}

/// A daemon joined after the list was read, and its caller's attempt is under way there. Those it
/// has greeted name it.
#[test]
fn a_daemon_that_is_not_listed_yet_keeps_it_from_being_rejected() {
    let mut site = site(4);
    let greeting = started(9, 4, NOW).greeting();
    for daemon in [0, 2, 3] {
        site[daemon].answer(&greeting, NOW);
    }
    assert!(matches!(ask(&mut site, 1, &[]), Err(Unclear::Unsettled(_))));
    // One that has itself been greeted asks the new daemon, too.
    assert!(matches!(
        site[2].question(&id(), NOW, NOW),
        Ok((_, asked)) if asked.contains(&member(9))
    ));
}

/// A greeting came while the list was on its way that does not have the new daemon yet.
#[test]
fn a_list_read_before_a_greeting_does_not_remove_who_greeted() {
    let mut site = site(4);
    let greeting = started(9, 4, NOW).greeting();
    site[1].answer(&greeting, NOW);
    list(&mut site[1], 4, Millis(10));
    let (_, asked) = site[1].question(&id(), NOW, NOW).expect("a question");
    assert!(asked.contains(&member(9)));
}

/// A new daemon that reaches too few others writes only once all lists without it are too old.
#[test]
fn a_daemon_that_few_know_writes_late() {
    let start = NOW;
    let mut new = Standing::new(member(9));
    new.registered(Revision(70), start);
    new.listed((0..4).map(member).collect(), Revision(71), start);
    new.reached(member(1).callers);
    assert!(!new.try_join(start + Millis(9_000)));
    assert_eq!(new.begin(&id(), start, start + Millis(9_000)), None);
    let mut site = site(4);
    list(&mut site[2], 4, Millis::ZERO);
    let joined = start + Millis(11_000);
    assert!(new.try_join(joined));
    // What it received before is left open; the other daemon's list is no longer used.
    assert_eq!(new.begin(&id(), joined.since(Millis(1)), joined), None);
    assert!(new.begin(&id(), joined, joined).is_some());
    assert_eq!(
        site[2].question(&id(), joined, joined).map(|_| ()),
        Err(Unclear::NoList)
    );
}

#[test]
fn a_daemon_that_has_not_joined_writes_nothing() {
    let mut new = Standing::new(member(0));
    assert_eq!(new.begin(&id(), NOW, NOW), None);
    new.registered(Revision(3), NOW);
    assert_eq!(new.begin(&id(), NOW, NOW), None);
    new.listed(vec![member(0)], Revision(4), NOW);
    assert!(new.try_join(NOW));
    assert_eq!(new.begin(&id(), NOW, NOW), Some(Revision(3)));
    new.unregistered();
    assert_eq!(new.begin(&id(), NOW, NOW), None);
}

/// The first attempt still waits for the store at the daemon that vouches. It is given up, and only
/// an attempt that comes later is written.
#[test]
fn an_attempt_that_waits_is_given_up_once_its_daemon_has_vouched() {
    let mut site = site(4);
    assert_eq!(ask(&mut site, 1, &[]), Ok(()));
    let later = NOW + Millis(400);
    let daemon = &mut site[2];
    assert_eq!(daemon.begin(&id(), NOW.since(Millis(900)), later), None);
    assert!(daemon.begin(&id(), later, later).is_some());
}

/// The daemon that asks gives up its own earlier attempts, not the one at hand: if it may not reject
/// that one, it may still write it.
#[test]
fn the_attempt_at_hand_may_still_be_written() {
    let mut site = site(4);
    assert!(ask(&mut site, 1, &[3]).is_err());
    let earlier = NOW.since(Millis(10));
    assert_eq!(site[1].begin(&id(), earlier, NOW), None);
    assert!(site[1].begin(&id(), NOW, NOW).is_some());
}

/// A write was begun while the others were asked.
#[test]
fn a_write_begun_meanwhile_keeps_it_from_being_rejected() {
    let mut site = site(2);
    let (question, asked) = site[1].question(&id(), NOW, NOW).expect("a question");
    let answer = site[0].answer(&question, NOW);
    site[1].begin(&id(), NOW, NOW).expect("a write");
    assert_eq!(
        site[1].judge(&question, &asked, &[Some(answer)], NOW),
        Err(Unclear::Written(Instance(1)))
    );
}

#[test]
fn an_old_list_is_not_used() {
    let mut site = site(4);
    list(&mut site[1], 4, Millis(10_000));
    assert_eq!(ask(&mut site, 1, &[]), Err(Unclear::NoList));
}
