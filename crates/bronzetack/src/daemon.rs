//! The daemon: starts its services in order and closes them in reverse order.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::Addr;
use actix_rt::time::timeout;
use actix_web::web::ServiceConfig;
use base::Clock;
use base::IdError;
use base::Millis;
use base::VmId;
use conf::node::NodeConfig;
use entry::callers_routes;
use entry::jobs_routes;
use entry::operators_routes;
use entry::Connections;
use entry::CountOpenRequests;
use entry::JobsPort;
use entry::OperatorsPort;
use entry::Ready;
use entry::Requests;
use entry::Server;
use kernel::CloseReport;
use kernel::Kernel;
use kernel::KernelError;
use obs::Event;
use obs::Metrics;
use quick_error::quick_error;
use slog::Logger;

use crate::claims;
use crate::claims::ClaimsActor;
use crate::claims::HandOver;
use crate::context::DaemonContext;
use crate::jobs;
use crate::jobs::Jobs;
use crate::members;
use crate::members::Leave;
use crate::members::MembersActor;
use crate::peers;
use crate::peers::Peers;
use crate::requests;
use crate::settings;
use crate::settings::Settings;
use crate::status;
use crate::status::StatusActor;
use crate::store;
use crate::vms;

quick_error! {
    /// Error at the start of a daemon.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The generated VM id is malformed.
        Id(error: IdError) {
            from()
            display("{error}")
        }
        /// A service is missing or its name is taken.
        Kernel(error: KernelError) {
            from()
            display("{error}")
        }
        /// A port could not be bound.
        Port(name: &'static str, address: SocketAddr, error: io::Error) {
            display("addresses.{name}: cannot listen on {address}: {error}; free it or choose another")
        }
    }
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ports {
    /// Callers' requests and jobs.
    pub callers: SocketAddr,
    /// Operators' interface, metrics and health checks.
    pub operators: SocketAddr,
    /// Links of other daemons.
    pub peers: SocketAddr,
}

/// A running daemon. Its actors run on the arbiter on which it was started.
pub struct Daemon {
    context: DaemonContext,
    kernel: Kernel,
    ports: Ports,
}

impl Daemon {
    /// Starts all services. If one cannot start, closes those already started and returns the
    /// error.
    pub async fn start(node: NodeConfig, log: Logger) -> Result<Daemon, DaemonError> {
        let context = create_context(node, log)?;
        let mut kernel = Kernel::new(context.log.clone());
        let context = DaemonContext {
            registry: kernel.registry(),
            ..context
        };
        match start_all(&mut kernel, &context) {
            Ok(ports) => {
                obs::emit(&context.log, Event::DaemonStarted, context.vm.as_str());
                Ok(Daemon {
                    context,
                    kernel,
                    ports,
                })
            }
            Err(error) => {
                obs::emit(&context.log, Event::ServiceFailed, &error.to_string());
                kernel.close(context.node.stop.bound).await;
                Err(error)
            }
        }
    }

    /// Addresses on which the daemon listens.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Id of this start of the daemon.
    pub fn vm(&self) -> &VmId {
        &self.context.vm
    }

    /// Stops as planned: reports that it is not ready, waits for requests in progress, hands its
    /// claims over to other daemons, and closes the services in reverse order of their start. The
    /// wait for requests is limited by `stop.bound` in the settings; the other steps have time-outs
    /// of their own.
    pub async fn close(self) -> CloseReport {
        obs::emit(
            &self.context.log,
            Event::DaemonStopping,
            self.context.vm.as_str(),
        );
        self.context.ready.close();
        let bound = self.context.node.stop.bound;
        if timeout(bound.duration(), drain(&self.context))
            .await
            .is_err()
        {
            obs::emit(
                &self.context.log,
                Event::StopForced,
                "requests are still in progress",
            );
        }
        if timeout(HAND_OVER_TIMEOUT.duration(), hand_over(&self.context))
            .await
            .is_err()
        {
            let text = "no other daemon has taken over the claims";
            obs::emit(&self.context.log, Event::StopForced, text);
        }
        let report = self.kernel.close(SERVICE_CLOSE_TIMEOUT).await;
        for name in &report.timed_out {
            obs::emit(&self.context.log, Event::StopForced, name);
        }
        obs::emit(
            &self.context.log,
            Event::DaemonStopped,
            self.context.vm.as_str(),
        );
        report
    }
}

/// Longest time for one service to close.
const SERVICE_CLOSE_TIMEOUT: Millis = Millis(3_000);

/// Longest wait for other daemons to take over the claims.
const HAND_OVER_TIMEOUT: Millis = Millis(5_000);

/// Time for the load balancer to see that the daemon is not ready and stop sending connections.
const BALANCER_DELAY: Millis = Millis(500);

/// Interval at which the number of requests in progress is checked.
const DRAIN_POLL_INTERVAL: Millis = Millis(20);

/// Waits until the load balancer sends no more connections and no request is in progress.
async fn drain(context: &DaemonContext) {
    let Ok(requests) = context.registry.find::<Addr<Requests>>(requests::REQUESTS) else {
        return;
    };
    actix_rt::time::sleep(BALANCER_DELAY.duration()).await;
    while requests
        .send(CountOpenRequests)
        .await
        .is_ok_and(|open| open > 0)
    {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
    }
}

/// Leaves the membership and waits until no claim depends on this daemon. Returns at once if no
/// other daemon is linked that could take the claims over.
async fn hand_over(context: &DaemonContext) {
    let peers = context.registry.find::<Peers>(peers::PEERS);
    if peers.is_ok_and(|peers| peers.live().is_empty()) {
        return;
    }
    if let Ok(members) = context
        .registry
        .find::<Addr<MembersActor>>(members::MEMBERS)
    {
        members.do_send(Leave);
    }
    if let Ok(claims) = context.registry.find::<Addr<ClaimsActor>>(claims::CLAIMS) {
        let _ = claims.send(HandOver).await;
    }
}

fn create_context(node: NodeConfig, log: Logger) -> Result<DaemonContext, DaemonError> {
    let clock = Clock::System;
    let host = match &node.vm {
        Some(vm) => vm.clone(),
        None => uuid::Uuid::new_v4().to_string().parse()?,
    };
    let vm = peers::start_id(&host, clock.now())?;
    let log = log.new(slog::o!("vm" => vm.to_string(), "domain" => node.domain.to_string()));
    let metrics = Metrics::new();
    let max_body = node.limits.body.0 as usize;
    let connections = Connections::new(node.limits.memory, max_body, log.clone(), &metrics);
    Ok(DaemonContext {
        node: Rc::new(node),
        vm,
        log,
        metrics,
        connections,
        clock,
        registry: kernel::ServiceRegistry::default(),
        ready: Ready::default(),
    })
}

fn start_all(kernel: &mut Kernel, context: &DaemonContext) -> Result<Ports, DaemonError> {
    store::start(kernel, context)?;
    vms::start(kernel, context)?;
    let peers = peers::start(kernel, context)?;
    requests::start(kernel, context, claims::client(context.registry.clone()))?;
    jobs::start(kernel, context)?;
    settings::start(kernel, context)?;
    claims::start(kernel, context)?;
    members::start(kernel, context)?;
    status::start(kernel, context)?;
    let operators = start_operators(kernel, context)?;
    let callers = start_callers(kernel, context)?;
    Ok(Ports {
        callers,
        operators,
        peers,
    })
}

fn jobs_port(context: &DaemonContext) -> Result<JobsPort, KernelError> {
    let jobs: Addr<Jobs> = context.registry.find(jobs::JOBS)?;
    Ok(JobsPort {
        submit: jobs.clone().recipient(),
        get: jobs.clone().recipient(),
        list: jobs.clone().recipient(),
        cancel: jobs.recipient(),
    })
}

fn start_callers(kernel: &mut Kernel, context: &DaemonContext) -> Result<SocketAddr, DaemonError> {
    let requests: Addr<Requests> = context.registry.find(requests::REQUESTS)?;
    let requests = requests.recipient();
    let ready = context.ready.clone();
    let body = context.node.limits.body.0 as usize;
    let jobs = jobs_port(context)?;
    let routes = move |app: &mut ServiceConfig| {
        jobs_routes(app, jobs.clone());
        callers_routes(app, requests.clone(), ready.clone(), body);
    };
    listen(
        kernel,
        context,
        "callers",
        context.node.addresses.callers,
        routes,
    )
}

fn start_operators(
    kernel: &mut Kernel,
    context: &DaemonContext,
) -> Result<SocketAddr, DaemonError> {
    let settings: Addr<Settings> = context.registry.find(settings::SETTINGS)?;
    let status: Addr<StatusActor> = context.registry.find(status::STATUS)?;
    let port = OperatorsPort {
        jobs: jobs_port(context)?,
        settings: settings.clone().recipient(),
        explain: settings.clone().recipient(),
        history: settings.clone().recipient(),
        change: settings.clone().recipient(),
        domain: settings.clone().recipient(),
        orgs: settings.clone().recipient(),
        shapes: settings.recipient(),
        workers: status.clone().recipient(),
        status: status.recipient(),
        metrics: context.metrics.clone(),
        ready: context.ready.clone(),
    };
    let routes = move |app: &mut ServiceConfig| operators_routes(app, port.clone());
    listen(
        kernel,
        context,
        "operators",
        context.node.addresses.operators,
        routes,
    )
}

fn listen<F>(
    kernel: &mut Kernel,
    context: &DaemonContext,
    name: &'static str,
    address: SocketAddr,
    routes: F,
) -> Result<SocketAddr, DaemonError>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let stop = context.node.stop.bound;
    let server = Server::start_on(&[address], stop, &context.connections, routes);
    let server = server.map_err(|e| DaemonError::Port(name, address, e))?;
    let bound = server.address();
    kernel.add(name, (), move |()| async move {
        // Event 104 reports the requests that are still in progress.
        server.close().await;
    })?;
    Ok(bound)
}
