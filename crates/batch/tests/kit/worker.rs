//! A simulated worker that follows the platform's specification.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use base::WorkerId;
use batch::ActiveRun;
use batch::EndKind;
use batch::EndedRun;
use batch::OddRows;
use batch::PollRequest;
use batch::Report;
use batch::Resources;
use batch::RunNumber;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::TaskId;
use batch::WorkerEntry;
use batch::WorkerState;

use super::BOUNDS;

/// Time after its start from which a task that lasts is at work.
const STARTUP: Millis = Millis(100);

/// An active run.
#[derive(Clone, Debug)]
pub struct FakeRun {
    pub run: RunNumber,
    /// Number of members of its gang; `None` if it is not part of one.
    pub gang: Option<u32>,
    pub started: Millis,
    pub work: Millis,
    pub need: Resources,
    /// When it ends after a stop request.
    pub stopping: Option<Millis>,
    pub fails: bool,
    /// Whether it works until it is stopped.
    pub lasting: bool,
}

/// A simulated worker, with switches for faults.
pub struct FakeWorker {
    pub id: WorkerId,
    pub address: SocketAddr,
    pub domain: DomainId,
    pub rack: String,
    pub capacity: Resources,
    pub born: Millis,
    /// Time after a restart until its entry shows the new incarnation.
    pub entry_lag: Millis,
    /// Incarnation that its entry shows.
    shown_born: Millis,
    /// Incarnation whose entry shows that it is draining.
    pub draining: Option<Millis>,
    pub up: bool,
    /// Whether requests and polls reach it.
    pub reachable: bool,
    /// Whether its entry is in the store.
    pub listed: bool,
    /// Whether its tasks make no progress.
    pub hangs: bool,
    /// Whether its tasks fail.
    pub fails: bool,
    /// Whether it refuses all starts.
    pub refuses: bool,
    /// Whether it neither answers nor carries out any start.
    pub mute: bool,
    /// Whether it refuses starts without a ticket of its incarnation.
    pub checks_tickets: bool,
    /// Speed of its tasks, in percent.
    pub speed: u64,
    pub runs: BTreeMap<TaskId, FakeRun>,
    closed: BTreeMap<TaskId, RunNumber>,
    /// Ended runs, with the time of the end, and whether the lease has expired since.
    ended: Vec<(EndedRun, Millis, bool)>,
    /// Ended runs that have been acknowledged, with the time of the end.
    pub acked: Vec<(EndedRun, Millis)>,
    latest_failure: Option<EndedRun>,
    last_end: u64,
    epoch: u64,
    lease_end: Millis,
}

impl FakeWorker {
    pub fn new(num: usize, now: Millis) -> FakeWorker {
        FakeWorker {
            id: format!("w{num}").parse().expect("a worker id"),
            address: SocketAddr::from(([127, 0, 0, 1], 1 + num as u16)),
            domain: format!("d{}", num % 2).parse().expect("a domain"),
            rack: format!("r{}", num / 4),
            capacity: Resources {
                cpu: 32_000,
                memory: 64_000,
                accels: 8,
            },
            born: now,
            entry_lag: Millis::ZERO,
            shown_born: now,
            draining: None,
            up: true,
            reachable: true,
            listed: true,
            hangs: false,
            fails: false,
            refuses: false,
            mute: false,
            checks_tickets: false,
            speed: 100,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            acked: Vec::new(),
            latest_failure: None,
            last_end: 0,
            epoch: 0,
            lease_end: Millis::ZERO,
        }
    }

    /// The worker's entry in the store.
    pub fn entry(&mut self, now: Millis) -> WorkerEntry {
        if now.since(self.born) >= self.entry_lag {
            self.shown_born = self.born;
        }
        WorkerEntry {
            id: self.id.clone(),
            born: Some(self.shown_born.0),
            address: self.address,
            domain: self.domain.clone(),
            pool: super::pool(),
            state: match self.draining == Some(self.shown_born) {
                true => WorkerState::Draining,
                false => WorkerState::Ready,
            },
            capacity: self.capacity,
            labels: vec!["a".to_string(), self.rack.clone()],
            cold: Millis::ZERO,
        }
    }

    /// Restarts the worker: all runs and ended runs are lost.
    pub fn restart(&mut self, now: Millis) {
        let old = std::mem::replace(self, FakeWorker::new(0, now));
        self.id = old.id;
        self.address = old.address;
        self.domain = old.domain;
        self.rack = old.rack;
        self.speed = old.speed;
        self.entry_lag = old.entry_lag;
        self.shown_born = old.shown_born;
        self.draining = old.draining;
        self.checks_tickets = old.checks_tickets;
    }

    /// The ticket that starts need if it checks them.
    pub fn ticket(&self) -> String {
        format!("{}-{}", self.id, self.born)
    }

    fn clock_at(&self, now: Millis) -> Millis {
        now - self.born
    }

    fn extend_lease(&mut self, deadline: u64, now: Millis) {
        let most = self.clock_at(now) + BOUNDS.max_hold;
        self.lease_end = self.lease_end.max(Millis(deadline).min(most));
    }

    pub fn start(&mut self, request: &StartRequest, run: FakeRun, now: Millis) -> StartResponse {
        if request.fence.0 < self.epoch {
            return StartResponse::Fenced;
        }
        self.epoch = request.fence.0;
        if self.refuses {
            return StartResponse::Refused("room".to_string());
        }
        if request.deadline < self.clock_at(now).0 {
            return StartResponse::Refused("late".to_string());
        }
        if self.checks_tickets && request.ticket != self.ticket() {
            return StartResponse::NoTicket;
        }
        let clock_at = self.clock_at(now).0;
        if self
            .runs
            .get(&request.task)
            .is_some_and(|r| r.run == request.run)
        {
            return StartResponse::Accepted(clock_at);
        }
        if self
            .closed
            .get(&request.task)
            .is_some_and(|last_closed| *last_closed >= request.run)
        {
            return StartResponse::Refused("old".to_string());
        }
        self.extend_lease(request.deadline, now);
        self.runs.insert(request.task.clone(), run);
        StartResponse::Accepted(clock_at)
    }

    pub fn stop(&mut self, request: &StopRequest, now: Millis) -> Option<u64> {
        if request.fence.0 < self.epoch {
            return None;
        }
        self.epoch = request.fence.0;
        let last_closed = self.closed.entry(request.task.clone()).or_default();
        *last_closed = (*last_closed).max(request.run);
        if let Some(run) = self.runs.get_mut(&request.task) {
            if run.run <= request.run && run.stopping.is_none() {
                run.stopping = Some(now + Millis(BOUNDS.stop_grace.0 / 2));
            }
        }
        Some(self.clock_at(now).0)
    }

    /// Answers a poll; `None` if a later coordinator has sent requests.
    pub fn poll(&mut self, request: &PollRequest, now: Millis) -> Option<Report> {
        if request.fence.0 < self.epoch {
            return None;
        }
        self.epoch = request.fence.0;
        if let Some(deadline) = request.deadline {
            self.extend_lease(deadline, now);
        }
        let ended = std::mem::take(&mut self.ended);
        let (left, acked) = ended
            .into_iter()
            .partition(|e| e.0.number > request.acked_end);
        self.ended = left;
        let acked = Vec::<(EndedRun, Millis, bool)>::into_iter(acked)
            .filter(|(_, _, is_lease_expired)| !is_lease_expired);
        self.acked.extend(acked.map(|(e, at, _)| (e, at)));
        let hangs = self.hangs;
        let rows = self.runs.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            saved: String::new(),
            percent: match hangs {
                true => 0,
                false if run.lasting => 100 * u32::from(now.since(run.started) >= STARTUP),
                // A member of a gang that is done stands at 100 until the last one is.
                false => {
                    let most = if run.gang.is_some() { 100 } else { 99 };
                    (now.since(run.started).0 * 100 / run.work.0.max(1)).min(most) as u32
                }
            },
            load: None,
        });
        Some(Report {
            born: Some(self.born.0),
            clock: self.clock_at(now).0,
            running: rows.collect(),
            ended: self.ended.iter().map(|(e, _, _)| e.clone()).collect(),
            odd: OddRows::default(),
        })
    }

    pub fn end(&mut self, task: &TaskId, kind: EndKind, now: Millis) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.last_end += 1;
        let last_closed = self.closed.entry(task.clone()).or_default();
        *last_closed = (*last_closed).max(run.run);
        let row = EndedRun {
            number: self.last_end,
            task: task.clone(),
            run: run.run,
            kind,
            saved: String::new(),
        };
        if kind == EndKind::Failed {
            self.latest_failure = Some(row.clone());
        }
        self.ended.push((row, now, false));
    }

    /// Whether its lease has expired.
    pub fn is_lease_expired(&self, now: Millis) -> bool {
        self.clock_at(now) > self.lease_end
    }

    /// Marks the ended runs that its lease has expired since.
    pub fn mark_lease_expired(&mut self) {
        self.ended.iter_mut().for_each(|e| e.2 = true);
    }

    /// Whether it still reports a failed run.
    pub fn lists_failure(&self) -> bool {
        self.ended.iter().any(|e| e.0.kind == EndKind::Failed)
    }

    /// Reports the latest failure again, as if its acknowledgement had been lost.
    pub fn repeat_failure(&mut self) {
        if let Some(row) = self.latest_failure.clone() {
            if !self.lists_failure() {
                self.ended.push((row, Millis::ZERO, true));
            }
        }
    }

    pub fn used(&self) -> Resources {
        let mut sum = Resources::default();
        self.runs.values().for_each(|r| sum += r.need);
        sum
    }
}
