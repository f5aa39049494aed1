//! The daemon of a whole site's scheduler.
//!
//! Every daemon answers callers from the platform's store. One of them, the coordinator, holds a
//! lock there; it decides what runs where and gives the workers their orders.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::HttpResponse;
use base::Millis;
use conf::batch::BatchConfig;
use entry::Server;
use obs::Event;
use slog::Logger;
use tokio::sync::mpsc;

mod advice;
mod calls;
mod commit;
mod keys;
mod lead;
mod load;
mod looks;
mod peers;
mod pump;
mod shared;
mod upkeep;
mod views;

use shared::Shared;

use crate::daemon::DaemonError;

/// Path of the metrics at the operators' address.
const METRICS: &str = "/metrics";

/// Time in which the balancer notices that the daemon wants no new connections: two questions,
/// one a second, and the time for an answer.
const NOTICE: Millis = Millis(2_200);

/// Time kept of the stop's bound for closing the ports.
const CLOSE: Millis = Millis(1_500);

/// A running daemon.
pub struct BatchDaemon {
    shared: Rc<Shared>,
    server: Server,
    operators: Server,
}

impl BatchDaemon {
    /// Starts the daemon on the current arbiter.
    pub fn start(settings: BatchConfig, log: Logger) -> Result<BatchDaemon, DaemonError> {
        let shared = Rc::new(Shared::new(settings, log));
        let addresses = shared.settings.addresses;
        let (calls, taken) = mpsc::unbounded_channel();
        let ready = shared.ready.clone();
        let routes = move |app: &mut ServiceConfig| {
            let ready = ready.clone();
            platform::routes(app, calls.clone(), move || ready.is_ready());
        };
        let ports = [addresses.callers, addresses.ready];
        let server = listen("callers", &ports, CLOSE, routes)?;
        shared.callers.set(server.address());
        let metrics = shared.metrics.clone();
        let routes = move |app: &mut ServiceConfig| {
            let metrics = metrics.clone();
            let answer = move || std::future::ready(metrics_text(metrics.text()));
            app.route(METRICS, web::get().to(answer));
        };
        let operators = listen("operators", &[addresses.operators], CLOSE, routes)?;
        actix_rt::spawn(views::run(shared.clone()));
        actix_rt::spawn(lead::run(shared.clone()));
        actix_rt::spawn(calls::run(shared.clone(), taken));
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
            server,
            operators,
        })
    }

    /// Where it answers callers.
    pub fn callers(&self) -> SocketAddr {
        self.shared.callers.get()
    }

    /// The settings file has been read again. Addresses and bounds hold from the next start.
    pub fn reload(&self, settings: &BatchConfig) {
        let changed = *settings != self.shared.settings;
        obs::record(
            &self.shared.log,
            Event::SettingsReloaded,
            &[("changed", &changed)],
        );
    }

    /// Stops as planned: readiness goes first and the lock is given up, then the calls in
    /// progress are answered.
    pub async fn close(self) {
        let shared = self.shared;
        obs::record(&shared.log, Event::DaemonStopping, &[]);
        shared.ready.close();
        shared.stopping.set(true);
        lead::resign(&shared).await;
        let grace = shared.settings.bounds.stop.since(CLOSE + CLOSE);
        actix_rt::time::sleep(NOTICE.min(grace).duration()).await;
        self.server.close().await;
        self.operators.close().await;
        obs::record(&shared.log, Event::DaemonStopped, &[]);
    }
}

fn listen<F>(
    name: &'static str,
    addresses: &[SocketAddr],
    stop: Millis,
    routes: F,
) -> Result<Server, DaemonError>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    Server::start_on(addresses, stop, routes).map_err(|e| DaemonError::Port(name, addresses[0], e))
}

fn metrics_text(text: Result<String, std::fmt::Error>) -> HttpResponse {
    match text {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
