//! An HTTP server that handles requests on a thread of its own.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::HttpService;
use actix_rt::net::TcpStream;
use actix_server::ServerHandle;
use actix_service::fn_service;
use actix_service::map_config;
use actix_service::Service;
use actix_service::ServiceFactoryExt;
use actix_web::dev::AppConfig;
use actix_web::error::ErrorInternalServerError;
use actix_web::http::ConnectionType;
use actix_web::middleware;
use actix_web::web;
use actix_web::web::ServiceConfig;
use actix_web::App;
use actix_web::HttpResponse;
use base::Millis;
use futures_util::FutureExt;
use nix::sys::resource::getrlimit;
use nix::sys::resource::Resource;

use crate::answer::error_response;
use crate::connections::Connections;
use crate::exchange::Exchange;
use crate::ops::ApiError;
use crate::stream::ClientStream;
use crate::stream::CloseState;
use crate::stream::LAST_READ_TIME;

/// Time limit for a client to send the headers of a request.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Most open connections of one server.
const MAX_CONNECTIONS: usize = 4096;

/// Part of the descriptors of the process that the connections of one server may use. The rest is for
/// its own connections, to the store and to workers, and for other ports.
const DESCRIPTORS_SHARE: f64 = 0.5;

/// Time limit for a client to close its side of a connection that the server closes.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Text of the error of a request that came over no connection of a client.
const NO_EXCHANGE: &str = "the request has no connection";

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    close_state: CloseState,
    handle: ServerHandle,
}

impl Server {
    /// Binds `address` and serves `routes`, without a limit on the memory of connections.
    /// `stop_timeout` limits the graceful stop of [`Server::close`].
    pub fn start<F>(address: SocketAddr, stop_timeout: Millis, routes: F) -> std::io::Result<Server>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        Server::start_on(&[address], stop_timeout, &Connections::unlimited(), routes)
    }

    /// Like [`Server::start`], but listens on several addresses, all served by one thread, and counts its
    /// connections among `connections`. Fails if `addresses` is empty.
    pub fn start_on<F>(
        addresses: &[SocketAddr],
        stop_timeout: Millis,
        connections: &Connections,
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
        let close_state = CloseState::new();
        let state = close_state.clone();
        let connections = connections.clone();
        let service = move || {
            let closing = state.clone();
            let app = App::new()
                .wrap(middleware::DefaultHeaders::new().add(("server", "bronzetack")))
                .wrap_fn(move |mut request, service| {
                    let exchange = request.conn_data::<Rc<Exchange>>().cloned();
                    let open = exchange.map(|e| e.begin(&mut request));
                    let (closing, call) = (closing.clone(), service.call(request));
                    async move {
                        let open = open.ok_or_else(|| ErrorInternalServerError(NO_EXCHANGE))?;
                        let mut response = call.await?;
                        if closing.is_closing() || !open.is_complete() {
                            let head = response.response_mut().head_mut();
                            head.set_connection_type(ConnectionType::Close);
                        }
                        Ok(response.map_body(|_, body| open.respond(body)))
                    }
                })
                .configure(routes.clone())
                .default_service(web::to(unknown_path));
            let http = HttpService::build()
                .client_request_timeout(HEADERS_TIMEOUT)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .on_connect_ext(|stream: &ClientStream, data| {
                    data.insert(stream.exchange());
                })
                .h1(map_config(app, |()| AppConfig::default()));
            let (state, connections) = (state.clone(), connections.clone());
            let accept = move |stream: TcpStream| {
                let peer = stream.peer_addr().ok();
                let ticket = connections.open().map_err(DispatchError::Io);
                let accepted = ticket.map(|ticket| {
                    let exchange = Rc::new(Exchange::new(ticket));
                    (ClientStream::new(stream, state.clone(), exchange), peer)
                });
                std::future::ready(accepted)
            };
            fn_service(accept).and_then(http)
        };
        let mut server = actix_server::Server::build()
            .workers(1)
            .max_concurrent_connections(max_connections())
            .shutdown_timeout(stop_timeout.0.div_ceil(1000))
            .disable_signals();
        for listener in listeners {
            server = server.listen("http", listener, service.clone())?;
        }
        let mut server = server.run();
        let handle = server.handle();
        // The first poll starts its threads; an error would otherwise leave the ports without a server.
        if let Some(ended) = (&mut server).now_or_never() {
            ended?;
        }
        actix_rt::spawn(server);
        Ok(Server {
            address,
            close_state,
            handle,
        })
    }

    /// Address on which the server listens; the first one if there are several.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers the requests that have arrived, ends idle connections, and stops accepting new ones. Waits
    /// for the requests in progress, at most for the stop timeout. Returns the number of connections that
    /// ended with a request and without its response.
    pub async fn close(self) -> usize {
        self.close_state.begin();
        actix_rt::time::sleep(2 * LAST_READ_TIME.duration()).await;
        self.handle.stop(true).await;
        self.close_state.unanswered()
    }
}

/// Most open connections of one server of this process. Further ones wait in the kernel.
pub(crate) fn max_connections() -> usize {
    let share = |limit: u64| (limit as f64 * DESCRIPTORS_SHARE) as usize;
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| share(soft));
    // Without a limit that can be read, as on a system without them, the constant holds alone.
    limit.unwrap_or(MAX_CONNECTIONS).clamp(1, MAX_CONNECTIONS)
}

/// The answer to a path or method without a route.
async fn unknown_path() -> HttpResponse {
    error_response(ApiError::not_run(404, "no such path or method"))
}
