//! Traffic of a site: its machines, its kinds of job and its troubles, read from a file.

mod jobs;
mod load;
mod play;
mod troubles;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use base::Millis;
use batch::Resources;
use jsonc_parser::ParseOptions;
use platform_fakes::OrgSpec;
use platform_fakes::QueueSpec;
use platform_fakes::WorkerBounds;
use serde::Deserialize;

pub use play::play;

use crate::error::SoakError;

/// Time after the end of the traffic and its troubles in which accepted jobs are asked for.
pub const FINISH_TIME: Millis = Millis(14_000);

/// Time after that for which waits are watched.
pub const WATCH_TIME: Millis = Millis(20_000);

/// A site and what happens on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Traffic {
    /// Classes of daemons.
    daemons: Vec<DaemonClass>,
    /// Number of failure domains, which daemons and workers are spread over.
    domains: usize,
    workers: Workers,
    /// Bounds in the daemons' settings, instead of the soak's own.
    #[serde(default)]
    bounds: BTreeMap<String, String>,
    store: StoreSpec,
    /// Time from the start of the daemons to the first job.
    lead_ms: u64,
    /// Time in which jobs are submitted.
    traffic_ms: u64,
    organisations: Vec<Organisation>,
    kinds: Vec<Kind>,
    #[serde(default)]
    bursts: Vec<Burst>,
    #[serde(default)]
    troubles: Vec<Trouble>,
}

/// Daemons whose machines are alike.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct DaemonClass {
    count: usize,
    /// Share of a core.
    share: f64,
    /// Memory that a daemon may use.
    memory_mb: u64,
    /// Bandwidth of the machine's link, as the settings state it.
    bandwidth_mbps: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Workers {
    count: usize,
    cpu: u64,
    memory: u64,
    accels: u64,
    /// Workers in a rack.
    rack: usize,
    /// Speeds of the workers in turn.
    speeds: Vec<f64>,
    heartbeat_ms: u64,
    max_lease_ms: u64,
    gang_timeout_ms: u64,
    stop_ms: u64,
    checkpoint_ms: u64,
    remote_factor: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct StoreSpec {
    latency_ms: u64,
    reads: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Organisation {
    /// Share of the jobs, relative to the other organisations.
    share: f64,
    /// Guaranteed share of all accelerators.
    guarantee: f64,
}

/// An amount that is drawn: its mean, its spread relative to the mean, and its limit.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Amount {
    mean: f64,
    #[serde(default)]
    spread: f64,
    max: f64,
}

/// A kind of job, with a queue of its own. Shares are parts of its jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Kind {
    queue: String,
    priority: u32,
    attempts: u32,
    /// Jobs a second.
    rate: f64,
    steps: Amount,
    /// Tasks of a step.
    width: Amount,
    cpu: u64,
    memory: u64,
    /// Accelerators of a task, one of which each job has.
    accels: Vec<u64>,
    /// Working time of a task on a worker of normal speed, in milliseconds.
    work: Amount,
    /// Largest difference between working times of the tasks of a step, relative to their mean.
    #[serde(default)]
    uneven: f64,
    /// Largest difference between the estimate and the working time, relative to the latter.
    estimate_error: f64,
    #[serde(default)]
    gangs: f64,
    /// Share of the gangs that are to be on one rack.
    #[serde(default)]
    same_rack: f64,
    #[serde(default)]
    checkpointing: f64,
    /// Share that names a label.
    #[serde(default)]
    labels: f64,
    /// Share that names the rack of its data.
    #[serde(default)]
    racks: f64,
    /// Share that limits its tasks on one worker.
    #[serde(default)]
    apart: f64,
    #[serde(default)]
    cancelled: f64,
    /// Share whose runs all fail.
    #[serde(default)]
    failing: f64,
}

/// A time in which more jobs of a kind come.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Burst {
    queue: String,
    /// Part of the seeds that have it.
    chance: f64,
    /// When it begins at the latest, after the start of the traffic.
    by_ms: u64,
    lasts_ms: u64,
    /// Jobs that come beside the usual ones, as a multiple of these.
    more: f64,
    /// Share of them whose runs all fail.
    #[serde(default)]
    failing: f64,
}

/// What a trouble does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Disruption {
    /// Answers to orders are lost.
    AnswersLost,
    /// Versions of the configuration in quick succession.
    Configurations,
    /// The coordinator is killed.
    CoordinatorKilled,
    /// Daemons cannot reach the store.
    DaemonsCut,
    /// Daemons are killed.
    DaemonsKilled,
    /// Daemons are stopped as planned and started again, in turn.
    DaemonsStopped,
    /// A failure domain cannot be reached from outside.
    DomainCut,
    /// A failure domain is taken out of service.
    DomainOut,
    /// Orders are not answered and carried out late.
    OrdersLate,
    /// The store turns all daemons away.
    StoreDown,
    /// The store drops its history.
    StoreForgets,
    /// The store answers late.
    StoreSlow,
    /// Workers crash.
    WorkersCrash,
    /// Workers cannot be reached and run on.
    WorkersCut,
    /// Workers fail all that they start.
    WorkersFail,
    /// Tasks of workers stand still.
    WorkersHang,
}

/// A disruption that comes again and again.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Trouble {
    disruption: Disruption,
    /// Part of the seeds that have it.
    chance: f64,
    /// Mean time from one to the next.
    every_ms: u64,
    /// How long each lasts.
    #[serde(default)]
    lasts_ms: u64,
    /// Share of the workers or daemons that it meets.
    #[serde(default)]
    share: f64,
}

/// How a daemon runs.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Failure domain.
    pub domain: usize,
    /// Share of a core; `None` if it is not held back.
    pub share: Option<f64>,
    /// Memory that it may use, and bandwidth, in the units of the settings.
    pub memory: Option<u64>,
    /// Resources as the settings state them.
    pub resources: Option<String>,
    /// Bounds that replace those of the settings.
    pub bounds: BTreeMap<String, String>,
}

fn part(count: usize, factor: f64) -> usize {
    ((count as f64 * factor).round() as usize).max(1)
}

impl Traffic {
    /// Reads a file of JSON with comments.
    pub fn read(path: &Path) -> Result<Traffic, SoakError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| SoakError::Io(name.clone(), e))?;
        Traffic::parse(&text).map_err(|e| SoakError::Traffic(name, e))
    }

    /// Parses JSON with comments. The error tells what is wrong with it.
    pub fn parse(text: &str) -> Result<Traffic, String> {
        let parsed = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default());
        let traffic: Traffic = parsed.map_err(|e| e.to_string())?;
        traffic.check()?;
        Ok(traffic)
    }

    fn check(&self) -> Result<(), String> {
        let missing = [
            ("daemons", self.daemons.is_empty()),
            ("kinds", self.kinds.is_empty()),
            ("organisations", self.organisations.is_empty()),
            ("workers.speeds", self.workers.speeds.is_empty()),
            ("workers.rack", self.workers.rack == 0),
            ("domains", self.domains == 0),
        ];
        if let Some((field, _)) = missing.iter().find(|(_, missing)| *missing) {
            return Err(format!("\"{field}\" is empty or zero: give at least one"));
        }
        let unknown = |b: &&Burst| self.kinds.iter().all(|k| k.queue != b.queue);
        if let Some(burst) = self.bursts.iter().find(unknown) {
            let queue = &burst.queue;
            return Err(format!(
                "burst of {queue}: no kind has this queue: name one that has"
            ));
        }
        let none = |k: &&Kind| k.accels.is_empty();
        if let Some(kind) = self.kinds.iter().find(none) {
            return Err(format!(
                "kind {}: \"accels\" is empty: give at least one",
                kind.queue
            ));
        }
        Ok(())
    }

    /// The same at another size: that part of the daemons, the workers and the jobs.
    pub fn scaled(mut self, factor: f64) -> Traffic {
        for class in &mut self.daemons {
            class.count = part(class.count, factor);
        }
        self.workers.count = part(self.workers.count, factor);
        for kind in &mut self.kinds {
            kind.rate *= factor;
            kind.width.max = (kind.width.max * factor).max(kind.width.mean.min(kind.width.max));
        }
        self
    }

    /// The same with this part of each daemon's processor time.
    pub fn starved(mut self, factor: f64) -> Traffic {
        for class in &mut self.daemons {
            class.share = (class.share * factor).min(1.0);
        }
        self
    }

    /// Number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.iter().map(|c| c.count).sum()
    }

    /// Number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.count
    }

    /// Period in which workers renew their registrations.
    pub fn heartbeat(&self) -> Millis {
        Millis(self.workers.heartbeat_ms)
    }

    /// Time in which jobs are submitted.
    pub fn duration(&self) -> Millis {
        Millis(self.traffic_ms)
    }

    /// Delay of the store's answers.
    pub fn store_latency(&self) -> Millis {
        Millis(self.store.latency_ms)
    }

    /// Reads a second that the store takes.
    pub fn store_reads(&self) -> u32 {
        self.store.reads
    }

    /// What each worker has.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpu: self.workers.cpu,
            memory: self.workers.memory,
            accels: self.workers.accels,
        }
    }

    /// Failure domain of a worker or daemon.
    pub fn domain(&self, num: usize) -> usize {
        num % self.domains
    }

    /// Rack of a worker. Those of a rack are in one domain.
    pub fn rack(&self, num: usize) -> String {
        let domain = self.domain(num);
        format!("r{domain}-{}", num / self.domains / self.workers.rack)
    }

    /// Speed of a worker, in thousandths.
    pub fn speed(&self, num: usize) -> u64 {
        let speeds = &self.workers.speeds;
        (speeds[num % speeds.len()] * 1_000.0) as u64
    }

    /// Bounds of the workers.
    pub fn worker_bounds(&self) -> WorkerBounds {
        WorkerBounds {
            lease: Millis(self.workers.max_lease_ms),
            gang: Millis(self.workers.gang_timeout_ms),
            stop: Millis(self.workers.stop_ms),
            checkpoint: Millis(self.workers.checkpoint_ms),
            remote: self.workers.remote_factor,
        }
    }

    /// How a daemon runs.
    pub fn profile(&self, num: usize) -> Profile {
        let classes = self.daemons.iter();
        let mut classes = classes.flat_map(|class| std::iter::repeat_n(class, class.count));
        let class = classes.nth(num);
        Profile {
            domain: self.domain(num),
            share: class.map(|c| c.share),
            memory: class.map(|c| c.memory_mb),
            resources: class.map(|c| {
                let (cores, memory, bandwidth) = (c.share, c.memory_mb, c.bandwidth_mbps);
                format!(r#""cores": "{cores}", "memory": "{memory}", "bandwidth": "{bandwidth}""#)
            }),
            bounds: self.bounds.clone(),
        }
    }

    /// Queues of the configuration.
    pub fn queues(&self) -> Vec<QueueSpec> {
        let queues = self.kinds.iter().map(|kind| QueueSpec {
            name: kind.queue.clone(),
            priority: kind.priority,
            attempts: kind.attempts,
        });
        queues.collect()
    }

    /// Organisations of the configuration.
    pub fn organisations(&self) -> Vec<OrgSpec> {
        let all = (self.workers.accels * self.workers.count as u64) as f64;
        let orgs = self.organisations.iter().enumerate();
        let orgs = orgs.map(|(num, org)| OrgSpec {
            name: format!("org{num}"),
            key: format!("key-{num}"),
            guarantee: (org.guarantee * all) as u64,
        });
        orgs.collect()
    }
}
