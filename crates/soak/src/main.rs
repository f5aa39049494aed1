//! `soak`: runs seeds by hand.

use std::path::PathBuf;
use std::process::ExitCode;

use base::Millis;
use soak::Plan;
use soak::Report;
use soak::SoakError;

mod args {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs daemons as processes under faults from outside, and checks what callers and
        /// workers saw. Exit code 0 only if no promise was broken on any seed.
        cmd soak {
            /// First seed; 1 without it.
            optional --seed seed: u64
            /// Number of seeds; 1 without it.
            optional --seeds seeds: u64
            /// Seeds that run at once; 4 without it.
            optional --jobs jobs: usize
            /// Time in which jobs and faults come, in seconds; 12 without it.
            optional --seconds seconds: u64
            /// Daemons; 4 without it.
            optional --daemons daemons: usize
            /// Workers; 6 without it.
            optional --workers workers: usize
            /// The daemon's program; `bronzetack` beside this one without it.
            optional --program program: PathBuf
            /// Where settings and logs of failed seeds are kept; the system's directory for
            /// temporary files without it.
            optional --logs logs: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let args = match args::Soak::from_env() {
        Ok(args) => args,
        Err(error) => error.exit(),
    };
    soak::end_on_signal();
    let first = args.seed.unwrap_or(1);
    let seeds: Vec<u64> = (first..first + args.seeds.unwrap_or(1)).collect();
    let mut bad = 0;
    for some in seeds.chunks(args.jobs.unwrap_or(4).max(1)) {
        let runs = some.iter().map(|seed| {
            let plan = plan(&args, *seed);
            let thread = std::thread::spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(soak::run(&plan))
            });
            (*seed, thread)
        });
        for (seed, thread) in runs.collect::<Vec<_>>() {
            match thread.join() {
                Ok(result) => bad += u32::from(!print(seed, result)),
                Err(_) => {
                    println!("seed {seed}: the soak itself has panicked");
                    bad += 1;
                }
            }
        }
    }
    println!("{} seeds, {bad} with findings", seeds.len());
    match bad {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn plan(args: &args::Soak, seed: u64) -> Plan {
    let logs = args.logs.clone().unwrap_or_else(std::env::temp_dir);
    let program = args.program.clone().unwrap_or_else(beside);
    let usual = Plan::new(seed, program, &logs);
    Plan {
        daemons: args.daemons.unwrap_or(usual.daemons).max(1),
        workers: args.workers.unwrap_or(usual.workers).max(1),
        span: args.seconds.map_or(usual.span, Millis::from_secs),
        ..usual
    }
}

/// The daemon's program next to this one.
fn beside() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("bronzetack")
}

/// Prints a run; whether it was clean.
fn print(seed: u64, result: Result<Report, SoakError>) -> bool {
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: could not run: {error}");
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
    report.findings.is_empty()
}
