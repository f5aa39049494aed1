//! The numbered member list of a home domain, and the pair of members of an id.

use std::fmt;

use base::rank;
use base::RequestId;
use base::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Earlier member lists that a view carries at most.
const MAX_PAST: usize = 8;

/// The number of a view; each change adds one.
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
/// Stored by the platform under one key a domain and replaced only by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct View {
    /// Its number; the first view is 1.
    pub number: ViewNumber,
    /// Its members in order.
    pub members: Vec<VmId>,
    /// The members of the views before it, newest first.
    pub past: Vec<Vec<VmId>>,
}

impl View {
    /// The first view.
    pub fn first(members: Vec<VmId>) -> View {
        View {
            number: ViewNumber(1),
            members: sorted(members),
            past: Vec::new(),
        }
    }

    /// The view that follows this one with other members.
    pub fn next(&self, members: Vec<VmId>) -> View {
        let mut past = vec![self.members.clone()];
        past.extend(self.past.iter().take(MAX_PAST - 1).cloned());
        View {
            number: ViewNumber(self.number.0 + 1),
            members: sorted(members),
            past,
        }
    }

    /// The view `steps` before this one, as far as it is known.
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

    /// The owner and the copy-holder of `id`.
    pub fn pair(&self, id: &RequestId) -> (Option<&VmId>, Option<&VmId>) {
        pair(&self.members, id)
    }

    /// The owner of `id`.
    pub fn owner(&self, id: &RequestId) -> Option<&VmId> {
        self.pair(id).0
    }

    /// Whether the sizes are within bounds.
    pub fn is_valid(&self, members: usize) -> bool {
        let lists = self.past.iter().chain([&self.members]);
        self.past.len() <= MAX_PAST && lists.into_iter().all(|l| l.len() <= members)
    }
}

/// The two members with the highest rendezvous weight for `id`, highest first.
pub(crate) fn pair<'a>(
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
