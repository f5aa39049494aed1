//! State machine that keeps a daemon's copy of the settings up to date.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::digest;
use base::DomainId;
use base::Millis;
use base::Revision;
use base::VmId;

use crate::sync::active::ActiveTree;
use crate::sync::input::Action;
use crate::sync::input::Alarm;
use crate::sync::input::Config;
use crate::sync::input::Input;
use crate::sync::input::Violation;
use crate::sync::message::PeerMessage;
use crate::sync::message::Stamp;
use crate::sync::message::StoredDoc;
use crate::tree::StartsOffline;
use crate::tree::Tree;

/// Added to the age in a peer's message, because ages are truncated to whole milliseconds.
const AGE_ROUNDING: Millis = Millis(1);
/// Largest pause between reads of a store that does not answer, in halves of the poll period.
const MAX_BACKOFF: u64 = 4;

/// What is known of another daemon.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Highest revision that it has reported.
    revision: Option<Revision>,
    /// Its clock in its latest message, echoed in the next message to it.
    last_stamp: Option<Stamp>,
    /// Local time after which it reported the same tree and no pending write.
    agreed_at: Option<Millis>,
    /// Local time of its latest message.
    heard: Option<Millis>,
}

/// A read of the store without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Reading {
    seq: u64,
    called_at: Millis,
}

/// One daemon's copy of the settings.
#[derive(Clone, Debug)]
pub struct Replica {
    config: Config,
    active: Option<ActiveTree>,
    highest: Revision,
    peers: BTreeMap<VmId, Peer>,
    readers: Vec<VmId>,
    changing: bool,
    reading: Option<Reading>,
    seq: u64,
    failures: u32,
    last_read: Option<Millis>,
    last_query: Option<Millis>,
    last_doc_request: Option<Millis>,
    next_reader: usize,
    era: u32,
    last_step: Millis,
}

impl Replica {
    /// Creates the state of a daemon without settings or peers.
    pub fn new(config: Config) -> Replica {
        Replica {
            readers: vec![config.vm.clone()],
            config,
            active: None,
            highest: Revision(0),
            peers: BTreeMap::new(),
            changing: false,
            reading: None,
            seq: 0,
            failures: 0,
            last_read: None,
            last_query: None,
            last_doc_request: None,
            next_reader: 0,
            era: 0,
            last_step: Millis::ZERO,
        }
    }

    /// Settings in force; `None` until the first document is received.
    pub fn tree(&self) -> Option<&Arc<Tree>> {
        self.active.as_ref().map(|a| &a.tree)
    }

    /// Whether settings are in force.
    pub fn is_ready(&self) -> bool {
        self.active.is_some()
    }

    /// Time since the settings were last confirmed to be the newest.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.active.as_ref()?.age(now)
    }

    /// Whether the settings were confirmed within the freshness period and no daemon has
    /// reported a newer revision.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let fresh = self.age(now).is_some_and(|a| a < self.config.freshness);
        now >= self.last_step && fresh && self.holds_newest_known()
    }

    fn holds_newest_known(&self) -> bool {
        let active = self.active.as_ref().map(|a| a.revision());
        active >= Some(self.newest_known()) || !self.config.guards.newest_known
    }

    /// Whether the age of the settings allows task starts in a failure domain.
    pub fn may_start(&self, domain: &DomainId, now: Millis) -> bool {
        let Some(tree) = self.tree() else {
            return false;
        };
        let offline = tree.starts_offline(domain) == StartsOffline::AllHeard;
        self.is_fresh(now) || (offline && self.all_heard(now))
    }

    /// Whether every live daemon has reported within the freshness period that it holds the
    /// same tree and has no write pending.
    pub fn all_heard(&self, now: Millis) -> bool {
        let fresh = |at: Option<Millis>| at.is_some_and(|at| now.since(at) < self.config.freshness);
        now >= self.last_step
            && self.holds_newest_known()
            && !self.changing
            && self.peers.values().all(|p| fresh(p.agreed_at))
    }

    /// Highest revision that this daemon has held or any live daemon has reported.
    pub fn newest_known(&self) -> Revision {
        let reported = self.peers.values().filter_map(|p| p.revision).max();
        self.highest.max(reported.unwrap_or_default())
    }

    /// Live daemons, each with its highest reported revision and the time of its last message.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, Option<Revision>, Option<Millis>)> {
        self.peers.iter().map(|(vm, p)| (vm, p.revision, p.heard))
    }

    /// Live daemons, including this one, that hold revision `min` or a newer one.
    pub fn holders(&self, min: Revision) -> Vec<VmId> {
        let mine = self.active.as_ref().is_some_and(|a| a.revision() >= min);
        let mut holders: Vec<VmId> = mine.then(|| self.config.vm.clone()).into_iter().collect();
        let peers = self.peers.iter();
        let theirs = peers.filter(|(_, p)| p.revision.is_some_and(|r| r >= min));
        holders.extend(theirs.map(|(vm, _)| vm.clone()));
        holders
    }

    /// Handles one input and returns the actions to perform. `now` is the local clock.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.check_clock(now);
        match input {
            Input::Accepted(tree) => self.adopt(tree, None, now, &mut out),
            Input::Changing(changing) => self.changing = changing,
            Input::Join(vm) if vm != self.config.vm => {
                self.peers.entry(vm).or_default();
                self.choose_readers();
            }
            Input::Join(_) => {}
            Input::Leave(vm) => {
                self.peers.remove(&vm);
                self.choose_readers();
            }
            Input::Message(vm, msg) => self.on_message(vm, msg, now, &mut out),
            Input::Read(seq, stored) => self.on_read(seq, stored, now, &mut out),
            Input::ReadFailed(seq) => self.on_read_failed(seq),
            Input::WatchEvent(stored) => {
                if let Some(tree) = decode(&stored, &mut out) {
                    self.adopt(tree, None, now, &mut out);
                }
            }
            Input::Tick => self.on_tick(now, &mut out),
        }
        out
    }

    /// Verifies the invariants.
    pub fn check(&self) -> Result<(), Violation> {
        let Some(active) = &self.active else {
            return Ok(());
        };
        if active.revision() < self.highest {
            return Err(Violation::Reverted(active.revision(), self.highest));
        }
        match active.confirmed_at.filter(|at| *at > self.last_step) {
            Some(confirmed_at) => Err(Violation::Future(confirmed_at, self.last_step)),
            None => Ok(()),
        }
    }

    /// If the clock has stepped back, discards every time measured before the step.
    fn check_clock(&mut self, now: Millis) {
        if now < self.last_step && self.config.guards.clock_steps {
            self.era += 1;
            self.reading = None;
            self.last_read = None;
            self.last_query = None;
            self.last_doc_request = None;
            for peer in self.peers.values_mut() {
                peer.agreed_at = None;
                peer.heard = None;
            }
            if let Some(active) = &mut self.active {
                active.confirmed_at = None;
                active.since = now;
            }
        }
        self.last_step = now;
    }

    fn on_read(&mut self, seq: u64, stored: StoredDoc, now: Millis, out: &mut Vec<Action>) {
        let Some(reading) = self.reading.filter(|r| r.seq == seq) else {
            return;
        };
        self.reading = None;
        self.failures = 0;
        let Some(tree) = decode(&stored, out) else {
            return;
        };
        let by_call_time = self.config.guards.call_time;
        let called_at = if by_call_time { reading.called_at } else { now };
        let valid = tree.version() == stored.version || !self.config.guards.version;
        self.adopt(tree.clone(), valid.then_some(called_at), now, out);
        self.compare(&tree, reading.called_at, &stored, out);
    }

    /// Compares the stored document with the one in force. A document comes into force only
    /// once it is durable, so a later read must return the same or a newer one. The one in
    /// force is written back over an older one, and over the same one with a different key
    /// version once every live daemon has reported that it holds the same tree.
    fn compare(&self, tree: &Tree, called_at: Millis, stored: &StoredDoc, out: &mut Vec<Action>) {
        let Some(active) = self.active.as_ref().filter(|a| called_at > a.since) else {
            return;
        };
        let (theirs, mine) = (tree.revision(), active.revision());
        let replaced = tree.version() != stored.version;
        let older = theirs < mine;
        if theirs == mine && !active.matches(theirs, tree.last_op()) {
            out.push(Action::Alarm(Alarm::Forked(theirs)));
            return;
        }
        if older || replaced {
            out.push(Action::Alarm(Alarm::Replaced {
                stored: theirs,
                held: mine,
            }));
        }
        if older || (replaced && self.all_heard(self.last_step)) {
            let tree = active.tree.with_version(stored.version.next());
            out.push(Action::Restore {
                base: stored.rev,
                data: tree.encode(),
            });
        }
    }

    fn on_read_failed(&mut self, seq: u64) {
        if self.reading.is_some_and(|r| r.seq == seq) {
            self.reading = None;
            self.failures = self.failures.saturating_add(1);
        }
    }

    fn on_message(&mut self, from: VmId, mut msg: PeerMessage, now: Millis, out: &mut Vec<Action>) {
        if !self.peers.contains_key(&from) {
            return;
        }
        let doc = msg.doc.take();
        let doc = doc.and_then(|d| decode_text(d.as_bytes(), out));
        if let Some(tree) = doc {
            self.last_doc_request = None;
            self.adopt(tree, None, now, out);
        }
        let agreed = self.on_confirmation(&msg, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.revision = peer.revision.max(msg.revision);
            peer.last_stamp = Some(msg.sent);
            peer.heard = Some(now);
            peer.agreed_at = if agreed.is_some() {
                agreed
            } else {
                peer.agreed_at
            };
        }
        let newer = self.is_newer(&msg);
        let want = newer && self.has_elapsed(self.last_doc_request, self.config.poll, now);
        if want {
            self.last_doc_request = Some(now);
        }
        if want || msg.ask || msg.want {
            let answer = self.message_to(&from, now, want, msg.want);
            out.push(Action::Send(from, answer));
        }
    }

    /// Records the confirmation of a peer that holds the same tree. Returns the local time
    /// after which the peer reported that tree, unless the peer has a write pending. The
    /// peer's age is subtracted from the local time that it echoes, so neither clock skew nor
    /// a delayed message makes the confirmation look more recent than it is.
    fn on_confirmation(&mut self, msg: &PeerMessage, now: Millis) -> Option<Millis> {
        let mine = |e: &Stamp| e.era == self.era && e.at <= now;
        let echo = msg.echo.filter(mine)?;
        let base = if self.config.guards.echo {
            echo.at
        } else {
            now
        };
        let active = self.active.as_mut()?;
        if !active.matches(msg.revision?, msg.op.as_ref()) {
            return None;
        }
        if let Some(age) = msg.age {
            active.confirm(base - age - AGE_ROUNDING);
        }
        (!msg.changing).then_some(base)
    }

    fn is_newer(&self, msg: &PeerMessage) -> bool {
        match (&self.active, msg.revision) {
            (Some(active), Some(theirs)) => theirs > active.revision(),
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// Puts a newer tree into force, and records a confirmation for the tree in force. Earlier
    /// confirmations stay valid, because the new tree includes every earlier change.
    fn adopt(
        &mut self,
        tree: Arc<Tree>,
        confirmed_at: Option<Millis>,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let same = |a: &ActiveTree| a.matches(tree.revision(), tree.last_op());
        let newer = |a: &ActiveTree| tree.revision() > a.revision();
        let monotonic = self.config.guards.monotonic;
        let replaces = !self
            .active
            .as_ref()
            .is_some_and(|a| same(a) || (monotonic && !newer(a)));
        if replaces {
            self.highest = self.highest.max(tree.revision());
            self.active = Some(ActiveTree {
                tree: tree.clone(),
                since: now,
                confirmed_at: self.active.as_ref().and_then(|a| a.confirmed_at),
            });
            for peer in self.peers.values_mut() {
                peer.agreed_at = None;
            }
            out.push(Action::Apply(tree.clone()));
            self.announce(now, out);
        }
        let active = self.active.as_mut();
        let active = active.filter(|a| a.matches(tree.revision(), tree.last_op()));
        if let (Some(active), Some(at)) = (active, confirmed_at) {
            active.confirm(at);
        }
    }

    fn on_tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(old) = self
            .reading
            .filter(|r| now.since(r.called_at) >= self.config.timeout)
        {
            self.on_read_failed(old.seq);
        }
        let age = self.age(now).unwrap_or(Millis::MAX);
        if age >= self.config.freshness {
            self.query_all(now, out);
        } else if age.0 >= self.config.poll.0 / 2 {
            self.query_next_reader(now, out);
        }
        if age.0 >= self.config.poll.0 + self.jitter() && self.may_read(now) {
            self.seq += 1;
            self.last_read = Some(now);
            self.reading = Some(Reading {
                seq: self.seq,
                called_at: now,
            });
            out.push(Action::Read(self.seq));
        }
    }

    /// Chooses the daemons that read the store; the others query them. Their number is the square
    /// root of all daemons, which limits both the reads and the queries that each answers.
    fn choose_readers(&mut self) {
        let own = std::iter::once(&self.config.vm);
        let mut all: Vec<&VmId> = own.chain(self.peers.keys()).collect();
        all.sort_by_key(|vm| (digest(vm.as_str().as_bytes()), vm.as_str()));
        let count = (all.len() as f64).sqrt().ceil() as usize;
        self.readers = all.into_iter().take(count).cloned().collect();
    }

    /// Delay after the poll period before this daemon reads the store itself: zero for a
    /// reader, a quarter to half of the period for other daemons.
    fn jitter(&self) -> u64 {
        let own = &self.config.vm;
        if self.readers.contains(own) {
            return 0;
        }
        let quarter = (self.config.poll.0 / 4).max(1);
        quarter + digest(own.as_str().as_bytes()) % quarter
    }

    fn may_read(&self, now: Millis) -> bool {
        if self.failures == 0 {
            return self.reading.is_none();
        }
        let factor = (1u64 << self.failures.min(6)).min(MAX_BACKOFF);
        let pause = Millis(self.config.poll.0 * factor / 2 + self.jitter());
        self.reading.is_none() && self.has_elapsed(self.last_read, pause, now)
    }

    fn has_elapsed(&self, last: Option<Millis>, period: Millis, now: Millis) -> bool {
        last.is_none_or(|at| now.since(at) >= period)
    }

    fn query_next_reader(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.readers.contains(&self.config.vm) {
            return;
        }
        self.next_reader = (self.next_reader + 1) % self.readers.len().max(1);
        if let Some(vm) = self.readers.get(self.next_reader).cloned() {
            self.query(vm, now, out);
        }
    }

    fn query_all(&mut self, now: Millis, out: &mut Vec<Action>) {
        let period = Millis(self.config.freshness.0 / 4);
        if !self.has_elapsed(self.last_query, period, now) {
            return;
        }
        self.last_query = Some(now);
        let peers: Vec<VmId> = self.peers.keys().cloned().collect();
        for vm in peers {
            self.query(vm, now, out);
        }
    }

    fn query(&self, vm: VmId, now: Millis, out: &mut Vec<Action>) {
        let mut msg = self.message_to(&vm, now, false, false);
        msg.ask = true;
        out.push(Action::Send(vm, msg));
    }

    fn announce(&self, now: Millis, out: &mut Vec<Action>) {
        for vm in self.peers.keys() {
            let msg = self.message_to(vm, now, false, false);
            out.push(Action::Send(vm.clone(), msg));
        }
    }

    fn message_to(&self, vm: &VmId, now: Millis, want: bool, doc: bool) -> PeerMessage {
        let active = self.active.as_ref();
        PeerMessage {
            revision: active.map(|a| a.revision()),
            op: active.and_then(|a| a.tree.last_op().cloned()),
            age: self.age(now),
            changing: self.changing,
            sent: Stamp {
                era: self.era,
                at: now,
            },
            echo: self.peers.get(vm).and_then(|p| p.last_stamp),
            ask: false,
            want,
            doc: active.filter(|_| doc).map(|a| a.tree.encode()),
        }
    }
}

fn decode(stored: &StoredDoc, out: &mut Vec<Action>) -> Option<Arc<Tree>> {
    match &stored.data {
        Some(data) => decode_text(data, out),
        None => Some(Arc::new(Tree::new())),
    }
}

fn decode_text(data: &[u8], out: &mut Vec<Action>) -> Option<Arc<Tree>> {
    match Tree::decode(data) {
        Ok(tree) => Some(Arc::new(tree)),
        Err(findings) => {
            out.push(Action::Alarm(Alarm::Unreadable(findings)));
            None
        }
    }
}
