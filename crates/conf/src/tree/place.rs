//! Places in the settings tree, and the places from which each inherits.

use std::fmt;
use std::str::FromStr;

use base::DomainId;
use base::JobKind;
use base::OrgId;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// Error of parsing a [`Place`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PlaceError {
        /// The invalid text and the problem.
        Malformed(text: String, problem: String) {
            display("{text:?} is not a place: {problem}")
        }
    }
}

/// Level of the settings tree, ordered from the most general to the most specific.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// The whole site.
    Site,
    /// One failure domain.
    Domain,
    /// One organisation, in every failure domain.
    Org,
    /// One organisation in one failure domain.
    OrgDomain,
    /// One kind of job of one organisation, in every failure domain.
    Kind,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Level::Site => "site",
            Level::Domain => "domain",
            Level::Org => "org",
            Level::OrgDomain => "org in domain",
            Level::Kind => "kind",
        })
    }
}

/// A place in the tree, written `site`, `domain=D`, `org=O`, `org=O,domain=D`,
/// `org=O,kind=K` or, for lookups only, `org=O,domain=D,kind=K`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Place {
    org: Option<OrgId>,
    domain: Option<DomainId>,
    kind: Option<JobKind>,
}

impl Place {
    /// The whole site.
    pub fn site() -> Place {
        Place::default()
    }

    /// A failure domain.
    pub fn domain(domain: &DomainId) -> Place {
        Place {
            domain: Some(domain.clone()),
            ..Place::default()
        }
    }

    /// An organisation.
    pub fn org(org: &OrgId) -> Place {
        Place {
            org: Some(org.clone()),
            ..Place::default()
        }
    }

    /// An organisation in a failure domain.
    pub fn org_domain(org: &OrgId, domain: &DomainId) -> Place {
        Place {
            org: Some(org.clone()),
            domain: Some(domain.clone()),
            kind: None,
        }
    }

    /// A job kind of an organisation.
    pub fn kind(org: &OrgId, kind: &JobKind) -> Place {
        Place {
            org: Some(org.clone()),
            domain: None,
            kind: Some(kind.clone()),
        }
    }

    /// Place at which the settings of a job in a failure domain are looked up. No value can be
    /// set there.
    pub fn job(org: &OrgId, domain: &DomainId, kind: &JobKind) -> Place {
        Place {
            org: Some(org.clone()),
            domain: Some(domain.clone()),
            kind: Some(kind.clone()),
        }
    }

    /// Organisation of the place, if any.
    pub fn org_id(&self) -> Option<&OrgId> {
        self.org.as_ref()
    }

    /// Failure domain of the place, if any.
    pub fn domain_id(&self) -> Option<&DomainId> {
        self.domain.as_ref()
    }

    /// Level of the place; `None` if it is for lookups only, so that no value can be set there.
    pub fn level(&self) -> Option<Level> {
        match (&self.org, &self.domain, &self.kind) {
            (None, None, _) => Some(Level::Site),
            (None, Some(_), _) => Some(Level::Domain),
            (Some(_), None, None) => Some(Level::Org),
            (Some(_), Some(_), None) => Some(Level::OrgDomain),
            (Some(_), None, Some(_)) => Some(Level::Kind),
            (Some(_), Some(_), Some(_)) => None,
        }
    }

    /// Places that values are looked up at, the most specific first, the site last.
    pub fn chain(&self) -> Vec<Place> {
        let mut chain = Vec::new();
        if let Some(org) = &self.org {
            let kind = self.kind.as_ref();
            chain.extend(kind.map(|k| Place::kind(org, k)));
            let domain = self.domain.as_ref();
            chain.extend(domain.map(|d| Place::org_domain(org, d)));
            chain.push(Place::org(org));
        }
        chain.extend(self.domain.as_ref().map(Place::domain));
        chain.push(Place::site());
        chain
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        parts.extend(self.org.as_ref().map(|o| format!("org={o}")));
        parts.extend(self.domain.as_ref().map(|d| format!("domain={d}")));
        parts.extend(self.kind.as_ref().map(|k| format!("kind={k}")));
        if parts.is_empty() {
            return f.write_str("site");
        }
        f.write_str(&parts.join(","))
    }
}

impl FromStr for Place {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Place, PlaceError> {
        let malformed = |problem: String| PlaceError::Malformed(text.to_string(), problem);
        let mut place = Place::default();
        if text == "site" {
            return Ok(place);
        }
        for part in text.split(',') {
            let Some((name, id)) = part.split_once('=') else {
                return Err(malformed(
                    "write site or name=id parts with commas".to_string(),
                ));
            };
            let result = match name {
                "org" => set_once(&mut place.org, id),
                "domain" => set_once(&mut place.domain, id),
                "kind" => set_once(&mut place.kind, id),
                _ => Err(format!("unknown part {name:?}; use org, domain or kind")),
            };
            result.map_err(malformed)?;
        }
        if place.kind.is_some() && place.org.is_none() {
            return Err(malformed("a kind needs its org".to_string()));
        }
        Ok(place)
    }
}

fn set_once<T>(slot: &mut Option<T>, id: &str) -> Result<(), String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    if slot.is_some() {
        return Err("a part is given twice".to_string());
    }
    *slot = Some(id.parse().map_err(|e: T::Err| e.to_string())?);
    Ok(())
}

impl TryFrom<String> for Place {
    type Error = PlaceError;

    fn try_from(text: String) -> Result<Place, PlaceError> {
        text.parse()
    }
}

impl From<Place> for String {
    fn from(place: Place) -> String {
        place.to_string()
    }
}
