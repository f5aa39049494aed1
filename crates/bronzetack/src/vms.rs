//! VMs service: polls the platform's list of VMs and publishes it to the other services.

use std::rc::Rc;

use base::Accels;
use base::Millis;
use base::WorkerSpec;
use kernel::Kernel;
use kernel::KernelError;
use plat::VmList;
use plat::VmState;
use plat::Vms;
use plat::VmsConfig;
use plat::WorkerVm;
use tokio::sync::watch;

use crate::context::DaemonContext;

/// Name of the service; its handle is [`VmFeed`].
pub const VMS: &str = "vms";

/// Interval at which the list is read.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Time limit of a read.
const READ_TIMEOUT: Millis = Millis(1_000);

/// Time limit for making a connection.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Handle of the service: gives the latest list and waits for the next one.
#[derive(Clone)]
pub struct VmFeed {
    lists: watch::Receiver<Rc<VmList>>,
}

impl VmFeed {
    /// The list that was last read successfully; empty before the first successful read.
    pub fn list(&self) -> Rc<VmList> {
        self.lists.borrow().clone()
    }

    /// Waits for the next list. `None` once the service has stopped.
    pub async fn next(&mut self) -> Option<Rc<VmList>> {
        self.lists.changed().await.ok()?;
        Some(self.lists.borrow_and_update().clone())
    }
}

/// Starts the service.
pub fn start(kernel: &mut Kernel, context: &DaemonContext) -> Result<(), KernelError> {
    let config = VmsConfig {
        endpoints: vec![context.node.platform.vms.addr()],
        poll_interval: POLL_INTERVAL,
        read_timeout: READ_TIMEOUT,
        connect_timeout: CONNECT_TIMEOUT,
        seed: context.seed(VMS),
    };
    let mut vms = Vms::start(
        config,
        context.log.clone(),
        &context.metrics,
        context.clock.clone(),
    );
    let (tx, rx) = watch::channel(Rc::default());
    let task = actix_rt::spawn(async move {
        loop {
            vms.changed().await;
            if let Some(list) = vms.list() {
                tx.send_replace(list);
            }
        }
    });
    kernel.add(
        VMS,
        VmFeed { lists: rx },
        move |_| async move { task.abort() },
    )
}

/// The properties of a worker that scheduling uses.
pub fn worker_spec(vm: &WorkerVm) -> WorkerSpec {
    WorkerSpec {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        rack: vm.rack.clone(),
        accels: Accels(vm.accels.0),
        cores: vm.cores,
        memory: vm.memory,
    }
}

/// Whether the platform lists the worker as leaving; it then gets no new work.
pub fn is_leaving(vm: &WorkerVm) -> bool {
    vm.state == VmState::Leaving
}
