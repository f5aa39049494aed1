//! Actor of the jobs service: feeds the election and the scheduler and carries out their
//! actions.

mod api;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::StreamHandler;
use actix::WrapFuture;
use base::Accels;
use base::DomainId;
use base::Epoch;
use base::Millis;
use base::WorkerId;
use conf::tree::Tree;
use futures_util::stream;
use futures_util::Stream;
use gang::Guarantee;
use gang::PlannerStatus;
use gang::Policy;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use plat::Change;
use plat::Store;
use plat::VmList;
use plat::Watch;
use plat::WatchEvent;
use rand::RngExt;
use sched::Election;
use sched::LockAction;
use sched::LockInput;
use sched::LockTiming;
use sched::Timing;
use work::TaskClient;

use super::calls;
use super::lock::Lock;
use super::offers::offers;
use super::records::RecordChanges;
use super::records::Records;
use super::scheduler::Action;
use super::scheduler::DomainScheduler;
use super::scheduler::Input;
use super::tombstone::Tombstones;
use crate::context::DaemonContext;
use crate::keys;
use crate::store::STORE;
use crate::vms::is_leaving;
use crate::vms::worker_spec;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<Jobs>`.
pub const JOBS: &str = "jobs";

/// Interval at which the election and the scheduler are ticked.
const TICK_INTERVAL: Millis = Millis(50);

/// Delay before a failed read of the records is repeated.
const READ_RETRY_DELAY: Millis = Millis(200);

/// Interval at which the free capacity of the failure domains is computed.
const OFFERS_INTERVAL: Millis = Millis(1_000);

/// Upper bound of the random delay before the first lock call, so that daemons which start
/// together do not call at once.
const START_JITTER_MS: u64 = 200;

/// Applies new settings.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetPolicy {
    /// Settings of the planner of this daemon's failure domain.
    pub policy: Policy,
    /// Failure domains that operators have taken out of service.
    pub domains_out: Vec<DomainId>,
    /// The settings tree, for limits on submitted jobs.
    pub tree: Arc<Tree>,
}

/// Permits task starts until a time, up to which the settings held are known to be the newest.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetPermit(pub Millis);

/// Requests the state of the jobs service.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "JobsState")]
pub struct ReadJobsState;

/// State of the jobs service, for operators.
#[derive(Clone, Debug)]
pub struct JobsState {
    /// Epoch of the coordinator lock, if this daemon holds it.
    pub epoch: Option<Epoch>,
    /// Whether this daemon coordinates and has finished taking over from the former coordinator.
    pub ready: bool,
    /// Whether task starts are suspended although the coordinator is ready.
    pub starts_held: bool,
    /// State of the planner, if this daemon holds the coordinator lock.
    pub planner: Option<PlannerStatus>,
    /// Numbers of running and of waiting jobs in each failure domain. A job with a placement counts
    /// as running.
    pub counts: Vec<(DomainId, u32, u32)>,
    /// Accelerators that jobs occupy on each worker.
    pub used: BTreeMap<WorkerId, Accels>,
    /// Guarantees in force in this daemon's failure domain.
    pub guarantees: Vec<Guarantee>,
    /// Number of job records held.
    pub records: usize,
}

/// Releases the coordinator lock, if it is held.
#[derive(Message)]
#[rtype(result = "()")]
struct Stop;

struct VmListUpdate(Rc<VmList>);

/// An update from the watch on the job records.
struct RecordUpdate(WatchEvent);

/// An update from the watch on the coordinator lock.
struct LockUpdate(WatchEvent);

/// Actor of the jobs service.
pub struct Jobs {
    context: DaemonContext,
    store: Store,
    tombstones: Rc<Tombstones>,
    lock: Lock,
    election: Election,
    scheduler: DomainScheduler,
    records: Records,
    vm_feed: VmFeed,
    vms: Rc<VmList>,
    task_client: TaskClient,
    domains_out: Vec<DomainId>,
    tree: Arc<Tree>,
    guarantees: Vec<Guarantee>,
    last_offers: Millis,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let store: Store = context.registry.find(STORE)?;
    let feed: VmFeed = context.registry.find(VMS)?;
    let addr = Jobs::new(context.clone(), store, feed).start();
    kernel.add(JOBS, addr, |addr: Addr<Jobs>| async move {
        let _ = addr.send(Stop).await;
    })
}

impl Jobs {
    fn new(context: DaemonContext, store: Store, feed: VmFeed) -> Jobs {
        let domain = context.domain().clone();
        let lease = context.node.timing.lease;
        let lock_timing = LockTiming {
            lease,
            ..LockTiming::default()
        };
        let jitter = Millis(context.rng(JOBS).random_range(0..START_JITTER_MS));
        let call_timing = Timing::default();
        Jobs {
            lock: Lock::new(&store, keys::lock(&domain), context.vm.clone()),
            election: Election::new(lock_timing, context.clock.now(), jitter),
            task_client: TaskClient::new(call_timing.call_timeout),
            scheduler: DomainScheduler::new(domain, call_timing),
            records: Records::default(),
            vms: feed.list(),
            vm_feed: feed,
            domains_out: Vec::new(),
            tree: Arc::new(Tree::new()),
            guarantees: Vec::new(),
            last_offers: Millis::ZERO,
            tombstones: Rc::new(Tombstones::new(&store, context.clock.clone())),
            context,
            store,
        }
    }

    /// Feeds the scheduler and carries out its actions.
    fn step_scheduler(&mut self, input: Input, ctx: &mut Context<Jobs>) {
        let now = self.context.clock.now();
        for action in self.scheduler.step(now, input) {
            self.execute(action, ctx);
        }
    }

    fn execute(&mut self, action: Action, ctx: &mut Context<Jobs>) {
        match action {
            Action::Call { call, worker, body } => {
                let vm = self.vms.workers.iter().find(|vm| vm.id == worker);
                let calling =
                    calls::call_worker(self.task_client.clone(), vm.map(|vm| vm.addr), body);
                let done = calling.into_actor(self).map(move |result, jobs, ctx| {
                    let reply = sched::Input::Reply {
                        call,
                        worker,
                        result,
                    };
                    jobs.step_scheduler(Input::Coordinator(reply), ctx);
                });
                ctx.spawn(done);
            }
            Action::Log(event, detail) => obs::emit(&self.context.log, event, &detail),
            Action::Write { record, expect } => {
                let store = self.store.clone();
                let job = record.spec.id.clone();
                let op = record.op;
                let writing = async move { calls::write_record(store, &record, expect).await };
                let done = writing.into_actor(self).map(move |result, jobs, ctx| {
                    let wrote = sched::Input::Wrote { job, op, result };
                    jobs.step_scheduler(Input::Coordinator(wrote), ctx);
                });
                ctx.spawn(done);
            }
        }
    }

    /// Feeds the election and carries out its actions.
    fn step_election(&mut self, input: LockInput, ctx: &mut Context<Jobs>) {
        let now = self.context.clock.now();
        for action in self.election.step(now, input) {
            self.execute_lock(action, ctx);
        }
    }

    fn execute_lock(&mut self, action: LockAction, ctx: &mut Context<Jobs>) {
        match action {
            LockAction::Suspect(suspect) => {
                self.step_scheduler(Input::Coordinator(sched::Input::LockSuspect(suspect)), ctx);
            }
            LockAction::Elected(epoch) => self.on_elected(epoch, ctx),
            LockAction::Lost => self.step_scheduler(Input::Coordinator(sched::Input::Deposed), ctx),
            _ => {}
        }
        let lock = self.lock.clone();
        let calling = async move { lock.execute(action).await };
        let done = calling.into_actor(self).map(|answer, jobs, ctx| {
            if let Some(input) = answer {
                jobs.step_election(input, ctx);
            }
        });
        ctx.spawn(done);
    }

    fn on_elected(&mut self, epoch: Epoch, ctx: &mut Context<Jobs>) {
        let text = format!("{} epoch {epoch}", self.context.domain());
        obs::emit(&self.context.log, Event::CoordinatorElected, &text);
        self.step_scheduler(Input::Coordinator(sched::Input::Elected { epoch }), ctx);
        self.read_records(epoch, ctx);
    }

    /// Reads all records after an election: those that the watch has not delivered yet would be
    /// missing from the take-over.
    fn read_records(&mut self, epoch: Epoch, ctx: &mut Context<Jobs>) {
        let store = self.store.clone();
        let reading = async move { store.list(keys::JOBS).await };
        let done = reading.into_actor(self).map(move |listing, jobs, ctx| {
            if jobs.election.epoch() != Some(epoch) {
                return;
            }
            match listing {
                Ok(listing) => {
                    let changed = jobs.records.resync(listing);
                    jobs.forward_changes(changed, ctx);
                    jobs.forward_open_records(ctx);
                    jobs.step_scheduler(Input::Coordinator(sched::Input::Synced), ctx);
                }
                Err(_) => {
                    ctx.run_later(READ_RETRY_DELAY.duration(), move |jobs, ctx| {
                        jobs.read_records(epoch, ctx);
                    });
                }
            }
        });
        ctx.spawn(done);
    }

    fn forward_changes(&mut self, changed: RecordChanges, ctx: &mut Context<Jobs>) {
        for key in changed.undecodable {
            obs::emit(&self.context.log, Event::InputRefused, &key);
        }
        if !changed.written.is_empty() {
            let records = sched::Input::Records(changed.written);
            self.step_scheduler(Input::Coordinator(records), ctx);
        }
        for id in changed.deleted {
            self.step_scheduler(Input::Coordinator(sched::Input::RecordDeleted(id)), ctx);
        }
    }

    fn forward_open_records(&mut self, ctx: &mut Context<Jobs>) {
        let open = self.records.iter().filter(|(rec, _)| !rec.is_done());
        let records = sched::Input::Records(open.cloned().collect());
        self.step_scheduler(Input::Coordinator(records), ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Jobs>) {
        self.step_election(LockInput::Tick, ctx);
        let now = self.context.clock.now();
        if now.since(self.last_offers) >= OFFERS_INTERVAL {
            self.last_offers = now;
            let offers = offers(&self.vms, &self.records, &self.domains_out);
            self.step_scheduler(Input::Offers(offers), ctx);
        }
        self.step_scheduler(Input::Tick, ctx);
    }

    fn set_vms(&mut self, list: Rc<VmList>, ctx: &mut Context<Jobs>) {
        let own = list
            .workers
            .iter()
            .filter(|vm| vm.domain == *self.context.domain());
        let workers = own.map(|vm| (worker_spec(vm), is_leaving(vm))).collect();
        self.vms = list;
        self.step_scheduler(Input::Workers(workers), ctx);
    }
}

impl Actor for Jobs {
    type Context = Context<Jobs>;

    fn started(&mut self, ctx: &mut Context<Jobs>) {
        let records = self.store.watch(keys::JOBS, None);
        ctx.add_stream(watch_updates(records, RecordUpdate));
        let lock = self.store.watch(&keys::lock(self.context.domain()), None);
        ctx.add_stream(watch_updates(lock, LockUpdate));
        ctx.add_stream(vm_updates(self.vm_feed.clone()));
        let list = self.vm_feed.list();
        self.set_vms(list, ctx);
        ctx.run_interval(TICK_INTERVAL.duration(), |jobs, ctx| jobs.tick(ctx));
    }
}

fn watch_updates<T>(watch: Watch, wrap: fn(WatchEvent) -> T) -> impl Stream<Item = T> {
    stream::unfold(watch, move |mut watch| async move {
        let event = watch.next().await?;
        Some((wrap(event), watch))
    })
}

fn vm_updates(feed: VmFeed) -> impl Stream<Item = VmListUpdate> {
    stream::unfold(feed, |mut feed| async move {
        let list = feed.next().await?;
        Some((VmListUpdate(list), feed))
    })
}

impl StreamHandler<VmListUpdate> for Jobs {
    fn handle(&mut self, update: VmListUpdate, ctx: &mut Context<Jobs>) {
        self.set_vms(update.0, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl StreamHandler<RecordUpdate> for Jobs {
    fn handle(&mut self, update: RecordUpdate, ctx: &mut Context<Jobs>) {
        let changed = match update.0 {
            WatchEvent::Changes(changes) => self.records.apply(changes),
            WatchEvent::Resync(listing) => self.records.resync(listing),
        };
        self.forward_changes(changed, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl StreamHandler<LockUpdate> for Jobs {
    fn handle(&mut self, update: LockUpdate, ctx: &mut Context<Jobs>) {
        let entry = match update.0 {
            WatchEvent::Changes(mut changes) => match changes.pop() {
                Some(Change::Put(entry)) => Some(entry),
                Some(Change::Delete { .. }) => None,
                None => return,
            },
            WatchEvent::Resync(mut listing) => listing.entries.pop(),
        };
        let input = self.lock.holder_input(entry.as_ref());
        self.step_election(input, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl Handler<SetPolicy> for Jobs {
    type Result = ();

    fn handle(&mut self, msg: SetPolicy, ctx: &mut Context<Jobs>) {
        let out = msg.domains_out.contains(self.context.domain());
        self.domains_out = msg.domains_out;
        self.tree = msg.tree;
        self.guarantees = msg.policy.guarantees.clone();
        self.step_scheduler(Input::DomainOut(out), ctx);
        self.step_scheduler(Input::Policy(Box::new(msg.policy)), ctx);
    }
}

impl Handler<SetPermit> for Jobs {
    type Result = ();

    fn handle(&mut self, msg: SetPermit, ctx: &mut Context<Jobs>) {
        self.step_scheduler(Input::Permit(msg.0), ctx);
    }
}

impl Handler<Stop> for Jobs {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Context<Jobs>) {
        self.step_election(LockInput::Stop, ctx);
    }
}
