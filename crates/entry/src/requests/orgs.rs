//! Organisations whose requests are served, with their limits and retry budgets.

use base::Map;
use base::OrgId;
use route::Retries;

use crate::head::Head;
use crate::msg::OrgBounds;

/// Known organisations. Until the first settings arrive, every organisation is served.
#[derive(Default)]
pub(super) struct Orgs {
    bounds: Option<Map<OrgId, OrgBounds>>,
    retry_budgets: Map<OrgId, Retries>,
}

impl Orgs {
    /// Applies new settings. Retry budgets of organisations whose retry share did not change are kept.
    pub fn set(&mut self, bounds: Map<OrgId, OrgBounds>) {
        let old = self.bounds.take().unwrap_or_default();
        let same_share =
            |org: &OrgId| old.get(org).map(|b| b.retries) == bounds.get(org).map(|b| b.retries);
        self.retry_budgets
            .retain(|org, _| bounds.contains_key(org) && same_share(org));
        self.bounds = Some(bounds);
    }

    /// Why a request is refused by the limits of its organisation; `None` if it may be sent.
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
    pub fn retry_budget(&mut self, org: &OrgId) -> &mut Retries {
        let bounds = self.bounds.as_ref().and_then(|all| all.get(org));
        let new = || bounds.map_or_else(Retries::new, |b| Retries::with_share(b.retries));
        self.retry_budgets.entry(org.clone()).or_insert_with(new)
    }
}
