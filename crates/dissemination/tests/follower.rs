//! Followers: positions old, new and from the future, epochs, silence, gaps, large changes, refusals, restarts.

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
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
    world
}

fn figures(world: &World, f: usize) -> dissemination::follower::Shown {
    world.followers[f].as_ref().expect("it runs").stats(world.now)
}

#[test]
fn one_with_an_old_position_gets_the_rest_and_nothing_twice() {
    let mut world = started(2);
    let kept = world.kill_follower(0);
    for token in 20..30 {
        world.submit(1, 0, 0, token);
        world.run(1);
    }
    world.start_follower(0, Some(kept));
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
    assert_eq!((world.applied[0].marks, world.applied[0].stale), (0, 0));
    assert_eq!(world.applied[0].bodies.len(), 22);
}

#[test]
fn one_from_the_future_starts_that_stream_anew_when_two_have_said_so() {
    let mut world = started(2);
    let mut kept = world.kill_follower(0);
    let set = kept.heads.iter_mut().find(|h| h.0 == SET).expect("it held it");
    set.1 = Head { number: set.1.number + 7, digest: 99 };
    world.start_follower(0, Some(kept));
    world.run(5);
    assert!(!world.followers[0].as_ref().expect("it runs").in_service(world.now));
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
    // That stream alone.
    assert_eq!(world.applied[0].stale, 1);
    assert!(world.controls.iter().flatten().map(|c| c.stats(world.now).history_mismatches).sum::<u64>() >= 2);
}

#[rstest]
#[case::set(SET)]
#[case::register(REGISTER)]
fn one_with_another_history_of_the_same_length_is_found(#[case] stream: StreamId) {
    let mut world = started(2);
    let mut kept = world.kill_follower(1);
    kept.heads.iter_mut().filter(|h| h.0 == stream).for_each(|h| h.1.digest ^= 1);
    world.start_follower(1, Some(kept));
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
    assert_eq!(world.applied[1].stale, 1);
}

/// Three stores in epoch 1, restored from an old copy without the last two changes of each stream: two of them begin
/// in epoch 2, one is forgotten.
fn restored() -> World {
    let mut world = started(2);
    let kept: Vec<SavedState> = (0..2).map(|f| world.kill_follower(f)).collect();
    (0..3).for_each(|c| world.kill_control(c));
    for (f, kept) in kept.into_iter().enumerate() {
        world.start_follower(f, Some(kept));
    }
    // What the operators have given up is gone: its numbers are given again.
    world.acknowledged.retain(|at, _| at.1 <= 4);
    world.seen.retain(|at, _| at.1 <= 4);
    let keep = |r: &Record| !matches!(r, Record::Change(c, _) if c.number > 4);
    world.disks.iter_mut().for_each(|d| d.retain(keep));
    world.start_control(2);
    world.rules.epoch = 2;
    world.liars = true;
    world.start_control(0);
    world.start_control(1);
    world.run(100);
    for token in 50..54 {
        world.submit(0, (token % 2) as u8, 1, token);
    }
    world.run(60);
    assert!(world.acknowledged.contains_key(&(SET, 5)));
    world.judge_whole();
    world
}

#[test]
fn a_higher_epoch_makes_all_before_stale_and_a_lower_one_is_refused() {
    let world = restored();
    assert_eq!(world.verdict, Ok(()));
    for f in 0..2 {
        let follower = world.followers[f].as_ref().expect("it runs");
        assert_eq!(follower.epoch(), 2);
        assert_eq!(world.applied[f].stale, 2, "both streams");
    }
    assert!(world.errors.iter().any(|e| e.contains("epoch 1 is not in force here")), "{:?}", world.errors);
}

/// A follower is made to begin a stream anew while changes go on: what was on the way then leaves a gap.
#[test]
fn one_that_begins_anew_while_changes_go_on_applies_them_in_order() {
    let mut world = started(2);
    let mut kept = world.kill_follower(0);
    kept.heads.iter_mut().filter(|h| h.0 == SET).for_each(|h| h.1.digest ^= 1);
    world.start_follower(0, Some(kept));
    for token in 100..160 {
        world.submit(0, 0, 0, token);
        world.run(1);
    }
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

/// What a follower applies of three pieces, of which the second comes last.
fn fed(planted: Option<InjectedFault>) -> Vec<u64> {
    let mut follower = Follower::new(0, rules(2, 2, planted), FollowerId(1), vec![ControlId(0)], None, 1)
        .expect("sound rules");
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
        follower.handle_message(3, ControlId(0), &message, &mut out).expect("sound words");
    }
    let applied = |o: follower::Output| match o {
        follower::Output::Apply(piece) => Some(piece.upto()),
        _ => None,
    };
    out.into_iter().filter_map(applied).collect()
}

#[test]
fn nothing_is_applied_over_a_gap() {
    assert_eq!(fed(None), [1, 2, 3]);
    assert_eq!(fed(Some(InjectedFault::Gaps)), [1, 3], "the guard is what keeps it so");
}

#[test]
fn one_without_any_way_to_the_stores_leaves_service_by_itself_and_comes_back() {
    let mut world = started(1);
    (0..3).for_each(|c| world.ills[c].frozen = true);
    let lease = (world.rules.lease / world::HOP) as usize;
    // What it knew was up to 20 hops old: a poll, a beat, an ack, and the ways between.
    world.run(lease - 20);
    assert!(world.followers[0].as_ref().expect("it runs").in_service(world.now));
    world.run(21);
    assert!(!world.followers[0].as_ref().expect("it runs").in_service(world.now));
    (0..3).for_each(|c| world.ills[c].frozen = false);
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn a_silent_primary_is_left_for_the_secondary_and_a_third_stands_by() {
    let mut world = started(1);
    let shown = figures(&world, 0);
    assert_eq!((shown.primary, shown.secondary), (Some((ControlId(0), true)), Some((ControlId(1), true))));
    world.ills[0].frozen = true;
    let silence = (world.rules.silence_timeout / world::HOP) as usize;
    world.run(silence + 6);
    let shown = figures(&world, 0);
    assert_eq!((shown.primary, shown.secondary), (Some((ControlId(1), true)), Some((ControlId(2), true))));
    assert_eq!(shown.promotions, 1);
    world.submit(1, 0, 0, 40);
    world.run(30);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn one_that_carries_wrong_bytes_is_left_and_nothing_of_it_is_applied() {
    let mut world = started(2);
    world.liars = true;
    world.ills[0].lies = true;
    for token in 40..50 {
        world.submit(1, (token % 2) as u8, 3, token);
        world.run(2);
    }
    world.run(60);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
    assert!(figures(&world, 0).misfits >= 1);
    assert_eq!(world.applied[0].stale, 0, "one that is wrong does not make others doubt what they hold");
}

#[rstest]
#[case::set(0)]
#[case::register(1)]
fn the_largest_change_goes_in_parts_and_holds_up_no_other_stream(#[case] topic: u8) {
    let defaults = Rules { controls: 3, stores: 3, ..Rules::default() };
    let mut world = World::new(defaults, 1);
    world.run(100);
    let large: Rc<[u8]> = (0..4096).map(|i| (i % 251) as u8).collect();
    world.submit_body(0, topic, 5, 1, large.clone());
    world.run(15);
    // Beside it go small ones of another store, and none waits for it.
    for token in 10..20 {
        world.submit(1, topic, token, token);
        world.run(5);
    }
    let small = StreamId { topic, store: ControlId(1) };
    world.run(40);
    assert_eq!(world.applied[0].upto.get(&small), Some(&10));
    let at = StreamId { topic, store: ControlId(0) };
    world.run(200);
    assert!(world.applied[0].bodies.get(&(at, 1)) == Some(&large), "it came whole");
    assert_eq!(world.applied[0].marks, 0);
    let parts: u64 = world.controls.iter().flatten().map(|c| c.stats(world.now).parts).sum();
    assert!(parts >= 7, "{parts} parts");
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[rstest]
#[case::set(0)]
#[case::register(1)]
fn wrong_bytes_in_a_part_are_found_when_the_change_is_whole(#[case] topic: u8) {
    let defaults = Rules { controls: 3, stores: 3, ..Rules::default() };
    let mut world = World::new(defaults, 1);
    world.run(100);
    world.submit(1, topic, 5, 1);
    world.run(50);
    let large: Rc<[u8]> = (0..4096).map(|i| (i % 251) as u8).collect();
    world.submit_body(0, topic, 6, 2, large.clone());
    // The other stores have it; from now on the primary says it wrong.
    world.run(4);
    assert_eq!(world.acknowledged.len(), 2);
    world.liars = true;
    world.ills[0].lies = true;
    world.run(500);
    let at = StreamId { topic, store: ControlId(0) };
    assert!(world.applied[0].bodies.get(&(at, 1)) == Some(&large), "{:?}", world.errors);
    assert_eq!(world.applied[0].stale, 0, "{:?}", world.errors);
    assert!(figures(&world, 0).misfits >= 1);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn a_change_that_all_refuse_is_named_by_all_and_blocks_nothing() {
    let mut world = started(2);
    world.submit(0, 1, 77, 60);
    world.run(20);
    let number = world.applied[0].upto[&REGISTER];
    for f in 0..2 {
        world.followers[f].as_mut().expect("it runs").report_refused(REGISTER, number);
    }
    world.submit(0, 1, 78, 61);
    world.run(40);
    world.ask(1, REGISTER, number, 1);
    world.run(5);
    let told = world.told.last().expect("an answer");
    assert!(told.all());
    assert_eq!(told.refused, [FollowerId(0), FollowerId(1)]);
    let named: u32 =
        world.controls.iter().flatten().flat_map(|c| c.stats(world.now).refused).map(|r| r.2).sum();
    assert_eq!(named, 2);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn a_status_names_who_is_not_known_to_have_it_and_who_was_not_heard() {
    let mut world = started(3);
    world.cut_off[1] = true;
    world
        .wires
        .values_mut()
        .filter(|w| w.ends.contains(&world::End::Follower(1)))
        .for_each(|w| w.hung = [true; 2]);
    world.run(30);
    world.submit(0, 0, 0, 70);
    world.run(20);
    let at = (SET, 7);
    assert!(world.acknowledged.contains_key(&at));
    world.ask(2, SET, 7, 1);
    world.run(5);
    let told = world.told.last().expect("an answer").clone();
    assert!(told.committed && !told.all() && !told.lapsed);
    assert_eq!((told.missing, told.unheard), (vec![FollowerId(1)], vec![]));
    world.run(40);
    world.ask(2, SET, 7, 2);
    world.run(5);
    assert!(world.told.last().expect("an answer").lapsed);
    world.ills[0].frozen = true;
    world.run(2);
    world.ask(2, SET, 7, 3);
    world.run(15);
    let told = world.told.last().expect("an answer");
    assert_eq!(told.unheard, [ControlId(0)]);
    assert!(told.missing.contains(&FollowerId(1)));
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn twenty_restarts_in_a_row_end_with_all_of_it() {
    let mut world = started(2);
    for i in 0..20u32 {
        let kept = world.kill_follower(0);
        world.start_follower(0, Some(kept).filter(|_| i % 2 == 0));
        world.submit(0, (i % 2) as u8, i, 100 + i);
        world.run(1 + i as usize % 7);
    }
    world.run(80);
    assert_eq!(world.acknowledged.len(), 32);
    world.judge_whole();
    assert_eq!(world.verdict, Ok(()));
}

#[test]
fn an_order_or_a_position_that_is_none_is_told() {
    let new = |order: Vec<ControlId>, kept| {
        dissemination::Follower::new(0, rules(3, 3, None), FollowerId(1), order, kept, 1)
            .map(|f| f.position().len())
    };
    assert!(new(vec![], None).is_err());
    assert!(new(vec![ControlId(1), ControlId(1)], None).is_err());
    assert!(new(vec![ControlId(3)], None).is_err());
    let beyond = StreamId { topic: 3, store: ControlId(9) };
    let kept = SavedState { epoch: 1, heads: vec![(beyond, Head { number: 4, digest: 4 })] };
    assert_eq!(new(vec![ControlId(0)], Some(kept)), Ok(0), "of a stream that there is not nothing is held");
    assert_eq!(body(1).len(), 6);
}
