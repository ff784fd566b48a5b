//! A short measurement of the cost of a request.

use super::program;
use lab::loopback::cost::{direct, through, Plan, Protocol};
use rstest::rstest;

#[rstest]
fn direct_and_proxied_requests_are_served_and_the_proxy_cpu_is_measured(
    #[values(Protocol::Resp, Protocol::Memcached)] clients: Protocol,
    #[values(Protocol::Resp, Protocol::Memcached)] nodes: Protocol,
) {
    let plan = Plan { seconds: 0.5, connections: 4, value_bytes: 100, clients, nodes };
    let (straight, proxied) = (
        direct(plan).expect("measurement succeeds"),
        through(plan, &program()).expect("measurement succeeds"),
    );
    for way in [&straight, &proxied] {
        assert!(way.served > 0 && way.failed == 0, "{way:?}");
        assert_eq!(way.latency.count(), way.served);
        assert!(way.own_cpu.as_micros() > 0);
    }
    assert_eq!(straight.proxy_us(), None);
    assert!(proxied.proxy_us().is_some_and(|us| us > 0.0));
    let mut both = proxied.clone();
    both.merge(&proxied);
    assert_eq!((both.served, both.latency.count()), (2 * proxied.served, 2 * proxied.served));
    assert_eq!(both.proxy_us(), proxied.proxy_us());
}
