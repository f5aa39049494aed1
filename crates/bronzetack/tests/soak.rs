//! Short runs of the soak with fixed seeds.

use std::path::PathBuf;

use soak::Plan;
use yare::parameterized;

/// Seeds that once failed stay here, each with its cause.
///
/// Of the daemon:
/// 6: a second SIGTERM cut a planned stop short, and answers that were due with it.
/// 7, 21: ends were acknowledged to a worker's next life, which forgot one unseen; its task ran twice.
/// 601: workers of a wave's last machines got no tasks any more.
/// 910: hopeless jobs took all workers out of use; 914 and 933 showed the same, not traced.
/// 921: a late write told a wave as running that was over.
///
/// Of the soak itself:
/// 23: a port was tried while another process was being started.
/// 619: a daemon left over by an earlier soak joined the site.
/// 703: the run ended before a wave's time was over.
/// 721: a process was stopped before it listened.
#[parameterized(
    first = { 1 },
    second_sigterm = { 6 },
    next_life = { 7 },
    next_life_again = { 21 },
    port_in_use = { 23 },
    last_of_a_wave = { 601 },
    left_over = { 619 },
    wave_at_the_end = { 703 },
    stop_at_the_start = { 721 },
    hopeless_jobs = { 910 },
    not_ended = { 914 },
    late_status = { 921 },
    not_ended_again = { 933 },
)]
fn no_promise_breaks_under_faults(seed: u64) {
    soak::kill_daemons_on_signal();
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
