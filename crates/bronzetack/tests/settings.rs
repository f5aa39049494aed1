//! Settings with real daemon processes: changes come into force in time, survive faults of the
//! platform and are not reverted to an older revision.

mod support;

use std::time::Duration;

use fakes::fault::Fault;
use serde_json::json;
use serde_json::Value;

use support::callers::add_org;
use support::callers::change;
use support::callers::get_json;
use support::callers::post;
use support::eventually;
use support::within;
use support::Daemon;
use support::Site;

/// Longest time until an accepted change is in force in all daemons.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);

/// Store key of the settings.
const SETTINGS_KEY: &str = "bronzetack/settings";

/// Number of calls that a fault applies to; more than a test makes.
const ALL_CALLS: u64 = 1_000_000;

fn revision(daemon: &Daemon) -> u64 {
    let reply = get_json(daemon.ports.operators, "/v1/settings");
    reply["revision"].as_u64().unwrap_or_default()
}

fn set_weight(value: u64) -> Value {
    json!([{ "edit": "set", "at": "org=board", "key": "weight", "value": value }])
}

/// Number of accepted changes with this operation id.
fn accepted_count(daemon: &Daemon, op: &str) -> usize {
    let reply = get_json(daemon.ports.operators, "/v1/settings/history");
    let records = reply["records"].as_array().cloned().unwrap_or_default();
    records.iter().filter(|rec| rec["op"] == op).count()
}

#[test]
fn a_change_comes_into_force_in_all_daemons_in_time() {
    let site = Site::start("force", 2, 2, 1);
    let at = site.daemons[0].ports.operators;
    add_org(at);
    let (status, answer) = change(at, set_weight(7));
    assert_eq!(status, 200, "{answer}");
    let wanted = answer["revision"].as_u64().unwrap();
    let everywhere = || site.daemons.iter().all(|d| revision(d) >= wanted);
    assert!(within(IN_FORCE_MAX, everywhere), "{answer}");
    assert_eq!(answer["in_force"].as_array().unwrap().len(), 4, "{answer}");
    assert_eq!(answer["not_heard"], json!([]), "{answer}");
    site.close();
}

#[test]
fn the_reply_names_an_unreachable_daemon() {
    let site = Site::start("unheard", 1, 3, 1);
    let at = site.daemons[0].ports.operators;
    add_org(at);
    site.daemons[2].signal(nix::sys::signal::Signal::SIGSTOP);
    let (status, answer) = change(at, set_weight(7));
    assert_eq!(status, 200, "{answer}");
    let missing = answer["not_heard"].as_array().unwrap();
    assert!(missing[0].as_str().unwrap().starts_with("d0-e2"));
    site.daemons[2].signal(nix::sys::signal::Signal::SIGCONT);
    let wanted = answer["revision"].as_u64().unwrap();
    assert!(within(IN_FORCE_MAX, || revision(&site.daemons[2]) >= wanted));
    site.close();
}

#[test]
fn a_change_whose_answer_was_lost_is_accepted_once() {
    let site = Site::start("lost", 1, 2, 1);
    let ports: Vec<_> = site.daemons.iter().map(|d| d.ports.operators).collect();
    add_org(ports[0]);
    site.platform
        .set_fault_for_calls(Fault::Lose, "txn", ALL_CALLS);
    let call = json!({ "op": "lost-1", "who": "test", "edits": set_weight(7) });
    let (status, first) = post(ports[0], "/v1/settings", &call);
    site.platform.set_fault(Fault::Up);
    assert_eq!(status, 200, "{first}");
    let (status, again) = post(ports[1], "/v1/settings", &call);
    assert_eq!((status, &again["repeated"]), (200, &json!(true)), "{again}");
    assert_eq!(first["revision"], again["revision"]);
    assert_eq!(accepted_count(&site.daemons[1], "lost-1"), 1);
    site.close();
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_although_answers_are_lost() {
    let site = Site::start("lost-race", 1, 2, 1);
    add_org(site.daemons[0].ports.operators);
    let seen = revision(&site.daemons[0]);
    site.platform
        .set_fault_for_calls(Fault::Lose, "txn", ALL_CALLS);
    let send = |i: usize| {
        let call = json!({
            "op": format!("race-{i}"), "who": "test", "expect": seen, "edits": set_weight(7 + i as u64),
        });
        let at = site.daemons[i].ports.operators;
        std::thread::spawn(move || post(at, "/v1/settings", &call))
    };
    let senders = [send(0), send(1)];
    let mut replies = senders.map(|sender| sender.join().unwrap());
    site.platform.set_fault(Fault::Up);
    replies.sort_by_key(|(status, _)| *status);
    let statuses = [replies[0].0, replies[1].0];
    assert_eq!(statuses, [200, 409], "{replies:?}");
    let kept = (0..2).map(|i| accepted_count(&site.daemons[0], &format!("race-{i}")));
    assert_eq!(kept.sum::<usize>(), 1);
    site.close();
}

#[test]
fn an_older_document_restored_in_the_store_is_not_applied_and_is_overwritten() {
    let site = Site::start("older", 1, 3, 1);
    let at = site.daemons[0].ports.operators;
    add_org(at);
    for value in [7, 8] {
        assert_eq!(change(at, set_weight(value)).0, 200);
    }
    let wanted = revision(&site.daemons[0]);
    eventually("the change is in force in all daemons", || {
        site.daemons.iter().all(|d| revision(d) == wanted)
    });
    let newest: Value =
        serde_json::from_slice(&site.platform.value(SETTINGS_KEY).unwrap()).unwrap();
    assert!(site.platform.restore_previous(SETTINGS_KEY));
    let stored_revision = |value: &Value| value["revision"].clone();
    eventually("the newest document is stored again", || {
        let reverted = site.daemons.iter().any(|d| revision(d) < wanted);
        assert!(!reverted, "an older revision is in force");
        let stored = serde_json::from_slice(&site.platform.value(SETTINGS_KEY).unwrap()).unwrap();
        stored_revision(&stored) == stored_revision(&newest) && stored != Value::Null
    });
    site.close();
}

#[test]
fn a_daemon_started_during_an_outage_gets_the_settings_from_its_peers() {
    let mut site = Site::start("learn", 1, 3, 1);
    add_org(site.daemons[0].ports.operators);
    let wanted = revision(&site.daemons[0]);
    site.daemons[2].kill();
    site.platform.set_fault(Fault::Refuse);
    site.daemons[2].restart();
    eventually("the settings come from the peers", || {
        revision(&site.daemons[2]) == wanted
    });
    site.platform.set_fault(Fault::Up);
    eventually("the daemon is ready", || site.daemons[2].is_ready());
    site.close();
}

#[test]
fn a_daemon_started_alone_during_an_outage_is_not_ready() {
    let mut site = Site::new("alone", 1, 1);
    site.platform.set_fault(Fault::Refuse);
    site.add_daemon(0);
    site.publish();
    let ready = within(Duration::from_secs(4), || site.daemons[0].is_ready());
    assert!(!ready, "ready without settings");
    site.platform.set_fault(Fault::Up);
    eventually("the daemon is ready", || site.daemons[0].is_ready());
    site.close();
}
