//! Frames: every message round-trips, garbage is refused, and nothing beyond the bounds is buffered.

use dissemination::change::{self, Content, Entry, Fit, Head, Piece, Position};
use dissemination::frame::{encode, refusal, size, CloseReason, Reader, VERSION};
use dissemination::message::{Ack, Beat, Hello, Message, StatusReport};
use dissemination::{bounds, ControlId, FollowerId, StreamId};
use proptest::collection::vec;
use proptest::prelude::*;
use std::rc::Rc;

fn stream() -> impl Strategy<Value = StreamId> {
    any::<u8>().prop_map(StreamId::from)
}

fn bytes(most: usize) -> impl Strategy<Value = Rc<[u8]>> {
    vec(any::<u8>(), 0..=most).prop_map(Rc::from)
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..300u64, 0..=bounds::MAX_NUMBER]
}

fn names() -> impl Strategy<Value = Vec<FollowerId>> {
    vec(any::<u64>().prop_map(FollowerId), 0..20)
}

fn gains() -> impl Strategy<Value = Vec<(StreamId, u64)>> {
    vec((stream(), any::<u64>()), 0..12)
}

fn entries() -> impl Strategy<Value = Content> {
    vec((1..9u32, any::<u32>(), any::<u32>(), bytes(30)), 1..9).prop_map(|raw| {
        let mut at = 0;
        let entries: Vec<Entry> = raw
            .into_iter()
            .map(|(step, key, digest, body)| {
                at += step;
                Entry { offset: at, key, digest, body }
            })
            .collect();
        Content::Entries { check: change::entries_checksum(&entries), entries }
    })
}

fn piece() -> impl Strategy<Value = Piece> {
    let even = (1..9u8, 1..9usize, any::<u8>()).prop_map(|(width, n, b)| Content::Even {
        width,
        bytes: Rc::from(std::vec![b; usize::from(width) * n]),
    });
    let part = (bytes(50), 0..50u16, any::<u32>()).prop_map(|(b, offset, check)| {
        let bytes = if b.is_empty() { Rc::from([1u8]) } else { b };
        let whole = offset + bytes.len() as u16;
        Content::Part { number: bounds::MAX_NUMBER, key: check, whole, offset, check, bytes }
    });
    let content = prop_oneof![
        even,
        vec(bytes(40), 1..6).prop_map(Content::Bodies),
        Just(Content::Mark { upto: bounds::MAX_NUMBER }),
        entries(),
        part,
    ];
    (stream(), 0..bounds::MAX_NUMBER, any::<u32>(), content)
        .prop_map(|(stream, after, digest, content)| Piece { stream, after, digest, content })
}

fn message() -> impl Strategy<Value = Message> {
    let heads = vec((stream(), number(), any::<u32>()), 0..12)
        .prop_map(|h| h.into_iter().map(|(s, number, digest)| (s, Head { number, digest })).collect());
    let hello = (any::<u32>(), any::<u64>(), any::<u64>(), any::<bool>(), any::<u32>(), heads).prop_map(
        |(epoch, id, life, primary, challenge, heads)| {
            Message::Hello(Hello { epoch, id: FollowerId(id), life, primary, challenge, heads })
        },
    );
    let ack = (any::<bool>(), any::<u32>(), gains(), vec((stream(), number()), 0..9)).prop_map(
        |(primary, challenge, gains, refused)| Message::Ack(Ack { primary, challenge, gains, refused }),
    );
    let beat = (any::<u32>(), any::<Option<u32>>(), gains())
        .prop_map(|(echo, age, gains)| Message::Beat(Beat { echo, age, gains }));
    let status = (any::<u32>(), any::<(bool, bool)>(), names(), names(), vec(0..64u8, 0..9)).prop_map(
        |(n, (committed, lapsed), missing, refused, unheard)| {
            let unheard = unheard.into_iter().map(ControlId).collect();
            Message::Told(StatusReport {
                token: n,
                committed,
                since: n,
                followers: n,
                have: n,
                lapsed,
                missing,
                refused,
                unheard,
            })
        },
    );
    let position = gains().prop_map(|g| -> Position { g.into_iter().map(|(s, n)| (s, n >> 12)).collect() });
    prop_oneof![
        vec(piece(), 0..6).prop_map(Message::Batch),
        hello,
        ack,
        beat,
        status,
        (any::<u32>(), 0..64u8).prop_map(|(epoch, c)| Message::Welcome { epoch, control: ControlId(c) }),
        (stream(), number()).prop_map(|(stream, after)| Message::Pull { stream, after }),
        (stream(), number()).prop_map(|(stream, number)| Message::Differs { stream, number }),
        (any::<u32>(), 0..64u8).prop_map(|(epoch, c)| Message::Control { epoch, id: ControlId(c) }),
        any::<u32>().prop_map(|token| Message::Poll { token }),
        (any::<u32>(), any::<bool>(), position).prop_map(|(token, counts, position)| Message::Polled {
            token,
            counts,
            position
        }),
        (stream(), number()).prop_map(|(stream, number)| Message::Holds { stream, number }),
        (any::<u32>(), stream(), number()).prop_map(|(token, stream, number)| Message::Count {
            token,
            stream,
            number
        }),
        (any::<u32>(), names(), names(), any::<bool>())
            .prop_map(|(token, have, refused, last)| Message::Counted { token, have, refused, last }),
        (any::<u32>(), 0..4u8, any::<u32>(), bytes(100))
            .prop_map(|(token, topic, key, body)| Message::Submit { token, topic, key, body }),
        (any::<u32>(), stream(), number()).prop_map(|(token, stream, number)| Message::Submitted {
            token,
            stream,
            number
        }),
        any::<(u32, u32)>().prop_map(|(token, after)| Message::Busy { token, after }),
        (any::<u32>(), stream(), number(), any::<u64>()).prop_map(|(token, stream, number, from)| {
            Message::Status { token, stream, number, from: FollowerId(from) }
        }),
    ]
}

proptest! {
    #[test]
    fn messages_round_trip_however_the_bytes_are_split(
        messages in vec(message(), 1..5),
        cuts in vec(1..40usize, 1..9)
    ) {
        let frames: Vec<Vec<u8>> = messages.iter().map(|m| encode(m).expect("within bounds")).collect();
        for (m, f) in messages.iter().zip(&frames) {
            prop_assert_eq!(size(m), f.len());
        }
        let stream: Vec<u8> = frames.concat();
        let (mut reader, mut read, mut at) = (Reader::default(), vec![], 0);
        for cut in cuts.iter().cycle() {
            let mut part = &stream[at..(at + cut).min(stream.len())];
            at += part.len();
            while let Some(message) = reader.read(&mut part).expect("valid frames") {
                read.push(message);
            }
            prop_assert!(part.is_empty());
            if at == stream.len() {
                break;
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert_eq!(reader.buffered(), 0);
    }

    #[test]
    fn garbage_is_refused_or_within_bounds(bytes in vec(any::<u8>(), 0..600)) {
        let (mut reader, mut rest) = (Reader::default(), &bytes[..]);
        loop {
            match reader.read(&mut rest) {
                Ok(Some(message)) => prop_assert_eq!(message.check(), Ok(())),
                Ok(None) => break,
                Err(reason) => {
                    prop_assert_eq!(reader.read(&mut rest), Err(reason), "the error is permanent");
                    prop_assert_eq!(reader.buffered(), 0);
                    break;
                }
            }
            prop_assert!(reader.buffered() <= bytes.len());
        }
    }

    #[test]
    fn a_wrong_byte_does_not_panic(
        message in message(),
        at in any::<prop::sample::Index>(),
        to in any::<u8>()
    ) {
        let mut bytes = encode(&message).expect("within bounds");
        let at = at.index(bytes.len());
        bytes[at] = to;
        if let Ok(Some(Message::Batch(pieces))) = Reader::default().read(&mut &bytes[..]) {
            for piece in pieces {
                let head = Head { number: piece.after.saturating_add(1), digest: 1 };
                let fits = matches!(
                    piece.continue_from(head),
                    Fit::Continues(p, h) if p.upto() <= piece.upto() && h.number == p.upto()
                );
                prop_assert!(fits || !matches!(piece.continue_from(head), Fit::Continues(..)));
                prop_assert!(piece.changes().count() <= bounds::MAX_CHANGES);
            }
        }
    }

    #[test]
    fn an_overlapping_piece_is_reduced_to_its_new_changes(
        widths in vec(1..9usize, 1..12),
        skip in 0..12usize,
        register: bool
    ) {
        let bodies: Vec<Rc<[u8]>> = widths.iter().map(|w| Rc::from(vec![*w as u8; *w])).collect();
        let heads: Vec<Head> = bodies.iter().enumerate().scan(Head { number: 7, digest: 3 }, |at, (i, b)| {
            *at = at.advance(if register { i as u32 } else { 0 }, b);
            Some(*at)
        }).collect();
        let content = if register {
            let numbered = bodies.iter().zip(&heads).zip(0..);
            let entries: Vec<Entry> = numbered
                .map(|((b, h), i)| Entry { offset: i + 1, key: i, digest: h.digest, body: b.clone() })
                .collect();
            Content::Entries { check: change::entries_checksum(&entries), entries }
        } else {
            Content::Bodies(bodies.clone())
        };
        let last = *heads.last().expect("at least one");
        let piece = Piece { stream: StreamId::from(3), after: 7, digest: last.digest, content };
        prop_assert_eq!(piece.check(), Ok(()));
        let skip = skip.min(bodies.len());
        let from = if skip == 0 { Head { number: 7, digest: 3 } } else { heads[skip - 1] };
        match piece.continue_from(from) {
            Fit::AlreadyHeld => prop_assert_eq!(skip, bodies.len()),
            Fit::Continues(new, end) => {
                prop_assert_eq!(end, last);
                prop_assert_eq!(new.check(), Ok(()));
                let got: Vec<(u64, Vec<u8>)> = new.changes().map(|(n, _, b)| (n, b.to_vec())).collect();
                let want: Vec<(u64, Vec<u8>)> = (8..).zip(bodies.iter().map(|b| b.to_vec())).skip(skip).collect();
                prop_assert_eq!(got, want);
            }
            other => prop_assert!(false, "{other:?}"),
        }
        let other = Head { digest: from.digest ^ 1, ..from };
        prop_assert_eq!(piece.continue_from(other), Fit::Mismatch);
    }
}

#[test]
fn headers_are_small_and_lengths_use_the_shortest_encoding() {
    let beat =
        encode(&Message::Beat(Beat { echo: 9, age: Some(300), gains: vec![] })).expect("within bounds");
    assert_eq!(beat.len(), 2 + 1 + 1 + 3 + 1);
    assert_eq!(beat[0], beat.len() as u8 - 1);
    assert_eq!(beat[1], VERSION);
    // The same length encoded in two bytes is invalid.
    let mut long = vec![beat[0] | 0x80, 0];
    long.extend(&beat[1..]);
    assert_eq!(Reader::default().read(&mut &long[..]), Err(CloseReason::Length(u32::from(beat[0]))));
    assert_eq!(Reader::default().read(&mut &[0u8][..]), Err(CloseReason::Length(0)));
    assert_eq!(Reader::default().read(&mut &[0xff, 0xff, 0xff][..]), Err(CloseReason::Length((1 << 21) - 1)));
    let over = bounds::MAX_FRAME_BYTES as u32 + 1;
    let bytes = [over as u8 | 0x80, (over >> 7) as u8 | 0x80, (over >> 14) as u8];
    assert_eq!(Reader::default().read(&mut &bytes[..]), Err(CloseReason::Length(over)));
}

#[test]
fn a_refusal_is_decoded_and_other_versions_are_refused() {
    let bytes = refusal(&CloseReason::NoCapacity);
    let reason = Reader::default().read(&mut &bytes[..]);
    assert_eq!(reason, Err(CloseReason::ByPeer(CloseReason::NoCapacity.to_string())));
    let long = refusal(&CloseReason::ByPeer("é".repeat(4000)));
    assert!(long.len() <= bounds::MAX_REASON_BYTES + 4);
    assert!(matches!(Reader::default().read(&mut &long[..]), Err(CloseReason::ByPeer(_))));
    assert_eq!(Reader::default().read(&mut &[200, 1, 7][..]), Err(CloseReason::Version(7)));
}

#[test]
fn messages_beyond_bounds_are_not_encoded() {
    let body: Rc<[u8]> = Rc::from(vec![0; bounds::MAX_BODY_BYTES + 1]);
    let submit = Message::Submit { token: 0, topic: 0, key: 0, body: body.clone() };
    assert_eq!(encode(&submit), Err(CloseReason::Bounds("a change too large")));
    let piece =
        |content| Message::Batch(vec![Piece { stream: StreamId::from(0), after: 5, digest: 0, content }]);
    let bad = [
        Content::Even { width: 0, bytes: Rc::from([1u8]) },
        Content::Even { width: 2, bytes: Rc::from([1u8; 3]) },
        Content::Bodies(vec![]),
        Content::Bodies(vec![body]),
        Content::Mark { upto: 5 },
        Content::Mark { upto: bounds::MAX_NUMBER + 1 },
        Content::Entries { check: 0, entries: vec![] },
        Content::Entries {
            check: 0,
            entries: vec![
                Entry { offset: 2, key: 0, digest: 0, body: Rc::from([]) },
                Entry { offset: 2, key: 0, digest: 0, body: Rc::from([]) },
            ],
        },
        Content::Part { number: 6, key: 0, whole: 4, offset: 3, check: 0, bytes: Rc::from([1u8, 2]) },
        Content::Part { number: 5, key: 0, whole: 4, offset: 0, check: 0, bytes: Rc::from([1u8]) },
    ];
    for content in bad {
        let message = piece(content);
        assert!(matches!(encode(&message), Err(CloseReason::Bounds(_))), "{message:?}");
    }
}
