//! Duplicate links, the send queue of a peer and the encoding of packets.

mod common;

use bytes::Bytes;
use common::vm;
use link::decode;
use link::encode;
use link::resolve_duplicate;
use link::LinkId;
use link::Outbox;
use link::Packet;
use link::Resolution;
use link::SendError;
use link::Topic;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

fn id(dialer: &str, number: u64) -> LinkId {
    LinkId {
        dialer: vm(dialer),
        number,
    }
}

#[parameterized(
    both_at_once_lower = { id("b", 9), id("a", 3), None, Resolution::Replace },
    both_at_once_higher = { id("a", 3), id("b", 9), None, Resolution::Keep },
    redialed = { id("a", 3), id("a", 4), None, Resolution::Replace },
    older_number = { id("a", 4), id("a", 3), None, Resolution::Keep },
    lost = { id("a", 3), id("b", 9), Some(3), Resolution::Replace },
    lost_other_link = { id("a", 3), id("b", 9), Some(2), Resolution::Keep },
)]
fn duplicate_links_are_resolved(
    existing: LinkId,
    new: LinkId,
    lost: Option<u64>,
    expected: Resolution,
) {
    assert_eq!(resolve_duplicate(&existing, &new, lost), expected);
}

/// The two ends may see two simultaneous links in different order and must keep the same one.
#[test]
fn both_ends_keep_the_same_link() {
    let (one, two) = (id("a", 3), id("b", 9));
    let kept = |first: &LinkId, second: &LinkId| match resolve_duplicate(first, second, None) {
        Resolution::Keep => first.clone(),
        Resolution::Replace => second.clone(),
    };
    assert_eq!(kept(&one, &two), kept(&two, &one));
}

#[parameterized(one = { 1 }, two = { 2 })]
fn the_outbox_keeps_order_and_limits(seed: u64) {
    const LIMIT: usize = 300_000;
    const FRAME: usize = 100_000;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut outbox = Outbox::new(LIMIT, FRAME);
    let (mut pushed, mut taken) = (0, 0);
    for _ in 0..20_000 {
        let size = rng.random_range(0..FRAME * 11 / 10) >> rng.random_range(0..12);
        let packet = Packet::Reply {
            id: pushed,
            body: Bytes::from(vec![0; size]),
        };
        match outbox.push(packet) {
            Ok(()) => pushed += 1,
            Err(SendError::Full) => assert!(outbox.bytes() + size + 100 > LIMIT),
            Err(SendError::TooLarge) => assert!(size + 100 > FRAME),
            Err(other) => panic!("{other}"),
        }
        outbox.check().unwrap();
        if rng.random_range(0..8) == 0 {
            let batch = outbox.take();
            assert!(encode(&batch).unwrap().len() <= FRAME);
            for packet in batch {
                assert!(matches!(packet, Packet::Reply { id, .. } if id == taken));
                taken += 1;
            }
            outbox.check().unwrap();
        }
    }
    assert!(taken > 1_000);
}

#[test]
fn packets_round_trip() {
    let body = Bytes::from_static(b"\x00\xffbody");
    let topic = Topic(u16::MAX);
    let id = u64::MAX;
    let packets = vec![
        Packet::Message {
            topic,
            body: body.clone(),
        },
        Packet::NoReply { id },
        Packet::Reply {
            id,
            body: body.clone(),
        },
        Packet::Request { id, topic, body },
    ];
    let frame = encode(&packets).unwrap();
    let max: usize = packets.iter().map(Packet::size).sum();
    assert!(frame.len() <= max);
    assert_eq!(decode(&frame).unwrap(), packets);
}

/// A corrupted or truncated frame decodes to packets or an error, never a panic.
#[test]
fn corrupted_frames_never_panic() {
    let packet = Packet::Request {
        id: 77,
        topic: Topic(1),
        body: Bytes::from_static(b"abc"),
    };
    let frame = encode(&[packet.clone(), packet]).unwrap();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..20_000 {
        let mut data = frame.to_vec();
        let at = rng.random_range(0..data.len());
        data[at] = rng.random();
        data.truncate(rng.random_range(0..=frame.len()));
        let _ = decode(&data);
    }
    assert!(decode(&frame[..frame.len() - 1]).is_err());
}
