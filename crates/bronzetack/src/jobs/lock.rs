//! The lock of the coordinator: carries out what the election asks for.

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

/// The lock key of one failure domain, as one daemon uses it.
#[derive(Clone)]
pub struct Lock {
    store: Store,
    key: String,
    vm: VmId,
    lease: Rc<Cell<Option<LeaseId>>>,
}

impl Lock {
    /// A lock under `key`. Its calls go before all others.
    pub fn new(store: &Store, key: String, vm: VmId) -> Lock {
        Lock {
            store: store.with_priority(Priority::Lease),
            key,
            vm,
            lease: Rc::default(),
        }
    }

    /// Carries out an action that wants a call; `None` for the others.
    pub async fn call(&self, action: LockAction) -> Option<LockInput> {
        match action {
            LockAction::Acquire { call, lease } => Some(match self.acquire(lease).await {
                Ok(input) => with_call(input, call),
                Err(_) => LockInput::NoAnswer { call },
            }),
            LockAction::Read { call } => Some(match self.store.get(&self.key).await {
                Ok(entry) => with_call(self.holder(entry.as_ref()), call),
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

    /// What the lock key says.
    pub fn holder(&self, entry: Option<&Entry>) -> LockInput {
        LockInput::Holder {
            call: None,
            epoch: entry.map(|e| Epoch(e.create_revision.0)),
            own: entry.is_some_and(|e| self.is_own(e)),
        }
    }

    /// The key counts as own only under the lease that this process renews.
    fn is_own(&self, entry: &Entry) -> bool {
        entry.value == self.value() && entry.lease.is_some() && entry.lease == self.lease.get()
    }

    fn value(&self) -> Bytes {
        Bytes::copy_from_slice(self.vm.as_str().as_bytes())
    }

    async fn acquire(&self, ttl: Millis) -> Result<LockInput, StoreError> {
        let lease = match self.lease.get() {
            Some(lease) => lease,
            None => self.grant(ttl).await?,
        };
        let put = self
            .store
            .put_if(&self.key, Expect::Absent, self.value(), Some(lease));
        match put.await {
            Ok(WriteOutcome::Done(revision)) => Ok(LockInput::Holder {
                call: None,
                epoch: Some(Epoch(revision.0)),
                own: true,
            }),
            Ok(WriteOutcome::Conflict(entry)) => Ok(self.holder(entry.as_ref())),
            Err(error) => {
                self.forget_lapsed(&error);
                Err(error)
            }
        }
    }

    async fn grant(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(ttl).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    /// The store refuses a write under a lease that is over.
    fn forget_lapsed(&self, error: &StoreError) {
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
