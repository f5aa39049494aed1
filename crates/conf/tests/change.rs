//! Settings changes: exhaustive search over the interleavings of up to two changes with lost,
//! late and failed calls, with all safety mechanisms and with each one disabled.

use base::digest;
use base::Millis;
use base::Outcome;
use base::Revision;
use base::Set;
use base::VmId;
use conf::sync::ChangeAction;
use conf::sync::ChangeGuards;
use conf::sync::ChangeInput;
use conf::sync::ChangeRun;
use conf::sync::ChangeSetup;
use conf::sync::Reply;
use conf::sync::StoreRev;
use conf::sync::StoredDoc;
use conf::sync::WriteResult;
use conf::tree::Change;
use conf::tree::Edit;
use conf::tree::OpId;
use conf::tree::Tree;
use conf::tree::Value;
use yare::parameterized;

const DEADLINE: Millis = Millis(1_000_000);

fn change(op: &str) -> Change {
    Change {
        op: op.parse().unwrap(),
        who: "ana".parse().unwrap(),
        when: Millis(0),
        edits: vec![Edit::Set {
            at: "domain=d".parse().unwrap(),
            key: "out".into(),
            value: Value::Flag(true),
        }],
    }
}

fn run(op: &str, guards: ChangeGuards) -> ChangeRun {
    ChangeRun::new(ChangeSetup {
        change: change(op),
        expect: None,
        newest_known: Revision(0),
        deadline: DEADLINE,
        peer_wait: Millis(0),
        guards,
    })
}

/// A call in flight to the store. `timed_out` marks one whose sender has timed out, so that its
/// answer is ignored.
#[derive(Clone, Debug)]
struct Call {
    run: usize,
    seq: u64,
    write: Option<(Option<StoreRev>, String)>,
    timed_out: bool,
}

/// Runs, the store and the calls between them.
#[derive(Clone, Debug)]
struct Model {
    now: Millis,
    ops: Vec<OpId>,
    runs: Vec<ChangeRun>,
    replies: Vec<Option<Reply>>,
    store: StoredDoc,
    calls: Vec<Call>,
    faults: u32,
    /// Durable operations, in order.
    durable: Vec<OpId>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store executes the call and the answer arrives.
    Answer(usize),
    /// The call is lost before it reaches the store; the sender gets no answer.
    LoseRequest(usize),
    /// The sender times out; the call may still reach the store.
    TimeOut(usize),
    /// The store executes the call and the answer is lost.
    LoseAnswer(usize),
    /// The run reaches its deadline.
    ReachDeadline(usize),
    Tick(usize),
}

impl Model {
    fn new(ops: &[&str], faults: u32, guards: ChangeGuards) -> Model {
        Model {
            now: Millis(1000),
            ops: ops.iter().map(|o| o.parse().unwrap()).collect(),
            runs: ops.iter().map(|o| run(o, guards)).collect(),
            replies: vec![None; ops.len()],
            store: StoredDoc::default(),
            calls: Vec::new(),
            faults,
            durable: Vec::new(),
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut all = Vec::new();
        for (at, call) in self.calls.iter().enumerate() {
            all.push(Step::Answer(at));
            if call.timed_out {
                all.push(Step::LoseRequest(at));
            } else if self.faults > 0 {
                all.extend([
                    Step::LoseRequest(at),
                    Step::TimeOut(at),
                    Step::LoseAnswer(at),
                ]);
            }
        }
        for (at, run) in self.runs.iter().enumerate() {
            let busy = self.calls.iter().any(|c| c.run == at && !c.timed_out);
            if !run.is_done() && !busy {
                all.push(Step::Tick(at));
            }
            if !run.is_done() && self.faults > 0 {
                all.push(Step::ReachDeadline(at));
            }
        }
        all
    }

    fn perform(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Answer(at) => {
                let call = self.calls.swap_remove(at);
                let answer = self.execute(&call)?;
                if !call.timed_out {
                    self.step_run(call.run, answer)?;
                }
            }
            Step::LoseRequest(at) => {
                let call = self.calls.swap_remove(at);
                self.report_no_answer(&call)?;
            }
            Step::TimeOut(at) => {
                let call = self.calls[at].clone();
                self.calls[at].timed_out = true;
                self.report_no_answer(&call)?;
            }
            Step::LoseAnswer(at) => {
                let call = self.calls.swap_remove(at);
                self.execute(&call)?;
                self.report_no_answer(&call)?;
            }
            Step::ReachDeadline(at) => {
                self.faults -= 1;
                let actions = self.runs[at].step(DEADLINE, ChangeInput::Tick);
                self.perform_actions(at, actions)?;
            }
            Step::Tick(at) => {
                self.now += Millis(100);
                self.step_run(at, ChangeInput::Tick)?;
            }
        }
        Ok(())
    }

    fn report_no_answer(&mut self, call: &Call) -> Result<(), String> {
        if call.timed_out {
            return Ok(());
        }
        self.faults -= 1;
        let input = match call.write {
            Some(_) => ChangeInput::Write(call.seq, WriteResult::Unknown),
            None => ChangeInput::Read(call.seq, None),
        };
        self.step_run(call.run, input)
    }

    fn execute(&mut self, call: &Call) -> Result<ChangeInput, String> {
        let Some((base, data)) = &call.write else {
            return Ok(ChangeInput::Read(call.seq, Some(self.store.clone())));
        };
        if base.is_some_and(|b| b != self.store.rev) {
            return Ok(ChangeInput::Write(call.seq, WriteResult::Changed));
        }
        self.store.rev = StoreRev(self.store.rev.0 + 1);
        self.store.version = self.store.version.next();
        self.store.data = Some(data.clone().into_bytes());
        let tree = Tree::decode(data.as_bytes()).unwrap();
        self.durable.extend(tree.last_op().cloned());
        self.check_store(&tree)?;
        Ok(ChangeInput::Write(call.seq, WriteResult::Done))
    }

    /// The history lists every durable operation exactly once, in order.
    fn check_store(&self, tree: &Tree) -> Result<(), String> {
        let ops: Vec<OpId> = tree.history().map(|r| r.op.clone()).collect();
        let durable: Vec<OpId> = self.durable.iter().rev().cloned().collect();
        let once: Set<&OpId> = durable.iter().collect();
        if once.len() != durable.len() {
            return Err(format!("an operation was applied twice: {durable:?}"));
        }
        (ops == durable).then_some(()).ok_or(format!(
            "the history is {ops:?}, the durable operations are {durable:?}"
        ))
    }

    fn step_run(&mut self, at: usize, input: ChangeInput) -> Result<(), String> {
        let actions = self.runs[at].step(self.now, input);
        self.perform_actions(at, actions)
    }

    fn perform_actions(&mut self, at: usize, actions: Vec<ChangeAction>) -> Result<(), String> {
        for action in actions {
            let (seq, write) = match action {
                ChangeAction::Accepted(_) => {
                    let all: Vec<VmId> = vec!["a".parse().unwrap()];
                    let (live, holders) = (all.clone(), all);
                    self.step_run(at, ChangeInput::Peers { live, holders })?;
                    continue;
                }
                ChangeAction::Reply(reply) => {
                    self.check_reply(at, &reply)?;
                    self.replies[at] = Some(reply);
                    continue;
                }
                ChangeAction::Read(seq) => (seq, None),
                ChangeAction::Write { seq, base, data } => (seq, Some((base, data))),
            };
            let run = at;
            self.calls.push(Call {
                run,
                seq,
                write,
                timed_out: false,
            });
        }
        Ok(())
    }

    fn check_reply(&self, at: usize, reply: &Reply) -> Result<(), String> {
        let op = &self.ops[at];
        match reply {
            Reply::Accepted(r) if self.durable.get(r.revision.0 as usize - 1) == Some(op) => Ok(()),
            Reply::Accepted(r) => Err(format!(
                "{op} was accepted as revision {}, which it did not create",
                r.revision
            )),
            Reply::Refused(r) => match &r.conflict {
                Some(c) if c.records.is_empty() => Err(format!("{op}: conflict without records")),
                Some(c) if c.records.iter().any(|r| r.op == *op) => {
                    Err(format!("{op}: conflict with itself"))
                }
                _ => Ok(()),
            },
        }
    }

    /// Once no call is in flight, no operation that was answered as not run is durable.
    fn check_end(&self) -> Result<(), String> {
        for (op, reply) in self.ops.iter().zip(&self.replies) {
            let not_run = matches!(reply, Some(Reply::Refused(r)) if r.outcome == Outcome::NotRun);
            let same = self.ops.iter().filter(|o| *o == op).count() > 1;
            if not_run && !same && self.durable.contains(op) {
                return Err(format!("{op} was answered as not run, but is durable"));
            }
        }
        Ok(())
    }
}

#[derive(Default)]
struct Search {
    seen: Set<u64>,
    ends: usize,
}

impl Search {
    fn visit(&mut self, model: &Model) -> Result<(), String> {
        if !self.seen.insert(digest(format!("{model:?}").as_bytes())) {
            return Ok(());
        }
        let steps = model.steps();
        if steps.is_empty() {
            self.ends += 1;
            return model.check_end();
        }
        for step in steps {
            let mut next = model.clone();
            let done = next.perform(step).and_then(|()| self.visit(&next));
            done.map_err(|e| format!("{step:?}, {e}"))?;
        }
        Ok(())
    }
}

#[parameterized(
    one_change = { &["x"], 3 },
    two_changes = { &["x", "y"], 2 },
    resend = { &["x", "x"], 2 },
)]
fn every_interleaving_keeps_the_guarantees(ops: &[&str], faults: u32) {
    let mut search = Search::default();
    let model = Model::new(ops, faults, ChangeGuards::default());
    assert_eq!(search.visit(&model), Ok(()));
    println!(
        "{ops:?}, {faults} faults: {} states, {} ends",
        search.seen.len(),
        search.ends
    );
    assert!(search.ends > 0);
}

#[parameterized(
    compare = { &["x", "y"], ChangeGuards { compare: false, ..ChangeGuards::default() } },
    dedup = { &["x", "x"], ChangeGuards { dedup: false, ..ChangeGuards::default() } },
    resolve = { &["x"], ChangeGuards { resolve: false, ..ChangeGuards::default() } },
)]
fn disabling_a_safety_mechanism_breaks_a_guarantee(ops: &[&str], guards: ChangeGuards) {
    let found = Search::default().visit(&Model::new(ops, 2, guards));
    println!("{guards:?}: {}", found.clone().unwrap_err());
    assert!(found.is_err());
}

fn stored(revisions: u64, version: u64) -> StoredDoc {
    let mut tree = Tree::new();
    for i in 0..revisions {
        tree = tree.apply(&change(&format!("old{i}"))).unwrap();
    }
    let tree = tree.with_version(conf::tree::KeyVersion(revisions));
    StoredDoc {
        rev: StoreRev(9),
        version: conf::tree::KeyVersion(version),
        data: Some(tree.encode().into_bytes()),
    }
}

/// First action after one read, by a run that requires at least revision 3.
fn first_action_after_read(
    expect: Option<Revision>,
    got: StoredDoc,
    guards: ChangeGuards,
) -> ChangeAction {
    let mut run = ChangeRun::new(ChangeSetup {
        change: change("x"),
        expect,
        newest_known: Revision(3),
        deadline: DEADLINE,
        peer_wait: Millis(500),
        guards,
    });
    run.step(Millis(0), ChangeInput::Tick);
    run.step(Millis(1), ChangeInput::Read(1, Some(got)))
        .remove(0)
}

#[parameterized(
    store_rolled_back = { 2, 2, "the store holds revision 2, older than revision 3 in force",
        ChangeGuards { newest_known: false, ..ChangeGuards::default() } },
    document_restored = { 3, 5, "somebody has put an older document back into the store",
        ChangeGuards { version: false, ..ChangeGuards::default() } },
)]
fn a_change_to_an_outdated_document_is_refused(
    revisions: u64,
    version: u64,
    want: &str,
    disabled: ChangeGuards,
) {
    let got = || stored(revisions, version);
    let ChangeAction::Reply(Reply::Refused(refusal)) =
        first_action_after_read(None, got(), ChangeGuards::default())
    else {
        panic!("expected a refusal");
    };
    assert_eq!(
        (refusal.outcome, refusal.reason.as_str()),
        (Outcome::NotRun, want)
    );
    assert!(matches!(
        first_action_after_read(None, got(), disabled),
        ChangeAction::Write { .. }
    ));
}

#[test]
fn a_conflict_lists_the_changes_after_the_expected_revision() {
    let got = first_action_after_read(Some(Revision(3)), stored(5, 5), ChangeGuards::default());
    let ChangeAction::Reply(Reply::Refused(refusal)) = got else {
        panic!("expected a refusal");
    };
    let conflict = refusal.conflict.unwrap();
    assert_eq!(conflict.revision, Revision(5));
    let ops: Vec<&str> = conflict.records.iter().map(|r| r.op.as_str()).collect();
    assert_eq!(ops, ["old4", "old3"]);
}

#[test]
fn the_reply_lists_daemons_that_did_not_confirm_the_change() {
    let mut run = run("x", ChangeGuards::default());
    run.step(Millis(0), ChangeInput::Tick);
    run.step(Millis(1), ChangeInput::Read(1, Some(StoredDoc::default())));
    run.step(Millis(2), ChangeInput::Write(2, WriteResult::Done));
    let ids = |names: &[&str]| {
        names
            .iter()
            .map(|n| n.parse().unwrap())
            .collect::<Vec<VmId>>()
    };
    let (live, holders) = (ids(&["a", "b", "c"]), ids(&["a", "c"]));
    assert!(run
        .step(Millis(2), ChangeInput::Peers { live, holders })
        .is_empty());
    let got = run.step(Millis(2), ChangeInput::Tick).remove(0);
    let ChangeAction::Reply(Reply::Accepted(reply)) = got else {
        panic!("expected an accepted change");
    };
    assert_eq!(
        (reply.in_force, reply.not_heard),
        (ids(&["a", "c"]), ids(&["b"]))
    );
    assert!(!reply.repeated);
}
