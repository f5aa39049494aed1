//! Parsing and formatting of identifiers, outcomes, rates and times.

use base::Millis;
use base::Outcome;
use base::Rate;
use base::RequestId;
use yare::parameterized;

#[parameterized(
    plain = { "1500", 1500 },
    millis = { "1500ms", 1500 },
    seconds = { "3s", 3000 },
)]
fn parses_times(text: &str, millis: u64) {
    assert_eq!(text.parse(), Ok(Millis(millis)));
}

#[parameterized(empty = { "" }, sign = { "-1" }, unit = { "3h" })]
fn rejects_invalid_times(text: &str) {
    assert!(text.parse::<Millis>().is_err());
}

#[parameterized(empty = { "" }, space = { "a b" }, control = { "a\n" }, umlaut = { "ä" })]
fn rejects_invalid_ids(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

#[test]
fn accepts_ids_of_up_to_128_bytes() {
    assert!("x".repeat(128).parse::<RequestId>().is_ok());
    assert!("x".repeat(129).parse::<RequestId>().is_err());
}

#[parameterized(not_run = { Outcome::NotRun }, ran = { Outcome::Ran }, unknown = { Outcome::Unknown })]
fn outcomes_round_trip_through_text(outcome: Outcome) {
    assert_eq!(outcome.to_string().parse(), Ok(outcome));
}

#[parameterized(nan = { "NaN" }, negative = { "-1" }, infinite = { "inf" })]
fn rejects_invalid_rates(text: &str) {
    assert!(text.parse::<Rate>().is_err());
}
