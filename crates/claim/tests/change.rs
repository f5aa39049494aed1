//! View changes with transfer of records, unreachable backups, and the planned stop.

use std::collections::VecDeque;

use base::Millis;
use base::Outcome;
use base::VmId;

use claim::Action;
use claim::Answer;
use claim::Claims;
use claim::Input;
use claim::Limits;
use claim::Reason;
use claim::Verdict;
use claim::View;

const NOW: Millis = Millis(1_000_000);
const IDS: u64 = 7;

struct Site {
    nodes: Vec<Claims>,
    /// Dispatches, replies and drain notices in order, each with the index of its VM.
    seen: Vec<(usize, Action)>,
}

fn vm(at: usize) -> VmId {
    ["a", "b", "c"][at].parse().unwrap()
}

impl Site {
    fn new(limits: &Limits) -> Site {
        let new = |at| Claims::new(vm(at), "north".parse().unwrap(), limits.clone());
        Site {
            nodes: (0..3).map(new).collect(),
            seen: Vec::new(),
        }
    }

    fn step(&mut self, at: usize, input: Input) {
        let mut queue = VecDeque::from([(at, input)]);
        while let Some((at, input)) = queue.pop_front() {
            for action in self.nodes[at].step(NOW, input) {
                match action {
                    Action::Send { to, msg } => {
                        let from = vm(at);
                        let to = (0..3).find(|&i| vm(i) == to).unwrap();
                        queue.push_back((to, Input::Peer { from, msg }));
                    }
                    other => self.seen.push((at, other)),
                }
            }
            self.nodes[at].check().unwrap();
        }
    }

    fn install_view(&mut self, at: usize, view: &View) {
        self.step(at, Input::View(view.clone()));
        let until = NOW + Millis::from_secs(60);
        let view = view.number;
        self.step(at, Input::Lease { view, until });
    }

    fn request(&mut self, at: usize, id: u64, attempt: u32, token: u64) {
        let request = Input::Request {
            id: format!("order-{id}").parse().unwrap(),
            attempt,
            token,
            deadline: NOW + Millis::from_secs(10),
        };
        self.step(at, request);
    }

    fn answer_count(&self) -> usize {
        let is_answer = |action: &Action| {
            matches!(
                action,
                Action::Reply {
                    verdict: Verdict::Answer(_),
                    ..
                }
            )
        };
        self.seen.iter().filter(|(_, a)| is_answer(a)).count()
    }
}

fn site_with_answers() -> Site {
    let limits = Limits {
        chunk_records: 2,
        ..Limits::default()
    };
    let mut site = Site::new(&limits);
    let first = View::first(vec![vm(0), vm(1)]);
    (0..3).for_each(|at| site.install_view(at, &first));
    for id in 0..IDS {
        site.request(0, id, 1, id);
        let answer = Answer {
            outcome: Outcome::Ran,
            body: None,
        };
        site.step(0, Input::Answered { token: id, answer });
    }
    site
}

#[test]
fn a_new_member_returns_all_earlier_answers() {
    let mut site = site_with_answers();
    let next = site.nodes[0].view().next(vec![vm(1), vm(2)]);
    site.install_view(2, &next);
    assert!(site.nodes[2].is_complete());
    site.install_view(0, &next);
    site.install_view(1, &next);
    for at in 0..3 {
        for id in 0..IDS {
            site.request(at, id, 2, 100 * (at as u64 + 1) + id);
        }
    }
    assert_eq!(site.answer_count(), 3 * IDS as usize);
}

#[test]
fn a_stopping_vm_is_drained_once_its_successors_have_joined() {
    let mut site = site_with_answers();
    let next = site.nodes[0].view().next(vec![vm(1), vm(2)]);
    site.step(0, Input::Stop);
    assert!(!site.seen.iter().any(|(_, a)| *a == Action::Drained));
    site.install_view(0, &next);
    assert!(!site.seen.iter().any(|(_, a)| *a == Action::Drained));
    site.install_view(1, &next);
    site.install_view(2, &next);
    let drained = site.seen.iter().filter(|(_, a)| *a == Action::Drained);
    assert_eq!(drained.count(), 1);
}

#[test]
fn an_unreachable_backup_blocks_only_new_claims() {
    let mut site = site_with_answers();
    for at in 0..2 {
        site.step(at, Input::PeerDown(vm(1 - at)));
    }
    let before = site.seen.len();
    let owned = |site: &Site, id: u64| {
        let id = format!("order-{id}").parse().unwrap();
        site.nodes[0].view().owner(&id) == Some(&vm(0))
    };
    let new = (100..).find(|&id| owned(&site, id)).unwrap();
    let old = (0..IDS).find(|&id| owned(&site, id)).unwrap();
    site.request(0, new, 1, 1000);
    site.request(0, old, 2, 1001);
    let verdicts: Vec<&Action> = site.seen[before..].iter().map(|s| &s.1).collect();
    assert!(matches!(
        verdicts[0],
        Action::Reply {
            verdict: Verdict::NotRun {
                reason: Reason::NoCopy,
                ..
            },
            ..
        }
    ));
    assert!(matches!(
        verdicts[1],
        Action::Reply {
            verdict: Verdict::Answer(_),
            ..
        }
    ));
}

#[test]
fn claims_are_granted_once_the_backup_is_reachable_again() {
    let mut site = site_with_answers();
    for at in 0..2 {
        site.step(at, Input::PeerDown(vm(1 - at)));
        site.step(at, Input::PeerUp(vm(1 - at)));
    }
    let before = site.seen.len();
    site.request(0, 100, 1, 1000);
    assert!(matches!(site.seen[before].1, Action::Dispatch { .. }));
}

#[test]
fn a_later_view_without_past_members_grants_no_claims() {
    let mut site = Site::new(&Limits::default());
    let mut view = View::first(vec![vm(0)]).next(vec![vm(0)]);
    view.past.clear();
    site.install_view(0, &view);
    site.request(0, 1, 1, 1);
    assert!(!matches!(site.seen[0].1, Action::Dispatch { .. }));
}

#[test]
fn ids_are_refused_after_the_loss_of_both_holders() {
    let mut site = site_with_answers();
    let next = site.nodes[0].view().next(vec![vm(2)]);
    let fresh = Claims::new(vm(2), "north".parse().unwrap(), Limits::default());
    site.nodes[2] = fresh;
    site.nodes[2].step(NOW, Input::View(next.clone()));
    let until = NOW + Millis::from_secs(60);
    let view = next.number;
    site.nodes[2].step(NOW, Input::Lease { view, until });
    let actions = site.nodes[2].step(
        NOW,
        Input::Request {
            id: "order-1".parse().unwrap(),
            attempt: 2,
            token: 1,
            deadline: NOW + Millis::from_secs(10),
        },
    );
    assert!(matches!(
        actions[..],
        [Action::Reply {
            verdict: Verdict::Unknown {
                reason: Reason::Doubt,
                ..
            },
            ..
        }]
    ));
}
