//! Workers by failure domain and rack, and the tasks placed on each.

use base::Accels;
use base::DomainId;
use base::Map;
use base::Millis;
use base::RackId;
use base::Shape;
use base::WorkerId;
use base::WorkerSpec;

use crate::blocks::mask_of;
use crate::blocks::Mask;
use crate::blocks::MAX_ACCELS;

/// The planner's own key for a job. Keys increase in order of arrival.
pub type JobKey = u64;

/// Accelerators, cores and memory of a worker, or a part of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    pub mask: Mask,
    pub cores: u32,
    /// In bytes.
    pub memory: u64,
}

impl Resources {
    /// Adds resources whose accelerators are disjoint from these.
    pub fn add(&mut self, other: Resources) {
        self.mask |= other.mask;
        self.cores += other.cores;
        self.memory += other.memory;
    }

    /// Subtracts resources that were added before.
    pub fn remove(&mut self, other: Resources) {
        self.mask &= !other.mask;
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory = self.memory.saturating_sub(other.memory);
    }

    pub fn minus(mut self, other: Resources) -> Resources {
        self.remove(other);
        self
    }

    /// The resources contained in both.
    pub fn common(self, other: Resources) -> Resources {
        Resources {
            mask: self.mask & other.mask,
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    pub fn covers(self, other: Resources) -> bool {
        other.mask & !self.mask == 0 && other.cores <= self.cores && other.memory <= self.memory
    }
}

/// Position of one task on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Index into [`Site::workers`].
    pub worker: usize,
    /// Index of its first accelerator on the worker.
    pub first: u32,
    pub resources: Resources,
}

/// How a placed task relates to guarantees; decides whether it can be evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskClass {
    /// Runs on a guarantee of its own organisation.
    Guaranteed,
    /// Runs on borrowed capacity and can be stopped at any time.
    Borrowed,
    /// Runs on capacity that no guarantee needs, since it cannot be stopped.
    Pinned,
}

/// A task on a worker, with the job that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct PlacedTask {
    pub job: JobKey,
    pub resources: Resources,
    pub class: TaskClass,
}

/// Availability of a worker, as reported to the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    Down,
    /// Running tasks may go on, but nothing new is placed on it.
    Leaving,
    Up,
}

/// A worker, its state and the tasks placed on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker as reported by the platform.
    pub spec: WorkerSpec,
    /// Index into [`Site::domains`].
    pub domain: usize,
    pub state: WorkerState,
    /// Whether nothing is placed on it after repeated failures, other than probes.
    pub isolated: bool,
    /// Whether it is isolated and the next small job may be placed on it as a probe.
    pub probing: bool,
    /// Distinct jobs that failed on it since its last success, at most
    /// [`crate::Policy::strikes`].
    pub recent_failures: u32,
    /// Tasks of active jobs.
    pub placed: Vec<PlacedTask>,
    /// Sum of the resources in `placed`.
    pub busy: Resources,
    /// The part of `busy` beyond the worker's capacity, which shrank under it.
    pub overhang: Resources,
    /// Resources of claiming jobs, which wait for active jobs to stop.
    pub claimed: Resources,
    /// Resources of active and claiming jobs of class [`TaskClass::Pinned`].
    pub pinned: Resources,
    /// Resources assigned to guaranteed gangs.
    pub guaranteed: Resources,
}

impl Worker {
    pub fn total(&self) -> Resources {
        Resources {
            mask: mask_of(0, self.spec.accels.0),
            cores: self.spec.cores.0,
            memory: self.spec.memory.0,
        }
    }

    /// Whether the platform reports another capacity than before.
    pub fn has_changed(&self, spec: &WorkerSpec) -> bool {
        let accels = Accels(spec.accels.0.min(MAX_ACCELS));
        (accels, spec.cores, spec.memory) != (self.spec.accels, self.spec.cores, self.spec.memory)
    }

    /// Takes over the capacity that the platform reports. What is in use beyond it stays in use.
    pub fn set_capacity(&mut self, spec: &WorkerSpec) {
        self.spec.accels = Accels(spec.accels.0.min(MAX_ACCELS));
        self.spec.cores = spec.cores;
        self.spec.memory = spec.memory;
        self.overhang = self.busy.minus(self.total());
    }

    /// Whether jobs and guarantees may be placed on it.
    pub fn is_available(&self) -> bool {
        self.state == WorkerState::Up && !self.isolated
    }

    /// Resources that are neither in use nor claimed.
    pub fn free(&self) -> Resources {
        self.total().minus(self.busy).minus(self.claimed)
    }

    /// Resources of one task of this shape at accelerator `first`.
    pub fn task_resources(&self, shape: &Shape, first: u32) -> Resources {
        Resources {
            mask: mask_of(first, shape.accels.0),
            cores: shape.cores.0,
            memory: shape.memory.0,
        }
    }

    /// Resources of one task of a guaranteed shape at accelerator `first`.
    pub fn guaranteed_resources(&self, shape: &Shape, first: u32) -> Resources {
        self.task_resources(&self.guaranteed_shape(shape), first)
    }

    /// A guaranteed shape with cores and memory filled in for this worker: if they are 0, the
    /// share that corresponds to the task's share of the accelerators.
    pub fn guaranteed_shape(&self, shape: &Shape) -> Shape {
        let mut shape = *shape;
        let total = self.spec.accels.0.max(1);
        if shape.cores.0 == 0 {
            shape.cores.0 = self.spec.cores.0 * shape.accels.0 / total;
        }
        if shape.memory.0 == 0 {
            shape.memory.0 = self.spec.memory.0 / u64::from(total) * u64::from(shape.accels.0);
        }
        shape
    }
}

#[derive(Clone, Debug)]
pub struct Rack {
    pub id: RackId,
    /// Indexes into [`Site::workers`].
    pub workers: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct Domain {
    pub id: DomainId,
    pub racks: Vec<Rack>,
    /// Whether operators took it out of service.
    pub out: bool,
    /// When it last came back into service.
    pub returned: Option<Millis>,
    /// Starts on borrowed capacity since it came back into service.
    pub paced_starts: u64,
}

/// All workers ever reported. Workers and failure domains are never removed, so that their
/// indexes stay valid.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub workers: Vec<Worker>,
    pub domains: Vec<Domain>,
    ids: Map<WorkerId, usize>,
}

impl Site {
    /// A copy with all workers and failure domains in service and nothing placed.
    pub fn emptied(&self) -> Site {
        let mut site = self.clone();
        for domain in &mut site.domains {
            domain.out = false;
        }
        for worker in &mut site.workers {
            worker.state = WorkerState::Up;
            worker.isolated = false;
            worker.placed.clear();
            worker.busy = Resources::default();
            worker.claimed = Resources::default();
            worker.pinned = Resources::default();
            worker.guaranteed = Resources::default();
        }
        site
    }

    pub fn worker_index(&self, id: &WorkerId) -> Option<usize> {
        self.ids.get(id).copied()
    }

    pub fn domain_index(&self, id: &DomainId) -> Option<usize> {
        self.domains.iter().position(|d| d.id == *id)
    }

    /// Index of a failure domain, which is added if it is new.
    pub fn ensure_domain(&mut self, id: &DomainId) -> usize {
        if let Some(i) = self.domain_index(id) {
            return i;
        }
        self.domains.push(Domain {
            id: id.clone(),
            racks: Vec::new(),
            out: false,
            returned: None,
            paced_starts: 0,
        });
        self.domains.len() - 1
    }

    /// Adds a worker, or marks a known one as up, and returns its index.
    pub fn add(&mut self, mut spec: WorkerSpec) -> usize {
        spec.accels = Accels(spec.accels.0.min(MAX_ACCELS));
        if let Some(i) = self.worker_index(&spec.id) {
            self.workers[i].state = WorkerState::Up;
            return i;
        }
        let domain = self.ensure_domain(&spec.domain);
        let i = self.workers.len();
        self.ids.insert(spec.id.clone(), i);
        self.ensure_rack(domain, &spec.rack).workers.push(i);
        self.workers.push(Worker {
            spec,
            domain,
            state: WorkerState::Up,
            isolated: false,
            probing: false,
            recent_failures: 0,
            placed: Vec::new(),
            busy: Resources::default(),
            overhang: Resources::default(),
            claimed: Resources::default(),
            pinned: Resources::default(),
            guaranteed: Resources::default(),
        });
        i
    }

    fn ensure_rack(&mut self, domain: usize, id: &RackId) -> &mut Rack {
        let racks = &mut self.domains[domain].racks;
        let i = racks.iter().position(|r| r.id == *id).unwrap_or_else(|| {
            racks.push(Rack {
                id: id.clone(),
                workers: Vec::new(),
            });
            racks.len() - 1
        });
        &mut racks[i]
    }

    /// Places an active job's tasks on their workers.
    pub fn add_tasks(&mut self, job: JobKey, places: &[Place], class: TaskClass) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            let resources = place.resources;
            worker.placed.push(PlacedTask {
                job,
                resources,
                class,
            });
            worker.busy.add(resources);
            if class == TaskClass::Pinned {
                worker.pinned.add(resources);
            }
        }
    }

    /// Notes that adopted tasks at these places may be beyond the capacity of their workers.
    pub fn set_overhang(&mut self, places: &[Place]) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            worker.overhang = worker.busy.minus(worker.total());
        }
    }

    /// Notes that the tasks at these places have ended, for workers whose capacity shrank under them.
    pub fn trim_overhang(&mut self, places: &[Place]) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            let beyond = worker.busy.minus(worker.total());
            worker.overhang = worker.overhang.common(beyond);
        }
    }

    /// Removes an active job's tasks from their workers.
    pub fn remove_tasks(&mut self, job: JobKey, places: &[Place]) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            let found = worker.placed.iter().position(|t| t.job == job);
            let Some(i) = found else { continue };
            let task = worker.placed.remove(i);
            worker.busy.remove(task.resources);
            if task.class == TaskClass::Pinned {
                worker.pinned.remove(task.resources);
            }
        }
    }
}
