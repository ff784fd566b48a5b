//! One exchange, step by step, of the real program with scripted peers.

use super::program;
use lab::loopback::children::{Child, Limits};
use lab::loopback::scripted::{Peer, Site};
use world::world::World;

const LIMITS: Limits = Limits { memory_kb: 1 << 20, descriptors: 256, file_bytes: None };

#[test]
fn a_read_that_misses_returns_the_value_from_the_origin() {
    let builder = World::builder().halls(["hofdi"]).proxies(1).nodes("full-node", 1, |_| {});
    let site = Site::open(builder).expect("a site");
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("config.json");
    std::fs::write(&path, site.configuration()).expect("file is created");
    let variables = [("NODE_CONFIG", path.display().to_string())];
    let proxy = Child::start("n0", &program(), LIMITS, dir.path(), &variables, &[]).expect("process starts");
    let _watch = site.welcome().expect("a watch");

    let mut client = Peer::connect(site.proxy()).expect("port listens");
    client.send(&["CACHE.GET", "7f3a", "id-1", "c=lookup,t=nordurbanki,d=2000"]).expect("send");
    let (mut node, asked) = site.nodes[0].accept_asked("util=0.1,eps=0").expect("a read");
    assert_eq!((asked.key.as_str(), asked.id.as_str()), ("7f3a", "id-1"));
    node.miss().expect("send");
    let mut ledger = site.ledger.accept().expect("connection");
    assert_eq!(ledger.expect_read("7f3a").expect("a read").id, "id-1");
    ledger.value(b"as the ledger has it").expect("send");
    assert_eq!(client.expect_value().expect("a value"), b"as the ledger has it");

    // When the process ends, the client's connection closes and nothing is left behind.
    let pid = proxy.pid();
    drop(proxy);
    client.expect_end().expect("connection closes");
    assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
}
