//! Home failure domain and creation time of a request id.

use base::rank;
use base::DomainId;
use base::Millis;
use base::RequestId;

/// Separates the name of a failure domain from the rest of a request id.
const DOMAIN_SEPARATOR: char = '~';

/// Number of hex digits of a UUID.
const UUID_HEX_DIGITS: usize = 32;

/// Length of a UUID in text form with hyphens.
const UUID_TEXT_LEN: usize = 36;

/// Byte offsets of the hyphens in the text form of a UUID.
const UUID_HYPHEN_POSITIONS: [usize; 4] = [8, 13, 18, 23];

/// The failure domain that keeps the claims of `id`: the one named before `~` if it is configured,
/// otherwise the one with the highest rendezvous weight.
///
/// `domains` lists all configured domains, whether or not they are up, so that every daemon
/// computes the same home for a resend. `None` if the list is empty.
pub fn home_domain<'a>(id: &RequestId, domains: &'a [DomainId]) -> Option<&'a DomainId> {
    let named = id
        .as_str()
        .split_once(DOMAIN_SEPARATOR)
        .map(|(name, _)| name);
    let found = domains.iter().find(|d| Some(d.as_str()) == named);
    found.or_else(|| {
        domains
            .iter()
            .max_by_key(|d| (rank(id.as_str(), d.as_str()), d.as_str()))
    })
}

/// The creation time of an id that is a version 7 UUID, with or without a `domain~` prefix.
pub fn creation_time(id: &RequestId) -> Option<Millis> {
    let text = id.as_str();
    let text = text
        .split_once(DOMAIN_SEPARATOR)
        .map_or(text, |(_, rest)| rest);
    if text.len() != UUID_TEXT_LEN
        || UUID_HYPHEN_POSITIONS
            .iter()
            .any(|&i| text.as_bytes()[i] != b'-')
    {
        return None;
    }
    let digits: String = text.chars().filter(|&c| c != '-').collect();
    if digits.len() != UUID_HEX_DIGITS || digits.as_bytes()[12] != b'7' {
        return None;
    }
    let bits = u128::from_str_radix(&digits, 16).ok()?;
    Some(Millis((bits >> 80) as u64))
}
