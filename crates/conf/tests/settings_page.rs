//! `docs/SETTINGS.md` lists exactly the settings of the table in the code.

use conf::tree::Key;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

fn row(key: Key) -> String {
    let levels: Vec<String> = key.levels().iter().map(|l| l.to_string()).collect();
    let levels = levels.join(", ");
    let default = key.default_value();
    format!(
        "| `{key}` | {levels} | {} | `{default}` | {} |",
        key.kind(),
        key.doc()
    )
}

#[test]
fn the_settings_page_matches_the_table() {
    let start = PAGE.find("<!-- settings table -->").unwrap();
    let end = PAGE.find("<!-- end of settings table -->").unwrap();
    let listed: Vec<&str> = PAGE[start..end]
        .lines()
        .filter(|l| l.starts_with("| `"))
        .collect();
    let want: Vec<String> = Key::ALL.iter().map(|k| row(*k)).collect();
    assert_eq!(
        listed,
        want,
        "the table in docs/SETTINGS.md must be:\n{}",
        want.join("\n")
    );
}
