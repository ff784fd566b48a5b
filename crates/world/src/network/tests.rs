use super::*;
use crate::random::stream;

#[test]
fn delays_have_their_mean_and_a_cut_loses_only_what_crosses() {
    let mut n = Network::new(&scenario::Network::default(), 3, stream(1, "network", 0));
    let mean = (0..50_000).filter_map(|_| n.between(0, 1)).sum::<Micros>() / 50_000;
    assert!((590..=610).contains(&mean), "{mean}");
    n.cut(1, true);
    assert_eq!((n.between(0, 1), n.between(1, 2)), (None, None));
    assert!(n.between(1, 1).is_some() && n.between(0, 2).is_some());
    n.cut(1, false);
    assert!(n.between(0, 1).is_some());
}
