//! Making room for a step that found none: requests to the adviser, preemption, reservation.

use base::Millis;

use super::placement::Placed;
use super::victims::Preemption;
use super::victims::Pressure;
use super::Attempt;
use super::Pass;
use super::WaitingStep;
use super::ROOM_FACTOR;
use crate::place::eligible_among;
use crate::preempt;
use crate::reserve;
use crate::scheduler::Scheduler;

/// Most gangs that resources are reserved for at a time.
const MAX_RESERVED_GANGS: usize = 2;

/// Time that a gang waits before resources are reserved for it.
const RESERVE_AFTER: Millis = Millis(500);

/// What becomes of a step whose tasks found no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outlook {
    /// It waits, while runs are being stopped for it.
    Frees,
    /// It waits.
    Waits,
    /// No rack can be freed in time; elsewhere the step is slower, but it begins.
    LeavesRacks,
}

/// Whether the workers have room for the missing tasks of a step several times over.
fn has_ample_room(pass: &Pass, attempt: &Attempt, among: &[usize]) -> bool {
    let need = attempt.spec.occupies();
    let room = among.iter().map(|&num| need.count_fitting(&pass.free[num]));
    let wanted = attempt.missing.len() as u64 * ROOM_FACTOR;
    room.fold(0, u64::saturating_add) >= wanted
}

impl Scheduler {
    /// Makes room for the tasks of a step that were not placed.
    pub(super) fn make_room(
        &mut self,
        pass: &mut Pass,
        at: &WaitingStep,
        attempt: &Attempt,
        placed: Placed,
    ) -> Outlook {
        let Placed {
            unplaced,
            among,
            failure,
            futile,
            ..
        } = placed;
        let spec = &attempt.spec;
        let avoid = attempt.avoided();
        let plain = attempt.is_plain() && avoid.is_empty();
        if plain && !futile {
            pass.failures.push(failure.clone());
        }
        let limits = attempt.limits(&avoid);
        let among: Vec<usize> = match spec.gang {
            true => among,
            false => eligible_among(&among, &pass.candidates, spec, &limits),
        };
        if let Some(rule) = attempt.rule {
            self.advice.enqueue(
                &attempt.step,
                rule,
                &pass.candidates,
                (spec, &limits),
                unplaced,
            );
        }
        if attempt.urgent && at.rank.may_preempt() {
            let worth = preempt::work(&spec.need, limits.duration).saturating_mul(unplaced as u64);
            let most = attempt.pressure.max_loss(at.guaranteed, worth);
            // A gang that needs as much as one that could not be helped, and may cost no more, cannot
            // be helped either.
            let known = plain && spec.gang;
            let hopeless = known
                && pass
                    .unaffordable
                    .iter()
                    .any(|(f, m)| f.covers(&failure) && most <= *m);
            let attempted = match hopeless {
                true => Preemption::NoChoice,
                false => self.preempt_for(pass, at, &among, (spec, &limits), unplaced, most),
            };
            let asks_rack = spec.one_rack || spec.data_rack.is_some() && !limits.remote;
            if attempted == Preemption::NoChoice && attempt.pressure == Pressure::Last && asks_rack
            {
                return Outlook::LeavesRacks;
            }
            self.log_delay(at, &among, &attempted);
            if attempted == Preemption::Begun {
                return Outlook::Frees;
            }
            if known && !hopeless {
                pass.unaffordable.push((failure, most));
            }
        }
        if spec.one_rack && self.is_overdue(pass, at) && has_ample_room(pass, attempt, &among) {
            return Outlook::LeavesRacks;
        }
        let starved = attempt.waited >= RESERVE_AFTER && !at.rank.is_expired();
        if spec.gang && starved && pass.reserved < MAX_RESERVED_GANGS {
            if pass.reserved == 0 {
                self.add_running(&mut pass.candidates, pass.now);
            }
            reserve::reserve_among(&among, &mut pass.candidates, spec, &limits, unplaced);
            pass.reserved += 1;
        }
        Outlook::Waits
    }
}
