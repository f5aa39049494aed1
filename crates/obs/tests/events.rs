//! The catalogue of events and its documentation for operators agree.

use obs::Event;

const DOCUMENT: &str = include_str!("../../../docs/EVENTS.md");

/// Number, level and message of each row of the table in `docs/EVENTS.md`.
fn documented_events() -> Vec<(u16, String, String)> {
    DOCUMENT.lines().filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<(u16, String, String)> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let [_, code, level, text, meaning, remedy, _] = cells[..] else {
        return None;
    };
    let code = code.parse().ok()?;
    assert!(
        !meaning.is_empty() && !remedy.is_empty(),
        "row without a meaning or a remedy: {line}"
    );
    Some((code, level.to_string(), text.to_string()))
}

#[test]
fn documentation_lists_the_catalogue() {
    let entry = |e: &Event| (e.code(), format!("{:?}", e.level()), e.text().to_string());
    let catalogue: Vec<_> = Event::ALL.iter().map(entry).collect();
    assert_eq!(documented_events(), catalogue);
}

#[test]
fn numbers_are_unique_and_ascending() {
    let codes: Vec<u16> = Event::ALL.iter().map(|e| e.code()).collect();
    assert!(
        codes.windows(2).all(|pair| pair[0] < pair[1]),
        "numbers are not in ascending order: {codes:?}"
    );
}
