//! Tests of the agent over SNMPv2c: datagrams in, datagrams out.

mod common;

use common::*;
use rstest::rstest;
use snmp::agent::MAX_RESPONSE;
use snmp::manager::{Walk, WalkError};
use snmp::message::{status, Kind, Pdu};
use snmp::{Agent, Oid, Tree, Value};

const NAME: &str = "1.3.6.1.4.1.32473.1.1.1.1.0";
const NODE: &str = "1.3.6.1.4.1.32473.1.1.2.6.1.6";

fn ask(agent: &mut Agent, name: &str, pdu: &Pdu, tree: &Tree) -> Option<Pdu> {
    agent.answer(NOW, HERE, &community(name, pdu), tree).map(|out| {
        assert!(out.len() <= MAX_RESPONSE, "{} bytes", out.len());
        read(&out)
    })
}

#[rstest]
#[case::an_instance(NAME, "public", Value::text("n3"))]
#[case::another_instance("1.3.6.1.4.1.32473.1.1.1.1.1", "public", Value::NoSuchInstance)]
#[case::an_object_alone("1.3.6.1.4.1.32473.1.1.1.1", "public", Value::NoSuchInstance)]
#[case::no_row("1.3.6.1.4.1.32473.1.1.2.6.1.6.1.65", "public", Value::NoSuchInstance)]
#[case::no_column("1.3.6.1.4.1.32473.1.1.2.6.1.17.1.65", "public", Value::NoSuchObject)]
#[case::the_standards_scalar("1.3.6.1.2.1.1.3.1", "public", Value::NoSuchInstance)]
#[case::nothing("1.3.6.1.9.9", "public", Value::NoSuchObject)]
#[case::not_in_the_view(NAME, "part", Value::NoSuchObject)]
fn a_get_returns_the_value_or_the_matching_exception(
    #[case] name: &str,
    #[case] who: &str,
    #[case] value: Value,
) {
    let answer = ask(&mut agent(), who, &pdu(Kind::Get, 0, 0, &[name]), &tree(3)).expect("an answer");
    assert_eq!((answer.request, answer.status, answer.bindings), (77, 0, vec![(oid(name), value)]));
}

#[rstest]
#[case::version_1(b"\x30\x19\x02\x01\x00\x04\x06public\xa0\x0c\x02\x01\x01\x02\x01\x00\x02\x01\x00\x30\x00")]
#[case::unknown(&community("secret", &pdu(Kind::Get, 0, 0, &[NAME])))]
#[case::a_prefix(&community("publi", &pdu(Kind::Get, 0, 0, &[NAME])))]
#[case::from_elsewhere(&community("far", &pdu(Kind::Get, 0, 0, &[NAME])))]
#[case::a_trap(&community("public", &pdu(Kind::Trap, 0, 0, &[NAME])))]
#[case::a_response(&community("public", &pdu(Kind::Response, 0, 0, &[NAME])))]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n")]
#[case::nothing(b"")]
fn unanswered_datagrams_are_counted(#[case] datagram: &[u8]) {
    let mut agent = agent();
    assert_eq!(agent.answer(NOW, HERE, datagram, &tree(1)), None);
    let s = agent.stats();
    let counted = [s.bad_versions, s.bad_community_names, s.parse_errors, s.unknown_pdu_handlers];
    assert_eq!((s.in_packets, counted.iter().sum::<u32>()), (1, 1), "{s:?}");
}

#[test]
fn a_set_is_refused_with_its_bindings_and_counted() {
    let mut set = pdu(Kind::Set, 0, 0, &[]);
    set.bindings = vec![(oid(NAME), Value::text("n4"))];
    let mut agent = agent();
    let answer = ask(&mut agent, "public", &set, &tree(1)).expect("an answer");
    assert_eq!((answer.status, answer.index, answer.bindings), (status::NO_ACCESS, 1, set.bindings));
    assert_eq!(agent.stats().bad_community_uses, 1);
}

#[test]
fn a_bulk_of_ten_thousand_fills_one_datagram_and_no_more() {
    let bulk = pdu(Kind::GetBulk, 0, 10_000, &[NODE]);
    let answer = ask(&mut agent(), "public", &bulk, &tree(200)).expect("an answer");
    assert_eq!(answer.status, 0);
    // A row takes about 30 bytes: at least 30 rows fit, and the next one did not.
    assert!((30..70).contains(&answer.bindings.len()), "{}", answer.bindings.len());
    assert!(answer.bindings.windows(2).all(|w| w[0].0 < w[1].0));
}

#[test]
fn a_bulk_repeats_only_the_repeaters_and_ends_with_the_view() {
    let bulk = pdu(Kind::GetBulk, 1, 9, &["1.3.6.1.2.1.1.1", "1.3.6.1.6.3.15.1.1.5"]);
    let answer = ask(&mut agent(), "public", &bulk, &tree(1)).expect("an answer");
    let names: Vec<String> = answer.bindings.iter().map(|(n, _)| n.to_string()).collect();
    let last = "1.3.6.1.6.3.15.1.1.6.0";
    assert_eq!(names, ["1.3.6.1.2.1.1.1.0", "1.3.6.1.6.3.15.1.1.5.0", last, last]);
    assert_eq!(answer.bindings[3].1, Value::EndOfMibView);
}

#[test]
fn a_get_whose_response_does_not_fit_is_too_big() {
    // sysDescr is requested so often that the response does not fit, although the names alone would.
    let names = ["1.3.6.1.2.1.1.1.0"; 60];
    let answer = ask(&mut agent(), "public", &pdu(Kind::Get, 0, 0, &names), &tree(1)).expect("an answer");
    assert_eq!((answer.status, answer.index, answer.bindings.len()), (status::TOO_BIG, 0, 0));
}

fn walk(agent: &mut Agent, who: &str, mut tree: impl FnMut(usize) -> Tree) -> Vec<Oid> {
    let (mut walk, mut names, mut step) = (Walk::new(oid("1.3"), 20), Vec::new(), 0);
    while let Some(next) = walk.next(77) {
        let answer = ask(agent, who, &next, &tree(step)).expect("an answer");
        names.extend(walk.take(answer).expect("increasing names").into_iter().map(|(n, _)| n));
        step += 1;
        assert!(step < 1000, "the walk does not end");
    }
    names
}

#[test]
fn a_walk_returns_all_instances_of_the_view_once_and_in_order() {
    let whole = tree(40);
    let names = walk(&mut agent(), "public", |_| whole.clone());
    let all: Vec<Oid> = whole.after(&oid("0.0")).iter().map(|(n, _)| n.clone()).collect();
    assert_eq!(names, all);
    let part = walk(&mut agent(), "part", |_| whole.clone());
    let seen = |n: &&Oid| n.is_under(&oid("1.3.6.1.4.1.32473.1.1.2")) || n.is_under(&oid("1.3.6.1.2.1.1.1"));
    assert_eq!(part, all.iter().filter(seen).cloned().collect::<Vec<_>>());
    let nested = walk(&mut agent(), "nested", |_| whole.clone());
    let under = |n: &&Oid, root: &str| n.is_under(&oid(root));
    let hidden = |n: &&Oid| under(n, "1.3.6.1.4.1.32473.1.1.2") && !under(n, NODE);
    let seen = |n: &&Oid| (under(n, "1.3.6.1.4.1") && !hidden(n)) || under(n, "1.3.6.1.6");
    assert_eq!(nested, all.iter().filter(seen).cloned().collect::<Vec<_>>());
}

#[test]
fn a_walk_ends_if_the_names_of_an_agent_do_not_increase() {
    let mut walk = Walk::new(oid("1.3"), 2);
    let answer = |names: &[&str]| Pdu {
        bindings: names.iter().map(|n| (oid(n), Value::Integer(1))).collect(),
        ..pdu(Kind::Response, 0, 0, &[])
    };
    assert_eq!(walk.take(answer(&["1.3.1", "1.3.2"])).map(|part| part.len()), Ok(2));
    assert_eq!(walk.take(answer(&["1.3.2", "1.3.3"])), Err(WalkError::OutOfOrder(oid("1.3.2"))));
    assert_eq!(walk.take(answer(&[])).map(|part| part.len()), Ok(0));
    assert_eq!(walk.next(77), None);
}

#[test]
fn a_walk_over_a_changing_fleet_ends_and_returns_no_name_twice() {
    // Each response comes from a different set of nodes; only node 5 is always present.
    let names = walk(&mut agent(), "public", |step| {
        let mut snapshot = snapshot(12);
        snapshot.nodes.retain(|n| &*n.name == "s-005" || !(n.name.len() + step).is_multiple_of(3));
        snapshot.nodes.truncate(12 - step % 4);
        Tree::build(NOW, &snapshot, &agent_info())
    });
    assert!(names.windows(2).all(|w| w[0] < w[1]));
    let stays = Oid::parse(&format!("{NODE}.5.115.45.48.48.53")).expect("a name");
    assert_eq!(names.iter().filter(|n| **n == stays).count(), 1);
}
