//! WebSocket helpers: configuration, handshake messages, close frames and errors.

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Error;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::config::LinkConfig;
use crate::error::LinkError;

/// Longest frame before the hello was read. A hello takes some hundred bytes.
const HELLO_FRAME_BYTES: usize = 4_096;

/// Longest close reason. A WebSocket control frame has room for 123 bytes beside the close code.
const MAX_REASON_BYTES: usize = 120;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// WebSocket configuration with the frame limit of the links.
pub(crate) fn websocket_config(config: &LinkConfig) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(config.frame_limit))
        .max_frame_size(Some(config.frame_limit))
}

/// WebSocket configuration for a connection whose hello was not read yet.
pub(crate) fn stranger_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(HELLO_FRAME_BYTES))
        .max_frame_size(Some(HELLO_FRAME_BYTES))
        .read_buffer_size(HELLO_FRAME_BYTES)
}

/// Gives an accepted connection whose hello was read the limits of the links. A dialer sends nothing
/// between its hello and the welcome, so no bytes are in the old buffer.
pub(crate) async fn admit(socket: Socket, config: &LinkConfig) -> Socket {
    let config = websocket_config(config);
    Socket::from_raw_socket(socket.into_inner(), Role::Server, Some(config)).await
}

/// Receives the next binary message, skipping pings and pongs.
pub(crate) async fn receive(socket: &mut Socket) -> Result<Bytes, LinkError> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(data))) => return Ok(data),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => (),
            Some(Ok(other)) => return Err(unexpected_message(&other)),
            Some(Err(error)) => return Err(link_error(&error)),
            None => return Err(LinkError::Io("the peer ended the link".to_string())),
        }
    }
}

pub(crate) async fn send(socket: &mut Socket, data: Bytes) -> Result<(), LinkError> {
    let sent = socket.send(Message::Binary(data)).await;
    sent.map_err(|e| link_error(&e))
}

/// Closes a WebSocket with the code and text of an error.
pub(crate) async fn close(mut socket: Socket, why: &LinkError) {
    let _ = socket.close(Some(close_frame(why))).await;
}

/// Close frame with the code and text of an error.
pub(crate) fn close_frame(why: &LinkError) -> CloseFrame {
    let mut reason = why.to_string();
    while reason.len() > MAX_REASON_BYTES {
        reason.pop();
    }
    CloseFrame {
        code: CloseCode::from(why.close_code()),
        reason: reason.into(),
    }
}

/// The error that a close frame or a message of an unexpected type stands for.
pub(crate) fn unexpected_message(message: &Message) -> LinkError {
    match message {
        Message::Close(Some(frame)) => {
            LinkError::Io(format!("the peer closed the link: {}", frame.reason))
        }
        Message::Close(None) => LinkError::Io("the peer closed the link".to_string()),
        _ => LinkError::Malformed("not a binary message".to_string()),
    }
}

/// Maps a WebSocket error to a link error.
pub(crate) fn link_error(error: &Error) -> LinkError {
    match error {
        Error::Capacity(_) => LinkError::Oversized,
        Error::Protocol(_) | Error::Utf8(_) => LinkError::Malformed(error.to_string()),
        _ => LinkError::Io(error.to_string()),
    }
}
