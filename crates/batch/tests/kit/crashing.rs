//! A simulated site on which some tasks crash their workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::JobId;
use base::Millis;
use batch::JobPhase;
use batch::TaskId;

use super::job;
use super::site::Faults;
use super::site::Site;
use super::step;

/// Time from the start of a crashing task until its worker crashes.
const CRASH_AFTER: Millis = Millis(10);

/// Time until a crashed worker is back.
pub const DOWN_TIME: Millis = Millis(3_000);

/// How a worker comes back after a crash.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Back {
    /// Under its id.
    SameId,
    /// Under another id, at the same address.
    OtherId,
}

/// A site on which some tasks crash their workers.
pub struct Crashing {
    pub site: Site,
    back: Back,
    /// Workers that are down, and when they crashed.
    down: BTreeMap<usize, Millis>,
    /// Under which tasks workers have crashed, and when.
    pub crashes: Vec<(TaskId, Millis)>,
    /// Number of incarnations with ids of their own.
    renamed: usize,
}

impl Crashing {
    pub fn new(workers: usize, back: Back) -> Crashing {
        Crashing {
            site: Site::new(workers, 1, Faults::default()),
            back,
            down: BTreeMap::new(),
            crashes: Vec::new(),
            renamed: 0,
        }
    }

    pub fn crash(&mut self, num: usize) {
        let worker = &mut self.site.workers[num];
        worker.up = false;
        worker.listed = false;
        self.down.insert(num, self.site.now);
    }

    pub fn bring_back(&mut self, num: usize) {
        let worker = &mut self.site.workers[num];
        worker.restart(self.site.now);
        if self.back == Back::OtherId {
            self.renamed += 1;
            let id = format!("{}-{}", worker.address.port(), self.renamed);
            worker.id = id.parse().expect("a worker id");
        }
        self.down.remove(&num);
    }

    /// Runs the site; a task that `crashes` crashes its worker.
    pub fn run(&mut self, span: Millis, crashes: impl Fn(&TaskId) -> bool) {
        let end = self.site.now + span;
        while self.site.now < end {
            self.site.turn();
            let now = self.site.now;
            let up = self.site.workers.iter().enumerate().filter(|(_, w)| w.up);
            let found = up.filter_map(|(num, w)| {
                let mut runs = w.runs.iter();
                let due = runs.find(|(t, r)| crashes(t) && now.since(r.started) >= CRASH_AFTER);
                due.map(|(task, _)| (num, task.clone()))
            });
            for (num, task) in found.collect::<Vec<_>>() {
                self.crash(num);
                self.crashes.push((task, now));
            }
            let down = self.down.iter().map(|(num, at)| (*num, *at));
            let due = down.filter(|(_, at)| now.since(*at) >= DOWN_TIME);
            for (num, _) in due.collect::<Vec<_>>() {
                self.bring_back(num);
            }
        }
    }

    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        self.site.phase_shown(id)
    }

    /// Submits a job with one task that crashes its workers, beside sound work on all workers.
    pub fn submit_pair(&mut self, guilty: batch::StepSpec) -> (JobId, JobId) {
        let now = self.site.now;
        let sound = job(2, vec![step(24, 1, Millis(4_000))], now);
        let sound = self.site.submit("sound", sound);
        let guilty = self.site.submit("guilty", job(2, vec![guilty], now));
        (sound, guilty)
    }

    /// Runs the site until workers have crashed under tasks so many times.
    pub fn run_until_crashes(&mut self, count: usize, crashes: impl Fn(&TaskId) -> bool) {
        while self.crashes.len() < count {
            self.run(Millis(10), &crashes);
        }
    }

    /// Number of jobs that run on each worker that is up.
    pub fn jobs_on_workers(&self) -> Vec<BTreeSet<JobId>> {
        let up = self.site.workers.iter().filter(|w| w.up);
        up.map(|w| w.runs.keys().map(|t| t.job.clone()).collect())
            .collect()
    }
}
