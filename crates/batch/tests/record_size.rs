//! Records of jobs within the store's limit on values.

mod kit;

use base::Millis;
use batch::ActiveRun;
use batch::EndKind;
use batch::EndedRun;
use batch::OddRows;
use batch::Progress;
use batch::RecordError;
use batch::Report;
use batch::StepSpec;
use batch::TaskId;

use kit::job;
use kit::site::Faults;
use kit::site::Site;
use kit::step;

const LASTS: Millis = Millis(60_000);

/// The record of a job of four tasks on one worker, of which the last is done and the others have
/// checkpoints of these lengths.
fn record(gang: bool, lengths: [usize; 3]) -> Progress {
    let mut site = Site::new(1, 1, Faults::default());
    let spec = StepSpec {
        gang,
        checkpoints: true,
        ..step(3, 1, LASTS)
    };
    let id = site.submit("a", job(1, vec![spec, step(1, 1, LASTS)], site.now));
    site.run(Millis(500));
    let task = |step: u16, index: u16| TaskId {
        job: id.clone(),
        occurrence: 0,
        step,
        index,
    };
    let run = site.workers[0].runs[&task(0, 0)].run;
    let running = lengths.iter().enumerate().map(|(index, length)| ActiveRun {
        task: task(0, index as u16),
        run,
        saved: "c".repeat(*length),
        percent: 10,
        load: None,
    });
    let report = Report {
        born: Some(site.workers[0].born.0),
        clock: (site.now - site.workers[0].born).0,
        running: running.collect(),
        ended: vec![EndedRun {
            number: 1,
            task: task(1, 0),
            run: site.workers[0].runs[&task(1, 0)].run,
            kind: EndKind::Done,
            saved: "d".repeat(9_000),
        }],
        odd: OddRows::default(),
    };
    let worker = site.workers[0].id.clone();
    site.scheduler.report(&worker, report, site.now, site.now);
    let mut records = site.scheduler.take_pending().records;
    records.pop().expect("a record").1
}

/// Failure: the record held the checkpoints of tasks that were done.
#[test]
fn the_checkpoint_of_a_task_that_is_done_is_not_recorded() {
    let bytes = record(false, [10, 10, 10]).encode().expect("encoded");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
}

/// Failure: a record that was longer than the store takes was tried for ever.
#[test]
fn the_longest_checkpoints_are_left_out_of_a_record_that_is_too_long() {
    let record = record(false, [5_000, 100, 200]);
    let whole = record.encode_within(10_000, Vec::new).expect("encoded");
    assert_eq!(whole.left_out, 0);
    let shorter = record.encode_within(1_000, Vec::new).expect("encoded");
    assert_eq!(shorter.left_out, 1);
    assert!(shorter.value.len() <= 1_000);
    let kept = Progress::decode(&shorter.value).expect("decoded");
    assert!(kept.encode().expect("encoded").len() > 300);
}

#[test]
fn checkpoints_of_a_gang_are_left_out_together() {
    let shorter = record(true, [5_000, 5_000, 5_000]).encode_within(6_000, || vec![true, false]);
    assert_eq!(shorter.expect("encoded").left_out, 3);
}

#[test]
fn a_record_that_is_too_long_without_checkpoints_is_an_error() {
    let error = record(false, [0, 0, 0]).encode_within(10, Vec::new);
    assert!(matches!(error, Err(RecordError::TooLong(_, 10))));
}

/// Failure: a task that lasts and fails again and again made its job's record longer with each failure, and
/// no job was recorded any more once that one was too long for the store.
#[test]
fn failures_of_a_task_that_lasts_do_not_lengthen_its_record() {
    let mut site = Site::new(4, 1, Faults::default());
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 1, Millis(200))
    };
    let id = site.submit("a", job(1, vec![lasting], site.now));
    site.always_failing.insert(id.clone());
    let length = |site: &Site| {
        let progress = site.stored[&id].1.as_ref().expect("a record");
        progress
            .encode()
            .expect("a record that can be encoded")
            .len()
    };
    site.run(Millis(20_000));
    let before = length(&site);
    site.run(Millis(60_000));
    // The run number itself takes more bytes as it grows.
    let grown = length(&site).saturating_sub(before);
    assert!(grown <= 16, "{grown} bytes more after {before}");
}
