//! Waiting jobs, grouped so that jobs which can stand for each other are looked at once.

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

/// What the jobs of one group have in common.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Group {
    org: OrgId,
    kind: JobKind,
    shape: Shape,
    domain: Option<DomainId>,
    urgent: bool,
    stoppable: bool,
    checkpoint: bool,
    /// Power of two of the time left.
    length_log2: u32,
    /// The job itself where failures bar it from some workers.
    restricted: Option<JobKey>,
}

/// Waiting jobs by group; the oldest of a group stands for it.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    ids: Map<Group, u64>,
    groups: BTreeMap<u64, (Group, BTreeSet<JobKey>)>,
    group_ids: Map<JobKey, u64>,
    next: u64,
}

impl Queue {
    /// Adds a waiting job.
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
        let id = self.next;
        self.next += 1;
        self.ids.insert(group.clone(), id);
        self.groups.insert(id, (group, BTreeSet::new()));
        id
    }

    /// Removes a job, if it waits.
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

    /// Whether a job waits.
    pub fn contains(&self, key: JobKey) -> bool {
        self.group_ids.contains_key(&key)
    }

    /// The oldest job of a group.
    pub fn oldest(&self, group: u64) -> Option<JobKey> {
        self.groups.get(&group)?.1.first().copied()
    }

    /// All groups, in order of their creation.
    pub fn groups(&self) -> impl Iterator<Item = u64> + '_ {
        self.groups.keys().copied()
    }

    /// Whether a group's jobs could only borrow, and need more than `room` adjacent
    /// accelerators for a task.
    pub fn is_blocked(&self, group: u64, largest_free: u32, guaranteed: &Set<&OrgId>) -> bool {
        let Some((group, _)) = self.groups.get(&group) else {
            return true;
        };
        let only_borrows = !group.urgent && !guaranteed.contains(&group.org);
        only_borrows && group.shape.accels.0 > largest_free
    }

    /// All waiting jobs.
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
        length_log2: u64::BITS - left.0.leading_zeros(),
        restricted: (!job.failed_on.is_empty()).then_some(key),
    }
}
