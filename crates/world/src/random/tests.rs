use super::*;

#[test]
fn unmix_undoes_mix() {
    for x in [0, 1, 77, u64::MAX, 0x0123_4567_89ab_cdef] {
        assert_eq!(unmix(mix(x)), x);
    }
}

#[test]
fn each_form_of_spread_has_mean_1_and_its_coefficient_of_variation() {
    for (spread, cv) in [(Spread::Lognormal, 1.0), (Spread::Pareto, 0.4), (Spread::Exponential, 1.0)] {
        let mut rng = stream(7, "spread", 0);
        let draws: Vec<f64> = (0..200_000).map(|_| spread.draw(cv, &mut rng)).collect();
        let n = draws.len() as f64;
        let mean = draws.iter().sum::<f64>() / n;
        let var = draws.iter().map(|x| (x - mean) * (x - mean)).sum::<f64>() / n;
        assert!((mean - 1.0).abs() < 0.02, "{spread:?}: mean {mean}");
        assert!((var.sqrt() - cv).abs() < 0.06, "{spread:?}: cv {}", var.sqrt());
    }
}
