//! Fixtures: an agent, a snapshot of a fleet, and messages to query it.

#![allow(dead_code)]

use ipnet::IpNet;
use snmp::access::{Access, Community, Reader, View};
use snmp::message::{self, Kind, Pdu};
use snmp::snapshot::*;
use snmp::stats::{Notifications, Receiver};
use snmp::tree::{AgentInfo, ENTERPRISE};
use snmp::usm::{Auth, Engine, User};
use snmp::{Agent, Oid, Snapshot, Tree, Value};
use std::net::IpAddr;
use std::sync::LazyLock;

pub const HERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
pub const NOW: i64 = 5_000_000_000;

pub fn oid(text: &str) -> Oid {
    Oid::parse(text).expect("a name")
}

pub fn engine(now: i64) -> Engine {
    Engine::new(Engine::id_of(ENTERPRISE, "n3"), 7, now)
}

/// A user with this name: `open`, `auth` and `private` have these security levels; other names are unknown to
/// the agent.
pub fn user(name: &str) -> User {
    let auth = Some((Auth::Sha256, "a long passphrase"));
    match name {
        "open" => User::new(name, None, None),
        "auth" => User::new(name, auth, None),
        _ => User::new(name, auth, Some("another passphrase")),
    }
    .expect("a user")
}

/// The keys are derived only once, since a passphrase takes a megabyte of hashing.
pub fn access() -> Access {
    static ACCESS: LazyLock<Access> = LazyLock::new(build_access);
    ACCESS.clone()
}

fn build_access() -> Access {
    let part =
        View { subtrees: vec![(oid("1.3.6.1.4.1.32473.1.1.2"), true), (oid("1.3.6.1.2.1.1.1"), true)] };
    // Nested views: a subtree, without a subtree of it, but with a subtree of that.
    let nested = ["1.3.6.1.4.1", "1.3.6.1.4.1.32473.1.1.2", "1.3.6.1.4.1.32473.1.1.2.6.1.6", "1.3.6.1.6"];
    let nested = nested.iter().enumerate().map(|(i, root)| (oid(root), i != 1));
    let nested = View { subtrees: nested.collect() };
    let community = |name: &str, from: &str, view| {
        let from: IpNet = from.parse().expect("a range");
        Community { name: name.into(), from, view }
    };
    let reader = |name| Reader { user: user(name), view: View::all() };
    Access {
        communities: vec![
            community("public", "127.0.0.0/8", View::all()),
            community("part", "127.0.0.0/8", part),
            community("nested", "127.0.0.0/8", nested),
            community("far", "10.0.0.0/8", View::all()),
        ],
        readers: ["open", "auth", "private"].map(reader).into(),
    }
}

pub fn agent() -> Agent {
    Agent::new(NOW, engine(NOW), ENTERPRISE, access(), 9)
}

pub fn node(n: usize) -> Node {
    let name = format!("s-{n:03}");
    Node { name: name.into(), zone: "hofdi".into(), kind: "full-node".into(), ..Node::default() }
}

/// A snapshot in which every table has a row.
pub fn snapshot(nodes: usize) -> Snapshot {
    let class = |class: &str| Times { class: class.into(), ..Times::default() };
    let row = |class: &str, tenant: &str| {
        let counts = Counts { served: u64::MAX, ..Counts::default() };
        Requests { class: class.into(), tenant: tenant.into(), counts }
    };
    Snapshot {
        at: NOW - 250_000,
        name: "n3".into(),
        version: "0.1.0".into(),
        zone: "hofdi".into(),
        nodes: (0..nodes).map(node).collect(),
        requests: vec![row("lookup", "nordurbanki"), row("instruct", "heidisjodur")],
        times: vec![class("instruct"), class("lookup")],
        plans: Plans {
            in_force: true,
            planners: vec![Planner { index: 1, reachable: true, ..Planner::default() }],
            forwarders: vec![Forwarder { index: 4, ..Forwarder::default() }],
        },
        ..Snapshot::default()
    }
}

pub fn agent_info() -> AgentInfo {
    let receivers = vec![Receiver::default()];
    AgentInfo {
        enterprise: ENTERPRISE,
        engine: (Engine::id_of(ENTERPRISE, "n3"), 7, 0),
        notifications: Notifications { receivers, ..Notifications::default() },
        ..AgentInfo::default()
    }
}

pub fn tree(nodes: usize) -> Tree {
    Tree::build(NOW, &snapshot(nodes), &agent_info())
}

pub fn pdu(kind: Kind, status: u32, index: u32, names: &[&str]) -> Pdu {
    let bindings = names.iter().map(|n| (oid(n), Value::Unspecified)).collect();
    Pdu { kind, request: 77, status, index, bindings }
}

pub fn community(name: &str, pdu: &Pdu) -> Vec<u8> {
    message::Community { community: name.into(), pdu: pdu.clone() }.bytes()
}

pub fn read(datagram: &[u8]) -> Pdu {
    snmp::reader::check(datagram).expect("a valid datagram");
    message::Community::read(datagram).expect("a message").pdu
}
