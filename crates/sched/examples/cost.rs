//! Processor time of a coordinator with running gangs, over a simulated minute:
//! `cargo run --release -p sched --example cost`.

#[path = "../tests/model/mod.rs"]
mod model;

use std::time::Duration;
use std::time::Instant;

use base::Accels;
use model::site;
use model::site::Site;
use sched::Input;

/// Tasks of each gang.
const GANG: u32 = 7;
/// Simulated time in milliseconds.
const SPAN: u64 = 60_000;

/// A site with `gangs` running gangs, spread over its workers.
fn filled(workers: usize, gangs: usize) -> Site {
    let mut site = Site::new(workers);
    site.checks = false;
    site.elect(1);
    for i in 0..gangs {
        let id = site.submit(site::job_spec(&format!("j{i}"), GANG, true));
        let mut plan = site::plan(&id, GANG, 0);
        for place in &mut plan.places {
            let slot = i * GANG as usize + place.task as usize;
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
        let mut site = filled(workers, gangs);
        let (calls, begun) = (site.calls, Instant::now());
        site.spent = Duration::ZERO;
        site.run(SPAN);
        let spent = site.spent.as_secs_f64();
        let share = 100.0 * spent * 1_000.0 / SPAN as f64;
        let calls = (site.calls - calls) as f64 * 1_000.0 / SPAN as f64;
        let tasks = gangs * GANG as usize;
        println!(
            "{workers} workers, {tasks} tasks: {share:.3} % of a core, {calls:.1} calls/s \
             ({:.1} s of wall time)",
            begun.elapsed().as_secs_f64()
        );
    }
}
