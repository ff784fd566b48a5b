use super::*;
use rstest::rstest;

const LEN: usize = 100;

fn line() -> Line {
    Line::new(7, "a", "b")
}

/// Arrival times, relative to sending, of `count` datagrams sent one second apart.
fn arrivals(condition: &Condition, count: i64) -> Vec<Vec<Delivery>> {
    let mut line = line();
    let of = |n: i64, d: Delivery| Delivery { at_us: d.at_us - n * 1_000_000, ..d };
    let one = |n: i64, line: &mut Line| {
        line.datagram(n * 1_000_000, LEN, condition).iter().map(|d| of(n, d)).collect()
    };
    (0..count).map(|n| one(n, &mut line)).collect()
}

fn fraction(arrivals: &[Vec<Delivery>], is: impl Fn(&Vec<Delivery>) -> bool) -> f64 {
    arrivals.iter().filter(|w| is(w)).count() as f64 / arrivals.len() as f64
}

#[test]
fn an_unimpaired_link_delivers_each_message_once_immediately_and_unchanged() {
    let at_once = Delivery { at_us: 0, garbled: None };
    assert!(arrivals(&Condition::default(), 1000).iter().all(|w| *w == [at_once]));
    assert_eq!(line().chunk(5, 64_000, &Condition::default(), 0), due(5));
}

fn due(at_us: Micros) -> ChunkFate {
    ChunkFate::Due(Delivery { at_us, garbled: None })
}

#[rstest]
#[case(Condition { lose: 0.3, ..Condition::default() }, |w: &Vec<Delivery>| w.is_empty())]
#[case(Condition { duplicate: 0.3, ..Condition::default() }, |w: &Vec<Delivery>| w.len() == 2)]
#[case(Condition { garble: 0.3, ..Condition::default() }, |w: &Vec<Delivery>| w[0].garbled.is_some_and(|at| at < LEN))]
// The other cases expect 0.3. Here a datagram that follows a held-back one is never held back itself,
// so the expected fraction is 0.75 / (1 + 0.75).
#[case(Condition { reorder: 0.75, ..Condition::default() }, |w: &Vec<Delivery>| w[0].at_us == REORDER_DELAY_US)]
fn the_configured_fraction_of_datagrams_is_affected(
    #[case] condition: Condition,
    #[case] is: fn(&Vec<Delivery>) -> bool,
) {
    let expected = if condition.reorder > 0.0 { 0.75 / 1.75 } else { 0.3 };
    let affected = fraction(&arrivals(&condition, 20_000), is);
    assert!((affected - expected).abs() < 0.02, "{affected}");
    assert_eq!(fraction(&arrivals(&Condition::default(), 1000), is), 0.0);
}

#[test]
fn delays_have_a_fixed_part_jitter_and_a_tail() {
    let delay = Delay { fixed_ms: 10.0, jitter_ms: 4.0, tail_one_in: 10, tail_ms: 100.0 };
    let arrivals = arrivals(&Condition { delay, ..Condition::default() }, 20_000);
    let late: Vec<f64> = arrivals.iter().map(|w| w[0].at_us as f64 / 1e3).collect();
    assert!(late.iter().all(|ms| (10.0..=14.0 + 40.0 * 100.0).contains(ms)));
    // A Pareto tail with mean 100 and this coefficient of variation starts at 53.
    let tail = late.iter().filter(|ms| **ms > 30.0).count() as f64 / late.len() as f64;
    assert!((tail - 0.1).abs() < 0.01, "{tail}");
    let mean = late.iter().sum::<f64>() / late.len() as f64;
    assert!((mean - 22.0).abs() < 1.0, "{mean}");
}

#[test]
fn a_rate_limited_link_serializes_datagrams_and_drops_when_its_queue_is_full() {
    let slow = Condition { bytes_per_s: Some(1000), ..Condition::default() };
    let mut line = line();
    let sent: Vec<_> = (0..20).map(|_| line.datagram(0, LEN, &slow).first.map(|d| d.at_us)).collect();
    // 100 bytes take 100 ms; the queue holds one second of data plus the datagram in transmission.
    let expected: Vec<_> = (1..=20).map(|n| (n <= 11).then_some(n * 100_000)).collect();
    assert_eq!(sent, expected);
    line.changed();
    assert_eq!(
        line.chunk(0, LEN, &slow, 0),
        due(100_000),
        "data queued under the previous limit is forgotten"
    );
    assert_eq!(slow.max_chunk_len(4096), 20);
    assert_eq!(Condition::default().max_chunk_len(4096), 4096);
}

#[rstest]
#[case(Condition::cut())]
#[case(Condition::stall())]
#[case(Condition { lose: 1.0, ..Condition::default() })]
fn nothing_passes_a_blocked_link(#[case] condition: Condition) {
    assert!(line().datagram(0, LEN, &condition).is_lost());
    assert_eq!(line().chunk(0, LEN, &condition, 0), ChunkFate::Held);
}

#[test]
fn lost_segments_delay_a_connection_and_keep_its_order() {
    let lossy = Condition { lose: 0.5, ..Condition::default() };
    let mut line = line();
    let (mut behind, mut costs) = (0, Vec::new());
    for now in (0..200_000).map(|n| n * 60_000_000) {
        let ChunkFate::Due(d) = line.chunk(now, LEN, &lossy, behind) else { panic!("held") };
        assert!(d.at_us >= behind, "the chunk overtook the previous one");
        behind = d.at_us;
        costs.push(d.at_us - now);
    }
    for (lost, cost) in [(0, 0), (1, 200_000), (2, 600_000), (3, 1_400_000)] {
        let seen = costs.iter().filter(|c| **c == cost).count() as f64 / costs.len() as f64;
        assert!((seen - 0.5f64.powi(lost + 1)).abs() < 0.01, "{lost} lost: {seen}");
    }
    assert_eq!(costs.iter().max(), Some(&12_600_000));
    assert_eq!(line.chunk(0, LEN, &Condition::default(), 900), due(900), "not before the previous chunk");
}

#[test]
fn draws_depend_on_the_seed_and_the_direction() {
    let odd = Condition { lose: 0.5, ..Condition::delayed(1.0) };
    let drawn = |from, to| {
        let mut line = Line::new(3, from, to);
        (0..64).map(|n| line.datagram(n, LEN, &odd)).collect::<Vec<_>>()
    };
    assert_eq!(drawn("a", "b"), drawn("a", "b"));
    assert_ne!(drawn("a", "b"), drawn("b", "a"));
}

#[test]
fn conditions_are_parsed_checked_and_combined() {
    let from = |text: &str| toml::from_str::<Condition>(text);
    let a = from("lose = 0.5\nbytes_per_s = 9\n[delay]\nfixed_ms = 2\ntail_one_in = 8").expect("a condition");
    assert_eq!(a.check(), Ok(()));
    assert!(from("loose = 0.5").is_err());
    assert_eq!(Condition { lose: 1.5, ..a.clone() }.check(), Err(InvalidCondition::Part("lose")));
    assert_eq!(Condition::delayed(f64::NAN).check(), Err(InvalidCondition::Span("fixed_ms")));
    assert_eq!(Condition { bytes_per_s: Some(0), ..a.clone() }.check(), Err(InvalidCondition::Rate));
    let both = a.with(&Condition { lose: 0.5, cut: true, ..Condition::delayed(3.0) });
    assert_eq!((both.lose, both.cut, both.delay.fixed_ms, both.bytes_per_s), (0.75, true, 5.0, Some(9)));
    assert_eq!(both.delay.tail_one_in, 8);
    assert_eq!(a.with(&Condition::default()), a);
}

#[test]
fn garbling_changes_one_byte_and_is_its_own_inverse() {
    let mut bytes = *b"weir";
    garble(&mut bytes, 2);
    assert_eq!(bytes.iter().zip(b"weir").filter(|(a, b)| a != b).count(), 1);
    garble(&mut bytes, 2);
    garble(&mut bytes, 4);
    assert_eq!(&bytes, b"weir");
}
