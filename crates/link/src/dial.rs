//! Dials a peer while there is no link to it.

use std::net::SocketAddr;
use std::rc::Rc;

use base::Backoff;
use base::Millis;
use base::VmId;
use obs::emit;
use obs::Event;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::client_async_with_config;

use crate::conn::Conn;
use crate::error::LinkError;
use crate::handshake::Hello;
use crate::handshake::Welcome;
use crate::handshake::PROTOCOL_VERSION;
use crate::shared::Shared;
use crate::socket;
use crate::socket::Socket;

/// Longest backoff after the first failure.
const FIRST_BACKOFF: Millis = Millis(50);

/// What the dialer of a peer does next.
enum NextStep {
    /// Dial the address, reporting the number of the last link that ended.
    Dial(SocketAddr, Option<u64>),
    /// End the dialer, because the peer was removed.
    Stop,
    /// Wait until the current link ends.
    Wait(Rc<Notify>),
}

/// Dials a peer while there is no link to it, until the peer is removed. The VM with the higher id
/// lets the other one dial first, so that the two rarely dial at the same time.
pub(crate) async fn run(shared: Rc<Shared>, vm: VmId) {
    let mut backoff = Backoff::new(FIRST_BACKOFF, shared.config.max_backoff);
    let delay = match shared.config.vm > vm {
        true => shared.config.dial_delay,
        false => Millis::ZERO,
    };
    let mut waited = Millis::ZERO;
    loop {
        match next_step(&shared, &vm) {
            NextStep::Dial(..) if waited < delay => {
                sleep(delay.duration()).await;
                waited = delay;
            }
            NextStep::Dial(addr, lost) => {
                waited = Millis::ZERO;
                shared.stats.dials.add(&[], 1);
                match dial(&shared, &vm, addr, lost).await {
                    Ok(()) => backoff.reset(),
                    Err(error) => {
                        let detail = format!("{vm} at {addr}: {error}");
                        emit(&shared.log, Event::LinkDown, &detail);
                        shared.stats.ended.add(&[("why", error.label())], 1);
                    }
                }
                let pause = backoff.next(shared.random_fraction());
                sleep(pause.duration()).await;
            }
            NextStep::Stop => return,
            NextStep::Wait(ended) => ended.notified().await,
        }
    }
}

fn next_step(shared: &Shared, vm: &VmId) -> NextStep {
    let peers = shared.peers.borrow();
    let Some(peer) = peers.get(vm) else {
        return NextStep::Stop;
    };
    match (peer.addr, &peer.link) {
        (None, _) => NextStep::Stop,
        (Some(_), Some(_)) => NextStep::Wait(peer.link_ended.clone()),
        (Some(addr), None) => NextStep::Dial(addr, peer.lost),
    }
}

/// Establishes a link and runs it until it ends.
async fn dial(
    shared: &Rc<Shared>,
    vm: &VmId,
    addr: SocketAddr,
    lost: Option<u64>,
) -> Result<(), LinkError> {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        site: shared.config.site.clone(),
        secret: shared.config.secret.clone(),
        vm: shared.config.vm.clone(),
        domain: shared.config.domain.clone(),
        number: shared.next_dial_number(),
        lost,
    };
    let id = hello.link();
    let limit = shared.config.connect_timeout.duration();
    let opened = timeout(limit, handshake(shared, addr, hello)).await;
    let (socket, welcome) = opened.map_err(|_| LinkError::Silent)??;
    let attached = if welcome.vm == *vm {
        shared.attach(vm, &id, None)
    } else {
        Err(LinkError::WrongPeer(welcome.vm.to_string()))
    };
    let stop = match attached {
        Ok(stop) => stop,
        Err(error) => {
            let _ = timeout(limit, socket::close(socket, &error)).await;
            return Err(error);
        }
    };
    let conn = Conn {
        shared: shared.clone(),
        vm: vm.clone(),
        id,
        stop,
    };
    conn.run(socket).await;
    Ok(())
}

/// Opens a WebSocket to the address and exchanges the handshake messages.
async fn handshake(
    shared: &Rc<Shared>,
    addr: SocketAddr,
    hello: Hello,
) -> Result<(Socket, Welcome), LinkError> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.map_err(|e| LinkError::Io(e.to_string()))?;
    let _ = stream.set_nodelay(true);
    let config = socket::websocket_config(&shared.config);
    let url = format!("ws://{addr}/");
    let opened = client_async_with_config(url, stream, Some(config)).await;
    let (mut socket, _) = opened.map_err(|e| socket::link_error(&e))?;
    let data = hello.encode()?;
    socket::send(&mut socket, data).await?;
    let data = socket::receive(&mut socket).await?;
    let welcome = Welcome::decode(&data)?;
    Ok((socket, welcome))
}
