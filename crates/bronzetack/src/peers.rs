//! Peers service: keeps links to the other daemons, encodes typed messages and dispatches received
//! ones to their services.
//!
//! Messages are addressed to one start of a daemon. Its id consists of the VM id and the start
//! time, so that a restarted daemon does not receive messages meant for its predecessor.

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

use crate::claims::ClaimsActor;
use crate::claims::ReceivedClaims;
use crate::claims::CLAIMS;
use crate::context::DaemonContext;
use crate::daemon::DaemonError;
use crate::members::MemberMessage;
use crate::members::MembersActor;
use crate::members::ReceivedMemberMessage;
use crate::members::MEMBERS;
use crate::settings::ReceivedPeerMessage;
use crate::settings::SetPeers;
use crate::settings::Settings;
use crate::settings::SETTINGS;
use crate::vms::VmFeed;
use crate::vms::VMS;

/// Name of the service; its handle is [`Peers`].
pub const PEERS: &str = "peers";

/// Link topic of all messages; the envelope carries their type.
const TOPIC: Topic = Topic(1);

/// Separates the VM id from the start time in the id of a daemon start.
const START_MARK: char = '/';

/// A message between two daemons.
#[derive(Debug, Deserialize, Serialize)]
struct Envelope {
    /// Sending daemon, by the id of its start.
    from: VmId,
    /// Receiving daemon, by the id of its start; another start on the same VM drops the message.
    /// `None` addresses any start.
    to: Option<VmId>,
    content: Content,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Content {
    /// Sent when a link comes up, to report the sender's start.
    Hello,
    /// Claim messages of one home domain.
    Claims(Packet),
    /// Message between membership services.
    Members(Box<MemberMessage>),
    /// Message between settings services.
    Settings(Box<PeerMessage>),
}

/// Handle of the peers service.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    context: DaemonContext,
    /// `None` before the links are started and after they are closed.
    links: RefCell<Option<Links>>,
    /// Last known start of each peer's daemon, by VM id.
    starts: RefCell<BTreeMap<VmId, VmId>>,
    /// VMs that have sent a message over a link that is still up.
    up: RefCell<BTreeSet<VmId>>,
    /// VMs other than this one that the platform lists as live.
    listed: RefCell<BTreeSet<VmId>>,
    /// Ids of the linked daemons' current starts.
    live: watch::Sender<Vec<VmId>>,
}

impl Peers {
    /// Daemons that are linked, by the id of their current start.
    pub fn live(&self) -> Vec<VmId> {
        self.inner.live.borrow().clone()
    }

    /// Subscribes to changes of [`Peers::live`].
    pub fn watch(&self) -> watch::Receiver<Vec<VmId>> {
        self.inner.live.subscribe()
    }

    /// Time of the last message on the link to a daemon, pongs included, or of the link's
    /// establishment if none has arrived. `None` if the daemon is not a known peer.
    pub fn last_heard(&self, vm: &VmId) -> Option<base::Millis> {
        let links = self.inner.links.borrow();
        Some(links.as_ref()?.peer(&host_of(vm))?.heard)
    }

    /// Sends a message to the settings service of a daemon, without delivery guarantee.
    pub fn send_settings(&self, to: &VmId, message: &PeerMessage) {
        self.send(to, Content::Settings(Box::new(message.clone())));
    }

    /// Sends a message to the membership service of a daemon, without delivery guarantee.
    pub fn send_members(&self, to: &VmId, message: MemberMessage) {
        self.send(to, Content::Members(Box::new(message)));
    }

    /// Sends claim messages to a daemon, without delivery guarantee.
    pub fn send_claims(&self, to: &VmId, packet: Packet) {
        self.send(to, Content::Claims(packet));
    }

    fn send(&self, to: &VmId, content: Content) {
        self.inner.send(&host_of(to), Some(to.clone()), content);
    }

    fn set_vms(&self, list: &VmList) {
        let own = host_of(&self.inner.context.vm);
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
        self.inner.notify_settings();
    }
}

impl Inner {
    fn send(&self, host: &VmId, to: Option<VmId>, content: Content) {
        let envelope = Envelope {
            from: self.context.vm.clone(),
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
            LinkEvent::Down(host) => self.on_down(&host),
            LinkEvent::Message { from, body, .. } => self.on_message(&from, &body),
            LinkEvent::Request { .. } => {}
            LinkEvent::Up(host) => self.send(&host, None, Content::Hello),
        }
    }

    fn on_down(&self, host: &VmId) {
        self.up.borrow_mut().remove(host);
        self.publish_live();
        self.notify_settings();
    }

    fn on_message(&self, host: &VmId, body: &[u8]) {
        let envelope: Envelope = match ciborium::from_reader(body) {
            Ok(envelope) => envelope,
            Err(error) => {
                let text = format!("malformed message from {host}: {error}");
                return obs::emit(&self.context.log, Event::InputRefused, &text);
            }
        };
        if host_of(&envelope.from) != *host {
            let text = format!("message from {host} names {} as its sender", envelope.from);
            return obs::emit(&self.context.log, Event::InputRefused, &text);
        }
        self.record_start(host, &envelope.from);
        let is_for_this_start = envelope.to.as_ref().is_none_or(|to| *to == self.context.vm);
        if is_for_this_start {
            self.dispatch(envelope.from, envelope.content);
        }
    }

    fn record_start(&self, host: &VmId, start: &VmId) {
        let previous = self.starts.borrow_mut().insert(host.clone(), start.clone());
        let came_up = self.up.borrow_mut().insert(host.clone());
        if came_up || previous.as_ref() != Some(start) {
            self.publish_live();
            self.notify_settings();
        }
    }

    fn publish_live(&self) {
        let up = self.up.borrow();
        let starts = self.starts.borrow();
        let live = up.iter().filter_map(|host| starts.get(host).cloned());
        self.live.send_replace(live.collect());
    }

    /// Reports to the settings service whose messages it needs before it may state that a change is
    /// in force everywhere: those of the daemons listed as live, linked or not, and of those
    /// linked.
    fn notify_settings(&self) {
        let listed = self.listed.borrow();
        let up = self.up.borrow();
        let starts = self.starts.borrow();
        let start = |host: &VmId| starts.get(host).unwrap_or(host).clone();
        let all: Vec<VmId> = listed.union(&up).map(start).collect();
        if let Ok(settings) = self.registry().find::<Addr<Settings>>(SETTINGS) {
            settings.do_send(SetPeers(all));
        }
    }

    fn dispatch(&self, from: VmId, content: Content) {
        match content {
            Content::Hello => {}
            Content::Claims(packet) => {
                if let Ok(claims) = self.registry().find::<Addr<ClaimsActor>>(CLAIMS) {
                    claims.do_send(ReceivedClaims { from, packet });
                }
            }
            Content::Members(message) => {
                if let Ok(members) = self.registry().find::<Addr<MembersActor>>(MEMBERS) {
                    members.do_send(ReceivedMemberMessage {
                        from,
                        message: *message,
                    });
                }
            }
            Content::Settings(message) => {
                if let Ok(settings) = self.registry().find::<Addr<Settings>>(SETTINGS) {
                    settings.do_send(ReceivedPeerMessage {
                        from,
                        message: *message,
                    });
                }
            }
        }
    }

    fn registry(&self) -> &ServiceRegistry {
        &self.context.registry
    }
}

/// Id of the VM on which a daemon start runs.
pub fn host_of(start: &VmId) -> VmId {
    let host = start.as_str().split(START_MARK).next();
    let host = host.and_then(|h| h.parse().ok());
    host.unwrap_or_else(|| start.clone())
}

/// Id of the start of a daemon on a VM: the VM id and the start time in hexadecimal.
pub fn start_id(host: &VmId, started: base::Millis) -> Result<VmId, base::IdError> {
    format!("{host}{START_MARK}{:x}", started.0).parse()
}

/// Starts the service. Returns the address on which it listens for links.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<SocketAddr, DaemonError> {
    let feed: VmFeed = context.registry.find(VMS)?;
    let (live, _) = watch::channel(Vec::new());
    let inner = Rc::new(Inner {
        context: context.clone(),
        links: RefCell::new(None),
        starts: RefCell::default(),
        up: RefCell::default(),
        listed: RefCell::default(),
        live,
    });
    let events = inner.clone();
    let links = Links::start(
        config(context),
        context.log.clone(),
        &context.metrics,
        context.clock.clone(),
        move |event| events.on_event(event),
    );
    let listen = context.node.addresses.peers;
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

fn config(context: &DaemonContext) -> LinkConfig {
    let host = host_of(&context.vm);
    let listen = context.node.addresses.peers;
    let mut config = LinkConfig::new(host, context.domain().clone(), SITE, listen);
    config.seed = context.seed(PEERS);
    config
}

/// Site name in the link handshake; links from another site are refused.
const SITE: &str = "bronzetack";

async fn follow(mut feed: VmFeed, peers: Peers) {
    peers.set_vms(&feed.list());
    while let Some(list) = feed.next().await {
        peers.set_vms(&list);
    }
}
