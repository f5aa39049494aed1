//! `tackctl site`: shows a site that is scheduled by daemons of `bronzetack batch`.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::JobId;
use base::Millis;
use conf::api::CoordinatorStatus;
use conf::api::SiteJob;
use conf::api::SiteStatus;
use conf::api::SiteStep;
use conf::api::SiteWorkers;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::Session;

pub const USAGE: &str = "\
Shows a site that daemons of `bronzetack batch` schedule. Only the coordinator knows jobs and
workers; another daemon names it.

Usage: tackctl site status
       tackctl site job ID
       tackctl site workers [--state STATE]

Example:
    tackctl site job 5c0e7a21d94b36f8 --at 10.0.0.7:7000 --at 10.0.0.8:7000";

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
        /// Shows a job and why it waits, was stopped or failed.
        cmd job {
            /// Id of the job.
            required id: JobId
        }
        /// Shows the site, alarms first.
        cmd status {}
        /// Lists the workers.
        cmd workers {
            /// Lists only the workers in this state.
            optional --state state: String
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    match args.subcommand {
        ArgsCmd::Job(job) => {
            let reply: SiteJob = session
                .client
                .get(&format!("/v1/site/jobs/{}", job.id), &())?;
            session.print(&reply, job_text)?;
        }
        ArgsCmd::Status(_) => {
            let reply: SiteStatus = session.client.get("/v1/site/status", &())?;
            session.print(&reply, status_text)?;
        }
        ArgsCmd::Workers(workers) => {
            let mut reply: SiteWorkers = session.client.get("/v1/site/workers", &())?;
            if let Some(state) = workers.state {
                reply.workers.retain(|w| w.state == state);
            }
            session.print(&reply, workers_text)?;
        }
    }
    Ok(())
}

fn status_text(status: &SiteStatus) -> String {
    let mut text = String::new();
    for alarm in &status.alarms {
        text += &format!("alarm: {alarm}\n");
    }
    let ready = if status.ready { "ready" } else { "not ready" };
    let version = render::or_dash(&status.version);
    text += &format!(
        "{} in {}: {ready}; configuration {version}, known to be current {} ago; {} other daemons\n",
        status.vm, status.domain, status.age, status.daemons
    );
    match &status.coordinator {
        Some(coordinator) => text + "\n" + &coordinator_text(coordinator),
        None => text + "not the coordinator\n",
    }
}

fn coordinator_text(status: &CoordinatorStatus) -> String {
    let mut text = format!(
        "coordinator for {}, epoch {}; {} of {} accelerators free; workers' entries known to be current \
         {} ago, callers' requests {} ago\n\n",
        status.elected, status.epoch, status.free, status.accels, status.entries, status.requests
    );
    let workers = status.workers.iter();
    let workers = workers.map(|w| vec![w.state.clone(), w.count.to_string()]);
    text += &render::table(&["WORKERS", "COUNT"], &workers.collect::<Vec<_>>());
    let jobs = status.jobs.iter().map(|j| {
        vec![
            format!("{:?}", j.by).to_lowercase(),
            j.name.clone(),
            j.waiting.to_string(),
            j.running.to_string(),
        ]
    });
    let header = ["JOBS BY", "NAME", "WAITING", "RUNNING"];
    text += &format!("\n{}", render::table(&header, &jobs.collect::<Vec<_>>()));
    let guarantees = status
        .guarantees
        .iter()
        .map(|g| vec![g.org.to_string(), g.accels.to_string(), g.used.to_string()]);
    let header = ["GUARANTEE", "ACCELS", "USED"];
    let guarantees = guarantees.collect::<Vec<_>>();
    text += &format!("\n{}", render::table(&header, &guarantees));
    if !status.suspects.is_empty() {
        let tasks = status.suspects.join(" ");
        text += &format!("\nworkers were lost under these tasks: {tasks}\n");
    }
    text
}

fn job_text(job: &SiteJob) -> String {
    let org = render::or_dash(&job.org);
    let mut text = format!(
        "job {}: {}; queue {}, organisation {org}, priority {}; accepted {} ago, objective {}\n",
        job.job, job.phase, job.queue, job.priority, job.age, job.objective
    );
    for step in &job.steps {
        let state = match (step.ready, &step.waiting) {
            (false, _) => "waits for earlier steps".to_string(),
            (true, Some(waiting)) => format!("has been waiting for resources for {waiting}"),
            (true, None) => "is placed".to_string(),
        };
        text += &format!(
            "step {} of occurrence {} {state}: {} of {} tasks done, {} placed, {} failures\n",
            step.step, step.occurrence, step.done, step.tasks, step.open, step.failures
        );
        if let Some(idle) = step.idle {
            text += &idle_text(idle, step);
        }
    }
    if !job.runs.is_empty() {
        let runs = job.runs.iter().map(|r| {
            vec![
                r.task.clone(),
                r.run.to_string(),
                r.worker.to_string(),
                r.phase.clone(),
                format!("{}%", r.percent),
            ]
        });
        let header = ["TASK", "RUN", "WORKER", "STATE", "PROGRESS"];
        text += &format!("\n{}", render::table(&header, &runs.collect::<Vec<_>>()));
    }
    let decisions = job.decisions.iter();
    let decisions = decisions.map(|d| vec![format!("{} ago", d.age), d.text.clone()]);
    let table = render::table(&["DECIDED", "DECISION"], &decisions.collect::<Vec<_>>());
    text + "\n" + &table
}

/// Since when a step has had nothing running, and what keeps it from room.
fn idle_text(idle: Millis, step: &SiteStep) -> String {
    let stage = step.waits_for.as_deref().unwrap_or("nothing known");
    let mut text = format!("  nothing running for {idle}, waits for {stage}\n");
    for room in &step.withheld {
        text += &format!(
            "  {} of its tasks would fit on usable workers, kept from it: {}\n",
            room.tasks, room.obstacle
        );
    }
    text
}

fn workers_text(reply: &SiteWorkers) -> String {
    let rows = reply.workers.iter().map(|w| {
        vec![
            w.worker.to_string(),
            w.domain.to_string(),
            render::or_dash(&w.rack),
            w.state.clone(),
            w.heard.to_string(),
            w.accels.to_string(),
            w.free.to_string(),
            w.runs.to_string(),
            w.speed
                .map_or("-".to_string(), |percent| format!("{percent}%")),
        ]
    });
    let header = [
        "WORKER", "DOMAIN", "RACK", "STATE", "HEARD", "ACCELS", "FREE", "RUNS", "SPEED",
    ];
    render::table(&header, &rows.collect::<Vec<_>>())
}
