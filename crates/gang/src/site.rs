//! Workers by failure domain and rack, and what stands on each.

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

/// Key of a job within the planner, in order of arrival.
pub type JobKey = u64;

/// Part of a worker: accelerators, cores and bytes of memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Accelerators.
    pub mask: Mask,
    /// Cores.
    pub cores: u32,
    /// Memory in bytes.
    pub memory: u64,
}

impl Resources {
    /// Adds a disjoint part.
    pub fn add(&mut self, other: Resources) {
        self.mask |= other.mask;
        self.cores += other.cores;
        self.memory += other.memory;
    }

    /// Removes a part that was added.
    pub fn remove(&mut self, other: Resources) {
        self.mask &= !other.mask;
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory = self.memory.saturating_sub(other.memory);
    }

    /// What is left of this part without `other`.
    pub fn minus(mut self, other: Resources) -> Resources {
        self.remove(other);
        self
    }

    /// What both parts have in common.
    pub fn common(self, other: Resources) -> Resources {
        Resources {
            mask: self.mask & other.mask,
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    /// Whether `other` is a part of this.
    pub fn covers(self, other: Resources) -> bool {
        other.mask & !self.mask == 0 && other.cores <= self.cores && other.memory <= self.memory
    }
}

/// Place of one task, with the worker's index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Index of the worker in the site.
    pub worker: usize,
    /// First accelerator.
    pub first: u32,
    /// What the task takes.
    pub resources: Resources,
}

/// Right by which a task stands where it does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskClass {
    /// On a guarantee of its own organisation.
    Guaranteed,
    /// On borrowed capacity; it can be stopped.
    Borrowed,
    /// On capacity that no guarantee needs; it cannot be stopped.
    Pinned,
}

/// A task that stands on a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacedTask {
    /// The job.
    pub job: JobKey,
    /// What it takes.
    pub resources: Resources,
    /// By which right.
    pub class: TaskClass,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    /// It is gone.
    Down,
    /// It leaves; nothing new is placed on it.
    Leaving,
    /// It takes work.
    Up,
}

/// A worker and what stands on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker as the platform describes it.
    pub spec: WorkerSpec,
    /// Index of its failure domain.
    pub domain: usize,
    /// Whether it takes work.
    pub state: WorkerState,
    /// Whether it is isolated.
    pub isolated: bool,
    /// Whether it is isolated but may be tried with one small job.
    pub probing: bool,
    /// Distinct jobs that failed on it in a row.
    pub recent_failures: u32,
    /// Active tasks.
    pub placed: Vec<PlacedTask>,
    /// Sum of the active tasks.
    pub busy: Resources,
    /// Sum of the tasks that wait for tenants to stop.
    pub claimed: Resources,
    /// Sum of the tenants that cannot be stopped and stand outside guarantees.
    pub pinned: Resources,
    /// Sum of the cells assigned to guarantees.
    pub guaranteed: Resources,
}

impl Worker {
    /// The whole worker.
    pub fn total(&self) -> Resources {
        Resources {
            mask: mask_of(0, self.spec.accels.0),
            cores: self.spec.cores.0,
            memory: self.spec.memory.0,
        }
    }

    /// Whether it takes work and counts towards guarantees.
    pub fn is_available(&self) -> bool {
        self.state == WorkerState::Up && !self.isolated
    }

    /// What neither stands here nor is held.
    pub fn free(&self) -> Resources {
        self.total().minus(self.busy).minus(self.claimed)
    }

    /// What one task of a shape takes here, from accelerator `first` on.
    pub fn task_resources(&self, shape: &Shape, first: u32) -> Resources {
        Resources {
            mask: mask_of(first, shape.accels.0),
            cores: shape.cores.0,
            memory: shape.memory.0,
        }
    }

    /// What one task of a shape takes here, without a position.
    pub fn guaranteed_resources(&self, shape: &Shape, first: u32) -> Resources {
        self.task_resources(&self.guaranteed_shape(shape), first)
    }

    /// What one task of a guaranteed shape takes here: without cores or memory, the share that
    /// its accelerators make up.
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

/// A rack's workers, by index.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The rack.
    pub id: RackId,
    /// Its workers.
    pub workers: Vec<usize>,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// The failure domain.
    pub id: DomainId,
    /// Its racks.
    pub racks: Vec<Rack>,
    /// Whether operators took it out.
    pub out: bool,
    /// When it returned.
    pub returned: Option<Millis>,
    /// Paced starts since it returned.
    pub paced_starts: u64,
}

/// All workers known.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The workers; indexes stay.
    pub workers: Vec<Worker>,
    /// The failure domains; indexes stay.
    pub domains: Vec<Domain>,
    ids: Map<WorkerId, usize>,
}

impl Site {
    /// The same workers, all in service and with nothing on them.
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

    /// Index of a worker.
    pub fn worker_index(&self, id: &WorkerId) -> Option<usize> {
        self.ids.get(id).copied()
    }

    /// Index of a failure domain.
    pub fn domain_index(&self, id: &DomainId) -> Option<usize> {
        self.domains.iter().position(|d| d.id == *id)
    }

    /// Index of a failure domain, made known if need be.
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

    /// Puts a worker into service and returns its index.
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

    /// Puts an active job's tasks on their workers.
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

    /// Takes an active job's tasks off their workers.
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
