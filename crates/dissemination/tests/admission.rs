//! Admission at the stores and traffic to followers stay within their rates.

mod world;

use dissemination::{Record, Rules, StreamId};
use std::rc::Rc;
use world::{World, STEP};

/// Simulation steps per second.
const SECOND: usize = (dissemination::SECOND / STEP) as usize;

fn started(followers: usize) -> World {
    let rules = Rules { controls: 5, stores: 5, ..Rules::default() };
    let mut world = World::new(rules, followers);
    world.run(3 * SECOND);
    world
}

/// Submits `rate` purges per second, spread over all stores; each is retried at the next store if one is
/// busy. Returns the bytes received by each follower in each step and the number of changes that no store
/// accepted. Asserts that no running follower leaves service.
fn load(world: &mut World, rate: usize, seconds: usize) -> (Vec<Vec<u64>>, usize) {
    let (mut received, mut refused, mut token, mut served) = (vec![], 0, 0u32, true);
    for step in 0..seconds * SECOND {
        let upto = (step + 1) * rate / SECOND;
        while (token as usize) < upto {
            let taken = (0..5).any(|i| {
                let busy = world.busy.len();
                world.submit((token as usize + i) % 5, 0, 0, 1000 + token);
                world.busy.len() == busy
            });
            refused += usize::from(!taken);
            token += 1;
        }
        let before = world.bytes_received.clone();
        world.step();
        let serves = |w: &World| w.followers.iter().flatten().all(|f| f.in_service(w.now));
        served &= serves(world);
        received.push(world.bytes_received.iter().zip(before).map(|(now, before)| now - before).collect());
    }
    assert!(served, "a follower left service");
    (received, refused)
}

/// The most bytes that any follower received in any second.
fn worst_second(received: &[Vec<u64>]) -> u64 {
    let followers = received.first().map_or(0, Vec::len);
    let second = |f: usize| received.windows(SECOND).map(move |w| w.iter().map(|step| step[f]).sum::<u64>());
    (0..followers).flat_map(second).max().unwrap_or(0)
}

#[test]
fn the_design_rate_is_accepted_in_full_and_stays_within_the_traffic_limits() {
    let mut world = started(5);
    let (received, refused) = load(&mut world, 190, 10);
    assert_eq!(refused, 0);
    world.run(SECOND);
    assert_eq!(world.acknowledged.len(), 1900);
    let bytes: u64 = received.iter().flatten().sum();
    let mean = bytes / 5 / 10;
    println!(
        "190 changes a second: {mean} B/s to a follower, {} B in the worst second",
        worst_second(&received)
    );
    assert!(mean <= 2048, "{mean} B/s");
    assert!(worst_second(&received) <= 3400, "{} B in a second", worst_second(&received));
    assert!(world.applied.iter().all(|a| a.marks == 0));
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn ten_times_the_rate_is_rejected_with_a_retry_time_and_accepted_changes_arrive() {
    let mut world = started(5);
    let (received, refused) = load(&mut world, 1900, 10);
    world.run(3 * SECOND);
    let taken = world.acknowledged.len();
    println!(
        "1900 a second: {taken} taken, {refused} refused, {} B in the worst second",
        worst_second(&received)
    );
    assert_eq!(taken + refused, 19_000, "every submission is either acknowledged or rejected at once");
    assert!((2000..4000).contains(&taken), "{taken}");
    assert!(world.busy.iter().all(|(_, after)| (1..60_000).contains(after)));
    assert!(worst_second(&received) <= 3400, "{} B in a second", worst_second(&received));
    assert!(world.applied.iter().all(|a| a.marks == 0), "excess load empties no cache");
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn the_retry_time_is_accurate() {
    let mut world = started(0);
    let mut token = 0;
    while world.busy.is_empty() {
        world.submit(0, 0, 0, token);
        token += 1;
    }
    let (_, after) = world.busy[0];
    let steps = (i64::from(after) * 1000 / STEP) as usize;
    world.run(steps.saturating_sub(1));
    world.submit(0, 0, 0, 500);
    assert_eq!(world.busy.len(), 2, "still busy before the retry time");
    world.run(2);
    world.submit(0, 0, 0, 501);
    assert_eq!(world.busy.len(), 2);
}

#[test]
fn large_changes_are_accepted_one_at_a_time_by_the_first_reachable_store() {
    let mut world = started(2);
    let large: Rc<[u8]> = Rc::from(vec![9; 4096]);
    for store in 0..5 {
        world.submit_body(store, 1, 0, store as u32, large.clone());
    }
    assert_eq!(world.busy.iter().map(|b| b.0).collect::<Vec<_>>(), [1, 2, 3, 4]);
    world.submit_body(0, 1, 0, 10, large.clone());
    assert_eq!(world.busy.len(), 5, "only one large change at a time");
    // Next to all other accepted changes, it is delivered well within the lease.
    let (received, refused) = load(&mut world, 190, 5);
    println!("with 190 a second: {} B in the worst second, {refused} refused", worst_second(&received));
    let held = |w: &World| w.applied.iter().all(|a| a.bodies.values().any(|b| *b == large));
    assert!(held(&world));
    assert!(worst_second(&received) <= 3400, "{} B in a second", worst_second(&received));
    world.run(10 * SECOND);
    world.check_converged();
    // The same while the stores accept as much as they can: they reserve bandwidth for it.
    world.submit_body(0, 1, 2, 11, Rc::from(vec![8; 4096]));
    let (received, refused) = load(&mut world, 1900, 8);
    println!("with 1900 a second: {} B in the worst second, {refused} refused", worst_second(&received));
    let two = |a: &world::Applied| a.bodies.values().filter(|b| b.len() == 4096).count() == 2;
    assert!(world.applied.iter().all(two));
    assert!(world.applied.iter().all(|a| a.marks == 0), "a large change empties no cache");
    world.run(2 * SECOND);
    world.check_converged();
    // Without the first two stores, the third accepts large changes.
    world.kill_control(0);
    world.kill_control(1);
    world.run(2 * SECOND);
    let busy = world.busy.len();
    for store in 2..5 {
        world.submit_body(store, 1, 1, 20 + store as u32, large.clone());
    }
    assert_eq!(world.busy[busy..].iter().map(|b| b.0).collect::<Vec<_>>(), [23, 24]);
    world.run(6 * SECOND);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_follower_far_behind_on_a_set_gets_marks_instead_of_the_backlog() {
    let mut world = started(2);
    let saved = world.kill_follower(0);
    let (_, refused) = load(&mut world, 190, 30);
    assert_eq!(refused, 0);
    world.start_follower(0, Some(saved));
    world.run(2 * SECOND);
    assert!(world.applied[0].marks >= 5, "{} marks", world.applied[0].marks);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn retained_changes_stay_within_the_limits() {
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
    assert!(world.busy.iter().any(|(_, after)| *after == 60_000), "the key limit is reached");
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}
