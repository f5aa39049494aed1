//! The actor of jobs.

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

use super::bridge::Action;
use super::bridge::Bridge;
use super::bridge::Input;
use super::calls;
use super::lock::Lock;
use super::offers::offers;
use super::records::News;
use super::records::Records;
use crate::context::DaemonContext;
use crate::keys;
use crate::store::STORE;
use crate::vms::is_leaving;
use crate::vms::worker_spec;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<Jobs>`.
pub const JOBS: &str = "jobs";

/// Period of the election's and the coordinator's time inputs.
const TICK: Millis = Millis(50);

/// Pause before a failed read of the records is repeated.
const READ_RETRY: Millis = Millis(200);

/// Period at which the room of all failure domains is worked out.
const OFFERS_EVERY: Millis = Millis(1_000);

/// Longest first pause of a standby.
const JITTER: u64 = 200;

/// New planner settings and the failure domains that are out.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetPolicy {
    /// Settings of the planner of the own failure domain.
    pub policy: Policy,
    /// Failure domains that operators have taken out.
    pub out: Vec<DomainId>,
    /// The settings, for bounds on submitted jobs.
    pub tree: Arc<Tree>,
}

/// The settings held are proved the newest until a time.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetProof(pub Millis);

/// Asks for what operators see of the jobs.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "JobsState")]
pub struct ReadJobsState;

/// What operators see of the jobs.
#[derive(Clone, Debug)]
pub struct JobsState {
    /// The epoch, if this daemon coordinates its failure domain.
    pub epoch: Option<Epoch>,
    /// Whether take-over is finished.
    pub ready: bool,
    /// Whether starts are held.
    pub held: bool,
    /// State of the planner, if this daemon coordinates.
    pub planner: Option<PlannerStatus>,
    /// Running and waiting jobs of each failure domain.
    pub counts: Vec<(DomainId, u32, u32)>,
    /// Accelerators in use on each worker.
    pub used: BTreeMap<WorkerId, Accels>,
    /// Guarantees in force in the own failure domain.
    pub guarantees: Vec<Guarantee>,
    /// Records known.
    pub records: usize,
}

/// Gives up the lock.
#[derive(Message)]
#[rtype(result = "()")]
struct Stop;

/// A new list of VMs.
struct VmNews(Rc<VmList>);

/// News of the records.
struct RecordNews(WatchEvent);

/// News of the lock.
struct LockNews(WatchEvent);

/// The actor of jobs.
pub struct Jobs {
    site: DaemonContext,
    store: Store,
    lock: Lock,
    election: Election,
    bridge: Bridge,
    records: Records,
    feed: VmFeed,
    vms: Rc<VmList>,
    client: TaskClient,
    out: Vec<DomainId>,
    tree: Arc<Tree>,
    guarantees: Vec<Guarantee>,
    offered: Millis,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, site: &DaemonContext) -> Result<(), KernelError> {
    let store: Store = site.names.find(STORE)?;
    let feed: VmFeed = site.names.find(VMS)?;
    let addr = Jobs::new(site.clone(), store, feed).start();
    kernel.add(JOBS, addr, |addr: Addr<Jobs>| async move {
        let _ = addr.send(Stop).await;
    })
}

impl Jobs {
    fn new(site: DaemonContext, store: Store, feed: VmFeed) -> Jobs {
        let domain = site.domain().clone();
        let lease = site.node.timing.lease;
        let timing = LockTiming {
            lease,
            ..LockTiming::default()
        };
        let jitter = Millis(site.rng(JOBS).random_range(0..JITTER));
        let calls = Timing::default();
        Jobs {
            lock: Lock::new(&store, keys::lock(&domain), site.vm.clone()),
            election: Election::new(timing, site.clock.now(), jitter),
            client: TaskClient::new(calls.call_timeout),
            bridge: Bridge::new(domain, calls),
            records: Records::default(),
            vms: feed.list(),
            feed,
            out: Vec::new(),
            tree: Arc::new(Tree::new()),
            guarantees: Vec::new(),
            offered: Millis::ZERO,
            site,
            store,
        }
    }

    /// Feeds the bridge and carries out its actions.
    fn step(&mut self, input: Input, ctx: &mut Context<Jobs>) {
        let now = self.site.clock.now();
        for action in self.bridge.step(now, input) {
            self.act(action, ctx);
        }
    }

    fn act(&mut self, action: Action, ctx: &mut Context<Jobs>) {
        match action {
            Action::Call { call, worker, body } => {
                let at = self.vms.workers.iter().find(|vm| vm.id == worker);
                let calling = calls::call(self.client.clone(), at.map(|vm| vm.addr), body);
                let done = calling.into_actor(self).map(move |result, jobs, ctx| {
                    let reply = sched::Input::Reply {
                        call,
                        worker,
                        result,
                    };
                    jobs.step(Input::Coordinator(reply), ctx);
                });
                ctx.spawn(done);
            }
            Action::Log(event, detail) => obs::emit(&self.site.log, event, &detail),
            Action::Write { record, expect } => {
                let store = self.store.clone();
                let job = record.spec.id.clone();
                let op = record.op;
                let writing = async move { calls::write(store, &record, expect).await };
                let done = writing.into_actor(self).map(move |result, jobs, ctx| {
                    let wrote = sched::Input::Wrote { job, op, result };
                    jobs.step(Input::Coordinator(wrote), ctx);
                });
                ctx.spawn(done);
            }
        }
    }

    /// Feeds the election and carries out its actions.
    fn elect(&mut self, input: LockInput, ctx: &mut Context<Jobs>) {
        let now = self.site.clock.now();
        for action in self.election.step(now, input) {
            self.act_lock(action, ctx);
        }
    }

    fn act_lock(&mut self, action: LockAction, ctx: &mut Context<Jobs>) {
        match action {
            LockAction::Suspect(doubt) => {
                self.step(Input::Coordinator(sched::Input::LockSuspect(doubt)), ctx);
            }
            LockAction::Elected(epoch) => self.elected(epoch, ctx),
            LockAction::Lost => self.step(Input::Coordinator(sched::Input::Deposed), ctx),
            _ => {}
        }
        let lock = self.lock.clone();
        let calling = async move { lock.call(action).await };
        let done = calling.into_actor(self).map(|answer, jobs, ctx| {
            if let Some(input) = answer {
                jobs.elect(input, ctx);
            }
        });
        ctx.spawn(done);
    }

    fn elected(&mut self, epoch: Epoch, ctx: &mut Context<Jobs>) {
        let text = format!("{} epoch {epoch}", self.site.domain());
        obs::emit(&self.site.log, Event::CoordinatorElected, &text);
        self.step(Input::Coordinator(sched::Input::Elected { epoch }), ctx);
        self.read_records(epoch, ctx);
    }

    /// Reads all records once after an election, so that none is missed.
    fn read_records(&mut self, epoch: Epoch, ctx: &mut Context<Jobs>) {
        let store = self.store.clone();
        let reading = async move { store.list(keys::JOBS).await };
        let done = reading.into_actor(self).map(move |listing, jobs, ctx| {
            if jobs.election.epoch() != Some(epoch) {
                return;
            }
            match listing {
                Ok(listing) => {
                    let news = jobs.records.replace(listing);
                    jobs.deliver(news, ctx);
                    jobs.deliver_all(ctx);
                    jobs.step(Input::Coordinator(sched::Input::Synced), ctx);
                }
                Err(_) => {
                    ctx.run_later(READ_RETRY.duration(), move |jobs, ctx| {
                        jobs.read_records(epoch, ctx);
                    });
                }
            }
        });
        ctx.spawn(done);
    }

    fn deliver(&mut self, news: News, ctx: &mut Context<Jobs>) {
        for key in news.broken {
            obs::emit(&self.site.log, Event::InputRefused, &key);
        }
        if !news.written.is_empty() {
            let records = sched::Input::Records(news.written);
            self.step(Input::Coordinator(records), ctx);
        }
        for id in news.erased {
            self.step(Input::Coordinator(sched::Input::RecordDeleted(id)), ctx);
        }
    }

    fn deliver_all(&mut self, ctx: &mut Context<Jobs>) {
        let all = self.records.iter().filter(|(rec, _)| !rec.is_done());
        let records = sched::Input::Records(all.cloned().collect());
        self.step(Input::Coordinator(records), ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Jobs>) {
        self.elect(LockInput::Tick, ctx);
        let now = self.site.clock.now();
        if now.since(self.offered) >= OFFERS_EVERY {
            self.offered = now;
            let offers = offers(&self.vms, &self.records, &self.out);
            self.step(Input::Offers(offers), ctx);
        }
        self.step(Input::Tick, ctx);
    }

    fn set_vms(&mut self, list: Rc<VmList>, ctx: &mut Context<Jobs>) {
        let own = list
            .workers
            .iter()
            .filter(|vm| vm.domain == *self.site.domain());
        let workers = own.map(|vm| (worker_spec(vm), is_leaving(vm))).collect();
        self.vms = list;
        self.step(Input::Workers(workers), ctx);
    }
}

impl Actor for Jobs {
    type Context = Context<Jobs>;

    fn started(&mut self, ctx: &mut Context<Jobs>) {
        let records = self.store.watch(keys::JOBS, None);
        ctx.add_stream(events(records, RecordNews));
        let lock = self.store.watch(&keys::lock(self.site.domain()), None);
        ctx.add_stream(events(lock, LockNews));
        ctx.add_stream(lists(self.feed.clone()));
        let list = self.feed.list();
        self.set_vms(list, ctx);
        ctx.run_interval(TICK.duration(), |jobs, ctx| jobs.tick(ctx));
    }
}

fn events<T>(watch: Watch, wrap: fn(WatchEvent) -> T) -> impl Stream<Item = T> {
    stream::unfold(watch, move |mut watch| async move {
        let event = watch.next().await?;
        Some((wrap(event), watch))
    })
}

fn lists(feed: VmFeed) -> impl Stream<Item = VmNews> {
    stream::unfold(feed, |mut feed| async move {
        let list = feed.next().await?;
        Some((VmNews(list), feed))
    })
}

impl StreamHandler<VmNews> for Jobs {
    fn handle(&mut self, news: VmNews, ctx: &mut Context<Jobs>) {
        self.set_vms(news.0, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl StreamHandler<RecordNews> for Jobs {
    fn handle(&mut self, news: RecordNews, ctx: &mut Context<Jobs>) {
        let news = match news.0 {
            WatchEvent::Changes(changes) => self.records.change(changes),
            WatchEvent::Resync(listing) => self.records.replace(listing),
        };
        self.deliver(news, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl StreamHandler<LockNews> for Jobs {
    fn handle(&mut self, news: LockNews, ctx: &mut Context<Jobs>) {
        let last = match news.0 {
            WatchEvent::Changes(mut changes) => match changes.pop() {
                Some(Change::Put(entry)) => Some(entry),
                Some(Change::Delete { .. }) => None,
                None => return,
            },
            WatchEvent::Resync(mut listing) => listing.entries.pop(),
        };
        let input = self.lock.holder(last.as_ref());
        self.elect(input, ctx);
    }

    fn finished(&mut self, _: &mut Context<Jobs>) {}
}

impl Handler<SetPolicy> for Jobs {
    type Result = ();

    fn handle(&mut self, msg: SetPolicy, ctx: &mut Context<Jobs>) {
        let out = msg.out.contains(self.site.domain());
        self.out = msg.out;
        self.tree = msg.tree;
        self.guarantees = msg.policy.guarantees.clone();
        self.step(Input::Out(out), ctx);
        self.step(Input::Policy(Box::new(msg.policy)), ctx);
    }
}

impl Handler<SetProof> for Jobs {
    type Result = ();

    fn handle(&mut self, msg: SetProof, ctx: &mut Context<Jobs>) {
        self.step(Input::Permit(msg.0), ctx);
    }
}

impl Handler<Stop> for Jobs {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Context<Jobs>) {
        self.elect(LockInput::Stop, ctx);
    }
}
