//! Reports with rows that cannot be read: such a row costs no other, and no run that it may hide.

mod kit;

use base::Epoch;
use base::JobId;
use base::Millis;
use base::WorkerId;
use batch::ActiveRun;
use batch::EndKind;
use batch::EndedRun;
use batch::OddEnd;
use batch::OddRows;
use batch::OddRun;
use batch::Report;
use batch::RunNumber;
use batch::Scheduler;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::TaskId;
use batch::WorkerEntry;
use batch::WorkerState;
use yare::parameterized;

use kit::candidates::WHOLE;
use kit::catalog;
use kit::job;
use kit::pool;
use kit::step;
use kit::BOUNDS;
use kit::FRESH;

const NOW: Millis = Millis(1_000_000);

/// Time between two reports.
const PERIOD: Millis = Millis(500);

fn id() -> JobId {
    "00000000000000a1".parse().expect("a job id")
}

fn worker_id() -> WorkerId {
    "w1".parse().expect("a worker id")
}

fn task(index: u16) -> TaskId {
    TaskId {
        job: id(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn entry() -> WorkerEntry {
    WorkerEntry {
        id: worker_id(),
        born: Some(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d0".parse().expect("a domain"),
        pool: pool(),
        state: WorkerState::Ready,
        capacity: WHOLE,
        labels: vec!["a".to_string(), "r0".to_string()],
        cold: Millis::ZERO,
    }
}

fn active(index: u16) -> ActiveRun {
    ActiveRun {
        task: task(index),
        run: RunNumber(1),
        saved: String::new(),
        percent: 10,
        load: None,
    }
}

fn done(number: u64, index: u16) -> EndedRun {
    EndedRun {
        number,
        task: task(index),
        run: RunNumber(1),
        kind: EndKind::Done,
        saved: String::new(),
    }
}

fn odd_run(task: Option<TaskId>) -> OddRows {
    let row = OddRun {
        task,
        run: None,
        why: "a test".to_string(),
    };
    OddRows {
        running: vec![row],
        ended: Vec::new(),
    }
}

fn odd_end(first: u64, last: u64, task: Option<TaskId>) -> OddRows {
    let row = OddEnd {
        first,
        last,
        task,
        why: "a test".to_string(),
    };
    OddRows {
        running: Vec::new(),
        ended: vec![row],
    }
}

/// A coordinator with one worker, on which two tasks of a job run.
struct Site {
    scheduler: Scheduler,
    now: Millis,
    starts: Vec<StartRequest>,
    stops: Vec<StopRequest>,
}

impl Site {
    fn start() -> Site {
        let mut scheduler = Scheduler::new(Epoch(1), BOUNDS, catalog(), NOW);
        scheduler.update_worker(entry(), FRESH);
        let mut site = Site {
            scheduler,
            now: NOW,
            starts: Vec::new(),
            stops: Vec::new(),
        };
        site.report(Vec::new(), Vec::new(), OddRows::default());
        let submitted = job(1, vec![step(2, 1, Millis(60_000))], NOW);
        site.scheduler.add(id(), submitted, None, NOW);
        site.pass();
        assert_eq!(site.starts.len(), 2);
        site.report(vec![active(0), active(1)], Vec::new(), OddRows::default());
        site.starts.clear();
        site
    }

    /// One report and what follows from it.
    fn report(&mut self, running: Vec<ActiveRun>, ended: Vec<EndedRun>, odd: OddRows) {
        self.scheduler.poll(&worker_id(), true, self.now);
        self.now += PERIOD;
        let report = Report {
            born: Some(1),
            clock: self.now.0,
            running,
            ended,
            odd,
        };
        self.scheduler
            .report(&worker_id(), report, self.now, self.now);
        self.pass();
    }

    fn pass(&mut self) {
        let now = self.now;
        self.scheduler.tick(now, now);
        self.scheduler.plan(now, now);
        let pending = self.scheduler.take_pending();
        for start in self.scheduler.records_stored(pending, now) {
            let accepted = StartResponse::Accepted(now.0);
            self.scheduler.start_response(&start, accepted, now);
            self.starts.push(start);
        }
        for stop in self.scheduler.stop_requests(now) {
            self.scheduler.stop_accepted(&stop, now.0, now);
            self.stops.push(stop);
        }
    }

    /// Whether the job has ended.
    fn is_over(&self) -> bool {
        let later = self.now + Millis(1_000_000);
        self.scheduler.expired(later).contains(&id())
    }

    fn acked(&mut self) -> u64 {
        let poll = self.scheduler.poll(&worker_id(), true, self.now);
        poll.expect("a poll").acked_end
    }
}

/// Guards against a run that counts as gone, and starts again beside the first, because its row cannot be
/// read.
#[test]
fn a_run_in_an_unreadable_row_goes_on() {
    for named in [Some(task(0)), None] {
        let mut site = Site::start();
        for _ in 0..4 {
            site.report(vec![active(1)], Vec::new(), odd_run(named.clone()));
        }
        assert_eq!((site.starts.len(), site.stops.len()), (0, 0));
        let ended = vec![done(1, 0), done(2, 1)];
        site.report(Vec::new(), ended, OddRows::default());
        assert_eq!(site.acked(), 2);
        assert!(site.is_over());
    }
}

/// Failure: ends of runs that were never requested counted as failures of the task, and its job failed.
#[parameterized(
    as_failed = { EndKind::Failed },
    as_done = { EndKind::Done },
)]
fn the_end_of_a_run_that_was_not_requested_has_no_effect(kind: EndKind) {
    let mut site = Site::start();
    let ended = (1..=3).map(|number| EndedRun {
        run: RunNumber(u32::MAX - number as u32),
        kind,
        ..done(number, 0)
    });
    site.report(
        vec![active(0), active(1)],
        ended.collect(),
        OddRows::default(),
    );
    assert_eq!(site.acked(), 3);
    site.report(vec![active(0)], vec![done(4, 1)], OddRows::default());
    assert!(!site.is_over());
    site.report(Vec::new(), vec![done(5, 0)], OddRows::default());
    assert!(site.is_over());
    assert_eq!((site.starts.len(), site.stops.len()), (0, 0));
}

/// Guards against a run that goes on unwanted, as its progress cannot be read.
#[test]
fn an_unwanted_run_in_an_odd_row_is_stopped() {
    let mut site = Site::start();
    let mut odd = odd_run(Some(task(0)));
    odd.running[0].run = Some(RunNumber(7));
    site.report(vec![active(0), active(1)], Vec::new(), odd);
    let stopped: Vec<u32> = site.stops.iter().map(|s| s.run.0).collect();
    assert_eq!(stopped, [7]);
}

/// Guards against a run that is stopped although a row names its task.
#[test]
fn a_run_whose_row_names_its_task_is_left_alone() {
    let mut site = Site::start();
    for percent in 10..50 {
        let other = ActiveRun {
            percent,
            ..active(1)
        };
        site.report(vec![other], Vec::new(), odd_run(Some(task(0))));
    }
    assert_eq!((site.starts.len(), site.stops.len()), (0, 0));
}

/// Guards against a job that never ends, as a row that stays unreadable might name its run, and against
/// two runs of its task at the same time.
#[test]
fn a_hidden_run_is_stopped_before_its_task_starts_again() {
    let mut site = Site::start();
    for percent in 10..50 {
        let other = ActiveRun {
            percent,
            ..active(1)
        };
        site.report(vec![other], Vec::new(), odd_run(None));
        if !site.starts.is_empty() {
            break;
        }
    }
    let stopped = site.stops.first().expect("no stop");
    assert_eq!(stopped.task, task(0));
    let again: Vec<&TaskId> = site.starts.iter().map(|s| &s.task).collect();
    assert_eq!(again, [&task(0)]);
    let waited = site.now.since(NOW);
    assert!(waited >= Millis(3_000) + BOUNDS.stop_grace, "{waited}");
}

/// Guards against an end that is lost, since it was acknowledged unread, and against ends after it that
/// wait for it.
#[test]
fn an_unreadable_end_is_not_acknowledged_and_holds_no_other_up() {
    let mut site = Site::start();
    site.report(vec![active(1)], Vec::new(), odd_end(1, 1, None));
    assert_eq!(site.acked(), 0);
    let odd = odd_end(1, 1, Some(task(0)));
    site.report(Vec::new(), vec![done(2, 1)], odd);
    assert_eq!((site.acked(), site.starts.len()), (0, 0));
    let ended = vec![done(1, 0), done(2, 1)];
    site.report(Vec::new(), ended, OddRows::default());
    assert_eq!(site.acked(), 2);
    site.pass();
    assert_eq!((site.starts.len(), site.stops.len()), (0, 0));
    assert!(site.is_over());
}

/// Guards against rows of another writer, which take up no number, that hold the acknowledgement back.
#[test]
fn a_row_between_two_ends_that_follow_each_other_is_no_end() {
    let mut site = Site::start();
    for (first, last) in [(1, 0), (2, 1), (3, u64::MAX)] {
        let ended = vec![done(1, 0), done(2, 1)];
        site.report(Vec::new(), ended, odd_end(first, last, None));
    }
    assert_eq!(site.acked(), 2);
}

/// Guards against a list that stays full of ends after an unreadable one, so that no later end is seen.
#[test]
fn a_full_list_is_acknowledged_beyond_an_unreadable_end() {
    let mut site = Site::start();
    let ended: Vec<EndedRun> = (2..=500).map(|number| done(number, 1)).collect();
    site.report(vec![active(0)], ended, odd_end(1, 1, None));
    assert_eq!(site.acked(), 500);
}

/// Guards against a worker filled beyond its capacity beside a run of unknown size.
#[test]
fn a_worker_with_an_unknown_run_gets_no_task() {
    let mut site = Site::start();
    let other: JobId = "00000000000000a2".parse().expect("a job id");
    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    site.report(vec![active(0), active(1)], Vec::new(), odd_run(None));
    site.scheduler.add(other, submitted, None, site.now);
    for _ in 0..4 {
        site.report(vec![active(0), active(1)], Vec::new(), odd_run(None));
        assert_eq!(site.starts.len(), 0);
    }
    for _ in 0..4 {
        if site.starts.is_empty() {
            site.report(vec![active(0), active(1)], Vec::new(), OddRows::default());
        }
    }
    assert_eq!(site.starts.len(), 1);
}

/// Guards against a worker that gets no task any more, as it lists a row for which there is no run.
#[test]
fn a_worker_that_goes_on_listing_an_unknown_run_is_used_again() {
    let mut site = Site::start();
    let ended = vec![done(1, 0), done(2, 1)];
    site.report(Vec::new(), ended, OddRows::default());
    let began = site.now;
    let other: JobId = "00000000000000a2".parse().expect("a job id");
    site.report(Vec::new(), Vec::new(), odd_run(None));
    let submitted = job(1, vec![step(1, 1, Millis(500))], NOW);
    site.scheduler.add(other, submitted, None, site.now);
    while site.starts.is_empty() && site.now.since(began) < Millis(60_000) {
        site.report(Vec::new(), Vec::new(), odd_run(None));
    }
    let waited = site.now.since(began);
    assert!(waited < BOUNDS.max_hold + Millis(2_000), "{waited}");
}
