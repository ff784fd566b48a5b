//! One exchange, step by step, of the real program with scripted peers.

use super::program;
use lab::loopback::children::{Child, Limits};
use lab::loopback::scripted::{Peer, Site};
use world::world::World;

const LIMITS: Limits = Limits { memory_kb: 1 << 20, descriptors: 256, file_bytes: None };

#[test]
fn a_read_that_misses_comes_from_the_ledger_and_the_value_is_the_one_it_made() {
    let builder = World::builder().halls(["hofdi"]).proxies(1).nodes("full-node", 1, |_| {});
    let site = Site::open(builder).expect("a site");
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, site.configuration()).expect("a file");
    let variables = [("NODE_CONFIG", path.display().to_string())];
    let proxy = Child::start("n0", &program(), LIMITS, dir.path(), &variables, &[]).expect("it starts");
    let _watch = site.welcome().expect("a watch");

    let mut client = Peer::connect(site.proxy()).expect("it listens");
    client.send(&["CACHE.GET", "7f3a", "id-1", "c=lookup,t=nordurbanki,d=2000"]).expect("sent");
    let (mut node, asked) = site.nodes[0].accept_asked("util=0.1,eps=0").expect("a read");
    assert_eq!((asked.key.as_str(), asked.id.as_str()), ("7f3a", "id-1"));
    node.miss().expect("sent");
    let mut ledger = site.ledger.accept().expect("a connection");
    assert_eq!(ledger.expect_read("7f3a").expect("a read").id, "id-1");
    ledger.value(b"as the ledger has it").expect("sent");
    assert_eq!(client.expect_value().expect("a value"), b"as the ledger has it");

    // When the process ends, the client's connection closes and nothing is left behind.
    let pid = proxy.pid();
    drop(proxy);
    client.expect_end().expect("closed");
    assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
}
