//! Short runs of the soak with fixed seeds.

use std::path::PathBuf;

use soak::Plan;
use yare::parameterized;

/// Seeds that once failed stay here, each with its cause:
/// 6: a second SIGTERM cut a planned stop short, and answers that were due with it.
/// 21: ends were acknowledged to a worker's next life, which forgot one unseen; its task ran twice.
#[parameterized(
    first = { 1 },
    second_sigterm = { 6 },
    next_life = { 21 },
)]
fn no_promise_breaks_under_faults(seed: u64) {
    soak::end_on_signal();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bronzetack"));
    let plan = Plan::new(seed, program, &std::env::temp_dir());
    let report = actix_rt::System::new().block_on(soak::run(&plan));
    let report = report.expect("the soak runs");
    let kept = plan.dir.display();
    assert!(report.starts > 0, "nothing ran");
    assert!(
        report.findings.is_empty(),
        "{:#?}, logs in {kept}",
        report.findings
    );
}
