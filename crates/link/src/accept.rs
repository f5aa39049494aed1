//! Accepts links that peers dial.

use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::spawn;
use obs::record;
use obs::Event;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use crate::conn::Conn;
use crate::error::LinkError;
use crate::handshake::Hello;
use crate::handshake::Welcome;
use crate::shared::Shared;
use crate::socket;
use crate::socket::Socket;

/// Accepts links until the task is aborted.
pub(crate) async fn run(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shared = shared.clone();
                spawn(async move {
                    if let Err(error) = serve(&shared, stream).await {
                        shared.stats.ended.add(&[("why", error.label())], 1);
                        log_refused(&shared, from, &error);
                    }
                });
            }
            // Most likely out of file descriptors: wait until some are released.
            Err(_) => sleep(shared.config.keepalive_interval.duration()).await,
        }
    }
}

fn log_refused(shared: &Shared, from: SocketAddr, error: &LinkError) {
    if let Some(suppressed) = shared.refused_log.admit(shared.clock.now()) {
        let fields: [(&'static str, &dyn Display); 2] = [
            ("detail", &format_args!("{from}: {error}")),
            ("more", &suppressed),
        ];
        record(&shared.log, Event::LinkRefused, &fields);
    }
}

/// Performs the handshake with a dialing peer and runs the link until it ends.
async fn serve(shared: &Rc<Shared>, stream: TcpStream) -> Result<(), LinkError> {
    let limit = shared.config.connect_timeout.duration();
    let stranger = shared.strangers.add();
    let opened = select! {
        opened = timeout(limit, handshake(shared, stream)) => opened,
        () = stranger.ended() => return Err(LinkError::Crowded),
    };
    drop(stranger);
    let (mut socket, hello) = opened.map_err(|_| LinkError::Silent)??;
    let stop = match register(shared, &hello) {
        Ok(stop) => stop,
        Err(error) => {
            let _ = timeout(limit, socket::close(socket, &error)).await;
            return Err(error);
        }
    };
    let conn = Conn {
        shared: shared.clone(),
        vm: hello.vm.clone(),
        id: hello.link(),
        stop,
    };
    let welcomed = timeout(limit, send_welcome(shared, &mut socket)).await;
    match welcomed.unwrap_or(Err(LinkError::Silent)) {
        Ok(()) => conn.run(socket).await,
        Err(error) => shared.detach(&conn.vm, &conn.id, &error),
    }
    Ok(())
}

/// Upgrades the connection to a WebSocket and reads the first message.
async fn handshake(shared: &Rc<Shared>, stream: TcpStream) -> Result<(Socket, Hello), LinkError> {
    let _ = stream.set_nodelay(true);
    let config = socket::stranger_config();
    let accepted = accept_async_with_config(stream, Some(config)).await;
    let mut socket = accepted.map_err(|e| socket::link_error(&e))?;
    let data = match socket::receive(&mut socket).await {
        Ok(data) => data,
        Err(error) => {
            socket::close(socket, &error).await;
            return Err(error);
        }
    };
    match Hello::decode(&data) {
        Ok(hello) => Ok((socket::admit(socket, &shared.config).await, hello)),
        Err(error) => {
            socket::close(socket, &error).await;
            Err(error)
        }
    }
}

/// Checks the peer's hello and makes the link the active one of the peer. Returns the signal
/// that closes the link.
fn register(shared: &Rc<Shared>, hello: &Hello) -> Result<Rc<tokio::sync::Notify>, LinkError> {
    hello.check(&shared.config)?;
    shared.attach(&hello.vm, &hello.link(), hello.lost)
}

async fn send_welcome(shared: &Rc<Shared>, socket: &mut Socket) -> Result<(), LinkError> {
    let welcome = Welcome {
        vm: shared.config.vm.clone(),
        domain: shared.config.domain.clone(),
    };
    let data = welcome.encode()?;
    socket::send(socket, data).await
}
