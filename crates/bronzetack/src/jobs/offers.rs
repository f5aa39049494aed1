//! Room in all failure domains, worked out from the list of workers and the records.

use std::collections::BTreeMap;

use base::Accels;
use base::DomainId;
use base::WorkerId;
use gang::DomainOffer;
use plat::VmList;

use super::records::Records;
use crate::vms::is_leaving;

/// Free accelerators of one worker.
struct Free {
    domain: DomainId,
    accels: u32,
    taken: u64,
}

/// An offer for each failure domain that has workers.
pub fn offers(vms: &VmList, records: &Records, out: &[DomainId]) -> Vec<DomainOffer> {
    let mut workers = free_workers(vms);
    let mut waiting: BTreeMap<DomainId, Accels> = BTreeMap::new();
    for (record, _) in records.iter() {
        match record.plan() {
            Some(plan) => plan.places.iter().for_each(|p| take(&mut workers, p)),
            None if !record.is_done() => {
                *waiting.entry(record.domain.clone()).or_default() += record.spec.accels();
            }
            None => {}
        }
    }
    let mut offers: BTreeMap<DomainId, DomainOffer> = BTreeMap::new();
    for free in workers.into_values() {
        let offer = offers
            .entry(free.domain.clone())
            .or_insert_with(|| DomainOffer {
                out: out.contains(&free.domain),
                waiting: waiting.get(&free.domain).copied().unwrap_or_default(),
                domain: free.domain.clone(),
                total: Accels(0),
                free_blocks: Vec::new(),
                unused_guarantees: Vec::new(),
            });
        add_cells(offer, &free);
    }
    offers.into_values().collect()
}

fn free_workers(vms: &VmList) -> BTreeMap<WorkerId, Free> {
    let live = vms.workers.iter().filter(|vm| !is_leaving(vm));
    let free = |vm: &plat::WorkerVm| Free {
        domain: vm.domain.clone(),
        accels: vm.accels.0.min(u64::BITS),
        taken: 0,
    };
    live.map(|vm| (vm.id.clone(), free(vm))).collect()
}

fn take(workers: &mut BTreeMap<WorkerId, Free>, place: &base::TaskPlace) {
    if let Some(free) = workers.get_mut(&place.worker) {
        for i in place.first..(place.first + place.count.0).min(u64::BITS) {
            free.taken |= 1 << i;
        }
    }
}

/// Adds the free aligned cells of one worker, the largest first.
fn add_cells(offer: &mut DomainOffer, free: &Free) {
    offer.total += Accels(free.accels);
    let mut taken = free.taken;
    let mut size = free.accels.next_power_of_two();
    while size > 0 {
        for first in (0..free.accels).step_by(size as usize) {
            let mask = (u64::MAX >> (u64::BITS - size)) << first;
            if first + size <= free.accels && taken & mask == 0 {
                taken |= mask;
                add_cell(offer, size);
            }
        }
        size /= 2;
    }
}

fn add_cell(offer: &mut DomainOffer, size: u32) {
    match offer.free_blocks.iter_mut().find(|(s, _)| s.0 == size) {
        Some((_, count)) => *count += 1,
        None => offer.free_blocks.push((Accels(size), 1)),
    }
}
