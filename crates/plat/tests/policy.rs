//! Tests of the call budget and of the health tracker, partly with random inputs.

use base::Millis;
use base::Rate;
use plat::Admission;
use plat::CallBudget;
use plat::CallResult;
use plat::HealthState;
use plat::HealthTracker;
use plat::Priority;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

const STEPS: u32 = 200_000;

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn budget_keeps_to_its_rate(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rate = 50.0;
    let mut budget = CallBudget::new(Rate(rate), Millis::ZERO);
    let mut now = Millis::ZERO;
    let mut admitted = 0;
    for _ in 0..STEPS {
        now += Millis(rng.random_range(0..10));
        let priority = Priority::ALL[rng.random_range(0..4)];
        let cost = rng.random_range(1..=2);
        let taken = budget.take(now, priority, cost);
        budget.check().unwrap();
        match taken {
            Ok(()) if priority != Priority::Lease => admitted += u64::from(cost),
            Ok(()) => (),
            Err(wait) => {
                assert!(wait > Millis::ZERO);
                assert_ne!(priority, Priority::Lease, "a lease call was refused");
                let mut later = budget.clone();
                assert_eq!(later.take(now + wait, priority, cost), Ok(()));
            }
        }
    }
    let limit = rate + rate * now.0 as f64 / 1000.0;
    assert!(admitted as f64 <= limit, "{admitted} calls in {now}");
}

#[parameterized(
    lease = { Priority::Lease, 100 },
    settings = { Priority::Settings, 100 },
    records = { Priority::Records, 75 },
    rest = { Priority::Rest, 50 },
)]
fn lower_priorities_leave_part_of_budget(priority: Priority, expected: u32) {
    let mut budget = CallBudget::new(Rate(100.0), Millis::ZERO);
    let admitted = (0..100)
        .filter(|_| budget.take(Millis::ZERO, priority, 1).is_ok())
        .count();
    assert_eq!(admitted, expected as usize);
}

#[test]
fn waiting_watches_use_part_of_rate() {
    let mut budget = CallBudget::new(Rate(10.0), Millis::ZERO);
    budget.set_watches(Millis::ZERO, 6);
    while budget.take(Millis::ZERO, Priority::Settings, 1).is_ok() {}
    let admitted = (0..10)
        .filter(|_| budget.take(Millis(1000), Priority::Settings, 1).is_ok())
        .count();
    assert_eq!(admitted, 4);
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn health_invariants_hold(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut health = HealthTracker::new();
    let mut now = Millis::ZERO;
    for step in 0..STEPS {
        now += Millis(rng.random_range(0..200));
        // Alternates between good phases, phases of failures and phases of slow responses.
        let phase = (step / 100) % 3;
        let result = match rng.random_range(0..10) {
            0..6 if phase == 1 => CallResult::Failed,
            0..6 if phase == 2 => CallResult::Answered(Millis(900)),
            _ => CallResult::Answered(Millis(rng.random_range(0..60))),
        };
        health.record(now, result);
        health.check().unwrap();
        let random = rng.random::<f64>();
        let admission = health.admit(now, Priority::Lease, random);
        assert_eq!(admission, Admission::Send(1));
        assert!(health.recovery_delay(now, Priority::Rest, random) <= Millis(2000));
        assert_eq!(
            health.recovery_delay(now, Priority::Lease, random),
            Millis::ZERO
        );
    }
}

/// Health of a store that has just gone down.
fn down_health(now: Millis) -> HealthTracker {
    let mut health = HealthTracker::new();
    for _ in 0..3 {
        health.record(now, CallResult::Failed);
    }
    assert_eq!(health.state(), HealthState::Down);
    health
}

#[test]
fn down_store_gets_one_probe_per_interval() {
    let mut health = down_health(Millis::ZERO);
    let mut probes = 0;
    for ms in 0..10_000 {
        if health.admit(Millis(ms), Priority::Settings, 0.5) == Admission::Send(1) {
            probes += 1;
        }
    }
    assert!((20..=40).contains(&probes), "{probes} probes in 10 s");
}

#[test]
fn recovers_through_slow_state() {
    let mut health = down_health(Millis::ZERO);
    let fast = CallResult::Answered(Millis(1));
    assert_eq!(health.record(Millis(9), fast), Some(HealthState::Slow));
    for _ in 0..3 {
        assert_eq!(health.record(Millis(10), fast), None);
    }
    assert_eq!(health.record(Millis(10), fast), Some(HealthState::Up));
}

#[parameterized(
    lease = { Priority::Lease, Admission::Send(1) },
    settings = { Priority::Settings, Admission::Send(1) },
    records = { Priority::Records, Admission::Send(2) },
    rest = { Priority::Rest, Admission::Refuse(Millis(2250)) },
)]
fn slow_store_gets_fewer_calls(priority: Priority, expected: Admission) {
    let mut health = HealthTracker::new();
    for _ in 0..10 {
        health.record(Millis::ZERO, CallResult::Answered(Millis(800)));
    }
    assert_eq!(health.state(), HealthState::Slow);
    let _ = health.admit(Millis(1000), Priority::Rest, 0.0);
    assert_eq!(health.admit(Millis(1000), priority, 1.0), expected);
}
