//! `tackctl check`.

use std::fs;
use std::path::PathBuf;

use crate::common::tackctl;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn findings_have_line_and_column_and_exit_code_3() {
    let path = write_file("bad.jsonc", "{ \"domain\": 1 }");
    let run = tackctl(&["check", path.to_str().unwrap()]);
    assert_eq!(run.code, 3);
    assert!(
        run.err
            .contains("bad.jsonc:1:13: \"domain\" has the wrong type"),
        "{}",
        run.err
    );
    let run = tackctl(&["check", path.to_str().unwrap(), "--json"]);
    assert!(run.json()["findings"].as_array().unwrap().len() > 1);
}

#[test]
fn a_valid_file_has_no_findings() {
    let path = write_file(
        "good.jsonc",
        r#"{ "domain": "d", // a comment
            "addresses": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
            "platform": { "store": ["http://127.0.0.1:4"], "vms": "http://127.0.0.1:5" } }"#,
    );
    let run = tackctl(&["check", path.to_str().unwrap()]);
    assert_eq!(
        (run.code, run.out.contains("no findings")),
        (0, true),
        "{}",
        run.err
    );
}

#[test]
fn a_missing_file_exits_with_code_1() {
    assert_eq!(tackctl(&["check", "no-such-file"]).code, 1);
}
