//! `tackctl worker`: lists workers.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use conf::api::WorkerInfo;
use conf::api::WorkersQuery;
use conf::api::WorkersReply;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::Session;

pub const USAGE: &str = "\
Lists workers with their accelerators and state.

Usage: tackctl worker list [--domain DOMAIN]

Example:
    tackctl worker list --domain north-1";

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
        /// Lists workers.
        cmd list {
            /// Lists only the workers in this failure domain.
            optional --domain domain: DomainId
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    let ArgsCmd::List(list) = args.subcommand;
    let query = WorkersQuery {
        domain: list.domain,
    };
    let reply: WorkersReply = session.client.get("/v1/workers", &query)?;
    session.print(&reply, text)?;
    Ok(())
}

fn text(reply: &WorkersReply) -> String {
    let rows = reply.workers.iter().map(|w| {
        vec![
            w.worker.to_string(),
            w.domain.to_string(),
            w.rack.to_string(),
            w.accels.to_string(),
            w.free.to_string(),
            w.requests.to_string(),
            state(w).to_string(),
        ]
    });
    let header = [
        "WORKER", "DOMAIN", "RACK", "ACCELS", "FREE", "REQUESTS", "STATE",
    ];
    render::table(&header, &rows.collect::<Vec<_>>())
}

fn state(worker: &WorkerInfo) -> &'static str {
    match worker {
        w if !w.live => "silent",
        w if w.leaving => "leaving",
        w if w.isolated => "isolated",
        _ => "live",
    }
}
