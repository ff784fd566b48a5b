//! Tests of SNMPv3: discovery, security levels, and invalid, replayed and outdated messages.

mod common;

use common::*;
use rstest::rstest;
use snmp::agent::MAX_RESPONSE;
use snmp::manager::{Credentials, Received, Session};
use snmp::message::{Data, Flags, Header, Kind, Pdu, Scoped, Secured, Security, USM};
use snmp::reader;
use snmp::usm::{self, Engine, User};
use snmp::{Agent, Value, SECOND};

const NAME: &str = "1.3.6.1.4.1.32473.1.1.1.1.0";

/// Sends a request until it is answered, and returns the final result with the number of datagrams sent.
fn ask(agent: &mut Agent, now: i64, session: &mut Session, pdu: &Pdu) -> (Received, usize) {
    for request in 1..=5 {
        let out = session.request(now, pdu);
        let Some(reply) = agent.answer(now, HERE, &out, &tree(2)) else {
            return (Received::Ignored, request);
        };
        match session.receive(now, pdu.request, &reply) {
            Received::Retry => {}
            received => return (received, request),
        }
    }
    (Received::Retry, 5)
}

fn session(name: &str) -> Session {
    Session::new(Credentials::User(user(name)), None, 3)
}

#[rstest]
#[case::open("open", 2)]
#[case::auth("auth", 3)]
#[case::private("private", 3)]
fn a_user_is_answered_after_discovery(#[case] name: &str, #[case] requests: usize) {
    let (mut agent, mut session) = (agent(), session(name));
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let (received, request) = ask(&mut agent, NOW + 200 * SECOND, &mut session, &get);
    let Received::Response(answer) = received else { panic!("{received:?}") };
    assert_eq!((answer.bindings, request), (vec![(oid(NAME), Value::text("n3"))], requests));
    // The engine is known by now, and stays known after a while.
    assert!(matches!(ask(&mut agent, NOW + 4000 * SECOND, &mut session, &get), (Received::Response(_), 1)));
}

/// A message of a user to the agent with this engine and clock.
fn message(
    user: &User,
    engine: &Engine,
    clock: (u32, u32),
    max_size: u32,
    reportable: bool,
    pdu: Pdu,
) -> Vec<u8> {
    let flags = Flags { reportable, ..Flags::default() };
    let scoped = Scoped { engine: engine.id.clone(), context: Vec::new(), pdu };
    let header = Header { id: 5, max_size, flags, model: USM };
    usm::seal(header, (&engine.id, clock.0, clock.1), &user.name, &user.at(&engine.id), scoped, 1)
}

/// The counter in a report, given by the last arc but one of its name.
fn report(reply: &[u8]) -> u32 {
    let Data::Plain(scoped) = Secured::read(reply).expect("a message").data else { panic!("encrypted") };
    assert_eq!(scoped.pdu.kind, Kind::Report);
    let name = scoped.pdu.bindings[0].0.arcs();
    name[name.len() - 2]
}

fn wrong_passphrase() -> User {
    User::new("private", Some((usm::Auth::Sha256, "a wrong passphrase")), Some("another passphrase"))
        .expect("a user")
}

fn wrong_privacy() -> User {
    User::new("private", Some((usm::Auth::Sha256, "a long passphrase")), Some("a wrong passphrase"))
        .expect("a user")
}

#[rstest]
#[case::level(&User::new("private", None, None).expect("a user"), (7, 0), 1)]
#[case::old(&user("private"), (7, 151), 2)]
#[case::of_a_boot_before(&user("private"), (6, 0), 2)]
#[case::of_a_boot_to_come(&user("auth"), (8, 0), 2)]
#[case::nobody(&user("nobody"), (7, 0), 3)]
#[case::digest(&wrong_passphrase(), (7, 0), 5)]
#[case::decryption(&wrong_privacy(), (7, 0), 6)]
fn an_invalid_message_is_counted_and_reported_if_reportable(
    #[case] user: &User,
    #[case] clock: (u32, u32),
    #[case] counter: u32,
) {
    let mut agent = agent();
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let request = message(user, &engine(NOW), clock, 2000, true, get.clone());
    let reply = agent.answer(NOW, HERE, &request, &tree(2)).expect("a report");
    assert_eq!(report(&reply), counter);
    assert!(reply.len() < request.len() + 48, "{} for {}", reply.len(), request.len());
    let request = message(user, &engine(NOW), clock, 2000, false, get);
    assert_eq!(agent.answer(NOW, HERE, &request, &tree(2)), None);
    let s = agent.stats();
    let all = [
        s.unsupported_levels,
        s.not_in_time_windows,
        s.unknown_user_names,
        s.unknown_engine_ids,
        s.wrong_digests,
        s.decryption_errors,
    ];
    assert_eq!(all.iter().sum::<u32>(), 2);
    assert_eq!(all[counter as usize - 1], 2);
}

#[test]
fn a_message_is_valid_for_150_seconds_and_any_changed_byte_invalidates_it() {
    let (mut agent, user) = (agent(), user("private"));
    let request = message(&user, &engine(NOW), (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let mut answered = |now, datagram: &[u8]| {
        let reply = agent.answer(now, HERE, datagram, &tree(2))?;
        Secured::read(&reply).ok().filter(|m| matches!(m.data, Data::Encrypted(_)))
    };
    assert!(answered(NOW, &request).is_some() && answered(NOW + 150 * SECOND, &request).is_some());
    assert!(answered(NOW + 151 * SECOND, &request).is_none());
    for at in 0..request.len() {
        let mut altered = request.clone();
        altered[at] ^= 1;
        assert!(answered(NOW, &altered).is_none(), "byte {at}");
    }
}

#[test]
fn reports_on_a_wrong_engine_id_are_rate_limited() {
    let mut agent = agent();
    let spoofed = Engine::new(b"spoofed".to_vec(), 7, NOW);
    let request = message(&user("private"), &spoofed, (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let replies: Vec<_> = (0..1000).filter_map(|_| agent.answer(NOW, HERE, &request, &tree(2))).collect();
    assert_eq!((replies.len(), report(&replies[0])), (100, 4));
    assert_eq!((agent.stats().unknown_engine_ids, agent.stats().silent_drops), (1000, 900));
    assert!(agent.answer(NOW + SECOND, HERE, &request, &tree(2)).is_some());
}

#[test]
fn a_response_respects_the_maximum_size_of_the_manager() {
    let mut agent = agent();
    for (max_size, bound) in [(484, 484), (900, 900), (65_000, MAX_RESPONSE), (1, 484)] {
        let bulk = pdu(Kind::GetBulk, 0, 10_000, &["1.3"]);
        let request = message(&user("private"), &engine(NOW), (7, 0), max_size, true, bulk);
        let reply = agent.answer(NOW, HERE, &request, &tree(50)).expect("an answer");
        assert!(reply.len() <= bound && reply.len() + 100 > bound, "{} for {max_size}", reply.len());
    }
}

#[test]
fn a_session_ignores_unauthenticated_clocks_and_responses_of_a_lower_level() {
    let mut session = session("private");
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let (received, _) = ask(&mut agent(), NOW, &mut session, &get);
    assert!(matches!(received, Received::Response(_)));
    let request = session.request(NOW, &get);
    let id = Secured::read(&request).expect("a message").header.id;
    let forge = |kind, name: &str| {
        let pdu = Pdu { kind, ..pdu(kind, 0, 0, &[name]) };
        let scoped = Scoped { engine: engine(NOW).id, context: Vec::new(), pdu };
        let header = Header { id, max_size: 2000, flags: Flags::default(), model: USM };
        let security = Security { engine: engine(NOW).id, boots: 99, time: 1, ..Security::default() };
        Secured { header, security, data: Data::Plain(scoped) }.bytes()
    };
    let unauthenticated_report = forge(Kind::Report, "1.3.6.1.6.3.15.1.1.2.0");
    reader::check(&unauthenticated_report).expect("a valid message");
    assert_eq!(session.receive(NOW, 77, &unauthenticated_report), Received::Ignored);
    assert_eq!(session.receive(NOW, 77, &forge(Kind::Response, NAME)), Received::Ignored);
    let reply = agent().answer(NOW, HERE, &request, &tree(2)).expect("an answer");
    assert!(matches!(session.receive(NOW, 77, &reply), Received::Response(_)));
    assert_eq!(session.receive(NOW + 151 * SECOND, 77, &reply), Received::Ignored, "an outdated response");
}

/// Encodes the outermost length of a message in three bytes, as some managers do.
fn with_long_length(message: &[u8]) -> Vec<u8> {
    let contents = match message[1] {
        0x82 => &message[4..],
        0x81 => &message[3..],
        _ => &message[2..],
    };
    [&[0x30, 0x82, (contents.len() >> 8) as u8, contents.len() as u8], contents].concat()
}

#[test]
fn a_discovery_request_in_the_bytes_of_the_standard_gets_a_report() {
    // RFC 3414, 4: no engine, no user, no bindings; msgMaxSize 65507, msgFlags reportable.
    let request = b"\x30\x3e\x02\x01\x03\
        \x30\x11\x02\x04\x3c\x5e\x5b\x18\x02\x03\x00\xff\xe3\x04\x01\x04\x02\x01\x03\
        \x04\x10\x30\x0e\x04\x00\x02\x01\x00\x02\x01\x00\x04\x00\x04\x00\x04\x00\
        \x30\x14\x04\x00\x04\x00\xa0\x0e\x02\x04\x1b\x2c\x1b\x0b\x02\x01\x00\x02\x01\x00\x30\x00";
    for request in [request.to_vec(), with_long_length(request)] {
        let reply = agent().answer(NOW, HERE, &request, &tree(1)).expect("a report");
        // The fields before the PDU, in order, with the agent's engine, its boots and time.
        let head = b"\x02\x01\x03\x30\x10\x02\x04\x3c\x5e\x5b\x18\x02\x02\x10\x00\x04\x01\x00\x02\x01\x03\
            \x04\x17\x30\x15\x04\x07\x80\x00\x7e\xd9\x04n3\x02\x01\x07\x02\x01\x00\x04\x00\x04\x00\x04\x00";
        assert_eq!(&reply[2..2 + head.len()], head);
        assert_eq!((report(&reply), Secured::read(&reply).expect("a message").header.id), (4, 0x3c5e_5b18));
    }
}

#[test]
fn a_digest_covers_the_message_as_received_whatever_its_length_encodings() {
    let user = user("auth");
    let request = message(&user, &engine(NOW), (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let mut request = with_long_length(&request);
    let at = reader::digest(&request).expect("a digest");
    request[at.clone()].fill(0);
    user.at(&engine(NOW).id).sign(&mut request, at);
    let reply = agent().answer(NOW, HERE, &request, &tree(1)).expect("an answer");
    let Data::Plain(scoped) = Secured::read(&reply).expect("a message").data else { panic!("encrypted") };
    assert_eq!(scoped.pdu.bindings, [(oid(NAME), Value::text("n3"))]);
}
