//! API calls of callers and operators about jobs.

use std::collections::BTreeMap;

use actix::ActorFutureExt;
use actix::Context;
use actix::Handler;
use actix::ResponseActFuture;
use actix::ResponseFuture;
use actix::WrapFuture;
use base::Accels;
use base::DomainId;
use base::JobId;
use base::JobSpec;
use base::Millis;
use base::WorkerId;
use conf::api::CancelReply;
use conf::api::CancelRequest;
use conf::api::JobInfo;
use conf::api::JobsQuery;
use conf::api::JobsReply;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use entry::ops::CancelJobs;
use entry::ops::GetJob;
use entry::ops::ListJobs;
use entry::ops::SubmitJob;
use entry::ops::Submitted;
use futures_util::FutureExt;
use gang::pick_domain;
use obs::Event;
use sched::JobRecord;

use super::super::cancel::cancel;
use super::super::info::api_phase;
use super::super::info::job_info;
use super::super::offers::offers;
use super::super::records::decode;
use super::super::submit::create_record;
use super::super::submit::refuse;
use super::super::submit::store_refusal;
use super::Jobs;
use super::JobsState;
use super::ReadJobsState;
use crate::keys;

/// Most jobs in an answer to a list call.
const MAX_PAGE: usize = 1000;

/// Retry time given while the organisation is unknown: a new one may not have reached this
/// daemon's settings yet.
const ORG_RETRY: Millis = Millis(2_000);

/// Retry time given while all failure domains are out of service or the organisation has too many
/// open jobs.
const UNAVAILABLE_RETRY: Millis = Millis(5_000);

impl Jobs {
    /// Checks a new job and creates its record in the failure domain that suits it best.
    fn new_record(&self, spec: JobSpec) -> ApiResult<JobRecord> {
        check_spec(&spec)?;
        self.check_org(&spec)?;
        let offers = offers(&self.vms, &self.records, &self.domains_out);
        let domain = pick_domain(&spec, &offers).or_else(|| self.fallback_domain());
        let Some(domain) = domain else {
            let refused = ApiError::not_run(503, "every failure domain is out of service");
            return Err(refused.retry_after(UNAVAILABLE_RETRY));
        };
        Ok(JobRecord::new(spec, domain, self.context.clock.now()))
    }

    /// Checks a new job against the settings of its organisation.
    fn check_org(&self, spec: &JobSpec) -> ApiResult<()> {
        let org = &spec.org;
        if !self.tree.has_org(org) {
            let why = format!("organisation {org} is not known here");
            return Err(ApiError::not_run(404, why).retry_after(ORG_RETRY));
        }
        let domain = spec.domain.as_ref().unwrap_or(self.context.domain());
        if spec.urgent && !self.tree.urgent_allowed(org, domain, &spec.kind) {
            let why = "the organisation may not mark this kind of job as urgent";
            return Err(ApiError::not_run(422, why));
        }
        let open = self.records.iter().filter(|(rec, _)| !rec.is_done());
        let open = open.filter(|(rec, _)| rec.spec.org == *org).count();
        if open >= self.tree.jobs_max(org) {
            let why = format!("organisation {org} has {open} jobs that have not ended");
            return Err(ApiError::not_run(429, why).retry_after(UNAVAILABLE_RETRY));
        }
        Ok(())
    }

    /// The failure domain of a job that no domain has the capacity for: this daemon's, unless it is
    /// out of service. Its coordinator refuses jobs that can never run.
    fn fallback_domain(&self) -> Option<DomainId> {
        let own = self.context.domain();
        (!self.domains_out.contains(own)).then(|| own.clone())
    }

    fn selected_jobs(&self, request: &CancelRequest) -> Vec<JobId> {
        let mut jobs = request.jobs.clone();
        if let Some(org) = &request.org {
            let open = self.records.iter().filter(|(rec, _)| !rec.is_done());
            let of_org = open.filter(|(rec, _)| rec.spec.org == *org);
            jobs.extend(of_org.map(|(rec, _)| rec.spec.id.clone()));
        }
        jobs.sort();
        jobs.dedup();
        jobs
    }

    fn job_counts(&self) -> Vec<(DomainId, u32, u32)> {
        let mut counts: BTreeMap<DomainId, (u32, u32)> = BTreeMap::new();
        for (record, _) in self.records.iter().filter(|(rec, _)| !rec.is_done()) {
            let count = counts.entry(record.domain.clone()).or_default();
            match record.plan() {
                Some(_) => count.0 += 1,
                None => count.1 += 1,
            }
        }
        let rows = counts.into_iter();
        rows.map(|(domain, (running, queued))| (domain, running, queued))
            .collect()
    }

    fn used_accels(&self) -> BTreeMap<WorkerId, Accels> {
        let mut used: BTreeMap<WorkerId, Accels> = BTreeMap::new();
        let plans = self.records.iter().filter_map(|(rec, _)| rec.plan());
        for place in plans.flat_map(|plan| &plan.places) {
            *used.entry(place.worker.clone()).or_default() += place.count;
        }
        used
    }

    fn list_page(&self, query: &JobsQuery) -> JobsReply {
        let limit = query.limit.unwrap_or(MAX_PAGE).min(MAX_PAGE);
        let all: Box<dyn Iterator<Item = _>> = match &query.after {
            Some(id) => Box::new(self.records.after(id)),
            None => Box::new(self.records.iter()),
        };
        let records = all.map(|(rec, _)| rec);
        let of_org = |rec: &&JobRecord| query.org.as_ref().is_none_or(|o| rec.spec.org == *o);
        let in_phase = |rec: &&JobRecord| query.phase.is_none_or(|p| api_phase(rec) == p);
        let found = records.filter(of_org).filter(in_phase);
        let mut jobs: Vec<JobInfo> = found.take(limit + 1).map(job_info).collect();
        let more = jobs.len() > limit;
        jobs.truncate(limit);
        JobsReply { jobs, more }
    }
}

fn check_spec(spec: &JobSpec) -> ApiResult<()> {
    if spec.shape.tasks == 0 {
        return Err(ApiError::not_run(
            422,
            "the gang has no task: give at least 1",
        ));
    }
    Ok(())
}

impl Handler<SubmitJob> for Jobs {
    type Result = ResponseActFuture<Jobs, ApiResult<Submitted>>;

    fn handle(&mut self, msg: SubmitJob, _: &mut Context<Jobs>) -> Self::Result {
        let known = self
            .records
            .get(&msg.0.id)
            .map(|(rec, _)| rec.domain.clone());
        let spec = msg.0;
        let record = match known {
            Some(domain) => {
                let now = self.context.clock.now();
                Ok(JobRecord::new(spec.clone(), domain, now))
            }
            None => self.new_record(spec.clone()),
        };
        let store = self.store.clone();
        let tombstones = self.tombstones.clone();
        let creating = async move {
            match record {
                Ok(record) => {
                    let (submitted, revision) = create_record(store, record.clone()).await?;
                    Ok((submitted, revision.map(|revision| (record, revision))))
                }
                Err(refusal) => Ok((refuse(&tombstones, &spec, refusal).await?, None)),
            }
        };
        let done = creating.into_actor(self).map(|result, jobs, ctx| {
            let (submitted, created): (Submitted, Option<(JobRecord, base::Revision)>) = result?;
            if let Some((record, revision)) = created {
                obs::emit(
                    &jobs.context.log,
                    Event::JobAccepted,
                    record.spec.id.as_str(),
                );
                jobs.forward_record(record, revision, ctx);
            }
            Ok(submitted)
        });
        Box::pin(done)
    }
}

impl Jobs {
    /// Forwards a record that this daemon has written, without waiting for the watch.
    fn forward_record(
        &mut self,
        record: JobRecord,
        revision: base::Revision,
        ctx: &mut Context<Jobs>,
    ) {
        if self.records.put(record.clone(), revision) {
            let records = sched::Input::Records(vec![(record, revision)]);
            self.step_scheduler(super::Input::Coordinator(records), ctx);
        }
    }
}

impl Handler<GetJob> for Jobs {
    type Result = ResponseFuture<ApiResult<JobInfo>>;

    fn handle(&mut self, msg: GetJob, _: &mut Context<Jobs>) -> Self::Result {
        let known = self.records.get(&msg.0).map(|(rec, _)| job_info(rec));
        let store = self.store.clone();
        async move {
            if let Some(info) = known {
                return Ok(info);
            }
            let entry = store
                .get(&keys::job(&msg.0))
                .await
                .map_err(|e| store_refusal(&e))?;
            let record = entry.and_then(|e| decode(&e.value));
            record
                .map(|rec| job_info(&rec))
                .ok_or_else(|| ApiError::not_run(404, format!("no job {}", msg.0)))
        }
        .boxed_local()
    }
}

impl Handler<ListJobs> for Jobs {
    type Result = ApiResult<JobsReply>;

    fn handle(&mut self, msg: ListJobs, _: &mut Context<Jobs>) -> Self::Result {
        Ok(self.list_page(&msg.0))
    }
}

impl Handler<CancelJobs> for Jobs {
    type Result = ResponseFuture<ApiResult<CancelReply>>;

    fn handle(&mut self, msg: CancelJobs, _: &mut Context<Jobs>) -> Self::Result {
        let jobs = self.selected_jobs(&msg.0);
        let known = |id: &JobId| self.records.get(id).cloned();
        let jobs: Vec<_> = jobs
            .into_iter()
            .map(|id| (id.clone(), known(&id)))
            .collect();
        let (store, tombstones) = (self.store.clone(), self.tombstones.clone());
        async move { cancel(&store, &tombstones, jobs).await }.boxed_local()
    }
}

impl Handler<ReadJobsState> for Jobs {
    type Result = actix::MessageResult<ReadJobsState>;

    fn handle(&mut self, _: ReadJobsState, _: &mut Context<Jobs>) -> Self::Result {
        let epoch = self.election.epoch();
        actix::MessageResult(JobsState {
            epoch,
            ready: self.scheduler.is_ready(),
            starts_held: self.scheduler.holds_starts(),
            planner: epoch.map(|_| self.scheduler.status()),
            counts: self.job_counts(),
            used: self.used_accels(),
            guarantees: self.guarantees.clone(),
            records: self.records.len(),
        })
    }
}
