//! Tables of how jobs ended, what late ones waited for, and what runs without a result have lost.

use std::collections::BTreeMap;

use batch::account::Stage;
use obs::Event;
use serde::Serialize;

use crate::log_line::LogLine;
use crate::render;

/// Core-milliseconds in a core-second, and milliseconds in a second.
const MS: u64 = 1_000;

/// What the logs of a site tell.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Jobs by queue and outcome.
    pub jobs: Vec<Jobs>,
    /// Stages of the urgent jobs that were not in time.
    pub late: Vec<LateStage>,
    /// Runs without a result, by cause.
    pub lost: Vec<Lost>,
    /// Runs stopped to make room, by the outcome of the jobs that they made room for.
    pub room: Vec<Room>,
    /// Calls by kind and answer.
    pub calls: Vec<Calls>,
}

/// Jobs of one queue with one outcome.
#[derive(Debug, Serialize)]
pub struct Jobs {
    /// Name of the queue.
    pub queue: String,
    /// Its priority.
    pub priority: u64,
    /// The outcome.
    pub outcome: String,
    /// Number of jobs.
    pub jobs: u64,
}

/// A stage of urgent jobs that were not in time.
#[derive(Debug, Serialize)]
pub struct LateStage {
    /// Name of the stage.
    pub stage: &'static str,
    /// Number of jobs that spent more time on it than on any other, apart from their work.
    pub most: u64,
    /// Number of jobs that spent time on it.
    pub jobs: u64,
    /// The time of all of them, in milliseconds.
    pub ms: u64,
}

/// Runs without a result, by cause.
#[derive(Debug, Serialize)]
pub struct Lost {
    /// The cause.
    pub cause: String,
    /// Whether it struck the run itself or another member of its gang.
    pub of: &'static str,
    /// Number of runs.
    pub runs: u64,
    /// Work lost, in core-seconds.
    pub core_s: u64,
}

/// Work stopped to make room for urgent jobs.
#[derive(Debug, Serialize)]
pub struct Room {
    /// The outcome of the jobs; empty if the logs do not hold their end.
    pub outcome: String,
    /// Number of jobs.
    pub jobs: u64,
    /// Number of runs stopped for them.
    pub runs: u64,
    /// Work lost, in core-seconds.
    pub core_s: u64,
}

/// Calls of one kind with one answer.
#[derive(Debug, Serialize)]
pub struct Calls {
    /// Kind of call.
    pub kind: String,
    /// The answer.
    pub answer: String,
    /// Number of calls.
    pub calls: u64,
}

impl Report {
    /// Makes the tables from the lines of all daemons of a site.
    pub fn new(lines: &[LogLine]) -> Report {
        let of = |event: Event| {
            lines
                .iter()
                .filter(move |l| l.event == u64::from(event.code()))
        };
        // A coordinator that loses the lock before it has recorded an end leaves it to the next.
        let ended: BTreeMap<&str, &LogLine> =
            of(Event::JobEnded).map(|l| (l.text("job"), l)).collect();
        let lost: BTreeMap<(&str, &str), &LogLine> = of(Event::RunLost)
            .map(|l| ((l.text("task"), l.text("run")), l))
            .collect();
        Report {
            jobs: jobs(&ended),
            late: late(&ended),
            lost: lost_runs(&lost),
            room: room(&ended, &lost),
            calls: calls(of(Event::CallAnswered)),
        }
    }

    /// The tables as text.
    pub fn text(&self) -> String {
        let jobs = self.jobs.iter().map(|j| {
            let (priority, jobs) = (j.priority.to_string(), j.jobs.to_string());
            vec![j.queue.clone(), priority, j.outcome.clone(), jobs]
        });
        let late = self.late.iter().map(|l| {
            let (most, jobs) = (l.most.to_string(), l.jobs.to_string());
            vec![l.stage.to_string(), most, jobs, l.ms.to_string()]
        });
        let lost = self.lost.iter().map(|l| {
            let (runs, work) = (l.runs.to_string(), l.core_s.to_string());
            vec![l.cause.clone(), l.of.to_string(), runs, work]
        });
        let room = self.room.iter().map(|r| {
            let outcome = if r.outcome.is_empty() {
                "-"
            } else {
                &r.outcome
            };
            let (jobs, runs) = (r.jobs.to_string(), r.runs.to_string());
            vec![outcome.to_string(), jobs, runs, r.core_s.to_string()]
        });
        let calls = self
            .calls
            .iter()
            .map(|c| vec![c.kind.clone(), c.answer.clone(), c.calls.to_string()]);
        [
            table(&["QUEUE", "PRIORITY", "OUTCOME", "JOBS"], jobs),
            table(&["LATE URGENT JOBS SPENT ON", "MOSTLY", "JOBS", "MS"], late),
            table(&["RUNS LOST BY", "OF", "RUNS", "CORE-S"], lost),
            table(&["ROOM MADE FOR JOBS", "JOBS", "RUNS", "CORE-S"], room),
            table(&["CALLS", "ANSWER", "CALLS"], calls),
        ]
        .join("\n")
    }
}

fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    render::table(header, &rows.collect::<Vec<_>>())
}

fn jobs(ended: &BTreeMap<&str, &LogLine>) -> Vec<Jobs> {
    let mut counts: BTreeMap<(u64, &str, &str), u64> = BTreeMap::new();
    for line in ended.values() {
        let priority = line.number("priority").unwrap_or_default();
        let key = (priority, line.text("queue"), line.text("outcome"));
        *counts.entry(key).or_default() += 1;
    }
    let rows = counts
        .into_iter()
        .map(|((priority, queue, outcome), jobs)| Jobs {
            queue: queue.to_string(),
            priority,
            outcome: outcome.to_string(),
            jobs,
        });
    rows.collect()
}

fn late(ended: &BTreeMap<&str, &LogLine>) -> Vec<LateStage> {
    let is_late = |l: &&&LogLine| {
        let missed = matches!(l.text("outcome"), "late" | "too-late" | "failed");
        missed && l.number("priority") == Some(0)
    };
    let late: Vec<&LogLine> = ended.values().filter(is_late).copied().collect();
    let spent = |line: &LogLine, stage: Stage| line.number(stage.name()).unwrap_or_default();
    let most = |line: &LogLine| {
        let others = Stage::ALL.into_iter().filter(|s| *s != Stage::Work);
        others.max_by_key(|stage| spent(line, *stage))
    };
    let rows = Stage::ALL.into_iter().map(|stage| LateStage {
        stage: stage.name(),
        most: late.iter().filter(|l| most(l) == Some(stage)).count() as u64,
        jobs: late.iter().filter(|l| spent(l, stage) > 0).count() as u64,
        ms: late.iter().map(|l| spent(l, stage)).sum(),
    });
    let mut rows: Vec<LateStage> = rows.filter(|r| r.jobs > 0).collect();
    rows.sort_by_key(|r| std::cmp::Reverse((r.most, r.ms)));
    rows
}

fn lost_runs(lost: &BTreeMap<(&str, &str), &LogLine>) -> Vec<Lost> {
    let mut sums: BTreeMap<(&str, bool), (u64, u64)> = BTreeMap::new();
    for line in lost.values() {
        let key = (line.text("cause"), line.text("member") == "true");
        let sum = sums.entry(key).or_default();
        sum.0 += 1;
        sum.1 += line.number("core_ms").unwrap_or_default();
    }
    let rows = sums
        .into_iter()
        .map(|((cause, member), (runs, work))| Lost {
            cause: cause.to_string(),
            of: if member { "gang" } else { "run" },
            runs,
            core_s: work / MS,
        });
    let mut rows: Vec<Lost> = rows.collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.core_s));
    rows
}

fn room(ended: &BTreeMap<&str, &LogLine>, lost: &BTreeMap<(&str, &str), &LogLine>) -> Vec<Room> {
    let mut by_job: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for line in lost.values().filter(|l| !l.text("room_for").is_empty()) {
        let sum = by_job.entry(line.text("room_for")).or_default();
        sum.0 += 1;
        sum.1 += line.number("core_ms").unwrap_or_default();
    }
    let mut sums: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    for (job, (runs, work)) in by_job {
        let outcome = ended.get(job).map_or("", |l| l.text("outcome"));
        let sum = sums.entry(outcome).or_default();
        *sum = (sum.0 + 1, sum.1 + runs, sum.2 + work);
    }
    let rows = sums.into_iter().map(|(outcome, (jobs, runs, work))| Room {
        outcome: outcome.to_string(),
        jobs,
        runs,
        core_s: work / MS,
    });
    rows.collect()
}

fn calls<'a>(lines: impl Iterator<Item = &'a LogLine>) -> Vec<Calls> {
    let mut counts: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for line in lines {
        let key = (line.text("kind"), line.text("answer"));
        *counts.entry(key).or_default() += 1;
    }
    let rows = counts.into_iter().map(|((kind, answer), calls)| Calls {
        kind: kind.to_string(),
        answer: answer.to_string(),
        calls,
    });
    rows.collect()
}

/// The lines about one job, oldest first.
pub fn job_text(lines: &[LogLine], job: &str) -> String {
    let names = |line: &LogLine| {
        let mut details = line.details();
        details.any(|(name, text)| match name {
            "job" | "room_for" => text == job,
            "task" => text.split('.').next() == Some(job),
            "path" => text.rsplit('/').next() == Some(job),
            _ => false,
        })
    };
    let mut found: Vec<&LogLine> = lines.iter().filter(|l| names(l)).collect();
    found.sort_by(|a, b| a.time.cmp(&b.time));
    let rows = found.into_iter().map(|line| {
        let details = line.details().filter(|(_, text)| !text.is_empty());
        let details: Vec<String> = details
            .map(|(name, text)| format!("{name}={text}"))
            .collect();
        let event = line.event.to_string();
        vec![
            line.time.clone(),
            line.text("vm").to_string(),
            event,
            details.join(" "),
        ]
    });
    table(&["TIME", "VM", "EVENT", "DETAILS"], rows)
}
