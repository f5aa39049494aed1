//! A job inside its guarantee that needs both room on workers and room under its organisation's limit.

mod kit;

use base::Millis;
use batch::Catalog;
use batch::OrgLimit;
use batch::Resources;
use batch::StepSpec;
use yare::parameterized;

use kit::catalog;
use kit::job;
use kit::job_of;
use kit::site::Faults;
use kit::site::Site;
use kit::step;
use kit::BOUNDS;

const SECOND: Millis = Millis(1_000);

/// The configuration with a limit on the processor time of each organisation.
fn limited(cpu: u64) -> Catalog {
    let plain = catalog();
    let mut orgs = plain.orgs.clone();
    for org in &mut orgs {
        org.limit = OrgLimit(Resources {
            cpu,
            ..Resources::default()
        });
    }
    Catalog::new(2, plain.queues, plain.pools, orgs, plain.limits)
}

/// Guards against rounds without end: while room on workers is made for a job inside its guarantee, other
/// work of its organisation takes the room under the limit.
#[parameterized(
    short = { 150 },
    middle = { 400 },
    long = { 900 },
)]
fn work_of_its_own_organisation_does_not_overtake_a_guaranteed_job(lasts: u64) {
    for seed in 0..8 {
        let mut site = Site::new(6, seed, Faults::default());
        // Twelve small tasks at a time.
        site.scheduler.configure(&limited(24_000));
        for num in 0..100 {
            let small = step(12, 0, Millis(lasts + 10 * (num % 7)));
            let small = job(1, vec![small], site.now);
            site.submit(&format!("own{num}"), small);
        }
        let mut other = step(400, 1, Millis(2_500));
        other.need.cpu = 100;
        let other = job_of("clinic", 1, vec![other], site.now);
        site.submit("other", other);
        site.run(SECOND + Millis(37 * seed));
        let mut gang = StepSpec {
            gang: true,
            ..step(2, 8, SECOND)
        };
        gang.need.cpu = 10_000;
        let id = site.submit("guaranteed", job(0, vec![gang], site.now));
        let accepted = site.now;
        let runs = |site: &Site| site.all_runs().iter().filter(|(t, _)| t.job == id).count();
        while runs(&site) < 2 && site.now < accepted + BOUNDS.reclaim {
            site.turn();
        }
        let waited = site.now - accepted;
        assert_eq!(runs(&site), 2, "tasks that run after {waited}, seed {seed}");
        let log = site.scheduler.take_log();
        let rounds = log
            .iter()
            .filter(|e| e.text.contains("its limit holds back"));
        let rounds = rounds.count();
        assert!(
            rounds <= 1,
            "made room under the limit {rounds} times, seed {seed}"
        );
    }
}
