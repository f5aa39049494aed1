//! State machine that keeps a daemon's copy of the settings up to date.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::digest;
use base::DomainId;
use base::Millis;
use base::Revision;
use base::VmId;

use crate::sync::held::Held;
use crate::sync::input::Action;
use crate::sync::input::Alarm;
use crate::sync::input::Config;
use crate::sync::input::Input;
use crate::sync::input::Violation;
use crate::sync::note::Note;
use crate::sync::note::Stamp;
use crate::sync::note::Stored;
use crate::tree::StartsOffline;
use crate::tree::Tree;

/// Added to the age in a peer's message, because ages are truncated to whole milliseconds.
const ROUNDING: Millis = Millis(1);
/// Largest pause between reads of a store that does not answer, in halves of the poll period.
const MAX_BACKOFF: u64 = 4;

/// What is known of another daemon.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Highest revision that it has reported.
    revision: Option<Revision>,
    /// Its clock in its latest message, echoed in the next message to it.
    told: Option<Stamp>,
    /// Local time after which the peer reported that it holds the same tree and has no write
    /// pending.
    vouched: Option<Millis>,
    /// Local time of its latest message.
    heard: Option<Millis>,
}

/// A read of the store without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Reading {
    seq: u64,
    asked: Millis,
}

/// One daemon's copy of the settings.
#[derive(Clone, Debug)]
pub struct Sync {
    config: Config,
    held: Option<Held>,
    top: Revision,
    peers: BTreeMap<VmId, Peer>,
    readers: Vec<VmId>,
    changing: bool,
    reading: Option<Reading>,
    seq: u64,
    failures: u32,
    read_at: Option<Millis>,
    asked_at: Option<Millis>,
    wanted_at: Option<Millis>,
    turn: usize,
    era: u32,
    last: Millis,
}

impl Sync {
    /// Creates the state of a daemon without settings or peers.
    pub fn new(config: Config) -> Sync {
        Sync {
            readers: vec![config.me.clone()],
            config,
            held: None,
            top: Revision(0),
            peers: BTreeMap::new(),
            changing: false,
            reading: None,
            seq: 0,
            failures: 0,
            read_at: None,
            asked_at: None,
            wanted_at: None,
            turn: 0,
            era: 0,
            last: Millis::ZERO,
        }
    }

    /// Settings in force; `None` until the first document is received.
    pub fn tree(&self) -> Option<&Arc<Tree>> {
        self.held.as_ref().map(|h| &h.tree)
    }

    /// Whether settings are in force.
    pub fn is_ready(&self) -> bool {
        self.held.is_some()
    }

    /// Time since the settings were last confirmed to be the newest.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.held.as_ref()?.age(now)
    }

    /// Whether the settings were confirmed within the freshness period and no daemon has
    /// reported a newer revision.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let young = self.age(now).is_some_and(|a| a < self.config.freshness);
        now >= self.last && young && self.is_top()
    }

    fn is_top(&self) -> bool {
        let held = self.held.as_ref().map(|h| h.revision());
        held >= Some(self.floor()) || !self.config.guards.floor
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
        let young = |at: Option<Millis>| at.is_some_and(|at| now.since(at) < self.config.freshness);
        now >= self.last
            && self.is_top()
            && !self.changing
            && self.peers.values().all(|p| young(p.vouched))
    }

    /// Highest revision that this daemon has held or any live daemon has reported.
    pub fn floor(&self) -> Revision {
        let told = self.peers.values().filter_map(|p| p.revision).max();
        self.top.max(told.unwrap_or_default())
    }

    /// Live daemons, each with its highest reported revision and the time of its latest
    /// message.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, Option<Revision>, Option<Millis>)> {
        self.peers.iter().map(|(vm, p)| (vm, p.revision, p.heard))
    }

    /// Live daemons, including this one, that hold at least the given revision.
    pub fn holders(&self, revision: Revision) -> Vec<VmId> {
        let mine = self.held.as_ref().is_some_and(|h| h.revision() >= revision);
        let mut holders: Vec<VmId> = mine.then(|| self.config.me.clone()).into_iter().collect();
        let peers = self.peers.iter();
        let theirs = peers.filter(|(_, p)| p.revision.is_some_and(|r| r >= revision));
        holders.extend(theirs.map(|(vm, _)| vm.clone()));
        holders
    }

    /// Handles one input and returns the actions to perform. `now` is the local clock.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.watch_clock(now);
        match input {
            Input::Accepted(tree) => self.take(tree, None, now, &mut out),
            Input::Changing(changing) => self.changing = changing,
            Input::Join(vm) if vm != self.config.me => {
                self.peers.entry(vm).or_default();
                self.choose_readers();
            }
            Input::Join(_) => {}
            Input::Leave(vm) => {
                self.peers.remove(&vm);
                self.choose_readers();
            }
            Input::Note(vm, note) => self.on_note(vm, note, now, &mut out),
            Input::Read(seq, stored) => self.on_read(seq, stored, now, &mut out),
            Input::ReadFailed(seq) => self.on_failed(seq),
            Input::Seen(stored) => {
                if let Some(tree) = decode(&stored, &mut out) {
                    self.take(tree, None, now, &mut out);
                }
            }
            Input::Tick => self.on_tick(now, &mut out),
        }
        out
    }

    /// Verifies the invariants.
    pub fn check(&self) -> Result<(), Violation> {
        let Some(held) = &self.held else {
            return Ok(());
        };
        if held.revision() < self.top {
            return Err(Violation::Reverted(held.revision(), self.top));
        }
        match held.proof.filter(|p| *p > self.last) {
            Some(proof) => Err(Violation::Future(proof, self.last)),
            None => Ok(()),
        }
    }

    /// If the clock has stepped back, discards every time measured before the step.
    fn watch_clock(&mut self, now: Millis) {
        if now < self.last && self.config.guards.steps {
            self.era += 1;
            self.reading = None;
            self.read_at = None;
            self.asked_at = None;
            self.wanted_at = None;
            for peer in self.peers.values_mut() {
                peer.vouched = None;
                peer.heard = None;
            }
            if let Some(held) = &mut self.held {
                held.proof = None;
                held.since = now;
            }
        }
        self.last = now;
    }

    fn on_read(&mut self, seq: u64, stored: Stored, now: Millis, out: &mut Vec<Action>) {
        let Some(reading) = self.reading.filter(|r| r.seq == seq) else {
            return;
        };
        self.reading = None;
        self.failures = 0;
        let Some(tree) = decode(&stored, out) else {
            return;
        };
        let call = self.config.guards.from_call;
        let asked = if call { reading.asked } else { now };
        let whole = tree.version() == stored.version || !self.config.guards.version;
        self.take(tree.clone(), whole.then_some(asked), now, out);
        self.compare(&tree, reading.asked, &stored, out);
    }

    /// Compares the stored document with the one in force. A document comes into force only
    /// once it is durable, so a read sent after that must return the same or a newer one. If
    /// the stored document is older, the one in force is written back. If only its recorded
    /// key version differs, the one in force is written back once every live daemon has
    /// reported that it holds the same tree.
    fn compare(&self, tree: &Tree, asked: Millis, stored: &Stored, out: &mut Vec<Action>) {
        let Some(held) = self.held.as_ref().filter(|h| asked > h.since) else {
            return;
        };
        let (theirs, mine) = (tree.revision(), held.revision());
        let replaced = tree.version() != stored.version;
        let older = theirs < mine;
        if theirs == mine && !held.is_same(theirs, tree.last_op()) {
            out.push(Action::Alarm(Alarm::Forked(theirs)));
            return;
        }
        if older || replaced {
            out.push(Action::Alarm(Alarm::Replaced {
                stored: theirs,
                held: mine,
            }));
        }
        if older || (replaced && self.all_heard(self.last)) {
            let tree = held.tree.with_version(stored.version.next());
            out.push(Action::Restore {
                base: stored.rev,
                data: tree.encode(),
            });
        }
    }

    fn on_failed(&mut self, seq: u64) {
        if self.reading.is_some_and(|r| r.seq == seq) {
            self.reading = None;
            self.failures = self.failures.saturating_add(1);
        }
    }

    fn on_note(&mut self, from: VmId, mut note: Note, now: Millis, out: &mut Vec<Action>) {
        if !self.peers.contains_key(&from) {
            return;
        }
        let doc = note.doc.take();
        let doc = doc.and_then(|d| decode_text(d.as_bytes(), out));
        if let Some(tree) = doc {
            self.wanted_at = None;
            self.take(tree, None, now, out);
        }
        let seen = self.on_relay(&note, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.revision = peer.revision.max(note.revision);
            peer.told = Some(note.sent);
            peer.heard = Some(now);
            peer.vouched = if seen.is_some() { seen } else { peer.vouched };
        }
        let newer = self.is_newer(&note);
        let want = newer && self.is_due(self.wanted_at, self.config.poll, now);
        if want {
            self.wanted_at = Some(now);
        }
        if want || note.ask || note.want {
            let answer = self.note_to(&from, now, want, note.want);
            out.push(Action::Send(from, answer));
        }
    }

    /// Records the confirmation of a peer that holds the same tree. Returns the local time
    /// after which the peer reported that tree, unless the peer has a write pending. The
    /// peer's age is subtracted from the local time that it echoes, so neither clock skew nor
    /// a delayed message makes the confirmation look more recent than it is.
    fn on_relay(&mut self, note: &Note, now: Millis) -> Option<Millis> {
        let mine = |e: &Stamp| e.era == self.era && e.at <= now;
        let echo = note.echo.filter(mine)?;
        let base = if self.config.guards.echo {
            echo.at
        } else {
            now
        };
        let held = self.held.as_mut()?;
        if !held.is_same(note.revision?, note.op.as_ref()) {
            return None;
        }
        if let Some(age) = note.age {
            held.prove(base - age - ROUNDING);
        }
        (!note.changing).then_some(base)
    }

    fn is_newer(&self, note: &Note) -> bool {
        match (&self.held, note.revision) {
            (Some(held), Some(theirs)) => theirs > held.revision(),
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// Puts a newer tree into force, and records a confirmation for the tree in force. The
    /// confirmation of the previous tree stays valid, because the new tree includes every
    /// change of the previous one.
    fn take(&mut self, tree: Arc<Tree>, proof: Option<Millis>, now: Millis, out: &mut Vec<Action>) {
        let same = |h: &Held| h.is_same(tree.revision(), tree.last_op());
        let newer = |h: &Held| tree.revision() > h.revision();
        let forward = self.config.guards.forward;
        let fresh = !self
            .held
            .as_ref()
            .is_some_and(|h| same(h) || (forward && !newer(h)));
        if fresh {
            self.top = self.top.max(tree.revision());
            self.held = Some(Held {
                tree: tree.clone(),
                since: now,
                proof: self.held.as_ref().and_then(|h| h.proof),
            });
            for peer in self.peers.values_mut() {
                peer.vouched = None;
            }
            out.push(Action::Apply(tree.clone()));
            self.tell_all(now, out);
        }
        let held = self.held.as_mut();
        let held = held.filter(|h| h.is_same(tree.revision(), tree.last_op()));
        if let (Some(held), Some(at)) = (held, proof) {
            held.prove(at);
        }
    }

    fn on_tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(old) = self
            .reading
            .filter(|r| now.since(r.asked) >= self.config.timeout)
        {
            self.on_failed(old.seq);
        }
        let age = self.age(now).unwrap_or(Millis::MAX);
        if age >= self.config.freshness {
            self.ask_all(now, out);
        } else if age.0 >= self.config.poll.0 / 2 {
            self.ask_next(now, out);
        }
        if age.0 >= self.config.poll.0 + self.jitter() && self.may_read(now) {
            self.seq += 1;
            self.read_at = Some(now);
            self.reading = Some(Reading {
                seq: self.seq,
                asked: now,
            });
            out.push(Action::Read(self.seq));
        }
    }

    /// Chooses the daemons that read the store; the others query them. Their number is the
    /// square root of the number of daemons, which limits both the reads of the store and the
    /// messages that each reader answers.
    fn choose_readers(&mut self) {
        let me = std::iter::once(&self.config.me);
        let mut all: Vec<&VmId> = me.chain(self.peers.keys()).collect();
        all.sort_by_key(|vm| (digest(vm.as_str().as_bytes()), vm.as_str()));
        let count = (all.len() as f64).sqrt().ceil() as usize;
        self.readers = all.into_iter().take(count).cloned().collect();
    }

    /// Delay after the poll period before this daemon reads the store itself: zero for a
    /// reader, a quarter to half of the period for other daemons.
    fn jitter(&self) -> u64 {
        let me = &self.config.me;
        if self.readers.contains(me) {
            return 0;
        }
        let quarter = (self.config.poll.0 / 4).max(1);
        quarter + digest(me.as_str().as_bytes()) % quarter
    }

    fn may_read(&self, now: Millis) -> bool {
        if self.failures == 0 {
            return self.reading.is_none();
        }
        let factor = (1u64 << self.failures.min(6)).min(MAX_BACKOFF);
        let pause = Millis(self.config.poll.0 * factor / 2 + self.jitter());
        self.reading.is_none() && self.is_due(self.read_at, pause, now)
    }

    fn is_due(&self, last: Option<Millis>, period: Millis, now: Millis) -> bool {
        last.is_none_or(|at| now.since(at) >= period)
    }

    fn ask_next(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.readers.contains(&self.config.me) {
            return;
        }
        self.turn = (self.turn + 1) % self.readers.len().max(1);
        if let Some(vm) = self.readers.get(self.turn).cloned() {
            self.ask(vm, now, out);
        }
    }

    fn ask_all(&mut self, now: Millis, out: &mut Vec<Action>) {
        let period = Millis(self.config.freshness.0 / 4);
        if !self.is_due(self.asked_at, period, now) {
            return;
        }
        self.asked_at = Some(now);
        let peers: Vec<VmId> = self.peers.keys().cloned().collect();
        for vm in peers {
            self.ask(vm, now, out);
        }
    }

    fn ask(&self, vm: VmId, now: Millis, out: &mut Vec<Action>) {
        let mut note = self.note_to(&vm, now, false, false);
        note.ask = true;
        out.push(Action::Send(vm, note));
    }

    fn tell_all(&self, now: Millis, out: &mut Vec<Action>) {
        for vm in self.peers.keys() {
            let note = self.note_to(vm, now, false, false);
            out.push(Action::Send(vm.clone(), note));
        }
    }

    fn note_to(&self, vm: &VmId, now: Millis, want: bool, doc: bool) -> Note {
        let held = self.held.as_ref();
        Note {
            revision: held.map(|h| h.revision()),
            op: held.and_then(|h| h.tree.last_op().cloned()),
            age: self.age(now),
            changing: self.changing,
            sent: Stamp {
                era: self.era,
                at: now,
            },
            echo: self.peers.get(vm).and_then(|p| p.told),
            ask: false,
            want,
            doc: held.filter(|_| doc).map(|h| h.tree.encode()),
        }
    }
}

fn decode(stored: &Stored, out: &mut Vec<Action>) -> Option<Arc<Tree>> {
    match &stored.data {
        Some(data) => decode_text(data, out),
        None => Some(Arc::new(Tree::new())),
    }
}

fn decode_text(data: &[u8], out: &mut Vec<Action>) -> Option<Arc<Tree>> {
    match Tree::decode(data) {
        Ok(tree) => Some(Arc::new(tree)),
        Err(found) => {
            out.push(Action::Alarm(Alarm::Unreadable(found)));
            None
        }
    }
}
