//! The settings tree: inheritance, atomic edits, limits and the stored document.

use base::Millis;
use base::Revision;
use base::Shape;
use conf::tree::Change;
use conf::tree::Edit;
use conf::tree::Key;
use conf::tree::OnOut;
use conf::tree::Place;
use conf::tree::StartsOffline;
use conf::tree::Tree;
use conf::tree::Value;
use conf::tree::MAX_EDITS;
use conf::tree::MAX_HISTORY_BYTES;
use conf::tree::MAX_OPS;
use proptest::prelude::*;
use yare::parameterized;

fn change(op: &str, edits: Vec<Edit>) -> Change {
    Change {
        op: op.parse().unwrap(),
        who: "ana".parse().unwrap(),
        when: Millis(7),
        edits,
    }
}

fn set(at: &str, key: &str, value: Value) -> Edit {
    Edit::Set {
        at: at.parse().unwrap(),
        key: key.to_string(),
        value,
    }
}

fn unset(at: &str, key: &str) -> Edit {
    Edit::Unset {
        at: at.parse().unwrap(),
        key: key.to_string(),
    }
}

fn add_org(org: &str) -> Edit {
    Edit::AddOrg {
        org: org.parse().unwrap(),
    }
}

fn shape(tasks: u32, accels: u32) -> Shape {
    let text = format!("{{\"tasks\": {tasks}, \"accels\": {accels}}}");
    serde_json::from_str(&text).unwrap()
}

fn add_shape(count: u32, shape: Shape) -> Edit {
    Edit::AddShape {
        org: "o1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        shape,
        count,
    }
}

fn remove_shape(count: u32, shape: Shape) -> Edit {
    Edit::RemoveShape {
        org: "o1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        shape,
        count,
    }
}

fn tree(edits: Vec<Edit>) -> Tree {
    let tree = Tree::new().apply(&change("base", vec![add_org("o1")]));
    tree.unwrap().apply(&change("more", edits)).unwrap()
}

fn problems(tree: &Tree, edits: Vec<Edit>) -> Vec<String> {
    let found = tree.apply(&change("bad", edits)).unwrap_err();
    found.iter().map(|f| f.to_string()).collect()
}

#[parameterized(
    default = { &[], 10_000 },
    site = { &["site"], 1 },
    domain_over_site = { &["site", "domain=d1"], 2 },
    org_over_domain = { &["site", "domain=d1", "org=o1"], 3 },
    org_domain_over_org = { &["org=o1", "org=o1,domain=d1"], 4 },
    kind_over_all = { &["site", "domain=d1", "org=o1", "org=o1,domain=d1", "org=o1,kind=k1"], 5 },
    other_domain = { &["domain=d2"], 10_000 },
    other_org_domain = { &["org=o1,domain=d2"], 10_000 },
    other_kind = { &["org=o1,kind=k2"], 10_000 },
)]
fn the_most_specific_place_takes_precedence(set_at: &[&str], want: u64) {
    let values = [
        ("site", 1),
        ("domain=d1", 2),
        ("org=o1", 3),
        ("org=o1,domain=d1", 4),
    ];
    let value = |at: &str| values.iter().find(|(p, _)| *p == at).map_or(5, |(_, v)| *v);
    let edits = set_at
        .iter()
        .map(|at| set(at, "checkpoint-wait", Value::Number(value(at))));
    let mut edits: Vec<Edit> = edits.collect();
    edits.push(add_org("o2"));
    let tree = tree(edits);
    let place: Place = "org=o1,domain=d1,kind=k1".parse().unwrap();
    let got = tree.resolve(Key::CheckpointWait, &place);
    assert_eq!(got, Value::Number(want));
}

#[test]
fn explain_marks_the_place_that_the_value_is_inherited_from() {
    let tree = tree(vec![
        set("site", "on-out", Value::Word("finish".into())),
        set("org=o1", "on-out", Value::Word("move".into())),
    ]);
    let place: Place = "org=o1,domain=d1,kind=k1".parse().unwrap();
    let got = tree.explain(Key::OnOut, &place);
    let used: Vec<_> = got.chain.iter().filter(|l| l.used).collect();
    assert_eq!(used.len(), 1);
    assert_eq!(used[0].at, Some("org=o1".parse().unwrap()));
    assert_eq!(got.chain.len(), 6);
    assert_eq!(got.chain[4].value, Some(Value::Word("finish".into())));
    assert_eq!(got.chain[5].at, None);
}

#[test]
fn an_unset_value_is_inherited_again() {
    let tree = tree(vec![set("domain=d1", "out", Value::Flag(true))]);
    let d1 = "d1".parse().unwrap();
    assert_eq!(tree.domains_out(), vec![d1]);
    let back = tree
        .apply(&change("back", vec![unset("domain=d1", "out")]))
        .unwrap();
    assert!(back.domains_out().is_empty());
    assert_eq!(back.revision(), tree.revision().next());
}

#[test]
fn typed_accessors_return_effective_values() {
    let tree = tree(vec![
        add_shape(2, shape(4, 8)),
        set("org=o1,domain=d1", "weight", Value::Number(7)),
        set("org=o1", "quota-accels", Value::Number(96)),
        set("domain=d1", "on-out", Value::Word("finish".into())),
        set(
            "domain=d1",
            "starts-offline",
            Value::Word("all-heard".into()),
        ),
    ]);
    let (org, d1, d2) = (
        "o1".parse().unwrap(),
        "d1".parse().unwrap(),
        "d2".parse().unwrap(),
    );
    assert_eq!(
        tree.guarantees(&d1),
        vec![("o1".parse().unwrap(), shape(4, 8), 2)]
    );
    assert!(tree.guarantees(&d2).is_empty());
    assert_eq!(
        (tree.weight(&org, &d1).0, tree.weight(&org, &d2).0),
        (7, 100)
    );
    assert_eq!(tree.quota(&org, &d2).0, 96);
    assert_eq!(
        (tree.on_out(&d1), tree.on_out(&d2)),
        (OnOut::Finish, OnOut::Move)
    );
    assert_eq!(tree.starts_offline(&d1), StartsOffline::AllHeard);
    assert_eq!(tree.starts_offline(&d2), StartsOffline::Never);
}

#[test]
fn shape_copies_are_added_and_removed() {
    let tree = tree(vec![add_shape(2, shape(4, 8)), add_shape(1, shape(4, 8))]);
    let d1 = "d1".parse().unwrap();
    assert_eq!(tree.guarantees(&d1)[0].2, 3);
    let gone = tree
        .apply(&change("go", vec![remove_shape(3, shape(4, 8))]))
        .unwrap();
    assert!(gone.guarantees(&d1).is_empty());
}

#[test]
fn removing_an_organisation_removes_its_settings() {
    let tree = tree(vec![
        set("org=o1,domain=d1", "weight", Value::Number(7)),
        set("domain=d1", "out", Value::Flag(true)),
    ]);
    let org: base::OrgId = "o1".parse().unwrap();
    let gone = tree
        .apply(&change("rm", vec![Edit::RemoveOrg { org: org.clone() }]))
        .unwrap();
    let fresh = gone.apply(&change("re", vec![add_org("o1")])).unwrap();
    assert_eq!(fresh.weight(&org, &"d1".parse().unwrap()).0, 100);
    assert_eq!(fresh.domains_out().len(), 1);
}

#[parameterized(
    unknown_key = { set("site", "colour", Value::Flag(true)), "edits[0]: unknown setting \"colour\"" },
    wrong_level = { set("site", "out", Value::Flag(true)), "edits[0]: out cannot be set at site" },
    lookup_place = { set("org=o1,domain=d1,kind=k", "on-out", Value::Word("move".into())), "edits[0]: on-out cannot be set at" },
    wrong_type = { set("domain=d1", "out", Value::Number(1)), "edits[0]: 1 is not allowed here; use true or false" },
    below_range = { set("site", "weight", Value::Number(0)), "edits[0]: 0 is not allowed here; use 1 to 1000" },
    unknown_word = { set("site", "on-out", Value::Word("stay".into())), "edits[0]: stay is not allowed here; use finish or move" },
    unknown_org = { set("org=o9", "weight", Value::Number(1)), "edits[0]: there is no organisation o9" },
    org_exists = { add_org("o1"), "edits[0]: organisation o1 exists" },
    org_missing = { Edit::RemoveOrg { org: "o9".parse().unwrap() }, "edits[0]: there is no organisation o9" },
    no_copies = { add_shape(0, shape(1, 1)), "edits[0][0]: count 0 is out of range" },
    no_tasks = { add_shape(1, shape(0, 1)), "edits[0][0]: tasks 0 is out of range" },
    no_accels = { add_shape(1, shape(1, 0)), "edits[0][0]: accels 0 is out of range" },
    too_many_tasks = { add_shape(1, shape(9999, 1)), "edits[0][0]: tasks 9999 is out of range" },
    shape_not_held = { remove_shape(1, shape(1, 1)), "edits[0]: no such shape is held" },
)]
fn an_invalid_edit_is_a_finding_and_nothing_is_applied(edit: Edit, want: &str) {
    let tree = tree(vec![set("site", "weight", Value::Number(5))]);
    let got = problems(&tree, vec![edit, set("site", "weight", Value::Number(6))]);
    assert!(got.iter().any(|p| p.starts_with(want)), "{got:#?}");
    assert_eq!(tree.resolve(Key::Weight, &Place::site()), Value::Number(5));
}

#[test]
fn findings_of_all_edits_are_reported_together() {
    let edits = vec![
        set("site", "a", Value::Flag(true)),
        set("site", "b", Value::Flag(true)),
    ];
    assert_eq!(problems(&Tree::new(), edits).len(), 2);
    let many = vec![set("site", "weight", Value::Number(5)); MAX_EDITS + 1];
    assert_eq!(problems(&Tree::new(), many).len(), 1);
    assert_eq!(problems(&Tree::new(), Vec::new()).len(), 1);
}

#[test]
fn old_operation_ids_are_removed() {
    let mut tree = Tree::new();
    for i in 0..MAX_OPS + 10 {
        let edit = set("domain=d", "out", Value::Flag(true));
        tree = tree.apply(&change(&format!("op{i}"), vec![edit])).unwrap();
    }
    assert_eq!(tree.revision_of(&"op9".parse().unwrap()), None);
    assert_eq!(
        tree.revision_of(&"op10".parse().unwrap()),
        Some(Revision(11))
    );
    assert_eq!(tree.changes_after(Revision(tree.revision().0 - 2)).len(), 2);
}

#[test]
fn old_history_records_are_removed() {
    let mut tree = Tree::new();
    let edit = |i: usize| set(&format!("domain=d{i}"), "out", Value::Flag(true));
    let edits: Vec<Edit> = (0..MAX_EDITS).map(edit).collect();
    for i in 0..20 {
        tree = tree
            .apply(&change(&format!("op{i}"), edits.clone()))
            .unwrap();
    }
    let history: Vec<_> = tree.history().cloned().collect();
    assert!(history.len() < 20);
    assert!(serde_json::to_vec(&history).unwrap().len() <= MAX_HISTORY_BYTES + history.len() + 1);
    assert_eq!(history[0].revision, tree.revision());
}

#[test]
fn a_document_that_would_be_too_large_is_refused() {
    let mut tree = Tree::new();
    let mut refused = None;
    for i in 0..100 {
        let org = format!("{i:0>120}");
        let mut edits = vec![add_org(&org)];
        let at = |j: u32| format!("org={org},kind={j:0>120}");
        edits.extend((0..250).map(|j| set(&at(j), "on-out", Value::Word("move".into()))));
        match tree.apply(&change(&format!("op{i}"), edits)) {
            Ok(next) => tree = next,
            Err(found) => {
                refused = Some(found.to_string());
                break;
            }
        }
    }
    assert!(refused.unwrap().contains("keep them under"));
    assert!(Tree::decode(tree.encode().as_bytes()).is_ok());
}

#[test]
fn settings_of_a_later_version_are_preserved() {
    let tree = tree(vec![set("site", "weight", Value::Number(5))]);
    let text = tree.encode();
    let text = text.replace(
        "\"values\":{\"site\":{",
        "\"values\":{\"rack=r\":{\"x\":[1]},\"site\":{\"new-key\":{\"a\":1},",
    );
    let later = Tree::decode(text.as_bytes()).unwrap();
    let next = later
        .apply(&change("n", vec![set("site", "weight", Value::Number(6))]))
        .unwrap();
    let text = next.encode();
    assert!(text.contains("\"rack=r\":{\"x\":[1]}") && text.contains("\"new-key\":{\"a\":1}"));
    assert_eq!(next.resolve(Key::Weight, &Place::site()), Value::Number(6));
}

#[parameterized(
    not_json = { "x", "settings document: " },
    format = { "{\"format\":2,\"revision\":0,\"version\":0,\"orgs\":[],\"values\":{},\"history\":[],\"ops\":[]}", "format: format 2 is not known" },
    value = { "{\"format\":1,\"revision\":0,\"version\":0,\"orgs\":[],\"values\":{\"site\":{\"weight\":0}},\"history\":[],\"ops\":[]}", "site weight: 0 is not allowed" },
    revision = { "{\"format\":1,\"revision\":4,\"version\":0,\"orgs\":[],\"values\":{},\"history\":[],\"ops\":[]}", "ops: the last operation" },
)]
fn an_invalid_document_is_refused(text: &str, want: &str) {
    let got = Tree::decode(text.as_bytes()).unwrap_err().to_string();
    assert!(got.starts_with(want), "{got}");
}

#[parameterized(
    site = { "site", true }, kind = { "org=o,kind=k", true }, any_order = { "domain=d,org=o", true },
    empty = { "", false }, no_org = { "kind=k", false }, twice = { "org=a,org=b", false },
    unknown = { "rack=r", false }, bad_id = { "org=a b", false },
)]
fn places_are_parsed_and_formatted(text: &str, ok: bool) {
    let got = text.parse::<Place>();
    assert_eq!(got.is_ok(), ok);
    if let Ok(place) = got {
        assert_eq!(place.to_string().parse::<Place>().unwrap(), place);
    }
}

fn any_edit() -> impl Strategy<Value = Edit> {
    let at = prop::sample::select(vec![
        "site",
        "domain=d1",
        "org=o1",
        "org=o1,domain=d1",
        "org=o1,kind=k",
        "org=o2",
    ]);
    let key = prop::sample::select(Key::ALL.iter().map(|k| k.name()).collect::<Vec<_>>());
    let number = (0u64..300).prop_map(Value::Number);
    let value = prop_oneof![
        any::<bool>().prop_map(Value::Flag),
        number,
        Just(Value::Word("move".into()))
    ];
    prop_oneof![
        4 => (at.clone(), key.clone(), value).prop_map(|(a, k, v)| set(a, k, v)),
        1 => (at, key).prop_map(|(a, k)| unset(a, k)),
        1 => (0u32..3, 1u32..3).prop_map(|(c, t)| add_shape(c, shape(t, 1))),
        1 => Just(add_org("o2")),
        1 => Just(Edit::RemoveOrg { org: "o2".parse().unwrap() }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn random_edits_keep_the_tree_consistent(lists in prop::collection::vec(prop::collection::vec(any_edit(), 1..4), 1..12)) {
        let mut tree = tree(vec![set("site", "weight", Value::Number(5))]);
        for (i, edits) in lists.into_iter().enumerate() {
            let change = change(&format!("op{i}"), edits);
            if let Ok(next) = tree.apply(&change) {
                prop_assert_eq!(next.revision(), tree.revision().next());
                prop_assert_eq!(next.revision_of(&change.op), Some(next.revision()));
                tree = next;
            }
            prop_assert_eq!(&Tree::decode(tree.encode().as_bytes()).unwrap(), &tree);
            let at: Place = "org=o1,domain=d1,kind=k".parse().unwrap();
            for key in Key::ALL {
                let shown = tree.explain(*key, &at);
                let used: Vec<_> = shown.chain.iter().filter(|l| l.used).collect();
                prop_assert_eq!(used.len(), 1);
                prop_assert_eq!(used[0].value.clone().unwrap(), tree.resolve(*key, &at));
            }
        }
    }
}
