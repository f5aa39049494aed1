//! Settings service: keeps this daemon's copy of the operators' settings current, changes
//! them in the platform store, and applies them to the other services.

mod api;
mod change;
mod derived;

use std::collections::BTreeMap;
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
use base::DomainId;
use base::Findings;
use base::Millis;
use base::Revision;
use base::VmId;
use bytes::Bytes;
use conf::sync::Action;
use conf::sync::Alarm;
use conf::sync::Config;
use conf::sync::Guards;
use conf::sync::Input;
use conf::sync::PeerMessage;
use conf::sync::Replica;
use conf::sync::StoreRev;
use conf::sync::StoredDoc;
use conf::tree::OpId;
use conf::tree::Tree;
use entry::Requests;
use entry::SetOrgs;
use futures_util::stream;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use plat::Change;
use plat::Entry;
use plat::Expect;
use plat::Priority;
use plat::Store;
use plat::WatchEvent;

use self::change::PendingChange;
use crate::context::DaemonContext;
use crate::jobs::Jobs;
use crate::jobs::SetPermit;
use crate::jobs::SetPolicy;
use crate::jobs::JOBS;
use crate::keys;
use crate::peers::Peers;
use crate::peers::PEERS;
use crate::requests::REQUESTS;
use crate::store::STORE;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is `Addr<Settings>`.
pub const SETTINGS: &str = "settings";

/// Interval at which the replica and the pending changes are ticked.
const TICK_INTERVAL: Millis = Millis(50);

/// Time after which an unanswered read of the settings counts as failed.
const READ_TIMEOUT: Millis = Millis(1_000);

/// Length of a start permit that rests on the other daemons' agreement alone. After it, their
/// agreement is checked again.
const PEER_PERMIT: Millis = Millis(200);

/// Actor of the settings service.
pub struct Settings {
    context: DaemonContext,
    store: Store,
    replica: Replica,
    pending_changes: BTreeMap<OpId, PendingChange>,
    jobs: Addr<Jobs>,
    requests: Addr<Requests>,
    peers: Peers,
    alarms: BTreeMap<&'static str, String>,
}

/// A settings message received from another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReceivedPeerMessage {
    /// Sending daemon.
    pub from: VmId,
    /// Content of the message.
    pub message: PeerMessage,
}

/// Sets the other daemons that must agree on the settings. Includes those that the platform lists
/// as live but from which no messages arrive.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetPeers(pub Vec<VmId>);

/// Requests the state of the settings service.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "SettingsState")]
pub struct ReadSettingsState;

/// State of the settings service, for operators and readiness.
#[derive(Clone, Debug)]
pub struct SettingsState {
    /// Whether settings are in force.
    pub ready: bool,
    /// Revision of the settings in force; 0 if there are none.
    pub revision: Revision,
    /// Time since the settings were last confirmed to be the newest; `None` before the first
    /// confirmation.
    pub age: Option<Millis>,
    /// Whether task starts are suspended because the settings may not be the newest.
    pub starts_held: bool,
    /// Failure domains that operators have taken out of service.
    pub domains_out: Vec<DomainId>,
    /// Other daemons, each with its highest reported revision and the time of its last message.
    pub peers: Vec<(VmId, Revision, Option<Millis>)>,
    /// Problems with the stored settings since settings were last applied.
    pub alarms: Vec<String>,
}

/// An update from the watch on the settings document.
struct StoreUpdate(WatchEvent);

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let store: Store = context.registry.find(STORE)?;
    let settings = Settings {
        replica: Replica::new(config(context)),
        store: store.with_priority(Priority::Settings),
        pending_changes: BTreeMap::new(),
        jobs: context.registry.find(JOBS)?,
        requests: context.registry.find(REQUESTS)?,
        peers: context.registry.find(PEERS)?,
        alarms: BTreeMap::new(),
        context: context.clone(),
    };
    kernel.add(SETTINGS, settings.start(), |_| async {})
}

fn config(context: &DaemonContext) -> Config {
    let timing = &context.node.timing;
    Config {
        vm: context.vm.clone(),
        freshness: timing.freshness,
        poll: timing.poll,
        timeout: READ_TIMEOUT,
        guards: Guards::default(),
    }
}

impl Settings {
    fn step(&mut self, input: Input, ctx: &mut Context<Settings>) {
        let now = self.context.clock.now();
        for action in self.replica.step(now, input) {
            self.execute(action, ctx);
        }
    }

    fn execute(&mut self, action: Action, ctx: &mut Context<Settings>) {
        match action {
            Action::Alarm(alarm) => self.raise_alarm(alarm),
            Action::Apply(tree) => self.apply(&tree),
            Action::Read(seq) => self.read_document(seq, ctx),
            Action::Restore { base, data } => self.restore_document(base, data),
            Action::Send(vm, message) => self.peers.send_settings(&vm, &message),
        }
    }

    fn raise_alarm(&mut self, alarm: Alarm) {
        let (event, name, text) = match alarm {
            Alarm::Forked(revision) => {
                let text = format!("the store holds another change under revision {revision}");
                (Event::SettingsOlder, "forked", text)
            }
            Alarm::Replaced { stored, held } => {
                let text = format!("the store offers revision {stored}, {held} is in force");
                (Event::SettingsOlder, "replaced", text)
            }
            Alarm::Unreadable(findings) => {
                (Event::SettingsRefused, "unreadable", findings.to_string())
            }
        };
        obs::emit(&self.context.log, event, &text);
        self.alarms.insert(name, text);
    }

    /// Applies new settings to the other services.
    fn apply(&mut self, tree: &Arc<Tree>) {
        let revision = tree.revision().to_string();
        obs::emit(&self.context.log, Event::SettingsApplied, &revision);
        self.alarms.clear();
        let domain = self.context.domain();
        self.jobs.do_send(SetPolicy {
            policy: derived::planner_policy(tree, domain),
            domains_out: tree.domains_out(),
            tree: tree.clone(),
        });
        let orgs = derived::org_bounds(tree, domain);
        self.requests.do_send(SetOrgs(orgs));
    }

    fn read_document(&mut self, seq: u64, ctx: &mut Context<Settings>) {
        let store = self.store.clone();
        let reading = async move { store.get(keys::SETTINGS).await };
        let done = reading.into_actor(self).map(move |got, settings, ctx| {
            let input = match got {
                Ok(entry) => Input::Read(seq, stored_doc(entry.as_ref())),
                Err(_) => Input::ReadFailed(seq),
            };
            settings.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// Writes the document in force back to the store if the stored value is still that of `base`:
    /// someone has replaced the document there by an older one or by a copy.
    fn restore_document(&self, base: StoreRev, data: String) {
        let store = self.store.clone();
        actix_rt::spawn(async move {
            let expect = expected(base);
            let _ = store
                .put_if(keys::SETTINGS, expect, Bytes::from(data), None)
                .await;
        });
    }

    fn tick(&mut self, ctx: &mut Context<Settings>) {
        self.step(Input::Tick, ctx);
        self.tick_changes(ctx);
        let now = self.context.clock.now();
        if let Some(until) = self.permit_until(now) {
            self.jobs.do_send(SetPermit(until));
        }
    }

    /// Time until which task starts are permitted in this daemon's failure domain.
    fn permit_until(&self, now: Millis) -> Option<Millis> {
        if !self.replica.may_start(self.context.domain(), now) {
            return None;
        }
        if !self.replica.is_fresh(now) {
            return self.has_vm_list().then(|| now + PEER_PERMIT);
        }
        let age = self.replica.age(now)?;
        Some(now.since(age) + self.context.node.timing.freshness)
    }

    /// Whether the VM list has been read: without it, the daemons that must agree are not known.
    fn has_vm_list(&self) -> bool {
        let feed = self.context.registry.find::<VmFeed>(VMS);
        feed.is_ok_and(|feed| !feed.list().entry_vms.is_empty())
    }

    fn state(&self) -> SettingsState {
        let now = self.context.clock.now();
        let peers = self.replica.peers();
        SettingsState {
            ready: self.replica.is_ready(),
            revision: self.revision(),
            age: self.replica.age(now),
            starts_held: !self.replica.may_start(self.context.domain(), now),
            domains_out: self
                .replica
                .tree()
                .map_or_else(Vec::new, |t| t.domains_out()),
            peers: peers
                .map(|(vm, rev, heard)| (vm.clone(), rev.unwrap_or_default(), heard))
                .collect(),
            alarms: self.alarms.values().cloned().collect(),
        }
    }

    fn revision(&self) -> Revision {
        self.replica.tree().map_or(Revision(0), |t| t.revision())
    }

    /// Checks the parts of a tree that depend on the workers.
    fn check_workers(&self, tree: &Tree) -> Result<(), Findings> {
        let feed: VmFeed = match self.context.registry.find(VMS) {
            Ok(feed) => feed,
            Err(_) => return Ok(()),
        };
        derived::check_guarantees(tree, &feed.list())
    }
}

/// Converts an entry of the store; no entry gives an empty document.
fn stored_doc(entry: Option<&Entry>) -> StoredDoc {
    let Some(entry) = entry else {
        return StoredDoc::default();
    };
    StoredDoc {
        rev: StoreRev(entry.revision.0),
        version: conf::tree::KeyVersion(entry.version),
        data: Some(entry.value.to_vec()),
    }
}

fn expected(base: StoreRev) -> Expect {
    match base {
        StoreRev(0) => Expect::Absent,
        StoreRev(rev) => Expect::At(Revision(rev)),
    }
}

impl Actor for Settings {
    type Context = Context<Settings>;

    fn started(&mut self, ctx: &mut Context<Settings>) {
        let watch = self.store.watch(keys::SETTINGS, None);
        ctx.add_stream(stream::unfold(watch, |mut watch| async move {
            let event = watch.next().await?;
            Some((StoreUpdate(event), watch))
        }));
        ctx.run_interval(TICK_INTERVAL.duration(), |settings, ctx| settings.tick(ctx));
    }
}

impl StreamHandler<StoreUpdate> for Settings {
    fn handle(&mut self, update: StoreUpdate, ctx: &mut Context<Settings>) {
        let entries: Vec<Entry> = match update.0 {
            WatchEvent::Changes(changes) => changes.into_iter().filter_map(put_entry).collect(),
            WatchEvent::Resync(listing) => listing.entries,
        };
        for entry in entries.iter().filter(|e| e.key == keys::SETTINGS) {
            self.step(Input::WatchEvent(stored_doc(Some(entry))), ctx);
        }
    }

    fn finished(&mut self, _: &mut Context<Settings>) {}
}

fn put_entry(change: Change) -> Option<Entry> {
    match change {
        Change::Put(entry) => Some(entry),
        Change::Delete { .. } => None,
    }
}

impl Handler<ReceivedPeerMessage> for Settings {
    type Result = ();

    fn handle(&mut self, msg: ReceivedPeerMessage, ctx: &mut Context<Settings>) {
        self.step(Input::Message(msg.from, msg.message), ctx);
    }
}

impl Handler<SetPeers> for Settings {
    type Result = ();

    fn handle(&mut self, msg: SetPeers, ctx: &mut Context<Settings>) {
        let known: Vec<VmId> = self.replica.peers().map(|(vm, _, _)| vm.clone()).collect();
        for vm in known.iter().filter(|vm| !msg.0.contains(vm)) {
            self.step(Input::Leave(vm.clone()), ctx);
        }
        for vm in msg.0.into_iter().filter(|vm| !known.contains(vm)) {
            self.step(Input::Join(vm), ctx);
        }
    }
}

impl Handler<ReadSettingsState> for Settings {
    type Result = actix::MessageResult<ReadSettingsState>;

    fn handle(&mut self, _: ReadSettingsState, _: &mut Context<Settings>) -> Self::Result {
        actix::MessageResult(self.state())
    }
}
