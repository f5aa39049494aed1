//! Choice between two links, and the queue of a peer.

mod common;

use bytes::Bytes;
use common::vm;
use link::decode;
use link::encode;
use link::judge;
use link::LinkId;
use link::Outbox;
use link::Packet;
use link::SendError;
use link::Topic;
use link::Verdict;
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
    both_at_once_lower = { id("b", 9), id("a", 3), None, Verdict::Replace },
    both_at_once_higher = { id("a", 3), id("b", 9), None, Verdict::Keep },
    given_up = { id("a", 3), id("a", 4), None, Verdict::Replace },
    late_copy = { id("a", 4), id("a", 3), None, Verdict::Keep },
    lost = { id("a", 3), id("b", 9), Some(3), Verdict::Replace },
    lost_another = { id("a", 3), id("b", 9), Some(2), Verdict::Keep },
)]
fn chooses(existing: LinkId, new: LinkId, lost: Option<u64>, expected: Verdict) {
    assert_eq!(judge(&existing, &new, lost), expected);
}

/// Both ends see the two links in either order and are left with the same one.
#[test]
fn both_ends_choose_alike() {
    let (one, two) = (id("a", 3), id("b", 9));
    let settle = |first: &LinkId, second: &LinkId| match judge(first, second, None) {
        Verdict::Keep => first.clone(),
        Verdict::Replace => second.clone(),
    };
    assert_eq!(settle(&one, &two), settle(&two, &one));
}

#[parameterized(one = { 1 }, two = { 2 })]
fn the_queue_keeps_order_and_bounds(seed: u64) {
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
fn packets_survive_the_wire() {
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
    let most: usize = packets.iter().map(Packet::size).sum();
    assert!(frame.len() <= most);
    assert_eq!(decode(&frame).unwrap(), packets);
}

/// Any change of a frame gives packets or an error, never a panic.
#[test]
fn changed_frames_are_handled() {
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
