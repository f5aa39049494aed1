//! `tackctl domain`: takes a failure domain out of service or returns it.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use conf::api::ChangeReply;
use conf::api::DomainRequest;
use conf::tree::OpId;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::operation_id;
use crate::session::Session;

pub const USAGE: &str = "\
Takes a failure domain out of service, so that no task starts in it, or returns it to service.

Usage: tackctl domain out DOMAIN [--op ID]
       tackctl domain back DOMAIN [--op ID]

    --op ID     Repeats the operation with this id; it is applied only once

The reply lists the daemons that have the change in force and the live daemons that did not
confirm it in time.

Example:
    tackctl domain out north-1 --at 127.0.0.1:7002";

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
        /// Takes the failure domain out of service.
        cmd out {
            required domain: DomainId
        }
        /// Returns the failure domain to service.
        cmd back {
            required domain: DomainId
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    let (domain, verb) = match args.subcommand {
        ArgsCmd::Out(out) => (out.domain, "out"),
        ArgsCmd::Back(back) => (back.domain, "back"),
    };
    let request = DomainRequest {
        op: operation_id(args.op)?,
        who: session.who.clone(),
    };
    let path = format!("/v1/domains/{domain}/{verb}");
    let reply: ChangeReply = session.send_change(&path, &request, &request.op)?;
    session.print(&reply, render::change)?;
    Ok(())
}
