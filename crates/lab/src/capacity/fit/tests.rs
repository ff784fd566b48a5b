use super::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;

fn line(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<Observed> {
    sizes.iter().map(|n| Observed { n: *n, m: 1.0, value: of(*n) }).collect()
}

fn grid(ns: &[f64], ms: &[f64], of: impl Fn(f64, f64) -> f64) -> Vec<Observed> {
    ns.iter().flat_map(|n| ms.iter().map(|m| Observed { n: *n, m: *m, value: of(*n, *m) })).collect()
}

const SIZES: [f64; 5] = [16.0, 64.0, 256.0, 1024.0, 4096.0];

#[rstest]
#[case(Form::Flat, |_| 7.0)]
#[case(Form::LogN, |n: f64| 3.0 + 5.0 * n.ln())]
#[case(Form::N, |n| 100.0 + 190.0 * n)]
#[case(Form::NLogN, |n: f64| 10.0 + 2.0 * n * n.ln())]
fn an_exact_form_is_found_and_leaves_nothing(#[case] form: Form, #[case] of: fn(f64) -> f64) {
    let fits = Fits::of(&line(&SIZES, of), false).expect("points enough");
    assert_eq!(fits.best().form, form);
    assert_eq!(fits.best().residual, 0.0);
    assert_eq!(fits.close().count(), 0);
    let (at, true_value) = (fits.at(11_000.0, 1.0), of(11_000.0));
    assert!((at.value - true_value).abs() <= 1e-9 * true_value, "{at:?}");
    assert!(at.low <= true_value && true_value <= at.high && at.high - at.low <= 1e-8 * true_value, "{at:?}");
}

#[rstest]
#[case(Form::N, |n, _| 40.0 * n)]
#[case(Form::M, |_, m| 9.0 + 40.0 * m)]
#[case(Form::NM, |n, m| 500.0 + 30.0 * n * m)]
#[case(Form::NAndNM, |n, m| 500.0 + 900.0 * n + 30.0 * n * m)]
#[case(Form::MLogM, |_, m: f64| 2.0 * m * m.ln())]
fn on_a_grid_the_axes_are_told_apart(#[case] form: Form, #[case] of: fn(f64, f64) -> f64) {
    let fits = Fits::of(&grid(&SIZES, &SIZES, of), true).expect("points enough");
    assert_eq!((fits.best().form, fits.best().residual), (form, 0.0));
}

#[test]
fn noise_round_a_constant_does_not_pick_a_slope() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(3);
    let flat = (0..200).filter(|_| {
        let noisy = line(&SIZES, |_| 0.0)
            .into_iter()
            .map(|o| Observed { value: 100.0 + rng.random_range(-1.0..1.0), ..o });
        Fits::of(&noisy.collect::<Vec<_>>(), false).expect("points enough").best().form == Form::Flat
    });
    let flat = flat.count();
    assert!(flat >= 140, "flat in {flat} of 200");
}

#[test]
fn the_interval_holds_a_larger_size_about_as_often_as_it_says() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    // Even noise of the same width everywhere; the sum of twelve is close to normal.
    let mut noise = || (0..12).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>() * 500.0;
    let held = (0..500).filter(|_| {
        let noisy: Vec<Observed> = line(&[500.0, 1000.0, 2000.0, 4000.0, 8000.0], |n| 50.0 + 190.0 * n)
            .into_iter()
            .map(|o| Observed { value: o.value + noise(), ..o })
            .collect();
        let (at, is) = (
            Fits::of(&noisy, false).expect("points enough").at(16_000.0, 1.0),
            50.0 + 190.0 * 16_000.0 + noise(),
        );
        at.low <= is && is <= at.high
    });
    let held = held.count();
    assert!((460..=500).contains(&held), "held in {held} of 500");
}

#[test]
fn a_form_that_was_not_offered_shows_in_the_residual() {
    let squares = line(&SIZES, |n| n * n);
    let fits = Fits::of(&squares, false).expect("points enough");
    assert!(fits.best().relative > 0.2, "{:?}", fits.best());
}

#[test]
fn forms_that_cannot_be_told_apart_widen_the_interval() {
    // Half way between n and n log n, at sizes too close to tell.
    let sizes = [100.0, 110.0, 120.0, 130.0, 140.0];
    let mut wobble = [3.0, -3.0, 4.5, -1.5, 1.5].into_iter().cycle();
    let noisy: Vec<Observed> = line(&sizes, |n| 10.0 * n)
        .into_iter()
        .map(|o| Observed { value: o.value + wobble.next().unwrap_or(0.0), ..o })
        .collect();
    let fits = Fits::of(&noisy, false).expect("points enough");
    assert!(fits.close().any(|f| f.form == Form::NLogN), "{fits:?}");
    let (both, alone) = (fits.at(10_000.0, 1.0), fits.best().at(10_000.0, 1.0));
    assert!(both.high - both.low > 2.0 * (alone.high - alone.low), "{both:?}, {alone:?}");
}

#[test]
fn too_few_points_and_no_numbers_are_no_fit() {
    assert!(Fits::of(&line(&SIZES[..3], |n| n), false).is_none());
    assert!(Fits::of(&line(&SIZES, |_| f64::NAN), false).is_none());
    assert!(Fits::of(&line(&[0.0, 1.0, 2.0, 3.0], |n| n), false).is_none());
}
