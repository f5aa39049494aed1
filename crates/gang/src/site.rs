//! Workers by failure domain and rack, and what stands on each.

use base::Accels;
use base::DomainId;
use base::Map;
use base::Millis;
use base::RackId;
use base::Shape;
use base::WorkerId;
use base::WorkerSpec;

use crate::cells::span;
use crate::cells::Mask;
use crate::cells::MAX_ACCELS;

/// Key of a job within the planner, in order of arrival.
pub type Key = u64;

/// Part of a worker: accelerators, cores and bytes of memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Accelerators.
    pub mask: Mask,
    /// Cores.
    pub cores: u32,
    /// Memory in bytes.
    pub memory: u64,
}

impl Load {
    /// Adds a disjoint part.
    pub fn add(&mut self, other: Load) {
        self.mask |= other.mask;
        self.cores += other.cores;
        self.memory += other.memory;
    }

    /// Removes a part that was added.
    pub fn remove(&mut self, other: Load) {
        self.mask &= !other.mask;
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory = self.memory.saturating_sub(other.memory);
    }

    /// What is left of this part without `other`.
    pub fn without(mut self, other: Load) -> Load {
        self.remove(other);
        self
    }

    /// What both parts have in common.
    pub fn common(self, other: Load) -> Load {
        Load {
            mask: self.mask & other.mask,
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    /// Whether `other` is a part of this.
    pub fn covers(self, other: Load) -> bool {
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
    pub load: Load,
}

/// Right by which a task stands where it does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Footing {
    /// On a guarantee of its own organisation.
    Backed,
    /// On borrowed capacity; it can be stopped.
    Borrowed,
    /// On capacity that no guarantee needs; it cannot be stopped.
    Fixed,
}

/// A task that stands on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// The job.
    pub job: Key,
    /// What it takes.
    pub load: Load,
    /// By which right.
    pub footing: Footing,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
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
    pub service: Service,
    /// Whether it is isolated.
    pub isolated: bool,
    /// Whether it is isolated but may be tried with one small job.
    pub probing: bool,
    /// Distinct jobs that failed on it in a row.
    pub suspect: u32,
    /// Active tasks.
    pub tenants: Vec<Tenant>,
    /// Sum of the active tasks.
    pub busy: Load,
    /// Sum of the tasks that wait for tenants to stop.
    pub held: Load,
    /// Sum of the tenants that cannot be stopped and stand outside guarantees.
    pub fixed: Load,
    /// Sum of the cells assigned to guarantees.
    pub owed: Load,
}

impl Worker {
    /// The whole worker.
    pub fn all(&self) -> Load {
        Load {
            mask: span(0, self.spec.accels.0),
            cores: self.spec.cores.0,
            memory: self.spec.memory.0,
        }
    }

    /// Whether it takes work and counts towards guarantees.
    pub fn is_open(&self) -> bool {
        self.service == Service::Up && !self.isolated
    }

    /// What neither stands here nor is held.
    pub fn free(&self) -> Load {
        self.all().without(self.busy).without(self.held)
    }

    /// What one task of a shape takes here, from accelerator `first` on.
    pub fn load(&self, shape: &Shape, first: u32) -> Load {
        Load {
            mask: span(first, shape.accels.0),
            cores: shape.cores.0,
            memory: shape.memory.0,
        }
    }

    /// What one task of a shape takes here, without a position.
    pub fn share_load(&self, shape: &Shape, first: u32) -> Load {
        self.load(&self.share(shape), first)
    }

    /// What one task of a guaranteed shape takes here: without cores or memory, the share that
    /// its accelerators make up.
    pub fn share(&self, shape: &Shape) -> Shape {
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
    pub back: Option<Millis>,
    /// Paced starts since it returned.
    pub starts: u64,
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
            worker.service = Service::Up;
            worker.isolated = false;
            worker.tenants.clear();
            worker.busy = Load::default();
            worker.held = Load::default();
            worker.fixed = Load::default();
            worker.owed = Load::default();
        }
        site
    }

    /// Index of a worker.
    pub fn find(&self, id: &WorkerId) -> Option<usize> {
        self.ids.get(id).copied()
    }

    /// Index of a failure domain.
    pub fn find_domain(&self, id: &DomainId) -> Option<usize> {
        self.domains.iter().position(|d| d.id == *id)
    }

    /// Index of a failure domain, made known if need be.
    pub fn domain(&mut self, id: &DomainId) -> usize {
        if let Some(i) = self.find_domain(id) {
            return i;
        }
        self.domains.push(Domain {
            id: id.clone(),
            racks: Vec::new(),
            out: false,
            back: None,
            starts: 0,
        });
        self.domains.len() - 1
    }

    /// Puts a worker into service and returns its index.
    pub fn add(&mut self, mut spec: WorkerSpec) -> usize {
        spec.accels = Accels(spec.accels.0.min(MAX_ACCELS));
        if let Some(i) = self.find(&spec.id) {
            self.workers[i].service = Service::Up;
            return i;
        }
        let domain = self.domain(&spec.domain);
        let i = self.workers.len();
        self.ids.insert(spec.id.clone(), i);
        self.rack(domain, &spec.rack).workers.push(i);
        self.workers.push(Worker {
            spec,
            domain,
            service: Service::Up,
            isolated: false,
            probing: false,
            suspect: 0,
            tenants: Vec::new(),
            busy: Load::default(),
            held: Load::default(),
            fixed: Load::default(),
            owed: Load::default(),
        });
        i
    }

    fn rack(&mut self, domain: usize, id: &RackId) -> &mut Rack {
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
    pub fn seat(&mut self, job: Key, places: &[Place], footing: Footing) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            let load = place.load;
            worker.tenants.push(Tenant { job, load, footing });
            worker.busy.add(load);
            if footing == Footing::Fixed {
                worker.fixed.add(load);
            }
        }
    }

    /// Takes an active job's tasks off their workers.
    pub fn unseat(&mut self, job: Key, places: &[Place]) {
        for place in places {
            let worker = &mut self.workers[place.worker];
            let found = worker.tenants.iter().position(|t| t.job == job);
            let Some(i) = found else { continue };
            let tenant = worker.tenants.remove(i);
            worker.busy.remove(tenant.load);
            if tenant.footing == Footing::Fixed {
                worker.fixed.remove(tenant.load);
            }
        }
    }
}
