//! A daemon of the batch scheduler of a whole site.
//!
//! Every daemon answers callers from the platform's store. One of them, the coordinator, holds a
//! lock in the store: it places the jobs and sends requests to the workers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::Millis;
use conf::batch::BatchConfig;
use entry::Connections;
use entry::Server;
use futures_util::future::join;
use obs::Event;
use platform::OpenCalls;
use slog::Logger;
use tokio::sync::mpsc;

mod advice;
mod audit;
mod calls;
mod carrier;
mod commit;
mod decisions;
mod delegates;
mod dispatch;
mod documents;
mod election;
mod ends;
mod keeper;
mod keys;
mod leadership;
mod load;
mod local;
mod lock_view;
mod operators;
mod orgs;
mod peers;
mod poll;
mod removal;
mod restore;
mod shared;
mod speeds;
mod upkeep;
mod waits;

use shared::Shared;

use crate::daemon::DaemonError;

/// HTTP path of the metrics on the operators' address.
const METRICS_PATH: &str = "/metrics";

/// Time after which the load balancer has seen that the daemon is not ready: two health checks, one
/// a second, and the time for a response.
const DRAIN_TIME: Millis = Millis(2_200);

/// Longest time for the servers to close, which look once a second whether they may.
const CLOSE_TIMEOUT: Millis = Millis(2_000);

/// Part of the bound on a planned stop that is left for the end of the process.
const STOP_MARGIN: Millis = Millis(500);

/// Time between two looks at the calls in progress.
const CALLS_POLL_INTERVAL: Millis = Millis(20);

/// A running daemon: its servers, and the state shared by its tasks.
pub struct BatchDaemon {
    shared: Rc<Shared>,
    open_calls: Arc<OpenCalls>,
    server: Server,
    operators: Server,
}

impl BatchDaemon {
    /// Opens the ports and starts the daemon's tasks on the current arbiter.
    pub fn start(settings: BatchConfig, log: Logger) -> Result<BatchDaemon, DaemonError> {
        let shared = Rc::new(Shared::new(settings, log));
        let addresses = shared.settings.addresses;
        let (calls, received) = mpsc::unbounded_channel();
        let ready = shared.ready.clone();
        let open_calls: Arc<OpenCalls> = Arc::default();
        let open = open_calls.clone();
        let routes = move |app: &mut ServiceConfig| {
            let ready = ready.clone();
            platform::routes(app, calls.clone(), open.clone(), move || ready.is_ready());
        };
        let memory = shared.settings.resources.memory;
        let max_body = platform::MAX_BODY_BYTES;
        let connections = Connections::new(memory, max_body, shared.log.clone(), &shared.metrics);
        let ports = [addresses.callers, addresses.ready];
        let server = listen("callers", &ports, &connections, routes)?;
        shared.callers.set(server.address());
        let metrics = shared.metrics.clone();
        let (questions, asked) = mpsc::unbounded_channel();
        let routes = move |app: &mut ServiceConfig| {
            let metrics = metrics.clone();
            let answer = move || std::future::ready(metrics_text(metrics.text()));
            app.route(METRICS_PATH, web::get().to(answer));
            operators::routes(app, questions.clone());
        };
        let ports = [addresses.operators];
        let operators = listen("operators", &ports, &connections, routes)?;
        carrier::listen(&shared)?;
        actix_rt::spawn(documents::run(shared.clone()));
        actix_rt::spawn(election::run(shared.clone()));
        actix_rt::spawn(calls::run(shared.clone(), received));
        actix_rt::spawn(calls::watch_stalls(shared.clone()));
        actix_rt::spawn(operators::run(shared.clone(), asked));
        actix_rt::spawn(peers::run(shared.clone()));
        obs::record(
            &shared.log,
            Event::DaemonStarted,
            &[
                ("callers", &addresses.callers),
                ("store", &shared.settings.store.address),
            ],
        );
        Ok(BatchDaemon {
            shared,
            open_calls,
            server,
            operators,
        })
    }

    /// Address at which it answers callers, with the port that was bound.
    pub fn callers(&self) -> SocketAddr {
        self.shared.callers.get()
    }

    /// Address at which it answers operators, with the port that was bound.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The metrics in the text format of their HTTP endpoint.
    pub fn metrics(&self) -> Result<String, std::fmt::Error> {
        self.shared.metrics.text()
    }

    /// Logs whether the settings file, which has been read again, has changed. Changes take effect
    /// at the next start.
    pub fn reload(&self, settings: &BatchConfig) {
        let changed = *settings != self.shared.settings;
        obs::record(
            &self.shared.log,
            Event::SettingsReloaded,
            &[("changed", &changed)],
        );
    }

    /// Stops as planned: withdraws readiness, releases the lock, and finishes the calls in progress.
    /// New calls are answered until then; once the servers close, nothing listens. Logs how many callers'
    /// connections ended with a call and without its answer.
    pub async fn close(self) {
        let shared = self.shared;
        let begun = shared.now();
        obs::record(&shared.log, Event::DaemonStopping, &[]);
        shared.ready.close();
        shared.stopping.set(true);
        self.open_calls.begin_close();
        leadership::resign(&shared).await;
        carrier::announce_stop(&shared);
        let bound = shared.settings.bounds.stop;
        let grace = bound.since(CLOSE_TIMEOUT + STOP_MARGIN);
        let drained = begun + DRAIN_TIME.min(grace);
        shared.sleep(drained.since(shared.now())).await;
        while self.open_calls.count() > 0 && shared.now() < begun + grace {
            shared.sleep(CALLS_POLL_INTERVAL).await;
        }
        let (unanswered, _) = join(self.server.close(), self.operators.close()).await;
        let links = shared.links.borrow_mut().take();
        if let Some(links) = links {
            links.close().await;
        }
        let took = shared.now().since(begun);
        obs::record(
            &shared.log,
            Event::DaemonStopped,
            &[("unanswered", &unanswered), ("took", &took)],
        );
    }
}

fn listen<F>(
    name: &'static str,
    addresses: &[SocketAddr],
    connections: &Connections,
    routes: F,
) -> Result<Server, DaemonError>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    Server::start_on(addresses, CLOSE_TIMEOUT, connections, routes)
        .map_err(|e| DaemonError::Port(name, addresses[0], e))
}

fn metrics_text(text: Result<String, std::fmt::Error>) -> HttpResponse {
    match text {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
