//! Faults from outside the programs, in an order that the seed decides; they overlap.

use std::rc::Rc;
use std::time::Duration;

use base::Millis;
use platform_fakes::FaultRates;
use platform_fakes::Trouble;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Deserialize;

use crate::site::Site;

/// Time between two faults, in milliseconds, for a site of the usual size.
const GAP: std::ops::Range<u64> = 200..1_400;

/// How long a fault lasts, in milliseconds: from a hiccup to beyond the coordinator's lock and the
/// workers' leases.
const LASTS: std::ops::Range<u64> = 100..6_500;

/// Time after a planned stop until the process is started again, in milliseconds.
const BACK: std::ops::Range<u64> = 100..1_500;

/// Causes faults until `end`, and waits until all of them are over.
pub async fn run(site: Rc<Site>, seed: u64, end: Millis) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0xfa);
    let mut version = 1;
    let mut going = Vec::new();
    loop {
        site.sleep(Millis(rng.random_range(GAP) / site.scale()))
            .await;
        let now = site.now();
        if now >= end {
            break;
        }
        let longest = end.since(now).0;
        let fault = Fault {
            site: site.clone(),
            daemon: rng.random_range(0..site.size()),
            worker: rng.random_range(0..site.workers.borrow().len()),
            lasts: Millis(rng.random_range(LASTS).min(longest)),
            back: Millis(rng.random_range(BACK)),
            strength: rng.random_range(0..1_000),
        };
        version += 1;
        let kind = rng.random_range(0..KINDS);
        going.push(actix_rt::spawn(fault.cause(kind, version)));
    }
    for fault in going {
        fault.await.expect("a fault has panicked");
    }
}

/// Number of kinds that [`Fault::cause`] knows.
const KINDS: u32 = 27;

/// What the coordinator's lock says of its holder.
#[derive(Deserialize)]
struct Holder {
    vm: String,
}

struct Fault {
    site: Rc<Site>,
    daemon: usize,
    worker: usize,
    lasts: Millis,
    back: Millis,
    /// Up to a thousand.
    strength: u32,
}

impl Fault {
    async fn cause(self, kind: u32, version: u64) {
        match kind {
            0 => self.kill(self.daemon).await,
            1 | 2 => self.kill(self.leader()).await,
            3 | 4 => self.stop(self.daemon).await,
            5 => self.stop(self.leader()).await,
            6 => self.pause(self.daemon).await,
            7 => self.pause(self.leader()).await,
            8 => self.reload(),
            9 => self.store_cut(true, true).await,
            10 => {
                self.store_cut(self.strength < 500, self.strength >= 500)
                    .await
            }
            11 => self.store_delay().await,
            12 => self.connections(),
            13 => self.store(Trouble::Busy).await,
            14 => self.store(Trouble::Mute).await,
            15 => {
                self.store(Trouble::Late(Duration::from_millis(
                    1_000 + u64::from(self.strength),
                )))
                .await
            }
            16 => {
                self.store(Trouble::Slow(Duration::from_millis(
                    u64::from(self.strength) / 3,
                )))
                .await
            }
            17 => self.door(Trouble::Busy).await,
            18 => self.door(Trouble::Many).await,
            19 => self.compact(),
            20 => self.crash().await,
            21 => self.worker_cut().await,
            22 => self.hang().await,
            23 => self.habits().await,
            24 => self.replace().await,
            25 => self.upkeep(version),
            _ => self.operate(version).await,
        }
    }

    fn begin(&self, planned: bool, lasts: Millis, what: String) {
        let until = self.site.now() + lasts;
        self.site.window(until, planned, what);
    }

    /// The daemon that holds the coordinator's lock, or any.
    fn leader(&self) -> usize {
        let lock = self.site.store.value("bronzetack/lock");
        let holder: Option<Holder> = lock.and_then(|l| ciborium::from_reader(&*l).ok());
        let named = |num: &usize| holder.as_ref().is_some_and(|h| h.vm == format!("e{num}"));
        (0..self.site.size()).find(named).unwrap_or(self.daemon)
    }

    fn process(&self, daemon: usize) -> Option<u32> {
        self.site.daemons.borrow()[daemon].daemon.process()
    }

    /// Starts a daemon again some time after its process has ended.
    async fn boot(&self, daemon: usize, before: Option<u32>) {
        self.site.sleep(self.back).await;
        while before.is_some() && self.process(daemon) == before {
            self.site.sleep(Millis(20)).await;
        }
        if self.process(daemon).is_none() {
            self.site.boot(daemon).expect("a daemon starts again");
        }
    }

    async fn kill(&self, daemon: usize) {
        self.begin(false, self.back, format!("daemon {daemon} killed"));
        let process = self.process(daemon);
        self.site.daemons.borrow_mut()[daemon].daemon.kill();
        self.boot(daemon, process).await;
    }

    async fn stop(&self, daemon: usize) {
        self.begin(
            true,
            self.back,
            format!("daemon {daemon} stopped as planned"),
        );
        let now = self.site.now();
        let process = self.process(daemon);
        self.site.daemons.borrow_mut()[daemon].daemon.stop(now);
        self.boot(daemon, process).await;
    }

    async fn pause(&self, daemon: usize) {
        self.begin(false, self.lasts, format!("daemon {daemon} paused"));
        self.site.daemons.borrow_mut()[daemon].daemon.pause();
        self.site.sleep(self.lasts).await;
        self.site.daemons.borrow_mut()[daemon]
            .daemon
            .resume(self.lasts);
    }

    fn reload(&self) {
        self.begin(
            true,
            Millis::ZERO,
            format!("daemon {} reads its settings again", self.daemon),
        );
        self.site.daemons.borrow()[self.daemon].daemon.reload();
    }

    async fn store_cut(&self, there: bool, back: bool) {
        let what = format!(
            "daemon {} cut from the store ({there}, {back})",
            self.daemon
        );
        self.begin(false, self.lasts, what);
        self.site.daemons.borrow()[self.daemon]
            .relay
            .hold(there, back);
        self.site.sleep(self.lasts).await;
        self.site.daemons.borrow()[self.daemon]
            .relay
            .hold(false, false);
    }

    async fn store_delay(&self) {
        let delay = Duration::from_millis(u64::from(self.strength) / 4);
        let what = format!("daemon {}: {delay:?} to the store", self.daemon);
        self.begin(false, self.lasts, what);
        self.site.daemons.borrow()[self.daemon].relay.delay(delay);
        self.site.sleep(self.lasts).await;
        self.site.daemons.borrow()[self.daemon]
            .relay
            .delay(Duration::ZERO);
    }

    /// Open connections are reset, or silent for good; new ones work.
    fn connections(&self) {
        let daemons = self.site.daemons.borrow();
        let workers = self.site.workers.borrow();
        let place = &daemons[self.daemon];
        let worker = &workers[self.worker];
        let (what, relay) = match self.strength {
            0..400 => ("the store", &place.relay),
            400..700 => ("callers", &place.callers),
            _ => ("a worker", &worker.relay),
        };
        let silent = self.strength % 2 == 0;
        let text = format!(
            "connections of {} and {what} end, silent: {silent}",
            self.daemon
        );
        self.begin(false, Millis::ZERO, text);
        match silent {
            true => relay.silence(),
            false => relay.reset(),
        }
    }

    async fn store(&self, trouble: Trouble) {
        self.begin(false, self.lasts, format!("store: {trouble:?}"));
        let lists = matches!(trouble, Trouble::Slow(_));
        self.set_store(trouble, lists);
        self.site.sleep(self.lasts).await;
        self.set_store(Trouble::None, true);
    }

    fn set_store(&self, trouble: Trouble, lists: bool) {
        *self.site.lists.borrow_mut() = lists;
        for place in self.site.daemons.borrow().iter() {
            place.door.trouble(trouble);
        }
    }

    async fn door(&self, trouble: Trouble) {
        let what = format!("store turns daemon {} away: {trouble:?}", self.daemon);
        self.begin(false, self.lasts, what);
        self.site.daemons.borrow()[self.daemon]
            .door
            .trouble(trouble);
        self.site.sleep(self.lasts).await;
        self.site.daemons.borrow()[self.daemon]
            .door
            .trouble(Trouble::None);
    }

    fn compact(&self) {
        self.begin(false, Millis::ZERO, "store forgets its history".to_string());
        self.site.store.compact();
    }

    async fn crash(&self) {
        let what = format!("worker {} crashes", self.worker);
        self.begin(false, self.lasts, what);
        self.set_listed(false);
        self.site.workers.borrow()[self.worker].worker.crash();
        self.site.sleep(self.lasts).await;
        self.site.workers.borrow()[self.worker].worker.restart();
        self.set_listed(true);
    }

    fn set_listed(&self, listed: bool) {
        self.site.workers.borrow_mut()[self.worker].listed = listed;
    }

    /// The worker runs on, and no order reaches it.
    async fn worker_cut(&self) {
        let what = format!("worker {} cut off", self.worker);
        self.begin(false, self.lasts, what);
        self.set_listed(self.strength < 500);
        self.site.workers.borrow()[self.worker]
            .relay
            .hold(true, true);
        self.site.sleep(self.lasts).await;
        self.site.workers.borrow()[self.worker]
            .relay
            .hold(false, false);
        self.set_listed(true);
    }

    async fn hang(&self) {
        self.begin(
            false,
            self.lasts,
            format!("worker {} stands still", self.worker),
        );
        self.site.workers.borrow()[self.worker]
            .worker
            .set_hang(true);
        self.site.sleep(self.lasts).await;
        self.site.workers.borrow()[self.worker]
            .worker
            .set_hang(false);
    }

    /// The worker is late, does not answer, or fails what it begins.
    async fn habits(&self) {
        let part = self.strength / 2;
        let habits = match self.strength % 3 {
            0 => FaultRates {
                delayed: part,
                ..FaultRates::default()
            },
            1 => FaultRates {
                unanswered: part,
                ..FaultRates::default()
            },
            _ => FaultRates {
                failing: part,
                ..FaultRates::default()
            },
        };
        self.begin(
            false,
            self.lasts,
            format!("worker {}: {habits:?}", self.worker),
        );
        self.site.workers.borrow()[self.worker]
            .worker
            .set_fault_rates(habits);
        self.site.sleep(self.lasts).await;
        let calm = FaultRates::default();
        self.site.workers.borrow()[self.worker]
            .worker
            .set_fault_rates(calm);
    }

    /// The worker announces that it leaves, leaves, and another life takes its place.
    async fn replace(&self) {
        let what = format!("worker {} drains and is replaced", self.worker);
        self.begin(false, self.lasts + self.back, what);
        self.site.workers.borrow_mut()[self.worker].draining = true;
        self.site.sleep(self.lasts).await;
        self.set_listed(false);
        self.site.workers.borrow()[self.worker].worker.crash();
        self.site.sleep(self.back).await;
        self.site.workers.borrow()[self.worker].worker.restart();
        self.site.workers.borrow_mut()[self.worker].draining = false;
        self.set_listed(true);
    }

    /// The operators ask for upkeep of some machines.
    fn upkeep(&self, number: u64) {
        let all = self.site.workers.borrow().len();
        let machines = (self.worker..all).take(3).map(|num| format!("m{num}"));
        let machines: Vec<String> = machines.collect();
        let span = Duration::from_secs(6);
        let cap = 1 + self.strength as usize % 2;
        let what = format!("upkeep of {machines:?}, {cap} at a time");
        self.begin(true, Millis::from_secs(span.as_secs()), what);
        self.site.waves.borrow_mut().push((number, cap));
        self.site.store.ask_wave(number, &machines, span, cap);
    }

    /// The operators change the configuration, or take a failure domain out for a while.
    async fn operate(&self, version: u64) {
        if self.strength < 600 {
            self.begin(true, Millis::ZERO, format!("configuration {version}"));
            return self.site.store.configure(version);
        }
        let domain = match self.strength % 2 {
            0 => "d0",
            _ => "d1",
        };
        self.begin(true, self.lasts, format!("domain {domain} out"));
        self.site.store.set_domain(domain, true);
        self.site.sleep(self.lasts).await;
        self.site.store.set_domain(domain, false);
    }
}
