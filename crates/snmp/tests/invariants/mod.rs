//! What holds for any datagram, for tests, the corpus and the fuzzer alike.

#[path = "../common/mod.rs"]
pub mod common;

use common::*;
use snmp::agent::MAX_RESPONSE;
use snmp::listener::Listener;
use snmp::manager::{Credentials, Received, Session};
use snmp::message::{Community, Pdu, Scoped, Secured};
use snmp::reader::{check, version, MAX_DATAGRAM};
use snmp::usm::Engine;
use snmp::Tree;
use std::cell::RefCell;

thread_local! {
    static TREE: RefCell<Tree> = RefCell::new(tree(60));
}

/// An empty binding takes so many bytes: more of them than fit were not sent.
const BINDING: usize = 7;

fn small(pdu: &Pdu, bytes: &[u8]) {
    assert!(pdu.bindings.len() * BINDING <= bytes.len(), "{} of {}", pdu.bindings.len(), bytes.len());
}

/// No panic, no more read than was sent, what was read is what is written, and no answer that is longer than it
/// may be or that the reader itself would refuse.
pub fn check_invariants(bytes: &[u8]) {
    let sound = check(bytes).is_ok();
    assert!(!sound || bytes.len() <= MAX_DATAGRAM);
    if sound {
        if let Ok(message) = Community::read(bytes) {
            small(&message.pdu, bytes);
            let again = message.bytes();
            assert_eq!(check(&again), Ok(()));
            assert_eq!(Community::read(&again).as_ref(), Ok(&message));
        }
        if let Ok(message) = Secured::read(bytes) {
            assert_eq!(Secured::read(&message.bytes()).as_ref(), Ok(&message));
        }
    }
    if let Ok(scoped) = Scoped::read(bytes) {
        small(&scoped.pdu, bytes);
    }
    let mut agent = agent();
    let answer = TREE.with_borrow(|tree| agent.answer(NOW, HERE, bytes, tree));
    assert_eq!(agent.stats().in_packets, 1);
    if let Some(answer) = answer {
        assert!(sound && answer.len() <= MAX_RESPONSE);
        assert_eq!(check(&answer), Ok(()));
        let s = agent.stats();
        let refused = s.unknown_engine_ids + s.unknown_user_names + s.unsupported_levels + s.wrong_digests;
        // A report is hardly longer than what brings it about.
        assert!(refused == 0 || answer.len() <= bytes.len() + 64, "{} for {}", answer.len(), bytes.len());
        assert!(matches!(version(&answer), Ok(1 | 3)));
    }
    let engine = Engine::new(b"a listener".to_vec(), 3, NOW);
    let _ = Listener::new(NOW, engine, access(), 1).receive(NOW, (HERE, 162).into(), bytes);
    let mut session = Session::new(Credentials::User(user("open")), None, 1);
    session.request(NOW, &pdu(snmp::message::Kind::Get, 0, 0, &[]));
    assert!(
        !matches!(session.receive(NOW, 1, bytes), Received::Response(_)),
        "of an engine that is not known"
    );
}
