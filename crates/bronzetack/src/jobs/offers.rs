//! Free capacity of all failure domains, computed from the VM list and the job records.

use std::collections::BTreeMap;

use base::Accels;
use base::DomainId;
use base::WorkerId;
use gang::DomainOffer;
use plat::VmList;

use super::records::Records;
use crate::vms::is_leaving;

/// Accelerators of a worker; bit `i` of `used` is set if accelerator `i` is allocated to a job.
struct WorkerCapacity {
    domain: DomainId,
    accels: u32,
    used: u64,
}

/// The free capacity of each failure domain that has workers. `domains_out` are the domains that
/// operators have taken out of service.
pub fn offers(vms: &VmList, records: &Records, domains_out: &[DomainId]) -> Vec<DomainOffer> {
    let mut workers = worker_capacities(vms);
    let mut waiting: BTreeMap<DomainId, Accels> = BTreeMap::new();
    for (record, _) in records.iter() {
        match record.plan() {
            Some(plan) => plan.places.iter().for_each(|p| mark_used(&mut workers, p)),
            None if !record.is_done() => {
                *waiting.entry(record.domain.clone()).or_default() += record.spec.accels();
            }
            None => {}
        }
    }
    let mut offers: BTreeMap<DomainId, DomainOffer> = BTreeMap::new();
    for worker in workers.into_values() {
        let offer = offers
            .entry(worker.domain.clone())
            .or_insert_with(|| DomainOffer {
                out: domains_out.contains(&worker.domain),
                waiting: waiting.get(&worker.domain).copied().unwrap_or_default(),
                domain: worker.domain.clone(),
                total: Accels(0),
                free_blocks: Vec::new(),
                unused_guarantees: Vec::new(),
            });
        add_free_blocks(offer, &worker);
    }
    offers.into_values().collect()
}

fn worker_capacities(vms: &VmList) -> BTreeMap<WorkerId, WorkerCapacity> {
    let staying = vms.workers.iter().filter(|vm| !is_leaving(vm));
    let capacity = |vm: &plat::WorkerVm| WorkerCapacity {
        domain: vm.domain.clone(),
        accels: vm.accels.0.min(u64::BITS),
        used: 0,
    };
    staying.map(|vm| (vm.id.clone(), capacity(vm))).collect()
}

fn mark_used(workers: &mut BTreeMap<WorkerId, WorkerCapacity>, place: &base::TaskPlace) {
    if let Some(worker) = workers.get_mut(&place.worker) {
        for i in place.first..(place.first + place.count.0).min(u64::BITS) {
            worker.used |= 1 << i;
        }
    }
}

/// Adds the free blocks of a worker, the largest first. A block is a power of two accelerators
/// and starts at a multiple of its size.
fn add_free_blocks(offer: &mut DomainOffer, worker: &WorkerCapacity) {
    offer.total += Accels(worker.accels);
    let mut used = worker.used;
    let mut size = worker.accels.next_power_of_two();
    while size > 0 {
        for first in (0..worker.accels).step_by(size as usize) {
            let mask = (u64::MAX >> (u64::BITS - size)) << first;
            if first + size <= worker.accels && used & mask == 0 {
                used |= mask;
                add_block(offer, size);
            }
        }
        size /= 2;
    }
}

fn add_block(offer: &mut DomainOffer, size: u32) {
    match offer.free_blocks.iter_mut().find(|(s, _)| s.0 == size) {
        Some((_, count)) => *count += 1,
        None => offer.free_blocks.push((Accels(size), 1)),
    }
}
