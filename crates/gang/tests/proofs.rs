//! Each invariant of the planner fails when its state is damaged.

mod kit;

use base::Spread;
use gang::Fault;
use gang::Violation;
use kit::*;
use yare::parameterized;

/// The name of the violation that a damage leads to. A running job, one that waits, one that
/// cannot be stopped, and if `backed`, two guarantees with a job on one.
fn violation(fault: Fault, backed: bool) -> String {
    let whole = shape(1, 8, Spread::Rack);
    let list = match backed {
        true => vec![guarantee("a", "x", whole, 2)],
        false => vec![],
    };
    let mut bench = Bench::new(policy(list), 1, 3);
    bench.submit(job("mine", "a", whole));
    bench.submit(once(job("once", "b", whole)));
    bench.submit(job("other", "c", whole));
    bench.submit(job("wait", "c", whole));
    bench.planner.damage(fault);
    let text = format!("{:?}", bench.planner.check());
    let name = text.trim_start_matches("Err(");
    name.split('(').next().unwrap_or_default().to_string()
}

#[parameterized(
    backing = { Fault::Backing, true, "Backing" },
    double = { Fault::Double, false, "Double" },
    isolation = { Fault::Isolation, false, "Isolation" },
    out = { Fault::Out, false, "Out" },
    partial = { Fault::Partial, false, "Gang" },
    state = { Fault::State, false, "State" },
    sums = { Fault::Sums, false, "Sums" },
    twice = { Fault::Twice, false, "Twice" },
    unit = { Fault::Unit, true, "Unit" },
    usage = { Fault::Usage, false, "Usage" },
    witness = { Fault::Witness, true, "Witness" },
)]
fn damage_is_found(fault: Fault, backed: bool, name: &str) {
    assert_eq!(violation(fault, backed), name);
}

#[test]
fn violation_names_its_subject() {
    let text = Violation::Twice("j".parse().unwrap()).to_string();
    assert_eq!(text, "job j was started twice");
}
