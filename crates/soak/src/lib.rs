//! Randomized soak test: runs daemons as child processes under load, injects faults from outside,
//! and checks the history of callers and workers.
//!
//! A seed determines jobs and faults. The processes run in real time, so two runs with the same
//! seed are similar, not identical; [`Report::findings`] must be empty on every run.

mod check;
mod crashes;
mod daemon;
mod denial;
mod equip;
mod error;
mod faults;
mod growth;
mod history;
mod idle;
mod load;
mod memory;
mod odd;
mod processes;
mod quota;
mod reborn;
mod room;
mod settings;
mod shrink;
mod site;
mod starve;
mod trace;
mod traffic;

pub use check::check;
pub use check::Finding;
pub use daemon::Exit;
pub use error::SoakError;
pub use growth::Probe;
pub use history::Call;
pub use history::FaultWindow;
pub use history::History;
pub use history::Operation;
pub use history::Owned;
pub use history::WaveResult;
pub use processes::kill_daemons_on_panic;
pub use processes::kill_daemons_on_signal;
pub use traffic::Traffic;

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;

use base::Millis;
use futures_util::future::try_join;

use crate::site::Site;

/// One in so many seeds plays odd entries and rows.
const ODD_SEEDS: u64 = 4;

/// Time before load and faults begin, in which the daemons start.
const STARTUP_TIME: Millis = Millis(2_500);

/// Number of daemons at a site of the default size.
const DEFAULT_DAEMONS: usize = 4;

/// Period in which workers renew their registrations that are started again under their ids: long, so that the
/// coordinator seldom learns of a restart from the store.
const REBORN_HEARTBEAT: Millis = Millis(1_500);

/// Waiting jobs of which a report tells what the logs say.
const MAX_TRACES: usize = 8;

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the generators of jobs and faults.
    pub seed: u64,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time in which jobs are submitted and faults injected.
    pub duration: Millis,
    /// Directory for settings and logs, removed after a run without findings.
    pub dir: PathBuf,
    /// Period in which workers renew their registrations, as the daemons' settings state it.
    pub heartbeat: Millis,
    /// Whether faults are planned work only: stops, reloads, upkeep and changes of the configuration.
    pub planned: bool,
    /// Whether workers are started again under their ids, serve what was sent to their former lives, and are cut off soon
    /// after, while long tasks run.
    pub reborn: bool,
    /// Whether most daemons have slow links to the store while the configuration grows.
    pub slow_links: bool,
    /// Traffic to play instead of the soak's own load and faults.
    pub traffic: Option<Traffic>,
}

impl Plan {
    /// Default plan: 4 daemons and 6 workers for 12 seconds, with a directory of its own under
    /// `logs`.
    pub fn new(seed: u64, program: PathBuf, logs: &Path) -> Plan {
        Plan {
            seed,
            program,
            daemons: DEFAULT_DAEMONS,
            workers: 6,
            duration: Millis::from_secs(12),
            dir: logs.join(format!("soak-{}-{seed}", std::process::id())),
            heartbeat: site::DEFAULT_HEARTBEAT,
            planned: false,
            reborn: false,
            slow_links: false,
            traffic: None,
        }
    }

    /// The same with ten workers, which are started again under their ids, for 30 seconds.
    pub fn with_reborn_workers(self) -> Plan {
        Plan {
            reborn: true,
            workers: 10,
            heartbeat: REBORN_HEARTBEAT,
            duration: Millis::from_secs(30),
            dir: self.dir.with_extension("reborn"),
            ..self
        }
    }

    /// The same with this traffic, on a site of its size.
    pub fn with_traffic(self, traffic: Traffic) -> Plan {
        Plan {
            daemons: traffic.daemon_count(),
            workers: traffic.worker_count(),
            heartbeat: traffic.heartbeat(),
            duration: traffic.duration(),
            traffic: Some(traffic),
            dir: self.dir.with_extension("traffic"),
            ..self
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violations of invariants.
    pub findings: Vec<Finding>,
    /// Number of submitted jobs, and of the accepted ones among them.
    pub jobs: (usize, usize),
    /// Number of runs that workers started.
    pub starts: usize,
    /// Injected faults, in order of their start.
    pub faults: Vec<FaultWindow>,
    /// Number of lines that the daemons logged.
    pub lines: usize,
    /// What is no violation but worth a look, and what the logs say of the jobs that waited.
    pub notes: Vec<String>,
}

/// Runs a site under load and faults, waits until accepted jobs and waves have ended, and checks
/// the history. Fails if the run could not be carried out; violations are findings of the report.
pub async fn run(plan: &Plan) -> Result<Report, SoakError> {
    let site = Rc::new(Site::start(plan)?);
    let result = play(&site, plan).await;
    if result.is_err() {
        site.abandon();
    }
    result
}

async fn play(site: &Rc<Site>, plan: &Plan) -> Result<Report, SoakError> {
    let history = match &plan.traffic {
        Some(traffic) => traffic::play(site, traffic, plan.seed).await?,
        None => play_load(site, plan).await?,
    };
    let notes = notes(plan, &history)?;
    let findings = check(&history);
    let report = Report {
        jobs: (history.jobs.len(), history.accepted().len()),
        starts: history.starts(),
        faults: history.faults.clone(),
        lines: history.exits.iter().map(|e| e.lines).sum(),
        findings,
        notes,
    };
    if report.findings.is_empty() && report.notes.is_empty() {
        site.remove_files()?;
    } else {
        site.keep_files(&history, &report)?;
    }
    Ok(report)
}

/// Waits beside free room of the jobs of a traffic, with what the logs say of them.
fn notes(plan: &Plan, history: &History) -> Result<Vec<String>, SoakError> {
    let Some(capacity) = history.capacity else {
        return Ok(Vec::new());
    };
    let failed = |error| SoakError::Io(plan.dir.display().to_string(), error);
    let mut notes = Vec::new();
    let mut waits = room::waits(history, capacity);
    waits.sort_by_key(|w| w.usage);
    for (num, wait) in waits.iter().enumerate() {
        let owned = history.owned.get(&wait.job);
        let owner = owned.map_or_else(String::new, |o| format!(", {} of {}", o.queue, o.org));
        notes.push(format!("{}: {wait}{owner}", wait.usage));
        if num < MAX_TRACES {
            notes.extend(trace::lines(&plan.dir, history, &wait.job).map_err(failed)?);
        }
    }
    notes.extend(trace::waits(&plan.dir).map_err(failed)?);
    Ok(notes)
}

/// Runs the load and the faults of a site without a traffic.
async fn play_load(site: &Rc<Site>, plan: &Plan) -> Result<History, SoakError> {
    let mut background = vec![actix_rt::spawn(site.clone().maintain())];
    site.sleep(STARTUP_TIME).await;
    let end = site.now() + plan.duration;
    background.push(actix_rt::spawn(quota::change(site.clone(), plan.seed, end)));
    background.push(actix_rt::spawn(shrink::run(site.clone(), plan.seed, end)));
    // Odd rows excuse calls and waits for a while, so most seeds go without.
    if !plan.planned && plan.seed % ODD_SEEDS == ODD_SEEDS - 1 {
        background.push(actix_rt::spawn(odd::run(site.clone(), plan.seed, end)));
    }
    if plan.slow_links {
        background.push(actix_rt::spawn(growth::change(
            site.clone(),
            plan.seed,
            end,
        )));
        background.push(actix_rt::spawn(growth::probe(site.clone(), plan.seed, end)));
    }
    let faults = try_join(
        faults::run(site.clone(), plan, end),
        reborn::run(site.clone(), plan, end),
    );
    let (load, _) = try_join(load::run(site.clone(), plan, end), faults).await?;
    while site.is_upkeep_pending() && site.now() < site.settled_by(end) {
        site.sleep(site::DEFAULT_HEARTBEAT).await;
    }
    let history = site.finish(load).await;
    for task in background {
        task.await.map_err(SoakError::task)?;
    }
    Ok(history)
}
