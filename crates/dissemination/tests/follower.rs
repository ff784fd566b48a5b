//! Followers: old, diverging and future positions, epochs, silence, gaps, large changes, refusals, restarts.

mod world;

use dissemination::rules::InjectedFault;
use dissemination::{
    follower, Content, ControlId, Follower, FollowerId, Head, Message, Piece, Record, Rules, SavedState,
    StreamId,
};
use rstest::rstest;
use std::rc::Rc;
use world::{body, rules, World};

const SET: StreamId = StreamId { topic: 0, store: ControlId(0) };
const REGISTER: StreamId = StreamId { topic: 1, store: ControlId(0) };

/// Three stores and some followers, with six changes of each topic.
fn started(followers: usize) -> World {
    let mut world = World::new(rules(3, 3, None), followers);
    world.run(15);
    for token in 0..12 {
        world.submit(0, (token % 2) as u8, token / 4, token);
        world.run(1);
    }
    world.run(40);
    assert_eq!(world.acknowledged.len(), 12);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    world
}

fn follower_stats(world: &World, f: usize) -> dissemination::follower::Shown {
    world.followers[f].as_ref().expect("running").stats(world.now)
}

#[test]
fn an_old_position_gets_the_missing_changes_and_none_twice() {
    let mut world = started(2);
    let saved = world.kill_follower(0);
    for token in 20..30 {
        world.submit(1, 0, 0, token);
        world.run(1);
    }
    world.start_follower(0, Some(saved));
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    assert_eq!((world.applied[0].marks, world.applied[0].stale), (0, 0));
    assert_eq!(world.applied[0].bodies.len(), 22);
}

#[test]
fn a_position_ahead_of_the_stores_resets_that_stream_after_two_reports() {
    let mut world = started(2);
    let mut saved = world.kill_follower(0);
    let set = saved.heads.iter_mut().find(|h| h.0 == SET).expect("the stream is held");
    set.1 = Head { number: set.1.number + 7, digest: 99 };
    world.start_follower(0, Some(saved));
    world.run(5);
    assert!(!world.followers[0].as_ref().expect("running").in_service(world.now));
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    // Only that stream is reset.
    assert_eq!(world.applied[0].stale, 1);
    assert!(world.controls.iter().flatten().map(|c| c.stats(world.now).history_mismatches).sum::<u64>() >= 2);
}

#[rstest]
#[case::set(SET)]
#[case::register(REGISTER)]
fn a_different_history_of_the_same_length_is_detected(#[case] stream: StreamId) {
    let mut world = started(2);
    let mut saved = world.kill_follower(1);
    saved.heads.iter_mut().filter(|h| h.0 == stream).for_each(|h| h.1.digest ^= 1);
    world.start_follower(1, Some(saved));
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    assert_eq!(world.applied[1].stale, 1);
}

/// Three stores of epoch 1 are restored from an old copy that lacks the last two changes of each stream. Two
/// of them start in epoch 2; the third is left in epoch 1 by mistake.
fn restored() -> World {
    let mut world = started(2);
    let saved: Vec<SavedState> = (0..2).map(|f| world.kill_follower(f)).collect();
    (0..3).for_each(|c| world.kill_control(c));
    for (f, saved) in saved.into_iter().enumerate() {
        world.start_follower(f, Some(saved));
    }
    // Changes given up by the operators are gone, and their numbers are assigned again.
    world.acknowledged.retain(|at, _| at.1 <= 4);
    world.first_applied.retain(|at, _| at.1 <= 4);
    let keep = |r: &Record| !matches!(r, Record::Change(c, _) if c.number > 4);
    world.disks.iter_mut().for_each(|d| d.retain(keep));
    world.start_control(2);
    world.rules.epoch = 2;
    world.corruption_expected = true;
    world.start_control(0);
    world.start_control(1);
    world.run(100);
    for token in 50..54 {
        world.submit(0, (token % 2) as u8, 1, token);
    }
    world.run(60);
    assert!(world.acknowledged.contains_key(&(SET, 5)));
    world.check_converged();
    world
}

#[test]
fn a_higher_epoch_resets_all_streams_and_a_lower_one_is_refused() {
    let world = restored();
    assert_eq!(world.result, Ok(()));
    for f in 0..2 {
        let follower = world.followers[f].as_ref().expect("running");
        assert_eq!(follower.epoch(), 2);
        assert_eq!(world.applied[f].stale, 2, "both streams");
    }
    assert!(world.errors.iter().any(|e| e.contains("epoch 1 is not in force here")), "{:?}", world.errors);
}

/// A follower resets a stream while changes keep arriving; changes in transit at that moment leave a gap.
#[test]
fn a_stream_reset_during_traffic_applies_changes_in_order() {
    let mut world = started(2);
    let mut saved = world.kill_follower(0);
    saved.heads.iter_mut().filter(|h| h.0 == SET).for_each(|h| h.1.digest ^= 1);
    world.start_follower(0, Some(saved));
    for token in 100..160 {
        world.submit(0, 0, 0, token);
        world.run(1);
    }
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

/// The numbers that a follower applies when the second of three pieces arrives last.
fn applied_numbers(fault: Option<InjectedFault>) -> Vec<u64> {
    let mut follower = Follower::new(0, rules(2, 2, fault), FollowerId(1), vec![ControlId(0)], None, 1)
        .expect("valid rules");
    let mut out = vec![];
    follower.tick(1, &mut out);
    follower.up(2, ControlId(0), &mut out);
    let welcome = Message::Welcome { epoch: 1, control: ControlId(0) };
    let heads: Vec<Head> = (1..=3u8)
        .scan(Head::default(), |h, b| {
            *h = h.advance(0, &[b]);
            Some(*h)
        })
        .collect();
    let piece = |n: u8| {
        let content = Content::Bodies(vec![Rc::from([n])]);
        let (after, digest) = (u64::from(n) - 1, heads[usize::from(n) - 1].digest);
        Message::Batch(vec![Piece { stream: SET, after, digest, content }])
    };
    for message in [welcome, piece(1), piece(3), piece(2), piece(3)] {
        follower.handle_message(3, ControlId(0), &message, &mut out).expect("valid messages");
    }
    let applied = |o: follower::Output| match o {
        follower::Output::Apply(piece) => Some(piece.upto()),
        _ => None,
    };
    out.into_iter().filter_map(applied).collect()
}

#[test]
fn nothing_is_applied_over_a_gap() {
    assert_eq!(applied_numbers(None), [1, 2, 3]);
    assert_eq!(applied_numbers(Some(InjectedFault::Gaps)), [1, 3], "without the check changes are skipped");
}

#[test]
fn a_follower_cut_from_all_stores_leaves_service_and_returns() {
    let mut world = started(1);
    (0..3).for_each(|c| world.machine_faults[c].frozen = true);
    let lease = (world.rules.lease / world::STEP) as usize;
    // Its freshness may already be 20 steps old: a poll, a beat, an ack, and the transit times.
    world.run(lease - 20);
    assert!(world.followers[0].as_ref().expect("running").in_service(world.now));
    world.run(21);
    assert!(!world.followers[0].as_ref().expect("running").in_service(world.now));
    (0..3).for_each(|c| world.machine_faults[c].frozen = false);
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_silent_primary_is_replaced_by_the_secondary_and_a_new_secondary_is_dialled() {
    let mut world = started(1);
    let stats = follower_stats(&world, 0);
    assert_eq!((stats.primary, stats.secondary), (Some((ControlId(0), true)), Some((ControlId(1), true))));
    world.machine_faults[0].frozen = true;
    let silence = (world.rules.silence_timeout / world::STEP) as usize;
    world.run(silence + 6);
    let stats = follower_stats(&world, 0);
    assert_eq!((stats.primary, stats.secondary), (Some((ControlId(1), true)), Some((ControlId(2), true))));
    assert_eq!(stats.promotions, 1);
    world.submit(1, 0, 0, 40);
    world.run(30);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_control_machine_that_corrupts_changes_is_left_and_none_are_applied() {
    let mut world = started(2);
    world.corruption_expected = true;
    world.machine_faults[0].corrupts = true;
    for token in 40..50 {
        world.submit(1, (token % 2) as u8, 3, token);
        world.run(2);
    }
    world.run(60);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
    assert!(follower_stats(&world, 0).misfits >= 1);
    assert_eq!(world.applied[0].stale, 0, "a single wrong control machine causes no reset");
}

#[rstest]
#[case::set(0)]
#[case::register(1)]
fn the_largest_change_is_sent_in_parts_and_delays_no_other_stream(#[case] topic: u8) {
    let defaults = Rules { controls: 3, stores: 3, ..Rules::default() };
    let mut world = World::new(defaults, 1);
    world.run(100);
    let large: Rc<[u8]> = (0..4096).map(|i| (i % 251) as u8).collect();
    world.submit_body(0, topic, 5, 1, large.clone());
    world.run(15);
    // Meanwhile small changes of another store are sent, and none waits for the large one.
    for token in 10..20 {
        world.submit(1, topic, token, token);
        world.run(5);
    }
    let small = StreamId { topic, store: ControlId(1) };
    world.run(40);
    assert_eq!(world.applied[0].upto.get(&small), Some(&10));
    let at = StreamId { topic, store: ControlId(0) };
    world.run(200);
    assert!(world.applied[0].bodies.get(&(at, 1)) == Some(&large), "the change was reassembled");
    assert_eq!(world.applied[0].marks, 0);
    let parts: u64 = world.controls.iter().flatten().map(|c| c.stats(world.now).parts).sum();
    assert!(parts >= 7, "{parts} parts");
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[rstest]
#[case::set(0)]
#[case::register(1)]
fn wrong_bytes_in_a_part_are_detected_after_reassembly(#[case] topic: u8) {
    let defaults = Rules { controls: 3, stores: 3, ..Rules::default() };
    let mut world = World::new(defaults, 1);
    world.run(100);
    world.submit(1, topic, 5, 1);
    world.run(50);
    let large: Rc<[u8]> = (0..4096).map(|i| (i % 251) as u8).collect();
    world.submit_body(0, topic, 6, 2, large.clone());
    // The other stores have it. From now on the primary corrupts it.
    world.run(4);
    assert_eq!(world.acknowledged.len(), 2);
    world.corruption_expected = true;
    world.machine_faults[0].corrupts = true;
    world.run(500);
    let at = StreamId { topic, store: ControlId(0) };
    assert!(world.applied[0].bodies.get(&(at, 1)) == Some(&large), "{:?}", world.errors);
    assert_eq!(world.applied[0].stale, 0, "{:?}", world.errors);
    assert!(follower_stats(&world, 0).misfits >= 1);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_change_refused_by_all_is_reported_by_all_and_blocks_nothing() {
    let mut world = started(2);
    world.submit(0, 1, 77, 60);
    world.run(20);
    let number = world.applied[0].upto[&REGISTER];
    for f in 0..2 {
        world.followers[f].as_mut().expect("running").report_refused(REGISTER, number);
    }
    world.submit(0, 1, 78, 61);
    world.run(40);
    world.ask(1, REGISTER, number, 1);
    world.run(5);
    let report = world.status_reports.last().expect("an answer");
    assert!(report.all());
    assert_eq!(report.refused, [FollowerId(0), FollowerId(1)]);
    let named: u32 =
        world.controls.iter().flatten().flat_map(|c| c.stats(world.now).refused).map(|r| r.2).sum();
    assert_eq!(named, 2);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_status_report_lists_missing_followers_and_unreachable_control_machines() {
    let mut world = started(3);
    world.isolated[1] = true;
    world
        .connections
        .values_mut()
        .filter(|w| w.ends.contains(&world::Endpoint::Follower(1)))
        .for_each(|w| w.stalled = [true; 2]);
    world.run(30);
    world.submit(0, 0, 0, 70);
    world.run(20);
    let at = (SET, 7);
    assert!(world.acknowledged.contains_key(&at));
    world.ask(2, SET, 7, 1);
    world.run(5);
    let report = world.status_reports.last().expect("an answer").clone();
    assert!(report.committed && !report.all() && !report.lapsed);
    assert_eq!((report.missing, report.unheard), (vec![FollowerId(1)], vec![]));
    world.run(40);
    world.ask(2, SET, 7, 2);
    world.run(5);
    assert!(world.status_reports.last().expect("an answer").lapsed);
    world.machine_faults[0].frozen = true;
    world.run(2);
    world.ask(2, SET, 7, 3);
    world.run(15);
    let report = world.status_reports.last().expect("an answer");
    assert_eq!(report.unheard, [ControlId(0)]);
    assert!(report.missing.contains(&FollowerId(1)));
    assert_eq!(world.result, Ok(()));
}

#[test]
fn a_follower_has_everything_after_twenty_restarts_in_a_row() {
    let mut world = started(2);
    for i in 0..20u32 {
        let saved = world.kill_follower(0);
        world.start_follower(0, Some(saved).filter(|_| i % 2 == 0));
        world.submit(0, (i % 2) as u8, i, 100 + i);
        world.run(1 + i as usize % 7);
    }
    world.run(80);
    assert_eq!(world.acknowledged.len(), 32);
    world.check_converged();
    assert_eq!(world.result, Ok(()));
}

#[test]
fn an_invalid_order_is_rejected_and_unknown_streams_are_ignored() {
    let new = |order: Vec<ControlId>, saved| {
        dissemination::Follower::new(0, rules(3, 3, None), FollowerId(1), order, saved, 1)
            .map(|f| f.position().len())
    };
    assert!(new(vec![], None).is_err());
    assert!(new(vec![ControlId(1), ControlId(1)], None).is_err());
    assert!(new(vec![ControlId(3)], None).is_err());
    let beyond = StreamId { topic: 3, store: ControlId(9) };
    let saved = SavedState { epoch: 1, heads: vec![(beyond, Head { number: 4, digest: 4 })] };
    assert_eq!(new(vec![ControlId(0)], Some(saved)), Ok(0), "heads of unknown streams are dropped");
    assert_eq!(body(1).len(), 6);
}
