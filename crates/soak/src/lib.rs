//! A randomized soak: daemons as processes of their own, faults from outside them, and checks of
//! what callers and workers saw.
//!
//! A seed decides jobs and faults. Timing is that of real processes, so a run with the same seed
//! is alike, not equal; [`Report::findings`] must be empty on every run.

mod check;
mod daemon;
mod error;
mod faults;
mod load;
mod log;
mod site;

pub use check::check;
pub use check::Finding;
pub use daemon::end_on_signal;
pub use daemon::Exit;
pub use error::SoakError;
pub use log::Asked;
pub use log::Call;
pub use log::Log;
pub use log::Upkeep;
pub use log::Window;

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;

use base::Millis;

use crate::site::Site;

/// Time without faults before the first one, in which the daemons start.
const LEAD: Millis = Millis(2_500);

/// Time after load and faults by which every accepted job has ended: the bound of the users'
/// platform on the end of all work, and the time after which a disruption counts as over.
const SETTLE: Millis = Millis(17_000);

/// Daemons of a site of the usual size.
const DAEMONS: usize = 4;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides jobs and faults.
    pub seed: u64,
    /// The daemon's program.
    pub program: PathBuf,
    /// Daemons.
    pub daemons: usize,
    /// Workers.
    pub workers: usize,
    /// Time in which jobs and faults come.
    pub span: Millis,
    /// Directory for settings and logs. It is removed after a run without findings.
    pub dir: PathBuf,
}

impl Plan {
    /// The usual size: that of a few entry VMs and workers, for a quarter of a minute.
    pub fn new(seed: u64, program: PathBuf, logs: &Path) -> Plan {
        Plan {
            seed,
            program,
            daemons: DAEMONS,
            workers: 6,
            span: Millis::from_secs(12),
            dir: logs.join(format!("soak-{}-{seed}", std::process::id())),
        }
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// What broke.
    pub findings: Vec<Finding>,
    /// Jobs that callers sent, and those among them that were accepted.
    pub jobs: (usize, usize),
    /// Runs that workers began.
    pub starts: usize,
    /// Faults in the order of their begin.
    pub faults: Vec<Window>,
    /// Lines that the daemons logged.
    pub lines: usize,
}

/// Runs the site under load and faults, waits until work has settled, and checks all of it.
pub async fn run(plan: &Plan) -> Result<Report, SoakError> {
    let site = Rc::new(Site::start(plan)?);
    site.sleep(LEAD).await;
    let end = site.now() + plan.span;
    let faults = actix_rt::spawn(faults::run(site.clone(), plan.seed, end));
    let load = load::run(site.clone(), plan.seed, end, end + SETTLE).await;
    faults.await.map_err(|e| SoakError::Task(e.to_string()))?;
    while site.is_upkeep_due() && site.now() < end + SETTLE {
        site.sleep(site::BEAT).await;
    }
    let log = site.finish(load).await;
    let findings = check(&log);
    let report = Report {
        jobs: (log.jobs.len(), log.accepted().len()),
        starts: log.starts(),
        faults: log.windows.clone(),
        lines: log.exits.iter().map(|e| e.lines).sum(),
        findings,
    };
    if report.findings.is_empty() {
        site.clean()?;
    } else {
        site.keep(&log, &report)?;
    }
    Ok(report)
}
