//! Listening sockets.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Most new connections that wait to be accepted. The kernel drops the first packet of a further one,
/// which its client sends again after a second at the earliest.
const BACKLOG: i32 = 4_096;

/// Listens on an address for connections.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A restarted process can bind the port while connections of the one before are closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
