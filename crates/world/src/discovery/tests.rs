use super::*;
use crate::random::stream;

const NODE: NodeNo = NodeNo(3);

fn entry(what: Told) -> Entry {
    Entry { node: NODE, what, started: None }
}

fn told(d: &mut Discovery, now: Micros) -> Vec<(u32, Told, bool)> {
    let mut out = Vec::new();
    d.advance(now, &mut out);
    out.iter().map(|n| (n.proxy.0, n.entry.what, n.arrived)).collect()
}

#[test]
fn each_proxy_hears_late_and_in_order() {
    let s = Scenario::default();
    let mut d = Discovery::new(&s, stream(1, "discovery", 0));
    d.list(entry(Told::Ready));
    d.change(0, entry(Told::Draining), Notice::Vanished);
    d.change(0, entry(Told::Gone), Notice::Added);
    assert!(told(&mut d, 5_000_000).is_empty(), "the later change waits for the first");
    let all = told(&mut d, 20_000_000);
    assert_eq!(all.len(), 2 * s.proxies.count as usize);
    assert!(all.chunks(2).all(|c| (c[0].1, c[1].1) == (Told::Draining, Told::Gone)));
    assert_eq!(d.known(ProxyNo(0), None).1, []);
    assert_eq!(d.known(ProxyNo(0), Some(2)), (3, vec![entry(Told::Gone)]));
}

#[test]
fn what_silence_keeps_back_counts_as_told_after_a_while() {
    let s = Scenario::default();
    let mut d = Discovery::new(&s, stream(1, "discovery", 0));
    d.silence(0, true);
    d.change(0, entry(Told::Draining), Notice::Process);
    let at = d.next().expect("it will count as told");
    assert!(at >= 7_200_000, "{at}");
    assert!(told(&mut d, 20_000_000).iter().all(|t| !t.2));
    assert_eq!(d.next(), None);
    d.silence(20_000_001, false);
    assert_eq!(d.next(), Some(20_000_001), "nothing is told in the past");
    assert!(told(&mut d, 20_000_001).iter().all(|t| t.2), "and arrives when the silence is over");
}
