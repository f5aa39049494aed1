//! The state machine of one entry VM.

use std::collections::BTreeMap;

use base::DomainId;
use base::Millis;
use base::VmId;
use claim::ViewNumber;
use rand::Rng;

use crate::allow::allowed;
use crate::allow::Activity;
use crate::allow::Decision;
use crate::event::Action;
use crate::event::Input;
use crate::event::Swap;
use crate::peers::PeerTable;
use crate::settings::Settings;
use crate::state::PeerState;
use crate::state::ViewProof;
use crate::state::ViewRecord;
use crate::status::Peers;
use crate::status::Platform;
use crate::views::Known;

/// Parts of the lease after which a proof is renewed.
const RENEW_PARTS: u64 = 4;

/// Spread of waits in percent.
const SPREAD: u64 = 25;

/// Doublings of the wait between reads that fail, at most.
const MOST_FAILS: u32 = 6;

/// Changes remembered at most for each view.
const MAX_CHANGES: usize = 16;

/// Membership as one entry VM sees it.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) me: VmId,
    pub(crate) domain: DomainId,
    pub(crate) settings: Settings,
    pub(crate) peers: PeerTable,
    pub(crate) views: BTreeMap<DomainId, Known>,
    pub(crate) leaving: bool,
    started: Option<Millis>,
    answered: Option<Millis>,
    latency: Millis,
    settings_proof: Option<Millis>,
}

impl Members {
    /// A VM of `domain` that knows nobody yet; `homes` are the configured domains.
    pub fn new(me: VmId, domain: DomainId, homes: Vec<DomainId>, settings: Settings) -> Members {
        let views = homes.into_iter().map(|d| (d, Known::default())).collect();
        Members {
            me,
            domain,
            settings,
            peers: PeerTable::default(),
            views,
            leaving: false,
            started: None,
            answered: None,
            latency: Millis::ZERO,
            settings_proof: None,
        }
    }

    /// Handles one input at `now`; `rng` spreads the waits of different VMs.
    pub fn step(&mut self, now: Millis, input: Input, rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        self.started.get_or_insert(now);
        match input {
            Input::Heard { from, asked, state } => self.hear(now, from, asked, state, &mut out),
            Input::Passed { domain, record } => self.learn(now, domain, record, &mut out),
            Input::Platform { asked, ok } => self.note_platform(now, asked, ok),
            Input::Read {
                domain,
                asked,
                found,
            } => self.read(now, domain, asked, found, &mut out),
            Input::ReadFailed(domain) => {
                if let Some(known) = self.views.get_mut(&domain) {
                    known.reading = None;
                    known.fails = (known.fails + 1).min(MOST_FAILS);
                }
            }
            Input::Roster(vms) => {
                let me = self.me.clone();
                self.peers.list(now, &me, vms);
            }
            Input::Settings(at) => self.settings_proof = self.settings_proof.max(Some(at)),
            Input::Stop => self.leaving = true,
            Input::Swapped {
                domain,
                asked,
                record,
                swap,
            } => self.swapped(now, domain, (asked, record), swap, &mut out),
            Input::Tick => self.tick(now, rng, &mut out),
        }
        out
    }

    /// This VM's reply to a ping at `now`.
    pub fn state(&self, now: Millis) -> PeerState {
        let age = |at: Option<Millis>| at.map(|at| now.since(at));
        let up = self.peers.map.iter().filter(|(_, p)| p.up);
        let views = self.views.iter().map(|(domain, known)| ViewProof {
            domain: domain.clone(),
            number: known.number(),
            age: age(known.proof),
            open: known.open.is_some(),
        });
        PeerState {
            domain: self.domain.clone(),
            leaving: self.leaving,
            platform: age(self.answered),
            settings: age(self.settings_proof),
            hears: up.map(|(vm, _)| vm.clone()).collect(),
            views: views.collect(),
        }
    }

    /// The newest record of a home domain that this VM knows.
    pub fn record(&self, domain: &DomainId) -> Option<&ViewRecord> {
        self.views.get(domain)?.record.as_ref()
    }

    /// How the platform answers.
    pub fn platform(&self, now: Millis) -> Platform {
        let last = self.answered;
        if last.is_none_or(|at| now.since(at) > self.settings.down) {
            Platform::Down
        } else if self.latency > self.settings.slow {
            Platform::Slow
        } else {
            Platform::Up
        }
    }

    /// How many of the other listed VMs are heard.
    pub fn peers(&self) -> Peers {
        let listed = || self.peers.map.values().filter(|p| p.listed.is_ok());
        if listed().all(|p| p.up) {
            Peers::All
        } else if listed().any(|p| p.up) {
            Peers::Some
        } else {
            Peers::None
        }
    }

    /// Whether an activity is allowed now.
    pub fn allowed(&self, now: Millis, activity: Activity) -> Decision {
        let only = self.settings.only_daemons && self.is_down_for_all(now);
        let decision = allowed(self.platform(now), self.peers(), activity, only);
        if decision == Decision::Proof && self.has_fresh_settings(now) {
            return Decision::Yes;
        }
        decision
    }

    /// Whether the settings held are proven to be the newest, recently enough to start tasks.
    pub fn has_fresh_settings(&self, now: Millis) -> bool {
        let proof = self.settings_proof;
        proof.is_some_and(|at| now.since(at) <= self.settings.fresh)
    }

    fn is_down_for_all(&self, now: Millis) -> bool {
        let is_down = |age: Option<Millis>| age.is_none_or(|age| age > self.settings.down);
        let mut states = self.peers.map.values().filter_map(|p| p.state.as_ref());
        self.platform(now) == Platform::Down && states.all(|s| is_down(s.platform))
    }

    fn note_platform(&mut self, now: Millis, asked: Millis, ok: bool) {
        if ok {
            self.answered = self.answered.max(Some(asked));
            self.latency = now.since(asked);
        }
    }

    fn hear(
        &mut self,
        now: Millis,
        from: VmId,
        asked: Millis,
        state: PeerState,
        out: &mut Vec<Action>,
    ) {
        if let Some(age) = state.settings {
            self.settings_proof = self.settings_proof.max(Some(asked - age));
        }
        for proof in &state.views {
            let Some(known) = self.views.get_mut(&proof.domain) else {
                continue;
            };
            if proof.number > known.number() {
                known.proof = None;
                out.push(Action::Fetch {
                    from: from.clone(),
                    domain: proof.domain.clone(),
                });
            }
            if let Some(age) = proof.age {
                known.prove(proof.number, asked - age);
            }
        }
        self.peers.hear(now, from, asked, state);
        self.tell_changes(now, out);
    }

    fn learn(&mut self, now: Millis, domain: DomainId, record: ViewRecord, out: &mut Vec<Action>) {
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        if known.learn(now, record.clone()) {
            known.read = None;
            let extra = known.changes.len().saturating_sub(MAX_CHANGES);
            known.changes.drain(..extra);
            out.push(Action::View { domain, record });
        }
    }

    fn read(
        &mut self,
        now: Millis,
        domain: DomainId,
        asked: Millis,
        found: Option<(ViewRecord, u64)>,
        out: &mut Vec<Action>,
    ) {
        self.note_platform(now, asked, true);
        if let Some((record, _)) = &found {
            self.learn(now, domain.clone(), record.clone(), out);
        }
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        known.reading = None;
        known.fails = 0;
        let (number, version) = match &found {
            Some((record, version)) => (record.view.number, *version),
            None => (ViewNumber(0), 0),
        };
        if number < known.number() {
            return;
        }
        known.version = version;
        known.read = Some(asked);
        if found.is_some() {
            known.prove(number, asked);
        }
        let settle = self.settings.settle;
        let is_closed = |(at, expected)| expected != version || asked >= at + settle;
        if known.open.is_some_and(is_closed) {
            known.open = None;
        }
    }

    fn swapped(
        &mut self,
        now: Millis,
        domain: DomainId,
        (asked, record): (Millis, ViewRecord),
        swap: Swap,
        out: &mut Vec<Action>,
    ) {
        if swap != Swap::Unknown {
            self.note_platform(now, asked, true);
        }
        if let Swap::Won { .. } = swap {
            self.learn(now, domain.clone(), record.clone(), out);
        }
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        known.read = None;
        match swap {
            Swap::Lost => known.open = None,
            Swap::Unknown => {}
            Swap::Won { version } => {
                known.open = None;
                known.version = version;
                known.read = Some(asked);
                known.prove(record.view.number, asked);
            }
        }
    }

    fn tell_changes(&mut self, now: Millis, out: &mut Vec<Action>) {
        for (vm, up) in self.peers.changes(now, &self.domain, &self.settings) {
            out.push(if up {
                Action::PeerUp(vm)
            } else {
                Action::PeerDown(vm)
            });
        }
    }

    fn tick(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let due = self.peers.due(now, &self.domain, &self.settings);
        out.extend(due.into_iter().map(Action::Ping));
        self.tell_changes(now, out);
        self.peers.prune(now, &self.settings);
        let domains: Vec<DomainId> = self.views.keys().cloned().collect();
        for domain in domains {
            self.tick_view(now, &domain, rng, out);
        }
    }

    fn tick_view(
        &mut self,
        now: Millis,
        domain: &DomainId,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let quiet = self.views[domain].all_quiet(now, &self.me, domain, &self.peers);
        let proposal = self
            .settled(now)
            .then(|| self.proposal(now, domain))
            .flatten();
        let gap = self.gap(now, domain);
        let member = self.record(domain).is_none_or(|r| r.view.has(&self.me));
        let settings = &self.settings;
        let Some(known) = self.views.get_mut(domain) else {
            return;
        };
        if let Some(at) = quiet {
            known.prove(known.number(), at);
        }
        if let Some(at) = known.proof.filter(|_| known.told != known.proof) {
            known.told = known.proof;
            let domain = domain.clone();
            let view = known.number();
            let until = at + settings.lease;
            out.push(Action::Lease {
                domain,
                view,
                until,
            });
        }
        known.wanted = match (&proposal, known.wanted) {
            (None, _) => None,
            (Some(_), Some(at)) => Some(at),
            (Some(_), None) => Some(now + jitter(settings.near, rng)),
        };
        let changed = known.changes.last().copied();
        let ready = known.wanted.is_some_and(|at| now >= at)
            && changed.is_none_or(|at| now >= at + gap)
            && known.open.is_none();
        let stale = Millis(settings.lease.0 / RENEW_PARTS);
        let open = known.open.is_some();
        let old = open || known.proof.is_none_or(|at| now.since(at) >= stale);
        let idle = known.reading.is_none_or(|at| now >= at + settings.down);
        match (ready, known.read, proposal) {
            (true, Some(at), Some(record)) if now.since(at) <= settings.down => {
                known.read = None;
                known.open = Some((now, known.version));
                out.push(Action::Propose {
                    domain: domain.clone(),
                    version: known.version,
                    record,
                });
            }
            (ready, _, _) if idle && now >= known.again && (ready || (old && (member || open))) => {
                known.reading = Some(now);
                known.again = now + jitter(Millis(settings.near.0 << known.fails), rng);
                out.push(Action::Read(domain.clone()));
            }
            _ => {}
        }
    }

    /// Whether this VM has had the time to hear the others.
    fn settled(&self, now: Millis) -> bool {
        let wait = self.settings.far + self.settings.far;
        self.started.is_some_and(|at| now >= at + wait)
    }
}

/// A wait with a random part added.
fn jitter(span: Millis, rng: &mut impl Rng) -> Millis {
    let most = span.0 * SPREAD / 100;
    span + Millis(rng.next_u64() % (most + 1))
}
