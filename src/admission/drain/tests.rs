use super::*;
use rstest::rstest;

const MS: Micros = 1_000;

#[rstest]
#[case::nobody_comes(&[], false, 1000)]
#[case::somebody_comes(&[100, 950], false, 1150)]
#[case::somebody_always_comes(&[100, 900, 1050, 1200, 1350, 1500, 1599], false, 1600)]
#[case::all_have_left(&[], true, 500)]
#[case::all_have_left_but_one_comes(&[100, 450], true, 650)]
fn connections_are_accepted_until_none_arrives_for_a_while(
    #[case] come_ms: &[Micros],
    #[case] none_open: bool,
    #[case] until_ms: Micros,
) {
    let mut drain = Drain::new(7, None);
    come_ms.iter().for_each(|ms| drain.accepted(7 + ms * MS, DownstreamId(1)));
    assert!(drain.accepts(7 + until_ms * MS - 1, none_open));
    assert!(!drain.accepts(7 + until_ms * MS, none_open));
}

#[rstest]
#[case::all_have_left(true, 0)]
#[case::somebody_stays(false, 2450)]
fn draining_ends_once_no_connection_is_left(#[case] none_open: bool, #[case] over_ms: Micros) {
    let drain = Drain::new(0, Some(2_000 * MS));
    assert_eq!((0..4000).find(|ms| drain.is_over(ms * MS, none_open)), Some(over_ms));
}

#[test]
fn downstreams_are_told_to_finish_evenly_over_the_span() {
    let mut drain = Drain::new(0, None);
    let mut at = Vec::new();
    for ms in 0..1600 {
        let told = drain.step(ms * MS, || (0..61).map(DownstreamId).collect());
        assert!(told.finish.len() <= 1 && !told.all, "{told:?} at {ms}");
        at.extend(told.finish.iter().map(|id| (id.0, ms)));
    }
    assert_eq!((at.len(), at[0], at[59].0), (60, (0, 1010), 59));
    assert!(at.windows(2).all(|w| w[1].1 - w[0].1 <= 11), "{at:?}");
    let last = drain.step(1600 * MS, Vec::new);
    assert_eq!((last.finish, last.all), (vec![DownstreamId(60)], false));
    // A connection accepted later, from a backlog that had to wait for room, is told as well.
    drain.accepted(1700 * MS, DownstreamId(61));
    assert_eq!(drain.step(1720 * MS, Vec::new).finish, vec![DownstreamId(61)]);
}

/// Requests that arrive by the time that the protocol allows for new connections get their whole deadline,
/// except for a part where the deadline is so long that the kill follows upon it.
#[rstest]
fn all_downstreams_are_told_and_answered_before_the_kill_for_any_patience(
    #[values(1, 100, 200, 500, 1_000, 2_000, 3_000, 10_000, 60_000)] patience_ms: Micros,
    #[values(0, 200, 400, 700, 1_300, 3_000)] late_ms: Micros,
) {
    let kill_ms = patience_ms.min(3_000) + 700;
    let mut drain = Drain::new(0, Some(patience_ms * MS));
    let told = (0..5000).find(|ms| drain.step(ms * MS, Vec::new).all).expect("all are told");
    let over = (0..5000).find(|ms| drain.is_over(ms * MS, false)).expect("it ends");
    let margin = (kill_ms / 8).min(250);
    assert!(told + 40 <= over && over <= kill_ms - margin + 1, "told at {told}, over at {over}");
    // Connections are accepted while new ones arrive, and none is told to finish before.
    let closed = (0..5000).find(|ms| !drain.accepts(ms * MS, false)).expect("it closes");
    assert!(closed >= 400.min(kill_ms / 2), "closed at {closed}");
    let late = late_ms.min(told - 1);
    let left = (patience_ms * MS).min(drain.answer_deadline() - late * MS).max(1) / MS;
    assert!(late + left <= told, "{left} ms at {late}");
    if late <= 300 {
        assert!(left >= patience_ms.min(3_000 - late), "{left} ms at {late}");
    }
}
