//! Memory that daemons use.

use std::fs;

use crate::history::History;

/// Kilobytes of a megabyte.
const KILOBYTES: u64 = 1_024;

/// The most memory that a running process has used so far, in megabytes; zero once it has ended.
pub fn peak(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let mut peaks = status.lines().filter_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes = peaks.next().and_then(|l| l.split_whitespace().next());
    let kilobytes = kilobytes.and_then(|k| k.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / KILOBYTES
}

/// Reports each daemon that has used more than its machine has.
pub fn check(history: &History, report: &mut dyn FnMut(&'static str, String)) {
    for (daemon, used, most) in &history.memory {
        if used > most {
            report(
                "memory",
                format!("daemon {daemon} used {used} MB of {most} MB"),
            );
        }
    }
}
