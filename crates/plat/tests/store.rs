//! Reads, conditional writes and leases against a simulated store without faults.

mod common;

use base::Millis;
use base::Revision;
use bytes::Bytes;
use plat::Entry;
use plat::Expect;
use plat::KeepAlive;
use plat::WriteOutcome;

fn text(value: &'static str) -> Bytes {
    Bytes::from_static(value.as_bytes())
}

#[test]
fn writes_and_reads_back() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        assert_eq!(store.get("a").await, Ok(None));
        let put = store.put_if("a", Expect::Absent, text("1"), None).await;
        assert_eq!(put, Ok(WriteOutcome::Done(Revision(2))));
        let entry = Entry {
            key: "a".to_string(),
            value: text("1"),
            create_revision: Revision(2),
            revision: Revision(2),
            lease: None,
            version: 1,
        };
        assert_eq!(store.get("a").await, Ok(Some(entry.clone())));
        let conflict = store.put_if("a", Expect::Absent, text("2"), None).await;
        assert_eq!(conflict, Ok(WriteOutcome::Conflict(Some(entry))));
        let update = store
            .put_if("a", Expect::At(Revision(2)), text("3"), None)
            .await;
        assert_eq!(update, Ok(WriteOutcome::Done(Revision(3))));
        let old = store.get_at("a", Revision(2)).await.unwrap().unwrap();
        assert_eq!(old.value, text("1"));
        let unconditional = store.put_if("a", Expect::Any, text("4"), None).await;
        assert_eq!(unconditional, Ok(WriteOutcome::Done(Revision(4))));
        let stale = store.delete_if("a", Expect::At(Revision(2))).await;
        assert!(matches!(stale, Ok(WriteOutcome::Conflict(Some(_)))));
        let deleted = store.delete_if("a", Expect::At(Revision(4))).await;
        assert_eq!(deleted, Ok(WriteOutcome::Done(Revision(5))));
        let absent = store.delete_if("a", Expect::At(Revision(4))).await;
        assert_eq!(absent, Ok(WriteOutcome::Conflict(None)));
        platform.close();
    });
}

#[test]
fn lists_only_keys_with_prefix() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        for key in ["j", "j/2", "j/1", "j0", "k/1"] {
            let put = store.put_if(key, Expect::Any, text("v"), None).await;
            assert!(matches!(put, Ok(WriteOutcome::Done(_))));
        }
        let listing = store.list("j/").await.unwrap();
        let keys: Vec<&str> = listing.entries.iter().map(|e| e.key.as_str()).collect();
        assert_eq!(keys, ["j/1", "j/2"]);
        assert_eq!(listing.revision, Revision(6));
        assert_eq!(store.list("").await.unwrap().entries.len(), 5);
        platform.close();
    });
}

#[test]
fn key_is_deleted_when_its_lease_expires() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let lease = store.grant_lease(Millis(1)).await.unwrap();
        let put = store
            .put_if("l", Expect::Absent, text("me"), Some(lease))
            .await;
        assert!(matches!(put, Ok(WriteOutcome::Done(_))));
        assert_eq!(store.get("l").await.unwrap().unwrap().lease, Some(lease));
        let alive = store.keep_alive(lease).await;
        assert_eq!(alive, Ok(KeepAlive::Alive(Millis(1000))));
        common::wait_until(|| platform.value("l").is_none()).await;
        assert_eq!(store.keep_alive(lease).await, Ok(KeepAlive::Lapsed));
        platform.close();
    });
}

#[test]
fn revoked_lease_is_refused() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        let lease = store.grant_lease(Millis(60_000)).await.unwrap();
        let put = store
            .put_if("l", Expect::Absent, text("me"), Some(lease))
            .await;
        assert!(matches!(put, Ok(WriteOutcome::Done(_))));
        assert_eq!(store.revoke_lease(lease).await, Ok(()));
        assert_eq!(store.get("l").await, Ok(None));
        assert!(store.revoke_lease(lease).await.is_err());
        platform.close();
    });
}

#[test]
fn closed_client_sends_no_calls() {
    common::run(async {
        let platform = common::platform();
        let store = common::store(&platform);
        store.clone().close();
        assert!(store.get("a").await.is_err());
        assert_eq!(platform.calls().all.total, 0);
        platform.close();
    });
}
