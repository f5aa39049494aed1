//! An HTTP server that handles requests on a thread of its own.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::middleware;
use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use base::Millis;
use futures_util::FutureExt;
use nix::sys::resource::getrlimit;
use nix::sys::resource::Resource;

use crate::answer::error_response;
use crate::ops::ApiError;

/// Time limit for a client to send the headers of a request.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Most open connections of one server.
const MAX_CONNECTIONS: usize = 4096;

/// Part of the descriptors of the process that the connections of one server may use. The rest is for
/// its own connections, to the store and to workers, and for other ports.
const DESCRIPTORS_SHARE: f64 = 0.5;

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds `address` and serves `routes`. `stop_timeout` limits the graceful stop of
    /// [`Server::close`].
    pub fn start<F>(address: SocketAddr, stop_timeout: Millis, routes: F) -> std::io::Result<Server>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        Server::start_on(&[address], stop_timeout, routes)
    }

    /// Like [`Server::start`], but listens on several addresses, all served by one thread. Fails if
    /// `addresses` is empty.
    pub fn start_on<F>(
        addresses: &[SocketAddr],
        stop_timeout: Millis,
        routes: F,
    ) -> std::io::Result<Server>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listeners: std::io::Result<Vec<TcpListener>> =
            addresses.iter().copied().map(base::listen).collect();
        let listeners = listeners?;
        let Some(first) = listeners.first() else {
            return Err(std::io::Error::from(std::io::ErrorKind::InvalidInput));
        };
        let address = first.local_addr()?;
        let app = move || {
            App::new()
                .wrap(middleware::DefaultHeaders::new().add(("server", "bronzetack")))
                .configure(routes.clone())
                .default_service(web::to(unknown_path))
        };
        let mut server = HttpServer::new(app)
            .workers(1)
            .max_connections(max_connections())
            .client_request_timeout(HEADERS_TIMEOUT)
            .shutdown_timeout(stop_timeout.0.div_ceil(1000))
            .disable_signals();
        for listener in listeners {
            server = server.listen(listener)?;
        }
        let mut server = server.run();
        let handle = server.handle();
        // The first poll starts its threads; an error would otherwise leave the ports without a server.
        if let Some(ended) = (&mut server).now_or_never() {
            ended?;
        }
        actix_rt::spawn(server);
        Ok(Server { address, handle })
    }

    /// Address on which the server listens; the first one if there are several.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for the requests in progress, at most for the stop
    /// timeout.
    pub async fn close(self) {
        self.handle.stop(true).await;
    }
}

/// Most open connections of one server of this process. Further ones wait in the kernel.
fn max_connections() -> usize {
    let share = |limit: u64| (limit as f64 * DESCRIPTORS_SHARE) as usize;
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| share(soft));
    // Without a limit that can be read, as on a system without them, the constant holds alone.
    limit.unwrap_or(MAX_CONNECTIONS).clamp(1, MAX_CONNECTIONS)
}

/// The answer to a path or method without a route.
async fn unknown_path() -> HttpResponse {
    error_response(ApiError::not_run(404, "no such path or method"))
}
