//! Examples and rules from the protocol's description.

use memcached::{frame, sasl, Fault, Limits, Opcode, Request, Response, Status, Step};
use rstest::rstest;

/// The examples "Get request" and "Get response" of the description, byte by byte.
#[test]
fn get_request_and_response_match_the_description() {
    let mut out = Vec::new();
    Request { key: b"Hello", ..Request::new(Opcode::GET) }.put(&mut out).expect("the lengths fit");
    assert_eq!(out, b"\x80\x00\x00\x05\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\0\0\0\0\0Hello");
    let bytes = b"\x81\x00\0\0\x04\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0\0\0\0\x01\xde\xad\xbe\xefWorld";
    let extras = b"\xde\xad\xbe\xef";
    let answer = Response { cas: 1, extras, value: b"World", ..Response::new(Opcode::GET, 0) };
    assert_eq!(frame::response(bytes, &Limits::default()), Ok(Step::Complete(answer, 33)));
}

/// The example "Add request": flags and expiry in the extras, a key and a value.
#[test]
fn add_request_matches_the_description() {
    let extras = b"\xde\xad\xbe\xef\x00\x00\x0e\x10";
    let add = Request { extras, key: b"Hello", value: b"World", ..Request::new(Opcode::ADD) };
    let mut out = Vec::new();
    add.put(&mut out).expect("the lengths fit");
    assert_eq!(&out[..12], b"\x80\x02\x00\x05\x08\0\0\0\0\0\0\x12");
    assert_eq!(&out[24..], b"\xde\xad\xbe\xef\x00\x00\x0e\x10HelloWorld");
    assert_eq!(add.check(), Ok(()));
}

#[rstest]
#[case::text(b"get 7f3a\r\n", Fault::Text)]
#[case::the_other_way(b"\x81", Fault::Magic(0x81))]
#[case::noise(b"\x00", Fault::Magic(0))]
fn a_wrong_first_byte_is_rejected_at_once(#[case] bytes: &[u8], #[case] fault: Fault) {
    assert_eq!(frame::request(bytes, &Limits::default()), Err(fault));
}

#[rstest]
#[case::key_of_250(250, 0, None)]
#[case::key_of_251(251, 0, Some(Status::INVALID))]
#[case::largest_value(1, 65_536, None)]
#[case::larger_value(1, 65_537, Some(Status::TOO_LARGE))]
fn a_frame_beyond_the_limits_is_refused_and_its_end_is_known(
    #[case] key: usize,
    #[case] value: usize,
    #[case] status: Option<Status>,
) {
    let (key, value) = (vec![b'k'; key], vec![b'v'; value]);
    let mut out = Vec::new();
    Request { opaque: 9, key: &key, value: &value, ..Request::new(Opcode::GET) }
        .put(&mut out)
        .expect("the lengths fit");
    let reported = match frame::request(&out, &Limits::default()) {
        Err(Fault::Refused(header, status, _)) => {
            assert_eq!((header.opaque, 24 + header.body as usize), (9, out.len()));
            Some(status)
        }
        whole => {
            assert!(matches!(whole, Ok(Step::Complete(_, n)) if n == out.len()));
            None
        }
    };
    assert_eq!(reported, status);
}

#[rstest]
#[case::get(Request { key: b"k", ..Request::new(Opcode::GETQ) }, true)]
#[case::get_without_a_key(Request::new(Opcode::GETK), false)]
#[case::get_with_extras(Request { key: b"k", extras: &[0; 4], ..Request::new(Opcode::GET) }, false)]
#[case::get_with_a_value(Request { key: b"k", value: b"v", ..Request::new(Opcode::GET) }, false)]
#[case::get_of_a_version(Request { key: b"k", cas: 1, ..Request::new(Opcode::GET) }, false)]
#[case::set(Request { key: b"k", cas: 1, extras: &[0; 8], ..Request::new(Opcode::SETQ) }, true)]
#[case::set_without_flags(Request { key: b"k", value: b"v", ..Request::new(Opcode::SET) }, false)]
#[case::noop_with_a_key(Request { key: b"k", ..Request::new(Opcode::NOOP) }, false)]
#[case::flush_at_a_time(Request { extras: &[0; 4], ..Request::new(Opcode::FLUSHQ) }, true)]
#[case::unknown(Request { key: b"k", extras: &[1], ..Request::new(Opcode(0xee)) }, true)]
fn requests_are_checked_against_the_rules_of_their_command(#[case] request: Request, #[case] valid: bool) {
    assert_eq!(request.check().is_ok(), valid, "{:?}", request.check());
}

#[rstest]
#[case::valid(Response { extras: &[0; 4], ..Response::new(Opcode::GET, 7) }, true)]
#[case::a_miss(Response { status: Status::KEY_NOT_FOUND, ..Response::new(Opcode::GET, 7) }, true)]
#[case::of_another(Response { extras: &[0; 4], ..Response::new(Opcode::GET, 8) }, false)]
#[case::to_another_command(Response { extras: &[0; 4], ..Response::new(Opcode::GETK, 7) }, false)]
#[case::without_flags(Response::new(Opcode::GET, 7), false)]
#[case::with_a_key(Response { extras: &[0; 4], key: b"k", ..Response::new(Opcode::GET, 7) }, false)]
fn a_response_to_another_request_is_detected(#[case] answer: Response, #[case] valid: bool) {
    let get = Request { opaque: 7, key: b"k", ..Request::new(Opcode::GET) };
    assert_eq!(answer.answers(&get).is_ok(), valid);
}

/// Each number of the tables has one meaning, and the non-quiet variant of a quiet command is not quiet
/// itself.
#[test]
fn numbers_in_the_tables_are_unique() {
    assert!(Opcode::ALL.windows(2).all(|w| w[0] < w[1]) && Status::ALL.windows(2).all(|w| w[0] < w[1]));
    assert!(Opcode::ALL.iter().all(|o| !o.non_quiet().is_quiet() && o.name().is_some()));
    let quiet: Vec<_> = Opcode::ALL.iter().filter(|o| o.is_quiet()).filter_map(|o| o.name()).collect();
    assert!(quiet.iter().all(|name| name.ends_with('Q')), "{quiet:?}");
    assert_eq!(quiet.len(), Opcode::ALL.iter().filter_map(|o| o.name()).filter(|n| n.ends_with('Q')).count());
}

#[rstest]
#[case(b"\0anna\0secret", Some(("", "anna", "secret")))]
#[case(b"ops\0anna\0s e", Some(("ops", "anna", "s e")))]
#[case::no_user(b"\0\0secret", None)]
#[case::no_password(b"\0anna\0", None)]
#[case::two_parts(b"anna\0secret", None)]
#[case::four_parts(b"\0anna\0se\0cret", None)]
#[case::empty(b"", None)]
fn a_plain_message_has_three_parts(#[case] message: &[u8], #[case] parts: Option<(&str, &str, &str)>) {
    let plain = sasl::plain(message);
    assert_eq!(
        plain.map(|p| (p.authzid, p.user, p.password)),
        parts.map(|(a, u, p)| { (a.as_bytes(), u.as_bytes(), p.as_bytes()) })
    );
    assert!(!format!("{plain:?}").contains("secret"), "the password is printed");
}
