//! Look-up of services by name, and the order in which they are closed.

use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;

use base::Millis;
use kernel::Kernel;
use kernel::KernelError;

const CLOSE_TIMEOUT: Millis = Millis(20);

fn kernel() -> Kernel {
    Kernel::new(slog::Logger::root(slog::Discard, slog::o!()))
}

#[actix_rt::test]
async fn finds_handles_by_name_and_type() {
    let mut kernel = kernel();
    kernel.add("port", 7u16, |_| async {}).unwrap();
    let registry = kernel.registry();
    assert_eq!(registry.find::<u16>("port"), Ok(7));
    assert_eq!(
        registry.find::<u32>("port"),
        Err(KernelError::WrongType("port"))
    );
    assert_eq!(
        registry.find::<u16>("host"),
        Err(KernelError::Missing("host"))
    );
}

#[actix_rt::test]
async fn rejects_a_duplicate_name() {
    let mut kernel = kernel();
    kernel.add("port", 7u16, |_| async {}).unwrap();
    let duplicate = kernel.add("port", 8u16, |_| async {});
    assert_eq!(duplicate, Err(KernelError::Taken("port")));
}

#[actix_rt::test]
async fn closes_services_in_reverse_order() {
    let order = Rc::new(RefCell::new(Vec::new()));
    let mut kernel = kernel();
    for name in ["first", "second", "third"] {
        let order = order.clone();
        let close = move |_| async move { order.borrow_mut().push(name) };
        kernel.add(name, (), close).unwrap();
    }
    let report = kernel.close(CLOSE_TIMEOUT).await;
    assert!(report.timed_out.is_empty());
    assert_eq!(*order.borrow(), ["third", "second", "first"]);
}

#[actix_rt::test]
async fn hung_service_does_not_block_the_others() {
    let closed = Rc::new(RefCell::new(false));
    let flag = closed.clone();
    let mut kernel = kernel();
    let close = move |_| async move { *flag.borrow_mut() = true };
    kernel.add("healthy", (), close).unwrap();
    kernel.add("hung", (), |_| pending::<()>()).unwrap();
    let report = kernel.close(CLOSE_TIMEOUT).await;
    assert_eq!(report.timed_out, ["hung"]);
    assert!(*closed.borrow());
}
