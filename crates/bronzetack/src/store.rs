//! Store service: holds the client of the platform's key-value store.

use base::Millis;
use kernel::Kernel;
use kernel::KernelError;
use plat::Store;
use plat::StoreConfig;

use crate::context::DaemonContext;

/// Name of the service; its handle is [`Store`].
pub const STORE: &str = "store";

/// Time limit of a call, half of which is for the first of two attempts. Long enough for a slow
/// store, and short enough that the second attempt is made within the coordinator's lease.
const CALL_TIMEOUT: Millis = Millis(2_000);

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let platform = &context.node.platform;
    let endpoints = platform.store.iter().map(|e| e.addr()).collect();
    let mut config = StoreConfig::new(endpoints, context.seed(STORE));
    config.rate = platform.calls;
    config.call_timeout = CALL_TIMEOUT;
    let store = Store::new(
        config,
        context.log.clone(),
        &context.metrics,
        context.clock.clone(),
    );
    kernel.add(STORE, store, |store| async move { store.close() })
}
