//! What the daemons' logs say of jobs.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::Path;

use base::JobId;

use crate::history::History;

/// Most lines that are shown of a job, the first and the last half of them.
const MAX_LINES: usize = 60;

/// Most of the last warnings of the job's organisation that are shown.
const MAX_WARNINGS: usize = 10;

/// What marks the lines about a job that waits beside free room.
const WAIT_MARK: &str = "\"event\":633";

/// What marks those about all such work of an organisation.
const SUMMARY_MARK: &str = "\"event\":634";

/// Lines of all daemons that name a job, and the last warnings about waiting work of its organisation.
pub fn lines(dir: &Path, history: &History, job: &JobId) -> io::Result<Vec<String>> {
    let owner = history.owned.get(job);
    let own = |id: &JobId| history.owned.get(id).map(|o| &o.org) == owner.map(|o| &o.org);
    let same: BTreeSet<String> = history
        .owned
        .keys()
        .filter(|id| own(id))
        .map(JobId::to_string)
        .collect();
    let org = owner.map_or_else(String::new, |o| format!("\"org\":\"{}\"", o.org));
    let (mut named, mut warnings) = (Vec::new(), Vec::new());
    for (name, text) in logs(dir)? {
        for line in text.lines() {
            let of_own = |id: &String| line.contains(id.as_str());
            if line.contains(job.as_str()) {
                named.push(format!("{name} {line}"));
            } else if line.contains(WAIT_MARK) && same.iter().any(of_own)
                || line.contains(SUMMARY_MARK) && line.contains(&org)
            {
                warnings.push(format!("{name} {line}"));
            }
        }
    }
    sort(&mut named);
    sort(&mut warnings);
    if named.len() > MAX_LINES {
        let end = named.len() - MAX_LINES / 2;
        named.drain(MAX_LINES / 2..end);
    }
    warnings.drain(..warnings.len().saturating_sub(MAX_WARNINGS));
    named.extend(warnings);
    Ok(named)
}

/// All lines about work that waits beside free room.
pub fn waits(dir: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for (name, text) in logs(dir)? {
        let lines = text.lines().filter(|l| l.contains(WAIT_MARK));
        found.extend(lines.map(|line| format!("{name} {line}")));
    }
    sort(&mut found);
    Ok(found)
}

/// Names and texts of the daemons' logs.
fn logs(dir: &Path) -> io::Result<Vec<(String, String)>> {
    let mut logs = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            logs.push((name.to_string(), fs::read_to_string(&path)?));
        }
    }
    Ok(logs)
}

/// Sorts lines by the time that they give.
fn sort(lines: &mut [String]) {
    let time = |line: &String| {
        let (_, rest) = line.split_once("\"ts\":\"")?;
        Some(rest.split('"').next()?.to_string())
    };
    lines.sort_by_key(time);
}
