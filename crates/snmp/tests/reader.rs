//! Tests of the reader: invalid messages are rejected, no input causes a panic, and computed lengths are
//! right.

mod invariants;

use proptest::prelude::*;
use rstest::rstest;
use snmp::message::{binding_len, Community, Kind, Pdu};
use snmp::reader::{check, version, Malformed};
use snmp::{Oid, Value};

/// A message that contains the encoded value.
fn message_with_value(value: &[u8]) -> Vec<u8> {
    let wrap = |tag: u8, parts: &[&[u8]]| {
        let inner = parts.concat();
        let length = [0x82, (inner.len() >> 8) as u8, inner.len() as u8];
        [&[tag], &length[..], &inner].concat()
    };
    let binding = wrap(0x30, &[b"\x06\x03\x2b\x06\x01", value]);
    let numbers = b"\x02\x01\x4d\x02\x01\x00\x02\x01\x00";
    let pdu = wrap(0xa3, &[numbers, &wrap(0x30, &[&binding])]);
    wrap(0x30, &[b"\x02\x01\x01\x04\x06public", &pdu])
}

#[rstest]
#[case::indefinite(b"\x30\x80\x00\x00", "indefinite length")]
#[case::constructed_string(b"\x24\x03\x04\x01a", "element type not used by SNMP")]
#[case::integer_of_40(&[&b"\x02\x28"[..], &[1; 40]].concat(), "number of invalid length")]
#[case::integer_of_none(b"\x02\x00", "number of invalid length")]
#[case::counter_of_10(&[&b"\x46\x0a"[..], &[1; 10]].concat(), "number of invalid length")]
#[case::name_of_200(&[&b"\x06\x81\xc8"[..], &[1; 200]].concat(), "object identifier of too many arcs")]
#[case::name_of_a_large_arc(b"\x06\x06\x2b\x90\x80\x80\x80\x00", "arc of more than 32 bits")]
#[case::name_of_none(b"\x06\x00", "empty or truncated object identifier")]
#[case::name_cut(b"\x06\x02\x2b\x86", "empty or truncated object identifier")]
#[case::name_padded(b"\x06\x03\x2b\x80\x01", "padded arc")]
#[case::null_with_bytes(b"\x05\x01\x00", "element type not used by SNMP")]
#[case::high_tag(b"\x1f\x81\x01\x00", "tag of more than one byte")]
#[case::too_long(b"\x04\x05abc", "element longer than its container")]
#[case::enormous(b"\x04\x84\xff\xff\xff\xff", "element longer than its container")]
#[case::length_of_five(b"\x04\x85\x00\x00\x00\x00\x01a", "length field of too many bytes")]
#[case::deep(b"\x30\x0a\x30\x08\x30\x06\x30\x04\x30\x02\x30\x00", "nesting too deep")]
fn invalid_elements_are_rejected_with_a_reason(#[case] value: &[u8], #[case] why: &'static str) {
    assert_eq!(check(&message_with_value(value)), Err(Malformed(why)));
}

#[test]
fn a_message_fills_the_datagram_and_respects_the_limits() {
    let valid = message_with_value(b"\x05\x00");
    assert_eq!(check(&valid), Ok(()));
    assert_eq!(version(&valid), Ok(1));
    assert_eq!(check(&[&valid[..], b"\x00"].concat()), Err(Malformed("trailing bytes after the message")));
    assert_eq!(check(&vec![0x30; 60_000]), Err(Malformed("datagram too long")));
    let many = [0x05, 0x00].repeat(600);
    let length = [(many.len() >> 8) as u8, many.len() as u8];
    assert_eq!(check(&[&[0x30, 0x82], &length[..], &many].concat()), Err(Malformed("too many elements")));
    for end in 0..valid.len() {
        assert!(check(&valid[..end]).is_err(), "truncated at {end}");
    }
}

fn names() -> impl Strategy<Value = Oid> {
    let arcs = prop::collection::vec(prop_oneof![0..300u32, any::<u32>()], 0..60);
    (0..2u32, 0..40u32, arcs).prop_map(|(a, b, rest)| Oid::new(&[a, b]).expect("two arcs").child(&rest))
}

fn values() -> impl Strategy<Value = Value> {
    prop_oneof![
        any::<i32>().prop_map(Value::Integer),
        prop::collection::vec(any::<u8>(), 0..300).prop_map(Value::Octets),
        names().prop_map(Value::Oid),
        any::<[u8; 4]>().prop_map(Value::Address),
        any::<u32>().prop_map(Value::Counter),
        any::<u32>().prop_map(Value::Gauge),
        any::<u32>().prop_map(Value::Ticks),
        any::<u64>().prop_map(Value::Counter64),
        Just(Value::Unspecified),
        Just(Value::NoSuchObject),
        Just(Value::NoSuchInstance),
        Just(Value::EndOfMibView),
    ]
}

fn messages() -> impl Strategy<Value = Community> {
    let bindings = prop::collection::vec((names(), values()), 0..8);
    let kinds = [Kind::Get, Kind::GetBulk, Kind::Response, Kind::Set, Kind::Inform, Kind::Trap, Kind::Report];
    let kind = prop::sample::select(kinds.to_vec());
    (kind, any::<i32>(), 0..1000u32, 0..1000u32, bindings).prop_map(
        |(kind, request, status, index, bindings)| {
            let pdu = Pdu { kind, request, status, index, bindings };
            Community { community: b"public".to_vec(), pdu }
        },
    )
}

proptest! {
    #[test]
    fn messages_survive_encoding_and_decoding_and_have_the_computed_length(message in messages()) {
        let bytes = message.bytes();
        prop_assert_eq!(check(&bytes), Ok(()));
        let without = Pdu { bindings: Vec::new(), ..message.pdu.clone() };
        let without = Community { pdu: without, ..message.clone() }.bytes().len();
        let bindings: usize = message.pdu.bindings.iter().map(|(n, v)| binding_len(n, v)).sum();
        // The length fields of the three enclosing levels may each take two more bytes.
        prop_assert!((without + bindings..=without + bindings + 6).contains(&bytes.len()));
        prop_assert_eq!(Community::read(&bytes).expect("a message"), message);
    }

    #[test]
    fn a_mutated_message_keeps_the_invariants(
        message in messages(),
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = message.bytes();
        for (at, byte) in mutations {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len()) + 1);
        invariants::check_invariants(&bytes);
    }

    #[test]
    fn arbitrary_bytes_keep_the_invariants(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        invariants::check_invariants(&bytes);
    }
}

/// Replays the fuzz target's corpus: each file unchanged, and with 200 random mutations.
#[test]
fn corpus_files_and_their_mutations_keep_the_invariants() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fuzz/corpus/snmp");
    let mut files: Vec<_> =
        std::fs::read_dir(directory).expect("the corpus").map(|f| f.expect("a file").path()).collect();
    files.sort();
    assert!(files.len() >= 12, "{} files", files.len());
    let mut seed = 0x9e37_79b9_7f4a_7c15u64;
    let mut random_below = |below: usize| {
        seed = (seed ^ seed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9).wrapping_add(1);
        (seed >> 33) as usize % below.max(1)
    };
    for file in files {
        let contents = std::fs::read(&file).expect("a readable corpus file");
        invariants::check_invariants(&contents);
        for _ in 0..200 {
            let mut bytes = contents.clone();
            for _ in 0..=random_below(3) {
                let at = random_below(bytes.len());
                match (random_below(3), bytes.is_empty()) {
                    (_, true) => {}
                    (0, _) => bytes[at] = random_below(256) as u8,
                    (1, _) => drop(bytes.remove(at)),
                    _ => bytes.insert(at, random_below(256) as u8),
                }
            }
            invariants::check_invariants(&bytes);
        }
    }
}
