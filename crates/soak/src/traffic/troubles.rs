//! Troubles of a traffic, each of which meets a part of the site.

use std::rc::Rc;
use std::time::Duration;

use base::Millis;
use futures_util::future::try_join_all;
use platform_fakes::FaultRates;
use platform_fakes::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_pcg::Pcg64;

use super::Disruption;
use super::Traffic;
use super::Trouble;
use crate::error::SoakError;
use crate::site::Site;

/// Versions of the configuration in quick succession, and the time between two.
const CONFIGURATIONS: std::ops::Range<u64> = 1..10;
const CONFIGURATION_GAP: Millis = Millis(330);

/// Time from the end of a daemon's process until it is started again.
const RESTART_DELAY: Millis = Millis(900);

/// Time between two looks whether a process has ended.
const LOOK_INTERVAL: Millis = Millis(20);

/// Time by which a slow store delays its answers.
const STORE_DELAY: Duration = Duration::from_millis(240);

/// All runs or orders, in thousandths, and those of troubles that meet a part.
const ALL: u32 = 1_000;
const SOME: u32 = 300;

/// Lets the troubles of a seed happen until `end`, by which all are over.
pub async fn run(
    site: Rc<Site>,
    traffic: &Traffic,
    seed: u64,
    end: Millis,
) -> Result<(), SoakError> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x7b0b);
    let mut running = Vec::new();
    for trouble in &traffic.troubles {
        let (rng, meets) = (
            Pcg64::seed_from_u64(rng.random()),
            rng.random_bool(trouble.chance),
        );
        if meets {
            running.push(repeat(site.clone(), traffic, *trouble, rng, end));
        }
    }
    try_join_all(running).await.map(drop)
}

async fn repeat(
    site: Rc<Site>,
    traffic: &Traffic,
    trouble: Trouble,
    mut rng: Pcg64,
    end: Millis,
) -> Result<(), SoakError> {
    let interval = Exp::new(1.0 / trouble.every_ms as f64).map_err(SoakError::task)?;
    loop {
        let wait = Millis(interval.sample(&mut rng) as u64);
        if site.now() + wait + Millis(trouble.lasts_ms) >= end {
            return Ok(());
        }
        site.sleep(wait).await;
        let domain = rng.random_range(0..traffic.domains);
        let some = |rng: &mut Pcg64, count: usize| -> Vec<usize> {
            let chosen = (0..count)
                .filter(|_| rng.random_bool(trouble.share))
                .collect::<Vec<_>>();
            match chosen.is_empty() {
                true => vec![rng.random_range(0..count)],
                false => chosen,
            }
        };
        let met = Met {
            site: &site,
            lasts: Millis(trouble.lasts_ms),
            workers: some(&mut rng, traffic.worker_count()),
            daemons: some(&mut rng, traffic.daemon_count()),
            versions: rng.random_range(CONFIGURATIONS),
        };
        met.disrupt(trouble.disruption, traffic, domain).await?;
    }
}

/// What a disruption meets.
struct Met<'a> {
    site: &'a Rc<Site>,
    lasts: Millis,
    workers: Vec<usize>,
    daemons: Vec<usize>,
    versions: u64,
}

impl Met<'_> {
    async fn disrupt(
        self,
        disruption: Disruption,
        traffic: &Traffic,
        domain: usize,
    ) -> Result<(), SoakError> {
        let failing = |failing| FaultRates {
            failing,
            ..FaultRates::default()
        };
        let delayed = |delayed| FaultRates {
            delayed,
            ..FaultRates::default()
        };
        let unanswered = |unanswered| FaultRates {
            unanswered,
            ..FaultRates::default()
        };
        match disruption {
            Disruption::AnswersLost => self.orders("lose answers", unanswered(SOME)).await,
            Disruption::Configurations => self.configurations().await,
            Disruption::CoordinatorKilled => {
                let coordinator = self.site.coordinator().unwrap_or(self.daemons[0]);
                return self.restart(&[coordinator], true).await;
            }
            Disruption::DaemonsCut => self.cut(&self.daemons, &[], "daemons cut off").await,
            Disruption::DaemonsKilled => return self.restart(&self.daemons, true).await,
            Disruption::DaemonsStopped => {
                for daemon in &self.daemons {
                    self.restart(&[*daemon], false).await?;
                }
            }
            Disruption::DomainCut => {
                let inside = |num: &usize| traffic.domain(*num) == domain;
                let daemons: Vec<usize> = (0..traffic.daemon_count()).filter(inside).collect();
                let workers: Vec<usize> = (0..traffic.worker_count()).filter(inside).collect();
                self.cut(&daemons, &workers, "domain cut off").await;
            }
            Disruption::DomainOut => {
                self.record(true, self.lasts, format!("domain d{domain} out of service"));
                self.site.store.set_evacuated(&format!("d{domain}"), true);
                self.site.sleep(self.lasts).await;
                self.site.store.set_evacuated(&format!("d{domain}"), false);
            }
            Disruption::OrdersLate => self.orders("carry orders out late", delayed(SOME)).await,
            Disruption::StoreDown => self.store(StoreFault::Unavailable).await,
            Disruption::StoreForgets => {
                self.record(false, Millis::ZERO, "store history compacted".to_string());
                self.site.store.compact();
            }
            Disruption::StoreSlow => self.store(StoreFault::Slow(STORE_DELAY)).await,
            Disruption::WorkersCrash => self.crash().await,
            Disruption::WorkersCut => self.cut(&[], &self.workers, "workers cut off").await,
            Disruption::WorkersFail => self.orders("fail all runs", failing(ALL)).await,
            Disruption::WorkersHang => self.hang().await,
        }
        Ok(())
    }

    fn record(&self, planned: bool, duration: Millis, description: String) {
        let end = self.site.now() + duration;
        self.site.record_fault(end, planned, description);
    }

    /// Makes workers treat orders so.
    async fn orders(&self, what: &str, rates: FaultRates) {
        self.record(
            false,
            self.lasts,
            format!("workers {:?} {what}", self.workers),
        );
        let set = |rates| {
            let workers = self.site.workers.borrow();
            self.workers
                .iter()
                .for_each(|num| workers[*num].worker.set_fault_rates(rates));
        };
        set(rates);
        self.site.sleep(self.lasts).await;
        set(FaultRates::default());
    }

    async fn hang(&self) {
        self.record(
            false,
            self.lasts,
            format!("workers {:?} hang", self.workers),
        );
        let set = |hung| {
            let workers = self.site.workers.borrow();
            self.workers
                .iter()
                .for_each(|num| workers[*num].worker.set_hung(hung));
        };
        set(true);
        self.site.sleep(self.lasts).await;
        set(false);
    }

    async fn crash(&self) {
        self.record(
            false,
            self.lasts,
            format!("workers {:?} crash", self.workers),
        );
        for num in &self.workers {
            self.site.workers.borrow_mut()[*num].renewing = false;
            self.site.workers.borrow()[*num].worker.crash();
        }
        self.site.sleep(self.lasts).await;
        for num in &self.workers {
            self.site.workers.borrow()[*num].worker.restart();
            self.site.workers.borrow_mut()[*num].renewing = true;
        }
    }

    async fn configurations(&self) {
        let lasts = Millis(CONFIGURATION_GAP.0 * self.versions);
        self.record(
            true,
            lasts,
            format!("{} versions of the configuration", self.versions),
        );
        for _ in 0..self.versions {
            self.site.configure();
            self.site.sleep(CONFIGURATION_GAP).await;
        }
    }

    /// Holds all bytes of these daemons and workers.
    async fn cut(&self, daemons: &[usize], workers: &[usize], what: &str) {
        self.record(
            false,
            self.lasts,
            format!("{what}: {daemons:?}, workers {workers:?}"),
        );
        let set = |cut| {
            for num in daemons {
                let daemons = self.site.daemons.borrow();
                daemons[*num].store_relay.set_paused(cut, cut);
                daemons[*num].caller_relay.set_paused(cut, cut);
            }
            for num in workers {
                let handle = &mut self.site.workers.borrow_mut()[*num];
                handle.renewing = !cut;
                handle.relay.set_paused(cut, cut);
            }
        };
        set(true);
        self.site.sleep(self.lasts).await;
        set(false);
    }

    async fn store(&self, fault: StoreFault) {
        self.record(
            false,
            self.lasts,
            format!("store fault for all daemons: {fault:?}"),
        );
        let set = |fault: Option<StoreFault>| {
            *self.site.renewals_enabled.borrow_mut() =
                fault.is_none_or(|f| matches!(f, StoreFault::Slow(_)));
            for (num, daemon) in self.site.daemons.borrow().iter().enumerate() {
                let fault = fault.unwrap_or_else(|| self.site.usual_fault(num));
                daemon.store_endpoint.set_fault(fault);
            }
        };
        set(Some(fault));
        self.site.sleep(self.lasts).await;
        set(None);
    }

    /// Ends daemons, and starts them again.
    async fn restart(&self, daemons: &[usize], kill: bool) -> Result<(), SoakError> {
        let what = if kill { "killed" } else { "stopped" };
        self.record(!kill, RESTART_DELAY, format!("daemons {daemons:?} {what}"));
        let ids = daemons.iter().map(|num| self.site.process_id(*num));
        let ids: Vec<Option<u32>> = ids.collect();
        for num in daemons {
            let now = self.site.now();
            let daemon = &mut self.site.daemons.borrow_mut()[*num].daemon;
            match kill {
                true => daemon.kill(),
                false => daemon.stop(now),
            }
        }
        self.site.sleep(RESTART_DELAY).await;
        for (num, id) in daemons.iter().zip(ids) {
            while id.is_some() && self.site.process_id(*num) == id {
                self.site.sleep(LOOK_INTERVAL).await;
            }
            if self.site.process_id(*num).is_none() {
                self.site.start_daemon(*num)?;
            }
        }
        Ok(())
    }
}
