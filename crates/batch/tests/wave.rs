//! Waves of upkeep on a full site: they meet the deadline and the cap, and little work is lost.

use base::Epoch;
use base::MachineId;
use base::Millis;
use base::WorkerId;
use batch::wave::choose;
use batch::wave::MachineEntry;
use batch::wave::MachineState;
use batch::wave::MachineWork;
use batch::wave::UpkeepResponse;
use batch::wave::Wave;
use batch::wave::WaveDecision;
use batch::wave::Waves;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SECOND: Millis = Millis(1_000);

/// Duration of one upkeep.
const UPKEEP_TIME: Millis = Millis(2_000);

const CAP: usize = 3;

/// A machine of a full site. It runs one task of two to eleven seconds after the other, unless it
/// is cordoned.
#[derive(Clone, Default)]
struct Machine {
    begun: u64,
    ends: u64,
    down_until: u64,
    is_done: bool,
    is_cordoned: bool,
}

/// Work lost and the duration of the wave, both in seconds.
#[derive(Debug)]
struct Outcome {
    lost: u64,
    took: u64,
}

/// Simulates a wave over 24 machines that are always busy.
fn simulate_wave(
    span: u64,
    mut policy: impl FnMut(&[MachineWork], usize, Millis) -> WaveDecision,
) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(5);
    let mut machines = vec![Machine::default(); 24];
    let mut lost = 0;
    for now in (0..400_000).step_by(100) {
        for machine in &mut machines {
            let idle = machine.ends <= now && machine.down_until <= now;
            if idle && (!machine.is_cordoned || machine.is_done) {
                machine.begun = now;
                machine.ends = now + rng.random_range(2_000..11_000);
            }
        }
        let down = machines.iter().filter(|m| m.down_until > now).count();
        let waiting: Vec<usize> = (0..24).filter(|&num| !machines[num].is_done).collect();
        if waiting.is_empty() {
            return Outcome {
                lost: lost / 1_000,
                took: now / 1_000,
            };
        }
        let work = waiting.iter().map(|&num| MachineWork {
            left: Millis(machines[num].ends.saturating_sub(now)),
            loss: now.saturating_sub(machines[num].begun),
            is_held: false,
        });
        let work: Vec<MachineWork> = work.collect();
        let left = Millis(span).since(Millis(now));
        let decision = policy(&work, CAP.saturating_sub(down), left);
        for &num in &waiting {
            machines[num].is_cordoned = false;
        }
        for num in decision.cordon {
            machines[waiting[num]].is_cordoned = true;
        }
        for num in decision.evict {
            let machine = &mut machines[waiting[num]];
            lost += now
                .saturating_sub(machine.begun)
                .min(machine.ends - machine.begun);
            machine.ends = now;
        }
        for num in decision.down {
            let machine = &mut machines[waiting[num]];
            assert!(
                machine.ends <= now,
                "a machine goes down while a run is active"
            );
            machine.is_done = true;
            machine.down_until = now + UPKEEP_TIME.0;
            machine.ends = machine.down_until;
        }
    }
    Outcome {
        lost: lost / 1_000,
        took: u64::MAX,
    }
}

/// Takes the machines down in the order of the list, whatever runs there.
fn in_order(work: &[MachineWork], free: usize, _: Millis) -> WaveDecision {
    let first: Vec<usize> = (0..work.len().min(free)).collect();
    let (down, evict) = first
        .into_iter()
        .partition(|&num| work[num].left == Millis::ZERO);
    WaveDecision {
        down,
        cordon: Vec::clone(&evict),
        evict,
    }
}

#[test]
fn a_wave_waits_for_work_to_end_while_it_has_the_time() {
    let span = 90_000;
    let chosen = simulate_wave(span, |work, free, left| {
        choose(work, free, CAP, left, UPKEEP_TIME)
    });
    let in_list_order = simulate_wave(span, in_order);
    assert!(
        in_list_order.lost > 60,
        "too little work is lost in list order: {in_list_order:?}"
    );
    assert!(
        chosen.lost * 4 < in_list_order.lost,
        "{chosen:?} against {in_list_order:?}"
    );
    assert!(chosen.took * 1_000 <= span, "{chosen:?}");
}

#[test]
fn a_wave_with_little_time_stops_work_and_is_in_time() {
    let span = 28_000;
    let chosen = simulate_wave(span, |work, free, left| {
        choose(work, free, CAP, left, UPKEEP_TIME)
    });
    assert!(chosen.took * 1_000 <= span, "{chosen:?}");
}

fn machine(num: usize) -> MachineId {
    format!("m{num}").parse().expect("a machine")
}

fn worker(num: usize) -> WorkerId {
    format!("w{num}").parse().expect("a worker id")
}

fn machine_list(up: impl Fn(usize) -> bool) -> Vec<MachineEntry> {
    let entry = |num| MachineEntry {
        id: machine(num),
        state: match up(num) {
            true => MachineState::Up,
            false => MachineState::Upkeep,
        },
        worker: Some(worker(num)),
    };
    (0..4).map(entry).collect()
}

fn waves() -> Waves {
    let mut waves = Waves::default();
    request_wave(&mut waves);
    waves
}

fn request_wave(waves: &mut Waves) {
    let wave = Wave {
        number: 1,
        machines: (0..5).map(machine).collect(),
        span: Millis(60_000),
        cap: 1,
    };
    waves.set(wave, SECOND);
}

fn planned_requests(waves: &mut Waves, now: u64) -> Vec<batch::wave::UpkeepRequest> {
    let idle = |_: &WorkerId| MachineWork::default();
    waves
        .plan(Epoch(7), Millis(now), UPKEEP_TIME, idle)
        .requests
}

/// An upkeep request without a response may still be carried out. Its machine counts as down, and
/// the request is repeated before one for another machine is sent.
#[test]
fn the_cap_holds_while_a_request_is_unanswered() {
    let mut waves = waves();
    assert_eq!(
        planned_requests(&mut waves, 1_000),
        [],
        "no list of machines yet"
    );
    waves.set_machines(machine_list(|_| true), Millis(1_000));
    let first = planned_requests(&mut waves, 1_100);
    assert_eq!(first.len(), 1);
    waves.apply_response(
        &first[0],
        &UpkeepResponse::Unknown("timed out".into()),
        Millis(1_600),
    );
    waves.set_machines(machine_list(|_| true), Millis(1_700));
    assert_eq!(
        planned_requests(&mut waves, 1_700),
        [],
        "repeated before the pause is over"
    );
    assert_eq!(planned_requests(&mut waves, 2_200), first);
    waves.apply_response(&first[0], &UpkeepResponse::Begun, Millis(2_300));
    assert_eq!(
        planned_requests(&mut waves, 2_300),
        [],
        "the machine is down"
    );
    waves.set_machines(machine_list(|num| num != 0), Millis(2_400));
    assert_eq!(
        planned_requests(&mut waves, 2_400),
        [],
        "the machine is still down"
    );
    waves.set_machines(machine_list(|_| true), Millis(5_000));
    let second = planned_requests(&mut waves, 5_100);
    assert_eq!(second[0].machine, machine(1));
}

/// Failure: a request had no response and its repetition was turned away. The machine did not count as
/// down any more, another one was taken, and the first request was carried out late.
#[test]
fn a_refused_repetition_leaves_the_first_request_open() {
    let mut waves = waves();
    waves.set_machines(machine_list(|_| true), Millis(1_000));
    let first = planned_requests(&mut waves, 1_100);
    let busy = UpkeepResponse::Later("status 429".into());
    waves.apply_response(&first[0], &busy, Millis(1_200));
    let other = planned_requests(&mut waves, 1_300);
    assert_eq!(other[0].machine, machine(1), "certainly not carried out");
    let lost = UpkeepResponse::Unknown("timed out".into());
    waves.apply_response(&other[0], &lost, Millis(1_800));
    let (number, record) = waves.unrecorded().remove(0);
    let mut next = Waves::default();
    next.restore(number, record);
    request_wave(&mut next);
    for (waves, at) in [(&mut waves, 2_400), (&mut next, 9_000)] {
        waves.set_machines(machine_list(|_| true), Millis(at));
        assert_eq!(planned_requests(waves, at), other);
        waves.apply_response(&other[0], &busy, Millis(at + 100));
        waves.set_machines(machine_list(|_| true), Millis(at + 200));
        assert_eq!(planned_requests(waves, at + 200), []);
        assert_eq!(planned_requests(waves, at + 700), other);
    }
}

/// Failure: between the repetitions of a request without a response the worker of its machine got tasks,
/// which the next one ended.
#[test]
fn a_worker_gets_no_tasks_while_a_request_for_its_machine_is_unanswered() {
    let mut waves = waves();
    waves.set_machines(machine_list(|_| true), Millis(1_000));
    let first = planned_requests(&mut waves, 1_100);
    let lost = UpkeepResponse::Unknown("timed out".into());
    waves.apply_response(&first[0], &lost, Millis(1_600));
    let idle = |_: &WorkerId| MachineWork::default();
    for now in [1_700, 2_200] {
        let plan = waves.plan(Epoch(7), Millis(now), UPKEEP_TIME, idle);
        assert!(plan.cordon.contains(&worker(0)), "at {now}");
        assert_eq!(waves.open_workers(), plan.cordon, "at {now}");
    }
    waves.apply_response(&first[0], &UpkeepResponse::Begun, Millis(2_300));
    let plan = waves.plan(Epoch(7), Millis(2_300), UPKEEP_TIME, idle);
    assert!(!plan.cordon.contains(&worker(0)));
}

/// Failure: a new coordinator repeated a request although the worker had got a task meanwhile that must
/// not be stopped now.
#[test]
fn a_request_is_not_repeated_while_a_run_is_held() {
    let mut waves = waves();
    waves.set_machines(machine_list(|_| true), Millis(1_000));
    let first = planned_requests(&mut waves, 1_100);
    let lost = UpkeepResponse::Unknown("timed out".into());
    waves.apply_response(&first[0], &lost, Millis(1_600));
    let held = |id: &WorkerId| MachineWork {
        left: Millis::MAX,
        loss: 0,
        is_held: *id == worker(0),
    };
    let plan = waves.plan(Epoch(8), Millis(2_200), UPKEEP_TIME, held);
    assert_eq!(plan.requests, []);
    assert!(plan.cordon.contains(&worker(0)));
    assert_eq!(planned_requests(&mut waves, 2_300), first);
}

/// A new coordinator continues from the record, and first repeats the request that may be open.
#[test]
fn a_new_coordinator_keeps_to_the_cap() {
    let mut first = waves();
    first.set_machines(machine_list(|_| true), Millis(1_000));
    let request = planned_requests(&mut first, 1_100);
    let (number, record) = first.unrecorded().remove(0);
    assert!(record.open.contains(&machine(0)));
    let mut second = Waves::default();
    second.restore(number, record);
    request_wave(&mut second);
    second.set_machines(machine_list(|_| true), Millis(9_100));
    assert_eq!(planned_requests(&mut second, 9_200), request);
}

#[test]
fn a_wave_is_over_once_every_listed_machine_has_had_its_upkeep() {
    let mut waves = waves();
    for num in 0..4 {
        let at = 1_000 + 5_000 * num as u64;
        waves.set_machines(machine_list(|_| true), Millis(at));
        let requests = planned_requests(&mut waves, at + 100);
        assert_eq!(requests[0].machine, machine(num));
        assert!(waves.unrecorded().iter().all(|(_, r)| !r.is_over));
        waves.apply_response(&requests[0], &UpkeepResponse::Begun, Millis(at + 200));
    }
    // The fifth machine is not in the list.
    let (number, record) = waves.unrecorded().remove(0);
    assert!(record.is_over);
    waves.mark_recorded(number, record);
    assert!(!waves.is_active());
}

/// Guards against a wave that operators see as running without an end: the store refused the write of its
/// end, and nothing wrote it again.
#[test]
fn a_wave_stays_active_until_its_end_is_recorded() {
    let mut waves = waves();
    for num in 0..4 {
        let at = 1_000 + 5_000 * num as u64;
        waves.set_machines(machine_list(|_| true), Millis(at));
        let requests = planned_requests(&mut waves, at + 100);
        waves.apply_response(&requests[0], &UpkeepResponse::Begun, Millis(at + 200));
    }
    assert!(waves.is_active(), "the end of the wave is not recorded");
    let (number, record) = waves.unrecorded().remove(0);
    waves.mark_recorded(number, record);
    assert!(!waves.is_active());
}
