//! Queue of waiting jobs. Jobs with the same requirements form a group, so that a pass
//! considers only the oldest of each group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::DomainId;
use base::JobKind;
use base::Map;
use base::OrgId;
use base::Set;
use base::Shape;

use crate::job::Job;
use crate::site::JobKey;

/// Requirements that the jobs of a group share.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Group {
    org: OrgId,
    kind: JobKind,
    shape: Shape,
    domain: Option<DomainId>,
    urgent: bool,
    stoppable: bool,
    checkpoint: bool,
    /// Number of binary digits of the declared remaining time in milliseconds.
    length_bits: u32,
    /// The job's own key if it has failed on some workers, which it avoids where possible. It is
    /// then a group of its own.
    restricted: Option<JobKey>,
}

/// Waiting jobs by group.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    ids: Map<Group, u64>,
    groups: BTreeMap<u64, (Group, BTreeSet<JobKey>)>,
    group_ids: Map<JobKey, u64>,
    next_id: u64,
}

impl Queue {
    pub fn add(&mut self, key: JobKey, job: &Job) {
        let group = group(key, job);
        let id = match self.ids.get(&group) {
            Some(id) => *id,
            None => self.add_group(group),
        };
        if let Some((_, jobs)) = self.groups.get_mut(&id) {
            jobs.insert(key);
        }
        self.group_ids.insert(key, id);
    }

    fn add_group(&mut self, group: Group) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(group.clone(), id);
        self.groups.insert(id, (group, BTreeSet::new()));
        id
    }

    /// Removes a job, if it is in the queue.
    pub fn remove(&mut self, key: JobKey) {
        let Some(id) = self.group_ids.remove(&key) else {
            return;
        };
        let Some((group, jobs)) = self.groups.get_mut(&id) else {
            return;
        };
        jobs.remove(&key);
        if jobs.is_empty() {
            self.ids.remove(group);
            self.groups.remove(&id);
        }
    }

    pub fn contains(&self, key: JobKey) -> bool {
        self.group_ids.contains_key(&key)
    }

    pub fn oldest(&self, group: u64) -> Option<JobKey> {
        self.groups.get(&group)?.1.first().copied()
    }

    /// Ids of all groups, in order of creation.
    pub fn groups(&self) -> impl Iterator<Item = u64> + '_ {
        self.groups.keys().copied()
    }

    /// Whether the jobs of a group can run only on borrowed capacity without evictions, and a
    /// task needs more than `largest_free` accelerators.
    pub fn is_blocked(&self, group: u64, largest_free: u32, guaranteed: &Set<&OrgId>) -> bool {
        let Some((group, _)) = self.groups.get(&group) else {
            return true;
        };
        let only_borrows = !group.urgent && !guaranteed.contains(&group.org);
        only_borrows && group.shape.accels.0 > largest_free
    }

    pub fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.groups
            .values()
            .flat_map(|(_, jobs)| jobs.iter().copied())
    }
}

fn group(key: JobKey, job: &Job) -> Group {
    let spec = &job.spec;
    let left = spec.length.since(job.saved);
    Group {
        org: spec.org.clone(),
        kind: spec.kind.clone(),
        shape: spec.shape,
        domain: spec.domain.clone(),
        urgent: spec.urgent,
        stoppable: spec.is_stoppable(),
        checkpoint: spec.checkpoint,
        length_bits: u64::BITS - left.0.leading_zeros(),
        restricted: (!job.failed_on.is_empty()).then_some(key),
    }
}
