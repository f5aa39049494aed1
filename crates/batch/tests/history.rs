//! The decisions kept for operators are bounded in number and size.

use base::JobId;
use base::Millis;
use batch::History;

fn job(num: usize) -> JobId {
    format!("{num:016x}").parse().expect("a valid job id")
}

/// A burst of jobs must not make the coordinator's memory grow without bound.
#[test]
fn the_jobs_with_the_oldest_decisions_are_forgotten_first() {
    let mut history = History::default();
    for num in 0..5_000 {
        history.record(&job(num), "waits", Millis(num as u64));
    }
    let kept = (0..5_000).filter(|&num| history.of(&job(num)).next().is_some());
    let kept: Vec<usize> = kept.collect();
    assert_eq!(kept, (904..5_000).collect::<Vec<_>>());
}

/// A job that is decided on again and again keeps its latest decisions.
#[test]
fn only_the_latest_decisions_on_a_job_are_kept() {
    let mut history = History::default();
    for num in 0..100 {
        history.record(&job(1), &num.to_string(), Millis(num));
    }
    let texts: Vec<&str> = history.of(&job(1)).map(|d| d.text.as_str()).collect();
    let wanted: Vec<String> = (84..100).map(|n: u32| n.to_string()).collect();
    assert_eq!(texts, wanted);
}

/// A line that names thousands of stopped runs is cut, also within a character of several bytes.
#[test]
fn a_long_text_is_cut_at_a_character() {
    let mut history = History::default();
    history.record(&job(1), &format!("a{}", "é".repeat(1_000)), Millis(1));
    let text = &history.of(&job(1)).next().expect("a decision").text;
    assert_eq!(text, &format!("a{}...", "é".repeat(199)));
}
