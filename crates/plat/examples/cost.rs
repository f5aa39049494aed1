//! Measures the cost of store calls in the client: CPU time of its thread per call and calls per
//! second, against a simulated store on the loopback interface.
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

/// Number of calls per measurement.
const CALLS: u32 = 5_000;

/// Number of concurrent calls in the concurrent measurements.
const CONCURRENCY: u32 = 20;

/// Number of changes that the watch receives.
const EVENTS: u32 = 5_000;

/// CPU time of this thread in microseconds.
fn cpu_micros() -> f64 {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).expect("getrusage supports threads");
    let (user, system) = (usage.user_time(), usage.system_time());
    let secs = user.tv_sec() + system.tv_sec();
    let micros = user.tv_usec() + system.tv_usec();
    secs as f64 * 1e6 + micros as f64
}

async fn put(store: &Store, key: u32, size: usize) {
    let value = Bytes::from(vec![7; size]);
    let key = format!("k/{key}");
    let put = store.put_if(&key, Expect::Any, value, None).await;
    put.expect("put_if failed");
}

async fn get(store: &Store, key: u32) {
    let got = store.get(&format!("k/{key}")).await;
    got.expect("get failed").expect("key not found");
}

/// Makes `CALLS` calls, `concurrency` at a time, and prints their cost.
async fn measure<F>(name: &str, concurrency: u32, call: impl Fn(u32) -> F)
where
    F: std::future::Future<Output = ()>,
{
    let (time, start) = (cpu_micros(), Instant::now());
    for _ in 0..CALLS / concurrency {
        join_all((0..concurrency).map(&call)).await;
    }
    let micros = (cpu_micros() - time) / f64::from(CALLS);
    let rate = f64::from(CALLS) / start.elapsed().as_secs_f64();
    println!(
        "{name:<24} {concurrency:>3} at once: {micros:>6.1} us a call, {rate:>7.0} calls a second"
    );
}

/// Prints the cost of receiving changes through a watch.
async fn measure_watch(store: &Store, platform: &Platform) {
    let revision = base::Revision(platform.revision() as u64);
    let mut watch = store.watch("w/", Some(revision));
    let (time, start) = (cpu_micros(), Instant::now());
    for i in 0..EVENTS {
        platform.put("w/1", &[7; 256]);
        if i % 100 == 99 {
            let last = base::Revision(platform.revision() as u64);
            receive_until(&mut watch, last).await;
        }
    }
    let micros = (cpu_micros() - time) / f64::from(EVENTS);
    let rate = f64::from(EVENTS) / start.elapsed().as_secs_f64();
    println!("watch, 256 B values: {micros:.1} us an event, {rate:.0} events a second");
    watch.close();
}

/// Receives changes until that of revision `last`.
async fn receive_until(watch: &mut plat::Watch, last: base::Revision) {
    loop {
        let event = watch.next().await.expect("the watch ended");
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
            call_timeout: Millis(5000),
            rate: Rate(1_000_000.0),
            ..StoreConfig::new(vec![platform.addr()], 1)
        };
        let store = Store::new(config, obs::discard(), &Metrics::new(), Clock::System);
        for concurrency in [1, CONCURRENCY] {
            measure("put_if, 256 B", concurrency, |i| put(&store, i, 256)).await;
            measure("get, 256 B", concurrency, |i| get(&store, i)).await;
        }
        let lease = store
            .grant_lease(Millis::from_secs(60))
            .await
            .expect("grant failed");
        let lease_store = store.with_priority(Priority::Lease);
        measure("keep_alive", 1, |_| async {
            lease_store
                .keep_alive(lease)
                .await
                .expect("keep_alive failed");
        })
        .await;
        for i in 0..1_000 {
            put(&store, i, 1024).await;
        }
        let time = cpu_micros();
        let listing = store.list("k/").await.expect("list failed");
        let micros = cpu_micros() - time;
        let count = listing.entries.len();
        println!("list of {count} x 1 KiB: {micros:.0} us");
        measure_watch(&store, &platform).await;
    });
    platform.close();
}
