//! Requests service: forwards callers' requests to the workers in the platform's list of VMs.

use std::collections::BTreeSet;

use actix::Actor;
use actix::Addr;
use base::WorkerId;
use entry::ClaimClient;
use entry::Requests;
use entry::RequestsConfig;
use entry::SetUpstreams;
use entry::Target;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use plat::VmList;
use plat::WorkerVm;
use route::Availability;
use route::Config;
use route::Upstream;

use crate::context::DaemonContext;
use crate::vms::is_leaving;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<Requests>`.
pub const REQUESTS: &str = "requests";

/// Starts the service. Each non-idempotent request is claimed through `claims` before it is sent.
pub fn start(
    kernel: &mut Kernel,
    context: &DaemonContext,
    claims: ClaimClient,
) -> Result<(), KernelError> {
    let addr = Requests::new(RequestsConfig {
        route: Config::new(context.domain().clone()),
        max_answer: context.node.limits.body.0 as usize,
        max_open: context.node.limits.requests as usize,
        clock: context.clock.clone(),
        log: context.log.clone(),
        metrics: context.metrics.clone(),
        claims,
        rng: context.rng(REQUESTS),
    })
    .start();
    let feed: VmFeed = context.registry.find(VMS)?;
    let task = actix_rt::spawn(follow(feed, addr.clone(), context.clone()));
    kernel.add(REQUESTS, addr, move |_| async move { task.abort() })
}

async fn follow(mut feed: VmFeed, addr: Addr<Requests>, context: DaemonContext) {
    let slots = context.node.service.slots;
    let mut logged = BTreeSet::new();
    while let Some(list) = feed.next().await {
        let leaving = leaving(&list);
        for id in leaving.difference(&logged) {
            obs::emit(&context.log, Event::UpstreamLeaving, id.as_str());
        }
        logged = leaving;
        addr.do_send(SetUpstreams(targets(&list, slots)));
    }
}

fn leaving(list: &VmList) -> BTreeSet<WorkerId> {
    let leaving = list.workers.iter().filter(|vm| is_leaving(vm));
    leaving.map(|vm| vm.id.clone()).collect()
}

fn targets(list: &VmList, slots: u32) -> Vec<Target> {
    let targets = list.workers.iter().filter_map(|vm| target(vm, slots));
    targets.collect()
}

fn target(vm: &WorkerVm, slots: u32) -> Option<Target> {
    let availability = match is_leaving(vm) {
        true => Availability::Leaving,
        false => Availability::Live,
    };
    let upstream = Upstream {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        service: vm.service.clone()?,
        slots: if vm.slots > 0 { vm.slots } else { slots },
        availability,
    };
    Some(Target {
        upstream,
        address: vm.addr,
    })
}
