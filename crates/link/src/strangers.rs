//! Accepted connections whose hello was not read yet.
//!
//! Failure pattern: connections that say nothing take the descriptors of the process. A daemon says hello at
//! once, so the connection that has waited longest makes room for a new one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// Most connections whose hello was not read yet.
const MAX_STRANGERS: usize = 128;

/// The connections, in the order in which they were accepted.
#[derive(Debug, Default)]
pub(crate) struct Strangers {
    waiting: RefCell<VecDeque<Rc<Notify>>>,
}

impl Strangers {
    /// Adds a connection, and ends the oldest one if there are too many.
    pub fn add(&self) -> Stranger<'_> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_STRANGERS {
            if let Some(oldest) = waiting.pop_front() {
                oldest.notify_one();
            }
        }
        let end = Rc::new(Notify::new());
        waiting.push_back(end.clone());
        Stranger { all: self, end }
    }
}

/// A connection, until this is dropped.
pub(crate) struct Stranger<'a> {
    all: &'a Strangers,
    end: Rc<Notify>,
}

impl Stranger<'_> {
    /// Waits until the connection has to make room.
    pub async fn ended(&self) {
        self.end.notified().await;
    }
}

impl Drop for Stranger<'_> {
    fn drop(&mut self) {
        let mut waiting = self.all.waiting.borrow_mut();
        waiting.retain(|other| !Rc::ptr_eq(other, &self.end));
    }
}
