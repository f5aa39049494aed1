//! `tackctl worker`: lists workers.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::DomainId;
use base::Millis;
use conf::api::WorkerInfo;
use conf::api::WorkersQuery;
use conf::api::WorkersReply;
use conf::tree::Operator;

use crate::exit::Failure;
use crate::global::Session;
use crate::parse_args;
use crate::show;

pub const USAGE: &str = "\
Lists workers with their accelerators and state.

Usage: tackctl worker list [--domain DOMAIN]

Example:
    tackctl worker list --domain north-1";

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
        /// Lists workers.
        cmd list {
            /// Only those of this failure domain.
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
    session.print(&reply, text);
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
    let head = [
        "WORKER", "DOMAIN", "RACK", "ACCELS", "FREE", "REQUESTS", "STATE",
    ];
    show::table(&head, &rows.collect::<Vec<_>>())
}

fn state(worker: &WorkerInfo) -> &'static str {
    match worker {
        w if !w.live => "silent",
        w if w.leaving => "leaving",
        w if w.isolated => "isolated",
        _ => "live",
    }
}
