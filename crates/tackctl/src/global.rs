//! Options that every command shares, and the session made from them.

use std::env;
use std::net::SocketAddr;

use base::Millis;
use base::Revision;
use base::Spread;
use conf::api::ChangeReply;
use conf::api::SettingsRequest;
use conf::tree::Edit;
use conf::tree::OpId;
use conf::tree::Operator;
use serde::de::DeserializeOwned;
use serde::Serialize;
use uuid::Uuid;

use crate::client::Client;
use crate::exit::Failure;
use crate::show;

/// Port of a daemon on this machine.
const LOCAL: &str = "127.0.0.1:7002";
/// Default of `--timeout`.
const TIMEOUT: Millis = Millis::from_secs(10);
/// Name of an operator whose name cannot be told.
const NOBODY: &str = "operator";

/// How a command talks to daemons and to its reader.
pub struct Session {
    /// The daemons.
    pub client: Client,
    /// Who asks.
    pub who: Operator,
    json: bool,
}

impl Session {
    /// A session from the options of a command.
    pub fn new(
        at: Vec<SocketAddr>,
        json: bool,
        timeout: Option<Millis>,
        who: Option<Operator>,
    ) -> Result<Session, Failure> {
        let local = LOCAL.parse().ok();
        let at = if at.is_empty() {
            local.into_iter().collect()
        } else {
            at
        };
        Ok(Session {
            client: Client::new(at, timeout.unwrap_or(TIMEOUT)),
            who: who.map_or_else(user, Ok)?,
            json,
        })
    }

    /// Sends a change under its operation id. When its fate is not known, the id to repeat
    /// it with is shown.
    pub fn change<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        op: &OpId,
    ) -> Result<R, Failure> {
        let result = self.client.post(path, body);
        if result.as_ref().is_err_and(Failure::is_unknown) {
            eprintln!("repeat with --op {op}");
        }
        result
    }

    /// Sends edits of the settings and prints the reply.
    pub fn edit(
        &self,
        op: Option<OpId>,
        expect: Option<Revision>,
        edits: Vec<Edit>,
    ) -> Result<(), Failure> {
        let call = SettingsRequest {
            op: operation(op)?,
            who: self.who.clone(),
            expect,
            edits,
        };
        let reply: ChangeReply = self.change("/v1/settings", &call, &call.op)?;
        self.print(&reply, show::change);
        Ok(())
    }

    /// Prints a reply, as JSON or as text.
    pub fn print<T: Serialize>(&self, reply: &T, text: impl Fn(&T) -> String) {
        if self.json {
            println!("{}", serde_json::to_string(reply).unwrap_or_default());
        } else {
            print!("{}", text(reply));
        }
    }
}

/// The operation id given, or a new one.
pub fn operation(given: Option<OpId>) -> Result<OpId, Failure> {
    match given {
        Some(op) => Ok(op),
        None => parse(&Uuid::now_v7().to_string()),
    }
}

/// How far apart tasks may be; anywhere in a failure domain when absent.
pub fn parse_spread(word: Option<&str>) -> Result<Spread, Failure> {
    match word {
        None | Some("domain") => Ok(Spread::Domain),
        Some("rack") => Ok(Spread::Rack),
        Some("worker") => Ok(Spread::Worker),
        Some(word) => {
            let text = format!("--spread {word}: use domain, rack or worker");
            Err(Failure::Usage(text))
        }
    }
}

fn user() -> Result<Operator, Failure> {
    let name = env::var("USER").ok().and_then(|u| u.parse().ok());
    name.map_or_else(|| parse(NOBODY), Ok)
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, Failure>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|e: T::Err| Failure::Usage(e.to_string()))
}

/// Parses the arguments of a command; xflags prints no usage of its own.
#[macro_export]
macro_rules! parse_args {
    ($flags:ty, $args:expr) => {
        <$flags>::from_vec($args).map_err(|e| {
            let text = format!("{e}\n\n{USAGE}");
            $crate::exit::Failure::Usage(text)
        })
    };
}
