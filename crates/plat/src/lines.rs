//! Lines of a streaming answer.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;

/// Longest line in bytes.
const MAX_LINE: usize = 64 * 1024 * 1024;

/// Cuts a stream of bytes into lines.
pub struct Lines<S> {
    stream: S,
    buffer: BytesMut,
    searched: usize,
}

impl<S, E> Lines<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    /// Lines of a stream.
    pub fn new(stream: S) -> Lines<S> {
        Lines {
            stream,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// The next whole line without its end. `None` after the end of the stream, a failure or
    /// a line that is too long; the rest of a line is dropped then.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.take() {
                return Some(line);
            }
            if self.buffer.len() > MAX_LINE {
                return None;
            }
            let data = self.stream.next().await?.ok()?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn take(&mut self) -> Option<Bytes> {
        let rest = &self.buffer[self.searched..];
        let Some(at) = rest.iter().position(|b| *b == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + at).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }
}
