//! Calls of callers and operators about jobs.

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
use entry::ops::Answered;
use entry::ops::CancelJobs;
use entry::ops::GetJob;
use entry::ops::ListJobs;
use entry::ops::Refused;
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
use super::super::submit::store_refusal;
use super::Jobs;
use super::JobsState;
use super::ReadJobsState;
use crate::keys;

/// Most jobs in one answer.
const PAGE: usize = 1000;

/// Time to come back when the organisation may be on its way here.
const RETRY_ORG: Millis = Millis(2_000);

/// Time to come back when every failure domain is out.
const RETRY_OUT: Millis = Millis(5_000);

impl Jobs {
    /// The record of a new job in the failure domain that suits it best.
    fn new_record(&self, spec: JobSpec) -> Answered<JobRecord> {
        check_spec(&spec)?;
        self.check_org(&spec)?;
        let offers = offers(&self.vms, &self.records, &self.out);
        let domain = pick_domain(&spec, &offers).or_else(|| self.fallback());
        let Some(domain) = domain else {
            let refused = Refused::not_run(503, "every failure domain is out of service");
            return Err(refused.after(RETRY_OUT));
        };
        Ok(JobRecord::new(spec, domain, self.site.clock.now()))
    }

    /// What the settings of the organisation say against a new job.
    fn check_org(&self, spec: &JobSpec) -> Answered<()> {
        let org = &spec.org;
        if !self.tree.has_org(org) {
            let why = format!("organisation {org} is not known here");
            return Err(Refused::not_run(404, why).after(RETRY_ORG));
        }
        let domain = spec.domain.as_ref().unwrap_or(self.site.domain());
        if spec.urgent && !self.tree.urgent_allowed(org, domain, &spec.kind) {
            let why = "the organisation may not mark this kind of job as urgent";
            return Err(Refused::not_run(422, why));
        }
        let open = self.records.iter().filter(|(rec, _)| !rec.is_done());
        let open = open.filter(|(rec, _)| rec.spec.org == *org).count();
        if open >= self.tree.jobs_max(org) {
            let why = format!("organisation {org} has {open} jobs that have not ended");
            return Err(Refused::not_run(429, why).after(RETRY_OUT));
        }
        Ok(())
    }

    /// The own failure domain, whose coordinator then refuses what can never run.
    fn fallback(&self) -> Option<DomainId> {
        let own = self.site.domain();
        (!self.out.contains(own)).then(|| own.clone())
    }

    fn selected(&self, call: &CancelRequest) -> Vec<JobId> {
        let mut jobs = call.jobs.clone();
        if let Some(org) = &call.org {
            let open = self.records.iter().filter(|(rec, _)| !rec.is_done());
            let of_org = open.filter(|(rec, _)| rec.spec.org == *org);
            jobs.extend(of_org.map(|(rec, _)| rec.spec.id.clone()));
        }
        jobs.sort();
        jobs.dedup();
        jobs
    }

    fn counts(&self) -> Vec<(DomainId, u32, u32)> {
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

    fn used(&self) -> BTreeMap<WorkerId, Accels> {
        let mut used: BTreeMap<WorkerId, Accels> = BTreeMap::new();
        let plans = self.records.iter().filter_map(|(rec, _)| rec.plan());
        for place in plans.flat_map(|plan| &plan.places) {
            *used.entry(place.worker.clone()).or_default() += place.count;
        }
        used
    }

    fn page(&self, query: &JobsQuery) -> JobsReply {
        let limit = query.limit.unwrap_or(PAGE).min(PAGE);
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

fn check_spec(spec: &JobSpec) -> Answered<()> {
    if spec.shape.tasks == 0 {
        return Err(Refused::not_run(
            422,
            "the gang has no task: give at least 1",
        ));
    }
    Ok(())
}

impl Handler<SubmitJob> for Jobs {
    type Result = ResponseActFuture<Jobs, Answered<Submitted>>;

    fn handle(&mut self, msg: SubmitJob, _: &mut Context<Jobs>) -> Self::Result {
        let known = self
            .records
            .get(&msg.0.id)
            .map(|(rec, _)| rec.domain.clone());
        let record = match known {
            Some(domain) => Ok(JobRecord::new(msg.0, domain, self.site.clock.now())),
            None => self.new_record(msg.0),
        };
        let store = self.store.clone();
        let creating = async move {
            let record = record?;
            let (submitted, revision) = create_record(store, record.clone()).await?;
            Ok((submitted, record, revision))
        };
        let done = creating.into_actor(self).map(|result, jobs, ctx| {
            let (submitted, record, revision): (Submitted, JobRecord, _) = result?;
            if let Some(revision) = revision {
                obs::emit(&jobs.site.log, Event::JobAccepted, record.spec.id.as_str());
                jobs.accept(record, revision, ctx);
            }
            Ok(submitted)
        });
        Box::pin(done)
    }
}

impl Jobs {
    /// Takes in a record that this daemon has written, before the watch tells it.
    fn accept(&mut self, record: JobRecord, revision: base::Revision, ctx: &mut Context<Jobs>) {
        if self.records.put(record.clone(), revision) {
            let records = sched::Input::Records(vec![(record, revision)]);
            self.step(super::Input::Coordinator(records), ctx);
        }
    }
}

impl Handler<GetJob> for Jobs {
    type Result = ResponseFuture<Answered<JobInfo>>;

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
                .ok_or_else(|| Refused::not_run(404, format!("no job {}", msg.0)))
        }
        .boxed_local()
    }
}

impl Handler<ListJobs> for Jobs {
    type Result = Answered<JobsReply>;

    fn handle(&mut self, msg: ListJobs, _: &mut Context<Jobs>) -> Self::Result {
        Ok(self.page(&msg.0))
    }
}

impl Handler<CancelJobs> for Jobs {
    type Result = ResponseFuture<Answered<CancelReply>>;

    fn handle(&mut self, msg: CancelJobs, _: &mut Context<Jobs>) -> Self::Result {
        let jobs = self.selected(&msg.0);
        let known = |id: &JobId| self.records.get(id).cloned();
        let jobs: Vec<_> = jobs
            .into_iter()
            .map(|id| (id.clone(), known(&id)))
            .collect();
        let store = self.store.clone();
        async move { cancel(&store, jobs).await }.boxed_local()
    }
}

impl Handler<ReadJobsState> for Jobs {
    type Result = actix::MessageResult<ReadJobsState>;

    fn handle(&mut self, _: ReadJobsState, _: &mut Context<Jobs>) -> Self::Result {
        let epoch = self.election.epoch();
        actix::MessageResult(JobsState {
            epoch,
            ready: self.bridge.is_ready(),
            held: self.bridge.is_held(),
            planner: epoch.map(|_| self.bridge.status()),
            counts: self.counts(),
            used: self.used(),
            guarantees: self.guarantees.clone(),
            records: self.records.len(),
        })
    }
}
