use super::*;

const S: Micros = 1_000_000;
const HOUR: Micros = 3_600 * S;
const NOW: Micros = 100 * HOUR;

/// The age of a server after correction, if its reported start is `reported`.
fn age(
    start_times: &mut StartTimes,
    now: Micros,
    reported: Micros,
    first: bool,
    heard: Option<Micros>,
) -> Micros {
    let mut member = Member { started: Some(reported), ..Member::ready(ServerId(1)) };
    start_times.correct(now, &mut member, first, heard);
    member.age(now)
}

fn start_times() -> StartTimes {
    StartTimes::new(23 * S)
}

#[test]
fn a_start_in_the_future_counts_as_now_and_ages_from_then_on() {
    let mut start_times = start_times();
    let reported = NOW + HOUR;
    assert_eq!(age(&mut start_times, NOW, reported, false, Some(NOW)), 0);
    assert_eq!(age(&mut start_times, NOW + 10 * S, reported, false, Some(NOW)), 10 * S);
}

#[test]
fn a_new_start_of_an_hour_ago_counts_as_now_if_discovery_was_in_contact() {
    let mut start_times = start_times();
    assert_eq!(age(&mut start_times, NOW, NOW - 2 * S, false, Some(NOW)), 2 * S);
    assert_eq!(age(&mut start_times, NOW + S, NOW - HOUR, false, Some(NOW)), 0, "it started again");
    assert_eq!(
        age(&mut start_times, NOW + 5 * S, NOW - HOUR, false, Some(NOW)),
        4 * S,
        "the same start, listed again"
    );
}

#[test]
fn a_start_without_contact_to_discovery_is_as_old_as_reported() {
    assert_eq!(age(&mut start_times(), NOW, NOW - HOUR, true, None), HOUR, "known at the start");
    assert_eq!(
        age(&mut start_times(), NOW, NOW - HOUR, false, None),
        HOUR,
        "the first contact with discovery"
    );
    assert_eq!(
        age(&mut start_times(), NOW, NOW - 30 * S, false, Some(NOW - 40 * S)),
        30 * S,
        "after a long silence"
    );
}

#[test]
fn servers_that_are_removed_leave_no_entry() {
    let mut start_times = start_times();
    age(&mut start_times, NOW, NOW - S, false, Some(NOW));
    start_times.retain(|_| false);
    assert_eq!(start_times.len(), 0);
}
