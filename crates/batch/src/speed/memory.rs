//! The record of what is known about speeds, from which the next coordinator goes on.
//!
//! Load pattern: the coordinator is lost while urgent gangs arrive. Without the record the next one
//! would place them by room alone for some seconds. Workers are named by a hash of their id and
//! incarnation, so that whatever comes back as another worker is unknown again, and the record stays
//! small.

use base::Map;
use base::Millis;
use base::ServiceId;
use base::WorkerId;
use ciborium::value::Value;
use serde::Deserialize;
use serde::Serialize;

use super::PoolFit;
use crate::record::RecordError;

/// Version of the format. A record of any other is not used.
const VERSION: u8 = 1;

/// Age from which a record is not used.
const MAX_AGE: Millis = Millis(600_000);

/// Bytes of each worker: its hash, its level and the deviation of that.
const WORKER_BYTES: usize = 10;

/// Units of level and deviation in a record.
const LEVEL_UNIT: f64 = 0.02;
const DEVIATION_UNIT: f64 = 0.005;

/// Recorded level of a worker and its deviation, as logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Logarithm of the speed relative to the pool.
    pub log: f64,
    /// Standard deviation of the logarithm.
    pub deviation: f64,
}

/// Ratio of a queue's durations to their estimates, in percent, and the mean deviation from it in
/// thousandths of a logarithm.
pub type QueueRatio = (u32, u32);

/// What is known about speeds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpeedRecord {
    /// Unix time at which it was made.
    pub at: Millis,
    /// The ratio of each queue.
    pub queues: Map<String, QueueRatio>,
    /// The pools whose workers differ.
    pub pools: Map<ServiceId, PoolFit>,
    /// The workers, by [`worker_key`].
    pub workers: Map<u64, Level>,
}

#[derive(Deserialize, Serialize)]
struct RecordWire {
    version: u8,
    at: u64,
    queues: Map<String, QueueRatio>,
    pools: Map<ServiceId, (Value, Value)>,
    workers: Value,
}

/// Names one incarnation of a worker in a record.
pub fn worker_key(id: &WorkerId, born: u64) -> u64 {
    // FNV-1a: the same on every daemon, whatever it was built with.
    let bytes = id.as_str().bytes().chain(born.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

impl SpeedRecord {
    /// Encodes the record as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut workers = Vec::with_capacity(self.workers.len() * WORKER_BYTES);
        for (key, level) in &self.workers {
            let log = (level.log / LEVEL_UNIT).round().clamp(-127.0, 127.0) as i8;
            let deviation = (level.deviation / DEVIATION_UNIT).round().clamp(1.0, 255.0) as u8;
            workers.extend(key.to_le_bytes());
            workers.extend([log as u8, deviation]);
        }
        let pools = self.pools.iter().map(|(pool, fit)| {
            let (parts, noise) = fit.to_bytes();
            (pool.clone(), (Value::Bytes(parts), Value::Bytes(noise)))
        });
        let wire = RecordWire {
            version: VERSION,
            at: self.at.0,
            queues: self.queues.clone(),
            pools: pools.collect(),
            workers: Value::Bytes(workers),
        };
        let mut bytes = Vec::new();
        let written = ciborium::into_writer(&wire, &mut bytes);
        written.map_err(|e| RecordError::Encode(e.to_string()))?;
        Ok(bytes)
    }

    /// Decodes a record that is read at the Unix time `wall`.
    pub fn decode(bytes: &[u8], wall: Millis) -> Result<SpeedRecord, RecordError> {
        let malformed = |text: &str| RecordError::Malformed(text.to_string());
        let wire: RecordWire =
            ciborium::from_reader(bytes).map_err(|e| RecordError::Malformed(e.to_string()))?;
        if wire.version != VERSION {
            return Err(malformed("another version"));
        }
        if wall.since(Millis(wire.at)) > MAX_AGE {
            return Err(malformed("too old"));
        }
        let workers = wire.workers.into_bytes();
        let workers = workers.map_err(|_| malformed("the workers are not bytes"))?;
        let mut pools = Map::default();
        for (pool, (parts, noise)) in wire.pools {
            let parts = parts.into_bytes().ok();
            let noise = noise.into_bytes().ok();
            let fit = parts
                .zip(noise)
                .and_then(|(p, n)| PoolFit::from_bytes(&p, &n));
            pools.insert(
                pool,
                fit.ok_or_else(|| malformed("no distribution of speeds"))?,
            );
        }
        if workers.len() % WORKER_BYTES != 0 {
            return Err(malformed("the workers are cut"));
        }
        let levels = workers.chunks_exact(WORKER_BYTES).filter_map(|row| {
            let key = u64::from_le_bytes(row.get(..8)?.try_into().ok()?);
            let level = Level {
                log: f64::from(row[8] as i8) * LEVEL_UNIT,
                deviation: f64::from(row[9]) * DEVIATION_UNIT,
            };
            Some((key, level))
        });
        Ok(SpeedRecord {
            at: Millis(wire.at),
            queues: wire.queues,
            pools,
            workers: levels.collect(),
        })
    }
}
