//! Choice of a failure domain for a job that may run in any of them.

use std::cmp::Reverse;

use base::Accels;
use base::DomainId;
use base::JobSpec;
use base::OrgId;

/// Free capacity and load of a failure domain, as its coordinator reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainOffer {
    /// Failure domain that the report is about.
    pub domain: DomainId,
    /// Whether operators took it out of service.
    pub out: bool,
    /// Accelerators of all workers that accept jobs.
    pub total: Accels,
    /// Number of free aligned blocks by size in accelerators.
    pub free_blocks: Vec<(Accels, u32)>,
    /// Unused guaranteed gangs: organisation, accelerators of a task, number of tasks.
    pub unused_guarantees: Vec<(OrgId, Accels, u32)>,
    /// Accelerators that waiting jobs ask for.
    pub waiting: Accels,
}

impl DomainOffer {
    /// Tasks of `accels` accelerators that fit into the free blocks.
    fn slots(&self, accels: Accels) -> u32 {
        if accels.0 == 0 {
            return u32::MAX;
        }
        let tasks_in = |size: u32| size / accels.0.next_power_of_two();
        let free_blocks = self.free_blocks.iter();
        free_blocks
            .map(|(size, count)| tasks_in(size.0) * count)
            .sum()
    }

    fn has_guarantee(&self, spec: &JobSpec) -> bool {
        let shape = &spec.shape;
        let fits = |(org, accels, tasks): &(OrgId, Accels, u32)| {
            *org == spec.org && *accels >= shape.accels && *tasks >= shape.tasks
        };
        self.unused_guarantees.iter().any(fits)
    }
}

/// Chooses the failure domain for a job: the one it asks for, else one where its organisation
/// has an unused guarantee, else the tightest fit among those that can start it now, else the
/// one with the least waiting work for its size. None if no failure domain in service is large
/// enough.
pub fn pick_domain(spec: &JobSpec, offers: &[DomainOffer]) -> Option<DomainId> {
    if spec.domain.is_some() {
        return spec.domain.clone();
    }
    let open = offers.iter().filter(|o| !o.out && o.total >= spec.accels());
    let rank = |offer: &&DomainOffer| {
        let slots = offer.slots(spec.shape.accels);
        let fits_now = slots >= spec.shape.tasks && offer.waiting == Accels(0);
        let queue = u64::from(offer.waiting.0) * 1000 / u64::from(offer.total.0.max(1));
        let left = if fits_now { slots } else { 0 };
        (
            Reverse(offer.has_guarantee(spec)),
            Reverse(fits_now),
            queue,
            left,
            offer.domain.clone(),
        )
    };
    open.min_by_key(rank).map(|o| o.domain.clone())
}
