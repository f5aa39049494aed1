//! WebSocket of one link: settings, first messages and close reasons.

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Error;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::config::LinkConfig;
use crate::error::LinkError;

/// Longest close reason in bytes that a WebSocket carries.
const MAX_REASON: usize = 120;

/// The WebSocket of a link.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// WebSocket settings with the bounds of the links.
pub(crate) fn settings(config: &LinkConfig) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(config.frame))
        .max_frame_size(Some(config.frame))
}

/// Reads one binary message.
pub(crate) async fn receive(socket: &mut Socket) -> Result<Bytes, LinkError> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(data))) => return Ok(data),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => (),
            Some(Ok(other)) => return Err(ended(&other)),
            Some(Err(error)) => return Err(failure(&error)),
            None => return Err(LinkError::Io("the peer ended the link".to_string())),
        }
    }
}

/// Sends one binary message.
pub(crate) async fn send(socket: &mut Socket, data: Bytes) -> Result<(), LinkError> {
    let sent = socket.send(Message::Binary(data)).await;
    sent.map_err(|e| failure(&e))
}

/// Closes a WebSocket and tells the peer why.
pub(crate) async fn refuse(mut socket: Socket, why: &LinkError) {
    let _ = socket.close(Some(close_frame(why))).await;
}

/// The frame that tells the peer why a link ends.
pub(crate) fn close_frame(why: &LinkError) -> CloseFrame {
    let mut reason = why.to_string();
    while reason.len() > MAX_REASON {
        reason.pop();
    }
    CloseFrame {
        code: CloseCode::from(why.close_code()),
        reason: reason.into(),
    }
}

/// What a message other than a binary one means for the link.
pub(crate) fn ended(message: &Message) -> LinkError {
    match message {
        Message::Close(Some(frame)) => {
            LinkError::Io(format!("the peer closed the link: {}", frame.reason))
        }
        Message::Close(None) => LinkError::Io("the peer closed the link".to_string()),
        _ => LinkError::Malformed("not a binary message".to_string()),
    }
}

/// What a WebSocket error means for the link.
pub(crate) fn failure(error: &Error) -> LinkError {
    match error {
        Error::Capacity(_) => LinkError::Oversized,
        Error::Protocol(_) | Error::Utf8(_) => LinkError::Malformed(error.to_string()),
        _ => LinkError::Io(error.to_string()),
    }
}
