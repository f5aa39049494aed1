//! The directory in which services find each other.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;

use base::Map;
use quick_error::quick_error;

quick_error! {
    /// Why a service was not found or not added.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum KernelError {
        /// No service has the name.
        Missing(name: &'static str) {
            display("no service is named {name:?}: start it before its users")
        }
        /// Another service has the name.
        Taken(name: &'static str) {
            display("a service is already named {name:?}: choose another name")
        }
        /// The service's handle has another type.
        WrongType(name: &'static str) {
            display("service {name:?} has a handle of another type")
        }
    }
}

/// Handles of services by name. Clones share the same directory.
#[derive(Clone, Default)]
pub struct Names {
    handles: Rc<RefCell<Map<&'static str, Box<dyn Any>>>>,
}

impl Names {
    /// The handle of a service.
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
