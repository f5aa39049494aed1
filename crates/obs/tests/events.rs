//! The catalogue of events and its page for operators agree.

use obs::Event;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Number, level and message of each row of the page.
fn rows() -> Vec<(u16, String, String)> {
    PAGE.lines().filter_map(row).collect()
}

fn row(line: &str) -> Option<(u16, String, String)> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let [_, code, level, text, meaning, remedy, _] = cells[..] else {
        return None;
    };
    let code = code.parse().ok()?;
    assert!(!meaning.is_empty() && !remedy.is_empty(), "{line}");
    Some((code, level.to_string(), text.to_string()))
}

#[test]
fn the_page_lists_the_catalogue() {
    let of = |e: &Event| (e.code(), format!("{:?}", e.level()), e.text().to_string());
    let catalogue: Vec<_> = Event::ALL.iter().map(of).collect();
    assert_eq!(rows(), catalogue);
}

#[test]
fn numbers_ascend_and_are_unique() {
    let codes: Vec<u16> = Event::ALL.iter().map(|e| e.code()).collect();
    assert!(codes.windows(2).all(|pair| pair[0] < pair[1]), "{codes:?}");
}
