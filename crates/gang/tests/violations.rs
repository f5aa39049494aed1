//! Fault injection: each invariant check fails when the state that it covers is damaged.

mod common;

use base::Spread;
use common::*;
use gang::Fault;
use gang::Violation;
use yare::parameterized;

/// Name of the violation found after a fault. The planner has jobs that run, a job that waits
/// and one that cannot be stopped; if `guaranteed`, also two guaranteed gangs, one of them in
/// use.
fn violation_after(fault: Fault, guaranteed: bool) -> String {
    let whole = shape(1, 8, Spread::Rack);
    let list = match guaranteed {
        true => vec![guarantee("a", "x", whole, 2)],
        false => vec![],
    };
    let mut fixture = Fixture::new(policy(list), 1, 3);
    fixture.submit(job("mine", "a", whole));
    fixture.submit(once(job("once", "b", whole)));
    fixture.submit(job("other", "c", whole));
    fixture.submit(job("wait", "c", whole));
    fixture.planner.inject(fault);
    let text = format!("{:?}", fixture.planner.check());
    let name = text.trim_start_matches("Err(");
    name.split('(').next().unwrap_or_default().to_string()
}

#[parameterized(
    binding = { Fault::Binding, true, "Binding" },
    double_allocation = { Fault::DoubleAllocation, false, "DoubleAllocation" },
    isolation = { Fault::Isolation, false, "Isolation" },
    domain_out = { Fault::DomainOut, false, "DomainOut" },
    partial_gang = { Fault::PartialGang, false, "Gang" },
    job_state = { Fault::JobState, false, "JobState" },
    totals = { Fault::Totals, false, "Totals" },
    second_start = { Fault::SecondStart, false, "SecondStart" },
    guarantee = { Fault::Guarantee, true, "Guarantee" },
    usage = { Fault::Usage, false, "Usage" },
    overlap = { Fault::Overlap, true, "Overlap" },
)]
fn injected_fault_is_detected(fault: Fault, guaranteed: bool, name: &str) {
    assert_eq!(violation_after(fault, guaranteed), name);
}

#[test]
fn violation_message_names_the_job() {
    let text = Violation::SecondStart("j".parse().unwrap()).to_string();
    assert_eq!(text, "job j was started twice");
}
