use super::*;

#[test]
fn the_interval_is_the_mean_and_t_times_its_standard_error() {
    // Mean 4, variance 10, so a standard error of sqrt(2); t(4, 0.95) is 2.1318 in any table.
    let got = interval(&[0.0, 2.0, 4.0, 6.0, 8.0], 0.9).unwrap();
    assert_eq!((got.mean, got.pairs), (4.0, 5));
    assert!((got.high - 4.0 - 2.131_847 * 2.0_f64.sqrt()).abs() < 1e-4, "{got:?}");
    assert!((got.low + got.high - 8.0).abs() < 1e-9, "{got:?}");
}

#[test]
fn a_verdict_names_the_better_variant_in_either_direction() {
    let worse = interval(&[-0.02, -0.03, -0.025, -0.021], CONFIDENCE).unwrap();
    assert!(matches!(worse.verdict(Better::Higher), Verdict::Better { variant: 'b', .. }));
    assert!(matches!(worse.verdict(Better::Lower), Verdict::Better { variant: 'a', .. }));
    let text = worse.verdict(Better::Higher).to_string();
    assert!(text.starts_with("b is better by 0.01") && text.contains(" to 0.03"), "{text}");
}

#[test]
fn an_interval_that_holds_zero_is_no_difference() {
    let mixed = interval(&[0.02, -0.03, 0.01, -0.005], CONFIDENCE).unwrap();
    assert_eq!(mixed.verdict(Better::Higher).to_string(), "no difference seen");
    let same = interval(&[0.0; 5], CONFIDENCE).unwrap();
    assert_eq!(same.verdict(Better::Lower), Verdict::NoDifference);
}

#[test]
fn one_pair_or_a_figure_that_is_no_number_has_no_interval() {
    assert_eq!(interval(&[0.1], CONFIDENCE), None);
    assert_eq!(interval(&[0.1, f64::NAN, 0.2], CONFIDENCE), None);
}

#[test]
fn the_interval_holds_the_true_mean_about_as_often_as_it_says() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(7);
    let rounds = 2_000;
    let held = (0..rounds)
        .filter(|_| {
            let pairs: Vec<f64> =
                (0..12).map(|_| (0..6).map(|_| rng.random::<f64>() - 0.5).sum::<f64>() + 0.3).collect();
            let i = interval(&pairs, CONFIDENCE).unwrap();
            (i.low..=i.high).contains(&0.3)
        })
        .count();
    let part = held as f64 / f64::from(rounds);
    assert!((0.93..0.97).contains(&part), "{part}");
}
