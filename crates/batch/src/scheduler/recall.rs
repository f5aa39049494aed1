//! What a coordinator records about speeds, and what the next one takes from it.

use base::Millis;
use base::WorkerId;

use super::Scheduler;
use crate::speed::worker_key;
use crate::speed::Estimate;
use crate::speed::Evidence;
use crate::speed::Level;
use crate::speed::Speed;
use crate::speed::SpeedRecord;

/// Unit of recorded deviations of queues, in parts of a logarithm.
const DEVIATION_UNIT: f64 = 1_000.0;

impl Scheduler {
    /// What is known about speeds at the Unix time `wall`; `None` while the workers of all pools are
    /// alike.
    pub fn speed_record(&self, wall: Millis) -> Option<SpeedRecord> {
        let pools = self.fits.iter().filter(|(_, fit)| fit.differ);
        let mut record = SpeedRecord {
            at: wall,
            pools: pools.map(|(p, f)| (p.clone(), f.clone())).collect(),
            ..SpeedRecord::default()
        };
        if record.pools.is_empty() {
            return None;
        }
        for (queue, ratio) in &self.ratios {
            let deviation = self.deviations.get(queue).copied().unwrap_or_default();
            let deviation = (deviation * DEVIATION_UNIT) as u32;
            record.queues.insert(queue.clone(), (*ratio, deviation));
        }
        for (id, worker) in &self.workers {
            let level = worker.evidence.level;
            if let Some((log, deviation)) = level.filter(|_| worker.evidence.is_known()) {
                let key = worker_key(id, worker.born);
                record.workers.insert(key, Level { log, deviation });
            }
        }
        Some(record)
    }

    /// Number of workers whose speed is known and differs from that of others.
    pub fn known_speeds(&self) -> usize {
        let workers = self.workers.values();
        let known = workers.filter(|w| {
            let differ = self.unequal(&w.entry.pool).is_some();
            differ && w.evidence.is_known()
        });
        known.count()
    }

    /// Evidence of the speed of a worker; `None` if the worker is not known.
    pub fn evidence(&self, id: &WorkerId) -> Option<&Evidence> {
        self.workers.get(id).map(|w| &w.evidence)
    }

    /// Takes over what an earlier coordinator has recorded. What this one has learned itself stays.
    pub fn recall_speeds(&mut self, record: SpeedRecord, now: Millis) {
        for (queue, (ratio, deviation)) in &record.queues {
            self.ratios.entry(queue.clone()).or_insert(*ratio);
            let deviation = f64::from(*deviation) / DEVIATION_UNIT;
            self.deviations.entry(queue.clone()).or_insert(deviation);
        }
        for (pool, fit) in &record.pools {
            let known = self.fits.entry(pool.clone()).or_default();
            if !known.differ {
                *known = fit.clone();
            }
        }
        self.recorded = record.workers;
        let answered = self.workers.iter().filter(|(_, w)| w.clock.is_some());
        let answered: Vec<WorkerId> = answered.map(|(id, _)| id.clone()).collect();
        for id in answered {
            self.recall_worker(&id, now);
        }
        // The first estimate waits until the workers have answered: a few of them show no difference.
        self.new_evidence = true;
        self.fitted_at = now;
    }

    /// Takes over the recorded speed of a worker that has answered.
    pub(super) fn recall_worker(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let evidence = &mut worker.evidence;
        if evidence.level.is_some() {
            return;
        }
        let level = self.recorded.get(&worker_key(id, worker.born));
        if let Some(level) = level {
            evidence.recorded = Some((level.log, level.deviation, now));
            evidence.level = Some((level.log, level.deviation));
        }
        // An estimate from those that answered first may have found no difference yet.
        let fit = self.fits.get(&worker.entry.pool);
        if fit.is_some_and(|fit| fit.differ) {
            evidence.estimate = Estimate {
                speed: level.map_or(Speed::USUAL, |level| Speed::from_log(level.log)),
                known: evidence.is_known(),
            };
        }
    }
}
