//! `tackctl settings`: reads and changes the operators' settings.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::Millis;
use base::Revision;
use conf::api::ExplainReply;
use conf::api::HistoryQuery;
use conf::api::HistoryReply;
use conf::api::SettingsQuery;
use conf::api::SettingsReply;
use conf::tree::Edit;
use conf::tree::Key;
use conf::tree::OpId;
use conf::tree::Operator;
use conf::tree::Place;
use conf::tree::Value;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::Session;

pub const USAGE: &str = "\
Reads and changes the operators' settings. docs/SETTINGS.md lists them.

Usage: tackctl settings get [KEY] [--place PLACE]
       tackctl settings set KEY VALUE [--place PLACE] [--expect REVISION] [--op ID]
       tackctl settings unset KEY [--place PLACE] [--expect REVISION] [--op ID]
       tackctl settings explain KEY [--place PLACE]
       tackctl settings history [KEY] [--place PLACE] [--limit N]

    --place PLACE       site, domain=D, org=O, org=O,domain=D or org=O,kind=K; for get and
                        explain also org=O,domain=D,kind=K. Default: site
    --expect REVISION   Refuses the change if a later revision is in force
    --op ID             Repeats the operation with this id; it is applied only once

Example:
    tackctl settings set on-out finish --place org=ledger,domain=north-1";

xflags::xflags! {
    cmd args {
        /// Operators' port of a daemon; repeat it to name fallbacks.
        repeated --at at: SocketAddr
        /// Prints JSON.
        optional --json
        /// Timeout of the call to each daemon.
        optional --timeout timeout: Millis
        /// Operator recorded with a change.
        optional --who who: Operator
        /// Place to which the setting applies.
        optional --place place: Place
        /// Revision that the change is based on.
        optional --expect expect: Revision
        /// Operation id of an earlier attempt, to repeat it.
        optional --op op: OpId
        /// Shows the settings in force.
        cmd get {
            optional key: Key
        }
        /// Sets a value.
        cmd set {
            required key: String
            required value: String
        }
        /// Removes a value.
        cmd unset {
            required key: String
        }
        /// Shows which place a value comes from.
        cmd explain {
            required key: Key
        }
        /// Shows the latest changes.
        cmd history {
            optional --limit limit: usize
            optional key: Key
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    let place = args.place;
    let at = place.clone().unwrap_or_default();
    match args.subcommand {
        ArgsCmd::Get(get) => show_settings(&session, place, get.key),
        ArgsCmd::Set(set) => {
            let value = parse_value(&set.value);
            let key = set.key;
            session.send_edits(args.op, args.expect, vec![Edit::Set { at, key, value }])
        }
        ArgsCmd::Unset(unset) => {
            let key = unset.key;
            session.send_edits(args.op, args.expect, vec![Edit::Unset { at, key }])
        }
        ArgsCmd::Explain(explain) => show_explain(&session, place, explain.key),
        ArgsCmd::History(history) => show_history(&session, place, history),
    }
}

/// Parses a value as JSON; text that is not valid JSON is taken as a word.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::Word(text.to_string()))
}

fn show_settings(session: &Session, at: Option<Place>, key: Option<Key>) -> Result<(), Failure> {
    let query = SettingsQuery { at, key };
    let reply: SettingsReply = session.client.get("/v1/settings", &query)?;
    session.print(&reply, |reply| {
        let rows = reply.settings.iter().map(|s| {
            let from = s
                .from
                .as_ref()
                .map_or("default".to_string(), Place::to_string);
            vec![s.key.to_string(), s.value.to_string(), from]
        });
        render::table(&["SETTING", "VALUE", "FROM"], &rows.collect::<Vec<_>>())
    })?;
    Ok(())
}

fn show_explain(session: &Session, at: Option<Place>, key: Key) -> Result<(), Failure> {
    let query = SettingsQuery { at, key: Some(key) };
    let reply: ExplainReply = session.client.get("/v1/settings/explain", &query)?;
    session.print(&reply, |reply| {
        let rows = reply.chain.iter().map(|link| {
            let at = link
                .at
                .as_ref()
                .map_or("default".to_string(), Place::to_string);
            let value = match &link.value {
                Some(value) => value.to_string(),
                None if link.allowed => "inherited".to_string(),
                None => "cannot be set here".to_string(),
            };
            let used = if link.used { "in force" } else { "" };
            vec![at, value, used.to_string()]
        });
        let summary = format!("{} = {}\n", reply.key, reply.value);
        summary + &render::table(&["PLACE", "VALUE", ""], &rows.collect::<Vec<_>>())
    })?;
    Ok(())
}

fn show_history(session: &Session, at: Option<Place>, history: History) -> Result<(), Failure> {
    let query = HistoryQuery {
        at,
        key: history.key,
        limit: history.limit,
    };
    let reply: HistoryReply = session.client.get("/v1/settings/history", &query)?;
    session.print(&reply, |reply| render::records(&reply.records))?;
    Ok(())
}
