//! Helpers for the tests of the platform client.
#![allow(dead_code, missing_docs)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base::Clock;
use base::Millis;
use base::Rate;
use fakes::platform::Platform;
use obs::Metrics;
use plat::Store;
use plat::StoreConfig;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest duration of a call; short so that calls that hang do not slow the tests down.
pub const CALL_TIMEOUT: Millis = Millis(300);

const TEST_TIMEOUT: Duration = Duration::from_secs(25);

pub fn platform() -> Platform {
    Platform::start(loopback())
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn config(endpoints: Vec<SocketAddr>) -> StoreConfig {
    StoreConfig {
        call_timeout: CALL_TIMEOUT,
        connect_timeout: Millis(100),
        idle_timeout: Millis(500),
        rate: Rate(10_000.0),
        ..StoreConfig::new(endpoints, 7)
    }
}

pub fn store_at(endpoints: Vec<SocketAddr>) -> Store {
    let metrics = Metrics::new();
    Store::new(config(endpoints), obs::discard(), &metrics, Clock::System)
}

pub fn store(platform: &Platform) -> Store {
    store_at(vec![platform.addr()])
}

/// Runs a test on an arbiter. Panics if it takes longer than `TEST_TIMEOUT`.
pub fn run<F: Future<Output = ()>>(test: F) {
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("test timed out") };
    actix_rt::System::new().block_on(limited);
}

/// Polls a condition until it holds; the timeout of `run` limits the wait.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(2)).await;
    }
}
