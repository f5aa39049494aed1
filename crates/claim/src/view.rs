//! Numbered member list of a home domain, and the selection of each id's holders.

use std::fmt;

use base::rank;
use base::RequestId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of earlier member lists in a view.
const MAX_PAST: usize = 8;

/// Number of a view, incremented by each change.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl fmt::Display for ViewNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The entry VMs that keep the claims of one home domain.
///
/// The platform stores one key for each domain, which is replaced only by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct View {
    /// Number of the view; the first view is 1.
    pub number: ViewNumber,
    /// The members in ascending order.
    pub members: Vec<VmId>,
    /// The members of earlier views, newest first.
    pub past: Vec<Vec<VmId>>,
}

impl View {
    /// The first view of a domain.
    pub fn first(members: Vec<VmId>) -> View {
        View {
            number: ViewNumber(1),
            members: sorted(members),
            past: Vec::new(),
        }
    }

    /// The successor of this view with other members.
    pub fn next(&self, members: Vec<VmId>) -> View {
        let mut past = vec![self.members.clone()];
        past.extend(self.past.iter().take(MAX_PAST - 1).cloned());
        View {
            number: ViewNumber(self.number.0 + 1),
            members: sorted(members),
            past,
        }
    }

    /// The view `steps` earlier, if this one still lists its members.
    pub(crate) fn before(&self, steps: usize) -> Option<View> {
        if steps == 0 {
            return Some(self.clone());
        }
        Some(View {
            number: ViewNumber(self.number.0.checked_sub(steps as u64)?),
            members: self.past.get(steps - 1)?.clone(),
            past: self.past[steps..].to_vec(),
        })
    }

    /// Whether `vm` is a member.
    pub fn has(&self, vm: &VmId) -> bool {
        self.members.contains(vm)
    }

    /// The owner and the backup of `id`.
    pub fn holders(&self, id: &RequestId) -> (Option<&VmId>, Option<&VmId>) {
        holders(&self.members, id)
    }

    /// The owner of `id`.
    pub fn owner(&self, id: &RequestId) -> Option<&VmId> {
        self.holders(id).0
    }

    /// Whether the numbers of members and of earlier member lists are within their limits.
    pub fn is_valid(&self, members: usize) -> bool {
        let lists = self.past.iter().chain([&self.members]);
        self.past.len() <= MAX_PAST && lists.into_iter().all(|l| l.len() <= members)
    }
}

/// The two members with the highest rendezvous weight for `id`, highest first.
pub(crate) fn holders<'a>(
    members: &'a [VmId],
    id: &RequestId,
) -> (Option<&'a VmId>, Option<&'a VmId>) {
    let mut first: Option<(u64, &VmId)> = None;
    let mut second: Option<(u64, &VmId)> = None;
    for vm in members {
        let entry = Some((rank(id.as_str(), vm.as_str()), vm));
        if entry > first {
            second = first;
            first = entry;
        } else if entry > second {
            second = entry;
        }
    }
    (first.map(|f| f.1), second.map(|s| s.1))
}

fn sorted(mut members: Vec<VmId>) -> Vec<VmId> {
    members.sort();
    members.dedup();
    members
}
