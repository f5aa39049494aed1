//! Watches of a simulated store, with and without failures, idle connections and compactions.

mod common;

use base::Revision;
use fakes::fault::Fault;
use fakes::fault_relay::Relay;
use fakes::platform::Platform;
use plat::Change;
use plat::Store;
use plat::Watch;
use plat::WatchEvent;
use yare::parameterized;

/// Receives a resync event and returns its keys.
async fn receive_resync(watch: &mut Watch) -> Vec<String> {
    match watch.next().await {
        Some(WatchEvent::Resync(listing)) => listing.entries.into_iter().map(|e| e.key).collect(),
        other => panic!("{other:?}"),
    }
}

/// Receives at least `count` changes and returns their keys and revisions.
async fn receive_changes(watch: &mut Watch, count: usize) -> Vec<(String, u64)> {
    let mut list = Vec::new();
    while list.len() < count {
        match watch.next().await {
            Some(WatchEvent::Changes(changes)) => list.extend(changes.iter().map(describe)),
            other => panic!("{other:?}"),
        }
    }
    list
}

/// Key and revision of a change. A minus sign marks a deletion.
fn describe(change: &Change) -> (String, u64) {
    match change {
        Change::Delete { key, revision } => (format!("-{key}"), revision.0),
        Change::Put(entry) => (entry.key.clone(), entry.revision.0),
    }
}

/// Opens a watch of a prefix without keys and waits until the store has registered it.
async fn open_watch(platform: &Platform, store: &Store) -> Watch {
    let mut watch = store.watch("s/", None);
    assert!(receive_resync(&mut watch).await.is_empty());
    common::wait_until(|| platform.calls().watches == 1).await;
    watch
}

#[test]
fn reports_all_keys_then_changes() {
    common::run(async {
        let platform = common::platform();
        platform.put("s/1", b"a");
        platform.put("t/1", b"a");
        let store = common::store(&platform);
        let mut watch = store.watch("s/", None);
        assert_eq!(receive_resync(&mut watch).await, ["s/1"]);
        platform.put("t/2", b"b");
        platform.put("s/2", b"b");
        assert_eq!(
            receive_changes(&mut watch, 1).await,
            [("s/2".to_string(), 5)]
        );
        let lease = store.grant_lease(base::Millis(60_000)).await.unwrap();
        let put = store
            .put_if("s/3", plat::Expect::Absent, "v".into(), Some(lease))
            .await;
        assert!(put.is_ok());
        platform.expire_lease(lease.0);
        let received = receive_changes(&mut watch, 2).await;
        assert_eq!(received, [("s/3".to_string(), 6), ("-s/3".to_string(), 7)]);
        watch.close();
        platform.close();
    });
}

#[test]
fn starts_after_given_revision() {
    common::run(async {
        let platform = common::platform();
        platform.put("s/1", b"a");
        platform.put("s/2", b"b");
        let store = common::store(&platform);
        let mut watch = store.watch("s/", Some(Revision(2)));
        assert_eq!(
            receive_changes(&mut watch, 1).await,
            [("s/2".to_string(), 3)]
        );
        watch.close();
        platform.close();
    });
}

#[parameterized(
    broken = { Fault::WatchBroken },
    down = { Fault::Refuse },
    hang = { Fault::Hang },
    silent = { Fault::WatchSilent },
)]
fn resumes_without_missing_changes(fault: Fault) {
    common::run(async move {
        let platform = common::platform();
        let store = common::store(&platform);
        let mut watch = open_watch(&platform, &store).await;
        platform.set_fault(fault);
        platform.put("s/1", b"a");
        platform.put("s/2", b"b");
        platform.set_fault(Fault::Up);
        let received = receive_changes(&mut watch, 2).await;
        assert_eq!(received, [("s/1".to_string(), 2), ("s/2".to_string(), 3)]);
        watch.close();
        platform.close();
    });
}

#[test]
fn resyncs_after_compaction() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let mut watch = open_watch(&platform, &store).await;
        platform.set_fault(Fault::WatchBroken);
        common::wait_until(|| platform.calls().watches == 0).await;
        platform.put("s/1", b"a");
        platform.put("s/1", b"b");
        platform.compact();
        platform.set_fault(Fault::Up);
        assert_eq!(receive_resync(&mut watch).await, ["s/1"]);
        platform.put("s/2", b"c");
        assert_eq!(
            receive_changes(&mut watch, 1).await,
            [("s/2".to_string(), 4)]
        );
        watch.close();
        platform.close();
    });
}

/// The relay drops all packets but does not close the connection, so only the idle timeout of the
/// watch detects the failure.
#[test]
fn replaces_dead_connection() {
    common::run(async {
        let platform = common::platform();
        let relay = Relay::start(platform.addr());
        let store = common::store_at(vec![relay.addr()]);
        let mut watch = open_watch(&platform, &store).await;
        relay.blackhole();
        platform.put("s/1", b"a");
        assert_eq!(
            receive_changes(&mut watch, 1).await,
            [("s/1".to_string(), 2)]
        );
        watch.close();
        relay.close();
        platform.close();
    });
}

#[test]
fn closing_a_watch_ends_it_at_the_store() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let watch = open_watch(&platform, &store).await;
        watch.close();
        common::wait_until(|| platform.calls().watches == 0).await;
        platform.close();
    });
}
