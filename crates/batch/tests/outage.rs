//! How long submissions wait in an outage of the store and when rejected callers return, against the
//! policy that left them open: outages from half a second to twelve, and one that ends for 300 ms.

use base::Millis;
use batch::outage::hold;
use batch::outage::return_after;
use batch::outage::Outage;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

/// Time for which a caller tries in all, if it is told nothing certain.
const PATIENCE: u64 = 3_000;

/// Most attempts of a caller.
const ATTEMPTS: u32 = 5;

/// Time between two submissions, and between an answer that tells nothing and the next attempt.
const GAP: u64 = 20;
const RETRY_DELAY: u64 = 60;

/// What became of the callers of one outage: the share that was accepted, the mean time from the end
/// of the outage, or the first attempt if that is later, to the acceptance, and the most that were
/// accepted within a tenth of a second.
struct Outcome {
    accepted: f64,
    delay: f64,
    peak: usize,
}

/// What a rejected caller does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Caller {
    /// Returns when it is told to, with all of its time.
    Obedient,
    /// Returns within the time that it has in all.
    Hurried,
}

/// Plays an outage from 0 to `length`. `attempt` returns the time for which a submission waits at
/// this age of the outage, by the time left to its caller, and the time after which the caller
/// returns; `None` leaves it open.
fn play(
    length: u64,
    caller: Caller,
    mut attempt: impl FnMut(Millis, Millis) -> (u64, Option<u64>),
) -> Outcome {
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let firsts: Vec<u64> = (0..length).step_by(GAP as usize).collect();
    for first in &firsts {
        let mut at = *first;
        let mut end = first + PATIENCE;
        for _ in 0..ATTEMPTS {
            if at >= end {
                break;
            }
            if at >= length {
                accepted.push((at, *first));
                break;
            }
            let (wait, after) = attempt(Millis(at.max(1)), Millis(end - at));
            if at + wait >= length {
                accepted.push((length, *first));
                break;
            }
            at += wait;
            match after {
                Some(after) if caller == Caller::Obedient => {
                    at += after;
                    end = at + PATIENCE;
                }
                Some(after) => at += after.min((end - at) * 2 / 5),
                None => at += RETRY_DELAY,
            }
        }
    }
    let late = |(at, first): &(u64, u64)| at.saturating_sub(length.max(*first));
    let delay = accepted.iter().map(late).sum::<u64>() as f64 / accepted.len().max(1) as f64;
    // Those who wait at the daemons are written at its end in any case.
    let returned = accepted.iter().filter(|(at, _)| *at > length);
    let mut by_tenth = std::collections::BTreeMap::<u64, usize>::new();
    for (at, _) in returned {
        *by_tenth.entry(at / 100).or_default() += 1;
    }
    Outcome {
        accepted: accepted.len() as f64 / firsts.len() as f64,
        delay,
        peak: by_tenth.values().copied().max().unwrap_or_default(),
    }
}

/// The policy before: each attempt waits for half of the time left, and is then left open.
fn left_open(length: u64) -> Outcome {
    play(length, Caller::Hurried, |_, wait| (wait.0 / 2, None))
}

fn rejected(length: u64, caller: Caller) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(length);
    play(length, caller, |age, wait| {
        let held = hold(age, wait);
        let after = return_after(age + held, |most| Millis(rng.random_range(0..=most.0)));
        (held.0, Some(after.0))
    })
}

#[parameterized(
    short = { 500, 0.99 },
    one_second = { 1_000, 0.99 },
    within_the_patience = { 2_500, 0.99 },
    beyond_it = { 4_200, 0.99 },
    twice = { 6_900, 0.99 },
    long = { 12_000, 0.9 },
)]
fn callers_that_are_told_when_to_return_are_accepted(length: u64, share: f64) {
    let before = left_open(length);
    let after = rejected(length, Caller::Obedient);
    assert!(after.accepted >= share, "{} accepted", after.accepted);
    let limit = 600.0 + length as f64 * 0.4;
    assert!(after.delay <= limit, "{} ms late", after.delay);
    if length > 4_000 {
        assert!(
            before.accepted < 0.75,
            "{} accepted before",
            before.accepted
        );
    }
}

/// Callers that do not take a later time than they have are accepted as often as before.
#[parameterized(
    within_the_patience = { 2_500 },
    beyond_it = { 4_200 },
    twice = { 6_900 },
)]
fn callers_that_cannot_return_later_lose_nothing(length: u64) {
    let before = left_open(length);
    let after = rejected(length, Caller::Hurried);
    assert!(
        after.accepted >= before.accepted - 0.05,
        "{} accepted, {} before",
        after.accepted,
        before.accepted
    );
}

/// A short outage ends while submissions wait, so that none comes back later than before.
#[test]
fn a_short_outage_is_waited_out() {
    let before = left_open(1_000);
    let after = rejected(1_000, Caller::Obedient);
    assert!(after.delay <= before.delay, "{} ms", after.delay);
}

/// If all were told the same time, that at which the outage has lasted twice as long, they would
/// return together.
#[test]
fn callers_do_not_return_as_one_burst() {
    let length = 6_900;
    let together = play(length, Caller::Obedient, |age, _| {
        (0, Some((8_000 - age.0.min(7_000)).max(1_000)))
    });
    let spread = rejected(length, Caller::Obedient);
    assert!(
        spread.peak * 4 <= together.peak,
        "{} returned within a tenth of a second, {} when told one time",
        spread.peak,
        together.peak
    );
}

/// The store returns for 300 ms and goes again: the second part continues the outage, so callers are
/// not told the short times of a new one.
#[parameterized(
    flap = { 300, 4_300 },
    settled = { 1_500, 1 },
)]
fn an_outage_that_ends_for_a_moment_goes_on(gap: u64, age: u64) {
    let mut outage = Outage::default();
    assert!(outage.record(false, Millis(10_000)));
    assert_eq!(outage.age(Millis(13_000)), Millis(3_000));
    assert!(outage.record(true, Millis(14_000)));
    assert_eq!(outage.age(Millis(14_100)), Millis::ZERO);
    let again = Millis(14_000 + gap);
    assert!(outage.record(false, again));
    assert_eq!(outage.age(again), Millis(age));
}

#[test]
fn only_changes_count() {
    let mut outage = Outage::default();
    assert!(!outage.record(true, Millis(1)));
    assert!(outage.record(false, Millis(2)));
    assert!(!outage.record(false, Millis(900)));
    assert_eq!(outage.age(Millis(1_002)), Millis(1_000));
}
