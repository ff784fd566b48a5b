//! The codec under any bytes: generated frames, a corpus of hostile ones, and both of them spoilt at random.

mod invariants;

use invariants::{check_invariants, LIMITS};
use memcached::{frame, header, Fault, Header, Magic, Opcode, Request, Response, Status, Step};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;
use std::path::PathBuf;

/// The frames of a connection, as they are written.
fn frames() -> impl Strategy<Value = Vec<u8>> {
    let parts = (vec(any::<u8>(), 0..24), vec(any::<u8>(), 0..=250), vec(any::<u8>(), 0..600));
    let numbers = (any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>());
    let one = (any::<bool>(), numbers, parts).prop_map(|(asks, (opcode, two, opaque, cas), parts)| {
        let (extras, key, value) = (&parts.0[..], &parts.1[..], &parts.2[..]);
        let (opcode, mut out) = (Opcode(opcode), Vec::new());
        let written = match asks {
            true => Request { opcode, vbucket: two, opaque, cas, extras, key, value }.put(&mut out),
            false => Response { opcode, status: Status(two), opaque, cas, extras, key, value }.put(&mut out),
        };
        written.expect("it fits");
        out
    });
    vec(one, 0..6).prop_map(|frames| frames.concat())
}

/// The same cases in each run.
fn settings() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(13);
    ProptestConfig { cases: 400, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn any_split_of_frames_gives_the_same_frames(bytes in frames(), lengths in vec(any::<u8>(), 1..9)) {
        check_invariants(&bytes, &lengths);
    }

    #[test]
    fn any_bytes_at_all_are_read_the_same_way_in_any_pieces(
        first in prop_oneof![Just(0x80u8), Just(0x81)],
        bytes in vec(any::<u8>(), 0..200),
        lengths in vec(any::<u8>(), 1..9),
    ) {
        check_invariants(&[&[first], &bytes[..]].concat(), &lengths);
    }

    #[test]
    fn a_request_is_read_as_it_was_written(
        (opcode, vbucket, opaque, cas) in (any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>()),
        extras in vec(any::<u8>(), 0..=255),
        key in vec(any::<u8>(), 0..=250),
        value in vec(any::<u8>(), 0..=4096),
    ) {
        let opcode = Opcode(opcode);
        let request = Request { opcode, vbucket, opaque, cas, extras: &extras, key: &key, value: &value };
        let mut out = Vec::new();
        request.put(&mut out).expect("it fits");
        prop_assert_eq!(frame::request(&out, &LIMITS), Ok(Step::Complete(request, out.len())));
        prop_assert!(out.len() <= LIMITS.max_frame_len());
    }

    /// Whoever announces too much is told so by its header alone: nothing of the body is waited for.
    #[test]
    fn hostile_lengths_are_told_by_the_header(
        key in any::<u16>(), extras in any::<u8>(), body in prop_oneof![any::<u32>(), 0u32..6000],
    ) {
        let header = Header { key, extras, body, ..Header::default() };
        let mut bytes = Vec::new();
        header.put(Magic::Request, &mut bytes);
        let value = i64::from(body) - i64::from(extras) - i64::from(key);
        match frame::request(&bytes, &LIMITS) {
            Err(Fault::Lengths(h)) => prop_assert!(value < 0 && h == header),
            Err(Fault::Refused(_, Status::TOO_LARGE, _)) => prop_assert!(value > 4096 && key <= 250),
            Err(Fault::Refused(_, Status::INVALID, _)) => prop_assert!(value >= 0 && key > 250),
            Ok(Step::Incomplete(n)) => prop_assert!(n == header::LEN + body as usize && n <= LIMITS.max_frame_len()),
            Ok(Step::Complete(_, n)) => prop_assert!(n == header::LEN && body == 0),
            Err(other) => prop_assert!(false, "{:?}", other),
        }
    }
}

/// A bounded run of the fuzz target's corpus, so that what it once found is looked at with every build: each
/// file as it is, and spoilt in some hundred ways by a seed.
#[rstest]
fn nothing_in_the_corpus_breaks_it(#[files("../../fuzz/corpus/memcached/*")] path: PathBuf) {
    let bytes = std::fs::read(&path).expect("a file of the corpus");
    check_invariants(&bytes, &[3, 1, 40]);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(0x6d63);
    for _ in 0..200 {
        let mut spoilt = bytes.clone();
        for _ in 0..random.random_range(1..4) {
            let (at, byte) = (random.random_range(0..=spoilt.len()), random.random());
            match random.random_range(0..3) {
                0 => spoilt.insert(at, byte),
                1 if at < spoilt.len() => spoilt[at] = byte,
                _ => spoilt.truncate(at),
            }
        }
        let mut lengths = [0; 4];
        random.fill_bytes(&mut lengths);
        check_invariants(&spoilt, &lengths);
    }
}
