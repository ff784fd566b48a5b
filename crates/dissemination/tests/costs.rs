//! Sizes of the messages that are sent four times a second, against the traffic budget of the design.

use dissemination::frame::{encode, size};
use dissemination::message::{Ack, Beat, Message};
use dissemination::{Content, ControlId, Piece, StreamId};
use std::rc::Rc;

fn streams() -> impl Iterator<Item = StreamId> {
    (0..5).map(|store| StreamId { topic: 0, store: ControlId(store) })
}

/// 190 purges a second in four batches: 48 changes of 6 bytes each from five stores, numbered as after a day
/// of traffic.
fn batch() -> Message {
    let piece = |(n, stream): (usize, StreamId)| {
        let bytes: Rc<[u8]> = Rc::from(vec![7u8; 6 * (9 + usize::from(n < 3))]);
        Piece { stream, after: 3_000_000, digest: u32::MAX, content: Content::Even { width: 6, bytes } }
    };
    Message::Batch(streams().enumerate().map(piece).collect())
}

#[test]
fn message_sizes_fit_the_traffic_budget() {
    let gains = || streams().map(|s| (s, 10)).collect::<Vec<_>>();
    let batch = size(&batch());
    let beat = size(&Message::Beat(Beat { echo: 100_000, age: Some(700), gains: vec![] }));
    let second = size(&Message::Beat(Beat { echo: 100_000, age: Some(700), gains: gains() }));
    let ack = size(&Message::Ack(Ack { primary: true, challenge: 100_000, gains: gains(), refused: vec![] }));
    let quiet =
        size(&Message::Ack(Ack { primary: false, challenge: 100_000, gains: vec![], refused: vec![] }));
    println!("a batch of 48 changes of 6 bytes: {batch} B; a beat: {beat} B, of a secondary {second} B");
    println!("an ack: {ack} B, to a secondary {quiet} B");
    let a_second = 4 * (batch + beat + second + ack) + 2 * quiet;
    println!("in and out in a second: {a_second} B of 2048, before TCP and IP");
    assert!(batch <= 48 * 6 + 5 * 14 + 5, "{batch}");
    assert!(beat <= 12 && second <= 24 && ack <= 24 && quiet <= 12);
    assert!(a_second <= 2048);
    assert_eq!(encode(&self::batch()).expect("within bounds").len(), batch);
}
