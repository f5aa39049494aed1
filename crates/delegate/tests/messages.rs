//! Encoding of calls and responses, and rejection of late calls.

use base::Fence;
use base::Millis;
use batch::ActiveRun;
use batch::EndKind;
use batch::EndedRun;
use batch::OddEnd;
use batch::OddRows;
use batch::OddRun;
use batch::PollRequest;
use batch::Report;
use batch::RunNumber;
use batch::StartRequest;
use batch::StartResponse;
use batch::StopRequest;
use batch::TaskId;
use batch::ThrottleRequest;
use delegate::AgeFilter;
use delegate::Call;
use delegate::Envelope;
use delegate::Response;
use yare::parameterized;

fn task() -> TaskId {
    TaskId {
        job: "00000000000000a1".parse().expect("a job"),
        occurrence: 3,
        step: 1,
        index: 17,
    }
}

fn address() -> std::net::SocketAddr {
    "10.1.0.2:80".parse().expect("an address")
}

fn start() -> Call {
    Call::Start(Box::new(StartRequest {
        task: task(),
        run: RunNumber(4),
        worker: "w1".parse().expect("a worker"),
        born: 1_700_000_000_123,
        address: address(),
        spec: "text".to_string(),
        saved: "00ff".to_string(),
        ticket: "t".to_string(),
        deadline: 99_000,
        fence: Fence(12),
        planned_at: Millis::ZERO,
    }))
}

fn poll() -> Call {
    let request = PollRequest {
        address: address(),
        deadline: Some(8),
        acked_end: 5,
        wait: Millis(1_000),
        fence: Fence(12),
    };
    Call::Poll("w1".parse().expect("a worker"), request)
}

fn stop() -> Call {
    Call::Stop(StopRequest {
        task: task(),
        run: RunNumber(4),
        worker: "w1".parse().expect("a worker"),
        address: address(),
        fence: Fence(12),
    })
}

fn throttle() -> Call {
    Call::Throttle(ThrottleRequest {
        task: task(),
        run: RunNumber(4),
        percent: 30,
        worker: "w1".parse().expect("a worker"),
        address: address(),
        fence: Fence(12),
    })
}

#[parameterized(
    starting = { start() },
    polling = { poll() },
    stopping = { stop() },
    throttling = { throttle() },
)]
fn calls_survive_encoding(call: Call) {
    let envelope = Envelope {
        sent: Millis(1_700_000_000_999),
        call,
    };
    let data = envelope.encode().expect("encodes");
    assert_eq!(Envelope::decode(&data), Ok(envelope));
}

fn report(kinds: Vec<EndKind>) -> Response {
    let ended = kinds.into_iter().enumerate().map(|(num, kind)| EndedRun {
        number: num as u64,
        task: task(),
        run: RunNumber(2),
        kind,
        saved: "0a".to_string(),
    });
    Response::Report(Report {
        born: Some(5),
        clock: 77,
        running: vec![ActiveRun {
            task: task(),
            run: RunNumber(9),
            saved: String::new(),
            percent: 41,
            load: Some(1_200),
        }],
        ended: ended.collect(),
        odd: OddRows::default(),
    })
}

fn odd_report() -> Response {
    let Response::Report(sound) = report(vec![EndKind::Done]) else {
        panic!("not a report")
    };
    let odd = OddRows {
        running: vec![OddRun {
            task: None,
            run: Some(RunNumber(3)),
            why: "no task".to_string(),
        }],
        ended: vec![OddEnd {
            first: 4,
            last: u64::MAX,
            task: Some(task()),
            why: "no kind".to_string(),
        }],
    };
    Response::Report(Report { odd, ..sound })
}

#[parameterized(
    failed = { Response::Failed("why".to_string(), true) },
    fenced = { Response::Fenced },
    refused = { Response::Refused(421) },
    odd_rows = { odd_report() },
    reported = { report(vec![
        EndKind::Alone, EndKind::Broken, EndKind::Done, EndKind::Failed, EndKind::Lapsed,
        EndKind::Stopped,
    ]) },
    accepted = { Response::Started(StartResponse::Accepted(8)) },
    start_fenced = { Response::Started(StartResponse::Fenced) },
    no_ticket = { Response::Started(StartResponse::NoTicket) },
    start_refused = { Response::Started(StartResponse::Refused("room".to_string())) },
    start_unknown = { Response::Started(StartResponse::Unknown("lost".to_string())) },
    stopped = { Response::Stopped(Some(4)) },
    not_stopped = { Response::Stopped(None) },
    throttled = { Response::Throttled(true) },
)]
fn responses_survive_encoding(response: Response) {
    let data = response.encode().expect("encodes");
    assert_eq!(Response::decode(&data), Ok(response));
}

#[test]
fn damaged_messages_are_errors() {
    let data = Envelope {
        sent: Millis(1),
        call: start(),
    };
    let data = data.encode().expect("encodes");
    for end in 0..data.len() {
        assert!(Envelope::decode(&data[..end]).is_err());
        assert!(Response::decode(&data[..end]).is_err());
    }
}

/// Guards against a message nested so deep that it uses up the stack.
#[test]
fn deeply_nested_messages_are_errors() {
    let nested = |start: u8| [vec![0x82, 0x01], vec![start; 1 << 20]].concat();
    // Arrays of one element, tables of one field, and tags.
    for start in [0x81, 0xa1, 0xc1] {
        let data = nested(start);
        let thread = std::thread::Builder::new().stack_size(512 << 10);
        let decoded = thread.spawn(move || {
            let call = Envelope::decode(&data).is_err();
            call && Response::decode(&data).is_err() && Response::decode(&data[2..]).is_err()
        });
        let decoded = decoded.expect("a thread").join();
        assert_eq!(decoded.ok(), Some(true), "{start:x}");
    }
}

/// Failure: a delegate that was suspended for seconds started tasks whose coordinator had long
/// given up on them.
#[test]
fn calls_from_before_a_suspension_are_rejected() {
    let offset = Millis(300_000);
    let mut ages = AgeFilter::default();
    let mut accept =
        |sent: u64, took: u64| ages.accept(Millis(sent), Millis(sent + took) + offset, false);
    assert!(accept(1_000_000, 5));
    assert!(accept(1_000_100, 700), "a slow link is no suspension");
    assert!(!accept(1_000_200, 4_000));
    assert!(!accept(1_000_300, 3_900));
    assert!(accept(1_004_300, 6), "calls sent later are current");
}

#[test]
fn a_clock_that_was_set_does_not_stop_calls_for_long() {
    let mut ages = AgeFilter::default();
    assert!(ages.accept(Millis(1_000_000), Millis(1_000_004), false));
    let step = 60_000;
    let mut accepted_at = None;
    for at in (0..10_000).step_by(100) {
        let sent = Millis(1_000_100 + at);
        if ages.accept(sent, Millis(sent.0 + 4 + step), false) {
            accepted_at.get_or_insert(at);
        }
    }
    assert!(accepted_at.is_some_and(|at| at < 5_000), "{accepted_at:?}");
}

/// Failure: the age of a link's first call is not known, and a delegate that was suspended as the link
/// came up carried its first calls out seconds late. So did one whose clock was set back meanwhile.
#[test]
fn calls_that_waited_for_a_stalled_delegate_are_rejected() {
    let mut ages = AgeFilter::default();
    let sent = Millis(1_000_000);
    assert!(!ages.accept(sent, sent + Millis(4_000), true), "first call");
    let later = sent + Millis(5_000);
    assert!(ages.accept(later, later + Millis(5), false));
    let late = later + Millis(3_000);
    assert!(!ages.accept(later, late - Millis(3_000), true), "clock set");
    assert!(ages.accept(late, late + Millis(5), false));
    assert!(!ages.accept(late, late + Millis(4_000), false));
}
