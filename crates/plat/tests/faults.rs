//! Calls against a store that fails, by kind of fault.

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
use plat::Put;
use plat::Store;
use plat::StoreError;
use yare::parameterized;

const OWN: Bytes = Bytes::from_static(b"own");

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Done,
    Lost,
    NotSent,
    Refused,
}

fn class<T>(result: &Result<T, StoreError>) -> Class {
    match result {
        Ok(_) => Class::Done,
        Err(StoreError::Lost(..)) => Class::Lost,
        Err(StoreError::NotSent(..)) => Class::NotSent,
        Err(StoreError::Refused(..)) => Class::Refused,
    }
}

#[parameterized(
    down = { Fault::Refuse, Class::NotSent, false },
    garbled = { Fault::Garble, Class::Lost, true },
    hang = { Fault::Hang, Class::Lost, false },
    lost = { Fault::Lose, Class::Lost, true },
    refused = { Fault::Reject, Class::Refused, false },
    slow = { Fault::Slow(30), Class::Done, true },
    too_slow = { Fault::Slow(60_000), Class::Lost, false },
    truncated = { Fault::Truncate, Class::Lost, true },
    up = { Fault::Up, Class::Done, true },
)]
fn a_write_tells_whether_it_may_have_applied(fault: Fault, expected: Class, applied: bool) {
    common::run(async move {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.fault(fault);
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(class(&put), expected, "{put:?}");
        assert_eq!(platform.value("k").is_some(), applied);
        assert!(platform.calls().total("txn") <= 1, "a write is sent once");
        platform.close();
    });
}

#[parameterized(
    down = { Fault::Refuse, Class::NotSent },
    garbled = { Fault::Garble, Class::Lost },
    hang = { Fault::Hang, Class::Lost },
    refused = { Fault::Reject, Class::Refused },
    slow = { Fault::Slow(30), Class::Done },
    truncated = { Fault::Truncate, Class::Lost },
)]
fn a_read_fails_whole(fault: Fault, expected: Class) {
    common::run(async move {
        let platform = common::platform();
        platform.put("k", b"own");
        let store = common::store(&platform);
        platform.fault(fault);
        let got = store.get("k").await;
        assert_eq!(class(&got), expected, "{got:?}");
        platform.fault(Fault::Up);
        let back = async {
            while store.get("k").await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        back.await;
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
fn a_lost_answer_is_resolved(fault: Fault) {
    common::run(async move {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.fault_next(fault, "txn", 1);
        let put = store.put_resolved("k", Expect::Absent, OWN, None).await;
        assert_eq!(put, Ok(Put::Done(Revision(2))));
        assert_eq!(platform.value("k").as_deref(), Some(&OWN[..]));
        platform.close();
    });
}

async fn race(platform: &Platform, store: &Store, fault: Fault) -> Result<Put, StoreError> {
    platform.fault_next(fault, "txn", 1);
    let put = store.put_resolved("k", Expect::Absent, OWN, None);
    let other = async {
        common::until(|| platform.calls().total("txn") == 1).await;
        common::until(|| fault == Fault::Hang || platform.value("k").is_some()).await;
        platform.put("k", b"other 1");
        platform.put("k", b"other 2");
    };
    tokio::join!(put, other).0
}

#[test]
fn a_lost_write_that_was_overwritten_counts_as_done() {
    common::run(async {
        let platform = common::platform();
        let put = race(&platform, &common::store(&platform), Fault::Lose).await;
        assert_eq!(put, Ok(Put::Done(Revision(2))));
        platform.close();
    });
}

#[test]
fn a_lost_write_that_came_too_late_is_a_conflict() {
    common::run(async {
        let platform = common::platform();
        let put = race(&platform, &common::store(&platform), Fault::Hang).await;
        let Ok(Put::Conflict(Some(entry))) = put else {
            panic!("{put:?}");
        };
        assert_eq!(entry.value, Bytes::from_static(b"other 2"));
        platform.close();
    });
}

#[test]
fn a_lost_write_stays_lost_while_the_store_is_away() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.fault(Fault::Lose);
        let put = store.put_resolved("k", Expect::Absent, OWN, None).await;
        assert_eq!(class(&put), Class::Lost);
        platform.close();
    });
}

#[test]
fn a_lost_write_stays_lost_behind_a_compaction() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.fault_next(Fault::Lose, "txn", 1);
        let put = store.put_resolved("k", Expect::Absent, OWN, None);
        let other = async {
            common::until(|| platform.value("k").is_some()).await;
            platform.put("k", b"other");
            platform.compact();
        };
        let (put, ()) = tokio::join!(put, other);
        assert_eq!(class(&put), Class::Lost);
        platform.close();
    });
}

#[test]
fn a_lapsed_lease_is_told() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let lease = store.grant(Millis(60_000)).await.unwrap();
        platform.lapse(lease.0);
        assert_eq!(store.keep_alive(lease).await, Ok(KeepAlive::Lapsed));
        let put = store.put_if("k", Expect::Absent, OWN, Some(lease)).await;
        assert_eq!(class(&put), Class::Refused);
        platform.close();
    });
}

#[test]
fn a_silent_connection_is_not_used_again() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        assert_eq!(store.get("k").await, Ok(None));
        relay.silence();
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(class(&put), Class::Lost);
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(put, Ok(Put::Done(Revision(2))));
        assert_eq!(relay.accepted(), 2);
        relay.silence();
        assert_eq!(
            class(&store.get("k").await),
            Class::Done,
            "a read gets a new connection"
        );
        relay.close();
        platform.close();
    });
}

#[test]
fn all_idle_connections_are_dropped_after_a_lost_answer() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        platform.fault(Fault::Slow(20));
        let gets = futures_util::future::join_all((0..4).map(|_| store.get("k")));
        assert!(gets.await.iter().all(Result::is_ok));
        assert_eq!(relay.accepted(), 4);
        relay.silence();
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(class(&put), Class::Lost);
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(put, Ok(Put::Done(Revision(2))));
        relay.close();
        platform.close();
    });
}

#[test]
fn a_lost_write_is_not_sent_to_the_next_endpoint() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr(), platform.addr()]);
        platform.fault_next(Fault::Truncate, "txn", 1);
        let put = store.put_if("k", Expect::Any, OWN, None).await;
        assert_eq!(class(&put), Class::Lost);
        assert_eq!(platform.calls().total("txn"), 1);
        relay.close();
        platform.close();
    });
}

#[test]
fn a_connection_that_ends_before_the_answer_loses_it() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        platform.fault(Fault::Lose);
        let put = store.put_if("k", Expect::Absent, OWN, None);
        let cut = async {
            common::until(|| platform.value("k").is_some()).await;
            relay.cut();
        };
        let (put, ()) = tokio::join!(put, cut);
        assert_eq!(class(&put), Class::Lost, "{put:?}");
        relay.close();
        platform.close();
    });
}

#[test]
fn the_next_endpoint_is_tried() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr(), platform.addr()]);
        assert_eq!(store.get("k").await, Ok(None));
        relay.close();
        assert_eq!(store.get("k").await, Ok(None));
        let put = store.put_if("k", Expect::Absent, OWN, None).await;
        assert_eq!(put, Ok(Put::Done(Revision(2))));
        platform.close();
    });
}

#[test]
fn renewals_pass_when_the_budget_is_spent() {
    common::run(async {
        let platform = common::platform();
        let config = plat::StoreConfig {
            rate: base::Rate(1.0),
            ..common::config(vec![platform.addr()])
        };
        let metrics = obs::Metrics::new();
        let store = Store::new(config, obs::discard(), &metrics, base::Clock::System);
        let lease = store.grant(Millis(60_000)).await.unwrap();
        assert_eq!(class(&store.get("k").await), Class::NotSent);
        for _ in 0..20 {
            let alive = store.keep_alive(lease).await;
            assert_eq!(alive, Ok(KeepAlive::Alive(Millis(60_000))));
        }
        platform.close();
    });
}

#[test]
fn a_store_that_is_down_is_only_probed() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        platform.fault(Fault::Reject);
        for _ in 0..100 {
            assert!(store.get("k").await.is_err());
        }
        assert!(platform.calls().all.total < 10, "{:?}", platform.calls());
        platform.close();
    });
}
