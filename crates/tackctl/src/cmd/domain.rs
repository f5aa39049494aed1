//! `tackctl domain`: takes a failure domain out of service or back.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use conf::api::ChangeReply;
use conf::api::DomainRequest;
use conf::tree::OpId;
use conf::tree::Operator;

use crate::exit::Failure;
use crate::global::operation;
use crate::global::Session;
use crate::parse_args;
use crate::show;

pub const USAGE: &str = "\
Takes a failure domain out of service, so that no task starts in it, or back.

Usage: tackctl domain out DOMAIN [--op ID]
       tackctl domain back DOMAIN [--op ID]

    --op ID     Repeats the operation with this id; it takes effect once

The reply names the daemons that have the change in force and those not heard from.

Example:
    tackctl domain out north-1 --at 127.0.0.1:7002";

xflags::xflags! {
    cmd args {
        /// Operators' port of a daemon.
        repeated --at at: SocketAddr
        /// Prints JSON.
        optional --json
        /// Longest wait for one daemon.
        optional --timeout timeout: Millis
        /// Who asks.
        optional --who who: Operator
        /// Operation id of an earlier send.
        optional --op op: OpId
        /// Takes it out.
        cmd out {
            required domain: DomainId
        }
        /// Takes it back.
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
    let call = DomainRequest {
        op: operation(args.op)?,
        who: session.who.clone(),
    };
    let path = format!("/v1/domains/{domain}/{verb}");
    let reply: ChangeReply = session.change(&path, &call, &call.op)?;
    session.print(&reply, show::change);
    Ok(())
}
