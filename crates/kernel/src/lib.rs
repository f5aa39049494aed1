//! Registry of named services with ordered start and close.
//!
//! A [`Kernel`] knows services only by name. Services are added in the order in which they
//! start, find each other through [`Names`], and are closed in the reverse order.

mod names;

use std::future::Future;
use std::pin::Pin;

use base::Millis;
use futures_util::FutureExt;
use slog::Logger;

pub use names::KernelError;
pub use names::Names;

/// A future of a service's clean-up.
type Closing = Pin<Box<dyn Future<Output = ()>>>;

struct Service {
    name: &'static str,
    close: Box<dyn FnOnce() -> Closing>,
}

/// The services of one process.
pub struct Kernel {
    log: Logger,
    names: Names,
    services: Vec<Service>,
}

/// How a shutdown ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CloseReport {
    /// Services that did not finish their clean-up within the bound.
    pub late: Vec<&'static str>,
}

impl Kernel {
    /// A kernel without services.
    pub fn new(log: Logger) -> Kernel {
        Kernel {
            log,
            names: Names::default(),
            services: Vec::new(),
        }
    }

    /// The directory of names that services keep to find each other.
    pub fn names(&self) -> Names {
        self.names.clone()
    }

    /// Adds a started service: the handle that others find, and its clean-up.
    ///
    /// Fails if the name is taken; the clean-up is then not kept.
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
        self.names.insert(name, handle.clone())?;
        slog::debug!(self.log, "service added"; "name" => name);
        self.services.push(Service {
            name,
            close: Box::new(move || close(handle).boxed_local()),
        });
        Ok(())
    }

    /// Closes all services, last one first, each within `bound`.
    pub async fn close(mut self, bound: Millis) -> CloseReport {
        let mut late = Vec::new();
        while let Some(service) = self.services.pop() {
            let closing = (service.close)();
            let ended = actix_rt::time::timeout(bound.duration(), closing).await;
            if ended.is_err() {
                late.push(service.name);
            }
            self.names.remove(service.name);
        }
        CloseReport { late }
    }
}
