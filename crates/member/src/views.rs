//! What this VM knows of the view of one home domain, and the proofs that it is the newest.

use base::Millis;
use base::VmId;
use claim::ViewNumber;

use crate::peers::PeerTable;
use crate::state::ViewRecord;

/// The newest known view of one home domain and the progress of reads and proposals.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownView {
    pub(crate) record: Option<ViewRecord>,
    /// Version of the platform's key; zero if the key is missing.
    pub(crate) version: u64,
    /// When the read that returned the version was sent; `None` if the key has to be read again
    /// before a proposal.
    pub(crate) read_at: Option<Millis>,
    /// When the read that is still unanswered was sent.
    pub(crate) read_sent: Option<Millis>,
    /// The latest time at which the view was proven to be the newest.
    pub(crate) proven_at: Option<Millis>,
    /// The latest proof that was reported to the claims.
    pub(crate) reported_proof: Option<Millis>,
    /// Number of consecutive failed reads.
    pub(crate) failed_reads: u32,
    /// When a compare-and-swap without a known result was sent, and the version it expected.
    pub(crate) pending_swap: Option<(Millis, u64)>,
    /// Times of the recent view changes.
    pub(crate) changes: Vec<Millis>,
    /// When the needed change may be proposed; `None` if no change is needed.
    pub(crate) propose_at: Option<Millis>,
    /// When the next read may be sent.
    pub(crate) next_read: Millis,
}

impl KnownView {
    pub(crate) fn number(&self) -> ViewNumber {
        let record = self.record.as_ref();
        record.map_or(ViewNumber(0), |r| r.view.number)
    }

    /// Records that view `number` was proven to be the newest at time `at`. Returns whether this
    /// is the latest proof of the known view.
    pub(crate) fn renew_proof(&mut self, number: ViewNumber, at: Millis) -> bool {
        let newer = number == self.number() && self.proven_at.is_none_or(|old| at > old);
        if newer {
            self.proven_at = Some(at);
        }
        newer
    }

    /// Replaces the record by a newer one. Returns whether `record` is newer.
    pub(crate) fn install(&mut self, now: Millis, record: ViewRecord) -> bool {
        if self.record.is_some() && record.view.number <= self.number() {
            return false;
        }
        self.record = Some(record);
        self.proven_at = None;
        self.propose_at = None;
        self.changes.push(now);
        true
    }

    /// The latest time for which all other VMs that may replace the view have reported that it is
    /// the newest; `None` if one of them did not.
    pub(crate) fn proven_by_peers(
        &self,
        now: Millis,
        me: &VmId,
        domain: &base::DomainId,
        peers: &PeerTable,
    ) -> Option<Millis> {
        let record = self.record.as_ref()?;
        if self.pending_swap.is_some() {
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
            at = at.min(peer.answered_ping);
        }
        Some(at)
    }
}
