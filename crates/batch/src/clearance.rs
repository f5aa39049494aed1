//! Whether a submission may be rejected while the store cannot be asked.
//!
//! Load pattern: the store is out, and each submission that arrives could be rejected with a time to
//! return, instead of being left open until its caller's time is over. A rejection says that the job
//! never runs by this or an earlier attempt. But an earlier attempt may have reached another daemon,
//! whose write may take effect late, or may even have been answered. So a daemon rejects only if
//! every daemon that could have written for the id vouches that it has not, and if a coordinator's
//! list of accepted jobs, which covers the daemons that are gone, does not have it.
//!
//! Why nobody is left out:
//! - A write is conditional on the entry of the daemon that sends it, so no write of a daemon whose
//!   entry is gone can still take effect.
//! - A daemon reads the list of daemons after it has stored its own entry, and greets those listed
//!   before its first write. More than half of them know it then, so one of those that vouch names
//!   it, unless a site more than doubles at once. A daemon that reaches fewer waits until all lists
//!   that lack it are too old to be used.
//! - Who vouches for an id gives up its own earlier attempts at it. Attempts that were received
//!   later are new ones, by which the job may be accepted.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use base::Set;
use serde::Deserialize;
use serde::Serialize;

/// Age of the list of daemons up to which it is used.
const LIST_VALID: Millis = Millis(10_000);

/// Time after which a daemon that could not greet enough others writes. Longer than lists are valid
/// by what clocks may differ.
const JOIN_TIME: Millis = Millis(11_000);

/// Time for which a daemon remembers the ids that it has written for or vouched for. Store writes
/// take effect within seconds, and callers repeat answered submissions within seconds.
const MEMORY: Millis = Millis(120_000);

/// Time between two removals of what is older.
const SWEEP_INTERVAL: Millis = Millis(10_000);

/// Most daemons that are asked about a submission: the cost for the site grows with their square.
const MAX_MEMBERS: usize = 64;

/// Id of one process of a daemon.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Instance(pub u64);

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Instance {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Instance, ParseIntError> {
        u64::from_str_radix(text, 16).map(Instance)
    }
}

/// A daemon as others know it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its process.
    pub instance: Instance,
    /// Address at which it answers callers and other daemons.
    pub callers: SocketAddr,
}

/// Question of one daemon to another. It also makes the asking daemon known to the other one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// The daemon that asks.
    pub from: Member,
    /// All daemons that it knows, itself included.
    pub members: Vec<Instance>,
    /// The submission that it would reject; `None` if it only greets.
    pub id: Option<JobId>,
}

/// Answer to a [`Question`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vouch {
    /// The daemon that answers.
    pub instance: Instance,
    /// Whether it has joined, so that others know of it.
    pub joined: bool,
    /// Whether it knows a daemon that the question does not name.
    pub stranger: bool,
    /// Whether it may have written for the id, or knows that the job is accepted.
    pub written: bool,
    /// Revision up to which it knows all accepted jobs; 0 if it does not.
    pub book: Revision,
}

/// Why a submission may not be rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unclear {
    /// A daemon may have written for it, or knows it as accepted.
    Written(Instance),
    /// A daemon did not answer, or another process answered in its place.
    Silent(Instance),
    /// A daemon has not joined, or names a daemon that this one does not know.
    Unsettled(Instance),
    /// No daemon knows all accepted jobs of those that are gone.
    NoBook,
    /// This daemon has not joined, its list is too old, or there are too many daemons.
    NoList,
}

impl Unclear {
    /// Short name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Unclear::Written(_) => "written",
            Unclear::Silent(_) => "silent",
            Unclear::Unsettled(_) => "unsettled",
            Unclear::NoBook => "no-book",
            Unclear::NoList => "no-list",
        }
    }
}

impl fmt::Display for Unclear {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unclear::Written(at) => write!(f, "daemon {at} may have written it"),
            Unclear::Silent(at) => write!(f, "daemon {at} did not answer"),
            Unclear::Unsettled(at) => write!(f, "daemon {at} knows other daemons"),
            Unclear::NoBook => f.write_str("no daemon knows all accepted jobs"),
            Unclear::NoList => f.write_str("the list of daemons cannot be relied on"),
        }
    }
}

/// Ids for which this daemon may have written, and those for which it gave its attempts up.
#[derive(Clone, Debug, Default)]
struct Writes {
    /// Writes that may have taken or may take effect, by id: their number and the time of the last.
    open: Map<JobId, (u32, Millis)>,
    given_up: Map<JobId, Millis>,
    swept: Millis,
}

impl Writes {
    fn sweep(&mut self, now: Millis) {
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.open.retain(|_, (_, at)| now.since(*at) < MEMORY);
            self.given_up.retain(|_, at| now.since(*at) < MEMORY);
        }
    }
}

/// The daemons of the site as this one knows them.
#[derive(Clone, Debug, Default)]
struct Members {
    listed: Vec<Member>,
    /// Revision of the list, and the time at which its read was sent.
    read: Option<(Revision, Millis)>,
    /// Daemons that made themselves known since the list was read.
    greeted: Vec<(Member, Millis)>,
    /// Listed addresses at which a daemon answered since this one was registered.
    reached: Set<SocketAddr>,
    /// Revision of the own entry, and the time at which it was stored.
    entry: Option<(Revision, Millis)>,
    joined: Option<Millis>,
}

impl Members {
    fn others(&self) -> impl Iterator<Item = &Member> {
        let new = self.greeted.iter().map(|(member, _)| member);
        let new = new.filter(|m| !self.listed.iter().any(|l| l.instance == m.instance));
        self.listed.iter().chain(new)
    }

    /// Whether there are more daemons than are kept track of.
    fn overflow(&self) -> bool {
        self.greeted.len() >= MAX_MEMBERS || self.listed.len() >= MAX_MEMBERS
    }
}

/// Jobs that a coordinator knows as accepted, up to a revision.
#[derive(Clone, Debug, Default)]
struct Book {
    ids: Set<JobId>,
    revision: Revision,
}

/// What a daemon knows from which submissions may be rejected in an outage.
#[derive(Clone, Debug)]
pub struct Standing {
    own: Member,
    writes: Writes,
    members: Members,
    book: Book,
}

impl Standing {
    /// State of a daemon that has just started.
    pub fn new(own: Member) -> Standing {
        Standing {
            own,
            writes: Writes::default(),
            members: Members::default(),
            book: Book::default(),
        }
    }

    /// Sets the address at which this daemon is reached.
    pub fn set_address(&mut self, callers: SocketAddr) {
        self.own.callers = callers;
    }

    /// The daemon's own entry was stored at `revision`. It has to be made known again.
    pub fn registered(&mut self, revision: Revision, now: Millis) {
        self.members.entry = Some((revision, now));
        self.members.joined = None;
        self.members.reached.clear();
    }

    /// The daemon's own entry is gone or has changed.
    pub fn unregistered(&mut self) {
        self.members.entry = None;
        self.members.joined = None;
    }

    /// Whether the daemon's own entry is stored, as far as it knows.
    pub fn is_registered(&self) -> bool {
        self.members.entry.is_some()
    }

    /// Whether enough others know this daemon for it to write.
    pub fn has_joined(&self) -> bool {
        self.members.joined.is_some()
    }

    /// The daemons were listed at `revision` by a read sent at `sent`.
    pub fn listed(&mut self, mut members: Vec<Member>, revision: Revision, sent: Millis) {
        members.retain(|m| m.instance != self.own.instance);
        self.members.listed = members;
        self.members.read = Some((revision, sent));
        // Who greeted before the read was sent had stored its entry before.
        self.members.greeted.retain(|(_, at)| *at >= sent);
    }

    /// Listed daemons that do not know this one yet.
    pub fn to_greet(&self) -> Vec<Member> {
        let members = &self.members;
        let unknown = |m: &&Member| !members.reached.contains(&m.callers);
        members.listed.iter().filter(unknown).copied().collect()
    }

    /// A process at this address knows this daemon. An earlier process at that address has ended.
    pub fn reached(&mut self, callers: SocketAddr) {
        self.members.reached.insert(callers);
    }

    /// Joins if enough others know this daemon. Returns whether it joined now.
    pub fn try_join(&mut self, now: Millis) -> bool {
        let members = &mut self.members;
        let (Some((_, stored)), Some((_, sent))) = (members.entry, members.read) else {
            return false;
        };
        if members.joined.is_some() || sent < stored {
            return false;
        }
        let mut addresses: Set<SocketAddr> = members.listed.iter().map(|m| m.callers).collect();
        addresses.remove(&self.own.callers);
        let known = addresses.iter().filter(|a| members.reached.contains(a));
        let most = (known.count() + 1) * 2 > addresses.len() + 1;
        if !most && now.since(stored) < JOIN_TIME {
            return false;
        }
        members.joined = Some(now);
        true
    }

    /// Notes that a write for `id` is about to be sent, for an attempt received at `received`.
    /// Returns the revision of the daemon's entry, on which the write is conditional; `None` if the
    /// attempt must not be written.
    pub fn begin(&mut self, id: &JobId, received: Millis, now: Millis) -> Option<Revision> {
        self.writes.sweep(now);
        let joined = self.members.joined.is_some_and(|at| received >= at);
        let given_up = self
            .writes
            .given_up
            .get(id)
            .is_some_and(|at| received <= *at);
        if !joined || given_up || now.since(received) >= MEMORY {
            return None;
        }
        let (entry, _) = self.members.entry?;
        self.note(id, now);
        Some(entry)
    }

    /// Notes that a submission is handed to another daemon, which may write it.
    pub fn note(&mut self, id: &JobId, now: Millis) {
        let (num, at) = self.writes.open.entry(id.clone()).or_default();
        *num += 1;
        *at = now;
    }

    /// Notes that a write or a hand-over of `id` has had no effect and will have none.
    pub fn undo(&mut self, id: &JobId) {
        if let Some((num, _)) = self.writes.open.get_mut(id) {
            *num -= 1;
            if *num == 0 {
                self.writes.open.remove(id);
            }
        }
    }

    /// Starts a new list of accepted jobs, which is not complete yet.
    pub fn restart_book(&mut self) {
        self.book = Book::default();
    }

    /// Adds an accepted job.
    pub fn book_job(&mut self, id: JobId) {
        self.book.ids.insert(id);
    }

    /// Removes a job whose record is gone.
    pub fn unbook_job(&mut self, id: &JobId) {
        self.book.ids.remove(id);
    }

    /// All jobs accepted up to `revision` have been added.
    pub fn booked_until(&mut self, revision: Revision) {
        self.book.revision = self.book.revision.max(revision);
    }

    /// The question by which others learn of this daemon.
    pub fn greeting(&self) -> Question {
        self.ask(None)
    }

    fn ask(&self, id: Option<JobId>) -> Question {
        let others = self.members.others().map(|m| m.instance);
        Question {
            from: self.own,
            members: others.chain([self.own.instance]).collect(),
            id,
        }
    }

    /// The question to all others about a submission that this daemon would reject, and those others.
    /// `received` is when the attempt at hand was received; earlier ones here are given up.
    pub fn question(
        &mut self,
        id: &JobId,
        received: Millis,
        now: Millis,
    ) -> Result<(Question, Vec<Member>), Unclear> {
        let members = &self.members;
        let current = members
            .read
            .is_some_and(|(_, sent)| now.since(sent) < LIST_VALID);
        if !self.has_joined() || !current || members.overflow() {
            return Err(Unclear::NoList);
        }
        let others: Vec<Member> = members.others().copied().collect();
        // An earlier process on this VM cannot answer.
        let own_past = others.iter().find(|m| m.callers == self.own.callers);
        if let Some(past) = own_past {
            return Err(Unclear::Silent(past.instance));
        }
        match self.vouch_for(id, received.since(Millis(1)), now) {
            true => Ok((self.ask(Some(id.clone())), others)),
            false => Err(Unclear::Written(self.own.instance)),
        }
    }

    /// Answers another daemon's question.
    pub fn answer(&mut self, question: &Question, now: Millis) -> Vouch {
        let from = question.from;
        if from.instance != self.own.instance {
            let greeted = &mut self.members.greeted;
            greeted.retain(|(m, _)| m.instance != from.instance);
            if greeted.len() < MAX_MEMBERS {
                greeted.push((from, now));
            }
        }
        let stranger = |m: &Member| !question.members.contains(&m.instance);
        Vouch {
            instance: self.own.instance,
            joined: self.has_joined(),
            stranger: self.members.overflow() || self.members.others().any(stranger),
            written: question
                .id
                .as_ref()
                .is_some_and(|id| !self.vouch_for(id, now, now)),
            book: self.book.revision,
        }
    }

    /// Whether this daemon has not written for `id`. If so, gives up its attempts received up to
    /// `until`.
    fn vouch_for(&mut self, id: &JobId, until: Millis, now: Millis) -> bool {
        self.writes.sweep(now);
        let written = self.writes.open.contains_key(id) || self.book.ids.contains(id);
        if !written {
            let given_up = self.writes.given_up.entry(id.clone()).or_default();
            *given_up = until.max(*given_up);
        }
        !written
    }

    /// Judges the answers to a question: one for each of `asked`, `None` if there was none.
    pub fn judge(
        &self,
        question: &Question,
        asked: &[Member],
        answers: &[Option<Vouch>],
        now: Millis,
    ) -> Result<(), Unclear> {
        let Some((revision, _)) = self
            .members
            .read
            .filter(|(_, sent)| self.has_joined() && now.since(*sent) < LIST_VALID)
        else {
            return Err(Unclear::NoList);
        };
        let mut book = self.book.revision;
        for (num, member) in asked.iter().enumerate() {
            let answer = answers.get(num).copied().flatten();
            let answer = answer.filter(|a| a.instance == member.instance);
            let vouch = answer.ok_or(Unclear::Silent(member.instance))?;
            if vouch.written {
                return Err(Unclear::Written(vouch.instance));
            }
            if vouch.stranger || !vouch.joined {
                return Err(Unclear::Unsettled(vouch.instance));
            }
            book = book.max(vouch.book);
        }
        let known = |m: &Member| question.members.contains(&m.instance);
        if let Some(new) = self.members.others().find(|m| !known(m)) {
            return Err(Unclear::Unsettled(new.instance));
        }
        let id = question.id.as_ref();
        if id.is_none_or(|id| self.writes.open.contains_key(id)) {
            return Err(Unclear::Written(self.own.instance));
        }
        match book >= revision {
            true => Ok(()),
            false => Err(Unclear::NoBook),
        }
    }
}
