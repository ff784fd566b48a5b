use super::*;
use crate::virtual_host::site;
use martenweir::settings;
use world::scenario::{ClientClass, NodeGroup};

/// The settings that the program parses from a configuration equal, field for field, those that the virtual
/// host passes to its core.
#[test]
fn both_hosts_pass_the_same_settings_to_a_proxy() {
    let mut odd = Scenario::default();
    odd.clients.classes.push(ClientClass {
        name: "once".into(),
        repeat: Repeat::Unsafe,
        ..ClientClass::default()
    });
    odd.nodes.push(NodeGroup { kind: "old".into(), idle_close_s: 7.0, ..NodeGroup::default() });
    odd.proxies.probes = false;
    odd.proxies.max_retry_after_ms = 0.0;
    odd.rules.fall_multiple = 2.5;
    for scenario in [Scenario::default(), odd] {
        let world = World::new(&scenario, 1, 0).expect("valid world");
        for proxy in [ProxyNo(0), ProxyNo(1)] {
            let parsed = settings::site(&super::settings(&world, proxy)).expect("settings");
            let expected = site::settings(&world, proxy);
            assert_eq!(parsed.settings, expected);
            let names: Vec<&str> = parsed.classes.iter().map(String::as_str).collect();
            assert_eq!(names[..2], ["lookup", "instruct"]);
            assert_eq!(parsed.columns, ["eps", "util"]);
        }
    }
}
