//! An HTTP server whose handlers run on a thread of their own.

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

use crate::answer::refuse;
use crate::ops::Refused;

/// Longest time for a caller to send its headers.
const HEAD_MAX: Duration = Duration::from_secs(10);

/// Connections that one port accepts.
const CONNECTIONS: usize = 4096;

/// A running server.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds `address` and serves `routes`. `stop` bounds a graceful stop.
    pub fn start<F>(address: SocketAddr, stop: Millis, routes: F) -> std::io::Result<Server>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        Server::start_on(&[address], stop, routes)
    }

    /// As [`Server::start`] on several addresses, all served by one thread. At least one.
    pub fn start_on<F>(addresses: &[SocketAddr], stop: Millis, routes: F) -> std::io::Result<Server>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listeners: std::io::Result<Vec<TcpListener>> =
            addresses.iter().map(TcpListener::bind).collect();
        let listeners = listeners?;
        let Some(first) = listeners.first() else {
            return Err(std::io::Error::from(std::io::ErrorKind::InvalidInput));
        };
        let address = first.local_addr()?;
        let app = move || {
            App::new()
                .wrap(middleware::DefaultHeaders::new().add(("server", "bronzetack")))
                .configure(routes.clone())
                .default_service(web::to(no_path))
        };
        let mut server = HttpServer::new(app)
            .workers(1)
            .max_connections(CONNECTIONS)
            .client_request_timeout(HEAD_MAX)
            .shutdown_timeout(stop.0.div_ceil(1000))
            .disable_signals();
        for listener in listeners {
            server = server.listen(listener)?;
        }
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Server { address, handle })
    }

    /// Where it listens; the first address if there are several.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests in progress finish within the bound, and ends.
    pub async fn close(self) {
        self.handle.stop(true).await;
    }
}

/// The answer to a path or method that no route has.
async fn no_path() -> HttpResponse {
    refuse(Refused::not_run(404, "no such path or method"))
}
