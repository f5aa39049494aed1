//! The service of membership: which daemons are heard, and who keeps the claims of each
//! home domain.

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

use crate::claims::Claiming;
use crate::claims::SetDown;
use crate::claims::SetLease;
use crate::claims::SetUp;
use crate::claims::SetView;
use crate::claims::CLAIMS;
use crate::keys;
use crate::peers::host_of;
use crate::peers::Peers;
use crate::peers::PEERS;
use crate::site::Site;
use crate::store::STORE;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<Membership>`.
pub const MEMBERS: &str = "members";

/// Period of the time inputs.
const TICK: Millis = Millis(100);

/// A question or an answer between two membership services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberNote {
    /// Asks for the record of a home domain.
    Fetch(DomainId),
    /// A record that was asked for.
    Passed {
        /// The home domain.
        domain: DomainId,
        /// The record.
        record: ViewRecord,
    },
    /// Asks for the receiver's state.
    Ping {
        /// The sender's time.
        asked: Millis,
    },
    /// The state that was asked for.
    Pong {
        /// The time in the question.
        asked: Millis,
        /// The state.
        state: PeerState,
    },
}

/// A note and its sender.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct MemberMail {
    /// The sender.
    pub from: VmId,
    /// The note.
    pub note: MemberNote,
}

/// A planned stop has begun.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// The list of VMs or the live daemons changed.
struct RosterNews;

/// The actor of membership.
pub struct Membership {
    site: Site,
    store: Store,
    feed: VmFeed,
    peers: Peers,
    claims: Addr<Claiming>,
    members: Members,
    rng: Pcg64,
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, site: &Site) -> Result<(), KernelError> {
    let members = Members::new(
        site.vm.clone(),
        site.domain().clone(),
        site.node.domains.clone(),
        member::Settings::default(),
    );
    let membership = Membership {
        store: site.names.find(STORE)?,
        feed: site.names.find(VMS)?,
        peers: site.names.find(PEERS)?,
        claims: site.names.find(CLAIMS)?,
        rng: site.rng(MEMBERS),
        members,
        site: site.clone(),
    };
    kernel.add(MEMBERS, membership.start(), |_| async {})
}

impl Membership {
    fn step(&mut self, input: Input, ctx: &mut Context<Membership>) {
        let now = self.site.clock.now();
        for action in self.members.step(now, input, &mut self.rng) {
            self.act(action, now, ctx);
        }
    }

    fn act(&mut self, action: Action, now: Millis, ctx: &mut Context<Membership>) {
        match action {
            Action::Fetch { from, domain } => {
                self.peers.send_members(&from, MemberNote::Fetch(domain));
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
            Action::PeerDown(vm) => self.claims.do_send(SetDown(vm)),
            Action::PeerUp(vm) => self.claims.do_send(SetUp(vm)),
            Action::Ping(vm) => self
                .peers
                .send_members(&vm, MemberNote::Ping { asked: now }),
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

    fn read(&mut self, domain: DomainId, ctx: &mut Context<Membership>) {
        let asked = self.site.clock.now();
        let store = self.store.clone();
        let key = keys::view(&domain);
        let reading = async move { store.get(&key).await };
        let done = reading.into_actor(self).map(move |got, membership, ctx| {
            let ok = got.is_ok();
            membership.step(Input::PlatformCall { asked, ok }, ctx);
            let input = match got {
                Ok(entry) => Input::Read {
                    domain,
                    asked,
                    found: entry.as_ref().and_then(read_record),
                },
                Err(_) => Input::ReadFailed(domain),
            };
            membership.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// Writes a record. The version of a record is the store's revision of its key.
    fn propose(
        &mut self,
        domain: DomainId,
        version: u64,
        record: ViewRecord,
        ctx: &mut Context<Membership>,
    ) {
        let asked = self.site.clock.now();
        let store = self.store.clone();
        let key = keys::view(&domain);
        let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::At(Revision(version)),
        };
        let writing = async move { store.put_if(&key, expect, value, None).await };
        let done = writing.into_actor(self).map(move |put, membership, ctx| {
            let input = Input::ProposeResult {
                domain,
                asked,
                record,
                result: swap(put),
            };
            membership.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// The platform's list, with the present start of each daemon that is linked.
    fn roster(&self) -> Vec<ListedVm> {
        let list = self.feed.list();
        let live = self.peers.live();
        let start = |host: &VmId| {
            let mut starts = live.iter().filter(|vm| host_of(vm) == *host);
            starts.next().cloned().unwrap_or_else(|| host.clone())
        };
        roster(&list, start, &self.site.vm)
    }
}

fn roster(list: &VmList, start: impl Fn(&VmId) -> VmId, me: &VmId) -> Vec<ListedVm> {
    let own = host_of(me);
    let id = |host: &VmId| {
        if *host == own {
            me.clone()
        } else {
            start(host)
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

fn swap(put: Result<WriteOutcome, StoreError>) -> CasResult {
    match put {
        Ok(WriteOutcome::Done(revision)) => CasResult::Written {
            version: revision.0,
        },
        Ok(WriteOutcome::Conflict(_)) => CasResult::NotWritten,
        Err(StoreError::OutcomeUnknown(..)) => CasResult::Unknown,
        Err(StoreError::NotSent(..) | StoreError::Refused(..)) => CasResult::NotWritten,
    }
}

impl Actor for Membership {
    type Context = Context<Membership>;

    fn started(&mut self, ctx: &mut Context<Membership>) {
        let feed = self.feed.clone();
        ctx.add_stream(stream::unfold(feed, |mut feed| async move {
            feed.next().await?;
            Some((RosterNews, feed))
        }));
        let live = self.peers.watch();
        ctx.add_stream(stream::unfold(live, |mut live| async move {
            live.changed().await.ok()?;
            Some((RosterNews, live))
        }));
        ctx.run_interval(TICK.duration(), |membership, ctx| {
            membership.step(Input::Tick, ctx);
        });
    }
}

impl StreamHandler<RosterNews> for Membership {
    fn handle(&mut self, _: RosterNews, ctx: &mut Context<Membership>) {
        let roster = self.roster();
        if !roster.is_empty() {
            self.step(Input::VmList(roster), ctx);
        }
    }

    fn finished(&mut self, _: &mut Context<Membership>) {}
}

impl Handler<MemberMail> for Membership {
    type Result = ();

    fn handle(&mut self, msg: MemberMail, ctx: &mut Context<Membership>) {
        let from = msg.from;
        match msg.note {
            MemberNote::Fetch(domain) => {
                if let Some(record) = self.members.record(&domain).cloned() {
                    let passed = MemberNote::Passed { domain, record };
                    self.peers.send_members(&from, passed);
                }
            }
            MemberNote::Passed { domain, record } => {
                self.step(Input::Fetched { domain, record }, ctx);
            }
            MemberNote::Ping { asked } => {
                let state = self.members.state(self.site.clock.now());
                let pong = MemberNote::Pong { asked, state };
                self.peers.send_members(&from, pong);
            }
            MemberNote::Pong { asked, state } => {
                self.step(Input::PingReply { from, asked, state }, ctx);
            }
        }
    }
}

impl Handler<Leave> for Membership {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<Membership>) {
        self.step(Input::Stop, ctx);
    }
}
