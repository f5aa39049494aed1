//! `tackctl org`: creates, removes and lists organisations.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::Millis;
use base::OrgId;
use conf::api::OrgsReply;
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
Creates, removes and lists organisations.

Usage: tackctl org add ORG [--weight N] [--op ID]
       tackctl org remove ORG [--op ID]
       tackctl org list

    --weight N  Weight of its jobs when sharing accelerators that no guarantee needs
    --op ID     Repeats the operation with this id; it is applied only once

Removing an organisation also removes its settings and guarantees.

Example:
    tackctl org add ledger --weight 200";

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
        /// Operation id of an earlier attempt, to repeat it.
        optional --op op: OpId
        /// Creates an organisation.
        cmd add {
            /// Weight of its jobs when sharing accelerators that no guarantee needs.
            optional --weight weight: u64
            required org: OrgId
        }
        /// Removes an organisation.
        cmd remove {
            required org: OrgId
        }
        /// Lists organisations.
        cmd list {}
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    match args.subcommand {
        ArgsCmd::Add(add) => session.send_edits(args.op, None, add_edits(add)),
        ArgsCmd::Remove(remove) => {
            session.send_edits(args.op, None, vec![Edit::RemoveOrg { org: remove.org }])
        }
        ArgsCmd::List(_) => list_orgs(&session),
    }
}

fn add_edits(add: Add) -> Vec<Edit> {
    let at = Place::org(&add.org);
    let mut edits = vec![Edit::AddOrg { org: add.org }];
    edits.extend(add.weight.map(|weight| Edit::Set {
        at,
        key: Key::Weight.to_string(),
        value: Value::Number(weight),
    }));
    edits
}

fn list_orgs(session: &Session) -> Result<(), Failure> {
    let reply: OrgsReply = session.client.get("/v1/orgs", &())?;
    session.print(&reply, |reply| {
        let rows = reply.orgs.iter().map(|o| {
            vec![
                o.org.to_string(),
                o.weight.to_string(),
                o.guaranteed.to_string(),
            ]
        });
        render::table(&["ORG", "WEIGHT", "GUARANTEED"], &rows.collect::<Vec<_>>())
    })?;
    Ok(())
}
