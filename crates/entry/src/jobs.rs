//! Job routes, which the callers' and the operators' port share.

use actix::Recipient;
use actix_web::error::JsonPayloadError;
use actix_web::error::QueryPayloadError;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use base::JobId;
use base::JobSpec;
use conf::api::CancelRequest;
use conf::api::JobsQuery;

use crate::answer::call_service;
use crate::answer::error_response;
use crate::answer::flatten;
use crate::answer::malformed_call;
use crate::connections::is_out_of_memory;
use crate::connections::RETRY_AFTER_CLOSING;
use crate::ops::ApiError;
use crate::ops::CancelJobs;
use crate::ops::GetJob;
use crate::ops::ListJobs;
use crate::ops::SubmitJob;

/// Largest accepted JSON body in bytes.
const MAX_BODY: usize = 1 << 20;

/// Services for jobs.
#[derive(Clone)]
pub struct JobsPort {
    /// Submits a job.
    pub submit: Recipient<SubmitJob>,
    /// Reads a job.
    pub get: Recipient<GetJob>,
    /// Lists jobs.
    pub list: Recipient<ListJobs>,
    /// Cancels jobs.
    pub cancel: Recipient<CancelJobs>,
}

/// Adds the job routes, with the error answers for JSON bodies and queries of the whole port.
pub fn jobs_routes(app: &mut web::ServiceConfig, port: JobsPort) {
    let json = web::JsonConfig::default()
        .limit(MAX_BODY)
        .error_handler(|error, _| invalid_json(error));
    let query = web::QueryConfig::default().error_handler(|error, _| invalid_query(error));
    app.app_data(web::Data::new(port))
        .app_data(json)
        .app_data(query)
        .route("/v1/jobs", web::post().to(submit))
        .route("/v1/jobs", web::get().to(list))
        .route("/v1/jobs/cancel", web::post().to(cancel))
        .route("/v1/jobs/{id:.+}", web::get().to(get))
        .route("/v1/jobs/{id:.+}", web::delete().to(cancel_one));
}

/// The answer to a JSON body that is too large or malformed.
pub(crate) fn invalid_json(error: JsonPayloadError) -> actix_web::Error {
    let answer = match &error {
        JsonPayloadError::Overflow { .. } | JsonPayloadError::OverflowKnownLength { .. } => {
            let text = format!("the body is larger than {MAX_BODY} bytes");
            error_response(ApiError::not_run(413, text))
        }
        // An earlier send of the same call may have been executed.
        JsonPayloadError::Payload(payload) if is_out_of_memory(payload) => {
            let busy = ApiError::unknown(payload.to_string());
            error_response(busy.retry_after(RETRY_AFTER_CLOSING))
        }
        _ => malformed_call(&error),
    };
    actix_web::error::InternalError::from_response(error, answer).into()
}

/// The answer to a malformed query string.
pub(crate) fn invalid_query(error: QueryPayloadError) -> actix_web::Error {
    let answer = malformed_call(&error);
    actix_web::error::InternalError::from_response(error, answer).into()
}

async fn submit(port: web::Data<JobsPort>, spec: web::Json<JobSpec>) -> HttpResponse {
    match flatten(port.submit.send(SubmitJob(spec.into_inner())).await) {
        Ok(job) if job.created => HttpResponse::Created().json(job.info),
        Ok(job) => HttpResponse::Ok().json(job.info),
        Err(error) => error_response(error),
    }
}

async fn list(port: web::Data<JobsPort>, query: web::Query<JobsQuery>) -> HttpResponse {
    call_service(&port.list, ListJobs(query.into_inner()), StatusCode::OK).await
}

async fn cancel(port: web::Data<JobsPort>, call: web::Json<CancelRequest>) -> HttpResponse {
    call_service(&port.cancel, CancelJobs(call.into_inner()), StatusCode::OK).await
}

async fn get(port: web::Data<JobsPort>, path: web::Path<String>) -> HttpResponse {
    match path.parse::<JobId>() {
        Ok(id) => call_service(&port.get, GetJob(id), StatusCode::OK).await,
        Err(error) => malformed_call(error),
    }
}

async fn cancel_one(
    port: web::Data<JobsPort>,
    path: web::Path<String>,
    req: HttpRequest,
) -> HttpResponse {
    let job = match path.parse::<JobId>() {
        Ok(id) => id,
        Err(error) => return malformed_call(error),
    };
    let who = req
        .headers()
        .get("bt-operator")
        .and_then(|w| w.to_str().ok());
    let op = uuid::Uuid::new_v4().to_string().parse();
    let who = who.unwrap_or("caller").parse();
    let (Ok(op), Ok(who)) = (op, who) else {
        return malformed_call("bt-operator is not a name");
    };
    let call = CancelRequest {
        op,
        who,
        jobs: vec![job],
        org: None,
    };
    call_service(&port.cancel, CancelJobs(call), StatusCode::OK).await
}
