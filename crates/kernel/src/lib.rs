//! Start and shutdown of the services of a process.
//!
//! A [`Kernel`] knows services only by name. Services are added in the order in which they
//! start, look each other up in [`ServiceRegistry`], and are closed in the reverse order.

mod registry;

use std::future::Future;
use std::pin::Pin;

use base::Millis;
use futures_util::FutureExt;
use slog::Logger;

pub use registry::KernelError;
pub use registry::ServiceRegistry;

/// A running clean-up of a service.
type CloseFuture = Pin<Box<dyn Future<Output = ()>>>;

struct Service {
    name: &'static str,
    close: Box<dyn FnOnce() -> CloseFuture>,
}

/// The services of one process.
pub struct Kernel {
    log: Logger,
    registry: ServiceRegistry,
    services: Vec<Service>,
}

/// Result of a shutdown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CloseReport {
    /// Services whose clean-up did not finish within the time limit, in the order of closing.
    pub timed_out: Vec<&'static str>,
}

impl Kernel {
    /// A kernel without services.
    pub fn new(log: Logger) -> Kernel {
        Kernel {
            log,
            registry: ServiceRegistry::default(),
            services: Vec::new(),
        }
    }

    /// The registry in which services look each other up.
    pub fn registry(&self) -> ServiceRegistry {
        self.registry.clone()
    }

    /// Adds a service that has been started: `handle` is what other services look up, and `close`
    /// is its clean-up.
    ///
    /// Fails if the name is already registered; `close` is then never called.
    pub fn add<T, F, C>(
        &mut self,
        name: &'static str,
        handle: T,
        close: C,
    ) -> Result<(), KernelError>
    where
        T: Clone + 'static,
        F: Future<Output = ()> + 'static,
        C: FnOnce(T) -> F + 'static,
    {
        self.registry.insert(name, handle.clone())?;
        slog::debug!(self.log, "service added"; "name" => name);
        self.services.push(Service {
            name,
            close: Box::new(move || close(handle).boxed_local()),
        });
        Ok(())
    }

    /// Closes all services in the reverse order of their start. A clean-up that takes longer than
    /// `timeout` is cancelled.
    pub async fn close(mut self, timeout: Millis) -> CloseReport {
        let mut timed_out = Vec::new();
        while let Some(service) = self.services.pop() {
            let closing = (service.close)();
            let ended = actix_rt::time::timeout(timeout.duration(), closing).await;
            if ended.is_err() {
                timed_out.push(service.name);
            }
            self.registry.remove(service.name);
        }
        CloseReport { timed_out }
    }
}
