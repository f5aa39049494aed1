//! Organisations whose requests are served, their bounds and their retry budgets.

use base::Map;
use base::OrgId;
use route::RetryBudget;

use crate::head::Head;
use crate::msg::OrgBounds;

/// Known organisations. Before the first settings, every organisation is served.
#[derive(Default)]
pub(super) struct Orgs {
    bounds: Option<Map<OrgId, OrgBounds>>,
    retries: Map<OrgId, RetryBudget>,
}

impl Orgs {
    /// Takes over new settings. Budgets of organisations whose share is as before are kept.
    pub fn set(&mut self, bounds: Map<OrgId, OrgBounds>) {
        let old = self.bounds.take().unwrap_or_default();
        let same =
            |org: &OrgId| old.get(org).map(|b| b.retries) == bounds.get(org).map(|b| b.retries);
        self.retries
            .retain(|org, _| bounds.contains_key(org) && same(org));
        self.bounds = Some(bounds);
    }

    /// Why a request is refused before anything is sent; `None` if it is served.
    pub fn refusal(&self, head: &Head, body: usize) -> Option<String> {
        let bounds = self.bounds.as_ref()?;
        let Some(org) = bounds.get(&head.org) else {
            return Some(format!("organisation {} is not known here", head.org));
        };
        if head.left > org.deadline {
            return Some(format!("the deadline is longer than {}", org.deadline));
        }
        if body as u64 > org.body.0 {
            return Some(format!("the body is larger than {} bytes", org.body));
        }
        None
    }

    /// The retry budget of an organisation.
    pub fn retries(&mut self, org: &OrgId) -> &mut RetryBudget {
        let bounds = self.bounds.as_ref().and_then(|all| all.get(org));
        let new = || bounds.map_or_else(RetryBudget::new, |b| RetryBudget::with_share(b.retries));
        self.retries.entry(org.clone()).or_insert_with(new)
    }
}
