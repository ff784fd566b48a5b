//! SNMPv3: discovery, levels, and what is wrong, replayed or old.

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

/// What a session hears at last, and how often it asked.
fn ask(agent: &mut Agent, now: i64, session: &mut Session, pdu: &Pdu) -> (Received, usize) {
    for asked in 1..=5 {
        let out = session.request(now, pdu);
        let Some(back) = agent.answer(now, HERE, &out, &tree(2)) else { return (Received::Ignored, asked) };
        match session.receive(now, pdu.request, &back) {
            Received::Retry => {}
            heard => return (heard, asked),
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
fn a_user_is_answered_after_discovery(#[case] name: &str, #[case] asks: usize) {
    let (mut agent, mut session) = (agent(), session(name));
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let (heard, asked) = ask(&mut agent, NOW + 200 * SECOND, &mut session, &get);
    let Received::Response(answer) = heard else { panic!("{heard:?}") };
    assert_eq!((answer.bindings, asked), (vec![(oid(NAME), Value::text("n3"))], asks));
    // The engine is known by now, also after a while.
    assert!(matches!(ask(&mut agent, NOW + 4000 * SECOND, &mut session, &get), (Received::Response(_), 1)));
}

/// A message of a user to the agent as it is now.
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

/// The counter that the report tells, by its last arc but one.
fn report(back: &[u8]) -> u32 {
    let Data::Plain(scoped) = Secured::read(back).expect("a message").data else { panic!("encrypted") };
    assert_eq!(scoped.pdu.kind, Kind::Report);
    let name = scoped.pdu.bindings[0].0.arcs();
    name[name.len() - 2]
}

fn other() -> User {
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
#[case::digest(&other(), (7, 0), 5)]
#[case::decryption(&wrong_privacy(), (7, 0), 6)]
fn what_is_wrong_gets_the_standards_report_if_it_asks_for_reports_and_is_counted(
    #[case] user: &User,
    #[case] clock: (u32, u32),
    #[case] counter: u32,
) {
    let mut agent = agent();
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let asked = message(user, &engine(NOW), clock, 2000, true, get.clone());
    let back = agent.answer(NOW, HERE, &asked, &tree(2)).expect("a report");
    assert_eq!(report(&back), counter);
    assert!(back.len() < asked.len() + 48, "{} for {}", back.len(), asked.len());
    let asked = message(user, &engine(NOW), clock, 2000, false, get);
    assert_eq!(agent.answer(NOW, HERE, &asked, &tree(2)), None);
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
fn a_message_is_good_for_150_seconds_and_a_changed_byte_spoils_it() {
    let (mut agent, user) = (agent(), user("private"));
    let asked = message(&user, &engine(NOW), (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let mut answered = |now, datagram: &[u8]| {
        let back = agent.answer(now, HERE, datagram, &tree(2))?;
        Secured::read(&back).ok().filter(|m| matches!(m.data, Data::Encrypted(_)))
    };
    assert!(answered(NOW, &asked).is_some() && answered(NOW + 150 * SECOND, &asked).is_some());
    assert!(answered(NOW + 151 * SECOND, &asked).is_none());
    for at in 0..asked.len() {
        let mut spoilt = asked.clone();
        spoilt[at] ^= 1;
        assert!(answered(NOW, &spoilt).is_none(), "byte {at}");
    }
}

#[test]
fn another_engine_is_told_ours_and_no_more_often_than_the_budget_has_it() {
    let mut agent = agent();
    let spoofed = Engine::new(b"spoofed".to_vec(), 7, NOW);
    let asked = message(&user("private"), &spoofed, (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let backs: Vec<_> = (0..1000).filter_map(|_| agent.answer(NOW, HERE, &asked, &tree(2))).collect();
    assert_eq!((backs.len(), report(&backs[0])), (100, 4));
    assert_eq!((agent.stats().unknown_engine_ids, agent.stats().silent_drops), (1000, 900));
    assert!(agent.answer(NOW + SECOND, HERE, &asked, &tree(2)).is_some());
}

#[test]
fn a_response_fits_what_its_manager_can_read() {
    let mut agent = agent();
    for (most, bound) in [(484, 484), (900, 900), (65_000, MAX_RESPONSE), (1, 484)] {
        let bulk = pdu(Kind::GetBulk, 0, 10_000, &["1.3"]);
        let asked = message(&user("private"), &engine(NOW), (7, 0), most, true, bulk);
        let back = agent.answer(NOW, HERE, &asked, &tree(50)).expect("an answer");
        assert!(back.len() <= bound && back.len() + 100 > bound, "{} for {most}", back.len());
    }
}

#[test]
fn a_session_believes_no_clock_that_is_not_signed_and_no_answer_less_safe_than_its_question() {
    let mut session = session("private");
    let get = pdu(Kind::Get, 0, 0, &[NAME]);
    let (heard, _) = ask(&mut agent(), NOW, &mut session, &get);
    assert!(matches!(heard, Received::Response(_)));
    let asked = session.request(NOW, &get);
    let id = Secured::read(&asked).expect("a message").header.id;
    let forge = |kind, name: &str| {
        let pdu = Pdu { kind, ..pdu(kind, 0, 0, &[name]) };
        let scoped = Scoped { engine: engine(NOW).id, context: Vec::new(), pdu };
        let header = Header { id, max_size: 2000, flags: Flags::default(), model: USM };
        let security = Security { engine: engine(NOW).id, boots: 99, time: 1, ..Security::default() };
        Secured { header, security, data: Data::Plain(scoped) }.bytes()
    };
    let late = forge(Kind::Report, "1.3.6.1.6.3.15.1.1.2.0");
    reader::check(&late).expect("sound");
    assert_eq!(session.receive(NOW, 77, &late), Received::Ignored);
    assert_eq!(session.receive(NOW, 77, &forge(Kind::Response, NAME)), Received::Ignored);
    let back = agent().answer(NOW, HERE, &asked, &tree(2)).expect("an answer");
    assert!(matches!(session.receive(NOW, 77, &back), Received::Response(_)));
    assert_eq!(session.receive(NOW + 151 * SECOND, 77, &back), Received::Ignored, "an old answer");
}

/// The message with its outermost length in three bytes, as some managers write it.
fn long(message: &[u8]) -> Vec<u8> {
    let contents = match message[1] {
        0x82 => &message[4..],
        0x81 => &message[3..],
        _ => &message[2..],
    };
    [&[0x30, 0x82, (contents.len() >> 8) as u8, contents.len() as u8], contents].concat()
}

#[test]
fn a_discovery_in_the_bytes_of_the_standard_is_reported() {
    // RFC 3414, 4: no engine, no user, no bindings; msgMaxSize 65507, msgFlags reportable.
    let asked = b"\x30\x3e\x02\x01\x03\
        \x30\x11\x02\x04\x3c\x5e\x5b\x18\x02\x03\x00\xff\xe3\x04\x01\x04\x02\x01\x03\
        \x04\x10\x30\x0e\x04\x00\x02\x01\x00\x02\x01\x00\x04\x00\x04\x00\x04\x00\
        \x30\x14\x04\x00\x04\x00\xa0\x0e\x02\x04\x1b\x2c\x1b\x0b\x02\x01\x00\x02\x01\x00\x30\x00";
    for asked in [asked.to_vec(), long(asked)] {
        let back = agent().answer(NOW, HERE, &asked, &tree(1)).expect("a report");
        // The parts before the PDU in their order, with our engine, its boots and time.
        let head = b"\x02\x01\x03\x30\x10\x02\x04\x3c\x5e\x5b\x18\x02\x02\x10\x00\x04\x01\x00\x02\x01\x03\
            \x04\x17\x30\x15\x04\x07\x80\x00\x7e\xd9\x04n3\x02\x01\x07\x02\x01\x00\x04\x00\x04\x00\x04\x00";
        assert_eq!(&back[2..2 + head.len()], head);
        assert_eq!((report(&back), Secured::read(&back).expect("a message").header.id), (4, 0x3c5e_5b18));
    }
}

#[test]
fn a_digest_is_made_over_the_message_as_it_came_whatever_forms_of_length_it_has() {
    let user = user("auth");
    let asked = message(&user, &engine(NOW), (7, 0), 2000, true, pdu(Kind::Get, 0, 0, &[NAME]));
    let mut asked = long(&asked);
    let at = reader::digest(&asked).expect("a digest");
    asked[at.clone()].fill(0);
    user.at(&engine(NOW).id).sign(&mut asked, at);
    let back = agent().answer(NOW, HERE, &asked, &tree(1)).expect("an answer");
    let Data::Plain(scoped) = Secured::read(&back).expect("a message").data else { panic!("encrypted") };
    assert_eq!(scoped.pdu.bindings, [(oid(NAME), Value::text("n3"))]);
}
