//! One daemon's settings in single scenarios: a store rolled back as a whole, a deleted
//! document, an unreadable document, and a store that does not answer.

use std::sync::Arc;

use base::Millis;
use base::Revision;
use conf::sync::Action;
use conf::sync::Alarm;
use conf::sync::Config;
use conf::sync::Guards;
use conf::sync::Input;
use conf::sync::PeerMessage;
use conf::sync::Replica;
use conf::sync::Stamp;
use conf::sync::StoredDoc;
use conf::tree::Change;
use conf::tree::Edit;
use conf::tree::KeyVersion;
use conf::tree::Tree;
use conf::tree::Value;
use yare::parameterized;

fn replica(guards: Guards) -> Replica {
    Replica::new(Config {
        vm: "me".parse().unwrap(),
        freshness: Millis(1000),
        poll: Millis(500),
        timeout: Millis(500),
        guards,
    })
}

fn tree() -> Tree {
    let change = Change {
        op: "x".parse().unwrap(),
        who: "ana".parse().unwrap(),
        when: Millis(0),
        edits: vec![Edit::Set {
            at: "domain=d".parse().unwrap(),
            key: "out".into(),
            value: Value::Flag(true),
        }],
    };
    Tree::new()
        .apply(&change)
        .unwrap()
        .with_version(KeyVersion(1))
}

fn reads(actions: &[Action]) -> Vec<u64> {
    let read = |a: &Action| match a {
        Action::Read(seq) => Some(*seq),
        _ => None,
    };
    actions.iter().filter_map(read).collect()
}

fn read(replica: &mut Replica, now: u64, stored: StoredDoc) -> Vec<Action> {
    let seq = reads(&replica.step(Millis(now), Input::Tick))[0];
    replica.step(Millis(now + 1), Input::Read(seq, stored))
}

#[parameterized(
    enabled = { Guards::default(), false },
    disabled = { Guards { newest_known: false, ..Guards::default() }, true },
)]
fn a_daemon_that_knows_of_a_newer_revision_is_not_fresh(guards: Guards, want: bool) {
    let mut replica = replica(guards);
    replica.step(Millis(1), Input::Join("b".parse().unwrap()));
    let msg = PeerMessage {
        revision: Some(Revision(1)),
        ..PeerMessage::default()
    };
    replica.step(Millis(2), Input::Message("b".parse().unwrap(), msg));
    read(&mut replica, 3, StoredDoc::default());
    assert_eq!(replica.is_fresh(Millis(5)), want);
}

/// A tree whose `starts-offline` is set to `word` in failure domain `d`.
fn offline(word: &str) -> Arc<Tree> {
    let edit = Edit::Set {
        at: "domain=d".parse().unwrap(),
        key: "starts-offline".into(),
        value: Value::Word(word.into()),
    };
    let change = Change {
        op: "x".parse().unwrap(),
        who: "ana".parse().unwrap(),
        when: Millis(0),
        edits: vec![edit],
    };
    Arc::new(Tree::new().apply(&change).unwrap())
}

/// Peer's message at 5000 ms, in reply to a query sent at 4900 ms.
fn agreement(tree: &Tree) -> PeerMessage {
    PeerMessage {
        revision: Some(tree.revision()),
        op: tree.last_op().cloned(),
        echo: Some(Stamp {
            era: 0,
            at: Millis(4900),
        }),
        ..PeerMessage::default()
    }
}

#[parameterized(
    agreed = { "all-heard", |n| Some(n), 5000, true },
    never = { "never", |n| Some(n), 5000, false },
    no_message = { "all-heard", |_| None, 5000, false },
    write_pending = { "all-heard", |n| Some(PeerMessage { changing: true, ..n }), 5000, false },
    older_revision = { "all-heard", |n| Some(PeerMessage { revision: Some(Revision(0)), op: None, ..n }), 5000, false },
    newer_revision = { "all-heard", |n| Some(PeerMessage { revision: Some(Revision(2)), ..n }), 5000, false },
    no_echo = { "all-heard", |n| Some(PeerMessage { echo: None, ..n }), 5000, false },
    expired = { "all-heard", |n| Some(n), 5900, false },
)]
fn offline_starts_require_agreement_of_every_daemon(
    word: &str,
    alter: fn(PeerMessage) -> Option<PeerMessage>,
    now: u64,
    want: bool,
) {
    let mut replica = replica(Guards::default());
    let tree = offline(word);
    replica.step(Millis(1), Input::Join("b".parse().unwrap()));
    replica.step(Millis(2), Input::Accepted(tree.clone()));
    if let Some(msg) = alter(agreement(&tree)) {
        replica.step(Millis(5000), Input::Message("b".parse().unwrap(), msg));
    }
    assert!(!replica.is_fresh(Millis(now)));
    assert_eq!(replica.may_start(&"d".parse().unwrap(), Millis(now)), want);
}

#[test]
fn a_deleted_document_is_written_back() {
    let mut replica = replica(Guards::default());
    replica.step(Millis(1), Input::Accepted(Arc::new(tree())));
    let got = read(&mut replica, 2, StoredDoc::default());
    assert!(got
        .iter()
        .any(|a| matches!(a, Action::Alarm(Alarm::Replaced { .. }))));
    let restored = got.iter().find_map(|a| match a {
        Action::Restore { data, .. } => Tree::decode(data.as_bytes()).ok(),
        _ => None,
    });
    assert_eq!(restored, Some(tree()));
    assert_eq!(replica.tree().unwrap().revision(), Revision(1));
    assert!(!replica.is_fresh(Millis(4)));
}

#[test]
fn an_unreadable_document_only_raises_an_alarm() {
    let mut replica = replica(Guards::default());
    let data = Some(b"{".to_vec());
    let got = read(
        &mut replica,
        1,
        StoredDoc {
            data,
            ..StoredDoc::default()
        },
    );
    assert!(matches!(got[..], [Action::Alarm(Alarm::Unreadable(_))]));
    assert!(!replica.is_ready());
}

#[test]
fn reads_of_an_unavailable_store_back_off() {
    let mut replica = replica(Guards::default());
    let mut calls = 0;
    for now in (0..20_000).step_by(50) {
        let seqs = reads(&replica.step(Millis(now), Input::Tick));
        calls += seqs.len();
        for seq in seqs {
            replica.step(Millis(now + 1), Input::ReadFailed(seq));
        }
    }
    assert!((10..=30).contains(&calls), "{calls} reads in 20 s");
}
