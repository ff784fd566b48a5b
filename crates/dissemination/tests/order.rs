//! The order in which followers try control machines.

use dissemination::order::preference_order;
use dissemination::{ControlId, FollowerId, Location};
use std::collections::BTreeSet;

/// 33 regions, 82 zones, 670 sites, and 24 control machines in the first zones of 24 regions.
fn places() -> (Vec<Location>, Vec<Location>) {
    let zone = |z: u16| Location { region: z % 33, zone: z, site: 0 };
    let sites = (0..670u16).map(|s| Location { site: s, ..zone(s % 82) }).collect();
    (sites, (0..24).map(zone).collect())
}

fn followers(n: u64) -> impl Iterator<Item = (FollowerId, Location)> {
    let (sites, _) = places();
    (0..n).map(move |f| (FollowerId(f.wrapping_mul(0x9e37_79b9_7f4a_7c15)), sites[f as usize % sites.len()]))
}

#[test]
fn every_order_has_each_control_machine_once_and_is_deterministic() {
    let (_, controls) = places();
    for (id, place) in followers(300) {
        let first = preference_order(id, place, &controls);
        assert_eq!(first, preference_order(id, place, &controls));
        assert_eq!(first.len(), 24);
        assert_eq!(first.iter().copied().collect::<BTreeSet<_>>(), (0..24).map(ControlId).collect());
    }
}

#[test]
fn adjacent_machines_in_an_order_are_in_different_zones() {
    // Eight zones with three control machines each, and an uneven layout in which one zone has most.
    let even: Vec<Location> = (0..24).map(|c| Location { region: c % 4, zone: c % 8, site: c }).collect();
    let uneven: Vec<Location> =
        (0..24u16).map(|c| Location { region: 0, zone: c.saturating_sub(13), site: c }).collect();
    for (id, _) in followers(500) {
        let place = Location { region: 1, zone: 1, site: 700 };
        for controls in [&even, &uneven] {
            let order = preference_order(id, place, controls);
            let zone = |c: &ControlId| controls[usize::from(c.0)].zone;
            assert_ne!(zone(&order[0]), zone(&order[1]));
        }
        let all = preference_order(id, place, &even);
        let same =
            all.windows(2).filter(|w| even[usize::from(w[0].0)].zone == even[usize::from(w[1].0)].zone);
        // Only for the last few there may be none left in another zone.
        assert!(same.count() <= 2, "{all:?}");
    }
}

#[test]
fn the_load_is_even_and_stays_so_without_any_one_machine() {
    let (_, controls) = places();
    let orders: Vec<Vec<ControlId>> =
        followers(11_000).map(|(id, place)| preference_order(id, place, &controls)).collect();
    let load = |gone: Option<ControlId>, rank: usize| {
        let mut load = vec![0usize; 24];
        for o in &orders {
            let there = o.iter().filter(|c| Some(**c) != gone).nth(rank).expect("enough control machines");
            load[usize::from(there.0)] += 1;
        }
        load
    };
    let mean = 11_000 / 24;
    for rank in 0..2 {
        let even = load(None, rank);
        let (least, most) = (even.iter().min().expect("24"), even.iter().max().expect("24"));
        println!("rank {rank}: {least} to {most} of {mean}");
        assert!(*most <= mean * 3 / 2 && *least >= mean / 2, "{even:?}");
        for gone in (0..24).map(ControlId) {
            let without = load(Some(gone), rank);
            assert!(*without.iter().max().expect("24") <= mean * 8 / 5, "{gone:?}: {without:?}");
        }
    }
}

#[test]
fn near_machines_come_first_more_often_than_by_chance() {
    let (_, controls) = places();
    let near = followers(11_000).filter(|(id, place)| {
        let first = preference_order(*id, *place, &controls)[0];
        controls[usize::from(first.0)].region == place.region
    });
    // Three quarters of the sites have one control machine in their region; by chance it would be first once
    // in 24.
    let near = near.count();
    println!("{near} of 11000");
    assert!(near > 11_000 / 12, "{near}");
}
