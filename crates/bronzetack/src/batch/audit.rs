//! Compares the submissions in the store with the jobs that the coordinator knows.
//!
//! The coordinator follows submissions by a watch. A job that the watch and all listings left out would
//! wait without any log line, while look-ups, which read the store, answer that it is queued.

use std::fmt::Display;
use std::rc::Rc;

use base::JobId;
use base::Map;
use base::Millis;
use base::Revision;
use batch::JobRecord;
use obs::Event;
use platform::Item;
use platform::StoreError;

use crate::batch::keys;
use crate::batch::keys::RequestKey;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Time without a new job before a comparison, which reads all submissions.
const CALM_TIME: Millis = Millis(5_000);

/// Shortest time between two comparisons.
const INTERVAL: Millis = Millis(10_000);

/// Time between two checks whether a comparison is due.
const CHECK_INTERVAL: Millis = Millis(500);

/// Comparisons after the last new job. What is still overlooked then has been logged.
const MAX_ROUNDS: u32 = 3;

/// Most jobs that are named in one log line.
const MAX_NAMED: usize = 10;

/// Compares while no new job comes, until the leadership ends.
pub async fn run(shared: Rc<Shared>, lead: Rc<Leadership>) {
    let mut unknown: Map<JobId, Revision> = Map::default();
    let (mut last_job, mut last_round, mut rounds) = (Millis::ZERO, Millis::ZERO, 0);
    while !lead.ended.get() {
        shared.sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        if lead.last_job.get() != last_job {
            last_job = lead.last_job.get();
            rounds = 0;
        }
        let is_calm = now.since(last_job) >= CALM_TIME;
        if !is_calm || rounds >= MAX_ROUNDS || now.since(last_round) < INTERVAL {
            continue;
        }
        last_round = now;
        rounds += 1;
        match overlooked(&shared, &lead).await {
            Ok(found) => {
                report(&shared, &found, &unknown);
                unknown = found;
            }
            Err(error) => shared.record_store_result(Err(&error)),
        }
    }
}

/// The accepted jobs in the store that the coordinator does not know, with the revisions of their
/// submissions.
async fn overlooked(
    shared: &Shared,
    lead: &Leadership,
) -> Result<Map<JobId, Revision>, StoreError> {
    let listing = shared.store.list_stale(keys::REQUESTS).await?;
    let scheduler = lead.scheduler.borrow();
    let found = listing.items.iter().filter_map(|item| {
        let Some(RequestKey::Job(id)) = keys::parse_request(&item.key) else {
            return None;
        };
        let is_unknown = !scheduler.contains(&id) && is_accepted(item);
        is_unknown.then_some((id, item.revision))
    });
    Ok(found.collect())
}

fn is_accepted(item: &Item) -> bool {
    let record = item.value.as_deref().map(JobRecord::decode);
    matches!(record, Some(Ok(JobRecord::Accepted(_))))
}

/// Logs the jobs that were unknown in two readings. In one alone they may be new, or removed since: the
/// reading may be seconds old.
fn report(shared: &Shared, found: &Map<JobId, Revision>, before: &Map<JobId, Revision>) {
    let both = found
        .iter()
        .filter(|(id, at)| before.get(*id) == Some(*at))
        .map(|(id, at)| format!("{id} at revision {at}"));
    let mut named: Vec<String> = both.collect();
    if named.is_empty() {
        return;
    }
    let count = named.len();
    named.sort();
    named.truncate(MAX_NAMED);
    let fields: &[(&'static str, &dyn Display)] = &[("jobs", &named.join(", ")), ("count", &count)];
    obs::record(&shared.log, Event::JobOverlooked, fields);
}
