//! Lines of a streaming response.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;

const MAX_LINE_BYTES: usize = 64 * 1024 * 1024;

/// Splits a stream of bytes into lines.
pub struct Lines<S> {
    stream: S,
    buffer: BytesMut,
    /// Length of the start of the buffer that is known to contain no line end.
    searched: usize,
}

impl<S, E> Lines<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    pub fn new(stream: S) -> Lines<S> {
        Lines {
            stream,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Reads the next line, without its end. Returns `None` at the end of the stream, after an
    /// error of the stream and at a line that is too long; an incomplete line is discarded.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.take_line() {
                return Some(line);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return None;
            }
            let data = self.stream.next().await?.ok()?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let unsearched = &self.buffer[self.searched..];
        let Some(index) = unsearched.iter().position(|b| *b == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + index).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }
}
