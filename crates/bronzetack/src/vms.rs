//! The service that reads the platform's list of VMs and passes it on.

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

/// Name of the service.
pub const VMS: &str = "vms";

/// Time between two reads of the list.
const PERIOD: Millis = Millis(1_000);

/// Time for one read.
const DEADLINE: Millis = Millis(1_000);

/// Time for one connection to be made.
const CONNECT: Millis = Millis(300);

/// Handle of the service: the last list, and news of the next one.
#[derive(Clone)]
pub struct VmFeed {
    lists: watch::Receiver<Rc<VmList>>,
}

impl VmFeed {
    /// The last good list; empty before the first.
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
pub fn start(kernel: &mut Kernel, site: &DaemonContext) -> Result<(), KernelError> {
    let config = VmsConfig {
        endpoints: vec![site.node.platform.vms.addr()],
        poll_interval: PERIOD,
        read_timeout: DEADLINE,
        connect_timeout: CONNECT,
        seed: site.seed(VMS),
    };
    let mut vms = Vms::start(config, site.log.clone(), &site.metrics, site.clock.clone());
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

/// The scheduling side of a worker.
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

/// Whether a worker takes no new work.
pub fn is_leaving(vm: &WorkerVm) -> bool {
    vm.state == VmState::Leaving
}
