//! The service of the operators' settings: keeps them the newest, changes them, and tells
//! the other services what is in force.

mod api;
mod change;
mod views;

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

use self::change::Running;
use crate::context::DaemonContext;
use crate::jobs::Jobs;
use crate::jobs::SetPolicy;
use crate::jobs::SetProof;
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

/// Period of the time inputs.
const TICK: Millis = Millis(50);

/// Time after which a read of the settings is given up.
const READ_TIMEOUT: Millis = Millis(1_000);

/// How long starts stay allowed by peers alone before they are asked again.
const HEARD_FOR: Millis = Millis(200);

/// The actor of settings.
pub struct Settings {
    site: DaemonContext,
    store: Store,
    sync: Replica,
    runs: BTreeMap<OpId, Running>,
    jobs: Addr<Jobs>,
    requests: Addr<Requests>,
    peers: Peers,
    alarms: BTreeMap<&'static str, String>,
}

/// A note of another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerNote {
    /// The sender.
    pub from: VmId,
    /// The note.
    pub note: PeerMessage,
}

/// The other daemons that the platform lists as live, heard or not.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetLive(pub Vec<VmId>);

/// Asks for the state of the settings.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "SettingsState")]
pub struct ReadSettingsState;

/// State of the settings of this daemon.
#[derive(Clone, Debug)]
pub struct SettingsState {
    /// Whether a tree is in force.
    pub ready: bool,
    /// Its revision.
    pub revision: Revision,
    /// Age of the proof that it is the newest.
    pub age: Option<Millis>,
    /// Whether starts are held for want of a fresh proof.
    pub held: bool,
    /// Failure domains that are out.
    pub out: Vec<DomainId>,
    /// Other daemons, their revision and when they were heard.
    pub peers: Vec<(VmId, Revision, Option<Millis>)>,
    /// What operators should know.
    pub alarms: Vec<String>,
}

/// News of the stored document.
struct StoreNews(WatchEvent);

/// Starts the service.
pub fn start(kernel: &mut Kernel, site: &DaemonContext) -> Result<(), KernelError> {
    let store: Store = site.names.find(STORE)?;
    let settings = Settings {
        sync: Replica::new(config(site)),
        store: store.with_priority(Priority::Settings),
        runs: BTreeMap::new(),
        jobs: site.names.find(JOBS)?,
        requests: site.names.find(REQUESTS)?,
        peers: site.names.find(PEERS)?,
        alarms: BTreeMap::new(),
        site: site.clone(),
    };
    kernel.add(SETTINGS, settings.start(), |_| async {})
}

fn config(site: &DaemonContext) -> Config {
    let timing = &site.node.timing;
    Config {
        vm: site.vm.clone(),
        freshness: timing.freshness,
        poll: timing.poll,
        timeout: READ_TIMEOUT,
        guards: Guards::default(),
    }
}

impl Settings {
    fn step(&mut self, input: Input, ctx: &mut Context<Settings>) {
        let now = self.site.clock.now();
        for action in self.sync.step(now, input) {
            self.act(action, ctx);
        }
    }

    fn act(&mut self, action: Action, ctx: &mut Context<Settings>) {
        match action {
            Action::Alarm(alarm) => self.alarm(alarm),
            Action::Apply(tree) => self.apply(&tree),
            Action::Read(seq) => self.read(seq, ctx),
            Action::Restore { base, data } => self.restore(base, data),
            Action::Send(vm, note) => self.peers.send_settings(&vm, &note),
        }
    }

    fn alarm(&mut self, alarm: Alarm) {
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
        obs::emit(&self.site.log, event, &text);
        self.alarms.insert(name, text);
    }

    /// Tells the other services what is in force.
    fn apply(&mut self, tree: &Arc<Tree>) {
        let revision = tree.revision().to_string();
        obs::emit(&self.site.log, Event::SettingsApplied, &revision);
        self.alarms.clear();
        let domain = self.site.domain();
        self.jobs.do_send(SetPolicy {
            policy: views::policy(tree, domain),
            out: tree.domains_out(),
            tree: tree.clone(),
        });
        let orgs = views::orgs(tree, domain);
        self.requests.do_send(SetOrgs(orgs));
    }

    fn read(&mut self, seq: u64, ctx: &mut Context<Settings>) {
        let store = self.store.clone();
        let reading = async move { store.get(keys::SETTINGS).await };
        let done = reading.into_actor(self).map(move |got, settings, ctx| {
            let input = match got {
                Ok(entry) => Input::Read(seq, stored(entry.as_ref())),
                Err(_) => Input::ReadFailed(seq),
            };
            settings.step(input, ctx);
        });
        ctx.spawn(done);
    }

    /// Writes the document in force back over one that somebody has put there.
    fn restore(&self, base: StoreRev, data: String) {
        let store = self.store.clone();
        actix_rt::spawn(async move {
            let expect = expect(base);
            let _ = store
                .put_if(keys::SETTINGS, expect, Bytes::from(data), None)
                .await;
        });
    }

    fn tick(&mut self, ctx: &mut Context<Settings>) {
        self.step(Input::Tick, ctx);
        self.tick_runs(ctx);
        let now = self.site.clock.now();
        if let Some(until) = self.proof(now) {
            self.jobs.do_send(SetProof(until));
        }
    }

    /// Until when starts are allowed in the own failure domain.
    fn proof(&self, now: Millis) -> Option<Millis> {
        if !self.sync.may_start(self.site.domain(), now) {
            return None;
        }
        if !self.sync.is_fresh(now) {
            return self.knows_all().then(|| now + HEARD_FOR);
        }
        let age = self.sync.age(now)?;
        Some(now.since(age) + self.site.node.timing.freshness)
    }

    /// Whether the list of the daemons that must be heard was ever read.
    fn knows_all(&self) -> bool {
        let feed = self.site.names.find::<VmFeed>(VMS);
        feed.is_ok_and(|feed| !feed.list().entry_vms.is_empty())
    }

    fn state(&self) -> SettingsState {
        let now = self.site.clock.now();
        let peers = self.sync.peers();
        SettingsState {
            ready: self.sync.is_ready(),
            revision: self.revision(),
            age: self.sync.age(now),
            held: !self.sync.may_start(self.site.domain(), now),
            out: self.sync.tree().map_or_else(Vec::new, |t| t.domains_out()),
            peers: peers
                .map(|(vm, rev, heard)| (vm.clone(), rev.unwrap_or_default(), heard))
                .collect(),
            alarms: self.alarms.values().cloned().collect(),
        }
    }

    fn revision(&self) -> Revision {
        self.sync.tree().map_or(Revision(0), |t| t.revision())
    }

    /// Problems of a tree that need knowledge of the workers.
    fn check_workers(&self, tree: &Tree) -> Result<(), Findings> {
        let feed: VmFeed = match self.site.names.find(VMS) {
            Ok(feed) => feed,
            Err(_) => return Ok(()),
        };
        views::check_guarantees(tree, &feed.list())
    }
}

/// What the store's entry holds.
fn stored(entry: Option<&Entry>) -> StoredDoc {
    let Some(entry) = entry else {
        return StoredDoc::default();
    };
    StoredDoc {
        rev: StoreRev(entry.revision.0),
        version: conf::tree::KeyVersion(entry.version),
        data: Some(entry.value.to_vec()),
    }
}

fn expect(base: StoreRev) -> Expect {
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
            Some((StoreNews(event), watch))
        }));
        ctx.run_interval(TICK.duration(), |settings, ctx| settings.tick(ctx));
    }
}

impl StreamHandler<StoreNews> for Settings {
    fn handle(&mut self, news: StoreNews, ctx: &mut Context<Settings>) {
        let entries: Vec<Entry> = match news.0 {
            WatchEvent::Changes(changes) => changes.into_iter().filter_map(written).collect(),
            WatchEvent::Resync(listing) => listing.entries,
        };
        for entry in entries.iter().filter(|e| e.key == keys::SETTINGS) {
            self.step(Input::WatchEvent(stored(Some(entry))), ctx);
        }
    }

    fn finished(&mut self, _: &mut Context<Settings>) {}
}

fn written(change: Change) -> Option<Entry> {
    match change {
        Change::Put(entry) => Some(entry),
        Change::Delete { .. } => None,
    }
}

impl Handler<PeerNote> for Settings {
    type Result = ();

    fn handle(&mut self, msg: PeerNote, ctx: &mut Context<Settings>) {
        self.step(Input::Message(msg.from, msg.note), ctx);
    }
}

impl Handler<SetLive> for Settings {
    type Result = ();

    fn handle(&mut self, msg: SetLive, ctx: &mut Context<Settings>) {
        let known: Vec<VmId> = self.sync.peers().map(|(vm, _, _)| vm.clone()).collect();
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
