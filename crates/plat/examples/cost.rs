//! Measures what calls to the store cost this client: processor time of its thread a call and
//! calls a second, against the stand-in on loopback.
//!
//! `cargo run --release -p plat --example cost`

use std::net::SocketAddr;
use std::time::Instant;

use base::Clock;
use base::Millis;
use base::Rate;
use bytes::Bytes;
use fakes::platform::Platform;
use futures_util::future::join_all;
use nix::sys::resource::getrusage;
use nix::sys::resource::UsageWho;
use obs::Metrics;
use plat::Expect;
use plat::Priority;
use plat::Store;
use plat::StoreConfig;

/// Calls of each run.
const CALLS: u32 = 5_000;

/// Calls in progress at once in the parallel runs.
const AT_ONCE: u32 = 20;

/// Events that one watch is told.
const EVENTS: u32 = 5_000;

/// Processor time of this thread in microseconds.
fn processor_time() -> f64 {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).expect("the kernel tells usage");
    let (user, system) = (usage.user_time(), usage.system_time());
    let secs = user.tv_sec() + system.tv_sec();
    let micros = user.tv_usec() + system.tv_usec();
    secs as f64 * 1e6 + micros as f64
}

async fn put(store: &Store, key: u32, size: usize) {
    let value = Bytes::from(vec![7; size]);
    let key = format!("k/{key}");
    let put = store.put_if(&key, Expect::Any, value, None).await;
    put.expect("a working store");
}

async fn get(store: &Store, key: u32) {
    let got = store.get(&format!("k/{key}")).await;
    got.expect("a working store").expect("a key");
}

/// Runs calls, `at_once` of them at a time, and prints their cost.
async fn measure<F>(name: &str, at_once: u32, call: impl Fn(u32) -> F)
where
    F: std::future::Future<Output = ()>,
{
    let (time, start) = (processor_time(), Instant::now());
    for _ in 0..CALLS / at_once {
        join_all((0..at_once).map(&call)).await;
    }
    let micros = (processor_time() - time) / f64::from(CALLS);
    let rate = f64::from(CALLS) / start.elapsed().as_secs_f64();
    println!(
        "{name:<24} {at_once:>3} at once: {micros:>6.1} us a call, {rate:>7.0} calls a second"
    );
}

async fn watch(store: &Store, platform: &Platform) {
    let revision = base::Revision(platform.revision() as u64);
    let mut watch = store.watch("w/", Some(revision));
    let (time, start) = (processor_time(), Instant::now());
    for i in 0..EVENTS {
        platform.put("w/1", &[7; 256]);
        if i % 100 == 99 {
            let told = base::Revision(platform.revision() as u64);
            drain(&mut watch, told).await;
        }
    }
    let micros = (processor_time() - time) / f64::from(EVENTS);
    let rate = f64::from(EVENTS) / start.elapsed().as_secs_f64();
    println!("watch, 256 B values: {micros:.1} us an event, {rate:.0} events a second");
    watch.close();
}

async fn drain(watch: &mut plat::Watch, last: base::Revision) {
    loop {
        let event = watch.next().await.expect("an open store");
        if let plat::WatchEvent::Changes(changes) = event {
            if changes.last().is_some_and(|c| c.revision() >= last) {
                return;
            }
        }
    }
}

fn main() {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)));
    actix_rt::System::new().block_on(async {
        let config = StoreConfig {
            deadline: Millis(5000),
            rate: Rate(1_000_000.0),
            ..StoreConfig::new(vec![platform.addr()], 1)
        };
        let store = Store::new(config, obs::discard(), &Metrics::new(), Clock::System);
        for at_once in [1, AT_ONCE] {
            measure("put_if, 256 B", at_once, |i| put(&store, i, 256)).await;
            measure("get, 256 B", at_once, |i| get(&store, i)).await;
        }
        let lease = store.grant(Millis::from_secs(60)).await.expect("a lease");
        let renewals = store.with_priority(Priority::Lease);
        measure("keep_alive", 1, |_| async {
            renewals.keep_alive(lease).await.expect("a working store");
        })
        .await;
        for i in 0..1_000 {
            put(&store, i, 1024).await;
        }
        let time = processor_time();
        let listing = store.list("k/").await.expect("a working store");
        let micros = processor_time() - time;
        let count = listing.entries.len();
        println!("list of {count} x 1 KiB: {micros:.0} us");
        watch(&store, &platform).await;
    });
    platform.close();
}
