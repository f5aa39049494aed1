//! `tackctl report`.

use std::fs;
use std::path::PathBuf;

use yare::parameterized;

use crate::common::tackctl;

const LOG: &str = r#"
{"msg":"job ended","ts":"2026-01-01T00:00:03Z","vm":"a","job":"00000000000000aa","queue":"q0","priority":"0","outcome":"late","took_ms":"3000","objective_ms":"1750","stopped_runs":"2","stopped_core_s":"132","grace":"900","store":"30","work":"2070","event":651}
{"msg":"job ended","ts":"2026-01-01T00:00:04Z","vm":"a","job":"00000000000000bb","queue":"q0","priority":"0","outcome":"in-time","took_ms":"1000","objective_ms":"1750","work":"1000","event":651}
{"msg":"run ended without a result","ts":"2026-01-01T00:00:01Z","vm":"a","task":"00000000000000cc.0.0.1","run":"1","worker":"w1","cause":"urgent","member":"false","room_for":"00000000000000aa","ran_ms":"1000","core_ms":"66000","event":652}
{"msg":"run ended without a result","ts":"2026-01-01T00:00:01Z","vm":"a","task":"00000000000000cc.0.0.2","run":"1","worker":"w2","cause":"urgent","member":"true","room_for":"00000000000000aa","ran_ms":"1000","core_ms":"66000","event":652}
{"msg":"call answered","ts":"2026-01-01T00:00:00Z","vm":"b","kind":"submit","path":"/q0/00000000000000aa","answer":"accepted","event":640}
"#;

fn write_log(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_string()
}

#[test]
fn the_stage_that_made_a_job_late_and_what_was_stopped_for_it_are_shown() {
    let path = write_log("whole.log", LOG);
    let run = tackctl(&["report", &path, "--json"]);
    assert_eq!(run.code, 0, "{}", run.err);
    let report = run.json();
    assert_eq!(report["late"][0]["stage"], "grace");
    assert_eq!(report["late"][0]["most"], 1);
    assert_eq!(report["late"][0]["ms"], 900);
    assert_eq!(report["room"][0]["outcome"], "late");
    assert_eq!(report["room"][0]["core_s"], 132);
    assert_eq!(report["lost"].as_array().unwrap().len(), 2);
    assert_eq!(report["calls"][0]["calls"], 1);
    let text = tackctl(&["report", &path]).out;
    assert!(text.contains("LATE URGENT JOBS SPENT ON"), "{text}");
}

/// Guards against sums that are too high because a coordinator that lost its lock and its successor both
/// logged the same end.
#[test]
fn an_end_that_two_coordinators_have_logged_counts_once() {
    let path = write_log("twice.log", &format!("{LOG}{LOG}"));
    let report = tackctl(&["report", &path, "--json"]).json();
    assert_eq!(report["room"][0]["core_s"], 132);
    assert_eq!(report["jobs"].as_array().unwrap().len(), 2);
    assert_eq!(report["jobs"][0]["jobs"], 1);
}

/// Guards against a table that is wrong because a part of the log is missing.
#[parameterized(
    cut = { r#"{"msg":"job ended","event":6"# },
    foreign = { "connection closed" },
    dropped = { r#"{"msg":"slog-async: logger dropped messages due to channel overflow","count":3}"# },
    not_text = { "{\u{fffd}" },
)]
fn a_log_that_cannot_be_read_whole_gives_a_finding_and_no_table(line: &str) {
    let path = write_log(
        &format!("cut-{}.log", line.len()),
        &format!("{LOG}{line}\n"),
    );
    let run = tackctl(&["report", &path]);
    assert_eq!((run.code, run.out.as_str()), (3, ""), "{}", run.err);
    assert!(run.err.contains(".log:7: "), "{}", run.err);
}

#[test]
fn text_that_a_log_collector_puts_before_a_line_is_left_out() {
    let text: String = LOG.trim().lines().map(|l| format!("vm-1 {l}\n")).collect();
    let run = tackctl(&["report", &write_log("prefix.log", &text), "--json"]);
    assert_eq!(run.code, 0, "{}", run.err);
}

#[test]
fn what_the_logs_tell_of_one_job_is_shown_in_its_order() {
    let path = write_log("job.log", LOG);
    let run = tackctl(&["report", &path, "--job", "00000000000000aa"]);
    let lines: Vec<&str> = run.out.lines().collect();
    assert_eq!(lines.len(), 5, "{}", run.out);
    assert!(lines[1].contains("answer=accepted"), "{}", run.out);
    assert!(lines[4].contains("outcome=late"), "{}", run.out);
}

#[test]
fn a_missing_log_exits_with_code_1() {
    assert_eq!(tackctl(&["report", "no-such-log"]).code, 1);
    assert_eq!(tackctl(&["report"]).code, 2);
}
