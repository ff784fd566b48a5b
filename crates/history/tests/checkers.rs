//! Tests of the checkers other than that for registers: they accept correct histories and reject planted
//! violations. Also checks that the serialized types survive a round trip.

use history::converge::{self, Bound, Sample};
use history::failure_detection::{detection, flapping, wrong_failures, Change, Cut, Down, Truth};
use history::finals::{self, Event, Fault};
use history::operation::{Client, History, Kind, Malformed, Operation, Outcome, Recorder};
use history::{counter, register, set, Fate, UndecidedReason, Verdict};
use rstest::rstest;

fn taken(id: u64, at_us: i64) -> Event {
    Event::Taken { id, at_us }
}

fn answered(id: u64, at_us: i64, last: bool) -> Event {
    Event::Answered { id, at_us, last }
}

#[rstest]
#[case::right(&[taken(1, 0), taken(2, 1), answered(1, 2, false), answered(1, 3, true), answered(2, 4, true)], None)]
#[case::released(&[taken(1, 0), Event::Released { id: 1, at_us: 1 }, answered(1, 2, true)], None)]
#[case::taken_at_the_end(&[taken(1, 100)], None)]
#[case::lost(&[taken(1, 5), answered(1, 6, false)], Some(Fault::Lost { id: 1, taken_us: 5 }))]
#[case::two_answers(&[taken(1, 0), answered(1, 2, true), answered(1, 3, true)],
    Some(Fault::AfterFinal { id: 1, final_us: 2, at_us: 3, last: true }))]
#[case::an_answer_after(&[taken(1, 0), answered(1, 2, true), answered(1, 3, false)],
    Some(Fault::AfterFinal { id: 1, final_us: 2, at_us: 3, last: false }))]
#[case::unasked(&[answered(4, 2, true)], Some(Fault::Unasked { id: 4, at_us: 2 }))]
#[case::taken_twice(&[taken(1, 0), taken(1, 1), answered(1, 2, true)], Some(Fault::TakenTwice { id: 1, at_us: 1 }))]
fn each_request_has_one_final_answer(#[case] events: &[Event], #[case] fault: Option<Fault>) {
    let verdict = finals::check(events, 100);
    assert_eq!(verdict.broken().map(|found| found.first.clone()), fault.map(|f| vec![f]));
    assert_eq!(verdict.is_held(), fault.is_none());
}

#[rstest]
#[case::right(&["a", "u"], "")]
#[case::unknown_gone(&["a"], "")]
#[case::lost(&["u"], "lost a")]
#[case::phantom(&["a", "z"], "phantom z")]
#[case::refused(&["a", "r"], "refused r")]
#[case::ran_twice(&["a", "a"], "again a")]
#[case::unknown_ran_twice(&["a", "u", "u"], "again u")]
fn a_set_contains_what_was_acknowledged(#[case] seen: &[&str], #[case] wrong: &str) {
    let tried = [
        ("a", Fate::Unknown),
        ("a", Fate::Acknowledged),
        ("a", Fate::Refused),
        ("u", Fate::Unknown),
        ("r", Fate::Refused),
    ];
    let verdict = set::check(tried, seen.iter().copied());
    let mut found = Vec::new();
    if let Some(d) = verdict.broken() {
        let of = [("lost", &d.lost), ("phantom", &d.phantom), ("refused", &d.refused)];
        found = of.iter().flat_map(|(w, l)| l.first.iter().map(move |n| format!("{w} {n}"))).collect();
        found.extend(d.again.first.iter().map(|(name, _)| format!("again {name}")));
    }
    assert_eq!(found.join(","), wrong);
    assert_eq!(verdict.is_held(), wrong.is_empty());
}

/// A history that adds 5 (acknowledged by 10), 2 (unknown), -1 (unknown), 100 (refused) and 7 (from 50 to
/// 60), then reads the total.
fn adds(from: i64, to: i64, told: i64) -> History {
    let add = |who, at, amount| Operation::invoked(Client(who), "n", Kind::Add { amount }, at);
    let all = vec![
        add(1, 0, 5).returned(10, Outcome::Done),
        add(2, 0, 2),
        add(3, 0, -1).returned(9, Outcome::Unknown),
        add(4, 0, 100).returned(9, Outcome::Refused),
        add(1, 50, 7).returned(60, Outcome::Done),
        Operation::invoked(Client(9), "n", Kind::Total, from).returned(to, Outcome::Total(told)),
    ];
    History::try_from(all).expect("few")
}

#[rstest]
#[case::before(20, 30, 4..=7)]
#[case::while_out(20, 55, 4..=14)]
#[case::after(70, 80, 11..=14)]
#[case::at_once(0, 1, -1..=7)]
fn counters_add_up(#[case] from: i64, #[case] to: i64, #[case] right: std::ops::RangeInclusive<i64>) {
    for told in -5..120 {
        let verdict = counter::check(&adds(from, to, told));
        assert_eq!(verdict.is_held(), right.contains(&told), "{told}: {verdict:?}");
        if let Some(found) = verdict.broken() {
            assert_eq!(
                (found.first[0].least, found.first[0].most),
                ((*right.start()).into(), (*right.end()).into())
            );
        }
    }
}

fn samples(text: &str) -> Vec<Sample> {
    let one = |words: &str| {
        let [at, observer, says] = words.split(' ').collect::<Vec<_>>()[..] else { panic!("{words}") };
        let view = says.split(',').filter_map(|w| w.split_once('=')).map(|(s, w)| (s.into(), w.into()));
        let view = (says != "gone").then(|| view.collect());
        Sample { at_us: at.parse().expect("a time"), observer: observer.into(), view }
    };
    text.split("; ").map(one).collect()
}

#[rstest]
#[case::at_once("0 a x=up; 0 b x=up", Some((0, 0)))]
#[case::in_time("0 a x=up; 0 b x=down; 105 b x=up", Some((5, 5)))]
#[case::again("0 a x=up; 0 b x=up; 130 a x=down; 139 b x=down", Some((0, 9)))]
#[case::who_differs_is_gone("0 a x=up; 0 b x=down; 107 b gone", Some((7, 7)))]
#[case::differed_before_it_was_whole("0 a x=up; 0 b x=down; 99 b x=up", Some((0, 0)))]
#[case::too_late("0 a x=up; 0 b x=down; 111 b x=up", None)]
#[case::never("0 a x=up,y=up; 0 b y=up", None)]
#[case::apart_again("0 a x=up; 0 b x=up; 130 a x=down; 141 b x=down", None)]
#[case::says_nothing("0 a x=up", None)]
fn views_converge(#[case] text: &str, #[case] held: Option<(i64, i64)>) {
    let bound = Bound { whole_us: 100, within_us: 10, until_us: 200 };
    let verdict = converge::check(&samples(text), &["a", "b"], &bound);
    assert_eq!(verdict.held().map(|c| (c.first_us, c.longest_us)), held);
    assert_eq!(verdict.broken().is_some(), held.is_none());
}

#[test]
fn diverging_views_are_reported_by_subject_and_observer() {
    let bound = Bound { whole_us: 100, within_us: 10, until_us: 200 };
    let text = "0 a x=up,y=up; 0 b x=down,y=up; 0 c x=up,y=up; 0 d y=up; 150 b x=up,y=up";
    let verdict = converge::check(&samples(text), &["e"], &bound);
    let apart = verdict.broken().expect("apart");
    assert_eq!((apart.from_us, apart.to_us, &*apart.silent.first), (100, None, &["e".to_owned()][..]));
    let says = [(None, vec!["d"]), (Some("down"), vec!["b"]), (Some("up"), vec!["a", "c"])]
        .map(|(w, who)| (w.map(str::to_owned), who.into_iter().map(str::to_owned).collect::<Vec<_>>()));
    assert_eq!((apart.subjects.count, &apart.subjects.first[0].says[..]), (1, &says[..]));
    // If the recording is too short, no decision is possible.
    let verdict = converge::check(&samples(text), &[], &Bound { until_us: 105, ..bound });
    assert_eq!(verdict, Verdict::NotDecided(UndecidedReason::EndsTooSoon));
}

fn changes(text: &str) -> Vec<Change> {
    let one = |words: &str| {
        let [at, observer, subject, says] = words.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{words}")
        };
        let at_us = at.parse().expect("a time");
        Change { at_us, observer: observer.into(), subject: subject.into(), says: says.into() }
    };
    text.split("; ").map(one).collect()
}

#[rstest]
#[case::right("0 a x up; 10 a x failed; 21 a x up", 2, true)]
#[case::the_same_again("0 a x up; 1 a x up; 2 a x up; 3 a x up", 1, true)]
#[case::others_do_not_count("0 a x up; 1 b x up; 2 a y up; 3 b y up", 1, true)]
#[case::both_ends_count("0 a x up; 10 a x failed; 20 a x up", 3, false)]
#[case::late_in_the_history("0 a x up; 90 a x failed; 95 a x up; 99 a x failed", 3, false)]
fn no_flapping(#[case] text: &str, #[case] busiest: usize, #[case] held: bool) {
    match flapping(&changes(text), 20, 2) {
        Verdict::Held(flap) => assert!(held && flap.changes == busiest, "{flap:?}"),
        Verdict::Broken(found) => assert!(!held && found.first[0].changes == busiest, "{found:?}"),
        Verdict::NotDecided(why) => panic!("{why}"),
    }
}

fn truth() -> Truth {
    let cut = |from: &str, to: &str, from_us, to_us| Cut { from: from.into(), to: to.into(), from_us, to_us };
    Truth {
        down: vec![
            Down { who: "x".into(), from_us: 100, to_us: Some(200) },
            Down { who: "c".into(), from_us: 50, to_us: None },
        ],
        cut: vec![cut("a", "y", 300, Some(400)), cut("y", "b", 300, Some(400))],
    }
}

#[rstest]
#[case::dead("150 a x failed", 0)]
#[case::just_back("205 a x failed", 0)]
#[case::cut_one_way("350 a y failed; 350 b y failed", 0)]
#[case::said_again("150 a x failed; 250 a x gone; 260 a x failed", 0)]
#[case::alive("99 a x failed", 1)]
#[case::long_back("211 a x failed; 220 a x up; 230 a x failed", 2)]
#[case::cut_from_another("350 d y failed", 1)]
#[case::an_observer_away("60 c x failed", 1)]
fn false_positives_are_reported(#[case] text: &str, #[case] wrong: u64) {
    let of = |most| wrong_failures(&changes(text), &truth(), &["failed", "gone"], 10, most);
    assert_eq!(of(wrong).held().map(|w| w.count), Some(wrong));
    if wrong > 0 {
        assert_eq!(of(wrong - 1).broken().map(|w| w.count), Some(wrong));
    }
}

#[test]
fn detection_is_timed_and_late_or_missing_detections_are_reported() {
    let of = |text, until| detection(&changes(text), &truth(), &["a", "b", "x"], &["failed"], 40, until);
    // x is down while c is down, so it is not an observer of that kill.
    let known = "60 a c failed; 70 b c failed; 110 a x failed; 139 b x failed";
    let times = *of(known, 500).held().expect("known");
    assert_eq!((times.kills, times.median_us, times.worst_us), (2, 39, 39));
    let late = "60 a c failed; 70 b c failed; 110 a x failed; 141 b x failed";
    let found = of(late, 500).broken().expect("late").first.clone();
    assert_eq!((found.len(), &*found[0].observer, found[0].after_us), (1, "b", Some(41)));
    let never = "60 a c failed; 70 b c failed; 110 a x failed; 110 b x suspect";
    assert_eq!(of(never, 500).broken().expect("never known").first[0].after_us, None);
    // A kill recorded for less than the time limit is inconclusive.
    let times = *of(never, 130).held().expect("one");
    assert_eq!((times.kills, times.cut_short), (1, 1));
    assert_eq!(of("0 a b up", 60), Verdict::NotDecided(UndecidedReason::EndsTooSoon));
}

#[test]
fn a_malformed_history_is_rejected() {
    let read = |at| Operation::invoked(Client(1), "k", Kind::Read, at);
    let check = |all: Vec<Operation>| {
        let history = History::try_from(all).expect("few");
        let wrong = history.check();
        let verdict = register::check(&history, &register::Effort::default());
        assert_eq!(matches!(verdict, Verdict::NotDecided(UndecidedReason::Malformed(_))), wrong.is_err());
        wrong
    };
    let client = Client(1);
    assert_eq!(
        check(vec![read(5).returned(9, Outcome::Absent), read(0).returned(5, Outcome::Unknown)]),
        Ok(())
    );
    let wrong = [
        (read(5).returned(4, Outcome::Absent), Malformed::ReturnsBefore { client, invoked_us: 5 }),
        (read(5).returned(6, Outcome::Done), Malformed::Unfit { client, invoked_us: 5 }),
        (
            Operation { outcome: Outcome::Absent, ..read(5) },
            Malformed::NeverReturned { client, invoked_us: 5 },
        ),
        (Operation { key: "k".repeat(5000), ..read(5) }, Malformed::TooLong { client, invoked_us: 5 }),
    ];
    for (operation, why) in wrong {
        assert_eq!(check(vec![operation]), Err(why));
    }
    let twice = Err(Malformed::TwoAtOnce { client, invoked_us: 5 });
    assert_eq!(check(vec![read(0).returned(6, Outcome::Absent), read(5)]), twice);
    assert_eq!(check(vec![read(0), read(5)]), twice);
    let total = Operation { client: Client(2), kind: Kind::Total, ..read(0) };
    assert_eq!(check(vec![read(0), total]), Err(Malformed::TwoUses { key: "k".into() }));
}

#[test]
fn a_recorder_builds_a_history_and_rejects_invalid_events() {
    let mut recorder = Recorder::default();
    let (one, two) = (Client(1), Client(2));
    recorder.invoke(0, one, "k", Kind::Read).expect("first");
    recorder.invoke(1, two, "k", Kind::Delete).expect("another client");
    assert_eq!(
        recorder.invoke(2, one, "k", Kind::Read),
        Err(Malformed::TwoAtOnce { client: one, invoked_us: 2 })
    );
    assert!(recorder.returned(3, one, Outcome::Absent).is_ok());
    assert_eq!(
        recorder.returned(4, one, Outcome::Absent).err(),
        Some(Malformed::NothingOut { client: one, at_us: 4 })
    );
    let history = recorder.finish();
    assert_eq!(history.check(), Ok(()));
    assert_eq!(history.operations()[1], Operation::invoked(two, "k", Kind::Delete, 1));
}

#[test]
fn serialized_types_survive_a_round_trip() {
    let line = r#"{"client":3,"key":"k","kind":{"write":{"value":"a"}},"invoked_us":1,"returned_us":2,"outcome":"done"}"#;
    let operation: Operation = serde_json::from_str(line).expect("a line");
    assert_eq!(serde_json::to_string(&operation).expect("a line"), line);
    for outcome in [Outcome::Value("v".into()), Outcome::Found(None), Outcome::Total(-3), Outcome::Unknown] {
        let kind = Kind::Insert { value: "é".into() };
        let history =
            History::try_from(vec![Operation::invoked(Client(1), "k", kind, 0).returned(1, outcome)])
                .expect("few");
        let text = serde_json::to_string(&history).expect("text");
        assert_eq!(serde_json::from_str::<History>(&text).expect("a history"), history);
    }
    let reads = History::try_from(vec![
        Operation::invoked(Client(1), "k", Kind::Read, 0).returned(1, Outcome::Value("v".into()))
    ]);
    let verdict = register::check(&reads.expect("few"), &register::Effort::default());
    let text = serde_json::to_string(&verdict).expect("text");
    assert!(verdict.broken().is_some());
    assert_eq!(
        serde_json::from_str::<Verdict<register::Linearizable, _>>(&text).expect("a verdict"),
        verdict
    );
    let apart = converge::check(
        &samples("0 a x=up; 0 b y=up"),
        &[],
        &Bound { whole_us: 0, within_us: 1, until_us: 9 },
    );
    let text = serde_json::to_string(&apart).expect("text");
    assert_eq!(serde_json::from_str::<Verdict<converge::Converged, _>>(&text).expect("a verdict"), apart);
}
