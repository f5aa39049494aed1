//! Writes whole lines to an output that may fail, and counts those that it does not take.

use std::cell::RefCell;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::LazyLock;
use std::thread::sleep;
use std::time::Duration;

use crate::metrics::Counter;

/// Time between two attempts to write to an output that does not block and is full. The queue of
/// lines takes up what is logged meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Lines of this process that were dropped, as exposed with the metrics.
pub(crate) static DROPPED_LINES: LazyLock<Counter> = LazyLock::new(|| {
    let lines = Counter::default();
    lines.add(&[], 0);
    lines
});

/// Lines on their way to an output, and those that were dropped.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Lines in the queue, and the one that is being written.
    waiting: AtomicU64,
    /// Dropped lines that no line of the log has reported yet.
    dropped: AtomicU64,
}

impl Backlog {
    /// Adds a line that is about to enter the queue.
    pub fn add(&self) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
    }

    /// Removes a line that was written or dropped.
    pub fn remove(&self) {
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether no line waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) == 0
    }

    /// Counts a line that was dropped.
    pub fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::SeqCst);
        DROPPED_LINES.add(&[], 1);
    }

    /// Number of dropped lines to report.
    pub fn unreported(&self) -> u64 {
        self.dropped.load(Ordering::SeqCst)
    }

    /// Removes dropped lines that were reported.
    pub fn reported(&self, lines: u64) {
        self.dropped.fetch_sub(lines, Ordering::SeqCst);
    }
}

/// Writes to a file descriptor without a buffer or a lock. The streams of the standard library keep
/// the rest of a line after a failed write, and do not tell how much of it was written.
pub(crate) struct Unbuffered<F>(pub F);

impl<F: AsFd> Write for Unbuffered<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(nix::unistd::write(&self.0, bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that takes a line wholly or not at all.
pub(crate) struct Output<W> {
    out: RefCell<W>,
    /// Rest of a line of which a part was written. It goes out before any other line, so that each
    /// line begins where the one before has ended.
    rest: RefCell<Vec<u8>>,
}

impl<W: Write> Output<W> {
    pub fn new(out: W) -> Output<W> {
        Output {
            out: RefCell::new(out),
            rest: RefCell::default(),
        }
    }

    /// Writes a line that ends with a newline. After an error, nothing of it was written. A line of
    /// which a part was written counts as written.
    pub fn write_line(&self, line: Vec<u8>) -> io::Result<()> {
        self.write_rest()?;
        self.rest.replace(line);
        let length = self.rest.borrow().len();
        let result = self.write_rest();
        let mut rest = self.rest.borrow_mut();
        if result.is_err() && rest.len() == length {
            rest.clear();
            return result;
        }
        Ok(())
    }

    /// Writes the rest of a line. Waits for an output that does not block until it takes more.
    fn write_rest(&self) -> io::Result<()> {
        let mut out = self.out.borrow_mut();
        let mut rest = self.rest.borrow_mut();
        while !rest.is_empty() {
            match out.write(&rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => drop(rest.drain(..written)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(RETRY_INTERVAL),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
