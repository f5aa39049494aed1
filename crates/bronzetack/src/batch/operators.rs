//! Answers operators: the state of the site, of a job and of the workers.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::JobId;
use base::Millis;
use batch::Decision;
use batch::JobCounts;
use batch::JobOverview;
use batch::RunOverview;
use batch::SiteOverview;
use batch::StepOverview;
use batch::WorkerOverview;
use conf::api::CoordinatorStatus;
use conf::api::Grouping;
use conf::api::GuaranteeStatus;
use conf::api::JobCount;
use conf::api::Refusal;
use conf::api::SiteDecision;
use conf::api::SiteJob;
use conf::api::SiteRun;
use conf::api::SiteStatus;
use conf::api::SiteStep;
use conf::api::SiteWorker;
use conf::api::SiteWorkers;
use conf::api::WithheldRoom;
use conf::api::WorkerCount;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::batch::election;
use crate::batch::leadership::Leadership;
use crate::batch::shared::Shared;

/// Duration of an outage of the store from which it is an alarm. Shorter ones pass unnoticed.
const OUTAGE_ALARM: Millis = Millis(1_000);

/// A question of an operator.
#[derive(Clone, Debug)]
pub enum Question {
    /// A job and the decisions on it.
    Job(JobId),
    /// The site.
    Status,
    /// The workers.
    Workers,
}

/// Questions, each with where its answer goes.
pub type Questions = UnboundedSender<(Question, oneshot::Sender<HttpReply>)>;

/// Status and JSON body of an answer.
pub type HttpReply = (StatusCode, String);

/// Adds the routes for operators.
pub fn routes(app: &mut ServiceConfig, questions: Questions) {
    app.app_data(web::Data::new(questions))
        .route("/v1/site/status", web::get().to(status))
        .route("/v1/site/workers", web::get().to(workers))
        .route("/v1/site/jobs/{id}", web::get().to(job));
}

type Port = web::Data<Questions>;

async fn status(port: Port) -> HttpResponse {
    ask(&port, Question::Status).await
}

async fn workers(port: Port) -> HttpResponse {
    ask(&port, Question::Workers).await
}

async fn job(port: Port, path: web::Path<String>) -> HttpResponse {
    match path.parse() {
        Ok(id) => ask(&port, Question::Job(id)).await,
        Err(error) => {
            let why = format!("job id {:?}: {error}", path.as_str());
            http_response(refuse(StatusCode::BAD_REQUEST, &why))
        }
    }
}

async fn ask(port: &Questions, question: Question) -> HttpResponse {
    let (sender, answer) = oneshot::channel();
    let sent = port.send((question, sender)).is_ok();
    match answer.await {
        Ok(reply) if sent => http_response(reply),
        Ok(_) | Err(_) => {
            let why = "the daemon is stopping: ask another one";
            http_response(refuse(StatusCode::SERVICE_UNAVAILABLE, why))
        }
    }
}

fn http_response((status, body): HttpReply) -> HttpResponse {
    HttpResponse::build(status)
        .content_type("application/json")
        .body(body)
}

/// Answers questions until the server that receives them closes.
pub async fn run(
    shared: Rc<Shared>,
    mut questions: UnboundedReceiver<(Question, oneshot::Sender<HttpReply>)>,
) {
    while let Some((question, sender)) = questions.recv().await {
        let answer = match question {
            Question::Job(id) => site_job(&shared, &id).await,
            Question::Status => reply(&site_status(&shared)),
            Question::Workers => site_workers(&shared).await,
        };
        // An operator who has hung up needs no answer.
        drop(sender.send(answer));
    }
}

fn reply<T: Serialize>(value: &T) -> HttpReply {
    match serde_json::to_string(value) {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn refuse(status: StatusCode, why: &str) -> HttpReply {
    let body = serde_json::to_string(&Refusal::not_run(why));
    (status, body.unwrap_or_else(|e| e.to_string()))
}

/// Refuses a question that only the coordinator can answer, and names the coordinator.
async fn refer(shared: &Shared) -> HttpReply {
    let why = match election::holder(shared).await {
        Ok(Some(vm)) if vm == shared.settings.vm.as_str() => {
            "this daemon has just become the coordinator and reads the state of the site: ask again \
             in some seconds"
                .to_string()
        }
        Ok(Some(vm)) => format!("{} is not the coordinator: ask {vm}", shared.settings.vm),
        Ok(None) => "the site has no coordinator now: ask again in some seconds".to_string(),
        Err(error) => {
            shared.record_store_result(Err(&error));
            format!("the coordinator is not known, as the store does not answer: {error}")
        }
    };
    refuse(StatusCode::SERVICE_UNAVAILABLE, &why)
}

fn site_status(shared: &Shared) -> SiteStatus {
    let now = shared.now();
    let documents = shared.documents.borrow();
    let coordinator = shared.current_leadership();
    let coordinator = coordinator.map(|lead| coordinator_status(&lead, now));
    let mut status = SiteStatus {
        vm: shared.settings.vm.clone(),
        domain: shared.settings.domain.clone(),
        ready: shared.ready.is_ready(),
        alarms: Vec::new(),
        outage: shared.store_outage(),
        version: documents.catalog.as_ref().map(|c| c.version),
        age: now.since(documents.confirmed),
        daemons: shared.peers.borrow().len(),
        coordinator,
    };
    status.alarms = alarms(&status, shared.times.start_ages.documents);
    status
}

fn coordinator_status(lead: &Leadership, now: Millis) -> CoordinatorStatus {
    let scheduler = lead.scheduler.borrow();
    let site = scheduler.overview(now);
    let (entries, requests) = lead.confirmed.get();
    let mut workers: Vec<(&str, usize)> =
        site.workers.iter().map(|(u, n)| (u.name(), *n)).collect();
    workers.sort_unstable();
    let workers = workers.into_iter().map(|(state, count)| WorkerCount {
        state: state.to_string(),
        count,
    });
    CoordinatorStatus {
        epoch: scheduler.epoch(),
        elected: now.since(lead.elected),
        held: lead.held_since.get().map(|at| now.since(at)),
        entries: now.since(entries),
        requests: now.since(requests),
        workers: workers.collect(),
        accels: site.capacity.accels,
        free: site.free.accels,
        suspects: site.suspects.iter().map(|t| t.to_string()).collect(),
        jobs: job_counts(&site),
        guarantees: site
            .guarantees
            .into_iter()
            .map(|g| GuaranteeStatus {
                org: g.org,
                accels: g.accels,
                used: g.used,
            })
            .collect(),
    }
}

fn job_counts(site: &SiteOverview) -> Vec<JobCount> {
    let count = |by, name: String, counts: &JobCounts| JobCount {
        by,
        name,
        waiting: counts.waiting,
        running: counts.running,
    };
    let priorities = site.priorities.iter();
    let priorities = priorities.map(|(p, c)| count(Grouping::Priority, p.to_string(), c));
    let queues = site.queues.iter();
    let queues = queues.map(|(q, c)| count(Grouping::Queue, q.clone(), c));
    let orgs = site.orgs.iter();
    let orgs = orgs.map(|(o, c)| count(Grouping::Org, o.to_string(), c));
    let mut all: Vec<JobCount> = priorities.chain(queues).chain(orgs).collect();
    all.sort_by(|a, b| (a.by, &a.name).cmp(&(b.by, &b.name)));
    all
}

/// What needs attention, by the state that the daemon reports.
fn alarms(status: &SiteStatus, max_age: Millis) -> Vec<String> {
    let mut found = Vec::new();
    if status.version.is_none() {
        found.push("no configuration has been read yet".to_string());
    }
    if status.outage >= OUTAGE_ALARM {
        found.push(format!(
            "the store has not answered for {}: callers may be sent away",
            status.outage
        ));
    } else if status.version.is_some() && status.age > max_age {
        found.push(format!(
            "the configuration was last known to be current {} ago",
            status.age
        ));
    }
    if let Some(held) = status.coordinator.as_ref().and_then(|c| c.held) {
        found.push(format!("no runs have been started for {held}"));
    }
    found
}

async fn site_job(shared: &Shared, id: &JobId) -> HttpReply {
    let Some(lead) = shared.current_leadership() else {
        return refer(shared).await;
    };
    let now = shared.now();
    let wall = shared.clock.wall();
    let found = lead.scheduler.borrow().job_overview(id, now, wall);
    let Some(job) = found else {
        let why = format!("job {id} is not known: it was refused, never came, or ended long ago");
        return refuse(StatusCode::NOT_FOUND, &why);
    };
    let history = lead.history.borrow();
    let decisions = history.of(id).map(|d| decision(d, now));
    reply(&job_reply(id, job, decisions.collect()))
}

fn decision(decision: &Decision, now: Millis) -> SiteDecision {
    SiteDecision {
        age: now.since(decision.at),
        text: decision.text.clone(),
    }
}

fn job_reply(id: &JobId, job: JobOverview, decisions: Vec<SiteDecision>) -> SiteJob {
    SiteJob {
        job: id.clone(),
        phase: format!("{:?}", job.phase).to_lowercase(),
        queue: job.queue,
        org: job.org,
        priority: job.priority,
        age: job.age,
        objective: job.objective,
        steps: job.steps.into_iter().map(step_reply).collect(),
        runs: job.runs.into_iter().map(run_reply).collect(),
        decisions,
    }
}

fn step_reply(step: StepOverview) -> SiteStep {
    SiteStep {
        occurrence: step.occurrence,
        step: step.step,
        tasks: step.tasks,
        done: step.done,
        open: step.open,
        ready: step.ready,
        waiting: step.waiting,
        failures: step.failures,
        idle: step.idle,
        waits_for: step.waits_for.map(str::to_string),
        withheld: step
            .withheld
            .into_iter()
            .map(|(obstacle, tasks)| WithheldRoom {
                obstacle: obstacle.to_string(),
                tasks,
            })
            .collect(),
    }
}

fn run_reply(run: RunOverview) -> SiteRun {
    SiteRun {
        task: run.task.to_string(),
        run: run.run.0,
        worker: run.worker,
        phase: format!("{:?}", run.phase).to_lowercase(),
        percent: run.percent,
    }
}

async fn site_workers(shared: &Shared) -> HttpReply {
    let Some(lead) = shared.current_leadership() else {
        return refer(shared).await;
    };
    let all = lead.scheduler.borrow().worker_overviews(shared.now());
    reply(&SiteWorkers {
        workers: all.into_iter().map(worker_reply).collect(),
    })
}

fn worker_reply(worker: WorkerOverview) -> SiteWorker {
    SiteWorker {
        worker: worker.id,
        domain: worker.domain,
        rack: worker.rack,
        state: worker.usability.name().to_string(),
        heard: worker.heard,
        accels: worker.capacity.accels,
        free: worker.free.accels,
        runs: worker.runs,
        speed: worker.speed.map(|s| s.0),
    }
}
