//! Tests of the linearizability checker: comparison with a brute-force checker, hand-written histories, and
//! histories of a simulated register with planted faults.

mod simulated;

use history::operation::{Client, History, Kind, Operation, Outcome};
use history::register::{check, Effort};
use history::{UndecidedReason, Verdict};
use rstest::rstest;
use simulated::{Draw, Planted, Shape};

/// Reference implementation: whether a valid order exists, by trying all orders without caching or reduction.
fn brute(left: &[&Operation], value: Option<&str>) -> bool {
    let known = |o: &&&Operation| !matches!(o.outcome, Outcome::Unknown | Outcome::Refused);
    if left.iter().filter(known).count() == 0 {
        return true;
    }
    left.iter().enumerate().filter(|(_, o)| o.outcome != Outcome::Refused).any(|(at, o)| {
        if left.iter().filter(known).any(|other| other.returned_us < Some(o.invoked_us)) {
            return false;
        }
        let (fits, after) = match (&o.kind, &o.outcome) {
            (Kind::Read, Outcome::Value(seen)) => (value == Some(seen), value),
            (Kind::Read, Outcome::Absent) => (value.is_none(), value),
            (Kind::Write { value }, _) => (true, Some(value.as_str())),
            (Kind::Insert { value: new }, Outcome::Done) => (value.is_none(), Some(new.as_str())),
            (Kind::Insert { .. }, Outcome::Found(None)) => (value.is_some(), value),
            (Kind::Insert { .. }, Outcome::Found(seen)) => (value == seen.as_deref(), value),
            (Kind::Insert { value: new }, _) => (true, value.or(Some(new))),
            (Kind::Delete, _) => (true, None),
            _ => (true, value),
        };
        let rest: Vec<&Operation> =
            left.iter().enumerate().filter(|(n, _)| *n != at).map(|(_, o)| *o).collect();
        fits && brute(&rest, after)
    })
}

/// A few operations with random outcomes; some of the histories are linearizable, some are not.
fn random_history(seed: u64) -> History {
    let mut draw = Draw(seed);
    let (clients, values) = (2 + draw.below(3), 1 + draw.below(3));
    let mut history = History::default();
    for client in 0..clients {
        let mut at = draw.below(6) as i64;
        for _ in 0..=draw.below(8 / clients) {
            let value = draw.below(values).to_string();
            let other = draw.below(values).to_string();
            let (kind, outcome) = match draw.below(9) {
                0 => (Kind::Read, Outcome::Absent),
                1..=3 => (Kind::Read, Outcome::Value(value)),
                4 | 5 => (Kind::Write { value }, Outcome::Done),
                6 => (Kind::Delete, Outcome::Done),
                7 => (Kind::Insert { value }, Outcome::Done),
                _ => (Kind::Insert { value }, Outcome::Found(Some(other).filter(|o| o != "0"))),
            };
            let outcome = match draw.below(8) {
                0 | 1 => Outcome::Unknown,
                2 => Outcome::Refused,
                _ => outcome,
            };
            let operation = Operation::invoked(Client(client as u32), "k", kind, at);
            at += draw.below(8) as i64;
            history.push(operation.returned(at, outcome)).expect("room");
            at += draw.below(4) as i64;
        }
    }
    history
}

fn is_linearizable(history: &History) -> bool {
    brute(&history.operations().iter().collect::<Vec<_>>(), None)
}

/// Compares the checker with brute force. The core of a violation must not be linearizable by itself, and
/// removing any read from it must make it linearizable.
fn compare_with_brute_force(history: &History) -> bool {
    match check(history, &Effort::default()) {
        Verdict::Held(_) => assert!(is_linearizable(history), "{history:?}"),
        Verdict::Broken(found) => {
            assert!(!is_linearizable(history), "{history:?}");
            let broken = &found.first[0];
            assert!(broken.minimal && broken.core.iter().all(|o| history.operations().contains(o)));
            let core: Vec<&Operation> = broken.core.iter().collect();
            assert!(!brute(&core, None), "{core:?}");
            for at in (0..core.len()).filter(|at| core[*at].kind == Kind::Read) {
                let rest: Vec<&Operation> = [&core[..at], &core[at + 1..]].concat();
                assert!(brute(&rest, None), "{core:?} without {at}");
            }
        }
        Verdict::NotDecided(why) => panic!("{why}"),
    }
    is_linearizable(history)
}

#[test]
fn agrees_with_brute_force_on_random_histories() {
    let held = (0..20_000).filter(|seed| compare_with_brute_force(&random_history(*seed))).count();
    assert!(
        (4_000..16_000).contains(&held),
        "{held} of 20000 held: too few of one result for a meaningful comparison"
    );
}

#[rstest]
#[case(None)]
#[case(Some(Planted::Stale))]
#[case(Some(Planted::Forgets))]
#[case(Some(Planted::InsertsTwice))]
#[case(Some(Planted::RefusesAndDoes))]
fn agrees_with_brute_force_on_small_simulated_registers(#[case] planted: Option<Planted>) {
    let shape = Shape { clients: 3, operations: 8, keys: 1, values: 3, refused: 12, unknown: 25, planted };
    let broken =
        (0..2_000).filter(|seed| !compare_with_brute_force(&simulated::history(shape, *seed))).count();
    assert_eq!(broken == 0, planted.is_none(), "{broken}");
}

#[rstest]
#[case(1, 0, 10)]
#[case(3, 0, 2)]
#[case(40, 0, 30)]
#[case(3, 4, 10)]
fn a_correct_register_passes_and_a_planted_fault_is_reported_with_a_small_core(
    #[case] keys: u64,
    #[case] values: u64,
    #[case] unknown: u64,
) {
    let shape = Shape { clients: 10, operations: 10_000, keys, values, refused: 5, unknown, planted: None };
    for seed in 0..3 {
        let verdict = check(&simulated::history(shape, seed), &Effort::default());
        assert!(verdict.held().is_some_and(|h| h.keys == keys), "{verdict:?}");
        let shape = Shape { planted: Some(Planted::Stale), ..shape };
        let verdict = check(&simulated::history(shape, seed), &Effort::default());
        let broken = &verdict.broken().expect("stale reads").first[0];
        assert!(broken.core.iter().all(|o| o.key == broken.key));
        assert!(broken.core.len() < 20, "{} in the core", broken.core.len());
    }
}

#[test]
fn reports_when_the_search_limit_is_reached() {
    let shape =
        Shape { clients: 30, operations: 400, keys: 1, values: 0, refused: 0, unknown: 0, planted: None };
    let few = Effort { states: 20, ..Effort::default() };
    let verdict = check(&simulated::history(shape, 1), &few);
    assert!(
        matches!(&verdict, Verdict::NotDecided(UndecidedReason::GaveUp(keys)) if keys.first == ["k0"]),
        "{verdict:?}"
    );
    let little = Effort { bytes: 2_000, ..Effort::default() };
    assert!(matches!(
        check(&simulated::history(shape, 1), &little),
        Verdict::NotDecided(UndecidedReason::GaveUp(_))
    ));
    assert!(check(&simulated::history(shape, 1), &Effort::default()).is_held());
}

/// Parses operations of the form `CLIENT KIND FROM..TO OUTCOME`, separated by `;`: `w1 r2 i3 d`, `x` means no
/// value, `?` unknown, `!` refused, `-` no return.
fn parse_history(text: &str) -> History {
    let mut history = History::default();
    for line in text.split(';') {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [who, kind, span, told] = words[..] else { panic!("{line}") };
        let value = kind[1..].to_string();
        let kind = match &kind[..1] {
            "w" => Kind::Write { value },
            "i" => Kind::Insert { value },
            "d" => Kind::Delete,
            _ => Kind::Read,
        };
        let (from, to) = span.split_once("..").expect("a span");
        let outcome = match told {
            "?" => Outcome::Unknown,
            "!" => Outcome::Refused,
            "ok" => Outcome::Done,
            "x" => Outcome::Absent,
            "found" => Outcome::Found(None),
            value if matches!(kind, Kind::Insert { .. }) => Outcome::Found(Some(value.into())),
            value => Outcome::Value(value.into()),
        };
        let operation = Operation::invoked(Client(who.parse().unwrap()), "k", kind, from.parse().unwrap());
        let returned = to.parse().map_or(operation.clone(), |to| operation.returned(to, outcome));
        history.push(returned).expect("room");
    }
    history
}

#[rstest]
#[case::nothing_written("1 r 0..1 x", None)]
#[case::one_of_two_at_once("1 w1 0..9 ok; 2 w2 1..9 ok; 3 r 10..11 1; 3 r 12..13 1", None)]
#[case::lost_request("1 w1 0..1 ok; 2 w2 2..- ?; 3 r 3..4 1; 3 r 5..6 1", None)]
#[case::late_effect("1 w1 0..1 ok; 2 w2 2..- ?; 3 r 3..4 1; 3 r 5..6 2", None)]
#[case::effect_after_giving_up("1 w1 0..1 ok; 2 w2 2..3 ?; 3 r 4..5 1; 3 r 6..7 2", None)]
#[case::two_unknown_ones("1 w1 0..1 ok; 2 d 2..- ?; 3 i2 2..- ?; 4 r 3..4 2", None)]
#[case::a_receipt("1 i1 0..5 ok; 2 i2 0..5 1; 3 i3 6..7 found", None)]
#[case::never_written("1 w1 0..1 ok; 2 r 2..3 7", Some(1))]
#[case::stale("1 w1 0..1 ok; 1 w2 2..3 ok; 2 r 4..5 1; 2 r 6..7 2", Some(3))]
#[case::lost("1 w1 0..1 ok; 2 r 2..3 x; 3 w9 0..9 !", Some(2))]
#[case::there_and_back("1 w1 0..1 ok; 2 w2 2..- ?; 3 r 3..4 2; 3 r 5..6 1", Some(4))]
#[case::refused_but_read("1 w1 0..1 !; 2 r 2..3 1", Some(1))]
#[case::from_the_future("1 r 0..1 1; 2 w1 2..3 ok", Some(1))]
#[case::ran_twice("1 i1 0..1 ok; 2 i2 2..3 ok; 3 r 4..5 2", Some(2))]
#[case::inserted_over_a_write("1 w1 0..5 ok; 2 i2 0..- ?; 3 r 2..3 2; 3 r 6..7 2", Some(3))]
#[case::two_receipts("1 i1 0..- ?; 2 i2 0..- ?; 3 i3 1..2 1; 3 i4 3..4 2", Some(4))]
fn hand_written_histories(#[case] text: &str, #[case] core: Option<usize>) {
    let history = parse_history(text);
    compare_with_brute_force(&history);
    let verdict = check(&history, &Effort::default());
    assert_eq!(verdict.broken().map(|found| found.first[0].core.len()), core, "{verdict:?}");
}
