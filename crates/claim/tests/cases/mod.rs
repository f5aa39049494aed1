//! The small worlds that are searched.

#![allow(dead_code)]

use base::Millis;
use base::VmId;

use claim::Ablation;
use claim::Limits;

use crate::model::Budget;
use crate::model::Event;
use crate::model::World;

/// Times small enough that one jump passes them.
pub fn limits(ablation: Ablation) -> Limits {
    Limits {
        lease: Millis(20),
        retention: Millis(100),
        skew: Millis(1),
        retry: Millis(5),
        wait: Millis::ZERO,
        report: Millis(50),
        rows: 30,
        bytes: 100,
        answer: 50,
        pending: 8,
        chunk: 2,
        ablation,
    }
}

/// Nothing but two sends.
pub fn calm() -> Budget {
    Budget {
        sends: 2,
        repeats: 0,
        crashes: 0,
        views: Vec::new(),
        jumps: Vec::new(),
        refusals: 0,
        lost: 0,
        downs: 0,
        numbered: true,
        timed: false,
    }
}

pub fn members(names: &[&str]) -> Vec<VmId> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

/// Three VMs, of which two are members at first.
pub fn three(ablation: Ablation, budget: Budget) -> World {
    World::new(
        &["a", "b", "c"],
        &["order-1"],
        &["a", "b"],
        limits(ablation),
        budget,
    )
}

/// Resends while messages are repeated and a VM ends.
pub fn resend(ablation: Ablation) -> World {
    let budget = Budget {
        repeats: 1,
        crashes: 1,
        ..calm()
    };
    three(ablation, budget)
}

/// The copy-holder is replaced; the owner may have missed it.
pub fn replace(ablation: Ablation) -> World {
    let budget = Budget {
        crashes: 1,
        views: vec![members(&["a", "c"]), members(&["b", "c"])],
        ..calm()
    };
    three(ablation, budget)
}

/// Both holders are replaced and time passes.
pub fn lost_pair(ablation: Ablation) -> World {
    let budget = Budget {
        views: vec![members(&["c"])],
        jumps: vec![Millis(25)],
        ..calm()
    };
    three(ablation, budget)
}

/// A single member is replaced by another.
pub fn single(ablation: Ablation) -> World {
    let budget = Budget {
        views: vec![members(&["b"])],
        jumps: vec![Millis(25)],
        ..calm()
    };
    World::new(&["a", "b"], &["order-1"], &["a"], limits(ablation), budget)
}

/// Sends without numbers at the same time, refused by upstreams, with silent links.
pub fn refusals(ablation: Ablation) -> World {
    let budget = Budget {
        refusals: 1,
        downs: 1,
        views: vec![members(&["b", "c"])],
        numbered: false,
        ..calm()
    };
    three(ablation, budget)
}

/// Grants that arrive after their deadline.
pub fn late(ablation: Ablation) -> World {
    let budget = Budget {
        repeats: 1,
        jumps: vec![Millis(12)],
        ..calm()
    };
    three(ablation, budget)
}

/// A single member is replaced by another; ids carry their time.
pub fn timed(ablation: Ablation) -> World {
    let budget = Budget {
        views: vec![members(&["b"])],
        jumps: vec![Millis(25)],
        timed: true,
        ..calm()
    };
    World::new(&["a", "b"], &["order-1"], &["a"], limits(ablation), budget)
}

/// A new member has the records of the copy-holder, and the owner does not know the view.
pub fn promise(ablation: Ablation) -> World {
    let budget = Budget {
        views: vec![members(&["c"])],
        ..calm()
    };
    let mut world = three(ablation, budget);
    world.replay(&[Event::Change(0), Event::Read(1), Event::Read(2)]);
    world
}

/// The owner is told that the link to the copy-holder is silent, then both are replaced.
pub fn closed(ablation: Ablation) -> World {
    let budget = Budget {
        sends: 3,
        views: vec![members(&["b", "c"])],
        numbered: false,
        ..calm()
    };
    let mut world = three(ablation, budget);
    let id = 0;
    world.replay(&[Event::Send { id, vm: 2 }, Event::Send { id, vm: 0 }]);
    world.force(&Event::Down(0, 1));
    world
}

/// As [`closed`], when the new members have read the new view.
pub fn closed_late(ablation: Ablation) -> World {
    let mut world = closed(ablation);
    world.replay(&[Event::Change(0), Event::Read(1), Event::Read(2)]);
    world
}

/// Two changes of the view in a row, each learned late by some.
pub fn chain(ablation: Ablation) -> World {
    let budget = Budget {
        views: vec![members(&["b", "c"])],
        ..calm()
    };
    let mut world = three(ablation, budget);
    world.replay(&[Event::Send { id: 0, vm: 0 }]);
    world.flush();
    world.force(&Event::View(vec![0, 2]));
    world.replay(&[Event::Read(2)]);
    world
}

/// Two ids with room for the claim of one.
pub fn two_ids(ablation: Ablation) -> World {
    let budget = Budget {
        crashes: 1,
        ..calm()
    };
    let limits = Limits {
        rows: 1,
        ..limits(ablation)
    };
    World::new(
        &["a", "b"],
        &["order-1", "order-2"],
        &["a", "b"],
        limits,
        budget,
    )
}

/// All worlds by name.
pub fn all(off: Ablation) -> Vec<(&'static str, World)> {
    vec![
        ("resend", resend(off)),
        ("replace", replace(off)),
        ("lost-pair", lost_pair(off)),
        ("single", single(off)),
        ("timed", timed(off)),
        ("refusals", refusals(off)),
        ("late", late(off)),
        ("promise", promise(off)),
        ("closed", closed(off)),
        ("closed-late", closed_late(off)),
        ("chain", chain(off)),
        ("two-ids", two_ids(off)),
    ]
}

/// The mechanism of that name switched off.
pub fn without(name: &str) -> Option<Ablation> {
    let mut off = Ablation::default();
    let flag = match name {
        "copy" => &mut off.no_copy,
        "promise" => &mut off.no_promise,
        "doubt" => &mut off.no_doubt,
        "lease" => &mut off.no_lease,
        "nonce" => &mut off.no_nonce,
        "tombstone" => &mut off.no_tombstone,
        _ => return None,
    };
    *flag = true;
    Some(off)
}
