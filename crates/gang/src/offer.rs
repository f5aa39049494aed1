//! Choice of a failure domain for a job that may run in any.

use std::cmp::Reverse;

use base::Accels;
use base::DomainId;
use base::JobSpec;
use base::OrgId;

/// What a failure domain's coordinator tells about its room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainOffer {
    /// The failure domain.
    pub domain: DomainId,
    /// Whether operators took it out of service.
    pub out: bool,
    /// Accelerators in total.
    pub total: Accels,
    /// For each size of a free aligned cell, in accelerators, how many are free.
    pub cells: Vec<(Accels, u32)>,
    /// Organisations with an unused guaranteed gang there, and the accelerators of its tasks
    /// with their number.
    pub unused: Vec<(OrgId, Accels, u32)>,
    /// Accelerators asked for by waiting jobs.
    pub waiting: Accels,
}

impl DomainOffer {
    /// The number of tasks with `accels` accelerators that the free cells hold.
    fn slots(&self, accels: Accels) -> u32 {
        if accels.0 == 0 {
            return u32::MAX;
        }
        let tasks_in = |size: u32| size / accels.0.next_power_of_two();
        let cells = self.cells.iter();
        cells.map(|(size, count)| tasks_in(size.0) * count).sum()
    }

    fn has_guarantee(&self, spec: &JobSpec) -> bool {
        let shape = &spec.shape;
        let fits = |(org, accels, tasks): &(OrgId, Accels, u32)| {
            *org == spec.org && *accels >= shape.accels && *tasks >= shape.tasks
        };
        self.unused.iter().any(fits)
    }
}

/// The failure domain for a job: a fixed one, else one where its organisation has an unused
/// guarantee, else one that can start it at once with the least room left over, else the one
/// with the shortest queue for its size. None if all are out of service.
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
