//! Initial states and event budgets of the cases that are searched.

#![allow(dead_code)]

use base::Millis;
use base::VmId;

use claim::Ablation;
use claim::Limits;

use crate::model::Budget;
use crate::model::Event;
use crate::model::System;

/// Limits short enough that one clock jump exceeds them.
pub fn limits(ablation: Ablation) -> Limits {
    Limits {
        lease: Millis(20),
        retention: Millis(100),
        max_skew: Millis(1),
        retry_interval: Millis(5),
        outcome_wait: Millis::ZERO,
        report_period: Millis(50),
        max_records: 30,
        max_body_bytes: 100,
        max_answer_bytes: 50,
        max_pending: 8,
        chunk_records: 2,
        ablation,
    }
}

/// Two sends and no faults.
pub fn two_sends() -> Budget {
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

/// Three VMs, the first two of which are members of the first view.
pub fn three_vms(ablation: Ablation, budget: Budget) -> System {
    System::new(
        &["a", "b", "c"],
        &["order-1"],
        &["a", "b"],
        limits(ablation),
        budget,
    )
}

/// Resends with a duplicated message and a crashed VM.
pub fn resend(ablation: Ablation) -> System {
    let budget = Budget {
        repeats: 1,
        crashes: 1,
        ..two_sends()
    };
    three_vms(ablation, budget)
}

/// The backup is replaced, possibly without the owner learning of it.
pub fn replace(ablation: Ablation) -> System {
    let budget = Budget {
        crashes: 1,
        views: vec![members(&["a", "c"]), members(&["b", "c"])],
        ..two_sends()
    };
    three_vms(ablation, budget)
}

/// Both holders are replaced, and the clock advances past their authority.
pub fn lost_pair(ablation: Ablation) -> System {
    let budget = Budget {
        views: vec![members(&["c"])],
        jumps: vec![Millis(25)],
        ..two_sends()
    };
    three_vms(ablation, budget)
}

/// A single member is replaced by another one.
pub fn single(ablation: Ablation) -> System {
    let budget = Budget {
        views: vec![members(&["b"])],
        jumps: vec![Millis(25)],
        ..two_sends()
    };
    System::new(&["a", "b"], &["order-1"], &["a"], limits(ablation), budget)
}

/// Concurrent unnumbered sends with a refusal by the upstream and a silent link.
pub fn refusals(ablation: Ablation) -> System {
    let budget = Budget {
        refusals: 1,
        downs: 1,
        views: vec![members(&["b", "c"])],
        numbered: false,
        ..two_sends()
    };
    three_vms(ablation, budget)
}

/// Grants that arrive after the deadline of their send.
pub fn late(ablation: Ablation) -> System {
    let budget = Budget {
        repeats: 1,
        jumps: vec![Millis(12)],
        ..two_sends()
    };
    three_vms(ablation, budget)
}

/// A single member is replaced by another one; ids carry their creation time.
pub fn timed(ablation: Ablation) -> System {
    let budget = Budget {
        views: vec![members(&["b"])],
        jumps: vec![Millis(25)],
        timed: true,
        ..two_sends()
    };
    System::new(&["a", "b"], &["order-1"], &["a"], limits(ablation), budget)
}

/// A new member has received the backup's records while the owner does not know the new view.
pub fn promise(ablation: Ablation) -> System {
    let budget = Budget {
        views: vec![members(&["c"])],
        ..two_sends()
    };
    let mut system = three_vms(ablation, budget);
    system.replay(&[Event::ChangeView(0), Event::ReadView(1), Event::ReadView(2)]);
    system
}

/// The owner loses its link to the backup, then both are replaced.
pub fn closed(ablation: Ablation) -> System {
    let budget = Budget {
        sends: 3,
        views: vec![members(&["b", "c"])],
        numbered: false,
        ..two_sends()
    };
    let mut system = three_vms(ablation, budget);
    let id = 0;
    system.replay(&[Event::Send { id, vm: 2 }, Event::Send { id, vm: 0 }]);
    system.force(&Event::LinkDown(0, 1));
    system
}

/// As [`closed`], with both new members already in the new view.
pub fn closed_late(ablation: Ablation) -> System {
    let mut system = closed(ablation);
    system.replay(&[Event::ChangeView(0), Event::ReadView(1), Event::ReadView(2)]);
    system
}

/// Two consecutive view changes, each of which some VMs learn late.
pub fn chain(ablation: Ablation) -> System {
    let budget = Budget {
        views: vec![members(&["b", "c"])],
        ..two_sends()
    };
    let mut system = three_vms(ablation, budget);
    system.replay(&[Event::Send { id: 0, vm: 0 }]);
    system.deliver_all();
    system.force(&Event::SetMembers(vec![0, 2]));
    system.replay(&[Event::ReadView(2)]);
    system
}

/// Two ids with room for one claim in the table.
pub fn two_ids(ablation: Ablation) -> System {
    let budget = Budget {
        crashes: 1,
        ..two_sends()
    };
    let limits = Limits {
        max_records: 1,
        ..limits(ablation)
    };
    System::new(
        &["a", "b"],
        &["order-1", "order-2"],
        &["a", "b"],
        limits,
        budget,
    )
}

/// All cases by name.
pub fn all(off: Ablation) -> Vec<(&'static str, System)> {
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

/// The ablation that disables the named mechanism; `None` for an unknown name.
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
