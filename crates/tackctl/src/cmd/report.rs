//! `tackctl report`: tables from the logs of a site's daemons.

use std::ffi::OsString;
use std::path::PathBuf;

use base::Findings;
use base::JobId;

use crate::failure::Failure;
use crate::log_line;
use crate::output;
use crate::parse_args;
use crate::report;
use crate::report::Report;

pub const USAGE: &str = "\
Reads the logs of all daemons of a site that `bronzetack batch` schedules, and shows how jobs ended,
what urgent jobs that were not in time spent their time on, what runs without a result have lost and
why, and how calls were answered. With --job, shows what the logs tell of one job, oldest first.

Usage: tackctl report LOG... [--job ID] [--json]

Exit code 3 if a line cannot be read; then nothing else is shown, as the tables would be wrong.

Example:
    tackctl report /var/log/bronzetack/*.log";

xflags::xflags! {
    cmd args {
        /// Shows one job.
        optional --job job: JobId
        /// Prints JSON.
        optional --json
        /// The logs.
        repeated logs: PathBuf
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    if args.logs.is_empty() {
        return Err(Failure::Usage(format!("name a log\n\n{USAGE}")));
    }
    let mut findings = Findings::new();
    let mut lines = Vec::new();
    for log in &args.logs {
        lines.append(&mut log_line::read(log, &mut findings)?);
    }
    if !findings.is_empty() {
        return Err(Failure::Findings(findings));
    }
    if let Some(job) = args.job {
        return output::print(&report::job_text(&lines, &job.to_string()));
    }
    let report = Report::new(&lines);
    match args.json {
        true => {
            let text = serde_json::to_string(&report);
            let text = text.map_err(|e| Failure::not_run(e.to_string()))?;
            output::print(&format!("{text}\n"))
        }
        false => output::print(&report.text()),
    }
}
