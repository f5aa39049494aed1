//! What is stopped so that work of the highest priority can start.
//!
//! Load pattern: the site is full of long work when a burst of short urgent jobs comes. Stopped
//! work is lost back to its last checkpoint, so the least of it is stopped.

use base::Map;
use base::Millis;
use base::WorkerId;

use crate::book::Book;
use crate::job::RunPhase;
use crate::place::is_eligible;
use crate::place::Limits;
use crate::place::Room;
use crate::spec::Resources;
use crate::spec::StepSpec;
use crate::spec::TaskId;

/// Cores that an accelerator is worth when lost work is compared.
const ACCEL_CORES: u64 = 8;

/// What a stop of a run, or of all members of a gang, would lose.
struct Victim {
    tasks: Vec<(TaskId, usize)>,
    need: Resources,
    loss: u64,
}

impl Book {
    /// Stops the work of lower priority that loses least, until the tasks fit. What is already
    /// being stopped counts first. All or nothing for a gang.
    pub(crate) fn preempt(
        &mut self,
        rooms: &mut [Room],
        spec: &StepSpec,
        limits: &Limits,
        count: usize,
        now: Millis,
    ) {
        let need = spec.occupies();
        let victims = self.victims(rooms, now);
        let mut taken = vec![false; victims.len()];
        let mut trial: Vec<Resources> = Vec::with_capacity(rooms.len());
        for room in rooms.iter() {
            let mut sum = room.free;
            sum += room.coming;
            trial.push(sum);
        }
        let mut placed = Vec::new();
        let mut on_worker = limits.on_worker.to_vec();
        for _ in 0..count {
            let mut best: Option<(u64, usize, Vec<usize>)> = None;
            for (num, room) in rooms.iter().enumerate() {
                let limits = Limits {
                    on_worker: &on_worker,
                    ..*limits
                };
                if !is_eligible(room, num, spec, &limits) {
                    continue;
                }
                let Some((loss, chosen)) = cheapest(&trial[num], &need, &victims, &taken, num)
                else {
                    continue;
                };
                if best.as_ref().is_none_or(|b| loss < b.0) {
                    best = Some((loss, num, chosen));
                }
            }
            let Some((_, num, chosen)) = best else { break };
            for victim in chosen {
                taken[victim] = true;
                for (_, at) in &victims[victim].tasks {
                    trial[*at] += victims[victim].need;
                }
            }
            trial[num] -= need;
            on_worker[num] += 1;
            placed.push(num);
        }
        if spec.gang && placed.len() < count {
            return;
        }
        for (num, room) in rooms.iter_mut().enumerate() {
            let here = placed.iter().filter(|&&p| p == num).count();
            for _ in 0..here {
                // Kept for this step: nothing that comes later in the pass may take it.
                room.free -= need;
                room.coming = room.coming.without(&need);
            }
        }
        for (victim, _) in victims.iter().zip(&taken).filter(|(_, t)| **t) {
            for (task, _) in &victim.tasks {
                self.stop(task);
            }
            if let Some((task, _)) = victim.tasks.first() {
                let text = format!("{task} and its gang are stopped for work of priority 0");
                self.note(Some(&task.job), text);
            }
        }
    }

    /// Runs of lower priority on the rooms, each with the work that a stop would lose. The
    /// members of a gang go together.
    fn victims(&self, rooms: &[Room], now: Millis) -> Vec<Victim> {
        let place: Map<&WorkerId, usize> = rooms
            .iter()
            .enumerate()
            .map(|(num, r)| (&r.id, num))
            .collect();
        let mut out = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if job.given.priority == 0 || job.phase.is_final() {
                continue;
            }
            for (&occurrence, state) in &job.open {
                for (num, spec) in job.given.work.steps.iter().enumerate() {
                    let need = spec.occupies();
                    let cost = need.cpu / 1000 + ACCEL_CORES * need.accels;
                    let mut gang: Option<Victim> = None;
                    for (index, task) in state.steps[num].tasks.iter().enumerate() {
                        let Some(open) = task.open.as_ref() else {
                            continue;
                        };
                        let Some(&at) = place.get(&open.worker) else {
                            continue;
                        };
                        if open.phase != RunPhase::Running {
                            continue;
                        }
                        let from = open.saved_at.or(open.seen).unwrap_or(open.since);
                        let loss = cost * now.since(from).0;
                        let id = TaskId {
                            job: id.clone(),
                            occurrence,
                            step: num as u16,
                            index: index as u16,
                        };
                        match (&mut gang, spec.gang) {
                            (Some(gang), true) => {
                                gang.tasks.push((id, at));
                                gang.loss += loss;
                            }
                            (None, true) => {
                                gang = Some(Victim {
                                    tasks: vec![(id, at)],
                                    need,
                                    loss,
                                });
                            }
                            (_, false) => out.push(Victim {
                                tasks: vec![(id, at)],
                                need,
                                loss,
                            }),
                        }
                    }
                    out.extend(gang);
                }
            }
        }
        out
    }
}

/// The victims on worker `num` whose loss is least and whose room suffices with `have`.
fn cheapest(
    have: &Resources,
    need: &Resources,
    victims: &[Victim],
    taken: &[bool],
    num: usize,
) -> Option<(u64, Vec<usize>)> {
    if have.fits(need) {
        return Some((0, Vec::new()));
    }
    let here = victims
        .iter()
        .enumerate()
        .filter(|(v, victim)| !taken[*v] && victim.tasks.iter().any(|(_, at)| *at == num));
    let mut here: Vec<(usize, &Victim)> = here.collect();
    here.sort_by_key(|(_, v)| v.loss / v.need.accels.max(1));
    let mut sum = *have;
    let mut loss = 0;
    let mut chosen = Vec::new();
    for (index, victim) in here {
        let members = victim.tasks.iter().filter(|(_, at)| *at == num).count();
        for _ in 0..members {
            sum += victim.need;
        }
        loss += victim.loss;
        chosen.push(index);
        if sum.fits(need) {
            return Some((loss, chosen));
        }
    }
    None
}
