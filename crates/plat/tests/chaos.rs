//! Clients write one key concurrently while the store injects random faults. The result that each
//! client gets for a write must agree with the history of the key.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::Millis;
use base::Revision;
use bytes::Bytes;
use fakes::fault::Fault;
use fakes::platform::Platform;
use plat::Change;
use plat::Expect;
use plat::Store;
use plat::StoreConfig;
use plat::StoreError;
use plat::WatchEvent;
use plat::WriteOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;
use yare::parameterized;

const KEY: &str = "race";
const CLIENTS: u64 = 4;
const WRITES_PER_CLIENT: u64 = 10;

const FAULTS: [Fault; 8] = [
    Fault::Garble,
    Fault::Hang,
    Fault::Late(45),
    Fault::Late(70),
    Fault::Lose,
    Fault::Reject,
    Fault::Slow(5),
    Fault::Truncate,
];

/// Every value that a client tried to write, with the result.
type Writes = Vec<(Bytes, Result<WriteOutcome, StoreError>)>;

fn client(platform: &Platform, seed: u64) -> Store {
    let config = StoreConfig {
        call_timeout: Millis(40),
        seed,
        ..common::config(vec![platform.addr()])
    };
    let metrics = obs::Metrics::new();
    Store::new(config, obs::discard(), &metrics, base::Clock::System)
}

/// Makes the writes of one client, each under the condition of the revision read before it.
async fn write(store: Store, id: u64, writes: Rc<RefCell<Writes>>) {
    for i in 0..WRITES_PER_CLIENT {
        let expect = loop {
            match store.get(KEY).await {
                Ok(None) => break Expect::Absent,
                Ok(Some(entry)) => break Expect::At(entry.revision),
                Err(error) => sleep(error.retry_after().duration() / 20).await,
            }
        };
        let value = Bytes::from(format!("client {id} write {i}"));
        let result = store.put_resolved(KEY, expect, value.clone(), None).await;
        writes.borrow_mut().push((value, result));
    }
}

/// Injects random faults until all writes are done.
async fn inject_faults(platform: &Platform, seed: u64, done: &Cell<bool>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !done.get() {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let kind = ["txn", "range"][rng.random_range(0..2)];
        platform.set_fault_for_calls(fault, kind, rng.random_range(1..4));
        sleep(Duration::from_millis(rng.random_range(1..20))).await;
    }
    platform.set_fault(Fault::Up);
}

/// All values that the key ever had, with their revisions.
async fn read_history(platform: &Platform) -> Vec<(Bytes, Revision)> {
    let last = Revision(platform.revision() as u64);
    let mut watch = common::store(platform).watch(KEY, Some(Revision(1)));
    let mut list = Vec::new();
    while list.last().is_none_or(|(_, r)| *r < last) {
        let Some(WatchEvent::Changes(changes)) = watch.next().await else {
            panic!("expected changes from the watch");
        };
        for change in changes {
            let Change::Put(entry) = change else {
                panic!("the key was deleted");
            };
            list.push((entry.value, entry.revision));
        }
    }
    watch.close();
    list
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn results_agree_with_history(seed: u64) {
    common::run(async move {
        let platform = common::platform();
        let writes = Rc::new(RefCell::new(Vec::new()));
        let done = Cell::new(false);
        let writers = async {
            let writer = |id| write(client(&platform, seed * 100 + id), id, writes.clone());
            futures_util::future::join_all((0..CLIENTS).map(writer)).await;
            // Lets delayed writes take effect.
            sleep(Duration::from_millis(100)).await;
            done.set(true);
        };
        tokio::join!(writers, inject_faults(&platform, seed, &done));
        let history = read_history(&platform).await;
        check_results(&writes.borrow(), &history);
        platform.close();
    });
}

fn check_results(writes: &Writes, history: &[(Bytes, Revision)]) {
    // Writes that were applied, not applied, and of unknown outcome.
    let mut counts = [0; 3];
    for (value, result) in writes {
        let applied: Vec<Revision> = history
            .iter()
            .filter(|(v, _)| v == value)
            .map(|(_, r)| *r)
            .collect();
        assert!(
            applied.len() <= 1,
            "{value:?} was applied more than once: {applied:?}"
        );
        match result {
            Ok(WriteOutcome::Done(revision)) => {
                assert_eq!(applied, [*revision], "{value:?}");
                counts[0] += 1;
            }
            Ok(WriteOutcome::Conflict(_))
            | Err(StoreError::NotSent(..) | StoreError::Refused(..)) => {
                assert!(
                    applied.is_empty(),
                    "{value:?} was applied at {applied:?} despite {result:?}"
                );
                counts[1] += 1;
            }
            Err(StoreError::OutcomeUnknown(..)) => counts[2] += 1,
        }
    }
    assert_eq!(writes.len() as u64, CLIENTS * WRITES_PER_CLIENT);
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}
