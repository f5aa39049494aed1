//! What may be running of each organisation, and the check against its limit when a start is sent.

use base::Map;
use base::Millis;
use base::OrgId;
use base::WorkerId;

use super::LogEntry;
use super::LogKind;
use super::Scheduler;
use super::StartRequest;
use crate::job::Job;
use crate::org::OrgState;
use crate::org::Rates;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::spec::TaskId;
use crate::worker::Report;

impl Scheduler {
    /// The organisation and the need of a task, unless its job is not known or of no organisation.
    fn org_and_need(&self, task: &TaskId) -> Option<(&OrgId, Resources)> {
        let job = self.jobs.get(&task.job)?;
        Some((job.submitted.org.as_ref()?, job.spec(task)?.need))
    }

    /// Counts a run of the task that may be active from now on.
    pub(crate) fn count_run(&mut self, task: &TaskId) {
        let found = self.org_and_need(task);
        if let Some((org, need)) = found.map(|(org, need)| (org.clone(), need)) {
            self.ledger.add(&org, &need);
        }
    }

    /// Removes a counted run of the task, which has ended.
    pub(crate) fn uncount_run(&mut self, task: &TaskId) {
        let found = self.org_and_need(task);
        if let Some((org, need)) = found.map(|(org, need)| (org.clone(), need)) {
            self.ledger.remove(&org, &need);
        }
    }

    /// Counts the runs that a worker reports but that are not wanted there, until it reports them no
    /// more or its lease has expired.
    pub(crate) fn count_strays(&mut self, id: &WorkerId, report: &Report) {
        let strays = report
            .running
            .iter()
            .filter(|r| !self.is_open(&r.task, r.run, id));
        let odd = report.odd.running.iter().filter_map(|r| r.task.as_ref());
        let odd = odd.filter(|task| {
            let open = self.open_run(task);
            open.is_none_or(|o| o.worker != *id)
        });
        let strays: Vec<&TaskId> = strays.map(|r| &r.task).chain(odd).collect();
        let mut occupied = Resources::default();
        for task in &strays {
            let spec = self.jobs.get(&task.job).and_then(|j| j.spec(task));
            occupied += spec.map(StepSpec::occupies).unwrap_or_default();
        }
        let counted = strays.iter().filter_map(|task| self.org_and_need(task));
        let counted = counted.map(|(org, need)| (org.clone(), need)).collect();
        self.ledger.set_strays(id, counted);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.strays = occupied;
        }
    }

    /// Drops the counted strays of workers whose lease has expired.
    pub(crate) fn drop_lapsed_strays(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            if now > worker.lease_end {
                worker.strays = Resources::default();
            }
        }
        for id in self.ledger.stray_workers() {
            let end = self.workers.get(&id).map(|w| w.lease_end);
            if end.is_none_or(|end| now > end) {
                self.ledger.set_strays(&id, Vec::new());
            }
        }
    }

    /// Whether more may be running of the organisation of a planned start than its limit allows: the
    /// limit was lowered since the start was planned, or a run came to light.
    pub(crate) fn is_over_limit(&self, start: &StartRequest) -> bool {
        let Some((org, need)) = self.org_and_need(&start.task) else {
            return false;
        };
        let used = self.ledger.used(org);
        let excess = self.catalog.limit(org).excess(&used);
        // What the start does not add to cannot be exceeded by it.
        excess.overlaps(&need)
    }

    /// Marks the jobs that were sent beyond the rates of their organisations, all anew, as after a
    /// change of weights.
    pub(super) fn rebuild_rates(&mut self) {
        self.rates = Rates::default();
        let weighted = self.catalog.has_weights();
        let mut jobs: Vec<&mut Job> = self.jobs.values_mut().collect();
        jobs.sort_by(|a, b| (a.submitted.at, &a.id).cmp(&(b.submitted.at, &b.id)));
        for job in jobs {
            let org = job.submitted.org.as_ref().filter(|_| weighted);
            job.excess = org.is_some_and(|org| {
                let rate = self.catalog.rate(org);
                self.rates.add(org, job.submitted.at, &job.id, rate)
            });
        }
    }

    /// Marks the jobs that were sent beyond the rates of their organisations.
    pub(crate) fn settle_rates(&mut self) {
        let catalog = &self.catalog;
        for (id, excess) in self.rates.settle(|org| catalog.rate(org)) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.excess = excess;
            }
        }
    }

    /// What each configured organisation may have running, has, and waits for.
    pub fn org_states(&self) -> Vec<OrgState> {
        let orgs = self.catalog.orgs.iter().map(|org| {
            let waits = self.waits.get(&org.name).copied().unwrap_or_default();
            OrgState {
                org: org.name.clone(),
                limit: org.limit,
                used: self.ledger.used(&org.name),
                held: waits.held,
                deferred: waits.deferred,
                crowded: waits.crowded,
                weight: org.weight,
                share: waits.share,
            }
        });
        orgs.collect()
    }

    /// Version of the configuration that decides.
    pub fn version(&self) -> u64 {
        self.catalog.version
    }

    /// Sums of the open runs of each organisation, counted anew; for checks of the ledger.
    pub fn recount(&self) -> Map<OrgId, Resources> {
        let mut sums: Map<OrgId, Resources> = Map::default();
        for job in self.jobs.values() {
            let Some(org) = &job.submitted.org else {
                continue;
            };
            for spec in job.open_tasks().iter().filter_map(|task| job.spec(task)) {
                *sums.entry(org.clone()).or_default() += spec.need;
            }
        }
        sums
    }

    /// Logs each organisation whose limit is smaller than one task, or one gang, of a job that waits or
    /// runs. Its job waits until the limit is raised.
    pub(super) fn check_limits(&mut self) {
        let mut found: Map<OrgId, (base::JobId, String)> = Map::default();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            if job.phase.is_final() {
                continue;
            }
            if let (Some(org), Some(why)) = (
                job.submitted.org.as_ref(),
                self.catalog.over_limit(&job.submitted),
            ) {
                found
                    .entry(org.clone())
                    .or_insert_with(|| (job.id.clone(), why));
            }
        }
        let version = self.catalog.version;
        for (job, why) in found.into_values() {
            self.log_entries.push(LogEntry {
                kind: LogKind::LimitTooLow,
                job: Some(job),
                text: format!("configuration {version}: {why}; raise the limit or cancel the job"),
                detail: None,
            });
        }
    }
}

/// Numbers of the steps of an organisation that wait after a planning pass.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waits {
    /// Because of its limit.
    pub(crate) held: usize,
    /// Because it has used its share up.
    pub(crate) deferred: usize,
    /// For room on the workers.
    pub(crate) crowded: usize,
    /// Its share of the capacity, if there was not enough for all.
    pub(crate) share: Option<f64>,
}
