use super::*;
use rstest::rstest;
use std::fs::Permissions;

fn site() -> Site {
    Site { tenants: vec!["nordurbanki".into(), "eyjabanki".into()], ..Site::default() }
}

#[rstest]
#[case(b"\0anna\0se cret ", Some("nordurbanki"))]
#[case(b"anna\0anna\0se cret ", Some("nordurbanki"))]
#[case(b"\0ben\0x", Some("eyjabanki"))]
#[case::wrong(b"\0anna\0se cret", None)]
#[case::of_another(b"\0ben\0se cret ", None)]
#[case::for_another(b"ben\0anna\0se cret ", None)]
#[case::unknown(b"\0eve\0x", None)]
#[case::no_message(b"anna", None)]
fn only_a_user_with_its_own_password_is_accepted(#[case] message: &[u8], #[case] tenant: Option<&str>) {
    let logins = read("# staff\n\nanna nordurbanki se cret \nben eyjabanki x\n", &site()).expect("sound");
    assert_eq!(logins.login(message).map(|t| t.name.to_string()), tenant.map(str::to_owned));
    assert_eq!(logins.take_refused().map(|(n, _)| n), tenant.is_none().then_some(1));
    assert_eq!(logins.take_refused(), None);
}

/// A password typed into the field of the user must not appear in the log.
#[test]
fn only_known_users_are_named() {
    let logins = read("anna nordurbanki x", &site()).expect("sound");
    assert!(logins.login(b"\0hunter2\0anna").is_none());
    assert_eq!(logins.take_refused(), Some((1, None)));
    assert!(logins.login(b"\0anna\0hunter2").is_none());
    assert_eq!(logins.take_refused(), Some((1, Some("anna".into()))));
}

#[rstest]
#[case("anna nordurbanki", ":1: expected USER TENANT PASSWORD")]
#[case("#\nanna nobody secret", ":2: unknown tenant")]
#[case("anna nordurbanki secret\nanna nordurbanki secret", ":2: duplicate user")]
#[case("anna nordurbanki ", ":1: user and password must")]
fn an_invalid_line_is_reported_without_its_password(#[case] text: &str, #[case] told: &str) {
    let (line, what) = read(text, &site()).expect_err("it cannot be used");
    let what = format!(":{line}: {what}");
    assert!(what.contains(told) && !what.contains("secret"), "{what}");
}

#[rstest]
#[case(0o600, true)]
#[case(0o400, true)]
#[case(0o640, false)]
#[case(0o602, false)]
fn a_file_with_group_or_other_permissions_is_rejected(#[case] mode: u32, #[case] used: bool) {
    let path = std::env::temp_dir().join(format!("martenweir-logins-{}-{mode:o}", std::process::id()));
    std::fs::write(&path, "anna nordurbanki secret\n").expect("a file");
    std::fs::set_permissions(&path, Permissions::from_mode(mode)).expect("a mode");
    let loaded = load(&path, &site());
    std::fs::remove_file(&path).expect("the file goes");
    assert_eq!(loaded.is_ok(), used, "{:?}", loaded.err());
}
