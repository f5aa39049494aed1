//! Options common to all commands, and the session that they configure.

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
use crate::failure::Failure;
use crate::output;
use crate::render;

/// Daemon that is called without `--at`.
const DEFAULT_DAEMON: &str = "127.0.0.1:7002";
/// Default of `--timeout`.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(10);
/// Operator recorded when `USER` is unset or is not a valid operator name.
const DEFAULT_OPERATOR: &str = "operator";

/// Connection settings and output format of one command.
pub struct Session {
    /// Client for the daemons given with `--at`.
    pub client: Client,
    /// Operator recorded with changes.
    pub who: Operator,
    json: bool,
}

impl Session {
    /// A session from the options of a command, with defaults for those not given.
    pub fn new(
        at: Vec<SocketAddr>,
        json: bool,
        timeout: Option<Millis>,
        who: Option<Operator>,
    ) -> Result<Session, Failure> {
        let default = DEFAULT_DAEMON.parse().ok();
        let at = if at.is_empty() {
            default.into_iter().collect()
        } else {
            at
        };
        Ok(Session {
            client: Client::new(at, timeout.unwrap_or(DEFAULT_TIMEOUT)),
            who: who.map_or_else(current_user, Ok)?,
            json,
        })
    }

    /// Sends a change that carries the operation id `op`. If its outcome is unknown, prints the
    /// `--op` with which to repeat it.
    pub fn send_change<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        op: &OpId,
    ) -> Result<R, Failure> {
        let result = self.client.post(path, body);
        if result.as_ref().is_err_and(Failure::is_unknown) {
            output::print_error(&format!("repeat with --op {op}"));
        }
        result
    }

    /// Sends edits of the settings as one change and prints the reply. With `expect`, the daemon
    /// refuses them if a later revision is in force.
    pub fn send_edits(
        &self,
        op: Option<OpId>,
        expect: Option<Revision>,
        edits: Vec<Edit>,
    ) -> Result<(), Failure> {
        let request = SettingsRequest {
            op: operation_id(op)?,
            who: self.who.clone(),
            expect,
            edits,
        };
        let reply: ChangeReply = self.send_change("/v1/settings", &request, &request.op)?;
        self.print(&reply, render::change)?;
        Ok(())
    }

    /// Prints a reply as JSON if asked for with `--json`, otherwise as `text` renders it.
    pub fn print<T: Serialize>(
        &self,
        reply: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<(), Failure> {
        if self.json {
            let json = serde_json::to_string(reply).unwrap_or_default();
            return output::print(&format!("{json}\n"));
        }
        output::print(&text(reply))
    }
}

/// The operation id given with `--op`, or a new UUIDv7.
pub fn operation_id(given: Option<OpId>) -> Result<OpId, Failure> {
    match given {
        Some(op) => Ok(op),
        None => parse(&Uuid::now_v7().to_string()),
    }
}

/// Parses the value of `--spread`. The default is anywhere in the failure domain.
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

fn current_user() -> Result<Operator, Failure> {
    let name = env::var("USER").ok().and_then(|u| u.parse().ok());
    name.map_or_else(|| parse(DEFAULT_OPERATOR), Ok)
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, Failure>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|e: T::Err| Failure::Usage(e.to_string()))
}

/// Parses the arguments of a command. Errors include the command's `USAGE`, which the messages of
/// xflags leave out.
#[macro_export]
macro_rules! parse_args {
    ($flags:ty, $args:expr) => {
        <$flags>::from_vec($args).map_err(|e| {
            let text = format!("{e}\n\n{USAGE}");
            $crate::failure::Failure::Usage(text)
        })
    };
}
