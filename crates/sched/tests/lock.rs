//! Tests of the election: acquisition, renewal, expiry and release of the lock.

use base::Epoch;
use base::Millis;
use sched::Election;
use sched::LockAction;
use sched::LockInput;
use sched::LockTiming;
use yare::parameterized;

const FREE: LockInput = holder(None, false);
const OWN: LockInput = holder(Some(Epoch(7)), true);
const OTHER: LockInput = holder(Some(Epoch(8)), false);

const fn holder(epoch: Option<Epoch>, own: bool) -> LockInput {
    let call = None;
    LockInput::Holder { call, epoch, own }
}

fn standby() -> Election {
    Election::new(LockTiming::default(), Millis(0), Millis(0))
}

/// An election that holds the lock, with its lease counted from 100 ms.
fn holding() -> Election {
    let mut lock = standby();
    lock.step(Millis(100), FREE);
    let actions = lock.step(Millis(105), OWN);
    assert!(actions.contains(&LockAction::Elected(Epoch(7))));
    lock
}

/// The id of the call that an action asks for, if any.
fn call_id(action: &LockAction) -> Option<u64> {
    match action {
        LockAction::Acquire { call, .. } | LockAction::Read { call } => Some(*call),
        LockAction::Renew { call } => Some(*call),
        _ => None,
    }
}

#[test]
fn free_lock_is_acquired_at_once() {
    let mut lock = standby();
    let actions = lock.step(Millis(100), FREE);
    assert!(matches!(actions[..], [LockAction::Acquire { .. }]));
}

#[test]
fn lease_is_suspect_before_it_can_expire() {
    let mut lock = holding();
    let mut suspect_at = None;
    for now in (110..2_100).step_by(10) {
        let actions = lock.step(Millis(now), LockInput::Tick);
        if actions.contains(&LockAction::Suspect(true)) {
            suspect_at = Some(now);
        }
    }
    assert_eq!(
        suspect_at,
        Some(1_500),
        "1,400 ms after the lease was requested"
    );
    assert_eq!(
        lock.epoch(),
        Some(Epoch(7)),
        "the epoch is kept, so that running gangs are renewed"
    );
}

#[test]
fn answer_to_an_earlier_call_is_ignored() {
    let mut lock = holding();
    let actions = lock.step(Millis(1_010), LockInput::Tick);
    let second = actions.iter().find_map(call_id).expect("a second renewal");
    let first = second - 1;
    let alive = true;
    lock.step(Millis(1_020), LockInput::Renewed { call: first, alive });
    let actions = lock.step(Millis(1_500), LockInput::Tick);
    assert!(
        actions.contains(&LockAction::Suspect(true)),
        "the answer to an earlier call does not extend the lease"
    );
}

#[parameterized(
    other_holder = { OTHER, LockAction::Lost },
    key_gone = { FREE, LockAction::Lost },
    planned_stop = { LockInput::Stop, LockAction::Release },
)]
fn lock_is_lost(input: LockInput, want: LockAction) {
    let mut lock = holding();
    let actions = lock.step(Millis(300), input);
    assert!(actions.contains(&want) && actions.contains(&LockAction::Lost));
    assert_eq!(lock.epoch(), None);
}

#[test]
fn holder_with_a_lower_epoch_is_ignored() {
    let mut lock = holding();
    let old = holder(Some(Epoch(3)), false);
    assert!(!lock.step(Millis(300), old).contains(&LockAction::Lost));
}
