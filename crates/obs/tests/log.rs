//! Logs on outputs that fail, block or take a part of a line.

use std::collections::VecDeque;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use obs::emit;
use obs::Event;
use obs::Log;
use obs::Metrics;
use serde_json::Map;
use serde_json::Value;

/// Longest wait for what a test expects.
const WAIT: Duration = Duration::from_secs(30);

/// Lines that exceed the queue of a log.
const TOO_MANY_LINES: usize = 5_000;

/// What an output does on a write.
#[derive(Clone, Copy, Debug)]
enum Step {
    Fail(ErrorKind),
    Take(usize),
}

/// An output that does what a test says, and takes whole lines afterwards.
#[derive(Clone, Default)]
struct Script {
    steps: Arc<Mutex<VecDeque<Step>>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Script {
    fn new(steps: &[Step]) -> Script {
        let script = Script::default();
        script.extend(steps);
        script
    }

    fn extend(&self, steps: &[Step]) {
        self.steps.lock().expect("poisoned").extend(steps);
    }

    /// Waits until all steps were taken.
    fn wait_until_done(&self) {
        let end = Instant::now() + WAIT;
        while !self.steps.lock().expect("poisoned").is_empty() {
            assert!(Instant::now() < end, "the log does not write");
            sleep(Duration::from_millis(1));
        }
    }

    /// Waits until these texts were written, and no other.
    fn expect_texts(&self, expected: &[&str]) {
        let end = Instant::now() + WAIT;
        while self.texts() != expected {
            assert!(Instant::now() < end, "{:?}", self.texts());
            sleep(Duration::from_millis(1));
        }
    }

    /// The lines written, each a whole JSON object.
    fn lines(&self) -> Vec<Map<String, Value>> {
        let written = self.written.lock().expect("poisoned").clone();
        let text = String::from_utf8(written).expect("not UTF-8");
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let parse =
            |line| serde_json::from_str(line).unwrap_or_else(|e| panic!("torn: {e}: {line}"));
        whole.lines().map(parse).collect()
    }

    /// What the lines say: the detail of an event, or the number of lines dropped.
    fn texts(&self) -> Vec<String> {
        let text = |line: &Map<String, Value>| {
            let dropped = line["event"] == Event::LogLinesDropped.code();
            let value = &line[if dropped { "count" } else { "detail" }];
            let value = value.as_str().expect("not a text");
            let prefix = if dropped { "dropped " } else { "" };
            format!("{prefix}{value}")
        };
        self.lines().iter().map(text).collect()
    }
}

impl Write for Script {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let taken = match self.steps.lock().expect("poisoned").pop_front() {
            Some(Step::Fail(kind)) => return Err(kind.into()),
            Some(Step::Take(length)) => length.min(bytes.len()),
            None => bytes.len(),
        };
        let mut written = self.written.lock().expect("poisoned");
        written.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_to(out: &Script) -> Log {
    Log::to_writer(out.clone(), slog::o!(), false)
}

fn say(log: &Log, text: &str) {
    emit(log.logger(), Event::DaemonStarted, text);
}

/// Failure: a write that failed ended the thread of the log, and with it the process.
#[test]
fn lines_that_the_output_refuses_are_counted_in_the_next_one() {
    let full = Step::Fail(ErrorKind::StorageFull);
    let out = Script::new(&[full, full, full]);
    let log = log_to(&out);
    // The second write is the report of the first line, the third the second line itself.
    say(&log, "a");
    say(&log, "b");
    out.wait_until_done();
    say(&log, "c");
    out.expect_texts(&["dropped 2", "c"]);
}

/// Failure: what was left of a line after a partial write was lost, and the next line began in its
/// middle.
#[test]
fn a_line_written_in_part_is_completed_before_the_next() {
    let broken = Step::Fail(ErrorKind::BrokenPipe);
    let out = Script::new(&[Step::Take(7), broken, broken]);
    let log = log_to(&out);
    say(&log, "a");
    say(&log, "b");
    out.wait_until_done();
    say(&log, "c");
    out.expect_texts(&["a", "dropped 1", "c"]);
}

/// Failure: a pipe that does not block and was full ended the thread of the log.
#[test]
fn a_full_output_that_does_not_block_loses_no_line() {
    let full = Step::Fail(ErrorKind::WouldBlock);
    let out = Script::new(&[Step::Take(1), full, full, Step::Take(9), full]);
    let log = log_to(&out);
    for text in ["a", "b", "c"] {
        say(&log, text);
    }
    out.wait_until_done();
    out.expect_texts(&["a", "b", "c"]);
}

/// An output that blocks until the test lets go of it.
struct Blocked {
    gate: Receiver<()>,
    out: Script,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Ends with an error once the test drops the sender.
        let _ = self.gate.recv();
        self.out.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Failure: the log waited for a blocked output without a bound when it was closed, and lines beyond
/// its queue were not in the metrics.
#[test]
fn a_blocked_output_blocks_neither_the_log_nor_its_close() {
    let (gate, blocked) = channel();
    let out = Script::default();
    let writer = Blocked {
        gate: blocked,
        out: out.clone(),
    };
    let log = Log::to_writer(writer, slog::o!(), false);
    let metrics = Metrics::new();
    for _ in 0..TOO_MANY_LINES {
        say(&log, "a");
    }
    let text = metrics.text().expect("no metrics");
    let dropped = text.lines().find_map(|line| {
        let value = line.strip_prefix("bronzetack_log_lines_dropped_total")?;
        value.trim().parse::<usize>().ok()
    });
    assert!(dropped.is_some_and(|d| d > 0), "{text}");
    log.clone().close();
    assert!(out.lines().is_empty(), "the output was not blocked");
    drop(gate);
    // The report of the dropped lines is written before the line that follows the blocked one.
    let end = Instant::now() + WAIT;
    let is_counted = |texts: &[String]| {
        let count = |text: &String| text.strip_prefix("dropped ")?.parse::<usize>().ok();
        let dropped: usize = texts.iter().filter_map(count).sum();
        let written = texts.iter().filter(|t| *t == "a").count();
        dropped + written == TOO_MANY_LINES
    };
    while !is_counted(&out.texts()) {
        assert!(Instant::now() < end, "{} lines", out.lines().len());
        sleep(Duration::from_millis(5));
    }
}

/// Guards against lines as long as what a caller sends, which wait in the queue by the thousand.
#[test]
fn a_long_value_is_cut_between_characters() {
    let out = Script::default();
    let log = log_to(&out);
    let text = format!("a{}", "é".repeat(10_000));
    emit(log.logger(), Event::CallAnswered, &text);
    obs::record(log.logger(), Event::CallAnswered, &[("path", &text)]);
    log.close();
    let lines = out.lines();
    for (line, name) in lines.iter().zip(["detail", "path"]) {
        let value = line[name].as_str().expect("no text");
        let end = " (15906 more bytes)";
        assert_eq!(value, format!("a{}{end}", "é".repeat(2_047)));
    }
    assert_eq!(lines.len(), 2);
}
