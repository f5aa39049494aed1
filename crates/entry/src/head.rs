//! Path and headers of a caller's request.

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

/// Deadline of a request without a deadline header.
const DEADLINE_DEFAULT: Millis = Millis(10_000);

/// Longest deadline that a request may ask for.
const DEADLINE_MAX: Millis = Millis(300_000);

/// Parsed path and headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Request id, assigned by the caller.
    pub id: RequestId,
    /// Organisation on whose behalf the request is made.
    pub org: OrgId,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Time until the deadline, by which the complete answer must arrive.
    pub time_left: Millis,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of this send of the id, counted by the caller from 1; 0 if not given.
    pub attempt: u32,
    /// Trace context of the caller.
    pub trace: Option<TraceParent>,
}

impl RequestHead {
    /// Parses the service from the path and the rest from the headers. All problems are reported,
    /// not only the first one.
    pub fn from_headers(service: &str, headers: &HeaderMap) -> Result<RequestHead, Findings> {
        let mut reader = Reader {
            headers,
            findings: Findings::new(),
        };
        let id = reader.required(request::ID, "name the request");
        let org = reader.required(request::ORG, "name the organisation");
        let time_left = reader.optional(request::DEADLINE, "give milliseconds");
        let idempotent = reader.optional(request::IDEMPOTENT, "give true or false");
        let attempt = reader.optional::<u32>(request::ATTEMPT, "give the number of the send");
        let trace = reader.optional(request::TRACE, "follow W3C Trace Context");
        let service = reader.service(service);
        let time_left = time_left.unwrap_or(DEADLINE_DEFAULT);
        if time_left > DEADLINE_MAX {
            let remedy = format!("give at most {DEADLINE_MAX}");
            reader
                .findings
                .add(request::DEADLINE, "is too long", remedy);
        }
        let (Some(id), Some(org), Some(service)) = (id, org, service) else {
            return Err(reader.findings);
        };
        reader.findings.into_result(RequestHead {
            id,
            org,
            service,
            time_left,
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
