//! Command `soak`: runs the soak test for a range of seeds.

use std::path::PathBuf;
use std::process::ExitCode;

use base::Millis;
use soak::Plan;
use soak::Report;
use soak::SoakError;
use soak::Traffic;

mod args {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs daemons as processes under load, injects faults, and checks the history of callers
        /// and workers. The exit code is 0 only if no seed has findings.
        cmd soak {
            /// First seed; default 1.
            optional --seed seed: u64
            /// Number of seeds; default 1.
            optional --seeds seeds: u64
            /// Number of seeds to run in parallel; default 4.
            optional --jobs jobs: usize
            /// Time in which jobs are submitted and faults injected, in seconds; default 12.
            optional --seconds seconds: u64
            /// Number of daemons; default 4.
            optional --daemons daemons: usize
            /// Number of workers; default 6.
            optional --workers workers: usize
            /// Period in which workers renew their registrations, in milliseconds; default 300.
            optional --heartbeat heartbeat: u64
            /// Inject planned work only: stops, reloads, upkeep and changes of the configuration.
            optional --planned
            /// Start workers again under their ids, let through what was sent to their former lives, and cut them off
            /// soon after, while long tasks run; with ten workers for 30 seconds by default.
            optional --reborn
            /// Give most daemons slow links to the store while the configuration grows.
            optional --slow-links
            /// File with the traffic of a site to play instead of the soak's own load and faults. It sets
            /// the size of the site and the time.
            optional --traffic traffic: PathBuf
            /// Part of the daemons, the workers and the jobs of the traffic to play; default 1.
            optional --scale scale: f64
            /// Part of the processor time that the traffic gives to each daemon; default 1.
            optional --starve starve: f64
            /// Path of the daemon's executable; default `bronzetack` in the directory of this
            /// program.
            optional --program program: PathBuf
            /// Directory for settings and logs of seeds with findings; default the system's
            /// directory for temporary files.
            optional --logs logs: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let args = match args::Soak::from_env() {
        Ok(args) => args,
        Err(error) => error.exit(),
    };
    soak::kill_daemons_on_panic();
    if let Err(error) = soak::kill_daemons_on_signal() {
        eprintln!("cannot install the signal handler: {error}");
        return ExitCode::FAILURE;
    }
    let traffic = match args.traffic.as_deref().map(Traffic::read).transpose() {
        Ok(traffic) => traffic,
        Err(error) => {
            eprintln!("the traffic cannot be played: {error}");
            return ExitCode::FAILURE;
        }
    };
    let first = args.seed.unwrap_or(1);
    let seeds: Vec<u64> = (first..first + args.seeds.unwrap_or(1)).collect();
    let mut failed = 0;
    for batch in seeds.chunks(args.jobs.unwrap_or(4).max(1)) {
        let runs = batch.iter().map(|seed| {
            let plan = plan(&args, traffic.as_ref(), *seed);
            // A panic is reported with the name of its thread.
            let thread = std::thread::Builder::new().name(format!("seed {seed}"));
            let thread = thread.spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(soak::run(&plan))
            });
            (*seed, thread.expect("a thread can be started"))
        });
        for (seed, thread) in runs.collect::<Vec<_>>() {
            let panicked = |_| Err(SoakError::Task("the thread of the run".to_string()));
            let result = thread.join().unwrap_or_else(panicked);
            failed += u32::from(!print_result(seed, result));
        }
    }
    println!("{} seeds, {failed} with findings", seeds.len());
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn plan(args: &args::Soak, traffic: Option<&Traffic>, seed: u64) -> Plan {
    let logs = args.logs.clone().unwrap_or_else(std::env::temp_dir);
    let program = args.program.clone().unwrap_or_else(default_program);
    let defaults = Plan::new(seed, program, &logs);
    if let Some(traffic) = traffic {
        let traffic = traffic.clone().scaled(args.scale.unwrap_or(1.0));
        return defaults.with_traffic(traffic.starved(args.starve.unwrap_or(1.0)));
    }
    let defaults = match args.reborn {
        true => defaults.with_reborn_workers(),
        false => defaults,
    };
    Plan {
        daemons: args.daemons.unwrap_or(defaults.daemons).max(1),
        workers: args.workers.unwrap_or(defaults.workers).max(1),
        heartbeat: args.heartbeat.map_or(defaults.heartbeat, Millis),
        planned: args.planned,
        slow_links: args.slow_links,
        duration: args.seconds.map_or(defaults.duration, Millis::from_secs),
        ..defaults
    }
}

/// Path of `bronzetack` in the directory of this program.
fn default_program() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("bronzetack")
}

/// Prints the result of a run; returns whether it had no findings.
fn print_result(seed: u64, result: Result<Report, SoakError>) -> bool {
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: the run could not be carried out: {error}");
            return false;
        }
    };
    println!(
        "seed {seed}: {} jobs, {} accepted, {} starts, {} faults, {} log lines, {} findings",
        report.jobs.0,
        report.jobs.1,
        report.starts,
        report.faults.len(),
        report.lines,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("  {finding}");
    }
    for note in &report.notes {
        println!("    {note}");
    }
    report.findings.is_empty()
}
