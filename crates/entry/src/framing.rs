//! Ends of the parts of a request in the bytes of a connection.

/// Most chunks passed on at once. The HTTP library keeps a record of each until it is taken.
const MAX_CHUNKS: usize = 64;

/// Part of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Part {
    /// Request line and headers.
    Head(Lines),
    /// Body in chunks.
    Chunked(Chunks),
    /// Body up to the end of the connection.
    Endless,
    /// Body with this many bytes to come.
    Sized(u64),
}

/// Lines up to an empty one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lines {
    /// Whether there was a line that is not empty.
    begun: bool,
    /// Bytes of the current line.
    length: usize,
}

/// Place in a chunked body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Chunks {
    /// Within the line with the size of a chunk: the size so far and whether its digits have ended.
    Size(u64, bool),
    /// Bytes of a chunk to come, with the two that end it.
    Data(u64),
    /// After the last chunk.
    Trailers(Lines),
}

impl Part {
    /// The head of the next request.
    pub fn head() -> Part {
        Part::Head(Lines::default())
    }

    /// A body in chunks.
    pub fn chunked() -> Part {
        Part::Chunked(Chunks::Size(0, false))
    }

    /// Number of the first of `bytes` that belong to this part, and whether it ends with them.
    pub fn advance(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self {
            Part::Endless => (bytes.len(), false),
            Part::Head(lines) => advance_by_byte(bytes, |byte| lines.ends_with(byte)),
            Part::Chunked(chunks) => chunks.advance(bytes),
            Part::Sized(left) => {
                let count = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= count as u64;
                (count, *left == 0)
            }
        }
    }
}

fn advance_by_byte(bytes: &[u8], mut ends_with: impl FnMut(u8) -> bool) -> (usize, bool) {
    match bytes.iter().position(|byte| ends_with(*byte)) {
        Some(last) => (last + 1, true),
        None => (bytes.len(), false),
    }
}

impl Lines {
    /// Whether `byte` ends the lines.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => false,
            b'\n' if self.length == 0 => self.begun,
            b'\n' => {
                self.length = 0;
                false
            }
            _ => {
                self.begun = true;
                self.length += 1;
                false
            }
        }
    }
}

impl Chunks {
    fn advance(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut ended = 0;
        for (index, byte) in bytes.iter().enumerate() {
            if self.ends_with(*byte) {
                return (index + 1, true);
            }
            if let Chunks::Size(0, false) = self {
                ended += 1;
            }
            if ended == MAX_CHUNKS {
                return (index + 1, false);
            }
        }
        (bytes.len(), false)
    }

    /// Whether `byte` ends the body. A malformed body, which the HTTP library refuses, has no end.
    fn ends_with(&mut self, byte: u8) -> bool {
        *self = match *self {
            Chunks::Data(1) => Chunks::Size(0, false),
            Chunks::Data(left) => Chunks::Data(left - 1),
            Chunks::Trailers(mut lines) => {
                if lines.ends_with(byte) {
                    return true;
                }
                Chunks::Trailers(lines)
            }
            Chunks::Size(0, _) if byte == b'\n' => Chunks::Trailers(Lines {
                begun: true,
                length: 0,
            }),
            Chunks::Size(size, _) if byte == b'\n' => Chunks::Data(size.saturating_add(2)),
            Chunks::Size(size, false) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    Chunks::Size(size.saturating_mul(16).saturating_add(digit.into()), false)
                }
                None => Chunks::Size(size, true),
            },
            Chunks::Size(size, true) => Chunks::Size(size, true),
        };
        false
    }
}
