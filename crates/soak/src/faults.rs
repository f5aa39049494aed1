//! Injects faults from outside the daemons. The seed determines their order, and they overlap.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use base::Millis;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use platform_fakes::FaultRates;
use platform_fakes::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::error::SoakError;
use crate::site::Site;
use crate::Plan;

/// Time from one fault to the next, in milliseconds, for a site of the default size.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..1_400;

/// Times as rare that faults are beside restarts of workers, which need a coordinator that works.
const RARE_BESIDE_RESTARTS: u64 = 5;

/// Duration of a fault, in milliseconds. The longest outlast the coordinator's lock and the
/// workers' leases.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..6_500;

/// Delay until a stopped daemon or a replaced worker is started again, in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// Time between two outages of the store in a row.
const STORE_RETURN: Millis = Millis(300);

/// Injects faults until `end`, and waits until the last of them is over. Fails as soon as one cannot be
/// injected or ended.
pub async fn run(site: Rc<Site>, plan: &Plan, end: Millis) -> Result<(), SoakError> {
    let mut rng = Pcg64::seed_from_u64(plan.seed ^ 0xfa);
    let mut version = 1;
    let mut tasks = FaultTasks::new();
    loop {
        let interval = rng.random_range(FAULT_INTERVAL_MS) / site.scale();
        let interval = site.sleep(Millis(match plan.reborn {
            true => interval * RARE_BESIDE_RESTARTS,
            false => interval,
        }));
        let failed = first_failure(&mut tasks);
        tokio::select! {
            () = interval => {}
            error = failed => return Err(error),
        }
        let now = site.now();
        if now >= end {
            break;
        }
        let remaining = end.since(now).0;
        let fault = Fault {
            site: site.clone(),
            daemon: rng.random_range(0..site.daemon_count()),
            worker: rng.random_range(0..site.workers.borrow().len()),
            duration: Millis(rng.random_range(FAULT_DURATION_MS).min(remaining)),
            restart_delay: Millis(rng.random_range(RESTART_DELAY_MS)),
            parameter: rng.random_range(0..1_000),
        };
        version += 1;
        let kind = match plan.planned {
            true => PLANNED_KINDS[rng.random_range(0..PLANNED_KINDS.len())],
            false if plan.reborn => BESIDE_RESTARTS[rng.random_range(0..BESIDE_RESTARTS.len())],
            false => rng.random_range(0..FAULT_KINDS),
        };
        tasks.push(actix_rt::spawn(fault.inject(kind, version)));
    }
    while let Some(result) = tasks.next().await {
        result.map_err(SoakError::task)??;
    }
    Ok(())
}

type FaultTasks = FuturesUnordered<JoinHandle<Result<(), SoakError>>>;

/// Waits until one of the tasks fails.
async fn first_failure(tasks: &mut FaultTasks) -> SoakError {
    while let Some(result) = tasks.next().await {
        if let Err(error) = result.map_err(SoakError::task).and_then(|r| r) {
            return error;
        }
    }
    pending().await
}

/// Number of kinds of faults that [`Fault::inject`] distinguishes.
const FAULT_KINDS: u32 = 27;

/// Those that are planned work: stops, of the coordinator among them, reloads, upkeep and changes of the
/// configuration.
const PLANNED_KINDS: [u32; 6] = [3, 4, 5, 8, 25, 26];

/// Those that are played beside restarts of workers: none that would end a cut, or hold calls to a worker for longer than
/// the restarts do.
const BESIDE_RESTARTS: [u32; 22] = [
    0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 25, 26,
];

/// Parameters of a fault. Each kind uses those that apply to it.
struct Fault {
    site: Rc<Site>,
    daemon: usize,
    worker: usize,
    duration: Millis,
    restart_delay: Millis,
    /// Random number below 1000 from which each kind derives its variant and intensity.
    parameter: u32,
}

impl Fault {
    async fn inject(self, kind: u32, version: u64) -> Result<(), SoakError> {
        match kind {
            0 => return self.kill_daemon(self.daemon).await,
            1 | 2 => return self.kill_daemon(self.coordinator()).await,
            3 | 4 => return self.stop_daemon(self.daemon).await,
            5 => return self.stop_daemon(self.coordinator()).await,
            6 => self.pause_daemon(self.daemon).await,
            7 => self.pause_daemon(self.coordinator()).await,
            8 => self.reload_settings(),
            9 => self.hold_store_bytes(true, true).await,
            10 => {
                self.hold_store_bytes(self.parameter < 500, self.parameter >= 500)
                    .await
            }
            11 => self.delay_store().await,
            12 => self.break_connections(),
            13 if self.parameter < 500 => self.store_outages().await,
            13 => self.store_fault(StoreFault::Unavailable).await,
            14 => self.store_fault(StoreFault::NoAnswer).await,
            15 => {
                self.store_fault(StoreFault::DelayedCommit(Duration::from_millis(
                    1_000 + u64::from(self.parameter),
                )))
                .await
            }
            16 => {
                self.store_fault(StoreFault::Slow(Duration::from_millis(
                    u64::from(self.parameter) / 3,
                )))
                .await
            }
            17 => self.endpoint_fault(StoreFault::Unavailable).await,
            18 => self.endpoint_fault(StoreFault::TooManyRequests).await,
            19 => self.compact_store(),
            20 => self.crash_worker().await,
            21 => self.disconnect_worker().await,
            22 => self.hang_worker().await,
            23 => self.set_worker_fault_rates().await,
            24 => self.replace_worker().await,
            25 => self.request_upkeep(version),
            _ => self.change_configuration(version).await,
        }
        Ok(())
    }

    fn record(&self, planned: bool, duration: Millis, description: String) {
        let end = self.site.now() + duration;
        self.site.record_fault(end, planned, description);
    }

    /// Daemon that holds the coordinator's lock, or the randomly chosen one if none does.
    fn coordinator(&self) -> usize {
        self.site.coordinator().unwrap_or(self.daemon)
    }

    /// Waits for the restart delay and for the end of this process, and starts the daemon again.
    async fn restart_daemon(
        &self,
        daemon: usize,
        old_process: Option<u32>,
    ) -> Result<(), SoakError> {
        self.site.sleep(self.restart_delay).await;
        while old_process.is_some() && self.site.process_id(daemon) == old_process {
            self.site.sleep(Millis(20)).await;
        }
        match self.site.process_id(daemon) {
            Some(_) => Ok(()),
            None => self.site.start_daemon(daemon),
        }
    }

    async fn kill_daemon(&self, daemon: usize) -> Result<(), SoakError> {
        self.record(false, self.restart_delay, format!("daemon {daemon} killed"));
        let process_id = self.site.process_id(daemon);
        self.site.daemons.borrow_mut()[daemon].daemon.kill();
        self.restart_daemon(daemon, process_id).await
    }

    async fn stop_daemon(&self, daemon: usize) -> Result<(), SoakError> {
        self.record(
            true,
            self.restart_delay,
            format!("planned stop of daemon {daemon}"),
        );
        let now = self.site.now();
        let process_id = self.site.process_id(daemon);
        self.site.daemons.borrow_mut()[daemon].daemon.stop(now);
        self.restart_daemon(daemon, process_id).await
    }

    async fn pause_daemon(&self, daemon: usize) {
        self.record(false, self.duration, format!("daemon {daemon} paused"));
        self.site.daemons.borrow_mut()[daemon].daemon.pause();
        self.site.sleep(self.duration).await;
        self.site.daemons.borrow_mut()[daemon]
            .daemon
            .resume(self.duration);
    }

    fn reload_settings(&self) {
        self.record(
            true,
            Millis::ZERO,
            format!("daemon {} reloads its settings", self.daemon),
        );
        self.site.daemons.borrow()[self.daemon].daemon.reload();
    }

    async fn hold_store_bytes(&self, outbound: bool, inbound: bool) {
        let description = format!(
            "daemon {}: bytes to the store held: {outbound}, from the store: {inbound}",
            self.daemon
        );
        self.record(false, self.duration, description);
        self.site.daemons.borrow()[self.daemon]
            .store_relay
            .set_paused(outbound, inbound);
        self.site.sleep(self.duration).await;
        self.site.daemons.borrow()[self.daemon]
            .store_relay
            .set_paused(false, false);
    }

    async fn delay_store(&self) {
        let delay = Duration::from_millis(u64::from(self.parameter) / 4);
        let description = format!(
            "daemon {}: connection to the store delayed by {delay:?}",
            self.daemon
        );
        self.record(false, self.duration, description);
        self.site.daemons.borrow()[self.daemon]
            .store_relay
            .set_delay(delay);
        self.site.sleep(self.duration).await;
        self.site.daemons.borrow()[self.daemon]
            .store_relay
            .set_delay(Duration::ZERO);
    }

    /// Resets open connections or makes them silent for good; new connections work.
    fn break_connections(&self) {
        let daemons = self.site.daemons.borrow();
        let workers = self.site.workers.borrow();
        let daemon = &daemons[self.daemon];
        let worker = &workers[self.worker];
        let (peer, relay) = match self.parameter {
            0..400 => ("the store", &daemon.store_relay),
            400..700 => ("callers", &daemon.caller_relay),
            _ => ("a worker", &worker.relay),
        };
        let silent = self.parameter % 2 == 0;
        let description = format!(
            "connections between daemon {} and {peer} broken, silent: {silent}",
            self.daemon
        );
        self.record(false, Millis::ZERO, description);
        match silent {
            true => relay.blackhole(),
            false => relay.reset(),
        }
    }

    /// Turns all daemons away from the store twice, and lets them in for a moment between.
    async fn store_outages(&self) {
        self.record(
            false,
            self.duration + STORE_RETURN,
            format!("the store turns all daemons away, and again {STORE_RETURN} after its return"),
        );
        for last in [false, true] {
            self.set_store_fault(StoreFault::Unavailable, false);
            self.site.sleep(Millis(self.duration.0 / 2)).await;
            self.end_store_fault();
            if !last {
                self.site.sleep(STORE_RETURN).await;
            }
        }
    }

    /// Injects a store fault for all daemons. While it lasts, workers renew their registrations
    /// only if it is `Slow`.
    async fn store_fault(&self, fault: StoreFault) {
        self.record(
            false,
            self.duration,
            format!("store fault for all daemons: {fault:?}"),
        );
        let renewals_enabled = matches!(fault, StoreFault::Slow(_));
        self.set_store_fault(fault, renewals_enabled);
        self.site.sleep(self.duration).await;
        self.end_store_fault();
    }

    fn end_store_fault(&self) {
        *self.site.renewals_enabled.borrow_mut() = true;
        for (num, daemon) in self.site.daemons.borrow().iter().enumerate() {
            daemon.store_endpoint.set_fault(self.site.usual_fault(num));
        }
    }

    fn set_store_fault(&self, fault: StoreFault, renewals_enabled: bool) {
        *self.site.renewals_enabled.borrow_mut() = renewals_enabled;
        for daemon in self.site.daemons.borrow().iter() {
            daemon.store_endpoint.set_fault(fault);
        }
    }

    /// Injects a store fault for one daemon.
    async fn endpoint_fault(&self, fault: StoreFault) {
        let description = format!("store fault for daemon {}: {fault:?}", self.daemon);
        self.record(false, self.duration, description);
        self.site.daemons.borrow()[self.daemon]
            .store_endpoint
            .set_fault(fault);
        self.site.sleep(self.duration).await;
        self.site.daemons.borrow()[self.daemon]
            .store_endpoint
            .set_fault(self.site.usual_fault(self.daemon));
    }

    /// Drops the store's history, so that watches from earlier revisions fail.
    fn compact_store(&self) {
        self.record(false, Millis::ZERO, "store history compacted".to_string());
        self.site.store.compact();
    }

    /// Crashes a worker and starts it again.
    async fn crash_worker(&self) {
        let description = format!("worker {} crashes", self.worker);
        self.record(false, self.duration, description);
        self.set_renewing(false);
        self.site.workers.borrow()[self.worker].worker.crash();
        self.site.sleep(self.duration).await;
        self.site.workers.borrow()[self.worker].worker.restart();
        self.set_renewing(true);
    }

    fn set_renewing(&self, renewing: bool) {
        self.site.workers.borrow_mut()[self.worker].renewing = renewing;
    }

    /// Holds all bytes between a worker, which runs on, and the daemons.
    async fn disconnect_worker(&self) {
        let description = format!("worker {} disconnected", self.worker);
        self.record(false, self.duration, description);
        self.set_renewing(self.parameter < 500);
        self.site.workers.borrow()[self.worker]
            .relay
            .set_paused(true, true);
        self.site.sleep(self.duration).await;
        self.site.workers.borrow()[self.worker]
            .relay
            .set_paused(false, false);
        self.set_renewing(true);
    }

    /// Lets a worker's tasks run without progress.
    async fn hang_worker(&self) {
        self.record(
            false,
            self.duration,
            format!("worker {} makes no progress", self.worker),
        );
        self.site.workers.borrow()[self.worker]
            .worker
            .set_hung(true);
        self.site.sleep(self.duration).await;
        self.site.workers.borrow()[self.worker]
            .worker
            .set_hung(false);
    }

    /// Makes a worker execute orders late, leave them unanswered, or fail runs.
    async fn set_worker_fault_rates(&self) {
        let rate = self.parameter / 2;
        let fault_rates = match self.parameter % 3 {
            0 => FaultRates {
                delayed: rate,
                ..FaultRates::default()
            },
            1 => FaultRates {
                unanswered: rate,
                ..FaultRates::default()
            },
            _ => FaultRates {
                failing: rate,
                ..FaultRates::default()
            },
        };
        self.record(
            false,
            self.duration,
            format!("worker {}: {fault_rates:?}", self.worker),
        );
        self.site.workers.borrow()[self.worker]
            .worker
            .set_fault_rates(fault_rates);
        self.site.sleep(self.duration).await;
        let no_faults = FaultRates::default();
        self.site.workers.borrow()[self.worker]
            .worker
            .set_fault_rates(no_faults);
    }

    /// Drains a worker, crashes it, and starts it again as a new incarnation.
    async fn replace_worker(&self) {
        let description = format!("worker {} drains and is replaced", self.worker);
        self.record(false, self.duration + self.restart_delay, description);
        self.site.workers.borrow_mut()[self.worker].draining = true;
        self.site.sleep(self.duration).await;
        self.set_renewing(false);
        self.site.workers.borrow()[self.worker].worker.crash();
        self.site.sleep(self.restart_delay).await;
        self.site.workers.borrow()[self.worker].worker.restart();
        self.site.workers.borrow_mut()[self.worker].draining = false;
        self.set_renewing(true);
    }

    /// Requests a wave of upkeep for up to three machines.
    fn request_upkeep(&self, number: u64) {
        let all = self.site.workers.borrow().len();
        let machines = (self.worker..all).take(3).map(|num| format!("m{num}"));
        let machines: Vec<String> = machines.collect();
        let span = Duration::from_secs(6);
        let cap = 1 + self.parameter as usize % 2;
        let description = format!("upkeep of {machines:?}, {cap} at a time");
        self.record(true, Millis::from_secs(span.as_secs()), description);
        self.site.waves.borrow_mut().push((number, cap));
        self.site.store.request_wave(number, &machines, span, cap);
    }

    /// Changes the operators' configuration, or takes a failure domain out of service for a while.
    async fn change_configuration(&self, version: u64) {
        if self.parameter < 600 {
            self.record(
                true,
                Millis::ZERO,
                format!("configuration version {version}"),
            );
            return self.site.configure();
        }
        let domain = match self.parameter % 2 {
            0 => "d0",
            _ => "d1",
        };
        self.record(
            true,
            self.duration,
            format!("domain {domain} out of service"),
        );
        self.site.store.set_evacuated(domain, true);
        self.site.sleep(self.duration).await;
        self.site.store.set_evacuated(domain, false);
    }
}
