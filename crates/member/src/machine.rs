//! Membership state machine of one entry VM.

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
use crate::event::CasResult;
use crate::event::Input;
use crate::peers::PeerTable;
use crate::settings::Settings;
use crate::state::PeerState;
use crate::state::ViewProof;
use crate::state::ViewRecord;
use crate::status::PeerReach;
use crate::status::PlatformStatus;
use crate::views::KnownView;

/// A proof is renewed once its age exceeds the lease divided by this number.
const RENEWAL_DIVISOR: u64 = 4;

/// Upper bound of the random part of a delay, in percent of the delay.
const JITTER_PERCENT: u64 = 25;

/// Maximum number of doublings of the delay between failing reads.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Maximum number of remembered changes of one view.
const MAX_CHANGES: usize = 16;

/// The membership as known to one entry VM.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) me: VmId,
    pub(crate) domain: DomainId,
    pub(crate) settings: Settings,
    pub(crate) peers: PeerTable,
    pub(crate) views: BTreeMap<DomainId, KnownView>,
    pub(crate) leaving: bool,
    started_at: Option<Millis>,
    /// When the latest answered call to the platform was sent.
    last_answer: Option<Millis>,
    /// Latency of the latest answer from the platform.
    latency: Millis,
    /// The latest time at which the local settings were proven to be the newest.
    settings_proof: Option<Millis>,
}

impl Members {
    /// The state machine of VM `me` in `domain`, without any known peers. `homes` are the
    /// configured failure domains.
    pub fn new(me: VmId, domain: DomainId, homes: Vec<DomainId>, settings: Settings) -> Members {
        let views = homes
            .into_iter()
            .map(|d| (d, KnownView::default()))
            .collect();
        Members {
            me,
            domain,
            settings,
            peers: PeerTable::default(),
            views,
            leaving: false,
            started_at: None,
            last_answer: None,
            latency: Millis::ZERO,
            settings_proof: None,
        }
    }

    /// Handles one input at `now` and returns the actions to carry out, in order. `rng` adds
    /// jitter to delays so that VMs do not act at the same time.
    pub fn step(&mut self, now: Millis, input: Input, rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        self.started_at.get_or_insert(now);
        match input {
            Input::PingReply { from, asked, state } => {
                self.on_ping_reply(now, from, asked, state, &mut out)
            }
            Input::Fetched { domain, record } => self.on_record(now, domain, record, &mut out),
            Input::PlatformCall { asked, ok } => self.on_platform_call(now, asked, ok),
            Input::Read {
                domain,
                asked,
                found,
            } => self.on_read(now, domain, asked, found, &mut out),
            Input::ReadFailed(domain) => {
                if let Some(known) = self.views.get_mut(&domain) {
                    known.read_sent = None;
                    known.failed_reads = (known.failed_reads + 1).min(MAX_BACKOFF_DOUBLINGS);
                }
            }
            Input::VmList(vms) => {
                let me = self.me.clone();
                self.peers.update_list(now, &me, vms);
            }
            Input::Settings(at) => self.settings_proof = self.settings_proof.max(Some(at)),
            Input::Stop => self.leaving = true,
            Input::ProposeResult {
                domain,
                asked,
                record,
                result,
            } => self.on_propose_result(now, domain, (asked, record), result, &mut out),
            Input::Tick => self.tick(now, rng, &mut out),
        }
        out
    }

    /// The reply of this VM to a ping at `now`.
    pub fn state(&self, now: Millis) -> PeerState {
        let age = |at: Option<Millis>| at.map(|at| now.since(at));
        let up = self.peers.map.iter().filter(|(_, p)| p.up);
        let views = self.views.iter().map(|(domain, known)| ViewProof {
            domain: domain.clone(),
            number: known.number(),
            age: age(known.proven_at),
            open: known.pending_swap.is_some(),
        });
        PeerState {
            domain: self.domain.clone(),
            leaving: self.leaving,
            platform: age(self.last_answer),
            settings: age(self.settings_proof),
            hears: up.map(|(vm, _)| vm.clone()).collect(),
            views: views.collect(),
        }
    }

    /// The newest record of a home domain that is known to this VM.
    pub fn record(&self, domain: &DomainId) -> Option<&ViewRecord> {
        self.views.get(domain)?.record.as_ref()
    }

    /// Whether the platform answers, judged by the latest answer and its latency.
    pub fn platform_status(&self, now: Millis) -> PlatformStatus {
        let last = self.last_answer;
        if last.is_none_or(|at| now.since(at) > self.settings.down_after) {
            PlatformStatus::Down
        } else if self.latency > self.settings.slow_after {
            PlatformStatus::Slow
        } else {
            PlatformStatus::Up
        }
    }

    /// How many of the other listed VMs are reachable.
    pub fn peer_reach(&self) -> PeerReach {
        let listed = || self.peers.map.values().filter(|p| p.listed.is_ok());
        if listed().all(|p| p.up) {
            PeerReach::All
        } else if listed().any(|p| p.up) {
            PeerReach::Some
        } else {
            PeerReach::None
        }
    }

    /// Whether and under which condition an activity is allowed at `now`.
    pub fn allowed(&self, now: Millis, activity: Activity) -> Decision {
        let only = self.settings.only_daemons && self.is_platform_down_for_all(now);
        let decision = allowed(self.platform_status(now), self.peer_reach(), activity, only);
        if decision == Decision::Proof && self.has_fresh_settings(now) {
            return Decision::Yes;
        }
        decision
    }

    /// Whether the local settings were recently enough proven to be the newest to start tasks.
    pub fn has_fresh_settings(&self, now: Millis) -> bool {
        let proof = self.settings_proof;
        proof.is_some_and(|at| now.since(at) <= self.settings.settings_freshness)
    }

    fn is_platform_down_for_all(&self, now: Millis) -> bool {
        let is_down = |age: Option<Millis>| age.is_none_or(|age| age > self.settings.down_after);
        let mut states = self.peers.map.values().filter_map(|p| p.state.as_ref());
        self.platform_status(now) == PlatformStatus::Down && states.all(|s| is_down(s.platform))
    }

    fn on_platform_call(&mut self, now: Millis, asked: Millis, ok: bool) {
        if ok {
            self.last_answer = self.last_answer.max(Some(asked));
            self.latency = now.since(asked);
        }
    }

    fn on_ping_reply(
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
                known.proven_at = None;
                out.push(Action::Fetch {
                    from: from.clone(),
                    domain: proof.domain.clone(),
                });
            }
            if let Some(age) = proof.age {
                known.renew_proof(proof.number, asked - age);
            }
        }
        self.peers.on_reply(now, from, asked, state);
        self.report_changes(now, out);
    }

    fn on_record(
        &mut self,
        now: Millis,
        domain: DomainId,
        record: ViewRecord,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        if known.install(now, record.clone()) {
            known.read_at = None;
            let extra = known.changes.len().saturating_sub(MAX_CHANGES);
            known.changes.drain(..extra);
            out.push(Action::View { domain, record });
        }
    }

    fn on_read(
        &mut self,
        now: Millis,
        domain: DomainId,
        asked: Millis,
        found: Option<(ViewRecord, u64)>,
        out: &mut Vec<Action>,
    ) {
        self.on_platform_call(now, asked, true);
        if let Some((record, _)) = &found {
            self.on_record(now, domain.clone(), record.clone(), out);
        }
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        known.read_sent = None;
        known.failed_reads = 0;
        let (number, version) = match &found {
            Some((record, version)) => (record.view.number, *version),
            None => (ViewNumber(0), 0),
        };
        if number < known.number() {
            return;
        }
        known.version = version;
        known.read_at = Some(asked);
        if found.is_some() {
            known.renew_proof(number, asked);
        }
        let settle = self.settings.settle_time;
        let is_closed = |(at, expected)| expected != version || asked >= at + settle;
        if known.pending_swap.is_some_and(is_closed) {
            known.pending_swap = None;
        }
    }

    fn on_propose_result(
        &mut self,
        now: Millis,
        domain: DomainId,
        (asked, record): (Millis, ViewRecord),
        result: CasResult,
        out: &mut Vec<Action>,
    ) {
        if result != CasResult::Unknown {
            self.on_platform_call(now, asked, true);
        }
        if let CasResult::Written { .. } = result {
            self.on_record(now, domain.clone(), record.clone(), out);
        }
        let Some(known) = self.views.get_mut(&domain) else {
            return;
        };
        known.read_at = None;
        match result {
            CasResult::NotWritten => known.pending_swap = None,
            CasResult::Unknown => {}
            CasResult::Written { version } => {
                known.pending_swap = None;
                known.version = version;
                known.read_at = Some(asked);
                known.renew_proof(record.view.number, asked);
            }
        }
    }

    fn report_changes(&mut self, now: Millis, out: &mut Vec<Action>) {
        for (vm, up) in self
            .peers
            .update_reachability(now, &self.domain, &self.settings)
        {
            out.push(if up {
                Action::PeerUp(vm)
            } else {
                Action::PeerDown(vm)
            });
        }
    }

    fn tick(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let due = self.peers.due_pings(now, &self.domain, &self.settings);
        out.extend(due.into_iter().map(Action::Ping));
        self.report_changes(now, out);
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
        let peer_proof = self.views[domain].proven_by_peers(now, &self.me, domain, &self.peers);
        let proposal = self
            .is_past_discovery(now)
            .then(|| self.proposal(now, domain))
            .flatten();
        let interval = self.view_interval(now, domain);
        let is_member = self.record(domain).is_none_or(|r| r.view.has(&self.me));
        let settings = &self.settings;
        let Some(known) = self.views.get_mut(domain) else {
            return;
        };
        if let Some(at) = peer_proof {
            known.renew_proof(known.number(), at);
        }
        if let Some(at) = known
            .proven_at
            .filter(|_| known.reported_proof != known.proven_at)
        {
            known.reported_proof = known.proven_at;
            let domain = domain.clone();
            let view = known.number();
            let until = at + settings.lease;
            out.push(Action::Lease {
                domain,
                view,
                until,
            });
        }
        known.propose_at = match (&proposal, known.propose_at) {
            (None, _) => None,
            (Some(_), Some(at)) => Some(at),
            (Some(_), None) => Some(now + jitter(settings.local_ping, rng)),
        };
        let changed = known.changes.last().copied();
        let ready = known.propose_at.is_some_and(|at| now >= at)
            && changed.is_none_or(|at| now >= at + interval)
            && known.pending_swap.is_none();
        let renewal_age = Millis(settings.lease.0 / RENEWAL_DIVISOR);
        let is_proposing = known.pending_swap.is_some();
        let is_renewal_due = is_proposing
            || known
                .proven_at
                .is_none_or(|at| now.since(at) >= renewal_age);
        let can_read = known
            .read_sent
            .is_none_or(|at| now >= at + settings.down_after);
        match (ready, known.read_at, proposal) {
            (true, Some(at), Some(record)) if now.since(at) <= settings.down_after => {
                known.read_at = None;
                known.pending_swap = Some((now, known.version));
                out.push(Action::Propose {
                    domain: domain.clone(),
                    version: known.version,
                    record,
                });
            }
            (ready, _, _)
                if can_read
                    && now >= known.next_read
                    && (ready || (is_renewal_due && (is_member || is_proposing))) =>
            {
                known.read_sent = Some(now);
                known.next_read =
                    now + jitter(Millis(settings.local_ping.0 << known.failed_reads), rng);
                out.push(Action::Read(domain.clone()));
            }
            _ => {}
        }
    }

    /// Whether this VM has run for long enough to have discovered the other VMs.
    fn is_past_discovery(&self, now: Millis) -> bool {
        let wait = self.settings.remote_ping + self.settings.remote_ping;
        self.started_at.is_some_and(|at| now >= at + wait)
    }
}

/// `span` plus a random part of up to [`JITTER_PERCENT`].
fn jitter(span: Millis, rng: &mut impl Rng) -> Millis {
    let max_extra = span.0 * JITTER_PERCENT / 100;
    span + Millis(rng.next_u64() % (max_extra + 1))
}
