//! Routes of the operators' port: settings, status, workers, jobs, metrics and health.

use actix::Recipient;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::HttpResponse;
use base::DomainId;
use conf::api::DomainRequest;
use conf::api::HistoryQuery;
use conf::api::SettingsQuery;
use conf::api::SettingsRequest;
use conf::api::ShapesQuery;
use conf::api::WorkersQuery;
use obs::Metrics;

use crate::answer::call_service;
use crate::answer::malformed_call;
use crate::jobs::jobs_routes;
use crate::jobs::JobsPort;
use crate::ops::ChangeSettings;
use crate::ops::ExplainSetting;
use crate::ops::ReadHistory;
use crate::ops::ReadOrgs;
use crate::ops::ReadSettings;
use crate::ops::ReadShapes;
use crate::ops::ReadStatus;
use crate::ops::ReadWorkers;
use crate::ops::SetDomain;
use crate::ready::Ready;

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Services and state that the handlers of the operators' port use.
#[derive(Clone)]
pub struct OperatorsPort {
    /// Services for jobs.
    pub jobs: JobsPort,
    /// Reads the settings in force.
    pub settings: Recipient<ReadSettings>,
    /// Explains where the value of a setting comes from.
    pub explain: Recipient<ExplainSetting>,
    /// Lists past changes of settings.
    pub history: Recipient<ReadHistory>,
    /// Changes settings.
    pub change: Recipient<ChangeSettings>,
    /// Takes failure domains out of service and back into service.
    pub domain: Recipient<SetDomain>,
    /// Lists organisations.
    pub orgs: Recipient<ReadOrgs>,
    /// Lists guaranteed shapes.
    pub shapes: Recipient<ReadShapes>,
    /// Lists workers.
    pub workers: Recipient<ReadWorkers>,
    /// Reads the state of the site.
    pub status: Recipient<ReadStatus>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Whether the daemon wants new connections from load balancers.
    pub ready: Ready,
}

/// Adds the routes of the operators' port.
pub fn operators_routes(app: &mut web::ServiceConfig, port: OperatorsPort) {
    jobs_routes(app, port.jobs.clone());
    app.app_data(web::Data::new(port))
        .route("/metrics", web::get().to(metrics))
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(ready))
        .route("/v1/status", web::get().to(status))
        .route("/v1/settings", web::get().to(settings))
        .route("/v1/settings", web::post().to(change))
        .route("/v1/settings/explain", web::get().to(explain))
        .route("/v1/settings/history", web::get().to(history))
        .route("/v1/domains/{domain:.+}/out", web::post().to(domain_out))
        .route("/v1/domains/{domain:.+}/back", web::post().to(domain_back))
        .route("/v1/orgs", web::get().to(orgs))
        .route("/v1/shapes", web::get().to(shapes))
        .route("/v1/workers", web::get().to(workers));
}

type Port = web::Data<OperatorsPort>;

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive")
}

async fn ready(port: Port) -> HttpResponse {
    match port.ready.is_ready() {
        true => HttpResponse::Ok().body("ready"),
        false => HttpResponse::ServiceUnavailable().body("not ready"),
    }
}

async fn metrics(port: Port) -> HttpResponse {
    match port.metrics.text() {
        Ok(text) => HttpResponse::Ok()
            .content_type(METRICS_CONTENT_TYPE)
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn status(port: Port) -> HttpResponse {
    call_service(&port.status, ReadStatus, StatusCode::OK).await
}

async fn settings(port: Port, query: web::Query<SettingsQuery>) -> HttpResponse {
    call_service(
        &port.settings,
        ReadSettings(query.into_inner()),
        StatusCode::OK,
    )
    .await
}

async fn explain(port: Port, query: web::Query<SettingsQuery>) -> HttpResponse {
    call_service(
        &port.explain,
        ExplainSetting(query.into_inner()),
        StatusCode::OK,
    )
    .await
}

async fn history(port: Port, query: web::Query<HistoryQuery>) -> HttpResponse {
    call_service(
        &port.history,
        ReadHistory(query.into_inner()),
        StatusCode::OK,
    )
    .await
}

async fn change(port: Port, call: web::Json<SettingsRequest>) -> HttpResponse {
    call_service(
        &port.change,
        ChangeSettings(call.into_inner()),
        StatusCode::OK,
    )
    .await
}

async fn domain_out(
    port: Port,
    path: web::Path<String>,
    call: web::Json<DomainRequest>,
) -> HttpResponse {
    set_domain(port, &path, true, call.into_inner()).await
}

async fn domain_back(
    port: Port,
    path: web::Path<String>,
    call: web::Json<DomainRequest>,
) -> HttpResponse {
    set_domain(port, &path, false, call.into_inner()).await
}

async fn set_domain(port: Port, domain: &str, out: bool, call: DomainRequest) -> HttpResponse {
    match domain.parse::<DomainId>() {
        Ok(domain) => {
            call_service(
                &port.domain,
                SetDomain { domain, out, call },
                StatusCode::OK,
            )
            .await
        }
        Err(error) => malformed_call(error),
    }
}

async fn orgs(port: Port) -> HttpResponse {
    call_service(&port.orgs, ReadOrgs, StatusCode::OK).await
}

async fn shapes(port: Port, query: web::Query<ShapesQuery>) -> HttpResponse {
    call_service(&port.shapes, ReadShapes(query.into_inner()), StatusCode::OK).await
}

async fn workers(port: Port, query: web::Query<WorkersQuery>) -> HttpResponse {
    call_service(
        &port.workers,
        ReadWorkers(query.into_inner()),
        StatusCode::OK,
    )
    .await
}
