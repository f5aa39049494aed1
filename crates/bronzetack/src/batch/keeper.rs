//! Renewal of the coordinator's lease, on a thread of its own so that it never waits behind other
//! work of the daemon.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use actix_rt::Arbiter;
use base::Clock;
use base::Millis;
use platform::LeaseId;
use platform::Store;

/// Number of renewals of the lease within its length.
const RENEWALS_PER_LEASE: u64 = 4;

/// Delay after a failed renewal as a part of the lease, so that several fit into what is left of it.
const RETRY_DIVISOR: u64 = 16;

/// Time-out of a renewal as a part of the lease; after a lost response there is time for another.
const TIMEOUT_DIVISOR: u64 = 3;

#[derive(Debug)]
struct State {
    /// Time in milliseconds until which the lease is known to be valid.
    valid_until: AtomicU64,
    /// Whether the store has reported that the lease has ended.
    is_lost: AtomicBool,
    is_closed: AtomicBool,
}

/// Renews a lease of the store until it is closed or the lease has ended.
#[derive(Debug)]
pub struct LeaseKeeper {
    state: Arc<State>,
}

/// State of a lease that a [`LeaseKeeper`] renews.
#[derive(Clone, Debug)]
pub struct LeaseStatus {
    state: Arc<State>,
}

impl LeaseStatus {
    /// Time until which the lease is known to be valid.
    pub fn valid_until(&self) -> Millis {
        Millis(self.state.valid_until.load(Ordering::Relaxed))
    }

    /// Whether the store has reported that the lease has ended.
    pub fn is_lost(&self) -> bool {
        self.state.is_lost.load(Ordering::Relaxed)
    }
}

impl LeaseKeeper {
    /// Starts to renew a lease of length `ttl` that is valid until `valid_until`.
    pub fn start(
        store: SocketAddr,
        lease: LeaseId,
        ttl: Millis,
        valid_until: Millis,
    ) -> LeaseKeeper {
        let state = Arc::new(State {
            valid_until: AtomicU64::new(valid_until.0),
            is_lost: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        });
        let arbiter = Arbiter::new();
        let handle = arbiter.handle();
        let task_state = state.clone();
        // The client of the store must be created on the thread that uses it.
        let spawned = arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                let store = Store::new(store, Millis(ttl.0 / TIMEOUT_DIVISOR));
                renew(&store, lease, ttl, &task_state).await;
                handle.stop();
            });
        });
        if !spawned {
            state.is_lost.store(true, Ordering::Relaxed);
        }
        LeaseKeeper { state }
    }

    /// A view of the lease's state that stays current.
    pub fn status(&self) -> LeaseStatus {
        LeaseStatus {
            state: self.state.clone(),
        }
    }

    /// Stops the renewal. The lease then expires unless it is revoked.
    pub fn close(self) {
        self.state.is_closed.store(true, Ordering::Relaxed);
    }
}

async fn renew(store: &Store, lease: LeaseId, ttl: Millis, state: &State) {
    let clock = Clock::System;
    while !state.is_closed.load(Ordering::Relaxed) {
        let sent = clock.now();
        let mut interval = Millis(ttl.0 / RENEWALS_PER_LEASE);
        match store.renew_lease(lease).await {
            Ok(true) => state.valid_until.store((sent + ttl).0, Ordering::Relaxed),
            Ok(false) => {
                state.is_lost.store(true, Ordering::Relaxed);
                return;
            }
            // The time until which the lease is valid shows the failure; the daemon's other calls
            // log the outage.
            Err(_) => interval = Millis(ttl.0 / RETRY_DIVISOR),
        }
        actix_rt::time::sleep(interval.duration()).await;
    }
}
