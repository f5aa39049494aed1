//! The registry in which services look each other up by name.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use base::Map;
use quick_error::quick_error;

quick_error! {
    /// Why a service was not found or could not be added.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum KernelError {
        /// No service is registered under the name.
        Missing(name: &'static str) {
            display("no service {name:?} is registered: start it before the services that use it")
        }
        /// Another service is registered under the name.
        Taken(name: &'static str) {
            display("service {name:?} is already registered: choose another name")
        }
        /// The handle registered under the name does not have the requested type.
        WrongType(name: &'static str) {
            display("the handle of service {name:?} does not have the requested type")
        }
    }
}

/// Registry of service handles by name. Clones share the same content.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    handles: Rc<RefCell<Map<&'static str, Box<dyn Any>>>>,
}

impl ServiceRegistry {
    /// Returns a clone of the handle registered under `name`.
    pub fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T, KernelError> {
        let handles = self.handles.borrow();
        let handle = handles.get(name).ok_or(KernelError::Missing(name))?;
        let typed = handle.downcast_ref::<T>();
        typed.cloned().ok_or(KernelError::WrongType(name))
    }

    pub(crate) fn insert<T: 'static>(
        &self,
        name: &'static str,
        handle: T,
    ) -> Result<(), KernelError> {
        let mut handles = self.handles.borrow_mut();
        if handles.contains_key(name) {
            return Err(KernelError::Taken(name));
        }
        handles.insert(name, Box::new(handle));
        Ok(())
    }

    pub(crate) fn remove(&self, name: &'static str) {
        self.handles.borrow_mut().remove(name);
    }
}
