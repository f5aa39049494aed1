//! What a caller's headers say about a request.

use std::fmt::Display;
use std::str::FromStr;

use actix_web::http::header::HeaderMap;
use base::Findings;
use base::Millis;
use base::OrgId;
use base::RequestId;
use base::ServiceId;
use obs::TraceParent;
use work::request;

/// Deadline of a request that names none.
const DEADLINE_DEFAULT: Millis = Millis(10_000);

/// Longest deadline that a request may name.
const DEADLINE_MAX: Millis = Millis(300_000);

/// What a caller says about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The caller's id.
    pub id: RequestId,
    /// The organisation it is for.
    pub org: OrgId,
    /// The service it wants.
    pub service: ServiceId,
    /// Time left for the whole answer.
    pub left: Millis,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's number of this send of the id, from 1; 0 if not stated.
    pub attempt: u32,
    /// The caller's position in a trace.
    pub trace: Option<TraceParent>,
}

impl Head {
    /// Reads the headers; every problem is reported.
    pub fn read(service: &str, headers: &HeaderMap) -> Result<Head, Findings> {
        let mut reader = Reader {
            headers,
            findings: Findings::new(),
        };
        let id = reader.required(request::ID, "name the request");
        let org = reader.required(request::ORG, "name the organisation");
        let left = reader.optional(request::DEADLINE, "give milliseconds");
        let idempotent = reader.optional(request::IDEMPOTENT, "give true or false");
        let attempt = reader.optional::<u32>(request::ATTEMPT, "give the number of the send");
        let trace = reader.optional(request::TRACE, "follow W3C Trace Context");
        let service = reader.service(service);
        let left = left.unwrap_or(DEADLINE_DEFAULT);
        if left > DEADLINE_MAX {
            let remedy = format!("give at most {DEADLINE_MAX}");
            reader
                .findings
                .add(request::DEADLINE, "is too long", remedy);
        }
        let (Some(id), Some(org), Some(service)) = (id, org, service) else {
            return Err(reader.findings);
        };
        reader.findings.into_result(Head {
            id,
            org,
            service,
            left,
            idempotent: idempotent.unwrap_or(false),
            attempt: attempt.unwrap_or(0),
            trace,
        })
    }
}

struct Reader<'a> {
    headers: &'a HeaderMap,
    findings: Findings,
}

impl Reader<'_> {
    fn required<T: FromStr>(&mut self, name: &str, remedy: &str) -> Option<T>
    where
        T::Err: Display,
    {
        if !self.headers.contains_key(name) {
            self.findings.add(name, "is missing", remedy);
            return None;
        }
        self.optional(name, remedy)
    }

    fn optional<T: FromStr>(&mut self, name: &str, remedy: &str) -> Option<T>
    where
        T::Err: Display,
    {
        let value = self.headers.get(name)?;
        let text = value.to_str().unwrap_or("\u{fffd}");
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.findings.add(name, format!("{error}"), remedy);
                None
            }
        }
    }

    fn service(&mut self, text: &str) -> Option<ServiceId> {
        match text.parse() {
            Ok(service) => Some(service),
            Err(error) => {
                self.findings
                    .add("path", format!("{error}"), "name the service");
                None
            }
        }
    }
}
