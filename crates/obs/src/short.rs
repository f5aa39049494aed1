//! Values of log lines, of a limited length.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Write;

/// Longest value in a line, in bytes. Callers choose some of them, and lines may wait in the queue.
const MAX_VALUE_BYTES: usize = 4_096;

/// A value of which the first bytes are displayed.
pub(crate) struct Short<T>(pub T);

impl<T: Display> Display for Short<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut first = First {
            out: f,
            left: MAX_VALUE_BYTES,
            cut: 0,
        };
        write!(first, "{}", self.0)?;
        match first.cut {
            0 => Ok(()),
            cut => write!(f, " ({cut} more bytes)"),
        }
    }
}

/// Writes the first bytes, and counts the others.
struct First<'a, 'b> {
    out: &'a mut Formatter<'b>,
    left: usize,
    cut: usize,
}

impl Write for First<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut end = text.len().min(self.left);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        if end < text.len() {
            self.left = 0;
            self.cut += text.len() - end;
        } else {
            self.left -= end;
        }
        self.out.write_str(&text[..end])
    }
}
