//! Rate of one run from the percent in its worker's reports. Guards against rates from progress that
//! goes back, stands or jumps, from clocks that run wrong, and from saved progress.

use base::Millis;
use batch::speed::Meter;
use yare::parameterized;

/// Rate of a run that takes ten seconds, in percent per millisecond.
const RATE: f64 = 0.01;

/// Feeds readings of percent and clock, in milliseconds; they arrive as they are taken.
fn feed(readings: &[(u32, u64)]) -> Meter {
    let mut meter = Meter::default();
    for (percent, clock) in readings {
        meter.read(*percent, *clock, Millis(1_000_000 + clock));
    }
    meter
}

fn rate(meter: &Meter) -> f64 {
    meter.rate().expect("a rate").log.exp()
}

fn assert_near(found: f64, expected: f64) {
    let off = (found / expected).ln().abs();
    assert!(off < 0.1, "{found} instead of {expected}");
}

/// A run that continues from saved progress starts above 0 and, while that is restored, stands.
#[test]
fn saved_progress_does_not_count() {
    let meter = feed(&[(60, 0), (60, 600), (70, 1_600), (80, 2_600)]);
    assert_near(rate(&meter), RATE);
}

/// A member of a gang stands at 0 until the last one is there.
#[test]
fn waiting_for_other_members_does_not_count() {
    let meter = feed(&[(0, 0), (0, 1_000), (0, 2_000), (10, 3_000), (20, 4_000)]);
    assert_near(rate(&meter), RATE);
}

/// A member that is done stands at 100, another run at 99, until the end.
#[parameterized(done = { 100 }, almost = { 99 })]
fn standing_at_the_end_does_not_count(last: u32) {
    let mut readings: Vec<(u32, u64)> = (0..9).map(|n| (n * 10, u64::from(n) * 1_000)).collect();
    readings.extend((9..20).map(|n| (last, n * 1_000)));
    assert_near(rate(&feed(&readings)), RATE);
}

/// A run jumps to 100 and then goes on being listed.
#[test]
fn a_jump_to_the_end_does_not_count() {
    let meter = feed(&[(0, 0), (10, 1_000), (20, 2_000), (100, 2_100), (100, 3_000)]);
    assert_near(rate(&meter), RATE);
}

/// A run jumps ahead in the middle: the interval is left out.
#[test]
fn a_jump_ahead_does_not_count() {
    let meter = feed(&[
        (0, 0),
        (10, 1_000),
        (20, 2_000),
        (70, 3_000),
        (80, 4_000),
        (90, 5_000),
    ]);
    assert_near(rate(&meter), RATE);
}

/// Progress that goes back once is measured anew; a run that does so again is not believed.
#[test]
fn progress_that_goes_back_twice_is_not_believed() {
    let once = feed(&[(0, 0), (30, 1_000), (10, 2_000), (20, 3_000), (30, 4_000)]);
    assert_near(rate(&once), RATE);
    let twice = feed(&[
        (0, 0),
        (30, 1_000),
        (10, 2_000),
        (40, 3_000),
        (20, 4_000),
        (50, 5_000),
    ]);
    assert_eq!(twice.rate(), None);
}

/// The worker's clock runs two percent slow, which the tolerance of every lease allows.
#[test]
fn a_clock_off_by_two_percent_is_believed() {
    let mut meter = Meter::default();
    for n in 0..9_u32 {
        let clock = u64::from(n) * 980;
        meter.read(n * 10, clock, Millis(1_000_000 + u64::from(n) * 1_000));
    }
    assert_near(rate(&meter), RATE);
}

/// The worker's clock jumps by a minute, ahead or back.
#[parameterized(ahead = { 60_000 }, back = { -60_000 })]
fn a_clock_that_jumps_is_not_believed(jump: i64) {
    let mut meter = Meter::default();
    for n in 0..9_u32 {
        let off = if n >= 4 { jump } else { 0 };
        let clock = (100_000 + i64::from(n) * 1_000 + off) as u64;
        meter.read(n * 10, clock, Millis(1_000_000 + u64::from(n) * 1_000));
    }
    assert_near(rate(&meter), RATE);
}

/// Reports that arrive late, as a slow coordinator reads them: the worker's clock counts.
#[test]
fn late_reports_do_no_harm() {
    let mut meter = Meter::default();
    for n in 0..9_u32 {
        let late = u64::from(n % 3) * 250;
        let clock = u64::from(n) * 1_000;
        meter.read(n * 10, clock, Millis(1_000_000 + clock + late));
    }
    assert_near(rate(&meter), RATE);
}

/// A worker turns slow for some seconds: the rate follows within two reports, says that the worker
/// has changed, and comes back.
#[test]
fn the_rate_follows_a_worker_that_turns_slow() {
    let mut meter = Meter::default();
    let mut percent = 0.0;
    let mut changes = 0;
    for second in 0..12_u64 {
        meter.read(
            percent as u32,
            second * 1_000,
            Millis(1_000_000 + second * 1_000),
        );
        changes += u32::from(meter.take_change());
        if second == 6 {
            assert_near(rate(&meter), 0.003);
        }
        percent += if (4..8).contains(&second) { 3.0 } else { 8.0 };
    }
    assert!(changes >= 1, "the change was not noticed");
    assert_near(rate(&meter), 0.008);
}
