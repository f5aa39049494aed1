//! Judges from outside whether work waits beside free room: a job has nothing running while a task's turn
//! has come, there is room for it twice over, and under half of every resource is in use.

use base::JobId;
use base::Map;
use base::Millis;
use batch::JobPhase;
use batch::Resources;
use batch::StepSpec;

use super::site::Site;

/// Room counts if a job fits this many times.
const ROOM_FACTOR: u64 = 2;

/// How long jobs have been waiting beside free room.
#[derive(Default)]
pub struct IdleWatch {
    since: Map<JobId, Millis>,
    /// The longest wait, and the job that waited.
    pub worst: (Millis, Option<JobId>),
}

impl IdleWatch {
    /// Runs the site, and notes how long each of some jobs waits beside free room.
    pub fn run(&mut self, site: &mut Site, ids: &[JobId], span: Millis) {
        let end = site.now + span;
        while site.now < end {
            site.turn();
            self.note(site, ids);
        }
    }

    /// Notes which of some jobs wait beside free room now.
    pub fn note(&mut self, site: &Site, ids: &[JobId]) {
        let is_quiet = is_quiet(site);
        for id in ids {
            let step = due(site, id).filter(|_| is_quiet && !runs(site, id));
            let waits = step.is_some_and(|step| {
                let together = if step.gang { u64::from(step.count) } else { 1 };
                room(site, &step.occupies()) >= together * ROOM_FACTOR
            });
            if !waits {
                self.since.remove(id);
                continue;
            }
            let since = *self.since.entry(id.clone()).or_insert(site.now);
            let waited = site.now.since(since);
            if waited > self.worst.0 {
                self.worst = (waited, Some(id.clone()));
            }
        }
    }
}

fn runs(site: &Site, id: &JobId) -> bool {
    let up = site.workers.iter().filter(|w| w.up);
    up.flat_map(|w| w.runs.keys()).any(|task| task.job == *id)
}

/// The first step whose turn has come; none once the job has ended.
fn due<'a>(site: &'a Site, id: &JobId) -> Option<&'a StepSpec> {
    let ended = site.phase_shown(id).is_some_and(JobPhase::is_final);
    let steps = &site.stored[id].0.work.steps;
    let is_done = |num: usize| site.is_step_done(id, num);
    let mut all = steps.iter().enumerate();
    let found = all.find(|(num, step)| {
        !is_done(*num) && step.after.iter().all(|after| is_done(usize::from(*after)))
    });
    found.map(|(_, step)| step).filter(|_| !ended)
}

fn is_quiet(site: &Site) -> bool {
    let (mut all, mut used) = (Resources::default(), Resources::default());
    for worker in site.workers.iter().filter(|w| w.up && w.listed) {
        all += worker.capacity;
        used += worker.used();
    }
    let half = |all: u64, used: u64| used * 2 < all;
    half(all.cpu, used.cpu) && half(all.memory, used.memory) && half(all.accels, used.accels)
}

fn room(site: &Site, need: &Resources) -> u64 {
    let up = site.workers.iter().filter(|w| w.up && w.listed);
    up.map(|w| need.count_fitting(&w.capacity.saturating_sub(&w.used())))
        .sum()
}
