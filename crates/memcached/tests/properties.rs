//! Property tests of the codec on generated frames, on a corpus of hostile input, and on random mutations of
//! that corpus.

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

/// Encoded frames of a connection.
fn frames() -> impl Strategy<Value = Vec<u8>> {
    let parts = (vec(any::<u8>(), 0..24), vec(any::<u8>(), 0..=250), vec(any::<u8>(), 0..600));
    let numbers = (any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>());
    let one = (any::<bool>(), numbers, parts).prop_map(|(is_request, (opcode, two, opaque, cas), parts)| {
        let (extras, key, value) = (&parts.0[..], &parts.1[..], &parts.2[..]);
        let (opcode, mut out) = (Opcode(opcode), Vec::new());
        let written = match is_request {
            true => Request { opcode, vbucket: two, opaque, cas, extras, key, value }.put(&mut out),
            false => Response { opcode, status: Status(two), opaque, cas, extras, key, value }.put(&mut out),
        };
        written.expect("the lengths fit");
        out
    });
    vec(one, 0..6).prop_map(|frames| frames.concat())
}

/// A fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(13);
    ProptestConfig { cases: 400, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_decode_the_same_in_any_pieces(bytes in frames(), lengths in vec(any::<u8>(), 1..9)) {
        check_invariants(&bytes, &lengths);
    }

    #[test]
    fn arbitrary_bytes_decode_the_same_in_any_pieces(
        first in prop_oneof![Just(0x80u8), Just(0x81)],
        bytes in vec(any::<u8>(), 0..200),
        lengths in vec(any::<u8>(), 1..9),
    ) {
        check_invariants(&[&[first], &bytes[..]].concat(), &lengths);
    }

    #[test]
    fn a_request_survives_encoding_and_decoding(
        (opcode, vbucket, opaque, cas) in (any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>()),
        extras in vec(any::<u8>(), 0..=255),
        key in vec(any::<u8>(), 0..=250),
        value in vec(any::<u8>(), 0..=4096),
    ) {
        let opcode = Opcode(opcode);
        let request = Request { opcode, vbucket, opaque, cas, extras: &extras, key: &key, value: &value };
        let mut out = Vec::new();
        request.put(&mut out).expect("the lengths fit");
        prop_assert_eq!(frame::request(&out, &LIMITS), Ok(Step::Complete(request, out.len())));
        prop_assert!(out.len() <= LIMITS.max_frame_len());
    }

    /// Lengths beyond the limits must be rejected on the header alone, without waiting for the body.
    #[test]
    fn hostile_lengths_are_rejected_on_the_header_alone(
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
            Ok(Step::Incomplete(n)) =>
                prop_assert!(n == header::LEN + body as usize && n <= LIMITS.max_frame_len()),
            Ok(Step::Complete(_, n)) => prop_assert!(n == header::LEN && body == 0),
            Err(other) => prop_assert!(false, "{:?}", other),
        }
    }
}

/// Replays the fuzz target's corpus, so that inputs that once failed are tested in every build: each file
/// unchanged, and with 200 seeded random mutations.
#[rstest]
fn corpus_files_and_their_mutations_keep_the_invariants(
    #[files("../../fuzz/corpus/memcached/*")] path: PathBuf,
) {
    let bytes = std::fs::read(&path).expect("a readable corpus file");
    check_invariants(&bytes, &[3, 1, 40]);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(0x6d63);
    for _ in 0..200 {
        let mut mutated = bytes.clone();
        for _ in 0..random.random_range(1..4) {
            let (at, byte) = (random.random_range(0..=mutated.len()), random.random());
            match random.random_range(0..3) {
                0 => mutated.insert(at, byte),
                1 if at < mutated.len() => mutated[at] = byte,
                _ => mutated.truncate(at),
            }
        }
        let mut lengths = [0; 4];
        random.fill_bytes(&mut lengths);
        check_invariants(&mutated, &lengths);
    }
}
