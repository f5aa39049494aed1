//! `tackctl status`: shows the site as a daemon sees it.

use std::ffi::OsString;
use std::net::SocketAddr;

use base::Millis;
use conf::api::Status;
use conf::tree::Operator;

use crate::failure::Failure;
use crate::parse_args;
use crate::render;
use crate::session::Session;

pub const USAGE: &str = "\
Shows the site as a daemon sees it: the platform, the settings in force, coordinators,
other daemons, failure domains, and guarantees that could not be claimed now.

Usage: tackctl status

Example:
    tackctl status --at 127.0.0.1:7002 --json";

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
    }
}

pub fn run(args: Vec<OsString>) -> Result<(), Failure> {
    let args = parse_args!(Args, args)?;
    let session = Session::new(args.at, args.json, args.timeout, args.who)?;
    let reply: Status = session.client.get("/v1/status", &())?;
    session.print(&reply, text)?;
    Ok(())
}

fn text(status: &Status) -> String {
    let ready = if status.ready { "ready" } else { "not ready" };
    let held = if status.held { "held" } else { "allowed" };
    let mut text = format!(
        "{} in {}: {ready}; platform {:?}; starts {held}\n",
        status.vm, status.domain, status.platform
    );
    let age = render::or_dash(&status.age);
    text += &format!("settings revision {}, proof {age} old\n", status.revision);
    for alarm in &status.alarms {
        text += &format!("alarm: {alarm}\n");
    }
    for short in &status.short {
        text += &format!(
            "short: {} in {}: {} copies\n",
            short.org, short.domain, short.count
        );
    }
    text + "\n" + &domains(status) + "\n" + &peers(status)
}

fn domains(status: &Status) -> String {
    let coordinator = |d: &base::DomainId| status.coordinators.iter().find(|c| c.domain == *d);
    let rows = status.domains.iter().map(|d| {
        vec![
            d.domain.to_string(),
            if d.out { "out" } else { "in" }.to_string(),
            render::or_dash(&coordinator(&d.domain).and_then(|c| c.vm.as_ref())),
            d.workers.to_string(),
            d.accels.to_string(),
            d.free.to_string(),
            d.running.to_string(),
            d.queued.to_string(),
        ]
    });
    let header = [
        "DOMAIN",
        "SERVICE",
        "COORDINATOR",
        "WORKERS",
        "ACCELS",
        "FREE",
        "RUNNING",
        "QUEUED",
    ];
    render::table(&header, &rows.collect::<Vec<_>>())
}

fn peers(status: &Status) -> String {
    let rows = status.peers.iter().map(|p| {
        vec![
            p.vm.to_string(),
            p.domain.to_string(),
            render::or_dash(&p.heard),
            p.revision.to_string(),
        ]
    });
    render::table(
        &["DAEMON", "DOMAIN", "HEARD", "REVISION"],
        &rows.collect::<Vec<_>>(),
    )
}
