//! Baseline schedulers with the planner's interface: FIFO with first fit, and FIFO with
//! backfill.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Attempt;
use base::DomainId;
use base::GangPlan;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::Spread;
use base::TaskPlace;
use base::WorkerId;
use base::WorkerSpec;
use gang::Action;
use gang::Ended;
use gang::Input;

#[derive(Clone)]
struct Entry {
    spec: JobSpec,
    attempt: Attempt,
    failed: BTreeSet<WorkerId>,
    /// Worker index and first accelerator of each task, with the declared end; none while it
    /// waits.
    placement: Option<(Vec<(usize, u32)>, Millis)>,
}

/// A FIFO scheduler. Jobs that fail or are stopped keep their position in the queue.
#[derive(Default)]
pub struct Fifo {
    /// Whether jobs may overtake the first waiting one if that does not delay its start, as
    /// computed from declared run times.
    pub backfill: bool,
    fleet: Vec<WorkerSpec>,
    free: Vec<u64>,
    out: BTreeSet<DomainId>,
    jobs: BTreeMap<u64, Entry>,
    ids: BTreeMap<JobId, u64>,
    next: u64,
}

fn mask_of(first: u32, count: u32) -> u64 {
    ((1u64 << count) - 1) << first
}

impl Fifo {
    pub fn new(backfill: bool) -> Fifo {
        Fifo {
            backfill,
            ..Fifo::default()
        }
    }

    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::WorkerUp(spec) => {
                self.free.push(mask_of(0, spec.accels.0));
                self.fleet.push(spec);
            }
            Input::DomainOut(d) => drop(self.out.insert(d)),
            Input::DomainBack(d) => drop(self.out.remove(&d)),
            Input::Submit { spec, attempt, .. } => {
                self.next += 1;
                self.ids.insert(spec.id.clone(), self.next);
                let failed = BTreeSet::new();
                let entry = Entry {
                    spec,
                    attempt,
                    failed,
                    placement: None,
                };
                self.jobs.insert(self.next, entry);
            }
            Input::Cancel(jobs) => jobs.iter().for_each(|job| self.cancel(job, &mut actions)),
            Input::Ended { job, how } => self.ended(&job, how, &mut actions),
            _ => return actions,
        }
        self.run_pass(now, &mut actions);
        actions
    }

    fn cancel(&mut self, job: &JobId, actions: &mut Vec<Action>) {
        let Some(key) = self.ids.get(job) else { return };
        if self.jobs.get(key).is_some_and(|e| e.placement.is_none()) {
            self.jobs.remove(key);
            self.ids.remove(job);
            actions.push(Action::Cancelled { job: job.clone() });
        }
    }

    fn ended(&mut self, job: &JobId, how: Ended, actions: &mut Vec<Action>) {
        let Some(&key) = self.ids.get(job) else {
            return;
        };
        let Some(mut entry) = self.jobs.remove(&key) else {
            return;
        };
        for (w, first) in entry.placement.take().into_iter().flat_map(|r| r.0) {
            self.free[w] |= mask_of(first, entry.spec.shape.accels.0);
        }
        if how == Ended::Finished {
            return;
        }
        if let Ended::Failed { worker } = how {
            entry.failed.insert(worker);
        }
        if entry.spec.is_stoppable() && entry.failed.len() < 10 {
            entry.attempt = entry.attempt.next();
            self.jobs.insert(key, entry);
        } else {
            actions.push(Action::Cancelled { job: job.clone() });
        }
    }

    fn run_pass(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let waiting: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, e)| e.placement.is_none())
            .map(|(k, _)| *k)
            .collect();
        let mut head: Option<(u64, Millis, Vec<u64>)> = None;
        for key in waiting {
            let entry = self.jobs[&key].clone();
            let Some(places) = self.fit(&entry, &self.free) else {
                if head.is_none() && !self.backfill {
                    return;
                }
                head = head.or_else(|| self.shadow(key, now));
                continue;
            };
            let end = now + entry.spec.length;
            if let Some((first, start, mut free_later)) = head.clone() {
                places
                    .iter()
                    .for_each(|(w, at)| free_later[*w] &= !mask_of(*at, entry.spec.shape.accels.0));
                if end > start && self.fit(&self.jobs[&first], &free_later).is_none() {
                    continue;
                }
                if end > start {
                    head = Some((first, start, free_later));
                }
            }
            self.start(key, places, end, actions);
        }
    }

    fn start(
        &mut self,
        key: u64,
        places: Vec<(usize, u32)>,
        end: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get_mut(&key) else {
            return;
        };
        let count = entry.spec.shape.accels;
        places
            .iter()
            .for_each(|(w, first)| self.free[*w] &= !mask_of(*first, count.0));
        let fleet = &self.fleet;
        let task = |(i, (w, first)): (usize, &(usize, u32))| TaskPlace {
            task: i as u32,
            worker: fleet[*w].id.clone(),
            first: *first,
            count,
        };
        let tasks = places.iter().enumerate().map(task).collect();
        entry.placement = Some((places, end));
        actions.push(Action::Start(GangPlan {
            job: entry.spec.id.clone(),
            attempt: entry.attempt,
            places: tasks,
        }));
    }

    /// Start time of the first waiting job by the declared ends of running jobs, and the
    /// accelerators free at that time.
    fn shadow(&self, key: u64, now: Millis) -> Option<(u64, Millis, Vec<u64>)> {
        let mut running: Vec<&Entry> = self
            .jobs
            .values()
            .filter(|e| e.placement.is_some())
            .collect();
        running.sort_by_key(|e| e.placement.as_ref().map(|r| r.1));
        let mut free = self.free.clone();
        for entry in running {
            let (places, end) = entry.placement.as_ref()?;
            places
                .iter()
                .for_each(|(w, at)| free[*w] |= mask_of(*at, entry.spec.shape.accels.0));
            if self.fit(&self.jobs[&key], &free).is_some() {
                return Some((key, (*end).max(now), free));
            }
        }
        None
    }

    /// First fit: places in the first failure domain, rack or worker found that holds the gang.
    fn fit(&self, entry: &Entry, free: &[u64]) -> Option<Vec<(usize, u32)>> {
        let shape = &entry.spec.shape;
        let mut groups: BTreeMap<&str, Vec<(usize, u32)>> = BTreeMap::new();
        for (w, worker) in self.fleet.iter().enumerate() {
            let wrong_domain = entry
                .spec
                .domain
                .as_ref()
                .is_some_and(|d| *d != worker.domain);
            if wrong_domain
                || worker.accels < shape.accels
                || self.out.contains(&worker.domain)
                || entry.failed.contains(&worker.id)
            {
                continue;
            }
            let group = match shape.spread {
                Spread::Domain => worker.domain.as_str(),
                Spread::Rack => worker.rack.as_str(),
                Spread::Worker => worker.id.as_str(),
            };
            let list = groups.entry(group).or_default();
            let mut first = 0;
            while first + shape.accels.0 <= worker.accels.0 {
                let want = mask_of(first, shape.accels.0);
                if free[w] & want == want {
                    list.push((w, first));
                    first += shape.accels.0;
                } else {
                    first += 1;
                }
                if list.len() == shape.tasks as usize {
                    return Some(list.clone());
                }
            }
        }
        None
    }
}
