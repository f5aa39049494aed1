//! The service of links to other daemons. It packs typed messages and passes received ones
//! to the services that they are for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::Addr;
use base::VmId;
use bytes::Bytes;
use claim::Packet;
use conf::sync::PeerMessage;
use kernel::Kernel;
use kernel::ServiceRegistry;
use link::LinkConfig;
use link::LinkEvent;
use link::Links;
use link::Topic;
use obs::Event;
use plat::VmList;
use plat::VmState;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::claims::ClaimNote;
use crate::claims::Claiming;
use crate::claims::CLAIMS;
use crate::daemon::DaemonError;
use crate::members::MemberMail;
use crate::members::MemberNote;
use crate::members::Membership;
use crate::members::MEMBERS;
use crate::settings::ReceivePeerMessage;
use crate::settings::SetPeers;
use crate::settings::Settings;
use crate::settings::SETTINGS;
use crate::site::Site;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is [`Peers`].
pub const PEERS: &str = "peers";

/// The only kind of message; its body tells the rest.
const TOPIC: Topic = Topic(1);

/// Separates a VM's id from the start of its daemon.
const START_MARK: char = '/';

/// A message between two daemons.
#[derive(Debug, Deserialize, Serialize)]
struct Envelope {
    /// The daemon that sends, as one start of it.
    from: VmId,
    /// The daemon that it is for; dropped by any other start of it.
    to: Option<VmId>,
    content: Content,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Content {
    /// The sender is up.
    Hello,
    /// Claims of one home domain.
    Claims(Packet),
    /// A question of the membership service, or its answer.
    Members(Box<MemberNote>),
    /// A note about settings.
    Settings(Box<PeerMessage>),
}

/// Handle of the service.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    site: Site,
    links: RefCell<Option<Links>>,
    /// The last known start of each peer's daemon, by VM.
    starts: RefCell<BTreeMap<VmId, VmId>>,
    /// VMs whose link is up.
    up: RefCell<BTreeSet<VmId>>,
    /// Other VMs that the platform lists as live.
    listed: RefCell<BTreeSet<VmId>>,
    live: watch::Sender<Vec<VmId>>,
}

impl Peers {
    /// The daemons whose link is up, as starts.
    pub fn live(&self) -> Vec<VmId> {
        self.inner.live.borrow().clone()
    }

    /// News of [`Peers::live`].
    pub fn watch(&self) -> watch::Receiver<Vec<VmId>> {
        self.inner.live.subscribe()
    }

    /// When a daemon was heard last.
    pub fn heard(&self, vm: &VmId) -> Option<base::Millis> {
        let links = self.inner.links.borrow();
        Some(links.as_ref()?.peer(&host_of(vm))?.heard)
    }

    /// Sends a note about settings. It may be lost.
    pub fn send_note(&self, to: &VmId, note: &PeerMessage) {
        self.send(to, Content::Settings(Box::new(note.clone())));
    }

    /// Sends a question or an answer of the membership service. It may be lost.
    pub fn send_members(&self, to: &VmId, note: MemberNote) {
        self.send(to, Content::Members(Box::new(note)));
    }

    /// Sends claims of a home domain. They may be lost.
    pub fn send_claims(&self, to: &VmId, packet: Packet) {
        self.send(to, Content::Claims(packet));
    }

    fn send(&self, to: &VmId, content: Content) {
        self.inner.push(&host_of(to), Some(to.clone()), content);
    }

    fn set_list(&self, list: &VmList) {
        let own = host_of(&self.inner.site.vm);
        let others = list.entry_vms.iter().filter(|vm| vm.id != own);
        let peers: Vec<(VmId, SocketAddr)> =
            others.map(|vm| (vm.id.clone(), vm.peer_addr)).collect();
        if let Some(links) = self.inner.links.borrow().as_ref() {
            links.set_peers(peers);
        }
        let others = list.entry_vms.iter().filter(|vm| vm.id != own);
        let live = others.filter(|vm| vm.state == VmState::Live);
        let listed = live.map(|vm| vm.id.clone()).collect();
        self.inner.listed.replace(listed);
        self.inner.tell_listed();
    }
}

impl Inner {
    fn push(&self, host: &VmId, to: Option<VmId>, content: Content) {
        let envelope = Envelope {
            from: self.site.vm.clone(),
            to,
            content,
        };
        let mut body = Vec::new();
        if ciborium::into_writer(&envelope, &mut body).is_err() {
            return;
        }
        if let Some(links) = self.links.borrow().as_ref() {
            let _ = links.send(host, TOPIC, Bytes::from(body));
        }
    }

    fn on_event(&self, event: LinkEvent) {
        match event {
            LinkEvent::Down(host) => self.forget(&host),
            LinkEvent::Message { from, body, .. } => self.on_message(&from, &body),
            LinkEvent::Request { .. } => {}
            LinkEvent::Up(host) => self.push(&host, None, Content::Hello),
        }
    }

    fn forget(&self, host: &VmId) {
        self.up.borrow_mut().remove(host);
        self.tell_live();
        self.tell_listed();
    }

    fn on_message(&self, host: &VmId, body: &[u8]) {
        let envelope: Envelope = match ciborium::from_reader(body) {
            Ok(envelope) => envelope,
            Err(error) => {
                let text = format!("message of {host}: {error}");
                return obs::emit(&self.site.log, Event::InputRefused, &text);
            }
        };
        if host_of(&envelope.from) != *host {
            let text = format!("{host} sent as {}", envelope.from);
            return obs::emit(&self.site.log, Event::InputRefused, &text);
        }
        self.learn(host, &envelope.from);
        let to_me = envelope.to.as_ref().is_none_or(|to| *to == self.site.vm);
        if to_me {
            self.pass(envelope.from, envelope.content);
        }
    }

    fn learn(&self, host: &VmId, start: &VmId) {
        let before = self.starts.borrow_mut().insert(host.clone(), start.clone());
        let rose = self.up.borrow_mut().insert(host.clone());
        if rose || before.as_ref() != Some(start) {
            self.tell_live();
            self.tell_listed();
        }
    }

    fn tell_live(&self) {
        let up = self.up.borrow();
        let starts = self.starts.borrow();
        let live = up.iter().filter_map(|host| starts.get(host).cloned());
        self.live.send_replace(live.collect());
    }

    /// Tells the settings service whom it has to hear before it may say that all are heard:
    /// daemons that are listed, whether or not their link is up, and those that are linked.
    fn tell_listed(&self) {
        let listed = self.listed.borrow();
        let up = self.up.borrow();
        let starts = self.starts.borrow();
        let start = |host: &VmId| starts.get(host).unwrap_or(host).clone();
        let all: Vec<VmId> = listed.union(&up).map(start).collect();
        if let Ok(settings) = self.names().find::<Addr<Settings>>(SETTINGS) {
            settings.do_send(SetPeers(all));
        }
    }

    fn pass(&self, from: VmId, content: Content) {
        match content {
            Content::Hello => {}
            Content::Claims(packet) => {
                if let Ok(claims) = self.names().find::<Addr<Claiming>>(CLAIMS) {
                    claims.do_send(ClaimNote { from, packet });
                }
            }
            Content::Members(note) => {
                if let Ok(members) = self.names().find::<Addr<Membership>>(MEMBERS) {
                    members.do_send(MemberMail { from, note: *note });
                }
            }
            Content::Settings(note) => {
                if let Ok(settings) = self.names().find::<Addr<Settings>>(SETTINGS) {
                    settings.do_send(ReceivePeerMessage {
                        from,
                        message: *note,
                    });
                }
            }
        }
    }

    fn names(&self) -> &ServiceRegistry {
        &self.site.names
    }
}

/// The VM of a daemon.
pub fn host_of(start: &VmId) -> VmId {
    let host = start.as_str().split(START_MARK).next();
    let host = host.and_then(|h| h.parse().ok());
    host.unwrap_or_else(|| start.clone())
}

/// The id of one start of the daemon on a VM.
pub fn start_of(host: &VmId, started: base::Millis) -> Result<VmId, base::IdError> {
    format!("{host}{START_MARK}{:x}", started.0).parse()
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, site: &Site) -> Result<SocketAddr, DaemonError> {
    let feed: VmFeed = site.names.find(VMS)?;
    let (live, _) = watch::channel(Vec::new());
    let inner = Rc::new(Inner {
        site: site.clone(),
        links: RefCell::new(None),
        starts: RefCell::default(),
        up: RefCell::default(),
        listed: RefCell::default(),
        live,
    });
    let events = inner.clone();
    let links = Links::start(
        config(site),
        site.log.clone(),
        &site.metrics,
        site.clock.clone(),
        move |event| events.on_event(event),
    );
    let listen = site.node.addresses.peers;
    let links = links.map_err(|e| DaemonError::Port("peers", listen, e))?;
    let address = links.addr();
    inner.links.replace(Some(links.clone()));
    let peers = Peers { inner };
    let task = actix_rt::spawn(follow(feed, peers.clone()));
    kernel.add(PEERS, peers, move |peers: Peers| async move {
        task.abort();
        peers.inner.links.take();
        links.close().await;
    })?;
    Ok(address)
}

fn config(site: &Site) -> LinkConfig {
    let host = host_of(&site.vm);
    let listen = site.node.addresses.peers;
    let mut config = LinkConfig::new(host, site.domain().clone(), SITE, listen);
    config.seed = site.seed(PEERS);
    config
}

/// Name under which daemons accept each other.
const SITE: &str = "bronzetack";

async fn follow(mut feed: VmFeed, peers: Peers) {
    peers.set_list(&feed.list());
    while let Some(list) = feed.next().await {
        peers.set_list(&list);
    }
}
