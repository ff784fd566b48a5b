//! Compares the agent with the text of the MIB: the agent serves every object of the MIB with the right type,
//! and no object that is not in the MIB.

mod common;

use common::*;
use snmp::mib::{syntax, Mib, ObjectKind, TEXT};
use snmp::notify::{Notifier, Target};
use snmp::tree::{root, ENTERPRISE};
use snmp::watch::{Change, Node};
use snmp::{manager, message, Oid, Value};
use std::collections::BTreeSet;

#[test]
fn agent_and_mib_agree_on_objects_and_types() {
    let (mib, tree) = (Mib::read(TEXT), tree(3));
    let mut checked = 0;
    for object in mib.objects().filter(|o| matches!(o.kind, ObjectKind::Scalar | ObjectKind::Column)) {
        let (name, value) = tree.after(&object.oid).first().expect("an instance");
        assert!(name.is_under(&object.oid), "{} is not served", object.name);
        assert_eq!(syntax(value), object.syntax, "{}", object.name);
        assert_eq!(object.kind == ObjectKind::Scalar, *name == object.oid.child(&[0]), "{}", object.name);
        if let (Value::Integer(n), false) = (value, object.labels.is_empty()) {
            assert!(object.labels.iter().any(|(_, v)| v == n) || *n == 0, "{}: {n}", object.name);
        }
        checked += 1;
    }
    assert_eq!(
        checked,
        TEXT.matches("    MAX-ACCESS  read-only").count(),
        "the text of the MIB is not parsed completely"
    );
    let all = tree.after(&root(ENTERPRISE)).iter().filter(|(n, _)| n.is_under(&root(ENTERPRISE)));
    for (name, _) in all {
        let object = mib.of(name).map(|o| o.kind);
        assert!(matches!(object, Some(ObjectKind::Scalar | ObjectKind::Column)), "{name} is not in the MIB");
    }
}

#[test]
fn a_column_without_rows_is_still_an_object() {
    let empty = snmp::Tree::build(
        NOW,
        &snmp::Snapshot::default(),
        &snmp::tree::AgentInfo { enterprise: ENTERPRISE, ..agent_info() },
    );
    for column in Mib::read(TEXT).objects().filter(|o| o.kind == ObjectKind::Column) {
        assert!(empty.has_object(ENTERPRISE, &column.oid.child(&[9, 9])), "{}", column.name);
        let next = column.oid.subtree_end().expect("a name");
        let known = Mib::read(TEXT).objects().any(|o| o.oid == next);
        assert_eq!(empty.has_object(ENTERPRISE, &next.child(&[9])), known, "object after {}", column.name);
    }
}

#[test]
fn every_object_has_units_and_a_group() {
    for object in
        Mib::read(TEXT).objects().filter(|o| matches!(o.kind, ObjectKind::Scalar | ObjectKind::Column))
    {
        let at = TEXT.find(&format!("\n{} OBJECT-TYPE", object.name)).expect("a definition");
        let end = TEXT[at..].find("::=").expect("an end");
        let units = TEXT[at..at + end].contains("UNITS") || object.description.contains("No units");
        let time = ["hundredths of a second", "in UTC"].iter().any(|u| object.description.contains(u));
        assert!(units || time, "{} has no units", object.name);
        let groups = &TEXT[TEXT.find("mwProxyGroup OBJECT-GROUP").expect("groups")..];
        let word = |w: &str| w.trim_matches(|c: char| !c.is_alphanumeric()) == object.name;
        assert!(groups.split_whitespace().any(word), "{} is in no group", object.name);
    }
}

#[test]
fn notifications_carry_the_objects_listed_in_the_mib() {
    let (mib, mut checked) = (Mib::read(TEXT), BTreeSet::new());
    let node = Node { name: "s-001".into(), zone: "hofdi".into(), state: snmp::snapshot::State::Silent };
    let (usable, bound) = (1, 2);
    let changes = [
        Change::NodeDrains(node.clone()),
        Change::NodeSilent(node.clone()),
        Change::NodeBack(node),
        Change::OriginClosed,
        Change::OriginBack,
        Change::FleetUnder { usable, bound },
        Change::FleetBack { usable, bound },
        Change::PlannersLost,
        Change::PlannersBack,
        Change::PlanRefused(1),
    ];
    let credentials = manager::Credentials::Community(b"public".to_vec());
    let target =
        Target { address: "127.0.0.1:162".parse().expect("an address"), informs: false, credentials };
    let mut notifier = Notifier::new(ENTERPRISE, engine(NOW), NOW, vec![target], 1);
    changes.iter().for_each(|c| notifier.change(NOW, c));
    while let Some((_, datagram)) = notifier.send(NOW) {
        let pdu = message::Community::read(&datagram).expect("a message").pdu;
        let Value::Oid(name) = &pdu.bindings[1].1 else { panic!("no name") };
        let of = |name: &Oid| mib.of(name).expect("an object").clone();
        let notification = of(name);
        assert_eq!((notification.kind, &notification.oid), (ObjectKind::Notification, name));
        let objects: Vec<String> = pdu.bindings[2..].iter().map(|(n, _)| of(n).name).collect();
        assert_eq!(objects, notification.related, "{}", notification.name);
        for (name, value) in &pdu.bindings[2..] {
            assert_eq!(syntax(value), of(name).syntax, "{name}");
        }
        checked.insert(notification.name);
    }
    let all = mib.objects().filter(|o| o.kind == ObjectKind::Notification).map(|o| o.name.clone());
    assert_eq!(checked, all.collect());
}

#[test]
fn names_and_values_are_formatted_for_display() {
    let mib = Mib::read(TEXT);
    let state = mib.resolve("mwNodeState.5.115.45.48.48.49").expect("a name");
    assert_eq!(state.to_string(), "1.3.6.1.4.1.32473.1.1.2.6.1.6.5.115.45.48.48.49");
    assert_eq!(mib.show(&state), "mwNodeState[\"s-001\"]");
    assert_eq!(mib.show_value(&state, &Value::Integer(4)), "silent(4)");
    let bucket = mib.resolve("mwHistogramCount.4.114.101.97.100.750").expect("a name");
    assert_eq!(mib.show(&bucket), "mwHistogramCount[\"read\", 750]");
    assert_eq!(mib.show(&oid("1.3.6.1.2.1.1.3.0")), "sysUpTime.0");
    assert_eq!(mib.show(&mib.resolve("mwReady.0").expect("a name")), "mwReady");
    let started = mib.resolve("mwStarted.0").expect("a name");
    // Expected values were checked with `date -u`: a leap day, the last moment of a year, and the end of a
    // century.
    let dates = [
        (1_709_210_096_700_000, "2024-02-29 12:34:56.7 +00:00"),
        (1_798_761_599_999_999, "2026-12-31 23:59:59.9 +00:00"),
        (4_102_444_800_000_000, "2100-01-01 00:00:00.0 +00:00"),
    ];
    for (unix, shown) in dates {
        assert_eq!(mib.show_value(&started, &Value::date(unix)), shown);
    }
}
