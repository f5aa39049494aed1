//! The emulated site: workers that run tasks in simulated time, driven by the real scheduler.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use std::net::SocketAddr;

use base::Epoch;
use base::JobId;
use base::Map;
use base::Millis;
use base::WorkerId;
use batch::ActiveRun;
use batch::Bounds;
use batch::Catalog;
use batch::EndKind;
use batch::EndedRun;
use batch::Load;
use batch::OddRows;
use batch::Report;
use batch::Resources;
use batch::RunNumber;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::Submitted;
use batch::TaskId;
use batch::WorkerEntry;
use batch::WorkerState;

/// Simulated time between two turns.
pub const TURN: Millis = Millis(20);

/// Time between two polls of a worker on which no run ends.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Time between two publications of the load.
const LOAD_INTERVAL: Millis = Millis(500);

/// Time at which the emulation begins.
const WORLD_START: Millis = Millis(1_000_000);

/// Time in milliseconds from the start in which faulty workers fail what they start, and how long
/// after the start a run fails.
const FAULT: std::ops::Range<u64> = 1_500..8_000;
const FAILURE_DELAY: Millis = Millis(40);

const WORKERS_PER_RACK: usize = 8;

/// Cores that one accelerator counts as when work is summed.
const ACCEL_CORES: u64 = 8;

const WHOLE: Resources = Resources {
    cpu: 32_000,
    memory: 128_000,
    accels: 8,
};

pub const BOUNDS: Bounds = Bounds {
    max_hold: Millis(10_000),
    stop_grace: Millis(200),
    reclaim: Millis(2_700),
    config_apply: Millis(4_000),
    drain: Millis(2_000),
    evacuate: Millis(5_000),
    cancel: Millis(3_000),
    heartbeat: Millis(1_500),
    contact: Millis(3_000),
    status: Millis(120_000),
    remote_factor: 3,
    pace: Millis(100),
    harm: Millis(5_000),
    min_ttl: Millis(1_000),
};

/// What only the emulator knows about a job.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    /// Work of each task on a worker of normal speed.
    pub work: Millis,
    /// Whether every run fails.
    pub hopeless: bool,
}

struct Run {
    run: RunNumber,
    started: Millis,
    left: f64,
    ends_at: Option<Millis>,
    fails: bool,
}

struct EmulatedWorker {
    entry: WorkerEntry,
    speed: f64,
    /// Whether it fails all that it starts while such a fault lasts.
    fails: bool,
    runs: BTreeMap<TaskId, Run>,
    ended: Vec<EndedRun>,
    ends: u64,
    polled: Millis,
}

/// Sums over a run of the emulator.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub starts: u64,
    pub stopped: u64,
    pub failed: u64,
    /// Core-seconds of work that was stopped and not saved.
    pub wasted: f64,
    pub passes: u64,
    pub pass_time: Duration,
    pub pass_max: Duration,
    pub stop_time: Duration,
}

pub struct World {
    pub now: Millis,
    pub scheduler: Scheduler,
    pub load: Load,
    pub load_at: Millis,
    pub totals: Totals,
    /// Jobs that have ended, with the time of it.
    pub done: Map<JobId, Millis>,
    workers: Vec<EmulatedWorker>,
    index: Map<WorkerId, usize>,
    truths: Map<JobId, (Submitted, Truth)>,
}

impl World {
    pub fn new(
        workers: usize,
        speeds: &[f64],
        slow: usize,
        failing: usize,
        catalog: Catalog,
    ) -> World {
        let now = WORLD_START;
        let mut world = World {
            now,
            scheduler: Scheduler::new(Epoch(1), BOUNDS, catalog, now),
            load: Load::default(),
            load_at: now,
            totals: Totals::default(),
            done: Map::default(),
            workers: Vec::new(),
            index: Map::default(),
            truths: Map::default(),
        };
        for num in 0..workers {
            let entry = entry(num);
            world.index.insert(entry.id.clone(), num);
            // Workers write their entries throughout.
            world
                .scheduler
                .update_worker(entry.clone(), Millis(u64::MAX));
            world.workers.push(EmulatedWorker {
                entry,
                fails: num % 5 == 0 && num / 5 < failing,
                speed: if num % 7 == 0 && num / 7 < slow {
                    0.25
                } else {
                    // Racks are mixed, and so are neighbours.
                    speeds[num * 7 / 3 % speeds.len()]
                },
                runs: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                polled: Millis::ZERO,
            });
            world.poll(num);
        }
        world
    }

    pub fn submit(&mut self, id: JobId, submitted: Submitted, truth: Truth) {
        self.truths.insert(id.clone(), (submitted.clone(), truth));
        self.scheduler.add(id, submitted, None, self.now);
    }

    /// Advances the site by one turn, with one planning pass.
    pub fn turn(&mut self) {
        self.now += TURN;
        self.advance_runs();
        for num in 0..self.workers.len() {
            let worker = &self.workers[num];
            if !worker.ended.is_empty() || self.now.since(worker.polled) >= POLL_INTERVAL {
                self.poll(num);
            }
        }
        let begun = Instant::now();
        self.scheduler.tick(self.now, self.now);
        self.scheduler.plan(self.now, self.now);
        let took = begun.elapsed();
        self.totals.passes += 1;
        self.totals.pass_time += took;
        self.totals.pass_max = self.totals.pass_max.max(took);
        let pending = self.scheduler.take_pending();
        for start in self.scheduler.records_stored(pending, self.now) {
            self.start(&start);
        }
        let begun = Instant::now();
        let stops = self.scheduler.stop_requests(self.now);
        self.totals.stop_time += begun.elapsed();
        for stop in stops {
            self.stop(&stop);
        }
        for entry in self.scheduler.take_log() {
            if let Some(job) = entry
                .job
                .filter(|_| entry.text.starts_with("job ended: Completed"))
            {
                self.done.insert(job, self.now);
            }
        }
        if self.now.since(self.load_at) >= LOAD_INTERVAL {
            self.load = self.scheduler.load();
            self.load_at = self.now;
        }
    }

    fn start(&mut self, request: &StartRequest) {
        let Some((submitted, truth)) = self.truths.get(&request.task.job) else {
            return;
        };
        let step = &submitted.work.steps[usize::from(request.task.step)];
        let saved: f64 = request.saved.parse().unwrap_or(0.0);
        let left = truth.work.0 as f64 * (1.0 - saved);
        debug_assert!(step.count > 0);
        self.totals.starts += 1;
        let now = self.now;
        let worker = &mut self.workers[self.index[&request.worker]];
        worker.runs.insert(
            request.task.clone(),
            Run {
                run: request.run,
                started: now,
                left,
                ends_at: None,
                fails: worker.fails && FAULT.contains(&now.since(WORLD_START).0),
            },
        );
        let clock = now.0;
        self.scheduler
            .start_response(request, StartResponse::Accepted(clock), now);
    }

    fn stop(&mut self, request: &StopRequest) {
        let at = self.now + Millis(BOUNDS.stop_grace.0 / 2);
        let worker = &mut self.workers[self.index[&request.worker]];
        if let Some(run) = worker.runs.get_mut(&request.task) {
            run.ends_at.get_or_insert(at);
        }
        self.scheduler.stop_accepted(request, self.now.0, self.now);
    }

    fn advance_runs(&mut self) {
        // The members of a gang progress each at its worker's speed and end with the last one.
        let mut most: Map<(JobId, RunNumber), f64> = Map::default();
        for worker in &mut self.workers {
            let progress = TURN.0 as f64 * worker.speed;
            for (task, run) in &mut worker.runs {
                run.left -= progress;
                let left = most
                    .entry((task.job.clone(), run.run))
                    .or_insert(f64::NEG_INFINITY);
                *left = left.max(run.left);
            }
        }
        let now = self.now;
        for num in 0..self.workers.len() {
            let worker = &mut self.workers[num];
            let mut ended = Vec::new();
            for (task, run) in &mut worker.runs {
                let Some((submitted, truth)) = self.truths.get(&task.job) else {
                    continue;
                };
                let spec = &submitted.work.steps[usize::from(task.step)];
                let left = match spec.gang {
                    true => most[&(task.job.clone(), run.run)],
                    false => run.left,
                };
                let kind = match () {
                    () if run.ends_at.is_some_and(|at| now >= at) => EndKind::Stopped,
                    () if run.ends_at.is_some() => continue,
                    () if run.fails && now.since(run.started) >= FAILURE_DELAY => EndKind::Failed,
                    () if left > 0.0 => continue,
                    () if truth.hopeless => EndKind::Failed,
                    () => EndKind::Done,
                };
                ended.push((task.clone(), kind));
            }
            for (task, kind) in ended {
                let run = worker.runs.remove(&task).expect("listed above");
                let (submitted, truth) = &self.truths[&task.job];
                let spec = &submitted.work.steps[usize::from(task.step)];
                let cores = (spec.need.cpu / 1000 + ACCEL_CORES * spec.need.accels) as f64;
                let share = 1.0 - run.left.max(0.0) / truth.work.0 as f64;
                let saved = match spec.checkpoints && kind == EndKind::Stopped {
                    true => format!("{share:.4}"),
                    false => String::new(),
                };
                match kind {
                    EndKind::Stopped => {
                        self.totals.stopped += 1;
                        if !spec.checkpoints {
                            self.totals.wasted += now.since(run.started).0 as f64 / 1000.0 * cores;
                        }
                    }
                    EndKind::Failed => self.totals.failed += 1,
                    _ => {}
                }
                worker.ends += 1;
                worker.ended.push(EndedRun {
                    number: worker.ends,
                    task,
                    run: run.run,
                    kind,
                    saved,
                });
            }
        }
    }

    fn poll(&mut self, num: usize) {
        let now = self.now;
        let worker = &mut self.workers[num];
        worker.polled = now;
        let running = worker.runs.iter().map(|(task, run)| {
            let total = self.truths[&task.job].1.work.0 as f64;
            ActiveRun {
                task: task.clone(),
                run: run.run,
                saved: String::new(),
                percent: (100.0 * (1.0 - run.left / total)).clamp(0.0, 100.0) as u32,
                load: None,
            }
        });
        let report = Report {
            born: Some(1),
            clock: now.0,
            running: running.collect(),
            ended: std::mem::take(&mut worker.ended),
            odd: OddRows::default(),
        };
        let id = worker.entry.id.clone();
        // A poll also renews the worker's lease.
        let _ = self.scheduler.poll(&id, true, now);
        self.scheduler.report(&id, report, now, now);
    }
}

fn entry(num: usize) -> WorkerEntry {
    let rack = num / WORKERS_PER_RACK;
    WorkerEntry {
        id: format!("w{num:05}").parse().expect("a worker id"),
        born: Some(1),
        address: SocketAddr::from(([10, 0, (num >> 8) as u8, num as u8], 1)),
        domain: format!("d{}", rack % 6).parse().expect("a domain"),
        pool: "pool".parse().expect("a pool"),
        state: WorkerState::Ready,
        capacity: WHOLE,
        labels: vec!["a".to_string(), format!("r{rack}")],
        cold: Millis::ZERO,
    }
}
