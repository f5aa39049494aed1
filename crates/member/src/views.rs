//! What this VM knows of the view of one home domain, and the proofs that it is the newest.

use base::Millis;
use base::VmId;
use claim::ViewNumber;

use crate::peers::PeerTable;
use crate::state::ViewRecord;

/// The view of one home domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) record: Option<ViewRecord>,
    /// The platform's version of the record; zero if the key is missing.
    pub(crate) version: u64,
    /// When the version was asked for; `None` if it has to be read before a proposal.
    pub(crate) read: Option<Millis>,
    /// When a read was sent that is still open.
    pub(crate) reading: Option<Millis>,
    /// When the view was last known to be the newest.
    pub(crate) proof: Option<Millis>,
    /// The proof that was passed on to the claims.
    pub(crate) told: Option<Millis>,
    /// Reads that failed in a row.
    pub(crate) fails: u32,
    /// When a compare-and-swap without a known result was sent, and the version expected.
    pub(crate) open: Option<(Millis, u64)>,
    /// Times of recent changes.
    pub(crate) changes: Vec<Millis>,
    /// Since when a change is wanted.
    pub(crate) wanted: Option<Millis>,
    /// When the next read for a proof may be sent.
    pub(crate) again: Millis,
}

impl Known {
    pub(crate) fn number(&self) -> ViewNumber {
        let record = self.record.as_ref();
        record.map_or(ViewNumber(0), |r| r.view.number)
    }

    pub(crate) fn prove(&mut self, number: ViewNumber, at: Millis) -> bool {
        let newer = number == self.number() && self.proof.is_none_or(|old| at > old);
        if newer {
            self.proof = Some(at);
        }
        newer
    }

    /// Takes a newer record. Returns whether it is newer.
    pub(crate) fn learn(&mut self, now: Millis, record: ViewRecord) -> bool {
        if self.record.is_some() && record.view.number <= self.number() {
            return false;
        }
        self.record = Some(record);
        self.proof = None;
        self.wanted = None;
        self.changes.push(now);
        true
    }

    /// The time up to which no VM can have made a newer view, by the word of each VM that
    /// may make one.
    pub(crate) fn all_quiet(
        &self,
        now: Millis,
        me: &VmId,
        domain: &base::DomainId,
        peers: &PeerTable,
    ) -> Option<Millis> {
        let record = self.record.as_ref()?;
        if self.open.is_some() {
            return None;
        }
        let mut at = now;
        for vm in record.known.iter().filter(|vm| *vm != me) {
            let peer = peers.map.get(vm).filter(|p| p.up)?;
            let state = peer.state.as_ref()?;
            let proof = state.views.iter().find(|v| v.domain == *domain)?;
            if proof.number != record.view.number || proof.open {
                return None;
            }
            at = at.min(peer.asked);
        }
        Some(at)
    }
}
