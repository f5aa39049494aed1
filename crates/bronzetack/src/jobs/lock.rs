//! The coordinator lock: carries out the election's actions by calls to the platform store.

use std::cell::Cell;
use std::rc::Rc;

use base::Epoch;
use base::Millis;
use base::VmId;
use bytes::Bytes;
use plat::Entry;
use plat::Expect;
use plat::KeepAlive;
use plat::LeaseId;
use plat::Priority;
use plat::Store;
use plat::StoreError;
use plat::WriteOutcome;
use sched::LockAction;
use sched::LockInput;

/// The coordinator lock of a failure domain: a store entry that is bound to a lease of its holder.
#[derive(Clone)]
pub struct Lock {
    store: Store,
    key: String,
    vm: VmId,
    lease: Rc<Cell<Option<LeaseId>>>,
}

impl Lock {
    /// The lock stored under `key`, to be held by `vm`. Its calls have the highest priority of all
    /// calls to the store.
    pub fn new(store: &Store, key: String, vm: VmId) -> Lock {
        Lock {
            store: store.with_priority(Priority::Lease),
            key,
            vm,
            lease: Rc::default(),
        }
    }

    /// Carries out an action that calls the store and returns the input that answers it. `None`
    /// for `Release`, which needs no answer, and for actions without a call.
    pub async fn execute(&self, action: LockAction) -> Option<LockInput> {
        match action {
            LockAction::Acquire { call, lease } => Some(match self.acquire(lease).await {
                Ok(input) => with_call(input, call),
                Err(_) => LockInput::NoAnswer { call },
            }),
            LockAction::Read { call } => Some(match self.store.get(&self.key).await {
                Ok(entry) => with_call(self.holder_input(entry.as_ref()), call),
                Err(_) => LockInput::NoAnswer { call },
            }),
            LockAction::Renew { call } => Some(self.renew(call).await),
            LockAction::Release => {
                self.release().await;
                None
            }
            LockAction::Suspect(_) | LockAction::Elected(_) | LockAction::Lost => None,
        }
    }

    /// The holder of the lock according to the entry under its key.
    pub fn holder_input(&self, entry: Option<&Entry>) -> LockInput {
        LockInput::Holder {
            call: None,
            epoch: entry.map(|e| Epoch(e.create_revision.0)),
            own: entry.is_some_and(|e| self.is_own(e)),
        }
    }

    /// The entry counts as this daemon's only if it is bound to the lease that this process renews.
    fn is_own(&self, entry: &Entry) -> bool {
        entry.value == self.lock_value() && entry.lease.is_some() && entry.lease == self.lease.get()
    }

    fn lock_value(&self) -> Bytes {
        Bytes::copy_from_slice(self.vm.as_str().as_bytes())
    }

    async fn acquire(&self, ttl: Millis) -> Result<LockInput, StoreError> {
        let lease = match self.lease.get() {
            Some(lease) => lease,
            None => self.grant_lease(ttl).await?,
        };
        let put = self
            .store
            .put_if(&self.key, Expect::Absent, self.lock_value(), Some(lease));
        match put.await {
            Ok(WriteOutcome::Done(revision)) => Ok(LockInput::Holder {
                call: None,
                epoch: Some(Epoch(revision.0)),
                own: true,
            }),
            Ok(WriteOutcome::Conflict(entry)) => Ok(self.holder_input(entry.as_ref())),
            Err(error) => {
                self.clear_expired_lease(&error);
                Err(error)
            }
        }
    }

    async fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(ttl).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    /// Drops the lease if the store refused the write, as it does once the lease has expired.
    fn clear_expired_lease(&self, error: &StoreError) {
        if matches!(error, StoreError::Refused(..)) {
            self.lease.set(None);
        }
    }

    async fn renew(&self, call: u64) -> LockInput {
        let Some(lease) = self.lease.get() else {
            return LockInput::Renewed { call, alive: false };
        };
        match self.store.keep_alive(lease).await {
            Ok(KeepAlive::Alive(_)) => LockInput::Renewed { call, alive: true },
            Ok(KeepAlive::Lapsed) => {
                self.lease.set(None);
                LockInput::Renewed { call, alive: false }
            }
            Err(_) => LockInput::NoAnswer { call },
        }
    }

    async fn release(&self) {
        if let Some(lease) = self.lease.take() {
            let _ = self.store.revoke_lease(lease).await;
        }
    }
}

fn with_call(input: LockInput, call: u64) -> LockInput {
    match input {
        LockInput::Holder { epoch, own, .. } => LockInput::Holder {
            call: Some(call),
            epoch,
            own,
        },
        other => other,
    }
}
