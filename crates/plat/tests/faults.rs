//! Calls to a simulated store that injects faults.

mod common;

use std::time::Duration;

use base::Millis;
use base::Revision;
use bytes::Bytes;
use fakes::fault::Fault;
use fakes::fault_relay::Relay;
use fakes::platform::Platform;
use plat::Expect;
use plat::KeepAlive;
use plat::Store;
use plat::StoreError;
use plat::WriteOutcome;
use yare::parameterized;

const VALUE: Bytes = Bytes::from_static(b"own");

/// Result of a call without its details.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResultKind {
    Done,
    OutcomeUnknown,
    NotSent,
    Refused,
}

fn kind<T>(result: &Result<T, StoreError>) -> ResultKind {
    match result {
        Ok(_) => ResultKind::Done,
        Err(StoreError::OutcomeUnknown(..)) => ResultKind::OutcomeUnknown,
        Err(StoreError::NotSent(..)) => ResultKind::NotSent,
        Err(StoreError::Refused(..)) => ResultKind::Refused,
    }
}

#[parameterized(
    down = { Fault::Refuse, ResultKind::NotSent, false },
    garbled = { Fault::Garble, ResultKind::OutcomeUnknown, true },
    hang = { Fault::Hang, ResultKind::OutcomeUnknown, false },
    lost = { Fault::Lose, ResultKind::OutcomeUnknown, true },
    refused = { Fault::Reject, ResultKind::Refused, false },
    slow = { Fault::Slow(30), ResultKind::Done, true },
    too_slow = { Fault::Slow(60_000), ResultKind::OutcomeUnknown, false },
    truncated = { Fault::Truncate, ResultKind::OutcomeUnknown, true },
    up = { Fault::Up, ResultKind::Done, true },
)]
fn write_reports_whether_it_may_have_taken_effect(
    fault: Fault,
    expected: ResultKind,
    applied: bool,
) {
    common::run(async move {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.set_fault(fault);
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(kind(&put), expected, "{put:?}");
        assert_eq!(platform.value("k").is_some(), applied);
        assert!(
            platform.calls().total("txn") <= 1,
            "the write was sent more than once"
        );
        platform.close();
    });
}

#[parameterized(
    down = { Fault::Refuse, ResultKind::NotSent },
    garbled = { Fault::Garble, ResultKind::OutcomeUnknown },
    hang = { Fault::Hang, ResultKind::OutcomeUnknown },
    refused = { Fault::Reject, ResultKind::Refused },
    slow = { Fault::Slow(30), ResultKind::Done },
    truncated = { Fault::Truncate, ResultKind::OutcomeUnknown },
)]
fn read_fails_and_recovers(fault: Fault, expected: ResultKind) {
    common::run(async move {
        let platform = common::platform();
        platform.put("k", b"own");
        let store = common::store(&platform);
        platform.set_fault(fault);
        let got = store.get("k").await;
        assert_eq!(kind(&got), expected, "{got:?}");
        platform.set_fault(Fault::Up);
        let recovery = async {
            while store.get("k").await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        recovery.await;
        platform.close();
    });
}

#[parameterized(
    garbled = { Fault::Garble },
    hang = { Fault::Hang },
    late = { Fault::Late(310) },
    lost = { Fault::Lose },
    truncated = { Fault::Truncate },
)]
fn put_resolved_finds_write_whose_response_was_lost(fault: Fault) {
    common::run(async move {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.set_fault_for_calls(fault, "txn", 1);
        let put = store.put_resolved("k", Expect::Absent, VALUE, None).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        assert_eq!(platform.value("k").as_deref(), Some(&VALUE[..]));
        platform.close();
    });
}

/// Starts a write whose first call meets `fault`, and writes the key twice on behalf of another
/// client before the fault is detected.
async fn put_while_overwritten(
    platform: &Platform,
    store: &Store,
    fault: Fault,
) -> Result<WriteOutcome, StoreError> {
    platform.set_fault_for_calls(fault, "txn", 1);
    let put = store.put_resolved("k", Expect::Absent, VALUE, None);
    let other = async {
        common::wait_until(|| platform.calls().total("txn") == 1).await;
        common::wait_until(|| fault == Fault::Hang || platform.value("k").is_some()).await;
        platform.put("k", b"other 1");
        platform.put("k", b"other 2");
    };
    tokio::join!(put, other).0
}

#[test]
fn put_resolved_finds_overwritten_write() {
    common::run(async {
        let platform = common::platform();
        let put = put_while_overwritten(&platform, &common::store(&platform), Fault::Lose).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        platform.close();
    });
}

#[test]
fn put_resolved_reports_conflict_if_key_changed_first() {
    common::run(async {
        let platform = common::platform();
        let put = put_while_overwritten(&platform, &common::store(&platform), Fault::Hang).await;
        let Ok(WriteOutcome::Conflict(Some(entry))) = put else {
            panic!("{put:?}");
        };
        assert_eq!(entry.value, Bytes::from_static(b"other 2"));
        platform.close();
    });
}

#[test]
fn put_resolved_fails_if_store_stays_unreachable() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.set_fault(Fault::Lose);
        let put = store.put_resolved("k", Expect::Absent, VALUE, None).await;
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown);
        platform.close();
    });
}

#[test]
fn put_resolved_fails_if_revisions_were_compacted() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.set_fault_for_calls(Fault::Lose, "txn", 1);
        let put = store.put_resolved("k", Expect::Absent, VALUE, None);
        let other = async {
            common::wait_until(|| platform.value("k").is_some()).await;
            platform.put("k", b"other");
            platform.compact();
        };
        let (put, ()) = tokio::join!(put, other);
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown);
        platform.close();
    });
}

#[test]
fn reports_expired_lease() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let lease = store.grant_lease(Millis(60_000)).await.unwrap();
        platform.expire_lease(lease.0);
        assert_eq!(store.keep_alive(lease).await, Ok(KeepAlive::Lapsed));
        let put = store.put_if("k", Expect::Absent, VALUE, Some(lease)).await;
        assert_eq!(kind(&put), ResultKind::Refused);
        platform.close();
    });
}

/// A connection whose packets are dropped without a reset must not fail every later call.
#[test]
fn does_not_reuse_dead_connection() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        assert_eq!(store.get("k").await, Ok(None));
        relay.blackhole();
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown);
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        assert_eq!(relay.accepted(), 2);
        relay.blackhole();
        assert_eq!(
            kind(&store.get("k").await),
            ResultKind::Done,
            "the read was not sent again on a new connection"
        );
        relay.close();
        platform.close();
    });
}

#[test]
fn drops_all_idle_connections_after_lost_response() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        platform.set_fault(Fault::Slow(20));
        let gets = futures_util::future::join_all((0..4).map(|_| store.get("k")));
        assert!(gets.await.iter().all(Result::is_ok));
        assert_eq!(relay.accepted(), 4);
        relay.blackhole();
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown);
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        relay.close();
        platform.close();
    });
}

#[test]
fn write_with_unknown_outcome_is_not_sent_to_next_endpoint() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr(), platform.addr()]);
        platform.set_fault_for_calls(Fault::Truncate, "txn", 1);
        let put = store.put_if("k", Expect::Any, VALUE, None).await;
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown);
        assert_eq!(platform.calls().total("txn"), 1);
        relay.close();
        platform.close();
    });
}

/// The HTTP client reports this as a failure to connect, although the call was sent.
#[test]
fn outcome_is_unknown_if_connection_ends_before_response() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        platform.set_fault(Fault::Lose);
        let put = store.put_if("k", Expect::Absent, VALUE, None);
        let cut = async {
            common::wait_until(|| platform.value("k").is_some()).await;
            relay.disconnect();
        };
        let (put, ()) = tokio::join!(put, cut);
        assert_eq!(kind(&put), ResultKind::OutcomeUnknown, "{put:?}");
        relay.close();
        platform.close();
    });
}

#[test]
fn uses_next_endpoint_after_failure() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr(), platform.addr()]);
        assert_eq!(store.get("k").await, Ok(None));
        relay.close();
        assert_eq!(store.get("k").await, Ok(None));
        let put = store.put_if("k", Expect::Absent, VALUE, None).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        platform.close();
    });
}

#[test]
fn lease_renewals_are_admitted_without_budget() {
    common::run(async {
        let platform = common::platform();
        let config = plat::StoreConfig {
            rate: base::Rate(1.0),
            ..common::config(vec![platform.addr()])
        };
        let metrics = obs::Metrics::new();
        let store = Store::new(config, obs::discard(), &metrics, base::Clock::System);
        let lease = store.grant_lease(Millis(60_000)).await.unwrap();
        assert_eq!(kind(&store.get("k").await), ResultKind::NotSent);
        for _ in 0..20 {
            let alive = store.keep_alive(lease).await;
            assert_eq!(alive, Ok(KeepAlive::Alive(Millis(60_000))));
        }
        platform.close();
    });
}

#[test]
fn store_that_is_down_gets_only_probes() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.set_fault(Fault::Reject);
        for _ in 0..100 {
            assert!(store.get("k").await.is_err());
        }
        assert!(platform.calls().all.total < 10, "{:?}", platform.calls());
        platform.close();
    });
}
