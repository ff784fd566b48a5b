//! Framing: round trips of any message under any split, and handling of invalid bytes.

use plan::frame::{encode, refusal, Reader, Refused, VERSION};
use plan::message::*;
use plan::moments::Moments;
use plan::{bounds, ForwarderId, Node, PlanNumber, Zone, ZoneSet};
use proptest::prelude::*;

fn number() -> impl Strategy<Value = PlanNumber> {
    (0..bounds::EPOCH, any::<u64>()).prop_map(|(epoch, count)| PlanNumber { epoch, count })
}

fn node() -> impl Strategy<Value = Node> {
    (any::<u64>(), any::<u64>()).prop_map(|(id, life)| Node { id, life })
}

fn moments() -> impl Strategy<Value = Moments> {
    prop::collection::vec(0..2000u16, 0..5).prop_map(|samples| {
        let mut m = Moments::default();
        samples.iter().for_each(|s| m.add(f64::from(*s)));
        m
    })
}

fn node_report() -> impl Strategy<Value = NodeReport> {
    let ages = (any::<Option<u32>>(), any::<Option<u32>>(), any::<Option<u32>>());
    let load = prop::option::of((0.0f32..16.0, any::<u32>()));
    (node(), 0..64u8, any::<(u32, [u32; VERDICT_COUNT], u32)>(), moments(), moments(), ages, load).prop_map(
        |(node, zone, (sends, ends, unanswered), gaps, service, (sent, sign, quiet), load)| {
            let zone = Zone(zone);
            NodeReport { node, zone, sends, ends, gaps, service, sent, sign, quiet, unanswered, load }
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let report = (any::<u64>(), number(), prop::collection::vec(node_report(), 0..20)).prop_map(
        |(number, holds, nodes)| {
            Message::Report(Report { number, holds, parts: holds, nodes, ..Report::default() })
        },
    );
    let marks = prop::collection::vec((node(), any::<u32>(), any::<u16>()), 0..20);
    let parts = prop::collection::vec(0.0f32..=1.0, 0..20);
    let plan = (number(), marks, parts, any::<bool>()).prop_map(|(number, marks, tenants, warm)| {
        let mark = |(node, since, witnesses)| Mark { node, zones: ZoneSet::ALL, since, witnesses };
        let parts = Parts { version: number, cold: 0.5, origin: 1.0, tenants };
        let evidence = Evidence { warm, ..Evidence::default() };
        let silent = marks.into_iter().map(mark).collect();
        Message::Plan(Plan { number, evidence, silent, parts, ..Plan::default() })
    });
    let hello = (any::<(u64, u64)>(), 0..64u8, number()).prop_map(|((id, life), zone, holds)| {
        Message::Hello(Hello { forwarder: ForwarderId(id), life, zone: Zone(zone), holds, tenants: 9 })
    });
    prop_oneof![report, plan, hello, Just(Message::Bye), Just(Message::Show)]
}

/// Decodes messages from these bytes, given in pieces; returns them, the error, and the greatest number of
/// buffered bytes.
fn read(mut pieces: Vec<&[u8]>) -> (Vec<Message>, Option<Refused>, usize) {
    let (mut reader, mut got, mut most) = (Reader::default(), vec![], 0);
    for piece in &mut pieces {
        loop {
            let read = reader.read(piece);
            most = most.max(reader.buffered());
            match read {
                Ok(Some(message)) => got.push(message),
                Ok(None) => break,
                Err(why) => return (got, Some(why), most),
            }
        }
    }
    (got, None, most)
}

fn split<'a>(mut bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = vec![];
    for cut in cuts {
        let (piece, rest) = bytes.split_at(cut % (bytes.len() + 1));
        pieces.push(piece);
        bytes = rest;
    }
    pieces.push(bytes);
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn messages_round_trip_under_any_split(
        messages in prop::collection::vec(message(), 1..5),
        cuts in prop::collection::vec(any::<usize>(), 0..30),
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|m| encode(m).expect("within bounds")).collect();
        let (got, refused, most) = read(split(&bytes, &cuts));
        prop_assert_eq!(refused, None);
        prop_assert!(most <= bounds::FRAME + 4);
        prop_assert_eq!(got, messages);
    }

    #[test]
    fn invalid_bytes_never_buffer_more_than_was_received(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
        cuts in prop::collection::vec(any::<usize>(), 0..10),
    ) {
        let (_, _, most) = read(split(&bytes, &cuts));
        prop_assert!(most <= bytes.len());
    }

    #[test]
    fn a_corrupted_frame_yields_a_valid_message_or_an_error(
        message in message(),
        damage in prop::collection::vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encode(&message).expect("within bounds");
        for (at, with) in damage {
            let at = 5 + at % (bytes.len() - 4);
            bytes.get_mut(at).into_iter().for_each(|b| *b = with);
        }
        let (got, refused, _) = read(vec![&bytes]);
        prop_assert!(got.len() == 1 || refused.is_some());
        prop_assert!(got.iter().all(|m| m.check().is_ok()));
    }
}

#[test]
fn an_unsupported_version_is_refused_before_its_body_arrives() {
    let mut bytes = encode(&Message::Bye).expect("within bounds");
    bytes[4] = VERSION + 1;
    let (_, refused, _) = read(vec![&bytes[..5]]);
    assert_eq!(refused, Some(Refused::Version(VERSION + 1)));
    // The reason is readable by peers of any version.
    let reason = refusal(&Refused::Version(VERSION + 1));
    let (_, received, _) = read(vec![&reason]);
    assert_eq!(received, Some(Refused::ByPeer("version 2 is not spoken here, 1 is".into())));
}

#[test]
fn a_frame_with_an_invalid_length_is_refused_by_its_length() {
    for length in [0, bounds::FRAME as u32 + 1, u32::MAX] {
        let (_, refused, most) = read(vec![&length.to_be_bytes(), &[VERSION; 100]]);
        assert_eq!((refused, most), (Some(Refused::Length(length)), 0));
    }
    // A terms message that claims 2^40 entries and contains none.
    let bytes = [0, 0, 0, 10, VERSION, 4, 0, 0, 0x80, 0x80, 0x80, 0x80, 0x80, 0x20];
    assert_eq!(read(vec![&bytes]).1, Some(Refused::Garbage));
}

#[test]
fn values_out_of_range_are_refused() {
    let plan = |part| Plan { parts: Parts { cold: part, ..Parts::default() }, ..Plan::default() };
    for part in [f32::NAN, -0.1, 1.1, f32::INFINITY] {
        assert!(encode(&Message::Plan(plan(part))).is_err(), "{part}");
    }
    let report = |nodes: usize| Report { nodes: vec![NodeReport::default(); nodes], ..Report::default() };
    let longest = encode(&Message::Report(report(bounds::NODES_PER_MESSAGE)));
    assert!(longest.is_ok_and(|b| b.len() <= bounds::FRAME));
    assert!(encode(&Message::Report(report(bounds::NODES_PER_MESSAGE + 1))).is_err());
    // Moments that no samples can have: a sum without samples, a sum of squares below that of the mean, an
    // infinite sum.
    for m in [[0.0, 1.0, 0.0], [2.0, 8.0, 1.0], [1.0, f32::INFINITY, 1.0], [-1.0, 1.0, 1.0]] {
        assert!(Moments::try_from(m).is_err(), "{m:?}");
    }
    assert!(Moments::try_from([2.0, 8.0, 34.0]).is_ok(), "3 and 5");
}
