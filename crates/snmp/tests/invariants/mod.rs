//! Invariants for arbitrary datagrams, shared by the tests, the replay of the corpus and the fuzz target.

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

/// Length of an empty binding in bytes; a datagram cannot hold more bindings than fit at this length.
const MIN_BINDING_LEN: usize = 7;

fn check_binding_count(pdu: &Pdu, bytes: &[u8]) {
    assert!(
        pdu.bindings.len() * MIN_BINDING_LEN <= bytes.len(),
        "{} bindings in {} bytes",
        pdu.bindings.len(),
        bytes.len()
    );
}

/// Checks that these bytes cause no panic, that no more bindings are decoded than the bytes can hold, that
/// decoded messages encode to the same message, and that the agent's response is no longer than permitted and
/// valid itself.
pub fn check_invariants(bytes: &[u8]) {
    let valid = check(bytes).is_ok();
    assert!(!valid || bytes.len() <= MAX_DATAGRAM);
    if valid {
        if let Ok(message) = Community::read(bytes) {
            check_binding_count(&message.pdu, bytes);
            let encoded = message.bytes();
            assert_eq!(check(&encoded), Ok(()));
            assert_eq!(Community::read(&encoded).as_ref(), Ok(&message));
        }
        if let Ok(message) = Secured::read(bytes) {
            assert_eq!(Secured::read(&message.bytes()).as_ref(), Ok(&message));
        }
    }
    if let Ok(scoped) = Scoped::read(bytes) {
        check_binding_count(&scoped.pdu, bytes);
    }
    let mut agent = agent();
    let answer = TREE.with_borrow(|tree| agent.answer(NOW, HERE, bytes, tree));
    assert_eq!(agent.stats().in_packets, 1);
    if let Some(answer) = answer {
        assert!(valid && answer.len() <= MAX_RESPONSE);
        assert_eq!(check(&answer), Ok(()));
        let s = agent.stats();
        let refused = s.unknown_engine_ids + s.unknown_user_names + s.unsupported_levels + s.wrong_digests;
        // A report is hardly longer than the message that causes it.
        assert!(
            refused == 0 || answer.len() <= bytes.len() + 64,
            "a report of {} bytes for {}",
            answer.len(),
            bytes.len()
        );
        assert!(matches!(version(&answer), Ok(1 | 3)));
    }
    let engine = Engine::new(b"a listener".to_vec(), 3, NOW);
    let _ = Listener::new(NOW, engine, access(), 1).receive(NOW, (HERE, 162).into(), bytes);
    let mut session = Session::new(Credentials::User(user("open")), None, 1);
    session.request(NOW, &pdu(snmp::message::Kind::Get, 0, 0, &[]));
    assert!(
        !matches!(session.receive(NOW, 1, bytes), Received::Response(_)),
        "response accepted from an unknown engine"
    );
}
