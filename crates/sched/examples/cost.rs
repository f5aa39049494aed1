//! Measures the processor time that a coordinator with running gangs uses in a simulated minute:
//! `cargo run --release -p sched --example cost`.

#[path = "../tests/model/mod.rs"]
mod model;

use std::time::Duration;
use std::time::Instant;

use base::Accels;
use model::site;
use model::site::Site;
use sched::Input;

/// Number of tasks of each gang.
const GANG_TASKS: u32 = 7;
/// Simulated time that is measured.
const SPAN_MS: u64 = 60_000;

/// A site with `gangs` running gangs, spread evenly over its workers.
fn running_site(workers: usize, gangs: usize) -> Site {
    let mut site = Site::new(workers);
    site.check_invariants = false;
    site.elect(1);
    for i in 0..gangs {
        let id = site.submit(site::job_spec(&format!("j{i}"), GANG_TASKS, true));
        let mut plan = site::plan(&id, GANG_TASKS, 0);
        for place in &mut plan.places {
            let slot = i * GANG_TASKS as usize + place.task as usize;
            place.worker = site::worker_id(slot % workers);
            place.first = (slot / workers) as u32;
            place.count = Accels(1);
        }
        site.feed(Input::Plan(plan));
        site.run(100);
    }
    site.run(6_000);
    site
}

fn main() {
    for (workers, gangs) in [(36, 35), (71, 69), (142, 138), (500, 486)] {
        let mut site = running_site(workers, gangs);
        let (calls, begun) = (site.calls, Instant::now());
        site.step_time = Duration::ZERO;
        site.run(SPAN_MS);
        let step_time = site.step_time.as_secs_f64();
        let share = 100.0 * step_time * 1_000.0 / SPAN_MS as f64;
        let calls = (site.calls - calls) as f64 * 1_000.0 / SPAN_MS as f64;
        let tasks = gangs * GANG_TASKS as usize;
        println!(
            "{workers} workers, {tasks} tasks: {share:.3} % of a core, {calls:.1} calls/s \
             ({:.1} s of wall time)",
            begun.elapsed().as_secs_f64()
        );
    }
}
