//! Status service: decides whether the daemon is ready and answers operators' calls about the
//! state of the site.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::ResponseActFuture;
use actix::WrapFuture;
use base::Accels;
use base::DomainId;
use base::Millis;
use base::WorkerId;
use conf::api::Coordinator;
use conf::api::DomainStatus;
use conf::api::PeerStatus;
use conf::api::PlatformState;
use conf::api::ShapeInfo;
use conf::api::Status;
use conf::api::WorkerInfo;
use conf::api::WorkersReply;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use entry::ops::ReadStatus;
use entry::ops::ReadWorkers;
use entry::Requests;
use entry::UpstreamsStatus;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use plat::HealthState;
use plat::Store;
use plat::VmList;
use route::UpstreamStatus;

use crate::claims::CanClaim;
use crate::claims::ClaimsActor;
use crate::claims::CLAIMS;
use crate::context::DaemonContext;
use crate::jobs::Jobs;
use crate::jobs::JobsState;
use crate::jobs::ReadJobsState;
use crate::jobs::JOBS;
use crate::peers::Peers;
use crate::peers::PEERS;
use crate::requests::REQUESTS;
use crate::settings::ReadSettingsState;
use crate::settings::Settings;
use crate::settings::SettingsState;
use crate::settings::SETTINGS;
use crate::store::STORE;
use crate::vms::is_leaving;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<StatusActor>`.
pub const STATUS: &str = "status";

/// Interval at which readiness is decided.
const READINESS_INTERVAL: Millis = Millis(200);

/// Time from the start after which the daemon becomes ready although no claims can be granted.
const CLAIMS_WAIT: Millis = Millis(10_000);

/// Actor of the status service.
pub struct StatusActor {
    context: DaemonContext,
    store: Store,
    feed: VmFeed,
    peers: Peers,
    jobs: Addr<Jobs>,
    settings: Addr<Settings>,
    requests: Addr<Requests>,
    claims: Addr<ClaimsActor>,
    started: Millis,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let registry = &context.registry;
    let status = StatusActor {
        store: registry.find(STORE)?,
        feed: registry.find(VMS)?,
        peers: registry.find(PEERS)?,
        jobs: registry.find(JOBS)?,
        settings: registry.find(SETTINGS)?,
        requests: registry.find(REQUESTS)?,
        claims: registry.find(CLAIMS)?,
        started: context.clock.now(),
        context: context.clone(),
    };
    kernel.add(STATUS, status.start(), |_| async {})
}

/// States of the other services.
struct ServiceStates {
    jobs: JobsState,
    settings: SettingsState,
    upstreams: Vec<UpstreamStatus>,
}

impl StatusActor {
    async fn gather(
        jobs: Addr<Jobs>,
        settings: Addr<Settings>,
        requests: Addr<Requests>,
    ) -> ApiResult<ServiceStates> {
        let stopping = |_| ApiError::unknown("the daemon is stopping");
        Ok(ServiceStates {
            jobs: jobs.send(ReadJobsState).await.map_err(stopping)?,
            settings: settings.send(ReadSettingsState).await.map_err(stopping)?,
            upstreams: requests.send(UpstreamsStatus).await.map_err(stopping)?,
        })
    }

    /// The daemon is ready once settings are in force, workers are listed and claims can be
    /// granted. After [`CLAIMS_WAIT`] it becomes ready without claims, since it can still serve
    /// idempotent requests. A ready daemon stays ready when claims can no longer be granted.
    fn update_readiness(&mut self, ctx: &mut Context<StatusActor>) {
        let settings = self.settings.send(ReadSettingsState);
        let claims = self.claims.send(CanClaim);
        let reading = async move { (settings.await, claims.await) };
        let done = reading.into_actor(self).map(|(state, claims), status, _| {
            let timed_out = status.context.clock.now().since(status.started) >= CLAIMS_WAIT;
            let has_settings = state.is_ok_and(|s| s.ready);
            let has_claims =
                claims.unwrap_or(false) || timed_out || status.context.ready.is_ready();
            let has_upstreams = !status.feed.list().workers.is_empty();
            status.set_ready(has_settings && has_claims && has_upstreams);
        });
        ctx.spawn(done);
    }

    fn set_ready(&self, ready: bool) {
        let before = self.context.ready.is_ready();
        self.context.ready.set(ready);
        if !before && self.context.ready.is_ready() {
            obs::emit(
                &self.context.log,
                Event::DaemonReady,
                self.context.vm.as_str(),
            );
        }
    }

    fn status(&self, states: ServiceStates) -> Status {
        let vms = self.feed.list();
        Status {
            vm: self.context.vm.clone(),
            domain: self.context.domain().clone(),
            ready: self.context.ready.is_ready(),
            alarms: self.alarms(&states),
            platform: platform_state(self.store.state()),
            revision: states.settings.revision,
            age: states.settings.age,
            held: states.settings.starts_held,
            coordinators: self.coordinators(&states),
            peers: self.peer_list(&vms, &states),
            domains: domain_list(&vms, &states),
            short: short_guarantees(&states),
        }
    }

    fn alarms(&self, states: &ServiceStates) -> Vec<String> {
        let mut alarms = states.settings.alarms.clone();
        if states.jobs.starts_held {
            alarms.push("starts are held: the settings cannot be proved current".to_string());
        }
        if self.store.state() == HealthState::Down {
            alarms.push("the platform does not answer".to_string());
        }
        alarms
    }

    fn coordinators(&self, states: &ServiceStates) -> Vec<Coordinator> {
        let own = states.jobs.epoch.map(|epoch| Coordinator {
            domain: self.context.domain().clone(),
            vm: Some(self.context.vm.clone()),
            epoch,
        });
        own.into_iter().collect()
    }

    fn peer_list(&self, vms: &VmList, states: &ServiceStates) -> Vec<PeerStatus> {
        let now = self.context.clock.now();
        let own = crate::peers::host_of(&self.context.vm);
        let others = vms.entry_vms.iter().filter(|vm| vm.id != own);
        let revision = |host: &base::VmId| {
            let peers = states.settings.peers.iter();
            let mut of_host = peers.filter(|(vm, ..)| crate::peers::host_of(vm) == *host);
            of_host.next().map(|(_, rev, _)| *rev).unwrap_or_default()
        };
        others
            .map(|vm| PeerStatus {
                vm: vm.id.clone(),
                domain: vm.domain.clone(),
                heard: self.peers.last_heard(&vm.id).map(|at| now.since(at)),
                revision: revision(&vm.id),
            })
            .collect()
    }

    fn workers(&self, domain: Option<&DomainId>, states: &ServiceStates) -> WorkersReply {
        let vms = self.feed.list();
        let wanted = vms
            .workers
            .iter()
            .filter(|vm| domain.is_none_or(|d| *d == vm.domain));
        let isolated: BTreeSet<&WorkerId> = match &states.jobs.planner {
            Some(planner) => planner.isolated.iter().collect(),
            None => BTreeSet::new(),
        };
        let upstreams: BTreeMap<&WorkerId, &UpstreamStatus> =
            states.upstreams.iter().map(|u| (&u.id, u)).collect();
        let info = |vm: &plat::WorkerVm| WorkerInfo {
            worker: vm.id.clone(),
            domain: vm.domain.clone(),
            rack: vm.rack.clone(),
            accels: vm.accels,
            free: vm.accels - states.jobs.used.get(&vm.id).copied().unwrap_or_default(),
            live: true,
            leaving: is_leaving(vm),
            isolated: isolated.contains(&vm.id),
            requests: upstreams.get(&vm.id).map_or(0, |u| u.busy),
        };
        let mut workers: Vec<WorkerInfo> = wanted.map(info).collect();
        workers
            .sort_by(|a, b| (&a.domain, &a.rack, &a.worker).cmp(&(&b.domain, &b.rack, &b.worker)));
        WorkersReply { workers }
    }
}

fn platform_state(state: HealthState) -> PlatformState {
    match state {
        HealthState::Down => PlatformState::Down,
        HealthState::Slow => PlatformState::Slow,
        _ => PlatformState::Up,
    }
}

fn domain_list(vms: &VmList, states: &ServiceStates) -> Vec<DomainStatus> {
    let mut domains: BTreeMap<DomainId, DomainStatus> = BTreeMap::new();
    for vm in &vms.workers {
        let new = || DomainStatus {
            domain: vm.domain.clone(),
            out: states.settings.domains_out.contains(&vm.domain),
            workers: 0,
            accels: Accels(0),
            free: Accels(0),
            running: 0,
            queued: 0,
        };
        let status = domains.entry(vm.domain.clone()).or_insert_with(new);
        status.workers += 1;
        status.accels += vm.accels;
        status.free += vm.accels - states.jobs.used.get(&vm.id).copied().unwrap_or_default();
    }
    for (domain, running, queued) in &states.jobs.counts {
        if let Some(status) = domains.get_mut(domain) {
            status.running = *running;
            status.queued = *queued;
        }
    }
    domains.into_values().collect()
}

fn short_guarantees(states: &ServiceStates) -> Vec<ShapeInfo> {
    let Some(planner) = &states.jobs.planner else {
        return Vec::new();
    };
    let rows = planner.shortfalls.iter();
    rows.filter_map(|row| {
        let guarantee = states.jobs.guarantees.get(row.guarantee)?;
        Some(ShapeInfo {
            org: row.org.clone(),
            domain: row.domain.clone(),
            shape: guarantee.shape,
            count: row.missing,
        })
    })
    .collect()
}

impl Actor for StatusActor {
    type Context = Context<StatusActor>;

    fn started(&mut self, ctx: &mut Context<StatusActor>) {
        ctx.run_interval(READINESS_INTERVAL.duration(), |status, ctx| {
            status.update_readiness(ctx)
        });
    }
}

impl Handler<ReadStatus> for StatusActor {
    type Result = ResponseActFuture<StatusActor, ApiResult<Status>>;

    fn handle(&mut self, _: ReadStatus, _: &mut Context<StatusActor>) -> Self::Result {
        let gathering = StatusActor::gather(
            self.jobs.clone(),
            self.settings.clone(),
            self.requests.clone(),
        );
        let done = gathering.into_actor(self);
        Box::pin(done.map(|states, status, _| Ok(status.status(states?))))
    }
}

impl Handler<ReadWorkers> for StatusActor {
    type Result = ResponseActFuture<StatusActor, ApiResult<WorkersReply>>;

    fn handle(&mut self, msg: ReadWorkers, _: &mut Context<StatusActor>) -> Self::Result {
        let gathering = StatusActor::gather(
            self.jobs.clone(),
            self.settings.clone(),
            self.requests.clone(),
        );
        let done = gathering.into_actor(self);
        Box::pin(
            done.map(move |states, status, _| Ok(status.workers(msg.0.domain.as_ref(), &states?))),
        )
    }
}
