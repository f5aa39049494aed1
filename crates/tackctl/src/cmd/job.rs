//! `tackctl job`: submits, shows, lists and cancels jobs.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::Accels;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::JobId;
use base::JobKind;
use base::JobSpec;
use base::Millis;
use base::OrgId;
use base::Outcome;
use base::Shape;
use conf::api::CancelReply;
use conf::api::CancelRequest;
use conf::api::JobInfo;
use conf::api::JobPhase;
use conf::api::JobsQuery;
use conf::api::JobsReply;
use conf::tree::OpId;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::operation_id;
use crate::session::parse_spread;
use crate::session::Session;

pub const USAGE: &str = "\
Submits, shows, lists and cancels jobs.

Usage: tackctl job submit ID --org ORG --kind KIND --tasks N --accels N --length MS [OPTIONS]
       tackctl job get ID
       tackctl job list [--org ORG] [--phase PHASE] [--after ID] [--limit N]
       tackctl job cancel ID...
       tackctl job cancel --org ORG

    --length MS     Declared run time
    --cores N       Cores of each task
    --memory BYTES  Memory of each task
    --spread WORD   How far apart tasks may be: domain, rack or worker. Default: domain
    --domain DOMAIN Failure domain in which the job must run
    --urgent        Scheduled before jobs that are not urgent
    --idempotent    May be started again after an attempt that has run
    --checkpoint    The tasks can write checkpoints
    --payload TEXT  Passed to each task; the worker defines its format
    --op ID         Repeats a cancellation with this id

Submitting a job again with the same id does not create a second job. With --org, cancel
cancels all jobs of the organisation that have not ended.

Example:
    tackctl job submit recon-17 --org ledger --kind recon --tasks 4 --accels 8 --length 3600s";

xflags::xflags! {
    cmd args {
        /// Operators' port of a daemon; repeat it to name fallbacks.
        repeated --at at: SocketAddr
        /// Prints JSON.
        optional --json
        /// Timeout of the call to each daemon.
        optional --timeout timeout: Millis
        /// Operator recorded with a change.
        optional --who who: Operator
        /// Submits a job.
        cmd submit {
            required --org org: OrgId
            required --kind kind: JobKind
            required --tasks tasks: u32
            required --accels accels: Accels
            required --length length: Millis
            optional --cores cores: Cores
            optional --memory memory: Bytes
            optional --spread spread: String
            optional --domain domain: DomainId
            optional --urgent
            optional --idempotent
            optional --checkpoint
            optional --payload payload: String
            required id: JobId
        }
        /// Shows a job.
        cmd get {
            required id: JobId
        }
        /// Lists jobs by id.
        cmd list {
            optional --org org: OrgId
            optional --phase phase: JobPhase
            optional --after after: JobId
            optional --limit limit: usize
        }
        /// Cancels jobs.
        cmd cancel {
            optional --org org: OrgId
            optional --op op: OpId
            repeated ids: JobId
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    match args.subcommand {
        ArgsCmd::Submit(submit) => submit_job(&session, submit),
        ArgsCmd::Get(get) => {
            let path = format!("/v1/jobs/{}", get.id);
            let reply: JobInfo = session.client.get(&path, &())?;
            session.print(&reply, text)?;
            Ok(())
        }
        ArgsCmd::List(list) => list_jobs(&session, list),
        ArgsCmd::Cancel(cancel) => cancel_jobs(&session, cancel),
    }
}

fn submit_job(session: &Session, submit: Submit) -> Result<(), Failure> {
    let spec = JobSpec {
        id: submit.id,
        org: submit.org,
        kind: submit.kind,
        shape: Shape {
            tasks: submit.tasks,
            accels: submit.accels,
            cores: submit.cores.unwrap_or_default(),
            memory: submit.memory.unwrap_or_default(),
            spread: parse_spread(submit.spread.as_deref())?,
        },
        length: submit.length,
        domain: submit.domain,
        urgent: submit.urgent,
        idempotent: submit.idempotent,
        checkpoint: submit.checkpoint,
        payload: submit.payload.unwrap_or_default(),
    };
    let reply: JobInfo = session.client.post("/v1/jobs", &spec)?;
    session.print(&reply, text)?;
    Ok(())
}

fn list_jobs(session: &Session, list: List) -> Result<(), Failure> {
    let query = JobsQuery {
        org: list.org,
        phase: list.phase,
        after: list.after,
        limit: list.limit,
    };
    let reply: JobsReply = session.client.get("/v1/jobs", &query)?;
    session.print(&reply, |reply| {
        let more = if reply.more {
            "more with --after\n"
        } else {
            ""
        };
        table(&reply.jobs) + more
    })?;
    Ok(())
}

fn cancel_jobs(session: &Session, cancel: Cancel) -> Result<(), Failure> {
    if cancel.ids.is_empty() == cancel.org.is_none() {
        let text = format!("name jobs or --org, one of both\n\n{USAGE}");
        return Err(Failure::Usage(text));
    }
    let request = CancelRequest {
        op: operation_id(cancel.op)?,
        who: session.who.clone(),
        jobs: cancel.ids,
        org: cancel.org,
    };
    let reply: CancelReply = session.send_change("/v1/jobs/cancel", &request, &request.op)?;
    session.print(&reply, |reply| {
        format!(
            "cancelled: {}\nhad ended: {}\nmissing: {}\n",
            render::comma_list(&reply.cancelled),
            render::comma_list(&reply.ended),
            render::comma_list(&reply.missing)
        )
    })?;
    if reply.missing.is_empty() {
        return Ok(());
    }
    let text = "some jobs do not exist".to_string();
    Err(Failure::Incomplete(Outcome::NotRun, text))
}

fn text(job: &JobInfo) -> String {
    let mut text = table(std::slice::from_ref(job));
    for place in &job.places {
        let last = place.first + place.count.0.max(1) - 1;
        text += &format!(
            "task {} on {}, accelerators {} to {last}\n",
            place.task, place.worker, place.first
        );
    }
    text
}

fn table(jobs: &[JobInfo]) -> String {
    let rows = jobs.iter().map(|j| {
        vec![
            j.spec.id.to_string(),
            j.spec.org.to_string(),
            j.phase.to_string(),
            render::or_dash(&j.domain),
            j.attempt.to_string(),
            format!("{}x{}", j.spec.shape.tasks, j.spec.shape.accels),
            render::or_dash(&j.expected),
            j.reason.clone(),
        ]
    });
    let header = [
        "JOB", "ORG", "PHASE", "DOMAIN", "ATTEMPT", "SHAPE", "EXPECTED", "REASON",
    ];
    render::table(&header, &rows.collect::<Vec<_>>())
}
