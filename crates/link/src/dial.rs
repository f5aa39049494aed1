//! Dials one peer whenever there is no link to it.

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
use crate::hello::Hello;
use crate::hello::Welcome;
use crate::hello::PROTOCOL;
use crate::shared::Shared;
use crate::socket;
use crate::socket::Socket;

/// Longest pause after the first failure.
const PAUSE_FIRST: Millis = Millis(50);

/// State of a peer that its dialer goes by.
enum Turn {
    Dial(SocketAddr, Option<u64>),
    Stop,
    Wait(Rc<Notify>),
}

/// Dials a peer whenever there is no link to it, until it is not to be dialed any more.
pub(crate) async fn run(shared: Rc<Shared>, vm: VmId) {
    let mut backoff = Backoff::new(PAUSE_FIRST, shared.config.pause);
    let patience = match shared.config.vm > vm {
        true => shared.config.patience,
        false => Millis::ZERO,
    };
    let mut waited = Millis::ZERO;
    loop {
        match turn(&shared, &vm) {
            Turn::Dial(..) if waited < patience => {
                sleep(patience.duration()).await;
                waited = patience;
            }
            Turn::Dial(addr, lost) => {
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
                let pause = backoff.next(shared.unit());
                sleep(pause.duration()).await;
            }
            Turn::Stop => return,
            Turn::Wait(ended) => ended.notified().await,
        }
    }
}

fn turn(shared: &Shared, vm: &VmId) -> Turn {
    let peers = shared.peers.borrow();
    let Some(peer) = peers.get(vm) else {
        return Turn::Stop;
    };
    match (peer.addr, &peer.link) {
        (None, _) => Turn::Stop,
        (Some(_), Some(_)) => Turn::Wait(peer.ended.clone()),
        (Some(addr), None) => Turn::Dial(addr, peer.lost),
    }
}

/// Makes a link and runs it until it ends.
async fn dial(
    shared: &Rc<Shared>,
    vm: &VmId,
    addr: SocketAddr,
    lost: Option<u64>,
) -> Result<(), LinkError> {
    let hello = Hello {
        version: PROTOCOL,
        site: shared.config.site.clone(),
        secret: shared.config.secret.clone(),
        vm: shared.config.vm.clone(),
        domain: shared.config.domain.clone(),
        number: shared.next_number(),
        lost,
    };
    let id = hello.link();
    let span = shared.config.connect.duration();
    let open = timeout(span, open(shared, addr, hello)).await;
    let (socket, welcome) = open.map_err(|_| LinkError::Silent)??;
    let attached = if welcome.vm == *vm {
        shared.attach(vm, &id, None)
    } else {
        Err(LinkError::WrongPeer(welcome.vm.to_string()))
    };
    let stop = match attached {
        Ok(stop) => stop,
        Err(error) => {
            let _ = timeout(span, socket::refuse(socket, &error)).await;
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

async fn open(
    shared: &Rc<Shared>,
    addr: SocketAddr,
    hello: Hello,
) -> Result<(Socket, Welcome), LinkError> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.map_err(|e| LinkError::Io(e.to_string()))?;
    let _ = stream.set_nodelay(true);
    let settings = socket::settings(&shared.config);
    let url = format!("ws://{addr}/");
    let opened = client_async_with_config(url, stream, Some(settings)).await;
    let (mut socket, _) = opened.map_err(|e| socket::failure(&e))?;
    let data = hello.encode()?;
    socket::send(&mut socket, data).await?;
    let data = socket::receive(&mut socket).await?;
    let welcome = Welcome::decode(&data)?;
    Ok((socket, welcome))
}
