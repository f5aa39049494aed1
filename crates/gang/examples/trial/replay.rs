//! Replays a table through decision code and measures what becomes of the jobs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use base::Attempt;
use base::GangPlan;
use base::JobId;
use base::Millis;
use base::WorkerId;
use gang::Action;
use gang::Ended;
use gang::Input;

use crate::table::Row;
use crate::table::Site;

/// Time to start a gang, to save and stop one, to stop one without saving, for a bad start to fail.
const START: Millis = Millis::from_secs(2);
const SAVE: Millis = Millis::from_secs(10);
const STOP: Millis = Millis::from_secs(1);
const FAIL: Millis = Millis::from_secs(5);
/// Time between the checkpoints that jobs make by themselves.
const PERIOD: Millis = Millis::from_secs(600);
/// A domain's departure, the time until its workers are gone, and its return.
const LEAVE: Millis = Millis::from_secs(7_200);
const GRACE: Millis = Millis::from_secs(120);
const RETURN: Millis = Millis::from_secs(14_400);
const TICK: Millis = Millis::from_secs(5);
/// End of a replay that does not come to an end.
const LIMIT: Millis = Millis::from_secs(200_000);

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Back,
    Cancel,
    End(JobId, Attempt, bool),
    Gone,
    Out,
    Running(JobId, Attempt),
    Saved(JobId, Attempt),
    Stopped(JobId, Attempt, bool),
    Submit(usize),
    Tick,
}

struct Live {
    row: usize,
    plan: Option<GangPlan>,
    began: Option<Millis>,
    saved: Millis,
    stopping: bool,
    /// Earlier end of the work that counts, by attempt: its start, end and accelerators.
    spans: Vec<(Millis, Millis)>,
}

/// What a replay showed.
#[derive(Default)]
pub struct Measures {
    pub times: Vec<f64>,
    pub lost: u32,
    /// Share of the accelerators free in partly used workers while jobs wait.
    pub fragmentation: f64,
    /// Accelerator-hours of work that counted, while the domain was away.
    pub away: f64,
    /// Longest wait of a claim on a guarantee, in seconds.
    pub reclaim: f64,
    pub done: u32,
}

pub struct Replay<'a, F> {
    pub site: &'a Site,
    pub rows: &'a [Row],
    pub case: &'a str,
    pub bad: BTreeSet<WorkerId>,
    pub step: F,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    jobs: BTreeMap<JobId, Live>,
    free: BTreeMap<WorkerId, u64>,
    waiting: usize,
    seq: u64,
    stuck: (f64, f64),
    out: Measures,
}

impl<'a, F: FnMut(Millis, Input) -> Vec<Action>> Replay<'a, F> {
    pub fn new(
        site: &'a Site,
        rows: &'a [Row],
        case: &'a str,
        bad: BTreeSet<WorkerId>,
        step: F,
    ) -> Replay<'a, F> {
        let free = site
            .fleet()
            .iter()
            .map(|w| (w.id.clone(), (1u64 << w.accels.0) - 1))
            .collect();
        Replay {
            site,
            rows,
            case,
            bad,
            step,
            free,
            events: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            waiting: 0,
            seq: 0,
            stuck: (0.0, 0.0),
            out: Measures::default(),
        }
    }

    pub fn run(mut self) -> Measures {
        for spec in self.site.fleet() {
            self.feed(Millis::ZERO, Input::WorkerUp(spec));
        }
        self.feed(Millis::ZERO, Input::Permit(true));
        self.plan(Millis::ZERO, Event::Tick);
        for i in 0..self.rows.len() {
            self.plan(self.rows[i].at, Event::Submit(i));
        }
        match self.case {
            "departure" => [
                (LEAVE, Event::Out),
                (LEAVE + GRACE, Event::Gone),
                (RETURN, Event::Back),
            ]
            .into_iter()
            .for_each(|(t, e)| self.plan(t, e)),
            "cancel" => self.plan(LEAVE + PERIOD, Event::Cancel),
            _ => {}
        }
        let mut last = Millis::ZERO;
        let mut left = self.rows.len();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > LIMIT || (left == 0 && self.jobs.is_empty()) {
                break;
            }
            self.sample((now - last).0 as f64);
            last = now;
            left -= usize::from(matches!(event, Event::Submit(_)));
            self.handle(now, event);
        }
        self.out.lost += self.jobs.len() as u32;
        self.out.fragmentation = self.stuck.0 / self.stuck.1.max(1.0);
        self.out
    }

    fn plan(&mut self, at: Millis, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn sample(&mut self, span: f64) {
        if self.waiting == 0 || span == 0.0 {
            return;
        }
        let torn = self
            .free
            .values()
            .filter(|m| **m != 255)
            .map(|m| m.count_ones())
            .sum::<u32>();
        self.stuck.0 += span * f64::from(torn);
        self.stuck.1 += span * f64::from(self.site.workers.0 * 8);
    }

    fn feed(&mut self, now: Millis, input: Input) {
        for action in (self.step)(now, input) {
            match action {
                Action::Start(plan) => self.start(now, plan),
                Action::Stop {
                    job, checkpoint, ..
                } => self.stop(now, &job, checkpoint),
                Action::Fail { job, .. }
                | Action::Refuse { job, .. }
                | Action::Cancelled { job } => self.close(&job, true),
                _ => {}
            }
        }
    }

    fn close(&mut self, job: &JobId, lost: bool) {
        if let Some(live) = self.jobs.remove(job) {
            self.waiting -= usize::from(live.plan.is_none());
            self.out.lost += u32::from(lost && !self.rows[live.row].poison);
        }
    }

    fn occupy(&mut self, plan: &GangPlan, on: bool) {
        for p in &plan.places {
            let span = ((1u64 << p.count.0) - 1) << p.first;
            let free = self.free.get_mut(&p.worker).expect("known worker");
            assert!(!on || *free & span == span, "accelerator taken twice");
            *free = if on { *free & !span } else { *free | span };
        }
    }

    fn start(&mut self, now: Millis, plan: GangPlan) {
        self.occupy(&plan, true);
        self.waiting -= 1;
        let live = self.jobs.get_mut(&plan.job).expect("known job");
        let row = &self.rows[live.row];
        if row.claim {
            self.out.reclaim = self.out.reclaim.max((now - row.at).0 as f64 / 1000.0);
        }
        live.stopping = false;
        live.plan = Some(plan.clone());
        self.plan(now + START, Event::Running(plan.job, plan.attempt));
    }

    fn stop(&mut self, now: Millis, job: &JobId, save: bool) {
        let Some(live) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(plan) = &live.plan else { return };
        live.stopping = true;
        let event = Event::Stopped(job.clone(), plan.attempt, save);
        self.plan(now + if save { SAVE } else { STOP }, event);
    }

    /// Ends an attempt with the work saved so far. False if the event is out of date.
    fn end(&mut self, now: Millis, job: &JobId, attempt: Attempt, save: bool) -> bool {
        let Some(live) = self.jobs.get_mut(job) else {
            return false;
        };
        if live.plan.as_ref().is_none_or(|p| p.attempt != attempt) {
            return false;
        }
        let plan = live.plan.take().expect("checked");
        if let Some(began) = live.began.take() {
            let (row, run) = (&self.rows[live.row], now - began);
            let kept = if save {
                run
            } else {
                Millis(run.0 / PERIOD.0 * PERIOD.0)
            };
            let kept = if row.spec.checkpoint {
                kept
            } else {
                Millis::ZERO
            };
            live.saved += kept;
            live.spans.push((began, began + kept));
        }
        self.waiting += 1;
        self.occupy(&plan, false);
        true
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick => {
                self.plan(now + TICK, Event::Tick);
                self.feed(now, Input::Tick);
            }
            Event::Submit(i) => {
                let spec = self.rows[i].spec.clone();
                let live = Live {
                    row: i,
                    plan: None,
                    began: None,
                    saved: Millis::ZERO,
                    stopping: false,
                    spans: Vec::new(),
                };
                self.jobs.insert(spec.id.clone(), live);
                self.waiting += 1;
                self.feed(
                    now,
                    Input::Submit {
                        spec,
                        at: now,
                        attempt: Attempt(1),
                        saved: Millis::ZERO,
                    },
                );
            }
            Event::Running(job, attempt) => self.running(now, job, attempt),
            Event::Saved(job, attempt) => self.saved(now, job, attempt),
            Event::End(job, attempt, good) => self.finish(now, job, attempt, good),
            Event::Stopped(job, attempt, save) => {
                if self.end(now, &job, attempt, save) {
                    let saved = self.jobs[&job].saved;
                    self.feed(
                        now,
                        Input::Ended {
                            job,
                            how: Ended::Stopped { saved },
                        },
                    );
                }
            }
            Event::Out => self.feed(now, Input::DomainOut(self.site.domain(0))),
            Event::Back => self.feed(now, Input::DomainBack(self.site.domain(0))),
            Event::Gone => {
                let prefix = format!("{}/", self.site.domain(0));
                let here = |l: &Live| {
                    l.plan
                        .as_ref()
                        .is_some_and(|p| p.places[0].worker.as_str().starts_with(&prefix))
                };
                let jobs: Vec<JobId> = self
                    .jobs
                    .iter()
                    .filter(|(_, l)| here(l))
                    .map(|(id, _)| id.clone())
                    .collect();
                for job in jobs {
                    let attempt = self.jobs[&job]
                        .plan
                        .as_ref()
                        .map_or(Attempt(0), |p| p.attempt);
                    self.handle(now, Event::Stopped(job, attempt, false));
                }
            }
            Event::Cancel => {
                let waiting = self
                    .jobs
                    .iter()
                    .filter(|(_, l)| l.plan.is_none() && l.row % 2 == 0);
                let wave = waiting.map(|(id, _)| id.clone()).collect();
                self.feed(now, Input::Cancel(wave));
            }
        }
    }

    fn running(&mut self, now: Millis, job: JobId, attempt: Attempt) {
        let Some(live) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(plan) = live
            .plan
            .as_ref()
            .filter(|p| p.attempt == attempt && !live.stopping)
        else {
            return;
        };
        live.began = Some(now);
        let row = &self.rows[live.row];
        let bad = row.poison || plan.places.iter().any(|p| self.bad.contains(&p.worker));
        let end = now + if bad { FAIL } else { row.actual - live.saved };
        self.feed(now, Input::Running { job: job.clone() });
        self.plan(end, Event::End(job.clone(), attempt, !bad));
        self.plan(now + PERIOD, Event::Saved(job, attempt));
    }

    fn saved(&mut self, now: Millis, job: JobId, attempt: Attempt) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let (Some(began), Some(plan)) = (live.began, &live.plan) else {
            return;
        };
        if plan.attempt != attempt || !self.rows[live.row].spec.checkpoint {
            return;
        }
        let saved = live.saved + (now - began);
        self.feed(
            now,
            Input::Progress {
                job: job.clone(),
                saved,
            },
        );
        self.plan(now + PERIOD, Event::Saved(job, attempt));
    }

    fn finish(&mut self, now: Millis, job: JobId, attempt: Attempt, good: bool) {
        let Some(live) = self.jobs.get(&job) else {
            return;
        };
        let Some(plan) = live.plan.clone() else {
            return;
        };
        let began = live.began;
        if !self.end(now, &job, attempt, false) {
            return;
        }
        if good {
            let live = self.jobs.get_mut(&job).expect("known job");
            let row = &self.rows[live.row];
            live.spans.pop();
            live.spans.push((began.unwrap_or(now), now));
            let away = |(a, b): &(Millis, Millis)| ((*b).min(RETURN) - (*a).max(LEAVE)).0 as f64;
            let hours = live.spans.iter().map(away).sum::<f64>() / 3_600_000.0;
            self.out.away += hours * f64::from(row.spec.accels().0);
            self.out.times.push((now - row.at).0 as f64 / 1000.0);
            self.out.done += 1;
            self.close(&job, false);
            return self.feed(
                now,
                Input::Ended {
                    job,
                    how: Ended::Finished,
                },
            );
        }
        let worker = plan
            .places
            .iter()
            .find(|p| self.bad.contains(&p.worker))
            .unwrap_or(&plan.places[0]);
        let how = Ended::Failed {
            worker: worker.worker.clone(),
        };
        self.feed(now, Input::Ended { job, how });
    }
}
