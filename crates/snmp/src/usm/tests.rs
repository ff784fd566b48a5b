use super::*;
use rstest::rstest;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// RFC 3414, A.3, has examples only for MD5 and SHA-1. These use the same passphrase and engine id and were
/// computed with Python's hashlib and hmac and with openssl.
#[rstest]
#[case("sha224", "0bd8827c6e29f8065e08e09237f177e4", "8863dc07f96c61f91ea1e7d37411a139")]
#[case("sha256", "8982e0e549e866db361a6b625d84cccc", "98368b5b164d2086a37cad2e48753e37fe7a164739f049fe")]
#[case(
    "sha384",
    "3b298f16164a11184279d5432bf169e2",
    "7f8dc8811fd8fa8cf3f1906159f74516b9f24fe46f0b26fb045a8b7f50b3153f"
)]
#[case(
    "sha512",
    "22a5a36cedfcc085807a128d7bc6c238",
    "f5030230aca1418d8b9e283cb8c5425960935e17daac2baf08634d1958c8575af13a7a9a6181c2e6c9fc311dc63a7caf"
)]
fn keys_and_digests_match_other_implementations(#[case] name: &str, #[case] key: &str, #[case] digest: &str) {
    let auth = Auth::named(name).expect("a name");
    let user = User::new("u", Some((auth, "maplesyrup")), Some("maplesyrup")).expect("a user");
    let keys = user.at(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2]);
    let (_, localised) = keys.auth.as_ref().expect("a key");
    assert_eq!(hex(&localised[..16]), key);
    assert_eq!(hex(&auth.digest(localised, &[b"mess", b"age"])), digest);
}

#[test]
fn privacy_matches_openssl() {
    let user = User::new("u", Some((Auth::Sha256, "maplesyrup")), Some("maplesyrup")).expect("a user");
    let keys = user.at(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2]);
    let mut bytes = b"a scoped pdu of odd length".to_vec();
    assert!(keys.encrypt((7, 42), 0x0102_0304_0506_0708, &mut bytes));
    assert_eq!(hex(&bytes), "7c5f7c8e1005fd39af38a4dbce239964991833d2da4ce2993e5e");
    assert!(keys.decrypt((7, 42), &[1, 2, 3, 4, 5, 6, 7, 8], &mut bytes));
    assert_eq!(bytes, b"a scoped pdu of odd length");
    assert!(!keys.decrypt((7, 42), &[1, 2, 3], &mut bytes));
}

#[test]
fn engine_time_overflow_increments_boots_up_to_the_maximum() {
    let engine = Engine::new(vec![1; 5], MAX_BOOTS - 1, 0);
    let whole = i64::from(MAX_BOOTS) * crate::SECOND;
    assert_eq!(engine.clock(whole - 1), (MAX_BOOTS - 1, MAX_BOOTS - 1));
    assert_eq!(engine.clock(whole), (MAX_BOOTS, 0));
    assert!(!engine.in_time(whole, MAX_BOOTS, 0), "no message is in time at the maximum of boots");
    assert_eq!(engine.clock(-5), (MAX_BOOTS - 1, 0));
}
