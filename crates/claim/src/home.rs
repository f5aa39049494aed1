//! The home failure domain of a request id, and the creation time that an id may carry.

use base::rank;
use base::DomainId;
use base::Millis;
use base::RequestId;

/// Separates the failure domain from the rest of an id.
const DOMAIN_MARK: char = '~';

/// Hex digits of a UUID without its hyphens.
const UUID_DIGITS: usize = 32;

/// Text length of a UUID with hyphens.
const UUID_TEXT: usize = 36;

/// Places of the hyphens in the text of a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// The failure domain that keeps the claims of `id`: the one named before `~` if it is
/// configured, else the one with the highest rendezvous weight.
///
/// `domains` are the configured domains, live or not, so that each daemon finds the same
/// home for a resend. `None` without any domain.
pub fn home<'a>(id: &RequestId, domains: &'a [DomainId]) -> Option<&'a DomainId> {
    let named = id.as_str().split_once(DOMAIN_MARK).map(|(name, _)| name);
    let found = domains.iter().find(|d| Some(d.as_str()) == named);
    found.or_else(|| {
        domains
            .iter()
            .max_by_key(|d| (rank(id.as_str(), d.as_str()), d.as_str()))
    })
}

/// The creation time of an id that is a UUID of version 7, with or without `domain~`.
pub fn created(id: &RequestId) -> Option<Millis> {
    let text = id.as_str();
    let text = text.split_once(DOMAIN_MARK).map_or(text, |(_, rest)| rest);
    if text.len() != UUID_TEXT || UUID_HYPHENS.iter().any(|&i| text.as_bytes()[i] != b'-') {
        return None;
    }
    let digits: String = text.chars().filter(|&c| c != '-').collect();
    if digits.len() != UUID_DIGITS || digits.as_bytes()[12] != b'7' {
        return None;
    }
    let bits = u128::from_str_radix(&digits, 16).ok()?;
    Some(Millis((bits >> 80) as u64))
}
