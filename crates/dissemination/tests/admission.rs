//! What stores take, and what followers are sent: never more than their rates.

mod world;

use dissemination::{Record, Rules, StreamId};
use std::rc::Rc;
use world::{World, HOP};

/// Hops of a second.
const SECOND: usize = (dissemination::SECOND / HOP) as usize;

fn started(followers: usize) -> World {
    let rules = Rules { controls: 5, stores: 5, ..Rules::default() };
    let mut world = World::new(rules, followers);
    world.run(3 * SECOND);
    world
}

/// So many purges a second for some seconds, over all stores, with another try at the next store. Bytes that came
/// to each follower in each hop, and how many changes no store took. No follower that runs leaves service.
fn load(world: &mut World, rate: usize, seconds: usize) -> (Vec<Vec<u64>>, usize) {
    let (mut came, mut refused, mut token, mut served) = (vec![], 0, 0u32, true);
    for hop in 0..seconds * SECOND {
        let upto = (hop + 1) * rate / SECOND;
        while (token as usize) < upto {
            let taken = (0..5).any(|i| {
                let busy = world.busy.len();
                world.submit((token as usize + i) % 5, 0, 0, 1000 + token);
                world.busy.len() == busy
            });
            refused += usize::from(!taken);
            token += 1;
        }
        let before = world.bytes_to.clone();
        world.hop();
        let serves = |w: &World| w.followers.iter().flatten().all(|f| f.in_service(w.now));
        served &= serves(world);
        came.push(world.bytes_to.iter().zip(before).map(|(now, before)| now - before).collect());
    }
    assert!(served, "a follower left service");
    (came, refused)
}

/// The most that came to any follower in any second.
fn worst(came: &[Vec<u64>]) -> u64 {
    let followers = came.first().map_or(0, Vec::len);
    let second = |f: usize| came.windows(SECOND).map(move |w| w.iter().map(|hop| hop[f]).sum::<u64>());
    (0..followers).flat_map(second).max().unwrap_or(0)
}

#[test]
fn the_stated_rate_is_taken_whole_and_stays_far_below_the_bounds() {
    let mut world = started(5);
    let (came, refused) = load(&mut world, 190, 10);
    assert_eq!(refused, 0);
    world.run(SECOND);
    assert_eq!(world.acknowledged.len(), 1900);
    let bytes: u64 = came.iter().flatten().sum();
    let mean = bytes / 5 / 10;
    println!("190 changes a second: {mean} B/s to a follower, {} B in the worst second", worst(&came));
    assert!(mean <= 2048, "{mean} B/s");
    assert!(worst(&came) <= 3400, "{} B in a second", worst(&came));
    assert!(world.applied.iter().all(|a| a.marks == 0));
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn ten_times_as_much_is_refused_with_a_time_and_what_was_taken_comes() {
    let mut world = started(5);
    let (came, refused) = load(&mut world, 1900, 10);
    world.run(3 * SECOND);
    let taken = world.acknowledged.len();
    println!("1900 a second: {taken} taken, {refused} refused, {} B in the worst second", worst(&came));
    assert_eq!(taken + refused, 19_000, "taken and carried, or refused at once");
    assert!((2000..4000).contains(&taken), "{taken}");
    assert!(world.busy.iter().all(|(_, after)| (1..60_000).contains(after)));
    assert!(worst(&came) <= 3400, "{} B in a second", worst(&came));
    assert!(world.applied.iter().all(|a| a.marks == 0), "no cache is emptied by a flood");
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn a_time_to_return_is_right() {
    let mut world = started(0);
    let mut token = 0;
    while world.busy.is_empty() {
        world.submit(0, 0, 0, token);
        token += 1;
    }
    let (_, after) = world.busy[0];
    let hops = (i64::from(after) * 1000 / HOP) as usize;
    world.run(hops.saturating_sub(1));
    world.submit(0, 0, 0, 500);
    assert_eq!(world.busy.len(), 2, "not yet");
    world.run(2);
    world.submit(0, 0, 0, 501);
    assert_eq!(world.busy.len(), 2);
}

#[test]
fn large_changes_are_taken_by_the_first_store_that_lives_and_one_in_a_while() {
    let mut world = started(2);
    let large: Rc<[u8]> = Rc::from(vec![9; 4096]);
    for store in 0..5 {
        world.submit_body(store, 1, 0, store as u32, large.clone());
    }
    assert_eq!(world.busy.iter().map(|b| b.0).collect::<Vec<_>>(), [1, 2, 3, 4]);
    world.submit_body(0, 1, 0, 10, large.clone());
    assert_eq!(world.busy.len(), 5, "the last one first");
    // Beside all else that is taken, it is carried well within the lease.
    let (came, refused) = load(&mut world, 190, 5);
    println!("with 190 a second: {} B in the worst second, {refused} refused", worst(&came));
    let held = |w: &World| w.applied.iter().all(|a| a.bodies.values().any(|b| *b == large));
    assert!(held(&world));
    assert!(worst(&came) <= 3400, "{} B in a second", worst(&came));
    world.run(10 * SECOND);
    world.judge_whole();
    // Also beside all that stores take: they leave room for it.
    world.submit_body(0, 1, 2, 11, Rc::from(vec![8; 4096]));
    let (came, refused) = load(&mut world, 1900, 8);
    println!("with 1900 a second: {} B in the worst second, {refused} refused", worst(&came));
    let two = |a: &world::Applied| a.bodies.values().filter(|b| b.len() == 4096).count() == 2;
    assert!(world.applied.iter().all(two));
    assert!(world.applied.iter().all(|a| a.marks == 0), "no cache is emptied by it");
    world.run(2 * SECOND);
    world.judge_whole();
    // Without the first two the third does.
    world.kill_control(0);
    world.kill_control(1);
    world.run(2 * SECOND);
    let busy = world.busy.len();
    for store in 2..5 {
        world.submit_body(store, 1, 1, 20 + store as u32, large.clone());
    }
    assert_eq!(world.busy[busy..].iter().map(|b| b.0).collect::<Vec<_>>(), [23, 24]);
    world.run(6 * SECOND);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn a_follower_far_behind_on_a_set_gets_a_mark_and_no_backlog() {
    let mut world = started(2);
    let kept = world.kill_follower(0);
    let (_, refused) = load(&mut world, 190, 30);
    assert_eq!(refused, 0);
    world.start_follower(0, Some(kept));
    world.run(2 * SECOND);
    assert!(world.applied[0].marks >= 5, "{} marks", world.applied[0].marks);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn what_is_held_stays_within_the_rules() {
    let rules = Rules { controls: 3, stores: 3, retained_changes: 40, max_keys: 20, ..Rules::default() };
    let mut world = World::new(rules, 1);
    world.run(2 * SECOND);
    for token in 0..400u32 {
        world.submit(token as usize % 3, (token % 2) as u8, token % 50, token);
        world.run(5);
    }
    world.run(SECOND);
    for control in world.controls.iter().flatten() {
        for topic in 0..2 {
            for store in 0..3 {
                let stream = StreamId { topic, store: dissemination::ControlId(store) };
                let records = control.records();
                let changes =
                    records.iter().filter(|r| r.stream() == stream && matches!(r, Record::Change(..)));
                let most = if topic == 0 { 40 } else { 40 + 20 };
                assert!(changes.count() <= most);
            }
        }
    }
    assert!(world.busy.iter().any(|(_, after)| *after == 60_000), "no room for more keys");
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}
