use super::*;
use std::collections::BTreeSet;

#[test]
fn the_full_fleet_has_the_expected_numbers() {
    let g = Geography::draw(Size::of(11_000), 7);
    let count = |of: fn(&Spot) -> u16| g.proxies.iter().map(of).collect::<BTreeSet<_>>().len();
    assert_eq!((count(|s| s.region), count(|s| s.zone), count(|s| s.site)), (33, 82, 670));
    assert_eq!((g.proxies.len(), g.controls.len()), (11_000, 24));
}

#[test]
fn stores_stand_in_regions_apart_and_every_control_machine_in_a_zone_of_its_own() {
    for (proxies, seed) in [(60, 1), (100, 2), (1_000, 3), (11_000, 4)] {
        let g = Geography::draw(Size::of(proxies), seed);
        let zones: BTreeSet<u16> = g.controls.iter().map(|s| s.zone).collect();
        assert_eq!(zones.len(), g.controls.len(), "{proxies} proxies");
        let regions: BTreeSet<u16> = g.controls.iter().take(5).map(|s| s.region).collect();
        assert!(regions.len() >= 3, "{proxies} proxies: {regions:?}");
    }
}

#[test]
fn distances_grow_with_places_and_are_the_same_both_ways() {
    let g = Geography::draw(Size::of(1_000), 5);
    for a in g.proxies.iter().step_by(37) {
        for b in g.proxies.iter().step_by(41) {
            let way = g.one_way_delay(*a, *b);
            assert_eq!(way, g.one_way_delay(*b, *a));
            assert_eq!(way >= 10_000, a.region != b.region);
            assert!(way <= 120_000);
        }
    }
}

#[test]
fn a_seed_draws_the_same_fleet_again_and_another_one_another() {
    let at = |seed| Geography::draw(Size::of(100), seed).proxies;
    assert_eq!(at(1), at(1));
    assert_ne!(at(1), at(2));
}
