//! Replays a job table through a scheduler in simulated time and measures the outcome.

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

/// Durations of a start, a stop with a checkpoint, a stop without one, and an attempt that
/// fails.
const START_DURATION: Millis = Millis::from_secs(2);
const SAVE_DURATION: Millis = Millis::from_secs(10);
const STOP_DURATION: Millis = Millis::from_secs(1);
const FAIL_DURATION: Millis = Millis::from_secs(5);
/// Time between the periodic checkpoints of a job.
const CHECKPOINT_PERIOD: Millis = Millis::from_secs(600);
/// When a failure domain is taken out of service, how long its jobs may go on, and when it is
/// back.
const DOMAIN_OUT_AT: Millis = Millis::from_secs(7_200);
const GRACE_PERIOD: Millis = Millis::from_secs(120);
const DOMAIN_BACK_AT: Millis = Millis::from_secs(14_400);
const TICK_PERIOD: Millis = Millis::from_secs(5);
/// Time after which a replay is cut off.
const MAX_REPLAY_TIME: Millis = Millis::from_secs(200_000);

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    DomainBack,
    Cancel,
    End(JobId, Attempt, bool),
    WorkersGone,
    DomainOut,
    Running(JobId, Attempt),
    Saved(JobId, Attempt),
    Stopped(JobId, Attempt, bool),
    Submit(usize),
    Tick,
}

struct JobState {
    row: usize,
    plan: Option<GangPlan>,
    run_start: Option<Millis>,
    saved: Millis,
    stopping: bool,
    /// Start and end of the work of each attempt that was not lost.
    useful_spans: Vec<(Millis, Millis)>,
}

/// Results of a replay.
#[derive(Default)]
pub struct Measures {
    /// Times from submission to success, in seconds.
    pub times: Vec<f64>,
    /// Jobs that were given up or did not end, other than those that always fail.
    pub lost: u32,
    /// Share of all accelerators that are free on partly used workers, over the time that jobs
    /// wait.
    pub fragmentation: f64,
    /// Accelerator-hours of work not lost, done while the failure domain is out of service.
    pub away: f64,
    /// Longest wait of a job that claims a guarantee, in seconds.
    pub reclaim: f64,
    /// Jobs that succeeded.
    pub done: u32,
}

pub struct Replay<'a, F> {
    pub site: &'a Site,
    pub rows: &'a [Row],
    pub case: &'a str,
    pub failing: BTreeSet<WorkerId>,
    pub step: F,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    jobs: BTreeMap<JobId, JobState>,
    free: BTreeMap<WorkerId, u64>,
    waiting: usize,
    seq: u64,
    /// While jobs wait, accelerator time that is free on partly used workers, and all of it.
    fragmented_time: (f64, f64),
    measures: Measures,
}

impl<'a, F: FnMut(Millis, Input) -> Vec<Action>> Replay<'a, F> {
    pub fn new(
        site: &'a Site,
        rows: &'a [Row],
        case: &'a str,
        failing: BTreeSet<WorkerId>,
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
            failing,
            step,
            free,
            events: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            waiting: 0,
            seq: 0,
            fragmented_time: (0.0, 0.0),
            measures: Measures::default(),
        }
    }

    pub fn run(mut self) -> Measures {
        for spec in self.site.fleet() {
            self.step_policy(Millis::ZERO, Input::WorkerUp(spec));
        }
        self.step_policy(Millis::ZERO, Input::AllowStarts(true));
        self.schedule(Millis::ZERO, Event::Tick);
        for i in 0..self.rows.len() {
            self.schedule(self.rows[i].at, Event::Submit(i));
        }
        match self.case {
            "departure" => [
                (DOMAIN_OUT_AT, Event::DomainOut),
                (DOMAIN_OUT_AT + GRACE_PERIOD, Event::WorkersGone),
                (DOMAIN_BACK_AT, Event::DomainBack),
            ]
            .into_iter()
            .for_each(|(t, e)| self.schedule(t, e)),
            "cancel" => self.schedule(DOMAIN_OUT_AT + CHECKPOINT_PERIOD, Event::Cancel),
            _ => {}
        }
        let mut last = Millis::ZERO;
        let mut pending = self.rows.len();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > MAX_REPLAY_TIME || (pending == 0 && self.jobs.is_empty()) {
                break;
            }
            self.sample_fragmentation((now - last).0 as f64);
            last = now;
            pending -= usize::from(matches!(event, Event::Submit(_)));
            self.handle(now, event);
        }
        self.measures.lost += self.jobs.len() as u32;
        self.measures.fragmentation = self.fragmented_time.0 / self.fragmented_time.1.max(1.0);
        self.measures
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn sample_fragmentation(&mut self, span: f64) {
        if self.waiting == 0 || span == 0.0 {
            return;
        }
        let fragmented = self
            .free
            .values()
            .filter(|m| **m != 255)
            .map(|m| m.count_ones())
            .sum::<u32>();
        self.fragmented_time.0 += span * f64::from(fragmented);
        self.fragmented_time.1 += span * f64::from(self.site.workers.0 * 8);
    }

    fn step_policy(&mut self, now: Millis, input: Input) {
        for action in (self.step)(now, input) {
            match action {
                Action::Start(plan) => self.start(now, plan),
                Action::Stop {
                    job, checkpoint, ..
                } => self.stop(now, &job, checkpoint),
                Action::Fail { job, .. }
                | Action::Refuse { job, .. }
                | Action::Cancelled { job } => self.remove_job(&job, true),
                _ => {}
            }
        }
    }

    fn remove_job(&mut self, job: &JobId, lost: bool) {
        if let Some(state) = self.jobs.remove(job) {
            self.waiting -= usize::from(state.plan.is_none());
            self.measures.lost += u32::from(lost && !self.rows[state.row].always_fails);
        }
    }

    fn mark_used(&mut self, plan: &GangPlan, used: bool) {
        for p in &plan.places {
            let span = ((1u64 << p.count.0) - 1) << p.first;
            let free = self.free.get_mut(&p.worker).expect("known worker");
            assert!(!used || *free & span == span, "accelerator taken twice");
            *free = if used { *free & !span } else { *free | span };
        }
    }

    fn start(&mut self, now: Millis, plan: GangPlan) {
        self.mark_used(&plan, true);
        self.waiting -= 1;
        let state = self.jobs.get_mut(&plan.job).expect("known job");
        let row = &self.rows[state.row];
        if row.claims_guarantee {
            self.measures.reclaim = self.measures.reclaim.max((now - row.at).0 as f64 / 1000.0);
        }
        state.stopping = false;
        state.plan = Some(plan.clone());
        self.schedule(now + START_DURATION, Event::Running(plan.job, plan.attempt));
    }

    fn stop(&mut self, now: Millis, job: &JobId, save: bool) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(plan) = &state.plan else { return };
        state.stopping = true;
        let event = Event::Stopped(job.clone(), plan.attempt, save);
        self.schedule(
            now + if save { SAVE_DURATION } else { STOP_DURATION },
            event,
        );
    }

    /// Ends an attempt and keeps its saved work. False if the job is no longer in that attempt.
    fn end_attempt(&mut self, now: Millis, job: &JobId, attempt: Attempt, save: bool) -> bool {
        let Some(state) = self.jobs.get_mut(job) else {
            return false;
        };
        if state.plan.as_ref().is_none_or(|p| p.attempt != attempt) {
            return false;
        }
        let plan = state.plan.take().expect("checked");
        if let Some(run_start) = state.run_start.take() {
            let (row, run) = (&self.rows[state.row], now - run_start);
            let kept = if save {
                run
            } else {
                Millis(run.0 / CHECKPOINT_PERIOD.0 * CHECKPOINT_PERIOD.0)
            };
            let kept = if row.spec.checkpoint {
                kept
            } else {
                Millis::ZERO
            };
            state.saved += kept;
            state.useful_spans.push((run_start, run_start + kept));
        }
        self.waiting += 1;
        self.mark_used(&plan, false);
        true
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick => {
                self.schedule(now + TICK_PERIOD, Event::Tick);
                self.step_policy(now, Input::Tick);
            }
            Event::Submit(i) => {
                let spec = self.rows[i].spec.clone();
                let state = JobState {
                    row: i,
                    plan: None,
                    run_start: None,
                    saved: Millis::ZERO,
                    stopping: false,
                    useful_spans: Vec::new(),
                };
                self.jobs.insert(spec.id.clone(), state);
                self.waiting += 1;
                self.step_policy(
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
            Event::End(job, attempt, succeeded) => self.finish(now, job, attempt, succeeded),
            Event::Stopped(job, attempt, save) => {
                if self.end_attempt(now, &job, attempt, save) {
                    let saved = self.jobs[&job].saved;
                    self.step_policy(
                        now,
                        Input::Ended {
                            job,
                            how: Ended::Stopped { saved },
                        },
                    );
                }
            }
            Event::DomainOut => self.step_policy(now, Input::DomainOut(self.site.domain(0))),
            Event::DomainBack => self.step_policy(now, Input::DomainBack(self.site.domain(0))),
            Event::WorkersGone => {
                let prefix = format!("{}/", self.site.domain(0));
                let here = |l: &JobState| {
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
                let cancelled = waiting.map(|(id, _)| id.clone()).collect();
                self.step_policy(now, Input::Cancel(cancelled));
            }
        }
    }

    fn running(&mut self, now: Millis, job: JobId, attempt: Attempt) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(plan) = state
            .plan
            .as_ref()
            .filter(|p| p.attempt == attempt && !state.stopping)
        else {
            return;
        };
        state.run_start = Some(now);
        let row = &self.rows[state.row];
        let failing =
            row.always_fails || plan.places.iter().any(|p| self.failing.contains(&p.worker));
        let end = now
            + if failing {
                FAIL_DURATION
            } else {
                row.actual - state.saved
            };
        self.step_policy(now, Input::Running { job: job.clone() });
        self.schedule(end, Event::End(job.clone(), attempt, !failing));
        self.schedule(now + CHECKPOINT_PERIOD, Event::Saved(job, attempt));
    }

    fn saved(&mut self, now: Millis, job: JobId, attempt: Attempt) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let (Some(run_start), Some(plan)) = (state.run_start, &state.plan) else {
            return;
        };
        if plan.attempt != attempt || !self.rows[state.row].spec.checkpoint {
            return;
        }
        let saved = state.saved + (now - run_start);
        self.step_policy(
            now,
            Input::Progress {
                job: job.clone(),
                saved,
            },
        );
        self.schedule(now + CHECKPOINT_PERIOD, Event::Saved(job, attempt));
    }

    fn finish(&mut self, now: Millis, job: JobId, attempt: Attempt, succeeded: bool) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let Some(plan) = state.plan.clone() else {
            return;
        };
        let run_start = state.run_start;
        if !self.end_attempt(now, &job, attempt, false) {
            return;
        }
        if succeeded {
            let state = self.jobs.get_mut(&job).expect("known job");
            let row = &self.rows[state.row];
            state.useful_spans.pop();
            state.useful_spans.push((run_start.unwrap_or(now), now));
            let away = |(a, b): &(Millis, Millis)| {
                ((*b).min(DOMAIN_BACK_AT) - (*a).max(DOMAIN_OUT_AT)).0 as f64
            };
            let away_hours = state.useful_spans.iter().map(away).sum::<f64>() / 3_600_000.0;
            self.measures.away += away_hours * f64::from(row.spec.accels().0);
            self.measures.times.push((now - row.at).0 as f64 / 1000.0);
            self.measures.done += 1;
            self.remove_job(&job, false);
            return self.step_policy(
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
            .find(|p| self.failing.contains(&p.worker))
            .unwrap_or(&plan.places[0]);
        let how = Ended::Failed {
            worker: worker.worker.clone(),
        };
        self.step_policy(now, Input::Ended { job, how });
    }
}
