//! Organisations whose requests are served, with their limits and retry budgets.

use base::Map;
use base::OrgId;
use route::RetryBudget;

use crate::head::RequestHead;
use crate::msg::OrgLimits;

/// Known organisations. Until the first settings arrive, every organisation is served.
#[derive(Default)]
pub(super) struct Orgs {
    limits: Option<Map<OrgId, OrgLimits>>,
    retry_budgets: Map<OrgId, RetryBudget>,
}

impl Orgs {
    /// Applies new settings. Retry budgets of organisations whose retry share did not change are kept.
    pub fn set(&mut self, limits: Map<OrgId, OrgLimits>) {
        let old = self.limits.take().unwrap_or_default();
        let same_share = |org: &OrgId| {
            old.get(org).map(|b| b.retry_share) == limits.get(org).map(|b| b.retry_share)
        };
        self.retry_budgets
            .retain(|org, _| limits.contains_key(org) && same_share(org));
        self.limits = Some(limits);
    }

    /// Why a request is refused by the limits of its organisation; `None` if it may be sent.
    pub fn refusal(&self, head: &RequestHead, body: usize) -> Option<String> {
        let limits = self.limits.as_ref()?;
        let Some(org) = limits.get(&head.org) else {
            return Some(format!("organisation {} is not known here", head.org));
        };
        if head.time_left > org.max_deadline {
            return Some(format!("the deadline is longer than {}", org.max_deadline));
        }
        if body as u64 > org.max_body.0 {
            return Some(format!("the body is larger than {} bytes", org.max_body));
        }
        None
    }

    /// The retry budget of an organisation.
    pub fn retry_budget(&mut self, org: &OrgId) -> &mut RetryBudget {
        let limits = self.limits.as_ref().and_then(|all| all.get(org));
        let new =
            || limits.map_or_else(RetryBudget::new, |b| RetryBudget::with_share(b.retry_share));
        self.retry_budgets.entry(org.clone()).or_insert_with(new)
    }
}
