//! Stores: numbering, majorities, restarts, catching up, and compaction.

mod world;

use dissemination::{ControlId, Rules, StreamId};
use world::{rules, World};

fn stream(topic: u8, store: u8) -> StreamId {
    StreamId { topic, store: ControlId(store) }
}

fn started(stores: u8, followers: usize) -> World {
    let mut world = World::new(rules(stores, stores, None), followers);
    world.run(15);
    world
}

#[test]
fn a_change_held_by_a_majority_is_acknowledged_and_reaches_all_followers() {
    let mut world = started(3, 2);
    world.submit(0, 0, 0, 1);
    world.submit(1, 1, 9, 2);
    assert_eq!(world.acknowledged.len(), 0, "no other store holds it yet");
    world.run(30);
    assert_eq!(world.acknowledged.len(), 2);
    for f in 0..2 {
        assert_eq!(world.applied[f].upto.get(&stream(0, 0)), Some(&1));
        assert_eq!(world.applied[f].upto.get(&stream(1, 1)), Some(&1));
    }
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_store_without_a_majority_accepts_nothing() {
    let mut world = started(3, 0);
    world.kill_control(1);
    world.kill_control(2);
    world.run(1);
    world.submit(0, 0, 0, 1);
    world.run(30);
    assert_eq!(world.acknowledged.len(), 0);
    assert_eq!(world.busy.len(), 1);
    world.start_control(1);
    world.run(20);
    world.submit(0, 0, 0, 2);
    world.run(10);
    assert_eq!(world.acknowledged.len(), 1);
}

#[test]
fn all_stores_restart_at_once_and_continue_numbering() {
    let mut world = started(5, 4);
    for token in 0..20 {
        world.submit(token as usize % 5, (token % 2) as u8, token, token);
        world.run(1);
    }
    world.run(20);
    assert_eq!(world.acknowledged.len(), 20);
    (0..5).for_each(|c| world.kill_control(c));
    world.run(2);
    (0..5).for_each(|c| world.start_control(c));
    world.run(25);
    for c in 0..5 {
        world.submit(c, 0, 0, 100 + c as u32);
    }
    world.run(40);
    assert_eq!(world.acknowledged.len(), 25);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_store_that_was_down_catches_up_from_the_others() {
    let mut world = started(3, 0);
    world.kill_control(2);
    for token in 0..50 {
        world.submit(token as usize % 2, (token % 2) as u8, token, token);
        world.run(1);
    }
    world.run(20);
    assert_eq!(world.acknowledged.len(), 50);
    world.start_control(2);
    world.run(40);
    let held = |c: usize| world.controls[c].as_ref().expect("running").stats(world.now).held;
    assert_eq!(held(2), held(0));
    let records = |c: usize| world.controls[c].as_ref().expect("running").records();
    assert_eq!(records(2), records(0));
}

#[test]
fn a_store_that_lost_its_disk_continues_after_the_acknowledged_changes() {
    let mut world = started(3, 1);
    for token in 0..5 {
        world.submit(0, 0, 0, token);
    }
    world.run(20);
    assert_eq!(world.acknowledged.len(), 5);
    world.kill_control(0);
    world.disks[0].clear();
    world.start_control(0);
    world.submit(0, 0, 0, 10);
    assert_eq!(world.busy.len(), 1, "it has not recovered its numbering yet");
    world.run(40);
    world.submit(0, 0, 0, 11);
    world.run(30);
    assert!(world.acknowledged.contains_key(&(stream(0, 0), 6)));
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn compaction_leaves_a_mark_for_a_set_and_the_last_values_of_a_register() {
    let rules = Rules { retained_changes: 8, ..rules(3, 3, None) };
    let mut world = World::new(rules, 1);
    world.run(15);
    world.kill_control(2);
    let saved = world.kill_follower(0);
    for token in 0..60 {
        world.submit(0, (token % 2) as u8, token % 6, token);
        world.run(1);
    }
    world.run(20);
    assert_eq!(world.acknowledged.len(), 60);
    let control = world.controls[0].as_ref().expect("running");
    assert!(control.records().len() <= 8 + 8 + 3 + 2, "{} records", control.records().len());
    world.start_control(2);
    world.start_follower(0, Some(saved));
    world.run(60);
    assert_eq!(world.applied[0].marks, 1);
    let bodies = &world.applied[0].bodies;
    let last = |key: u32| {
        let mut of_key = world
            .acknowledged
            .iter()
            .filter(|(at, _)| at.0.topic == 1 && (2 * at.1 - 1) % 6 == u64::from(key));
        of_key.next_back().map(|(at, a)| (*at, a.0.clone()))
    };
    for key in [1, 3, 5] {
        let (at, body) = last(key).expect("each key has a value");
        assert_eq!(bodies.get(&at), Some(&body), "the last value of key {key}");
    }
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    // A store that restarts from its records holds the same.
    let records = world.controls[2].as_ref().expect("running").records();
    world.kill_control(2);
    world.start_control(2);
    assert_eq!(world.controls[2].as_ref().expect("running").records(), records);
    // So does one that starts from the rewritten file.
    world.kill_control(2);
    world.disks[2] = records.clone();
    world.start_control(2);
    assert_eq!(world.controls[2].as_ref().expect("running").records(), records);
}
