//! Which of two links to the same peer is kept.

use base::VmId;

/// Names a link: who dialed it, and the dialer's number for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkId {
    /// The VM that dialed.
    pub dialer: VmId,
    /// Grows with every dial of that VM.
    pub number: u64,
}

/// What becomes of a new link beside an existing one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The existing link stays, the new one is closed.
    Keep,
    /// The new link takes the place of the existing one.
    Replace,
}

/// Decides between an existing and a new link to one peer. Both ends decide alike.
///
/// - Of two links with the same dialer, the later one counts: the dialer gave up the other.
/// - If the peer says that it lost the existing link (`lost` is that link's number), the new
///   one counts.
/// - Else both ends dialed at once, and the link of the lower id counts.
pub fn judge(existing: &LinkId, new: &LinkId, lost: Option<u64>) -> Verdict {
    let replace = if existing.dialer == new.dialer {
        new.number >= existing.number
    } else {
        lost == Some(existing.number) || new.dialer < existing.dialer
    };
    if replace {
        Verdict::Replace
    } else {
        Verdict::Keep
    }
}
