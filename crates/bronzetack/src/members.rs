//! Membership service: tracks which daemons are reachable and which of them keep the claims of each
//! home domain.
//!
//! It runs the `member::Members` state machine and performs its actions on the store, the links and
//! the claims service.

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::StreamHandler;
use actix::WrapFuture;
use base::DomainId;
use base::Millis;
use base::Revision;
use base::VmId;
use bytes::Bytes;
use futures_util::stream;
use kernel::Kernel;
use kernel::KernelError;
use member::Action;
use member::CasResult;
use member::Input;
use member::ListedVm;
use member::Members;
use member::PeerState;
use member::ViewRecord;
use plat::Entry;
use plat::Expect;
use plat::Store;
use plat::StoreError;
use plat::VmList;
use plat::VmState;
use plat::WriteOutcome;
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde::Serialize;

use crate::claims::ClaimsActor;
use crate::claims::PeerDown;
use crate::claims::PeerUp;
use crate::claims::SetLease;
use crate::claims::SetView;
use crate::claims::CLAIMS;
use crate::context::DaemonContext;
use crate::keys;
use crate::peers::host_of;
use crate::peers::Peers;
use crate::peers::PEERS;
use crate::store::STORE;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<MembersActor>`.
pub const MEMBERS: &str = "members";

/// Interval at which the state machine is ticked.
const TICK_INTERVAL: Millis = Millis(100);

/// A message between the membership services of two daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberMessage {
    /// Requests the view record of a home domain.
    Fetch(DomainId),
    /// Answer to `Fetch`.
    Passed {
        /// Home domain of the record.
        domain: DomainId,
        /// View record as the sender knows it.
        record: ViewRecord,
    },
    /// Requests the receiver's state.
    Ping {
        /// Sender's clock at the time of sending.
        asked: Millis,
    },
    /// Answer to `Ping`.
    Pong {
        /// Time copied from the `Ping`.
        asked: Millis,
        /// State of the daemon that answers.
        state: PeerState,
    },
}

/// A membership message received from another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReceivedMemberMessage {
    /// Sending daemon.
    pub from: VmId,
    /// Content of the message.
    pub message: MemberMessage,
}

/// Announces the planned stop of this daemon.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// The platform's list of VMs or the set of linked daemons changed.
struct VmsChanged;

/// Actor of the membership service.
pub struct MembersActor {
    context: DaemonContext,
    store: Store,
    feed: VmFeed,
    peers: Peers,
    claims: Addr<ClaimsActor>,
    members: Members,
    rng: Pcg64,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let members = Members::new(
        context.vm.clone(),
        context.domain().clone(),
        context.node.domains.clone(),
        member::Settings::default(),
    );
    let actor = MembersActor {
        store: context.registry.find(STORE)?,
        feed: context.registry.find(VMS)?,
        peers: context.registry.find(PEERS)?,
        claims: context.registry.find(CLAIMS)?,
        rng: context.rng(MEMBERS),
        members,
        context: context.clone(),
    };
    kernel.add(MEMBERS, actor.start(), |_| async {})
}

impl MembersActor {
    fn step(&mut self, input: Input, ctx: &mut Context<MembersActor>) {
        let now = self.context.clock.now();
        for action in self.members.step(now, input, &mut self.rng) {
            self.apply(action, now, ctx);
        }
    }

    fn apply(&mut self, action: Action, now: Millis, ctx: &mut Context<MembersActor>) {
        match action {
            Action::Fetch { from, domain } => {
                self.peers.send_members(&from, MemberMessage::Fetch(domain));
            }
            Action::Lease {
                domain,
                view,
                until,
            } => self.claims.do_send(SetLease {
                domain,
                view,
                until,
            }),
            Action::PeerDown(vm) => self.claims.do_send(PeerDown(vm)),
            Action::PeerUp(vm) => self.claims.do_send(PeerUp(vm)),
            Action::Ping(vm) => self
                .peers
                .send_members(&vm, MemberMessage::Ping { asked: now }),
            Action::Propose {
                domain,
                version,
                record,
            } => self.propose(domain, version, record, ctx),
            Action::Read(domain) => self.read(domain, ctx),
            Action::View { domain, record } => {
                let view = record.view;
                self.claims.do_send(SetView { domain, view });
            }
        }
    }

    fn read(&mut self, domain: DomainId, ctx: &mut Context<MembersActor>) {
        let asked = self.context.clock.now();
        let store = self.store.clone();
        let key = keys::view(&domain);
        let reading = async move { store.get(&key).await };
        let done = reading.into_actor(self).map(move |got, actor, ctx| {
            let ok = got.is_ok();
            actor.step(Input::PlatformCall { asked, ok }, ctx);
            let input = match got {
                Ok(entry) => Input::Read {
                    domain,
                    asked,
                    found: entry.as_ref().and_then(read_record),
                },
                Err(_) => Input::ReadFailed(domain),
            };
            actor.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// Writes a view record if the stored one still has `version`, the store's revision of its key;
    /// 0 means that no record exists.
    fn propose(
        &mut self,
        domain: DomainId,
        version: u64,
        record: ViewRecord,
        ctx: &mut Context<MembersActor>,
    ) {
        let asked = self.context.clock.now();
        let store = self.store.clone();
        let key = keys::view(&domain);
        let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::At(Revision(version)),
        };
        let writing = async move { store.put_if(&key, expect, value, None).await };
        let done = writing.into_actor(self).map(move |put, actor, ctx| {
            let input = Input::ProposeResult {
                domain,
                asked,
                record,
                result: cas_result(put),
            };
            actor.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// The platform's list of entry VMs. A linked daemon is listed by the id of its current start,
    /// any other by its VM id.
    fn listed_vms(&self) -> Vec<ListedVm> {
        let list = self.feed.list();
        let live = self.peers.live();
        let current_start = |host: &VmId| {
            let mut starts = live.iter().filter(|vm| host_of(vm) == *host);
            starts.next().cloned().unwrap_or_else(|| host.clone())
        };
        listed_vms(&list, current_start, &self.context.vm)
    }
}

fn listed_vms(
    list: &VmList,
    current_start: impl Fn(&VmId) -> VmId,
    own_start: &VmId,
) -> Vec<ListedVm> {
    let own = host_of(own_start);
    let id = |host: &VmId| {
        if *host == own {
            own_start.clone()
        } else {
            current_start(host)
        }
    };
    let vms = list.entry_vms.iter();
    vms.map(|vm| ListedVm {
        id: id(&vm.id),
        domain: vm.domain.clone(),
        leaving: vm.state == VmState::Leaving,
    })
    .collect()
}

fn read_record(entry: &Entry) -> Option<(ViewRecord, u64)> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some((record, entry.revision.0))
}

fn cas_result(put: Result<WriteOutcome, StoreError>) -> CasResult {
    match put {
        Ok(WriteOutcome::Done(revision)) => CasResult::Written {
            version: revision.0,
        },
        Ok(WriteOutcome::Conflict(_)) => CasResult::NotWritten,
        Err(StoreError::OutcomeUnknown(..)) => CasResult::Unknown,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => CasResult::NotWritten,
    }
}

impl Actor for MembersActor {
    type Context = Context<MembersActor>;

    fn started(&mut self, ctx: &mut Context<MembersActor>) {
        let feed = self.feed.clone();
        ctx.add_stream(stream::unfold(feed, |mut feed| async move {
            feed.next().await?;
            Some((VmsChanged, feed))
        }));
        let live = self.peers.watch();
        ctx.add_stream(stream::unfold(live, |mut live| async move {
            live.changed().await.ok()?;
            Some((VmsChanged, live))
        }));
        ctx.run_interval(TICK_INTERVAL.duration(), |actor, ctx| {
            actor.step(Input::Tick, ctx);
        });
    }
}

impl StreamHandler<VmsChanged> for MembersActor {
    fn handle(&mut self, _: VmsChanged, ctx: &mut Context<MembersActor>) {
        let listed = self.listed_vms();
        if !listed.is_empty() {
            self.step(Input::VmList(listed), ctx);
        }
    }

    fn finished(&mut self, _: &mut Context<MembersActor>) {}
}

impl Handler<ReceivedMemberMessage> for MembersActor {
    type Result = ();

    fn handle(&mut self, msg: ReceivedMemberMessage, ctx: &mut Context<MembersActor>) {
        let from = msg.from;
        match msg.message {
            MemberMessage::Fetch(domain) => {
                if let Some(record) = self.members.record(&domain).cloned() {
                    let passed = MemberMessage::Passed { domain, record };
                    self.peers.send_members(&from, passed);
                }
            }
            MemberMessage::Passed { domain, record } => {
                self.step(Input::Fetched { domain, record }, ctx);
            }
            MemberMessage::Ping { asked } => {
                let state = self.members.state(self.context.clock.now());
                let pong = MemberMessage::Pong { asked, state };
                self.peers.send_members(&from, pong);
            }
            MemberMessage::Pong { asked, state } => {
                self.step(Input::PingReply { from, asked, state }, ctx);
            }
        }
    }
}

impl Handler<Leave> for MembersActor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<MembersActor>) {
        self.step(Input::Stop, ctx);
    }
}
