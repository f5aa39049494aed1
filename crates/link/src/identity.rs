//! Decides which of two links to the same peer is kept.

use base::VmId;

/// Identifies a link by the VM that dialed it and a number that this VM assigned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkId {
    /// The VM that dialed.
    pub dialer: VmId,
    /// Increases with every dial of that VM.
    pub number: u64,
}

/// Which of an existing and a new link to the same peer is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The existing link is kept and the new one closed.
    Keep,
    /// The new link replaces the existing one.
    Replace,
}

/// Chooses between an existing and a new link to one peer. Both ends reach the same decision.
///
/// - Of two links from the same dialer, the one with the higher number is kept: the dialer has
///   abandoned the other.
/// - If the peer reports that the existing link ended (`lost` is that link's number), the new one
///   is kept.
/// - Otherwise both ends dialed at the same time, and the link that the VM with the lower id
///   dialed is kept.
pub fn resolve_duplicate(existing: &LinkId, new: &LinkId, lost: Option<u64>) -> Resolution {
    let replace = if existing.dialer == new.dialer {
        new.number >= existing.number
    } else {
        lost == Some(existing.number) || new.dialer < existing.dialer
    };
    if replace {
        Resolution::Replace
    } else {
        Resolution::Keep
    }
}
