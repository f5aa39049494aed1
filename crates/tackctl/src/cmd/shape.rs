//! `tackctl shape`: adds, removes and lists guaranteed shapes.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::Accels;
use base::Bytes;
use base::Cores;
use base::DomainId;
use base::Millis;
use base::OrgId;
use base::Shape;
use conf::api::ShapesQuery;
use conf::api::ShapesReply;
use conf::tree::Edit;
use conf::tree::OpId;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::parse_spread;
use crate::session::Session;

pub const USAGE: &str = "\
Adds, removes and lists the shapes that organisations can claim at any time.

Usage: tackctl shape add ORG DOMAIN --tasks N --accels N [OPTIONS]
       tackctl shape remove ORG DOMAIN --tasks N --accels N [OPTIONS]
       tackctl shape list [--org ORG] [--domain DOMAIN]

    --tasks N       Tasks of the gang
    --accels N      Adjacent accelerators of each task
    --cores N       Cores of each task
    --memory BYTES  Memory of each task
    --spread WORD   How far apart tasks may be: domain, rack or worker. Default: domain
    --count N       Number of copies to add or remove. Default: 1
    --op ID         Repeats the operation with this id; it is applied only once

Example:
    tackctl shape add ledger north-1 --tasks 4 --accels 8 --spread rack --count 2";

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
        /// Tasks of the gang.
        optional --tasks tasks: u32
        /// Adjacent accelerators of each task.
        optional --accels accels: Accels
        /// Cores of each task.
        optional --cores cores: Cores
        /// Memory of each task.
        optional --memory memory: Bytes
        /// How far apart tasks may be.
        optional --spread spread: String
        /// Number of copies to add or remove.
        optional --count count: u32
        /// Adds copies of a shape to an organisation's guarantees.
        cmd add {
            required org: OrgId
            required domain: DomainId
        }
        /// Removes copies of a shape from an organisation's guarantees.
        cmd remove {
            required org: OrgId
            required domain: DomainId
        }
        /// Lists guaranteed shapes.
        cmd list {
            optional --org org: OrgId
            optional --domain domain: DomainId
        }
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let shape = parse_shape(&args);
    let count = args.count.unwrap_or(1);
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    match args.subcommand {
        ArgsCmd::Add(add) => {
            let edit = Edit::AddShape {
                org: add.org,
                domain: add.domain,
                shape: shape?,
                count,
            };
            session.send_edits(args.op, None, vec![edit])
        }
        ArgsCmd::Remove(remove) => {
            let edit = Edit::RemoveShape {
                org: remove.org,
                domain: remove.domain,
                shape: shape?,
                count,
            };
            session.send_edits(args.op, None, vec![edit])
        }
        ArgsCmd::List(list) => list_shapes(&session, list),
    }
}

fn parse_shape(args: &Args) -> Result<Shape, Failure> {
    let missing = |name: &str| Failure::Usage(format!("--{name} is missing\n\n{USAGE}"));
    Ok(Shape {
        tasks: args.tasks.ok_or_else(|| missing("tasks"))?,
        accels: args.accels.ok_or_else(|| missing("accels"))?,
        cores: args.cores.unwrap_or_default(),
        memory: args.memory.unwrap_or_default(),
        spread: parse_spread(args.spread.as_deref())?,
    })
}

fn list_shapes(session: &Session, list: List) -> Result<(), Failure> {
    let query = ShapesQuery {
        org: list.org,
        domain: list.domain,
    };
    let reply: ShapesReply = session.client.get("/v1/shapes", &query)?;
    session.print(&reply, text)?;
    Ok(())
}

fn text(reply: &ShapesReply) -> String {
    let rows = reply.shapes.iter().map(|s| {
        vec![
            s.org.to_string(),
            s.domain.to_string(),
            s.count.to_string(),
            s.shape.tasks.to_string(),
            s.shape.accels.to_string(),
            s.shape.cores.to_string(),
            s.shape.memory.to_string(),
            format!("{:?}", s.shape.spread).to_lowercase(),
        ]
    });
    let header = [
        "ORG", "DOMAIN", "COUNT", "TASKS", "ACCELS", "CORES", "MEMORY", "SPREAD",
    ];
    render::table(&header, &rows.collect::<Vec<_>>())
}
