use super::*;
use crate::random::stream;

#[test]
fn clients_go_to_their_zone_until_its_proxies_are_known_to_be_dead() {
    let mut f = Front::new([1.0, 2.0], 2, vec![0, 1, 0], stream(1, "front", 0));
    let picked = |f: &Front| (0..100).filter_map(|n| f.pick(1, n)).collect::<std::collections::BTreeSet<_>>();
    assert_eq!(picked(&f).into_iter().collect::<Vec<_>>(), [ProxyNo(1)]);
    f.changed(0, ProxyNo(1), false);
    f.advance(999_999);
    assert_eq!(picked(&f).len(), 1, "not noticed yet");
    f.advance(2_000_000);
    assert_eq!(picked(&f).into_iter().collect::<Vec<_>>(), [ProxyNo(0), ProxyNo(2)]);
    (0..3).for_each(|p| f.told(ProxyNo(p), false));
    assert_eq!(f.pick(1, 7), None);
}
